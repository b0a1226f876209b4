//! A small JSON reader and writer. Numbers keep their text, so that 64-bit values pass unchanged.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn set(&mut self, key: &str, value: Json) {
        if let Json::Table(fields) = self {
            match fields.iter_mut().find(|(name, _)| name == key) {
                Some((_, old)) => *old = value,
                None => fields.push((key.to_owned(), value)),
            }
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn of(text: &str) -> Json {
        Json::parse(text).unwrap_or_else(|| panic!("invalid JSON in the stand-in: {text}"))
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut text = String::new();
        write_value(self, &mut text);
        f.write_str(&text)
    }
}

fn write_value(value: &Json, out: &mut String) {
    match value {
        Json::Null => out.push_str("null"),
        Json::Bool(flag) => out.push_str(if *flag { "true" } else { "false" }),
        Json::Number(text) => out.push_str(text),
        Json::Text(text) => write_text(text, out),
        Json::List(items) => {
            out.push('[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    out.push(',');
                }
                write_value(item, out);
            }
            out.push(']');
        }
        Json::Table(fields) => {
            out.push('{');
            for (index, (name, item)) in fields.iter().enumerate() {
                if index > 0 {
                    out.push(',');
                }
                write_text(name, out);
                out.push(':');
                write_value(item, out);
            }
            out.push('}');
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => table(bytes, at),
        b'[' => list(bytes, at),
        b'"' => text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => number(bytes, at),
    }
}

fn word(bytes: &[u8], at: &mut usize, name: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(name.as_bytes()).then(|| {
        *at += name.len();
        value
    })
}

fn number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let start = *at;
    while *at < bytes.len() && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
    {
        *at += 1;
    }
    let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
    text.parse::<f64>().ok()?;
    Some(Json::Number(text.to_owned()))
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out: Vec<u8> = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escape = *bytes.get(*at + 1)?;
                *at += 2;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                        out.extend(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(value(bytes, at)?),
        }
    }
}

fn table(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = Vec::new();
    loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Table(fields));
            }
            b',' => *at += 1,
            b'"' => {
                let name = text(bytes, at)?;
                skip_space(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, value(bytes, at)?));
            }
            _ => return None,
        }
    }
}
