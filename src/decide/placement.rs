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
use crate::targets::wire::EngineRole;

/// Candidates looked at for one placement, however large the fleet is.
const MOST_CANDIDATES: usize = 16;
/// Age from which a load report says nothing any more, in milliseconds.
const REPORT_USELESS_MS: u64 = 10_000;
/// Factor on the expected time to the whole answer before it counts as in time.
const FINISH_MARGIN: f64 = 1.25;
/// Largest further factor, for workspaces beyond their due share.
const MOST_SHARE_MARGIN: f64 = 2.0;
/// How alike the other daemons' choices since a report are to one's own: 1 is the same.
const ALIKE: f64 = 0.7;
/// Prefill work an engine may have waiting before requests wait here instead,
/// where shares and deadlines still order them.
const MOST_PREFILL_WAIT_S: f64 = 0.4;

/// Targets that can do the same work.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum PoolKey {
    /// Engines that hold a model.
    Model(ModelName),
    /// Instances of a plain service.
    Service(ServiceName),
}

/// What a request needs of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementNeed {
    /// Pool to choose from.
    pub pool: PoolKey,
    /// Versions allowed; empty allows all.
    pub versions: Vec<String>,
    /// Adapter needed; empty for none.
    pub adapter: String,
    /// Model, version and adapter of an earlier attempt, which a continuation must keep.
    pub pinned_model: Option<String>,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Output tokens still expected.
    pub output_tokens: f64,
    /// When the answer must be whole to be worth placing; `None` places it at any time.
    pub due: Option<MonoTime>,
    /// How the workspace's due share compares to what it got: below 1 beyond its due.
    pub share_factor: f64,
    /// Shared part of the prompt; empty for none.
    pub shared_prefix: String,
    /// Tokens of the shared part.
    pub shared_prefix_tokens: u32,
    /// Targets that failed the request before.
    pub excluded: Vec<TargetId>,
}

/// A target chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: String,
    /// Life of its process as reported last; `None` where it reports none.
    pub incarnation: Option<ProcessIncarnation>,
    /// Model, version and adapter as the engine names them; empty for services.
    pub model: String,
    /// Expected seconds to the first token.
    pub first_token_s: f64,
    /// Expected seconds between tokens.
    pub gap_s: f64,
    /// Expected seconds to the whole answer.
    pub finish_s: f64,
    /// Expected seconds by which the other streams there are delayed, all together:
    /// none of them gains a token while this prompt is read.
    pub delay_s: f64,
    /// Why it was chosen.
    pub reason: String,
}

/// A request of this daemon at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningJob {
    /// The request.
    pub number: JobNumber,
    /// When it was placed.
    pub placed_at: MonoTime,
    /// Prompt tokens to read.
    pub prefill_tokens: f64,
}

/// Own work at one target.
#[derive(Clone, Debug, Default)]
pub struct OwnWork {
    /// Requests in flight.
    pub running: Vec<RunningJob>,
    /// Placement and end of requests that ended since the last report.
    pub ended: Vec<(MonoTime, MonoTime)>,
}

/// Whether a request is mostly reading of its prompt or writing of its answer.
///
/// No stream of an engine gains a token while a long prompt is read. Kept apart, long
/// prompts delay one another only, and answers flow at their full pace.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkSide {
    /// Long prompts.
    Reading,
    /// Everything else.
    Writing,
}

/// Everything a choice looks at.
pub struct PlacementInputs<'a> {
    /// The fleet.
    pub fleet: &'a FleetView,
    /// Targets to choose from.
    pub candidates: CandidateSide<'a>,
    /// Expected times.
    pub costs: &'a CostModel,
    /// Beliefs about caches.
    pub prefixes: &'a PrefixIndex,
    /// Own work by target.
    pub own: &'a IndexMap<TargetId, OwnWork>,
    /// Policy in force.
    pub policy: &'a PolicySettings,
    /// Live daemons, this one included.
    pub live_daemons: usize,
    /// Time of the choice.
    pub now: MonoTime,
}

/// Chooses a target with room for the request, or `None` when all are full.
#[must_use]
pub fn choose_target(
    need: &PlacementNeed,
    inputs: &PlacementInputs<'_>,
    turn: &mut usize,
    rng: &mut SmallRng,
) -> Option<TargetChoice> {
    let candidates = candidates(need, inputs, rng);
    let mut estimates: Vec<TargetEstimate<'_>> = candidates
        .into_iter()
        .filter_map(|target| inputs.fleet.targets.get(target))
        .filter_map(|target| estimate(need, target, inputs))
        .collect();
    let chosen = match inputs.policy.placement {
        PlacementPolicy::Estimate => least(&estimates, |e| e.finish_s + e.delay_s),
        PlacementPolicy::LeastInFlight => least(&estimates, |e| e.load),
        PlacementPolicy::RoundRobin => next_in_turn(estimates.len(), turn),
    }?;
    Some(estimates.swap_remove(chosen).choice(need))
}

