//! The process that claimed a request, and whether it is still there.

use std::fmt;
use std::time::Duration;

use crate::membership::fleet::{FleetView, UseState};
use crate::names::{DaemonId, ProcessIncarnation};

/// One life of a daemon, as records name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimantProcess {
    /// Its name.
    pub daemon: DaemonId,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
}

impl fmt::Display for ClaimantProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.daemon, self.incarnation.0)
    }
}

impl ClaimantProcess {
    /// Reads the claimant of a record; `None` when it names no life of a daemon.
    #[must_use]
    pub fn parse(claimant: &str) -> Option<Self> {
        let (daemon, incarnation) = claimant.rsplit_once('/')?;
        Some(Self {
            daemon: DaemonId::from(daemon),
            incarnation: ProcessIncarnation(incarnation.parse().ok()?),
        })
    }

    /// Returns where this life stands, as far as a view of the fleet shows.
    ///
    /// A daemon that leaves, or fails for the viewer, still counts as there.
    #[must_use]
    pub fn status(&self, fleet: &FleetView) -> ClaimantStatus {
        let Some(view) = fleet.daemons.get(&self.daemon) else {
            return ClaimantStatus::Unlisted;
        };
        // An incarnation that is not known yet is zero, and so newer than none.
        if view.state == UseState::Gone || view.incarnation > self.incarnation {
            return ClaimantStatus::Gone;
        }
        ClaimantStatus::Present
    }
}

/// Time for which a claimant may be missing from the list before it counts as gone. A
/// daemon takes work as soon as it has registered, and another one reads the list once
/// a second: a caller who asked both would be told that the first is gone while it
/// runs the request. Two reads and a slow one fit in.
pub const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);

/// Where the process that claimed a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimantStatus {
    /// It is there.
    Present,
    /// It has ended, or a later process bears its name.
    Gone,
    /// No list read so far names it: it is new, or ended long ago.
    Unlisted,
}

impl ClaimantStatus {
    /// Whether no end of its work is to be awaited, after it was looked for during
    /// `looked`.
    #[must_use]
    pub fn is_final(self, waited: Duration) -> bool {
        match self {
            Self::Present => false,
            Self::Gone => true,
            Self::Unlisted => waited >= UNLISTED_TIMEOUT,
        }
    }
}
