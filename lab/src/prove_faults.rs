//! Carries out the faults of a randomised run, each in a task of its own.

use std::time::Duration;

use eyre::Result;
use indexmap::IndexMap;
use pistachiowick::pb::TargetRequest;
use tokio::task::JoinSet;

use crate::engine::RunningEngine;
use crate::engine_options::EngineFaults;
use crate::fleet::operator_call;
use crate::platform::PlatformFaults;
use crate::prove_books::{BlindBook, HoldBook};
use crate::prove_fleet::{ProveFleet, SharedFleet, operations, unix_ms};
use crate::prove_plan::{FaultKind, PlannedFault};
use crate::relay::RelayFault;
use crate::service::{RunningService, ServiceFaults};

/// Time after a death until the instance list shows it.
const UNLIST_AFTER: Duration = Duration::from_millis(500);

/// Longest wait for a leaving target to end its work.
const IDLE_WAIT: Duration = Duration::from_secs(20);

/// Time after an outage until every daemon has read the instance list again.
const READ_AGAIN: Duration = Duration::from_secs(1);

/// Least time between the word to leave and the end of a target.
const LEAVE_WAIT: Duration = Duration::from_secs(5);

/// Pause between two looks or tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for an operator's call.
const OPERATOR_WAIT: Duration = Duration::from_secs(3);

/// Tries to restore a drained target.
const RESTORE_TRIES: usize = 200;
const FEW_TRIES: usize = 10;

/// Lag of the instance list without a fault, and with it.
const USUAL_LAG_MS: u64 = 100;
const LONG_LAG_MS: u64 = 1_000;

/// Limits that targets name, in requests per second.
const LIMITS: [f64; 4] = [0.0, 0.2, 0.5, 1.5];

/// Faults under way.
#[derive(Default)]
pub struct FaultRunner {
    tasks: JoinSet<Result<()>>,
    /// Faults carried out, by kind.
    pub counts: IndexMap<&'static str, u32>,
    /// Spans in which some daemon could not learn who leaves.
    pub blind: Vec<BlindBook>,
}

impl FaultRunner {
    /// Begins a fault.
    pub fn begin(&mut self, fleet: &SharedFleet, fault: PlannedFault) {
        *self.counts.entry(fault.kind.as_str()).or_default() += 1;
        if blinds_daemons(fault.kind) {
            let from_ms = unix_ms();
            let span = fault.span + READ_AGAIN;
            self.blind.push(BlindBook {
                from_ms,
                until_ms: from_ms + span.as_millis() as u64,
            });
        }
        self.tasks.spawn(carry_out(fleet.clone(), fault));
    }

    /// Waits until every fault has ended.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the bench itself.
    pub async fn finish(&mut self) -> Result<()> {
        while let Some(ended) = self.tasks.join_next().await {
            ended??;
        }
        Ok(())
    }
}

/// Tells whether a fault keeps a daemon from reading the instance list.
const fn blinds_daemons(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::DaemonCutOff
            | FaultKind::DaemonDeaf
            | FaultKind::DaemonFreeze
            | FaultKind::PlatformDown
    )
}

async fn carry_out(fleet: SharedFleet, fault: PlannedFault) -> Result<()> {
    match fault.kind {
        FaultKind::DaemonFreeze => freeze_daemon(&fleet, fault).await,
        FaultKind::DaemonKill => kill_daemon(&fleet, fault).await,
        FaultKind::DaemonStop => stop_daemon(&fleet, fault).await,
        FaultKind::EngineDrain => {
            drain_engine(&fleet, fault).await;
            Ok(())
        }
        FaultKind::EngineReplace => replace_target(&fleet, "engine", fault).await,
        FaultKind::ServiceReplace => replace_target(&fleet, "service", fault).await,
        FaultKind::DaemonCutOff
        | FaultKind::DaemonDeaf
        | FaultKind::TargetCutOff
        | FaultKind::TargetDeaf => {
            cut_off(&fleet, fault).await;
            Ok(())
        }
        FaultKind::InstanceLag => {
            fleet.lock().await.lab.platform.set_lag(LONG_LAG_MS);
            tokio::time::sleep(fault.span).await;
            fleet.lock().await.lab.platform.set_lag(USUAL_LAG_MS);
            Ok(())
        }
        FaultKind::PlatformDelay
        | FaultKind::PlatformDown
        | FaultKind::PlatformLoss
        | FaultKind::PlatformSlow
        | FaultKind::PlatformStale => {
            trouble_platform(&fleet, fault).await;
            Ok(())
        }
        FaultKind::EngineCrash
        | FaultKind::EngineCrossed
        | FaultKind::EngineCut
        | FaultKind::EngineDoubled
        | FaultKind::EngineFreeze
        | FaultKind::EngineLate
        | FaultKind::EngineLimits
        | FaultKind::EngineShort => {
            trouble_engine(&fleet, fault).await;
            Ok(())
        }
        FaultKind::ServiceCrash
        | FaultKind::ServiceCrossed
        | FaultKind::ServiceLimits
        | FaultKind::ServiceLoss
        | FaultKind::ServiceSlow => {
            trouble_service(&fleet, fault).await;
            Ok(())
        }
    }
}