/// What a request may expect of one target. Names and reason are copied for the
/// target chosen only: for all of them they would cost more than the choice.
struct TargetEstimate<'a> {
    target: &'a TargetView,
    role: Option<EngineRole>,
    model: &'a str,
    load: f64,
    uncached: f64,
    first_token_s: f64,
    gap_s: f64,
    finish_s: f64,
    delay_s: f64,
}

impl TargetEstimate<'_> {
    fn choice(&self, need: &PlacementNeed) -> TargetChoice {
        TargetChoice {
            target: self.target.id.clone(),
            address: self.target.address.clone(),
            incarnation: self.target.report.as_ref().map(|r| r.incarnation),
            model: self.model.to_owned(),
            first_token_s: self.first_token_s,
            gap_s: self.gap_s,
            finish_s: self.finish_s,
            delay_s: self.delay_s,
            reason: self.reason(need),
        }
    }

    fn reason(&self, need: &PlacementNeed) -> String {
        let Some(role) = self.role else {
            return format!("{} own calls in flight", self.load);
        };
        format!(
            "{role:?} engine, about {:.0} in flight, {:.0} of {:.0} prompt tokens to read, \
             first token in {:.0} ms, whole answer in {:.0} ms, others delayed by {:.0} ms",
            self.load,
            self.uncached,
            need.prompt_tokens,
            self.first_token_s * 1_000.0,
            self.finish_s * 1_000.0,
            self.delay_s * 1_000.0
        )
    }
}

fn least(
    estimates: &[TargetEstimate<'_>],
    score: impl Fn(&TargetEstimate<'_>) -> f64,
) -> Option<usize> {
    let scored = estimates.iter().enumerate();
    scored
        .min_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)))
        .map(|(at, _)| at)
}

fn next_in_turn(count: usize, turn: &mut usize) -> Option<usize> {
    if count == 0 {
        return None;
    }
    *turn = turn.wrapping_add(1);
    Some(*turn % count)
}

/// Draws candidates at random, so that daemons with the same lagging view do not
/// all run to the same target, and adds the holders of the shared prefix.
fn candidates<'a>(
    need: &PlacementNeed,
    inputs: &PlacementInputs<'a>,
    rng: &mut SmallRng,
) -> Vec<&'a TargetId> {
    let side = inputs.candidates;
    if side.len() <= MOST_CANDIDATES {
        return side.iter().collect();
    }
    let mut drawn: Vec<&TargetId> = Vec::with_capacity(MOST_CANDIDATES);
    let holders = inputs.prefixes.holders(&need.shared_prefix);
    let near = holders.iter().map(|h| &h.target);
    drawn.extend(near.filter(|t| side.contains(t)));
    while drawn.len() < MOST_CANDIDATES {
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
    match &need.pool {
        PoolKey::Service(_) => estimate_service(target, inputs),
        PoolKey::Model(model) => estimate_engine(need, model, target, inputs),
    }
}

