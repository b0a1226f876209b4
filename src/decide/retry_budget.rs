//! A budget that limits retries to a share of first attempts.
//!
//! Without it an overload amplifies itself: refused requests return as retries, which
//! are refused in turn. A share of first attempts stays bounded at any load.

/// Maximum number of saved retries; they let a daemon with few requests still retry.
const MAX_SAVED: f64 = 20.0;
/// Saved retries of a daemon that has just started.
const INITIAL_SAVED: f64 = 5.0;

/// Retries currently allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per first attempt.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            saved: INITIAL_SAVED,
        }
    }

    /// Records a first attempt, which adds its share of a retry.
    pub fn record_attempt(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; returns false if none is left.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
