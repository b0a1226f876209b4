//! What a refusal states about the time for which its target accepts nothing.

use std::time::Duration;

use crate::target_statements::quoted;

/// Longest backoff that is kept. A longer one may be a mistake of units, and the target would get
/// no request that could correct it.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// What a refusal states about the time for which its target accepts nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum BackoffStatement {
    /// The target states no time.
    #[default]
    None,
    /// The target accepts nothing for this time from the daemon that it answers.
    Requested(Duration),
    /// The target states a time that cannot be read; holds the value, truncated.
    Unreadable(String),
}

impl BackoffStatement {
    /// Reads the values of the header that states a time as a number of `unit`, which may have a
    /// fraction. The longest counts, up to [`MAX_BACKOFF`]; values that cannot be read, such as
    /// dates, count only if there is no other. A time of 0 states nothing.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>, unit: Duration) -> Self {
        let mut statement = Self::None;
        for value in values {
            let backoff = backoff_of(value.trim(), unit);
            statement = match (backoff, statement) {
                (Some(backoff), Self::Requested(longest)) => Self::Requested(longest.max(backoff)),
                (Some(backoff), _) => Self::Requested(backoff),
                (None, Self::None) => Self::Unreadable(quoted(value)),
                (None, statement) => statement,
            };
        }
        match statement {
            Self::Requested(Duration::ZERO) => Self::None,
            statement => statement,
        }
    }
}

fn backoff_of(value: &str, unit: Duration) -> Option<Duration> {
    let number: f64 = value.parse().ok()?;
    if !number.is_finite() || number.is_sign_negative() {
        return None;
    }
    let seconds = number * unit.as_secs_f64();
    Some(Duration::from_secs_f64(
        seconds.min(MAX_BACKOFF.as_secs_f64()),
    ))
}
