//! A caller's routed request, and the targets that it was sent to.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::crashes::suspect::SuspectKey;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::gateway::admitting::DelayCell;
use crate::gateway::client::OutgoingRequest;
use crate::gateway::daemon::Gateway;
use crate::gateway::fleet::FleetView;
use crate::gateway::handover::HandoverOrigin;
use crate::gateway::model::{
    CallerAccess, CallerRequest, PromptShape, RouteRule, ServiceRule, TargetRecord,
};
use crate::gateway::sending::SendPlan;
use crate::names::{MonoTime, ServiceName, SoftwareVersion, millis};
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::TurnTerms;

/// Time for which a turn is kept for more urgent requests, for each rank.
const TURN_DELAY_PER_RANK: Duration = Duration::from_millis(50);
/// Longest time for which a turn is kept for more urgent requests.
const MAX_TURN_DELAY: Duration = Duration::from_millis(400);
/// Share of the time left within the latency objective that a request may wait for a turn.
const MAX_TURN_WAIT_SHARE: f64 = 0.5;

/// Distinguishes digests of parts from those of work.
const PART_DOMAIN: &[u8] = b"part";

/// A caller's request with its route, service and access.
pub struct RoutedRequest {
    /// Snapshot of the fleet when the request arrived.
    pub view: Arc<FleetView>,
    /// Route of the request.
    pub route: RouteRule,
    /// Service chosen for the request.
    pub service: ServiceRule,
    /// Contents of the request head.
    pub caller: CallerRequest,
    /// Workspace that the request is for.
    pub access: CallerAccess,
    /// Request to forward.
    pub request: OutgoingRequest,
    /// Host in the request.
    pub host: String,
    /// Digest of the work, computed when first needed.
    pub digest: OnceCell<SuspectDigest>,
    /// Digests of the parts of its prompt, computed when first needed.
    pub parts: OnceCell<Vec<SuspectDigest>>,
    /// Whether it is sent although its work is quarantined, to find out whether it still
    /// crashes targets.
    pub is_probe: Cell<bool>,
    /// Where it comes from, if another daemon handed it over.
    pub origin: Option<HandoverOrigin>,
    /// Version of the software that began its stream, once the caller may have an event of it.
    /// The stream goes on at targets of this version only.
    pub software: OnceCell<SoftwareVersion>,
    /// Its sends, as the fleet's retry budget counts them.
    pub sends: SendCounts,
    /// Measures the time to its first event, once it is placed.
    pub delay: DelayCell,
    /// When the request arrived.
    pub arrived: Instant,
    /// Earlier of the caller's deadline and the route's time limit.
    pub deadline: Instant,
}

impl RoutedRequest {
    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns when the request arrived, by the clock that decisions use.
    #[must_use]
    pub fn arrived_at(&self) -> MonoTime {
        let waited = millis(self.arrived.elapsed());
        MonoTime(clock::mono_now().0.saturating_sub(waited))
    }

    /// Returns whether a target may get the request: one of another software version must not
    /// go on with its stream.
    #[must_use]
    pub fn allows(&self, target: &TargetRecord) -> bool {
        let software = self.software.get();
        software.is_none_or(|software| *software == target.software)
    }

    /// Returns the number of targets that received the request before it arrived here.
    #[must_use]
    pub fn prior_sends(&self) -> u32 {
        self.origin.as_ref().map_or(0, |origin| origin.sends)
    }

    /// Returns the time left for an answer within the latency objective.
    #[must_use]
    pub fn objective_left(&self) -> Duration {
        let waited = self.arrived.elapsed();
        self.route.objective.saturating_sub(waited)
    }

    /// Returns the prompt, or an empty one if the request has none.
    #[must_use]
    pub fn prompt(&self) -> PromptShape {
        self.caller.prompt.clone().unwrap_or_default()
    }

    /// Returns the digest of the work, which all its attempts share.
    #[must_use]
    pub fn work(&self) -> SuspectDigest {
        let digest = || work_digest(&self.host, &self.request, &self.access);
        *self.digest.get_or_init(digest)
    }

