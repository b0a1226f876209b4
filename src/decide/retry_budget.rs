//! A budget that lets retries be a share of first attempts and no more.
//!
//! Without it an overload feeds itself: refused work comes back as retries, which
//! are refused in turn. A share of first attempts stays bounded at any load.

/// Retries that may be saved up, so that a quiet daemon can still retry.
const MOST_SAVED: f64 = 20.0;
const FIRST_SAVED: f64 = 5.0;

/// Retries allowed at the moment.
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
            saved: FIRST_SAVED,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(MOST_SAVED);
    }

    /// Takes one retry from the budget, if one is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
