//! How fast the engines of a service work, learned from requests.
//!
//! Engines of one deployment read five to eight times faster than those of another, and
//! beside other requests slower than alone, so no speed is a constant here. What one
//! engine of a service and stage shows holds for the others until they show otherwise;
//! how an engine differs from them is its pace, which [`super::health`] keeps.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::deciding::line_fit::{LatencyFit, LinearLatency};
use crate::names::ServiceName;

/// Work whose time is learned. Sizes are the tokens that have to be read before it is
/// done, those of requests ahead included: the time that others take is told from the
/// own one by it, or a full engine would be taken for a slow one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum EngineWork {
    /// A prompt is read for another engine, up to the answer.
    ReadAhead,
    /// The same for a request that gives way to all that can still be in time: those
    /// that come after it take its place too.
    ReadAheadLate,
    /// A prompt is read where its tokens are made, up to the first event.
    ReadHere,
    /// The same for a request that gives way.
    ReadHereLate,
    /// A prompt that was read elsewhere is taken over, up to the first event.
    TakeOver,
}

impl EngineWork {
    /// Returns the work's name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ReadAhead => "read_ahead",
            Self::ReadAheadLate => "read_ahead_late",
            Self::ReadHere => "read_here",
            Self::ReadHereLate => "read_here_late",
            Self::TakeOver => "take_over",
        }
    }

    // Guesses between the engines met so far, which differ by a factor of eight. They
    // weigh as much as two observations and are gone within a second of load.
    fn prior(self) -> LinearLatency {
        let (fixed_ms, token_ms) = match self {
            Self::ReadAhead | Self::ReadAheadLate => (40.0, 0.01),
            Self::ReadHere | Self::ReadHereLate => (40.0, 0.02),
            Self::TakeOver => (30.0, 0.02),
        };
        LinearLatency { fixed_ms, token_ms }
    }
}

/// Lines by which one request is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLatencies {
    /// Reading for another engine.
    pub read_ahead: LinearLatency,
    /// Reading where the tokens are made.
    pub read_here: LinearLatency,
    /// Taking over.
    pub take_over: LinearLatency,
}

/// What is learned of the engines of all services.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    fits: IndexMap<(ServiceName, EngineWork), LatencyFit>,
}

impl EngineSpeeds {
    /// Takes the time of work on `tokens`.
    pub fn note(&mut self, service: &ServiceName, work: EngineWork, tokens: f64, taken_ms: f64) {
        let fit = self.fits.entry((service.clone(), work));
        let fit = fit.or_insert_with(|| LatencyFit::new(work.prior()));
        fit.note(tokens, taken_ms);
    }

    /// Returns the line of one kind of work.
    #[must_use]
    pub fn line(&self, service: &ServiceName, work: EngineWork) -> LinearLatency {
        let fit = self.fits.get(&(service.clone(), work));
        fit.map_or_else(|| work.prior(), LatencyFit::line)
    }

    /// Returns the lines for a request that is in time, or gives way.
    #[must_use]
    pub fn lines(&self, service: &ServiceName, gives_way: bool) -> EngineLatencies {
        let (ahead, here) = if gives_way {
            (EngineWork::ReadAheadLate, EngineWork::ReadHereLate)
        } else {
            (EngineWork::ReadAhead, EngineWork::ReadHere)
        };
        EngineLatencies {
            read_ahead: self.line(service, ahead),
            read_here: self.line(service, here),
            take_over: self.line(service, EngineWork::TakeOver),
        }
    }
}
