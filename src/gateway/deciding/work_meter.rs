//! Rate of the prefill and decode work that is placed on engines.

use crate::gateway::deciding::stage_plan::{ServiceTime, WorkRate};
use crate::names::{MonoTime, ServiceName};

/// Time constant of the mean, in seconds: a change of the load that lasts a few seconds
/// does not justify a change of an engine's stage, one that lasts ten seconds does.
const TIME_CONSTANT_S: f64 = 6.0;
/// The same for engine times. Shorter, because the number of servers follows their peaks, and
/// long enough to smooth the requests of one daemon, of which a few arrive per second.
const ENGINE_TIME_CONSTANT_S: f64 = 2.0;
/// Engine time below which a service is dropped from the rate, in engines.
const NEGLIGIBLE_TIME: f64 = 1e-6;

/// Exponentially decaying mean rate of the work that this daemon placed.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    rate: WorkRate,
    at: MonoTime,
}

impl WorkMeter {
    /// Records placed work.
    pub fn note(&mut self, prefill_tokens: u32, decode_tokens: u32, now: MonoTime) {
        self.decay(now);
        self.rate.prefill_tokens += f64::from(prefill_tokens) / TIME_CONSTANT_S;
        self.rate.decode_tokens += f64::from(decode_tokens) / TIME_CONSTANT_S;
    }

    /// Records engine time that prefills of a service take.
    pub fn note_prefill_time(&mut self, service: &ServiceName, engine_ms: f64, now: MonoTime) {
        self.decay(now);
        self.rate.service_mut(service).prefill += engine_ms / 1_000.0 / ENGINE_TIME_CONSTANT_S;
    }

    /// Records engine time that running requests of a service have taken.
    pub fn note_decode_time(&mut self, service: &ServiceName, engine_ms: f64, now: MonoTime) {
        self.decay(now);
        self.rate.service_mut(service).decode += engine_ms / 1_000.0 / ENGINE_TIME_CONSTANT_S;
    }

    /// Returns the mean rate, decayed to `now`.
    #[must_use]
    pub fn rate(&mut self, now: MonoTime) -> WorkRate {
        self.decay(now);
        self.rate.clone()
    }

    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.at).as_secs_f64();
        let factor = (-elapsed / TIME_CONSTANT_S).exp();
        self.rate.prefill_tokens *= factor;
        self.rate.decode_tokens *= factor;
        let factor = (-elapsed / ENGINE_TIME_CONSTANT_S).exp();
        for time in &mut self.rate.services {
            time.prefill *= factor;
            time.decode *= factor;
        }
        let is_relevant = |time: &ServiceTime| time.prefill + time.decode > NEGLIGIBLE_TIME;
        self.rate.services.retain(is_relevant);
        self.at = now;
    }
}
