//! The identity of one incarnation of a target.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::names::{TargetId, UnixTime};

/// One incarnation of a target: one run of its process, from start to end.
///
/// A target may restart under its old name. It then has lost its caches, its requests and
/// its announcements. State about a target is therefore keyed by incarnation, in daemons
/// and in their messages, and dropped when the incarnation ends.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation(TargetId, Option<UnixTime>);

impl TargetIncarnation {
    /// Creates the identity from the target's name and its start time, if the target
    /// reports one.
    #[must_use]
    pub fn new(name: TargetId, started_at: Option<UnixTime>) -> Self {
        Self(name, started_at)
    }

    /// Returns the target's name, which its incarnations share.
    #[must_use]
    pub fn name(&self) -> &TargetId {
        &self.0
    }

    /// Returns the start time by the target's own clock, which may step; start times
    /// distinguish incarnations but do not order them.
    #[must_use]
    pub fn started_at(&self) -> Option<UnixTime> {
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

/// Writes the name, without the start time.
impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
