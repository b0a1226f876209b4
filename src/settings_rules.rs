//! The table of settings fields: kind, range, unit and remedy of each, and the check against it.
//!
//! The check works on the JSON document, so that one pass reports every fault.
//! `serde` alone would stop at the first and could not name the allowed range.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::settings_check::FieldFault;

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

/// What a field may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// IP number and port.
    Address,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// An object with fields of its own.
    Group,
    /// A list of SHA-256 hashes in hexadecimal.
    HashList,
    /// Letters, digits, `.`, `_` and `-`.
    Name,
    /// A number with a fraction.
    Number(f64, f64),
    /// A group that may be left out or `null`.
    OptionalGroup,
    /// Text that begins and holds as PEM; never shown.
    Pem(&'static str),
    /// A secret that may be empty; never shown.
    Secret,
    /// At least one secret; never shown.
    SecretList,
    /// True or false.
    Switch,
    /// `http://` or `https://`, host and port.
    Url,
    /// A whole number.
    Whole(u64, u64),
}

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FieldRule {
    /// Place in the document, for example `platform.call_ms`.
    pub path: &'static str,
    /// What it may hold.
    pub kind: FieldKind,
    /// Whether it must be given.
    pub required: bool,
    /// Unit of the value; empty where none applies.
    pub unit: &'static str,
    /// What to do about a bad value.
    pub remedy: &'static str,
}

const fn required(path: &'static str, kind: FieldKind, remedy: &'static str) -> FieldRule {
    FieldRule {
        path,
        kind,
        required: true,
        unit: "",
        remedy,
    }
}

const fn optional(path: &'static str, kind: FieldKind, remedy: &'static str) -> FieldRule {
    FieldRule {
        path,
        kind,
        required: false,
        unit: "",
        remedy,
    }
}

/// Expects a speed, which is never zero: times are divided by it.
const fn speed(path: &'static str, most: f64) -> FieldRule {
    optional(
        path,
        FieldKind::Number(LEAST_SPEED, most),
        "give the speed measured on an idle mixed engine",
    )
}

const fn whole(
    path: &'static str,
    least: u64,
    most: u64,
    unit: &'static str,
    remedy: &'static str,
) -> FieldRule {
    FieldRule {
        path,
        kind: FieldKind::Whole(least, most),
        required: false,
        unit,
        remedy,
    }
}

const GROUP_REMEDY: &str = "give an object with the fields of docs/SETTINGS.md";
const LISTEN_REMEDY: &str = "give the instance's own IP number and a port, such as 127.0.0.1:0";
const NAME_REMEDY: &str = "give a name that is unique in the deployment";
const SWITCH_REMEDY: &str = "write true or false without quotes";
const LEAST_SPEED: f64 = 0.001;
const SIZE_REMEDY: &str = "start from the default of docs/SETTINGS.md";
const WAIT_REMEDY: &str = "give the time in milliseconds, as a number without quotes";

