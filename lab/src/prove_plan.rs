//! Draws the faults of a randomised run from its seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Mean time between two draws of faults.
const MEAN_GAP_MS: f64 = 700.0;

/// Probability that another fault begins at the same moment.
const TOGETHER_CHANCE: f64 = 0.35;

/// Probability that the same fault comes a second time.
const TWICE_CHANCE: f64 = 0.2;

/// Bounds of the length of a fault.
const SPAN_MS: std::ops::RangeInclusive<u64> = 200..=2_500;

/// Bounds of a freeze: longer than the run's leases, shorter than a deadline.
const FREEZE_MS: std::ops::RangeInclusive<u64> = 1_500..=4_000;

/// Bounds of an outage of the platform: up to longer than a target's time to leave.
const OUTAGE_MS: std::ops::RangeInclusive<u64> = 500..=7_000;

/// Bounds of the length of a limit: longer than daemons may take to learn of it.
const LIMIT_SPAN_MS: std::ops::RangeInclusive<u64> = 6_000..=12_000;

/// Bounds of the number of limits in a run.
const LIMIT_COUNT: std::ops::RangeInclusive<usize> = 0..=3;

/// Separates the seed of limits from that of the other faults.
const LIMIT_SEED: u64 = 0x6c69_6d69;

/// What goes wrong, or is changed as planned.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A daemon and the platform are cut off from each other.
    DaemonCutOff,
    /// A daemon's calls reach the platform, and no answer comes back.
    DaemonDeaf,
    /// A daemon is frozen and thawed; separate processes only.
    DaemonFreeze,
    /// A daemon is killed; a new life under its name follows.
    DaemonKill,
    /// A daemon is stopped as planned and replaced.
    DaemonStop,
    /// An engine drops everything and comes back empty.
    EngineCrash,
    /// An engine's lines name another request.
    EngineCrossed,
    /// An engine's streams end without their end.
    EngineCut,
    /// An engine's lines come twice.
    EngineDoubled,
    /// An operator drains an engine and restores it.
    EngineDrain,
    /// An engine does and answers nothing.
    EngineFreeze,
    /// An engine's lines are late.
    EngineLate,
    /// An engine limits the rate of its requests.
    EngineLimits,
    /// An engine is told to leave, and replaced once idle.
    EngineReplace,
    /// An engine ends answers early, with an end line.
    EngineShort,
    /// The instance list lags.
    InstanceLag,
    /// Writes take effect after their answer was lost.
    PlatformDelay,
    /// The platform refuses every call.
    PlatformDown,
    /// Answers to writes are lost.
    PlatformLoss,
    /// The platform is slow.
    PlatformSlow,
    /// Reads and watches show an old state.
    PlatformStale,
    /// A service ends all work without effect and comes back.
    ServiceCrash,
    /// Replies name another request.
    ServiceCrossed,
    /// Answers are lost after the run.
    ServiceLoss,
    /// A service limits the rate of its requests.
    ServiceLimits,
    /// A service is told to leave, and replaced.
    ServiceReplace,
    /// Runs take longer.
    ServiceSlow,
    /// A target and all daemons are cut off from each other.
    TargetCutOff,
    /// Calls reach a target, and no answer comes back.
    TargetDeaf,
}

impl FaultKind {
    /// Every kind that is drawn together with the others. Limits are drawn by themselves, so
    /// that a seed keeps the faults that it had before there were any.
    pub const ALL: [Self; 27] = [
        Self::DaemonCutOff,
        Self::DaemonDeaf,
        Self::DaemonFreeze,
        Self::DaemonKill,
        Self::DaemonStop,
        Self::EngineCrash,
        Self::EngineCrossed,
        Self::EngineCut,
        Self::EngineDoubled,
        Self::EngineDrain,
        Self::EngineFreeze,
        Self::EngineLate,
        Self::EngineReplace,
        Self::EngineShort,
        Self::InstanceLag,
        Self::PlatformDelay,
        Self::PlatformDown,
        Self::PlatformLoss,
        Self::PlatformSlow,
        Self::PlatformStale,
        Self::ServiceCrash,
        Self::ServiceCrossed,
        Self::ServiceLoss,
        Self::ServiceReplace,
        Self::ServiceSlow,
        Self::TargetCutOff,
        Self::TargetDeaf,
    ];

