//! Limits on the rate of requests that stand-ins name, and the requests that arrive meanwhile.

use pistachiowick::clock::unix_now;
use serde::{Deserialize, Serialize};

use crate::http::HttpAnswer;

/// Header with the requests per second that a target accepts from all daemons together.
const RATE_LIMIT_HEADER: &str = "request-limit";

/// One request that arrived while a limit was named.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitedArrival {
    /// Unix time of its arrival in milliseconds.
    pub at_ms: u64,
    /// Unix time of the first arrival under this limit.
    pub named_at_ms: u64,
    /// The limit, in requests per second.
    pub rate: f64,
}

/// The limit of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct NamedLimit {
    rate: Option<f64>,
    named_at_ms: Option<u64>,
}

impl NamedLimit {
    /// Sets the limit to name from now on.
    pub fn set(&mut self, rate: Option<f64>) {
        if self.rate != rate {
            *self = Self {
                rate,
                named_at_ms: None,
            };
        }
    }

    /// Forgets that the limit was named: a new life of the target names it anew.
    pub fn restart(&mut self) {
        self.named_at_ms = None;
    }

    /// Returns the book entry of a request that arrives now, if a limit is named.
    pub fn record_arrival(&mut self) -> Option<LimitedArrival> {
        let rate = self.rate?;
        let at_ms = unix_now().0;
        Some(LimitedArrival {
            at_ms,
            named_at_ms: *self.named_at_ms.get_or_insert(at_ms),
            rate,
        })
    }

    /// Names the limit in an answer.
    #[must_use]
    pub fn name_in(&self, answer: HttpAnswer) -> HttpAnswer {
        match self.rate {
            Some(rate) => answer.with(RATE_LIMIT_HEADER, rate.to_string()),
            None => answer,
        }
    }
}
