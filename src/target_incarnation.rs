//! The identity of one life of a target.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::names::{TargetId, UnixTime};

/// One life of a target, from its start to its end.
///
/// A target may start again under the name that it had. It knows nothing then of what
/// it held, ran or announced before. What is believed of a target is therefore kept by
/// its life, here and in the messages between daemons, and ends with it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation(TargetId, Option<UnixTime>);

impl TargetIncarnation {
    /// Creates the identity from the target's name and the time of its start, where the
    /// target states it.
    #[must_use]
    pub fn new(name: TargetId, born: Option<UnixTime>) -> Self {
        Self(name, born)
    }

    /// Returns the target's name, which lives share.
    #[must_use]
    pub fn name(&self) -> &TargetId {
        &self.0
    }

    /// Returns the start of this life on the target's own clock, which may step; lives
    /// are told apart by it and not ordered by it.
    #[must_use]
    pub fn born(&self) -> Option<UnixTime> {
        self.1
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl From<&str> for TargetIncarnation {
    fn from(name: &str) -> Self {
        Self(TargetId::from(name), None)
    }
}

impl From<String> for TargetIncarnation {
    fn from(name: String) -> Self {
        Self(TargetId::from(name), None)
    }
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
