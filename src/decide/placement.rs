//! Chooses a target for one request from a bounded number of candidates.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::candidates::CandidateSide;
use crate::decide::cost::CostModel;
use crate::decide::fair_queue::JobNumber;
use crate::decide::prefix_index::PrefixIndex;
use crate::membership::fleet::{FleetView, LoadReport, TargetView, UseState};
use crate::names::{ModelName, MonoTime, ProcessIncarnation, ServiceName, TargetId};
use crate::settings::{PlacementPolicy, PolicySettings};
use crate::target_limits::tracker::{TurnOffer, TurnOffers};
use crate::targets::wire::EngineRole;

/// Maximum number of candidates evaluated per placement, whatever the fleet's size.
const MAX_CANDIDATES: usize = 16;
/// Age in milliseconds beyond which a load report is ignored.
const MAX_REPORT_AGE_MS: u64 = 10_000;
/// Safety factor on the expected time to the complete answer in the deadline check.
const FINISH_MARGIN: f64 = 1.25;
/// Maximum additional factor for workspaces that have used more than their fair share.
const MAX_SHARE_MARGIN: f64 = 2.0;
/// How similar other daemons' placements since a report are assumed to be to this
/// daemon's; 1 means identical.
const PEER_SIMILARITY: f64 = 0.7;
/// Seconds of prefill work an engine may have queued. Beyond that, requests wait in this
/// daemon's queue, where fair shares and deadlines still order them.
const MAX_PREFILL_BACKLOG_S: f64 = 0.4;

/// Largest reduction of the score of a target at which a turn is about to expire, in seconds
/// or requests: a target that gets no requests cannot show that its limit has ended.
const TURN_DISCOUNT: f64 = 1.0;

/// Targets that can do the same work.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum PoolKey {
    /// Engines that have a model loaded.
    Model(ModelName),
    /// Instances of a service without engines.
    Service(ServiceName),
}

/// What a continuation keeps of the engine that began an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedEngine {
    /// Model, version and adapter: another version would not continue the same text.
    pub model: String,
    /// Version of the engine's software: what two versions write does not fit together.
    pub software: String,
}

/// What a request requires of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementNeed {
    /// Pool to choose from.
    pub pool: PoolKey,
    /// Versions allowed; empty allows all.
    pub versions: Vec<String>,
    /// Adapter needed; empty for none.
    pub adapter: String,
    /// What a continuation keeps of the engine that began the answer.
    pub pinned: Option<PinnedEngine>,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Output tokens still expected.
    pub output_tokens: f64,
    /// When the answer must be complete for the request to be placed; `None`: no limit.
    pub deadline: Option<MonoTime>,
    /// Ratio of the workspace's fair share to its recent use; below 1 when it has used
    /// more than its share.
    pub share_factor: f64,
    /// Shared part of the prompt; empty for none.
    pub shared_prefix: String,
    /// Tokens of the shared part.
    pub shared_prefix_tokens: u32,
    /// Targets on which this request has failed.
    pub excluded: Vec<TargetId>,
}

/// The target chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: String,
    /// Incarnation of its process as last reported; `None` if it reports none.
    pub incarnation: Option<ProcessIncarnation>,
    /// Model, version and adapter as the engine names them; empty for services.
    pub model: String,
    /// Version of its software; empty if it states none.
    pub software: String,
    /// Expected seconds to the first token.
    pub first_token_s: f64,
    /// Expected seconds between tokens.
    pub token_gap_s: f64,
    /// Expected seconds to the complete answer.
    pub finish_s: f64,
    /// Expected delay in seconds of the target's other streams, summed over them: none
    /// of them gains a token while this prompt is prefilled.
    pub delay_s: f64,
    /// Reason for the choice.
    pub reason: String,
}

/// A request that this daemon has placed on a target.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningJob {
    /// The request.
    pub number: JobNumber,
    /// When it was placed.
    pub placed_at: MonoTime,
    /// Prompt tokens to prefill.
    pub prefill_tokens: f64,
}

/// This daemon's work at one target.
#[derive(Clone, Debug, Default)]
pub struct LocalWork {
    /// Requests in flight.
    pub running: Vec<RunningJob>,
    /// Placement and end times of requests that ended since the last report.
    pub ended: Vec<(MonoTime, MonoTime)>,
}

/// Side of a pool that serves a request.
///
/// No stream of an engine gains a token while a long prompt is prefilled. On engines of
/// their own, long prompts delay only one another, and other answers keep full speed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PoolSide {
    /// Long prompts.
    Prefill,
    /// All other requests.
    Decode,
}