    /// Returns the digests of the parts that its prompt may share with others: all but the last.
    #[must_use]
    pub fn parts(&self) -> &[SuspectDigest] {
        let digests = || {
            self.caller
                .prompt
                .as_ref()
                .map_or_else(Vec::new, part_digests)
        };
        self.parts.get_or_init(digests)
    }

    /// Returns everything about it that may crash targets.
    #[must_use]
    pub fn suspects(&self) -> Vec<SuspectKey> {
        let parts = self.parts().iter().map(|part| SuspectKey::Part(*part));
        parts.chain([SuspectKey::Work(self.work())]).collect()
    }

    /// Returns the plan of a send whose answer head is awaited until `deadline`.
    #[must_use]
    pub fn plan(&self, deadline: Instant, turn_terms: TurnTerms) -> SendPlan<'_> {
        SendPlan {
            call: self,
            deadline: deadline.min(self.deadline),
            turn_terms,
        }
    }

    /// Returns how new work may use turns at targets that limit the rate of their requests.
    #[must_use]
    pub fn turn_terms(&self) -> TurnTerms {
        turn_terms(self.route.urgency, self.objective_left())
    }

    /// Returns the same for work that is continued: a part of its cost is already spent.
    #[must_use]
    pub fn continued_turn_terms(&self) -> TurnTerms {
        TurnTerms {
            kept_for_urgent: Duration::ZERO,
            max_wait: self.route.objective.min(self.time_left()),
        }
    }

    /// Logs one send and its outcome.
    pub fn log_send(&self, target: &TargetRecord, step: &str, outcome: &str, sent: Instant) {
        if let Some(missing) = self.view.missing_entries.get(&target.id) {
            log::info!(
                request = self.caller.id.as_str(),
                target_id = target.id.as_str(),
                missing_ms = millis(clock::mono_now().since(missing.since));
                "request sent to a target whose entry is missing from the store"
            );
        }
        log::info!(
            request = self.caller.id.as_str(),
            route = self.route.name.as_str(),
            step = step,
            target_id = target.id.as_str(),
            software = target.software.as_str(),
            config = self.view.routes.as_ref().map_or(0, |r| r.version),
            outcome = outcome,
            took_ms = sent.elapsed().as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64;
            "sent"
        );
    }
}

/// Returns how new work of a rank may use turns, with the time left within its objective.
#[must_use]
pub fn turn_terms(urgency: u8, objective_left: Duration) -> TurnTerms {
    let kept_for_urgent = TURN_DELAY_PER_RANK * u32::from(urgency);
    TurnTerms {
        kept_for_urgent: kept_for_urgent.min(MAX_TURN_DELAY),
        max_wait: objective_left.mul_f64(MAX_TURN_WAIT_SHARE),
    }
}

/// Returns the digest of a request to `host`. Attempts of the same work have the same
/// method, host, path, workspace and body.
#[must_use]
pub fn work_digest(host: &str, request: &OutgoingRequest, access: &CallerAccess) -> SuspectDigest {
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
    SuspectDigest::of(&[method, host, path, workspace, &request.body])
}

/// Returns the digests of the parts that a prompt may share with others: all but the last. The
/// same part for another model is another one, since engines cache it apart.
#[must_use]
pub fn part_digests(prompt: &PromptShape) -> Vec<SuspectDigest> {
    let shared = prompt
        .parts
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let model = prompt.model.as_bytes();
    let digests = shared
        .iter()
        .map(|part| SuspectDigest::of(&[PART_DOMAIN, model, &part.key.to_le_bytes()]));
    digests.collect()
}

/// Returns digests as they are logged.
#[must_use]
pub fn join_digests(digests: &[SuspectDigest]) -> String {
    let texts: Vec<String> = digests.iter().map(SuspectDigest::to_string).collect();
    texts.join(" ")
}

/// Sends of one request, as the fleet's retry budget counts them.
#[derive(Debug, Default)]
pub struct SendCounts {
    // Sends that arrived at a target, without the first prefill that an engine accepted.
    arrived: Cell<u32>,
    retries: Cell<u32>,
    prefill_accepted: Cell<bool>,
}

