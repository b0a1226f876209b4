//! Counts the bytes that this daemon exchanges with other data centres, which have a price.
//!
//! Bytes of requests and of messages to other daemons are counted where they are sent, bytes of
//! answers where they arrive, so that the sum over the fleet contains each once. Headers, the
//! store and copies of KV caches between engines are not counted.

use crate::gateway::daemon::Gateway;
use crate::names::CentreName;

/// Kind of bytes in `pistachiowick_bytes_between_centres_total`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CentreTraffic {
    /// Bodies of requests to targets, prefills included.
    Request,
    /// Bodies of their answers.
    Answer,
    /// Messages to other daemons.
    Peer,
}

impl CentreTraffic {
    fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Peer => "peer",
        }
    }

    /// Counts bytes between data centres.
    pub fn count(self, bytes: usize) {
        metrics::counter!("pistachiowick_bytes_between_centres_total", "kind" => self.as_str())
            .increment(bytes as u64);
    }
}

impl Gateway {
    /// Returns whether a target or daemon in `centre` is in another data centre than this one.
    #[must_use]
    pub fn is_other_centre(&self, centre: &CentreName) -> bool {
        self.settings().centre != *centre
    }

    /// Counts bytes exchanged with a target or daemon in `centre`, if that is another one.
    pub fn count_traffic(&self, traffic: CentreTraffic, centre: &CentreName, bytes: usize) {
        if self.is_other_centre(centre) {
            traffic.count(bytes);
        }
    }
}