async fn kill_daemon(fleet: &SharedFleet, fault: PlannedFault) -> Result<()> {
    let (slot, host) = {
        let mut fleet = fleet.lock().await;
        let Some(slot) = fleet.spare_slot(fault.subject) else {
            return Ok(());
        };
        let Some(host) = fleet.take_daemon(slot) else {
            return Ok(());
        };
        let address = host.addresses.rpc.to_string();
        fleet.book_life(&address, |life| life.killed_at_ms = Some(unix_ms()));
        (slot, host)
    };
    host.kill().await;
    let listed = fault.span.min(UNLIST_AFTER);
    tokio::time::sleep(listed).await;
    fleet.lock().await.unlist(slot);
    tokio::time::sleep(fault.span - listed).await;
    fleet.lock().await.start_daemon(slot).await
}

async fn stop_daemon(fleet: &SharedFleet, fault: PlannedFault) -> Result<()> {
    let (slot, host) = {
        let mut fleet = fleet.lock().await;
        let Some(slot) = fleet.spare_slot(fault.subject) else {
            return Ok(());
        };
        fleet.announce_daemon_leaving(slot);
        let Some(host) = fleet.take_daemon(slot) else {
            return Ok(());
        };
        let address = host.addresses.rpc.to_string();
        fleet.book_life(&address, |life| life.stop_at_ms = Some(unix_ms()));
        (slot, host)
    };
    host.stop().await?;
    fleet.lock().await.unlist(slot);
    fleet.lock().await.start_daemon(slot).await
}

async fn freeze_daemon(fleet: &SharedFleet, fault: PlannedFault) -> Result<()> {
    let slot = {
        let mut fleet = fleet.lock().await;
        let Some(slot) = fleet.spare_slot(fault.subject) else {
            return Ok(());
        };
        if let Some(host) = &fleet.slots[slot].host {
            host.set_frozen(true).await?;
        }
        fleet.slots[slot].frozen = true;
        slot
    };
    tokio::time::sleep(fault.span).await;
    let mut fleet = fleet.lock().await;
    if let Some(host) = &fleet.slots[slot].host {
        host.set_frozen(false).await?;
    }
    fleet.slots[slot].frozen = false;
    Ok(())
}

async fn trouble_platform(fleet: &SharedFleet, fault: PlannedFault) {
    let mut faults = PlatformFaults::default();
    match fault.kind {
        FaultKind::PlatformDelay => {
            faults.delay_chance = 0.4;
            faults.delay_by_ms = 400;
        }
        FaultKind::PlatformDown => faults.down = true,
        FaultKind::PlatformLoss => {
            faults.lose_chance = 0.4;
            faults.lose_by_status = fault.subject.is_multiple_of(2);
        }
        FaultKind::PlatformSlow => faults.slow_ms = 150,
        _ => faults.stale_ms = 1_000,
    }
    let number = {
        let mut fleet = fleet.lock().await;
        let number = fleet.platform_faults.add(faults);
        set_platform(&fleet);
        number
    };
    tokio::time::sleep(fault.span).await;
    let mut fleet = fleet.lock().await;
    fleet.platform_faults.remove(number);
    set_platform(&fleet);
}

fn set_platform(fleet: &ProveFleet) {
    let merge = |all: &mut PlatformFaults, fault: &PlatformFaults| {
        all.down |= fault.down;
        all.slow_ms = all.slow_ms.max(fault.slow_ms);
        all.lose_chance = all.lose_chance.max(fault.lose_chance);
        all.lose_by_status |= fault.lose_by_status;
        all.delay_chance = all.delay_chance.max(fault.delay_chance);
        all.delay_by_ms = all.delay_by_ms.max(fault.delay_by_ms);
        all.stale_ms = all.stale_ms.max(fault.stale_ms);
    };
    let faults = fleet.platform_faults.merged(merge);
    fleet.lab.platform.set_faults(faults);
}

