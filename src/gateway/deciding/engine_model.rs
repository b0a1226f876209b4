//! Latency of the engines of each service, learned from requests.
//!
//! Engines of one deployment prefill five to eight times faster than those of another,
//! and slower next to other requests than alone, so no speed is a constant here.
//! Observations of one engine are applied to all engines of its service and stage; how
//! far a single engine deviates from them is its slowdown, kept in [`super::health`].

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::deciding::line_fit::{LatencyFit, LinearLatency};
use crate::names::ServiceName;

/// Kind of work whose latency is learned. Its size is the number of tokens to prefill
/// until it is done, those of requests queued ahead included; otherwise a busy engine
/// would be mistaken for a slow one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum EngineWork {
    /// Prefill on a prefill engine for a decode engine, until the answer.
    #[serde(rename = "ReadAhead")]
    RemotePrefill,
    /// The same for a deprioritised request, which later requests overtake.
    #[serde(rename = "ReadAheadLate")]
    RemotePrefillLate,
    /// Prefill on the decode engine itself, until the first event.
    #[serde(rename = "ReadHere")]
    LocalPrefill,
    /// The same for a deprioritised request.
    #[serde(rename = "ReadHereLate")]
    LocalPrefillLate,
    /// Transfer of the KV cache of a prompt prefilled elsewhere, until the first event.
    #[serde(rename = "TakeOver")]
    KvTransfer,
}

impl EngineWork {
    /// Returns the work's name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RemotePrefill => "read_ahead",
            Self::RemotePrefillLate => "read_ahead_late",
            Self::LocalPrefill => "read_here",
            Self::LocalPrefillLate => "read_here_late",
            Self::KvTransfer => "take_over",
        }
    }

    /// Returns whether later requests overtake the work.
    #[must_use]
    pub fn is_late(self) -> bool {
        matches!(self, Self::RemotePrefillLate | Self::LocalPrefillLate)
    }

    // Values between those of known engines, which differ by a factor of eight. They
    // weigh as much as two observations, so those of a second of load outweigh them.
    fn prior(self) -> LinearLatency {
        let (fixed_ms, token_ms) = match self {
            Self::RemotePrefill | Self::RemotePrefillLate => (40.0, 0.01),
            Self::LocalPrefill | Self::LocalPrefillLate => (40.0, 0.02),
            Self::KvTransfer => (30.0, 0.02),
        };
        LinearLatency { fixed_ms, token_ms }
    }
}

/// Latencies that the placement of one request is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLatencies {
    /// Prefill on a prefill engine.
    pub remote_prefill: LinearLatency,
    /// Prefill on the decode engine.
    pub local_prefill: LinearLatency,
    /// Transfer of the KV cache to the decode engine.
    pub kv_transfer: LinearLatency,
}

/// Learned latencies of the engines, by service and kind of work.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    fits: IndexMap<(ServiceName, EngineWork), LatencyFit>,
}

impl EngineSpeeds {
    /// Records the time that work on `tokens` took.
    pub fn note(&mut self, service: &ServiceName, work: EngineWork, tokens: f64, taken_ms: f64) {
        let fit = self.fits.entry((service.clone(), work));
        let fit = fit.or_insert_with(|| LatencyFit::new(work.prior()));
        fit.note(tokens, taken_ms);
    }

    /// Returns the latency of one kind of work.
    #[must_use]
    pub fn latency(&self, service: &ServiceName, work: EngineWork) -> LinearLatency {
        let fit = self.fits.get(&(service.clone(), work));
        fit.map_or_else(|| work.prior(), LatencyFit::latency)
    }

    /// Returns the share of a latency that observations account for, 0 to 1.
    #[must_use]
    pub fn observed_share(&self, service: &ServiceName, work: EngineWork) -> f64 {
        let fit = self.fits.get(&(service.clone(), work));
        fit.map_or(0.0, LatencyFit::observed_share)
    }

    /// Returns the latencies for a request, deprioritised or not.
    #[must_use]
    pub fn latencies(&self, service: &ServiceName, deprioritized: bool) -> EngineLatencies {
        let (remote_prefill, local_prefill) = if deprioritized {
            (EngineWork::RemotePrefillLate, EngineWork::LocalPrefillLate)
        } else {
            (EngineWork::RemotePrefill, EngineWork::LocalPrefill)
        };
        EngineLatencies {
            remote_prefill: self.latency(service, remote_prefill),
            local_prefill: self.latency(service, local_prefill),
            kv_transfer: self.latency(service, EngineWork::KvTransfer),
        }
    }
}
