//! Connections lost under requests, until it shows whose end it was.
//!
//! A lost connection may be the crash of its target, or the end of the link that leads to
//! all targets. Only once a target of the same service is reached in an exchange that began
//! later was it not the link.

use std::time::Duration;

use indexmap::IndexSet;

use crate::crashes::suspect::SuspectKey;
use crate::names::{MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Time within which a partition ends the connections to all targets and refuses new ones.
pub const LINK_END_SPREAD: Duration = Duration::from_millis(25);
/// Time after which a loss that nothing has explained is dropped.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of losses kept; the oldest are dropped first.
const MAX_LOSSES: usize = 4_096;

/// A connection lost under a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConnectionLoss {
    /// Work of the request and parts of its prompt.
    pub suspects: Vec<SuspectKey>,
    /// Route of the request.
    pub route: String,
    /// Service of the target.
    pub service: ServiceName,
    /// The target.
    pub target: TargetIncarnation,
    /// When the connection was lost.
    pub at: MonoTime,
}

/// Losses that may still be those of a link.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLosses {
    losses: Vec<ConnectionLoss>,
}

impl ConnectionLosses {
    /// Adds a loss; returns whether a loss with one of its suspects is kept already.
    pub fn add(&mut self, loss: ConnectionLoss) -> bool {
        self.losses
            .retain(|kept| loss.at.since(kept.at) < RETENTION);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        let is_known = |key: &SuspectKey| loss.suspects.contains(key);
        let repeated = self
            .losses
            .iter()
            .any(|kept| kept.suspects.iter().any(is_known));
        self.losses.push(loss);
        repeated
    }

    /// Returns whether a connection to a target was lost at most `within` before `now`, or may have
    /// been.
    #[must_use]
    pub fn has_lost(&self, target: &TargetIncarnation, within: Duration, now: MonoTime) -> bool {
        let is_recent = |loss: &ConnectionLoss| now.since(loss.at) <= within;
        let mut losses = self.losses.iter().filter(|loss| loss.target == *target);
        losses.any(is_recent)
    }

    /// Takes the losses that a target caused: those well before an exchange of its service
    /// that began at `began` and reached a target.
    pub fn take_caused_by_targets(
        &mut self,
        service: &ServiceName,
        began: MonoTime,
    ) -> Vec<ConnectionLoss> {
        let is_caused = |loss: &mut ConnectionLoss| {
            loss.service == *service && loss.at.plus(LINK_END_SPREAD) <= began
        };
        self.losses.extract_if(.., is_caused).collect()
    }

    /// Returns the services with losses that nothing has explained yet.
    #[must_use]
    pub fn services(&self) -> IndexSet<ServiceName> {
        let services = self.losses.iter().map(|loss| loss.service.clone());
        services.collect()
    }

    /// Drops the losses of a service to which the link has ended; returns their number.
    pub fn drop_service(&mut self, service: &ServiceName) -> usize {
        let before = self.losses.len();
        self.losses.retain(|loss| loss.service != *service);
        before - self.losses.len()
    }
}