impl SendCounts {
    /// Returns whether another send is the first one or was taken from the budget.
    #[must_use]
    pub fn covers_next(&self) -> bool {
        self.arrived.get() <= self.retries.get()
    }

    /// Returns the same while `pending` other sends may arrive.
    #[must_use]
    pub fn covers_next_beside(&self, pending: usize) -> bool {
        self.arrived.get() as usize + pending <= self.retries.get() as usize
    }

    /// Records a retry that was taken from the budget.
    pub fn note_retry(&self) {
        self.retries.set(self.retries.get() + 1);
    }

    /// Records a send that arrived or may have arrived.
    pub fn note_arrival(&self, accepted_prefill: bool) {
        if accepted_prefill && !self.prefill_accepted.replace(true) {
            return;
        }
        self.arrived.set(self.arrived.get() + 1);
    }
}

/// Targets that a request was sent to or could not be sent to.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    /// Targets that received the request.
    pub sent: Vec<TargetIncarnation>,
    /// Targets that could not be reached, or where the request arrived at another target
    /// or at an engine in another stage.
    pub unreached: Vec<TargetIncarnation>,
    /// Whether a target ran the request or may have run it. If so, the caller must not be
    /// told that it has not run, whatever later targets answer.
    pub may_have_run: bool,
    /// Whether an engine has prefilled the prompt for another one. The first such prefill
    /// takes no retry from the fleet's budget; each later one does.
    pub prompt_prefilled: bool,
}

impl SendHistory {
    /// Returns whether a target was tried.
    #[must_use]
    pub fn has(&self, target: &TargetIncarnation) -> bool {
        self.sent.contains(target) || self.unreached.contains(target)
    }

    /// Returns the targets that were tried.
    pub fn tried(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.sent.iter().chain(&self.unreached)
    }

    /// Returns whether the route allows one more target.
    #[must_use]
    pub fn may_send(&self, call: &RoutedRequest) -> bool {
        (self.sent.len() as u32) + call.prior_sends() < call.route.max_targets
    }

    /// Returns whether the route allows another target after the next one.
    #[must_use]
    pub fn may_send_after_next(&self, call: &RoutedRequest) -> bool {
        (self.sent.len() as u32) + call.prior_sends() + 1 < call.route.max_targets
    }
}

/// Counts a request as in flight at a target until dropped.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    target: TargetIncarnation,
    rank: u8,
    pending_prefill_tokens: u32,
    // Service, share of the engine that the request occupies, and since when.
    occupied: Option<(ServiceName, f64, MonoTime)>,
}

impl InFlightGuard {
    /// Counts a request of prefill rank `rank` (0 is prefilled first) with
    /// `pending_prefill_tokens` to prefill.
    pub fn begin(
        gateway: &Rc<Gateway>,
        target: &TargetIncarnation,
        rank: u8,
        pending_prefill_tokens: u32,
    ) -> Self {
        let mut core = gateway.core.borrow_mut();
        core.load.begin(target, rank, pending_prefill_tokens);
        Self {
            gateway: gateway.clone(),
            target: target.clone(),
            rank,
            pending_prefill_tokens,
            occupied: None,
        }
    }

    /// Measures the time for which the request occupies `share` of the engine.
    pub fn measure_occupancy(&mut self, service: &ServiceName, share: f64) {
        self.occupied = Some((service.clone(), share, clock::mono_now()));
    }

    /// Records that the prompt was prefilled.
    pub fn note_prefilled(&mut self) {
        let mut core = self.gateway.core.borrow_mut();
        core.load
            .note_prefilled(&self.target, self.rank, self.pending_prefill_tokens);
        self.pending_prefill_tokens = 0;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut core = self.gateway.core.borrow_mut();
        core.load
            .end(&self.target, self.rank, self.pending_prefill_tokens);
        if let Some((service, share, since)) = &self.occupied {
            let now = clock::mono_now();
            let engine_ms = now.since(*since).as_secs_f64() * 1_000.0 * share;
            core.work.note_decode_time(service, engine_ms, now);
        }
    }
}
