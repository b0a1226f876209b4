//! The process that claimed a request, and whether it is still there.

use std::fmt;

use crate::membership::fleet::{FleetView, UseState};
use crate::names::{DaemonId, ProcessIncarnation};

/// One life of a daemon, as records name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimantLife {
    /// Its name.
    pub daemon: DaemonId,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
}

impl fmt::Display for ClaimantLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.daemon, self.incarnation.0)
    }
}

impl ClaimantLife {
    /// Reads the claimant of a record; `None` when it names no life of a daemon.
    #[must_use]
    pub fn parse(claimant: &str) -> Option<Self> {
        let (daemon, incarnation) = claimant.rsplit_once('/')?;
        Some(Self {
            daemon: DaemonId::from(daemon),
            incarnation: ProcessIncarnation(incarnation.parse().ok()?),
        })
    }

    /// Tells whether this life has ended, as far as a view of the fleet shows.
    ///
    /// A daemon that leaves, or fails for the viewer, still counts as there.
    #[must_use]
    pub fn is_gone(&self, fleet: &FleetView) -> bool {
        // An incarnation that is not known yet is zero, and so newer than none.
        fleet
            .daemons
            .get(&self.daemon)
            .is_none_or(|view| view.state == UseState::Gone || view.incarnation > self.incarnation)
    }
}
