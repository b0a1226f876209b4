//! Logs to standard error, as JSON lines or as text.
//!
//! What happens often is counted in metrics; lines are written for changes of
//! state. Keys, tokens, prompts and answers are never logged.

use std::fmt;
use std::io;

use fern::{Dispatch, FormatCallback, InitError};
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
            "{} {:5} {}: {message}",
            timestamp(),
            record.level(),
            record.target()
        )),
    }
}

fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> Value {
    let mut fields = Map::new();
    fields.insert("at".to_owned(), Value::from(timestamp()));
    fields.insert(
        "level".to_owned(),
        Value::from(record.level().as_str().to_lowercase()),
    );
    fields.insert("target".to_owned(), Value::from(record.target()));
    fields.insert("message".to_owned(), Value::from(message.to_string()));
    Value::Object(fields)
}

fn timestamp() -> String {
    let now = std::time::UNIX_EPOCH + std::time::Duration::from_millis(clock::unix_now().0);
    humantime::format_rfc3339_millis(now).to_string()
}