/// Every field, in the order of the document.
pub const FIELD_RULES: &[FieldRule] = &[
    required("daemon_id", FieldKind::Name, NAME_REMEDY),
    required(
        "data_centre",
        FieldKind::Name,
        "give the name of the data centre that the instance list uses",
    ),
    required("listen", FieldKind::Group, GROUP_REMEDY),
    required("listen.rpc", FieldKind::Address, LISTEN_REMEDY),
    required("listen.admin", FieldKind::Address, LISTEN_REMEDY),
    required("listen.peer", FieldKind::Address, LISTEN_REMEDY),
    optional("listen.tls", FieldKind::OptionalGroup, GROUP_REMEDY),
    required(
        "listen.tls.certificate_pem",
        FieldKind::Pem("-----BEGIN CERTIFICATE-----"),
        "paste the certificate chain as PEM, line ends written as \\n",
    ),
    required(
        "listen.tls.key_pem",
        FieldKind::Pem("PRIVATE KEY-----"),
        "paste the private key as PEM, line ends written as \\n",
    ),
    required("platform", FieldKind::Group, GROUP_REMEDY),
    required(
        "platform.address",
        FieldKind::Url,
        "give the platform's base address, such as http://127.0.0.1:7000",
    ),
    whole("platform.call_ms", 10, 60_000, "ms", WAIT_REMEDY),
    whole("platform.watch_ms", 100, 300_000, "ms", WAIT_REMEDY),
    whole("platform.instances_ms", 50, 60_000, "ms", WAIT_REMEDY),
    optional("peers", FieldKind::Group, GROUP_REMEDY),
    optional(
        "peers.secret",
        FieldKind::Secret,
        "give the same random text on every daemon, or leave it empty to close the peer port",
    ),
    whole("peers.hint_ms", 10, 60_000, "ms", WAIT_REMEDY),
    whole("peers.silence_ms", 50, 600_000, "ms", WAIT_REMEDY),
    whole("peers.watchers", 1, 16, "daemons", SIZE_REMEDY),
    required("access", FieldKind::Group, GROUP_REMEDY),
    required(
        "access.operator_key_hashes",
        FieldKind::HashList,
        "make a key with `pistachiowick key` and give the hash it prints",
    ),
    required(
        "access.token_secrets",
        FieldKind::SecretList,
        "give the same random texts on every daemon; the first signs, all verify",
    ),
    optional("limits", FieldKind::Group, GROUP_REMEDY),
    whole(
        "limits.message_bytes",
        1_024,
        64 << 20,
        "bytes",
        SIZE_REMEDY,
    ),
    whole(
        "limits.streams_per_connection",
        1,
        65_536,
        "streams",
        SIZE_REMEDY,
    ),
    whole("limits.queue_length", 1, 1_000_000, "requests", SIZE_REMEDY),
    whole(
        "limits.queue_per_workspace",
        1,
        1_000_000,
        "requests",
        SIZE_REMEDY,
    ),
    whole(
        "limits.longest_deadline_ms",
        1,
        7 * 24 * 3_600 * 1_000,
        "ms",
        WAIT_REMEDY,
    ),
    whole("limits.header_ms", 100, 120_000, "ms", WAIT_REMEDY),
    optional("intents", FieldKind::Group, GROUP_REMEDY),
    whole("intents.shards", 1, 1_024, "objects", SIZE_REMEDY),
    whole("intents.retention_ms", 100, 86_400_000, "ms", WAIT_REMEDY),
    whole("intents.clock_skew_ms", 0, 60_000, "ms", WAIT_REMEDY),
    whole("intents.commit_ms", 0, 10_000, "ms", WAIT_REMEDY),
    whole("intents.result_bytes", 0, 65_536, "bytes", SIZE_REMEDY),
    whole(
        "intents.shard_bytes",
        4_096,
        999_999,
        "bytes",
        "stay under the megabyte that the platform holds in one value",
    ),
    optional("leases", FieldKind::Group, GROUP_REMEDY),
    whole("leases.duration_ms", 100, 600_000, "ms", WAIT_REMEDY),
    whole("leases.guard_ms", 1, 300_000, "ms", WAIT_REMEDY),
    whole("leases.order_flight_ms", 1, 300_000, "ms", WAIT_REMEDY),
    whole("leases.group_engines", 1, 4_096, "engines", SIZE_REMEDY),
    optional("policy", FieldKind::Group, GROUP_REMEDY),
    optional(
        "policy.placement",
        FieldKind::Choice(&["estimate", "least_in_flight", "round_robin"]),
        "use estimate; the others are baselines for comparison",
    ),
    optional(
        "policy.roles",
        FieldKind::Choice(&["fixed", "follow_mix", "forecast"]),
        "use forecast; the others are baselines for comparison",
    ),
    optional(
        "policy.role_change_price",
        FieldKind::Number(0.0, 1_000.0),
        "use 1 to weigh goodput alone and more to avoid role changes",
    ),
    whole("policy.role_change_ms", 0, 600_000, "ms", WAIT_REMEDY),
    whole("policy.role_horizon_ms", 1, 86_400_000, "ms", WAIT_REMEDY),
    whole(
        "policy.role_changes_at_once",
        0,
        1_000,
        "engines",
        SIZE_REMEDY,
    ),
    optional("policy.refuse_early", FieldKind::Switch, SWITCH_REMEDY),
    optional("policy.fair_shares", FieldKind::Switch, SWITCH_REMEDY),
    optional(
        "policy.retry_share",
        FieldKind::Number(0.0, 1.0),
        "give the share of retries to first attempts, such as 0.1",
    ),
    whole(
        "policy.engine_in_flight",
        1,
        65_536,
        "requests",
        SIZE_REMEDY,
    ),
    whole("policy.service_in_flight", 1, 65_536, "calls", SIZE_REMEDY),
    optional("policy.speeds", FieldKind::Group, GROUP_REMEDY),
    speed("policy.speeds.prefill_tokens_per_s", 10_000_000.0),
    speed("policy.speeds.token_base_ms", 10_000.0),
    speed("policy.speeds.token_per_stream_ms", 10_000.0),
    speed("policy.speeds.prefill_role_prefill", 100.0),
    speed("policy.speeds.prefill_role_decode", 100.0),
    speed("policy.speeds.decode_role_prefill", 100.0),
    speed("policy.speeds.decode_role_decode", 100.0),
    optional("shutdown", FieldKind::Group, GROUP_REMEDY),
    whole("shutdown.keep_ms", 0, 600_000, "ms", WAIT_REMEDY),
    whole("shutdown.finish_ms", 0, 86_400_000, "ms", WAIT_REMEDY),
    optional("logs", FieldKind::Group, GROUP_REMEDY),
    optional(
        "logs.format",
        FieldKind::Choice(&["json", "text"]),
        "use json for programs and text for people",
    ),
    optional(
        "logs.level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "use info unless a fault is being looked for",
    ),
    optional("metrics", FieldKind::Group, GROUP_REMEDY),
    whole("metrics.tracked_pairs", 0, 10_000, "pairs", SIZE_REMEDY),
];

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