async fn trouble_engine(fleet: &SharedFleet, fault: PlannedFault) {
    let mut faults = EngineFaults::default();
    match fault.kind {
        FaultKind::EngineCrossed => faults.crossed_chance = 0.1,
        FaultKind::EngineCut => faults.cut_chance = 0.03,
        FaultKind::EngineDoubled => faults.doubled_chance = 0.1,
        FaultKind::EngineLimits => faults.rate_limit = Some(limit_of(fault)),
        FaultKind::EngineShort => faults.short_chance = 0.03,
        _ => {
            faults.late_chance = 0.1;
            faults.late_ms = 200;
        }
    }
    let (name, number) = {
        let mut fleet = fleet.lock().await;
        let Some((name, engine)) = nth(&fleet.lab.engines, fault.subject) else {
            return;
        };
        let span_ms = fault.span.as_millis() as u64;
        if fault.kind == FaultKind::EngineFreeze {
            engine.freeze(span_ms);
            return;
        }
        if fault.kind == FaultKind::EngineCrash {
            engine.crash(span_ms);
            return;
        }
        let number = fleet
            .engine_faults
            .entry(name.clone())
            .or_default()
            .add(faults);
        set_engine(&fleet, &name);
        (name, number)
    };
    tokio::time::sleep(fault.span).await;
    let mut fleet = fleet.lock().await;
    fleet
        .engine_faults
        .entry(name.clone())
        .or_default()
        .remove(number);
    set_engine(&fleet, &name);
}

fn set_engine(fleet: &ProveFleet, name: &str) {
    let merge = |all: &mut EngineFaults, fault: &EngineFaults| {
        all.crossed_chance = all.crossed_chance.max(fault.crossed_chance);
        all.cut_chance = all.cut_chance.max(fault.cut_chance);
        all.doubled_chance = all.doubled_chance.max(fault.doubled_chance);
        all.short_chance = all.short_chance.max(fault.short_chance);
        all.late_chance = all.late_chance.max(fault.late_chance);
        all.late_ms = all.late_ms.max(fault.late_ms);
        all.rate_limit = lower_limit(all.rate_limit, fault.rate_limit);
    };
    if let Some(engine) = fleet.lab.engines.get(name) {
        engine.set_faults(fleet.engine_faults[name].merged(merge));
    }
}

async fn trouble_service(fleet: &SharedFleet, fault: PlannedFault) {
    let mut faults = ServiceFaults::default();
    match fault.kind {
        FaultKind::ServiceCrossed => faults.crossed_chance = 0.3,
        FaultKind::ServiceLoss => faults.lose_chance = 0.3,
        FaultKind::ServiceLimits => faults.rate_limit = Some(limit_of(fault)),
        _ => faults.slow_ms = 500,
    }
    let (name, number) = {
        let mut fleet = fleet.lock().await;
        let Some((name, service)) = nth(&fleet.lab.services, fault.subject) else {
            return;
        };
        if fault.kind == FaultKind::ServiceCrash {
            service.crash(fault.span.as_millis() as u64);
            return;
        }
        let number = fleet
            .service_faults
            .entry(name.clone())
            .or_default()
            .add(faults);
        set_service(&fleet, &name);
        (name, number)
    };
    tokio::time::sleep(fault.span).await;
    let mut fleet = fleet.lock().await;
    fleet
        .service_faults
        .entry(name.clone())
        .or_default()
        .remove(number);
    set_service(&fleet, &name);
}

fn set_service(fleet: &ProveFleet, name: &str) {
    let merge = |all: &mut ServiceFaults, fault: &ServiceFaults| {
        all.slow_ms = all.slow_ms.max(fault.slow_ms);
        all.lose_chance = all.lose_chance.max(fault.lose_chance);
        all.crossed_chance = all.crossed_chance.max(fault.crossed_chance);
        all.rate_limit = lower_limit(all.rate_limit, fault.rate_limit);
    };
    if let Some(service) = fleet.lab.services.get(name) {
        service.set_faults(fleet.service_faults[name].merged(merge));
    }
}

fn limit_of(fault: PlannedFault) -> f64 {
    LIMITS[fault.subject % LIMITS.len()]
}

fn lower_limit(limit: Option<f64>, other: Option<f64>) -> Option<f64> {
    match (limit, other) {
        (Some(limit), Some(other)) => Some(limit.min(other)),
        (limit, other) => limit.or(other),
    }
}

fn nth<T>(targets: &IndexMap<String, T>, drawn: usize) -> Option<(String, &T)> {
    let (name, target) = targets.get_index(drawn % targets.len().max(1))?;
    Some((name.clone(), target))
}

/// Reserves a target for a planned change; none while another one is under way,
/// since operators leave most of the fleet in service.
async fn reserve(fleet: &SharedFleet, prefix: &str, drawn: usize) -> Option<String> {
    let mut fleet = fleet.lock().await;
    let engines = fleet.lab.engines.keys();
    let names: Vec<String> = engines
        .chain(fleet.lab.services.keys())
        .filter(|name| name.starts_with(prefix))
        .cloned()
        .collect();
    let name = names.get(drawn % names.len().max(1))?.clone();
    if fleet
        .busy_targets
        .iter()
        .any(|busy| busy.starts_with(prefix))
    {
        return None;
    }
    fleet.busy_targets.push(name.clone());
    Some(name)
}