/// Inputs of a placement.
pub struct PlacementInputs<'a> {
    /// The fleet.
    pub fleet: &'a FleetView,
    /// Targets to choose from.
    pub candidates: CandidateSide<'a>,
    /// Expected times of prefill and decode.
    pub costs: &'a CostModel,
    /// Engines expected to have shared prefixes cached.
    pub prefixes: &'a PrefixIndex,
    /// This daemon's work by target.
    pub local: &'a IndexMap<TargetId, LocalWork>,
    /// Policy in force.
    pub policy: &'a PolicySettings,
    /// Turns of this daemon at the targets that limit the rate of their requests.
    pub turns: &'a TurnOffers,
    /// Number of live daemons, including this one.
    pub live_daemons: usize,
    /// Time of the placement.
    pub now: MonoTime,
}

/// Chooses a target for the request, or returns `None` when no target can take it.
/// `cursor` is the position of the round-robin policy.
#[must_use]
pub fn choose_target(
    need: &PlacementNeed,
    inputs: &PlacementInputs<'_>,
    cursor: &mut usize,
    rng: &mut SmallRng,
) -> Option<TargetChoice> {
    let candidates = candidates(need, inputs, rng);
    let mut estimates: Vec<TargetEstimate<'_>> = candidates
        .into_iter()
        .filter_map(|target| inputs.fleet.targets.get(target))
        .filter_map(|target| estimate(need, target, inputs))
        .collect();
    let chosen = match inputs.policy.placement {
        PlacementPolicy::Estimate => {
            min_index(&estimates, |e| e.finish_s + e.delay_s - e.turn_discount)
        }
        PlacementPolicy::LeastInFlight => min_index(&estimates, |e| e.load - e.turn_discount),
        PlacementPolicy::RoundRobin => next_round_robin(estimates.len(), cursor),
    }?;
    Some(estimates.swap_remove(chosen).choice(need))
}

/// Expected times of a request on one target. Names and reason are copied for the chosen
/// target only: copying them for every candidate would cost more than the choice itself.
struct TargetEstimate<'a> {
    target: &'a TargetView,
    role: Option<EngineRole>,
    model: &'a str,
    load: f64,
    uncached: f64,
    first_token_s: f64,
    token_gap_s: f64,
    finish_s: f64,
    delay_s: f64,
    turn_discount: f64,
}

impl TargetEstimate<'_> {
    fn choice(&self, need: &PlacementNeed) -> TargetChoice {
        let report = self.target.report.as_ref();
        TargetChoice {
            target: self.target.id.clone(),
            address: self.target.address.clone(),
            incarnation: report.map(|report| report.incarnation),
            model: self.model.to_owned(),
            software: report.map_or_else(String::new, |report| report.software.clone()),
            first_token_s: self.first_token_s,
            token_gap_s: self.token_gap_s,
            finish_s: self.finish_s,
            delay_s: self.delay_s,
            reason: self.reason(need),
        }
    }

    fn reason(&self, need: &PlacementNeed) -> String {
        let Some(role) = self.role else {
            return format!("{} requests of this daemon in flight", self.load);
        };
        format!(
            "{role:?} engine, about {:.0} requests in flight, {:.0} of {:.0} prompt tokens to \
             prefill, first token expected in {:.0} ms, complete answer in {:.0} ms, other \
             streams delayed by {:.0} ms in total",
            self.load,
            self.uncached,
            need.prompt_tokens,
            self.first_token_s * 1_000.0,
            self.finish_s * 1_000.0,
            self.delay_s * 1_000.0
        )
    }
}

fn min_index(
    estimates: &[TargetEstimate<'_>],
    score: impl Fn(&TargetEstimate<'_>) -> f64,
) -> Option<usize> {
    let scored = estimates.iter().enumerate();
    scored
        .min_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)))
        .map(|(at, _)| at)
}

fn next_round_robin(count: usize, cursor: &mut usize) -> Option<usize> {
    if count == 0 {
        return None;
    }
    *cursor = cursor.wrapping_add(1);
    Some(*cursor % count)
}

/// Returns all targets of a small pool side. Of a larger one, draws candidates at random,
/// perhaps some of them twice, so that daemons with the same outdated view do not all
/// choose the same target, and adds the engines that have the shared prefix cached.
fn candidates<'a>(
    need: &PlacementNeed,
    inputs: &PlacementInputs<'a>,
    rng: &mut SmallRng,
) -> Vec<&'a TargetId> {
    let side = inputs.candidates;
    if side.len() <= MAX_CANDIDATES {
        return side.iter().collect();
    }
    let mut drawn: Vec<&TargetId> = Vec::with_capacity(MAX_CANDIDATES);
    let holders = inputs.prefixes.holders(&need.shared_prefix);
    let caching_targets = holders.iter().map(|h| &h.target);
    drawn.extend(caching_targets.filter(|t| side.contains(t)));
    while drawn.len() < MAX_CANDIDATES {
        drawn.extend(side.get(rng.random_range(0..side.len())));
    }
    drawn
}

