//! Seeded random decisions shared between tasks.

use std::sync::{Mutex, PoisonError};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A seeded source of random decisions.
pub struct ChanceSource {
    random: Mutex<SmallRng>,
}

impl ChanceSource {
    /// Starts a source from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Returns true with the given probability.
    pub fn happens(&self, probability: f64) -> bool {
        probability > 0.0
            && self
                .random
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .random_bool(probability.min(1.0))
    }

    /// Consumes one of `next` occurrences, or decides by probability.
    pub fn due(&self, next: &mut u32, probability: f64) -> bool {
        if *next > 0 {
            *next -= 1;
            return true;
        }
        self.happens(probability)
    }
}
