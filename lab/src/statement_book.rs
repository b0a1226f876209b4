//! What stand-ins state about themselves, and the requests that arrive meanwhile.

use std::time::Duration;

use pistachiowick::clock::unix_now;
use serde::{Deserialize, Serialize};

use crate::http::HttpAnswer;

/// Header that states that the target is leaving.
const LEAVING_HEADER: &str = "leaving";
/// Reason of a refusal for a time.
const OVERLOAD_REASON: &str = "overloaded";

/// What a stand-in states about itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandInStatement {
    /// States in all answers that it is leaving.
    pub leaves: bool,
    /// Refuses all requests that begin work, each for this many milliseconds.
    pub backoff_ms: Option<u64>,
}

/// One request that arrived while something was stated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatedArrival {
    /// Unix time of its arrival in milliseconds.
    pub at_ms: u64,
    /// What its answer states.
    pub statement: StandInStatement,
}

impl StandInStatement {
    /// Returns the book entry of a request that arrives now, if anything is stated.
    #[must_use]
    pub fn record_arrival(&self) -> Option<StatedArrival> {
        (*self != Self::default()).then(|| StatedArrival {
            at_ms: unix_now().0,
            statement: *self,
        })
    }

    /// Returns the refusal of a request, if all are refused for a time.
    #[must_use]
    pub fn refusal(&self) -> Option<HttpAnswer> {
        let backoff = Duration::from_millis(self.backoff_ms?);
        Some(HttpAnswer::refusal(503, OVERLOAD_REASON, backoff))
    }

    /// States the departure in an answer.
    #[must_use]
    pub fn state_in(&self, answer: HttpAnswer) -> HttpAnswer {
        if self.leaves {
            answer.with(LEAVING_HEADER, "1".to_owned())
        } else {
            answer
        }
    }
}