fn estimate_service<'a>(
    target: &'a TargetView,
    inputs: &PlacementInputs<'_>,
) -> Option<TargetEstimate<'a>> {
    let own = inputs.own.get(&target.id).map_or(0, |o| o.running.len());
    if own >= inputs.policy.service_in_flight {
        return None;
    }
    let load = own as f64;
    Some(TargetEstimate {
        target,
        role: None,
        model: "",
        load,
        uncached: 0.0,
        first_token_s: 0.0,
        gap_s: 0.0,
        finish_s: load,
        delay_s: 0.0,
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
    let label = fitting_model(&report.models, model, need)?;
    let load = EngineLoad::of(target, report, inputs);
    if load.in_flight >= inputs.policy.engine_in_flight as f64 {
        return None;
    }
    let backlog_s = inputs
        .costs
        .prefill_seconds(&target.id, report.role, load.prefill_tokens);
    if load.in_flight >= 1.0 && backlog_s > MOST_PREFILL_WAIT_S {
        return None;
    }
    let uncached = uncached_tokens(need, &target.id, inputs.prefixes);
    let read_s = inputs
        .costs
        .prefill_seconds(&target.id, report.role, uncached);
    let gap_s = mean_gap(target, report, &load, inputs);
    let first_token_s = backlog_s + read_s;
    let finish_s = first_token_s + need.output_tokens * gap_s;
    if !in_time(need, finish_s, inputs.now) {
        return None;
    }
    Some(TargetEstimate {
        target,
        role: Some(report.role),
        model: label,
        load: load.in_flight,
        uncached,
        first_token_s,
        gap_s,
        finish_s,
        delay_s: load.in_flight * read_s,
    })
}

/// Tells whether the answer is expected in time, with a margin for what is unknown.
///
/// A stream placed where it cannot end in time slows the others down until they miss
/// their deadlines too; held back, it finds a less busy engine or is refused. A
/// workspace beyond its due must leave more room: without it a flood of short answers
/// fills every engine until the longer answers of others are in time nowhere.
fn in_time(need: &PlacementNeed, finish_s: f64, now: MonoTime) -> bool {
    let share_margin = (1.0 / need.share_factor).clamp(1.0, MOST_SHARE_MARGIN);
    let margin_s = finish_s * FINISH_MARGIN * share_margin;
    let ends_at = now.plus(Duration::from_secs_f64(margin_s));
    need.due.is_none_or(|due| ends_at <= due)
}

/// Seconds between tokens, over the times in which the engine reads prompts and those
/// in which it does not.
fn mean_gap(
    target: &TargetView,
    report: &LoadReport,
    load: &EngineLoad,
    inputs: &PlacementInputs<'_>,
) -> f64 {
    let (costs, id) = (inputs.costs, &target.id);
    let reading = costs.reading_share(id);
    let quiet_s = costs.gap_seconds(id, report.role, load.in_flight);
    let reading_s = costs.prefill_gap_seconds(id, report.role, load.in_flight);
    (1.0 - reading) * quiet_s + reading * reading_s
}

fn uncached_tokens(need: &PlacementNeed, target: &TargetId, prefixes: &PrefixIndex) -> f64 {
    if need.shared_prefix.is_empty() {
        return need.prompt_tokens;
    }
    let held = prefixes.expected_tokens(&need.shared_prefix, target);
    let shared = held.min(f64::from(need.shared_prefix_tokens));
    (need.prompt_tokens - shared).max(0.0)
}

/// Load of an engine now, from a report that lags and from own work since.
///
/// The other daemons act on the same lagging reports. Without counting their share,
/// every engine that looked free fills up several times over until the next report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EngineLoad {
    in_flight: f64,
    prefill_tokens: f64,
}

impl EngineLoad {
    fn of(target: &TargetView, report: &LoadReport, inputs: &PlacementInputs<'_>) -> Self {
        let age = inputs.now.since(report.taken_at);
        let own = inputs.own.get(&target.id);
        let own_running = own.map_or(0, |o| o.running.len()) as f64;
        if age.as_millis() as u64 > REPORT_USELESS_MS {
            return Self::from_own_work(own_running, inputs.live_daemons);
        }
        let since = |at: MonoTime| at > report.taken_at;
        let placed: Vec<&RunningJob> = own
            .map(|o| o.running.iter().filter(|j| since(j.placed_at)).collect())
            .unwrap_or_default();
        let ended = own.map_or(0, |o| {
            let before = o.ended.iter().filter(|(placed, _)| !since(*placed));
            before.filter(|(_, ended)| since(*ended)).count()
        }) as f64;
        let others = 1.0 + ALIKE * (inputs.live_daemons.max(1) - 1) as f64;
        let change = (placed.len() as f64 - ended) * others;
        let in_flight = f64::from(report.in_flight) + change;
        let read = speed(inputs, target, report.role) * age.as_secs_f64();
        let reported = (report.prefill_backlog_tokens as f64 - read).max(0.0);
        let added: f64 = placed.iter().map(|j| j.prefill_tokens).sum();
        let added = (added * others - read).max(0.0);
        Self {
            in_flight: in_flight.max(own_running),
            prefill_tokens: reported + added,
        }
    }

    /// Without a useful report the other daemons are taken to be as busy as this one.
    fn from_own_work(own_running: f64, live_daemons: usize) -> Self {
        Self {
            in_flight: own_running * live_daemons.max(1) as f64,
            prefill_tokens: 0.0,
        }
    }
}

fn speed(inputs: &PlacementInputs<'_>, target: &TargetView, role: EngineRole) -> f64 {
    1.0 / inputs.costs.prefill_seconds(&target.id, role, 1.0)
}

/// Returns the loaded model that fits the request, the last one listed first.
fn fitting_model<'a>(
    loaded: &'a [String],
    model: &ModelName,
    need: &PlacementNeed,
) -> Option<&'a str> {
    if let Some(pinned) = &need.pinned_model {
        return loaded.iter().find(|l| *l == pinned).map(String::as_str);
    }
    let fits = |label: &&String| {
        let label = ModelLabel::parse(label);
        let version_fits =
            need.versions.is_empty() || need.versions.iter().any(|v| v == label.version);
        label.name == model.as_str() && version_fits && label.adapter == need.adapter
    };
    loaded.iter().rfind(fits).map(String::as_str)
}

/// A loaded model as engines name it: `MODEL`, `MODEL@VERSION`, `MODEL@VERSION+ADAPTER`.
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
    /// Splits a label.
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

/// Shares a fleet view with the scheduler.
pub type SharedFleet = Arc<FleetView>;
