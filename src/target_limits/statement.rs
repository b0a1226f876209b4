//! What an answer states about the request rate that its target accepts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest quotation of a value that cannot be read, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// Requests per second that a target accepts from all daemons together: finite and not
/// negative.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` if the number is negative, infinite or not a number.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && !per_second.is_sign_negative();
        is_rate.then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an answer states about the request rate that its target accepts.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RateStatement {
    /// The target names no limit.
    #[default]
    Unlimited,
    /// The target accepts this rate.
    Limited(RequestRate),
    /// The target names a limit that cannot be read; holds the value, truncated.
    Unreadable(String),
}

impl RateStatement {
    /// Reads the values of the header that names a limit. Several values may also be listed in
    /// one, separated by commas. The lowest rate counts; values that cannot be read count only
    /// if there is no other.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut statement = Self::Unlimited;
        for value in values.flat_map(|value| value.split(',')) {
            let value = value.trim();
            let rate = value.parse().ok().and_then(RequestRate::new);
            statement = match (rate, statement) {
                (Some(rate), Self::Limited(lowest)) if lowest <= rate => Self::Limited(lowest),
                (Some(rate), _) => Self::Limited(rate),
                (None, Self::Unlimited) => {
                    Self::Unreadable(value.chars().take(MAX_QUOTED_CHARS).collect())
                }
                (None, statement) => statement,
            };
        }
        statement
    }
}
