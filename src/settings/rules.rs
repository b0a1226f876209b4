//! Checks a settings document against the table of fields.
//!
//! The check works on the JSON document, so that one pass reports every fault.
//! `serde` alone would stop at the first and could not name the allowed range.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::settings::check::FieldFault;
use crate::settings::fields::{FIELD_RULES, FieldKind, FieldRule, GROUP_REMEDY};

/// Start of the texts in shipped settings that a deployment must replace.
pub const PLACEHOLDER: &str = "REPLACE-";

/// Fewest characters of a secret shared between daemons.
pub const SECRET_LENGTH: usize = 32;

/// Characters of a SHA-256 in hexadecimal.
const HASH_LENGTH: usize = 64;

/// Most characters of a name.
const NAME_LENGTH: usize = 64;

/// Most characters of a found value that a message repeats.
const SHOWN_LENGTH: usize = 60;

/// Returns every fault of a settings document against the table.
#[must_use]
pub fn document_faults(document: &Value) -> Vec<FieldFault> {
    let Value::Object(fields) = document else {
        return vec![FieldFault {
            path: "(document)".to_owned(),
            found: shown(document),
            allowed: "an object".to_owned(),
            remedy: GROUP_REMEDY.to_owned(),
        }];
    };
    let mut faults = Vec::new();
    check_group("", fields, &mut faults);
    faults
}

fn check_group(prefix: &str, fields: &Map<String, Value>, faults: &mut Vec<FieldFault>) {
    for name in fields.keys() {
        let path = join(prefix, name);
        if !FIELD_RULES.iter().any(|rule| rule.path == path) {
            faults.push(unknown_fault(prefix, path));
        }
    }
    for rule in group_rules(prefix) {
        match fields.get(last_name(rule.path)) {
            Some(value) => check_field(rule, value, faults),
            None if rule.required => faults.push(rule_fault(rule, "nothing".to_owned())),
            None => {}
        }
    }
}

fn check_field(rule: &FieldRule, value: &Value, faults: &mut Vec<FieldFault>) {
    match (rule.kind, value) {
        (FieldKind::Group | FieldKind::OptionalGroup, Value::Object(fields)) => {
            check_group(rule.path, fields, faults);
        }
        (FieldKind::HashList, Value::Array(entries)) => {
            check_entries(rule, entries, is_hash, faults);
        }
        (FieldKind::SecretList, Value::Array(entries)) if !entries.is_empty() => {
            check_entries(rule, entries, is_secret, faults);
        }
        _ if allows(rule.kind, value) => {}
        _ => faults.push(rule_fault(rule, found(rule.kind, value))),
    }
}

fn check_entries(
    rule: &FieldRule,
    entries: &[Value],
    holds: fn(&str) -> bool,
    faults: &mut Vec<FieldFault>,
) {
    for (index, entry) in entries.iter().enumerate() {
        if entry.as_str().is_some_and(holds) {
            continue;
        }
        let mut fault = rule_fault(rule, found(rule.kind, entry));
        fault.path = format!("{}[{index}]", rule.path);
        faults.push(fault);
    }
}

fn allows(kind: FieldKind, value: &Value) -> bool {
    let text = value.as_str();
    match kind {
        FieldKind::Address => text.is_some_and(|t| t.parse::<SocketAddr>().is_ok()),
        FieldKind::Choice(words) => text.is_some_and(|t| words.contains(&t)),
        FieldKind::Group | FieldKind::HashList | FieldKind::SecretList => false,
        FieldKind::Name => text.is_some_and(is_name),
        FieldKind::Number(least, most) => value
            .as_f64()
            .is_some_and(|number| (least..=most).contains(&number)),
        FieldKind::OptionalGroup => value.is_null(),
        FieldKind::Pem(mark) => text.is_some_and(|t| t.contains(mark)),
        FieldKind::Secret => text.is_some_and(|t| t.is_empty() || is_secret(t)),
        FieldKind::Switch => value.is_boolean(),
        FieldKind::Url => text.is_some_and(is_url),
        FieldKind::Whole(least, most) => value
            .as_u64()
            .is_some_and(|number| (least..=most).contains(&number)),
    }
}