fn estimate<'a>(
    need: &PlacementNeed,
    target: &'a TargetView,
    inputs: &PlacementInputs<'_>,
) -> Option<TargetEstimate<'a>> {
    if target.state != UseState::Live || need.excluded.contains(&target.id) {
        return None;
    }
    let turn = turn_at(target, inputs.turns);
    if turn.is_some_and(|turn| turn.wait > Duration::ZERO) {
        return None;
    }
    let estimate = match &need.pool {
        PoolKey::Service(_) => estimate_service(target, inputs),
        PoolKey::Model(model) => estimate_engine(need, model, target, inputs),
    }?;
    Some(TargetEstimate {
        turn_discount: turn.map_or(0.0, |turn| TURN_DISCOUNT * turn.age),
        ..estimate
    })
}

fn turn_at(target: &TargetView, turns: &TurnOffers) -> Option<TurnOffer> {
    if turns.is_empty() {
        return None;
    }
    turns.get(&target.incarnation()).copied()
}

fn estimate_service<'a>(
    target: &'a TargetView,
    inputs: &PlacementInputs<'_>,
) -> Option<TargetEstimate<'a>> {
    let local = inputs
        .local
        .get(&target.id)
        .map_or(0, |work| work.running.len());
    if local >= inputs.policy.service_in_flight {
        return None;
    }
    let load = local as f64;
    Some(TargetEstimate {
        target,
        role: None,
        model: "",
        load,
        uncached: 0.0,
        first_token_s: 0.0,
        token_gap_s: 0.0,
        // Services have no time estimate: this ranks them by requests in flight.
        finish_s: load,
        delay_s: 0.0,
        turn_discount: 0.0,
    })
}

fn estimate_engine<'a>(
    need: &PlacementNeed,
    model: &ModelName,
    target: &'a TargetView,
    inputs: &PlacementInputs<'_>,
) -> Option<TargetEstimate<'a>> {
    let report = target.report.as_ref()?;
    if report.changing {
        return None;
    }
    let label = matching_model(report, model, need)?;
    let load = EngineLoad::of(target, report, inputs);
    if load.in_flight >= inputs.policy.engine_in_flight as f64 {
        return None;
    }
    let backlog_s = inputs
        .costs
        .prefill_seconds(&target.id, report.role, load.prefill_tokens);
    if load.in_flight >= 1.0 && backlog_s > MAX_PREFILL_BACKLOG_S {
        return None;
    }
    let uncached = uncached_tokens(need, &target.id, inputs.prefixes);
    let prefill_s = inputs
        .costs
        .prefill_seconds(&target.id, report.role, uncached);
    let token_gap_s = mean_token_gap(target, report, &load, inputs);
    let first_token_s = backlog_s + prefill_s;
    let finish_s = first_token_s + need.output_tokens * token_gap_s;
    if !meets_deadline(need, finish_s, inputs.now) {
        return None;
    }
    Some(TargetEstimate {
        target,
        role: Some(report.role),
        model: label,
        load: load.in_flight,
        uncached,
        first_token_s,
        token_gap_s,
        finish_s,
        delay_s: load.in_flight * prefill_s,
        turn_discount: 0.0,
    })
}

/// Returns whether the answer is expected before its deadline, with a safety margin.
///
/// A stream that cannot meet its deadline on an engine slows the others there until they
/// miss theirs too; if it stays queued, it finds a less busy engine or is refused. A
/// workspace above its fair share needs a larger margin: without it, a flood of short
/// answers fills every engine until no engine can finish other workspaces' longer answers
/// in time.
fn meets_deadline(need: &PlacementNeed, finish_s: f64, now: MonoTime) -> bool {
    let share_margin = (1.0 / need.share_factor).clamp(1.0, MAX_SHARE_MARGIN);
    let margin_s = finish_s * FINISH_MARGIN * share_margin;
    let expected_end = now.plus(Duration::from_secs_f64(margin_s));
    need.deadline
        .is_none_or(|deadline| expected_end <= deadline)
}

/// Returns the mean seconds between tokens, weighted by the share of time in which the
/// engine also prefills prompts.
fn mean_token_gap(
    target: &TargetView,
    report: &LoadReport,
    load: &EngineLoad,
    inputs: &PlacementInputs<'_>,
) -> f64 {
    let (costs, id) = (inputs.costs, &target.id);
    let prefill_share = costs.prefill_time_share(id);
    let decode_only_s = costs.token_gap_seconds(id, report.role, load.in_flight);
    let with_prefill_s = costs.prefill_token_gap_seconds(id, report.role, load.in_flight);
    (1.0 - prefill_share) * decode_only_s + prefill_share * with_prefill_s
}

