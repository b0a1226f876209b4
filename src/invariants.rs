//! Invariants asserted inside the program.
//!
//! A violation is counted, exported as a metric and logged. Tests and randomised
//! runs make it fatal, so that the first one stops the run with its reason.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A promise whose breach this program can notice itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Invariant {
    /// A request that may not be repeated was dispatched a second time.
    AtMostOnce,
    /// A refusal said "not run" of work that may have run.
    NotRunIsTrue,
    /// Bytes of another request, attempt or position reached a caller.
    WholeAnswer,
    /// Two orders for one engine were outstanding, or one was sent without authority.
    OneOrder,
    /// A configuration item went back to an older revision.
    ConfigNeverReverts,
    /// New work was placed on a target known to be leaving.
    NoLateWork,
    /// A planned change cut a request.
    NothingCut,
}

const COUNT: usize = 7;

static FATAL: AtomicBool = AtomicBool::new(false);
static VIOLATIONS: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];

impl Invariant {
    /// Every invariant.
    pub const ALL: [Self; COUNT] = [
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::WholeAnswer,
        Self::OneOrder,
        Self::ConfigNeverReverts,
        Self::NoLateWork,
        Self::NothingCut,
    ];

    /// Returns the invariant's name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at_most_once",
            Self::NotRunIsTrue => "not_run_is_true",
            Self::WholeAnswer => "whole_answer",
            Self::OneOrder => "one_order",
            Self::ConfigNeverReverts => "config_never_reverts",
            Self::NoLateWork => "no_late_work",
            Self::NothingCut => "nothing_cut",
        }
    }
}

/// Makes every later violation panic; for tests and randomised runs.
pub fn make_fatal() {
    FATAL.store(true, Ordering::Relaxed);
}

/// Returns how often an invariant was violated in this process.
#[must_use]
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}

/// Records a violation unless `holds`.
///
/// # Panics
///
/// Panics on a violation after [`make_fatal`].
pub fn check(holds: bool, invariant: Invariant, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let detail = detail();
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    metrics::counter!("pistachiowick_invariant_violations_total", "invariant" => invariant.as_str())
        .increment(1);
    log::error!("invariant {} violated: {detail}", invariant.as_str());
    assert!(
        !FATAL.load(Ordering::Relaxed),
        "invariant {} violated: {detail}",
        invariant.as_str()
    );
}
