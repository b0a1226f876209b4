//! A caller's request on its way, and the targets that it was sent to.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::crashes::work_digest::WorkDigest;
use crate::gateway::client::OutgoingRequest;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet::FleetView;
use crate::gateway::model::{
    CallerAccess, CallerRequest, PromptShape, RouteRule, ServiceRule, TargetRecord,
};
use crate::gateway::sending::SendPlan;
use crate::names::millis;
use crate::target_incarnation::TargetIncarnation;

/// A caller's request, routed and read.
pub struct RoutedRequest {
    /// Picture of the fleet when it arrived.
    pub view: Arc<FleetView>,
    /// Its route.
    pub route: RouteRule,
    /// Service chosen for it.
    pub service: ServiceRule,
    /// What its head says.
    pub caller: CallerRequest,
    /// Whom it is for.
    pub access: CallerAccess,
    /// What is sent on.
    pub request: OutgoingRequest,
    /// Host that it was sent to.
    pub host: String,
    /// Its digest, once it was asked for.
    pub digest: OnceCell<WorkDigest>,
    /// Whether it is sent though its work is held, to see whether targets withstand it.
    pub on_trial: Cell<bool>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is up, by the caller's patience and the route's limit.
    pub due: Instant,
}

impl RoutedRequest {
    /// Time that a target may still spend.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// Time left for an answer of full worth.
    #[must_use]
    pub fn objective_left(&self) -> Duration {
        let waited = self.arrived.elapsed();
        self.route.objective.saturating_sub(waited)
    }

    /// Its prompt; an empty one where it states none.
    #[must_use]
    pub fn prompt(&self) -> PromptShape {
        self.caller.prompt.clone().unwrap_or_default()
    }

    /// Digest of the work, which attempts of it share.
    #[must_use]
    pub fn work(&self) -> WorkDigest {
        let digest = || work_digest(&self.host, &self.request, &self.access);
        *self.digest.get_or_init(digest)
    }

    /// Plan of a send whose answer is waited for until `until`.
    #[must_use]
    pub fn plan(&self, until: Instant) -> SendPlan<'_> {
        SendPlan {
            call: self,
            until: until.min(self.due),
        }
    }

    /// Logs one send with what decided it.
    pub fn log_send(&self, target: &TargetRecord, step: &str, outcome: &str, sent: Instant) {
        if let Some(missing) = self.view.missing.get(&target.id) {
            log::info!(
                request = self.caller.id.as_str(),
                target_id = target.id.as_str(),
                missing_ms = millis(clock::mono_now().since(missing.since));
                "sent to a target without an entry"
            );
        }
        log::info!(
            request = self.caller.id.as_str(),
            route = self.route.name.as_str(),
            step = step,
            target_id = target.id.as_str(),
            config = self.view.routes.as_ref().map_or(0, |r| r.version),
            outcome = outcome,
            took_ms = sent.elapsed().as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64;
            "sent"
        );
    }
}

/// Returns the digest of a request that was sent to `host`: attempts of one work have
/// method, host, path, whom they are for, and body in common.
#[must_use]
pub fn work_digest(host: &str, request: &OutgoingRequest, access: &CallerAccess) -> WorkDigest {
    let workspace = match access {
        CallerAccess::Open | CallerAccess::Public => "",
        CallerAccess::Workspace { name, .. } => name.as_str(),
    };
    let path = request
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str());
    let texts = [request.method.as_str(), host, path, workspace];
    let [method, host, path, workspace] = texts.map(str::as_bytes);
    WorkDigest::of(&[method, host, path, workspace, &request.body])
}

/// Targets that one request was sent to, or could not be sent to.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    /// Targets that got the request.
    pub sent: Vec<TargetIncarnation>,
    /// Targets that no byte reached.
    pub unreached: Vec<TargetIncarnation>,
    /// Whether one of them ran the request or may have. Whatever a later target says,
    /// the caller must not be told then that nothing ran.
    pub may_have_run: bool,
    /// Whether an engine has read the prompt for another one. The fleet's budget of
    /// repeats allows that once.
    pub prompt_read: bool,
}

impl SendHistory {
    /// Whether a target was tried.
    #[must_use]
    pub fn has(&self, target: &TargetIncarnation) -> bool {
        self.sent.contains(target) || self.unreached.contains(target)
    }

    /// Targets that were tried.
    pub fn tried(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.sent.iter().chain(&self.unreached)
    }

    /// Whether the route allows one more target.
    #[must_use]
    pub fn may_send(&self, call: &RoutedRequest) -> bool {
        (self.sent.len() as u32) < call.route.max_targets
    }

    /// Whether the route allows another target after the next one.
    #[must_use]
    pub fn may_add(&self, call: &RoutedRequest) -> bool {
        (self.sent.len() as u32) + 1 < call.route.max_targets
    }
}

/// Work counted at a target until it is dropped.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    target: TargetIncarnation,
    rank: u8,
    unread_tokens: u32,
}

impl InFlightGuard {
    /// Counts a request of a rank with `unread_tokens` to read.
    pub fn begin(
        gateway: &Rc<Gateway>,
        target: &TargetIncarnation,
        rank: u8,
        unread_tokens: u32,
    ) -> Self {
        let mut core = gateway.core.borrow_mut();
        core.load.begin(target, rank, unread_tokens);
        Self {
            gateway: gateway.clone(),
            target: target.clone(),
            rank,
            unread_tokens,
        }
    }

    /// Notes that the prompt was read.
    pub fn note_read(&mut self) {
        let mut core = self.gateway.core.borrow_mut();
        core.load
            .note_read(&self.target, self.rank, self.unread_tokens);
        self.unread_tokens = 0;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut core = self.gateway.core.borrow_mut();
        core.load.end(&self.target, self.rank, self.unread_tokens);
    }
}