/// Returns what a field may hold, for messages and the settings page.
#[must_use]
pub fn allowed_text(rule: &FieldRule) -> String {
    match rule.kind {
        FieldKind::Address => "an IP number and port".to_owned(),
        FieldKind::Choice(words) => format!("one of {}", words.join(", ")),
        FieldKind::Group => "an object".to_owned(),
        FieldKind::HashList => format!("a list of texts of {HASH_LENGTH} hexadecimal digits"),
        FieldKind::Name => {
            format!("1 to {NAME_LENGTH} letters, digits, dots, hyphens or underscores")
        }
        FieldKind::Number(least, most) => format!("a number from {least} to {most}"),
        FieldKind::OptionalGroup => "an object or null".to_owned(),
        FieldKind::Pem(_) => "PEM text".to_owned(),
        FieldKind::Secret => format!("empty, or at least {SECRET_LENGTH} characters"),
        FieldKind::SecretList => {
            format!("a list of at least one text of at least {SECRET_LENGTH} characters")
        }
        FieldKind::Switch => "true or false".to_owned(),
        FieldKind::Url => "http:// or https:// with host and port".to_owned(),
        FieldKind::Whole(least, most) => format!("a whole number from {least} to {most}"),
    }
}

fn rule_fault(rule: &FieldRule, found: String) -> FieldFault {
    let allowed = match rule.unit {
        "" => allowed_text(rule),
        unit => format!("{} {unit}", allowed_text(rule)),
    };
    FieldFault {
        path: rule.path.to_owned(),
        found,
        allowed,
        remedy: rule.remedy.to_owned(),
    }
}

fn unknown_fault(prefix: &str, path: String) -> FieldFault {
    let names: Vec<&str> = group_rules(prefix)
        .map(|rule| last_name(rule.path))
        .collect();
    FieldFault {
        path,
        found: "an unknown field".to_owned(),
        allowed: names.join(", "),
        remedy: "correct the name or remove the field".to_owned(),
    }
}

fn found(kind: FieldKind, value: &Value) -> String {
    let Value::String(text) = value else {
        return match value {
            Value::Array(entries) => format!("a list of {}", entries.len()),
            other => shown(other),
        };
    };
    if text.starts_with(PLACEHOLDER) {
        return "the placeholder of the shipped settings".to_owned();
    }
    match kind {
        FieldKind::HashList
        | FieldKind::Pem(_)
        | FieldKind::Secret
        | FieldKind::SecretList
        | FieldKind::Url => format!("a text of {} characters", text.chars().count()),
        _ => shown(value),
    }
}

fn shown(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        other => {
            let text = other.to_string();
            match text.char_indices().nth(SHOWN_LENGTH) {
                Some((end, _)) => format!("{}...", &text[..end]),
                None => text,
            }
        }
    }
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_LENGTH && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn is_secret(text: &str) -> bool {
    text.chars().count() >= SECRET_LENGTH && !text.starts_with(PLACEHOLDER)
}

fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=NAME_LENGTH).contains(&text.len())
        && text.bytes().all(plain)
        && !text.starts_with(PLACEHOLDER)
}

fn is_url(text: &str) -> bool {
    reqwest::Url::parse(text).is_ok_and(|url| {
        matches!(url.scheme(), "http" | "https")
            && url.host().is_some()
            && url.username().is_empty()
            && url.password().is_none()
    })
}

fn group_rules(prefix: &str) -> impl Iterator<Item = &'static FieldRule> {
    FIELD_RULES
        .iter()
        .filter(move |rule| group_name(rule.path) == prefix)
}

fn group_name(path: &str) -> &str {
    path.rsplit_once('.').map_or("", |(group, _)| group)
}

fn last_name(path: &str) -> &str {
    path.rsplit_once('.').map_or(path, |(_, name)| name)
}

fn join(prefix: &str, name: &str) -> String {
    if prefix.is_empty() {
        return name.to_owned();
    }
    format!("{prefix}.{name}")
}
