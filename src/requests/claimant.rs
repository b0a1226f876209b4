//! The daemon process that claimed a request, and whether it is still running.

use std::fmt;
use std::time::Duration;

use crate::membership::fleet::{FleetView, UseState};
use crate::names::{DaemonId, ProcessIncarnation};

/// One run of a daemon process, as records name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimantProcess {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
}

impl fmt::Display for ClaimantProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.daemon, self.incarnation.0)
    }
}

impl ClaimantProcess {
    /// Parses the claimant of a record; `None` when it names no daemon process.
    #[must_use]
    pub fn parse(claimant: &str) -> Option<Self> {
        let (daemon, incarnation) = claimant.rsplit_once('/')?;
        Some(Self {
            daemon: DaemonId::from(daemon),
            incarnation: ProcessIncarnation(incarnation.parse().ok()?),
        })
    }

    /// Returns the status of this process, as far as a view of the fleet shows it.
    ///
    /// A daemon that is leaving or suspected still counts as present.
    #[must_use]
    pub fn status(&self, fleet: &FleetView) -> ClaimantStatus {
        let Some(view) = fleet.daemons.get(&self.daemon) else {
            return ClaimantStatus::Unlisted;
        };
        // An incarnation that is not known yet is zero, and so never newer.
        if view.state == UseState::Gone || view.incarnation > self.incarnation {
            return ClaimantStatus::Gone;
        }
        ClaimantStatus::Present
    }
}

/// Time for which a claimant may be missing from the list of daemons before it counts as
/// gone. A daemon accepts work as soon as it has registered, while others read the list once
/// a second: without this, a caller who sends a request to a new daemon and to another could
/// be answered by the other that the new one is gone while it runs the request. The time
/// allows for two reads and a slow one.
pub const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);

/// Status of the process that claimed a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimantStatus {
    /// It is running.
    Present,
    /// It has ended, or a later process uses its name.
    Gone,
    /// No list of daemons read so far contains it: it is new, or ended long ago.
    Unlisted,
}

impl ClaimantStatus {
    /// Returns whether waiting for its result is pointless after `waited`.
    #[must_use]
    pub fn is_final(self, waited: Duration) -> bool {
        match self {
            Self::Present => false,
            Self::Gone => true,
            Self::Unlisted => waited >= UNLISTED_TIMEOUT,
        }
    }
}
