//! Executes the platform and engine calls requested by leases, orders and the plan.

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

/// Ports for the authority's calls and the channel for their results.
#[derive(Clone)]
pub struct AuthorityPorts {
    /// Port to the platform.
    pub platform: PlatformPort,
    /// Port to the engines.
    pub engines: EnginePort,
    /// Timeout of a platform call.
    pub call_timeout: Duration,
    /// Longest time that an order may be in flight.
    pub order_flight: Duration,
    /// Channel for the results.
    pub feeds: mpsc::UnboundedSender<FeedEvent>,
}

impl AuthorityPorts {
    /// Starts an action; its result arrives as an event.
    pub fn execute(&self, action: AuthorityAction, state: &mut AuthorityState, fleet: &FleetView) {
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
        let read = timeout(self.call_timeout, (self.platform.read)(object));
        let feeds = self.feeds.clone();
        tokio::spawn(async move {
            let result = read.await.unwrap_or_else(|_| Err(read_timed_out()));
            let _ = feeds.send(FeedEvent::Read { tag, result });
        });
    }

    fn write(&self, tag: CallTag, mark: String, write: ConditionalWrite) {
        let answer = timeout(self.call_timeout, (self.platform.write)(write.clone()));
        let feeds = self.feeds.clone();
        tokio::spawn(async move {
            let result = answer.await.unwrap_or_else(|_| Err(write_timed_out()));
            let _ = feeds.send(FeedEvent::Written {
                tag,
                mark,
                write,
                result,
            });
        });
    }

    // Checks the lease against the current time immediately before the call. The call is
    // cancelled after `order_flight`, so that no order leaves later than a successor
    // allows for.
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
            timeout: self.order_flight,
            body,
        };
        let answer = timeout(self.order_flight, (self.engines.order)(call));
        let feeds = self.feeds.clone();
        tokio::spawn(async move {
            let result = answer.await.unwrap_or_else(|_| Err(order_timed_out()));
            let _ = feeds.send(FeedEvent::Ordered {
                group,
                target,
                result,
            });
        });
    }
}

fn read_timed_out() -> PlatformError {
    PlatformError::Unavailable {
        reason: "the platform call timed out".to_owned(),
        retry_after: Duration::ZERO,
    }
}

fn write_timed_out() -> PlatformError {
    PlatformError::Lost {
        reason: "the platform call timed out".to_owned(),
    }
}

fn order_timed_out() -> TargetError {
    TargetError::Lost {
        reason: "the order timed out".to_owned(),
    }
}