fn uncached_tokens(need: &PlacementNeed, target: &TargetId, prefixes: &PrefixIndex) -> f64 {
    if need.shared_prefix.is_empty() {
        return need.prompt_tokens;
    }
    let cached = prefixes.expected_tokens(&need.shared_prefix, target);
    let cached_shared = cached.min(f64::from(need.shared_prefix_tokens));
    (need.prompt_tokens - cached_shared).max(0.0)
}

/// Current load of an engine, from its last report and from this daemon's work since.
///
/// The other daemons act on the same outdated reports. If their placements were not
/// estimated too, each engine that looked free would be filled several times over before
/// its next report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EngineLoad {
    in_flight: f64,
    prefill_tokens: f64,
}

impl EngineLoad {
    fn of(target: &TargetView, report: &LoadReport, inputs: &PlacementInputs<'_>) -> Self {
        let age = inputs.now.since(report.taken_at);
        let local = inputs.local.get(&target.id);
        let local_running = local.map_or(0, |work| work.running.len()) as f64;
        if age.as_millis() as u64 > MAX_REPORT_AGE_MS {
            return Self::from_local_work(local_running, inputs.live_daemons);
        }
        let is_since = |at: MonoTime| at > report.taken_at;
        let placed: Vec<&RunningJob> = local
            .map(|work| {
                work.running
                    .iter()
                    .filter(|j| is_since(j.placed_at))
                    .collect()
            })
            .unwrap_or_default();
        let ended = local.map_or(0, |work| {
            let before = work.ended.iter().filter(|(placed, _)| !is_since(*placed));
            before.filter(|(_, ended)| is_since(*ended)).count()
        }) as f64;
        let daemon_factor = 1.0 + PEER_SIMILARITY * (inputs.live_daemons.max(1) - 1) as f64;
        let change = (placed.len() as f64 - ended) * daemon_factor;
        let in_flight = f64::from(report.in_flight) + change;
        let prefilled = prefill_rate(inputs, target, report.role) * age.as_secs_f64();
        let reported = (report.prefill_backlog_tokens as f64 - prefilled).max(0.0);
        let added: f64 = placed.iter().map(|j| j.prefill_tokens).sum();
        let added = (added * daemon_factor - prefilled).max(0.0);
        Self {
            in_flight: in_flight.max(local_running),
            prefill_tokens: reported + added,
        }
    }

    /// Without a usable report, assumes that each other daemon has as much work there as
    /// this one.
    fn from_local_work(local_running: f64, live_daemons: usize) -> Self {
        Self {
            in_flight: local_running * live_daemons.max(1) as f64,
            prefill_tokens: 0.0,
        }
    }
}

fn prefill_rate(inputs: &PlacementInputs<'_>, target: &TargetView, role: EngineRole) -> f64 {
    1.0 / inputs.costs.prefill_seconds(&target.id, role, 1.0)
}

/// Returns the last listed of the loaded models that satisfy the request.
fn matching_model<'a>(
    report: &'a LoadReport,
    model: &ModelName,
    need: &PlacementNeed,
) -> Option<&'a str> {
    let loaded = &report.models;
    if let Some(pinned) = &need.pinned {
        let is_pinned = |label: &&String| **label == pinned.model;
        let found = loaded.iter().find(is_pinned).map(String::as_str);
        return found.filter(|_| report.software == pinned.software);
    }
    let fits = |label: &&String| {
        let label = ModelLabel::parse(label);
        let version_fits =
            need.versions.is_empty() || need.versions.iter().any(|v| v == label.version);
        label.name == model.as_str() && version_fits && label.adapter == need.adapter
    };
    loaded.iter().rfind(fits).map(String::as_str)
}

/// Label of a loaded model as engines report it: `MODEL`, `MODEL@VERSION` or
/// `MODEL@VERSION+ADAPTER`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelLabel<'a> {
    /// Model.
    pub name: &'a str,
    /// Version; empty when not named.
    pub version: &'a str,
    /// Adapter; empty for none.
    pub adapter: &'a str,
}

impl<'a> ModelLabel<'a> {
    /// Splits a label into its parts.
    #[must_use]
    pub fn parse(label: &'a str) -> Self {
        let (base, adapter) = label.split_once('+').unwrap_or((label, ""));
        let (name, version) = base.split_once('@').unwrap_or((base, ""));
        Self {
            name,
            version,
            adapter,
        }
    }
}

/// A fleet view shared with the scheduler.
pub type SharedFleet = Arc<FleetView>;
