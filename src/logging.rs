//! Logs to standard error, as JSON lines or as text.
//!
//! What happens often is counted in metrics; lines are written for changes of
//! state. Keys, tokens, prompts and answers are never logged.

use std::fmt;
use std::io;

use fern::{Dispatch, FormatCallback, InitError};
use log::kv::{self, Key, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::clock;
use crate::settings::{LogFormat, LogSettings};

/// Why logging could not start.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level is not known.
    #[error("logs.level: found {found:?}; use error, warn, info, debug or trace")]
    Level {
        /// Level found.
        found: String,
    },
    /// Another logger is in place.
    #[error("a logger is already installed ({0}); install one only")]
    Installed(#[from] InitError),
}

/// Starts logging for the process.
///
/// # Errors
///
/// Returns an error for an unknown level, or when a logger is already installed.
pub fn install(settings: &LogSettings) -> Result<(), LogError> {
    let level: LevelFilter = settings.level.parse().map_err(|_| LogError::Level {
        found: settings.level.clone(),
    })?;
    let format = settings.format;
    Dispatch::new()
        .format(move |out, message, record| write_line(format, out, message, record))
        // Libraries report their inner workings at lower levels; only what is wrong matters here.
        .level(level.min(LevelFilter::Warn))
        .level_for("pistachiowick", level)
        .level_for("pistachiowickd", level)
        .chain(io::stderr())
        .apply()
        .map_err(InitError::from)?;
    Ok(())
}

fn write_line(
    format: LogFormat,
    out: FormatCallback<'_>,
    message: &fmt::Arguments<'_>,
    record: &Record<'_>,
) {
    match format {
        LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        LogFormat::Text => out.finish(format_args!(
            "{} {:5} {}: {message}{}",
            timestamp(),
            record.level(),
            record.target(),
            pairs_text(record)
        )),
    }
}

pub(crate) fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> Value {
    // What a line says of itself comes last, so that no pair can stand in for it.
    let mut fields = record_pairs(record);
    let level = record.level().as_str().to_lowercase();
    fields.insert("at".to_owned(), Value::from(timestamp()));
    fields.insert("level".to_owned(), Value::from(level));
    fields.insert("target".to_owned(), Value::from(record.target()));
    fields.insert("message".to_owned(), Value::from(message.to_string()));
    Value::Object(fields)
}

fn pairs_text(record: &Record<'_>) -> String {
    let pairs = record_pairs(record);
    let pairs = pairs.iter().map(|(name, value)| format!(" {name}={value}"));
    pairs.collect()
}

fn record_pairs(record: &Record<'_>) -> Map<String, Value> {
    let mut pairs = PairCollector(Map::new());
    // Visiting fails only where the collector does, which it never does.
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

struct PairCollector(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for PairCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = json_value(&value);
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn json_value(value: &kv::Value<'_>) -> Value {
    let number = value.to_u64().map(Value::from);
    number
        .or_else(|| value.to_i64().map(Value::from))
        .or_else(|| value.to_f64().map(Value::from))
        .or_else(|| value.to_bool().map(Value::from))
        .unwrap_or_else(|| Value::from(value.to_string()))
}

fn timestamp() -> String {
    let now = std::time::UNIX_EPOCH + std::time::Duration::from_millis(clock::unix_now().0);
    humantime::format_rfc3339_millis(now).to_string()
}
