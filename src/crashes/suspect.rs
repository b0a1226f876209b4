//! What may have crashed a target, and when it is quarantined.

use std::time::Duration;

use crate::crashes::suspect_digest::SuspectDigest;

/// Something that all requests have in common that may have crashed targets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspectKey {
    /// A part that prompts share.
    Part(SuspectDigest),
    /// The work of one caller, which all its attempts share.
    Work(SuspectDigest),
}

impl SuspectKey {
    /// Returns its digest.
    #[must_use]
    pub fn digest(self) -> SuspectDigest {
        match self {
            Self::Part(digest) | Self::Work(digest) => digest,
        }
    }

    /// Returns whether it is a part.
    #[must_use]
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }

    /// Returns the name of its kind in logs and metrics.
    #[must_use]
    pub fn kind(self) -> &'static str {
        match self {
            Self::Part(_) => "part",
            Self::Work(_) => "work",
        }
    }

    /// Returns when a suspect of its kind is quarantined and tried again.
    #[must_use]
    pub fn rule(self) -> &'static QuarantineRule {
        match self {
            Self::Part(_) => &PART_RULE,
            Self::Work(_) => &WORK_RULE,
        }
    }
}

/// When suspects of a kind are quarantined and tried again.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineRule {
    /// Number of crashed targets at which a suspect is quarantined.
    pub crashes: usize,
    /// Delays after the last crash until a quarantined suspect gets its first trial and, if that
    /// crashes another target, its second. After both it stays quarantined until an operator
    /// releases it.
    pub trial_delays: [Duration; 2],
}

/// A caller repeats its work a few times, and nobody else is refused with it.
const WORK_RULE: QuarantineRule = QuarantineRule {
    crashes: 3,
    trial_delays: [Duration::from_secs(600), Duration::from_secs(3_600)],
};
/// Many callers share a part, and many requests run beside each crash.
const PART_RULE: QuarantineRule = QuarantineRule {
    crashes: 4,
    trial_delays: [Duration::from_secs(60), Duration::from_secs(600)],
};