    /// Returns the kind's name in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DaemonCutOff => "daemon_cut_off",
            Self::DaemonDeaf => "daemon_deaf",
            Self::DaemonFreeze => "daemon_freeze",
            Self::DaemonKill => "daemon_kill",
            Self::DaemonStop => "daemon_stop",
            Self::EngineCrash => "engine_crash",
            Self::EngineCrossed => "engine_crossed",
            Self::EngineCut => "engine_cut",
            Self::EngineDoubled => "engine_doubled",
            Self::EngineDrain => "engine_drain",
            Self::EngineFreeze => "engine_freeze",
            Self::EngineLate => "engine_late",
            Self::EngineLimits => "engine_limits",
            Self::EngineReplace => "engine_replace",
            Self::EngineShort => "engine_short",
            Self::InstanceLag => "instance_lag",
            Self::PlatformDelay => "platform_delay",
            Self::PlatformDown => "platform_down",
            Self::PlatformLoss => "platform_loss",
            Self::PlatformSlow => "platform_slow",
            Self::PlatformStale => "platform_stale",
            Self::ServiceCrash => "service_crash",
            Self::ServiceCrossed => "service_crossed",
            Self::ServiceLimits => "service_limits",
            Self::ServiceLoss => "service_loss",
            Self::ServiceReplace => "service_replace",
            Self::ServiceSlow => "service_slow",
            Self::TargetCutOff => "target_cut_off",
            Self::TargetDeaf => "target_deaf",
        }
    }

    /// Returns how often the kind is drawn relative to others. Daemons fail more
    /// often than the rest, since most promises hang on what their death leaves.
    const fn weight(self) -> u32 {
        match self {
            Self::DaemonFreeze | Self::DaemonKill => 4,
            Self::DaemonStop | Self::EngineReplace => 3,
            Self::EngineCrash | Self::PlatformDown | Self::PlatformLoss => 2,
            _ => 1,
        }
    }
}

/// One fault of the plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// When it begins, after the start.
    pub at: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// Drawn number that picks the subject among those there are then.
    pub subject: usize,
    /// How long it lasts.
    pub span: Duration,
}

/// Draws the faults of a run in order of time; none begins after `stretch`.
#[must_use]
pub fn draw_faults(seed: u64, stretch: Duration, has_processes: bool) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() * MEAN_GAP_MS;
        let at = Duration::from_secs_f64(at_ms / 1_000.0);
        if at >= stretch {
            break;
        }
        loop {
            let fault = draw_fault(&mut random, at, has_processes);
            planned.push(fault);
            if random.random_bool(TWICE_CHANCE) {
                let again = at + fault.span.mul_f64(random.random_range(0.1..1.5));
                planned.push(PlannedFault { at: again, ..fault });
            }
            if !random.random_bool(TOGETHER_CHANCE) {
                break;
            }
        }
    }
    planned.extend(draw_limits(seed, stretch));
    planned.retain(|fault| fault.at < stretch);
    planned.sort_by_key(|fault| fault.at);
    planned
}

fn draw_limits(seed: u64, stretch: Duration) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ LIMIT_SEED);
    let kinds = [FaultKind::EngineLimits, FaultKind::ServiceLimits];
    let count = random.random_range(LIMIT_COUNT);
    let limits = (0..count).map(|_| PlannedFault {
        at: stretch.mul_f64(random.random_range(0.0..0.5)),
        kind: kinds[random.random_range(0..kinds.len())],
        subject: random.random_range(0..1_000),
        span: Duration::from_millis(random.random_range(LIMIT_SPAN_MS)),
    });
    limits.collect()
}

fn draw_fault(random: &mut SmallRng, at: Duration, has_processes: bool) -> PlannedFault {
    let kinds = FaultKind::ALL
        .into_iter()
        .filter(|kind| has_processes || *kind != FaultKind::DaemonFreeze);
    let kinds: Vec<FaultKind> = kinds.collect();
    let total: u32 = kinds.iter().map(|kind| kind.weight()).sum();
    let mut place = random.random_range(0..total);
    let mut drawn = kinds[0];
    for kind in kinds {
        drawn = kind;
        if place < kind.weight() {
            break;
        }
        place -= kind.weight();
    }
    let span = match drawn {
        FaultKind::DaemonFreeze => random.random_range(FREEZE_MS),
        FaultKind::PlatformDown => random.random_range(OUTAGE_MS),
        _ => random.random_range(SPAN_MS),
    };
    PlannedFault {
        at,
        kind: drawn,
        subject: random.random_range(0..1_000),
        span: Duration::from_millis(span),
    }
}
