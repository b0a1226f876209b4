//! Carries out what leases, orders and the plan decide.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::authority::AuthorityState;
use crate::authority::actions::{AuthorityAction, CallTag};
use crate::clock;
use crate::control::feeds::FeedEvent;
use crate::membership::fleet::FleetView;
use crate::names::{GroupName, TargetId};
use crate::ports::{
    ConditionalWrite, EnginePort, ObjectName, PlatformError, PlatformPort, TargetCall, TargetError,
};

/// Ports and channel of the authority's calls.
#[derive(Clone)]
pub struct AuthorityPorts {
    /// The platform.
    pub platform: PlatformPort,
    /// Engines.
    pub engines: EnginePort,
    /// Longest wait for an answer of the platform.
    pub call_wait: Duration,
    /// Longest time an order may be under way.
    pub order_flight: Duration,
    /// Where answers go.
    pub feeds: mpsc::UnboundedSender<FeedEvent>,
}

impl AuthorityPorts {
    /// Starts an action; its answer arrives as an event.
    pub fn carry_out(
        &self,
        action: AuthorityAction,
        state: &mut AuthorityState,
        fleet: &FleetView,
    ) {
        match action {
            AuthorityAction::Read { tag, object } => self.read(tag, object),
            AuthorityAction::Write {
                tag,
                write_id,
                write,
            } => self.write(tag, write_id, write),
            AuthorityAction::Send { group, target } => self.send(group, target, state, fleet),
        }
    }

    fn read(&self, tag: CallTag, object: ObjectName) {
        let read = timeout(self.call_wait, (self.platform.read)(object));
        let feeds = self.feeds.clone();
        tokio::spawn(async move {
            let result = read.await.unwrap_or_else(|_| Err(late_read()));
            let _ = feeds.send(FeedEvent::Read { tag, result });
        });
    }

    fn write(&self, tag: CallTag, mark: String, write: ConditionalWrite) {
        let answer = timeout(self.call_wait, (self.platform.write)(write.clone()));
        let feeds = self.feeds.clone();
        tokio::spawn(async move {
            let result = answer.await.unwrap_or_else(|_| Err(late_write()));
            let _ = feeds.send(FeedEvent::Written {
                tag,
                mark,
                write,
                result,
            });
        });
    }

    // The lease is looked at on a fresh clock and the call is made in the same breath.
    // The call is dropped after one order flight, so that none leaves later than a
    // successor allows for.
    fn send(
        &self,
        group: GroupName,
        target: TargetId,
        state: &mut AuthorityState,
        fleet: &FleetView,
    ) {
        let Some((address, body)) = state.begin_send(&group, &target, fleet, clock::mono_now())
        else {
            return;
        };
        let call = TargetCall {
            address,
            patience: self.order_flight,
            body,
        };
        let answer = timeout(self.order_flight, (self.engines.order)(call));
        let feeds = self.feeds.clone();
        tokio::spawn(async move {
            let result = answer.await.unwrap_or_else(|_| Err(late_order()));
            let _ = feeds.send(FeedEvent::Ordered {
                group,
                target,
                result,
            });
        });
    }
}

fn late_read() -> PlatformError {
    PlatformError::Unavailable {
        reason: "no answer in time".to_owned(),
        retry_after: Duration::ZERO,
    }
}

fn late_write() -> PlatformError {
    PlatformError::Lost {
        reason: "no answer in time".to_owned(),
    }
}

fn late_order() -> TargetError {
    TargetError::Lost {
        reason: "no answer in time".to_owned(),
    }
}