async fn release(fleet: &SharedFleet, name: &str) {
    fleet.lock().await.busy_targets.retain(|busy| busy != name);
}

async fn replace_target(fleet: &SharedFleet, prefix: &str, fault: PlannedFault) -> Result<()> {
    let Some(name) = reserve(fleet, prefix, fault.subject).await else {
        return Ok(());
    };
    // Every second one goes on taking what daemons send: not all targets refuse.
    tell_to_leave(&*fleet.lock().await, &name, fault.subject.is_multiple_of(2));
    tokio::time::sleep(fault.span.max(LEAVE_WAIT)).await;
    let begun = std::time::Instant::now();
    while begun.elapsed() < IDLE_WAIT && !is_idle(&*fleet.lock().await, &name) {
        tokio::time::sleep(PAUSE).await;
    }
    fleet.lock().await.replace_target(&name).await?;
    release(fleet, &name).await;
    Ok(())
}

fn tell_to_leave(fleet: &ProveFleet, name: &str, refuses: bool) {
    fleet.announce_leaving(name);
    if let Some(engine) = fleet.lab.engines.get(name) {
        engine.leave();
        engine.set_refusing(refuses);
    }
    if let Some(service) = fleet.lab.services.get(name) {
        service.leave();
        service.set_refusing(refuses);
    }
}

fn is_idle(fleet: &ProveFleet, name: &str) -> bool {
    let engine = fleet.lab.engines.get(name).map(RunningEngine::state);
    let service = fleet.lab.services.get(name).map(RunningService::open_calls);
    engine.is_none_or(|state| state.running + state.waiting == 0)
        && service.is_none_or(|open| open == 0)
}

/// Cuts off a daemon from the platform, or a target from all daemons.
async fn cut_off(fleet: &SharedFleet, fault: PlannedFault) {
    let deaf = matches!(fault.kind, FaultKind::DaemonDeaf | FaultKind::TargetDeaf);
    let relay_fault = RelayFault {
        mutes_calls: !deaf,
        mutes_answers: true,
        delay: std::time::Duration::ZERO,
    };
    let of_daemon = matches!(fault.kind, FaultKind::DaemonCutOff | FaultKind::DaemonDeaf);
    let (name, number) = {
        let mut fleet = fleet.lock().await;
        let names: Vec<String> = if of_daemon {
            fleet.slots.iter().map(|slot| slot.name.clone()).collect()
        } else {
            fleet.target_relays.keys().cloned().collect()
        };
        let Some(name) = names.get(fault.subject % names.len().max(1)) else {
            return;
        };
        let stack = fleet.relay_faults.entry(name.clone()).or_default();
        let number = stack.add(relay_fault);
        fleet.set_relay(name);
        (name.clone(), number)
    };
    tokio::time::sleep(fault.span).await;
    let mut fleet = fleet.lock().await;
    fleet
        .relay_faults
        .entry(name.clone())
        .or_default()
        .remove(number);
    fleet.set_relay(&name);
}

/// Drains an engine through one daemon and restores it through another.
async fn drain_engine(fleet: &SharedFleet, fault: PlannedFault) {
    let Some(name) = reserve(fleet, "engine", fault.subject).await else {
        return;
    };
    let drained = operate(fleet, fault.subject, &name, true).await;
    let from_ms = unix_ms();
    if drained {
        tokio::time::sleep(fault.span.max(OPERATOR_WAIT * 2)).await;
    }
    let until_ms = unix_ms();
    // Also after a failed drain, which may have been taken with its answer lost. What
    // is left over then is restored once all faults have ended.
    let tries = if drained { RESTORE_TRIES } else { FEW_TRIES };
    for attempt in 0..tries {
        let through = fault.subject + 1 + attempt;
        if operate(fleet, through, &name, false).await {
            break;
        }
        tokio::time::sleep(PAUSE * 4).await;
    }
    let mut locked = fleet.lock().await;
    if drained {
        locked.holds.push(HoldBook {
            target: name.clone(),
            from_ms,
            until_ms,
        });
    }
    drop(locked);
    release(fleet, &name).await;
}

async fn operate(fleet: &SharedFleet, drawn: usize, name: &str, drains: bool) -> bool {
    let live = fleet.lock().await.live_addresses();
    let Some((_, address)) = live.get(drawn % live.len().max(1)) else {
        return false;
    };
    let call = async {
        let mut client = operations(address).await?;
        let request = operator_call(TargetRequest {
            target: name.to_owned(),
            reason: "randomised run".to_owned(),
        });
        let answer = if drains {
            client.drain_target(request).await
        } else {
            client.restore_target(request).await
        };
        Ok::<bool, eyre::Report>(answer.is_ok())
    };
    matches!(
        tokio::time::timeout(OPERATOR_WAIT, call).await,
        Ok(Ok(true))
    )
}
