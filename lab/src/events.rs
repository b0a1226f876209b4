//! What happens in a scenario beside the load.

use std::time::{Duration, Instant};

use pistachiowick::pb;
use pistachiowick::store::wire::InstanceKind;

use crate::fleet::{LabFleet, operator_call};
use crate::platform::PlatformFaults;
use crate::scenario::{EventKind, ScenarioEvent, ScenarioSpec};

/// One thing to do at its time.
struct EventStep {
    at: Duration,
    event: ScenarioEvent,
    ends: bool,
}

/// Brings about a scenario's events at their times.
pub async fn run_events(scenario: &ScenarioSpec, fleet: &mut LabFleet) {
    let begun = Instant::now();
    for step in steps_of(scenario) {
        tokio::time::sleep_until((begun + step.at).into()).await;
        bring_about(scenario, fleet, &step).await;
    }
}

fn steps_of(scenario: &ScenarioSpec) -> Vec<EventStep> {
    let scaled = |ms: u64| Duration::from_secs_f64(ms as f64 / 1_000.0 / scenario.time_scale);
    let mut steps = Vec::new();
    for event in &scenario.events {
        steps.push(EventStep {
            at: scaled(event.at_ms),
            event: event.clone(),
            ends: false,
        });
        if event.for_ms > 0 && event.event != EventKind::Crash {
            steps.push(EventStep {
                at: scaled(event.at_ms + event.for_ms),
                event: event.clone(),
                ends: true,
            });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

async fn bring_about(scenario: &ScenarioSpec, fleet: &mut LabFleet, step: &EventStep) {
    let target = step.event.target.as_str();
    match (step.event.event, step.ends) {
        (EventKind::Crash, _) => {
            let down = step.event.for_ms as f64 / scenario.time_scale;
            fleet.engines[target].crash(down as u64);
        }
        (EventKind::PlatformDown, ends) => fleet.platform.set_faults(PlatformFaults {
            down: !ends,
            ..PlatformFaults::default()
        }),
        (EventKind::Leave, false) => announce_leaving(fleet, target),
        (EventKind::Leave, true) => {
            fleet.platform.remove_instance(target);
            fleet.engines[target].stop();
        }
        (EventKind::Drain, ends) => drain(fleet, target, ends).await,
    }
}

fn announce_leaving(fleet: &LabFleet, target: &str) {
    let engine = &fleet.engines[target];
    let number = fleet.engines.get_index_of(target).unwrap_or(0);
    let row = fleet.row(target, InstanceKind::Engine, &engine.address(), number);
    fleet.announce_leaving(row);
    engine.leave();
}

async fn drain(fleet: &LabFleet, target: &str, restore: bool) {
    let Some(daemon) = fleet.daemons.keys().next() else {
        return;
    };
    let message = pb::TargetRequest {
        target: target.to_owned(),
        reason: "scenario".to_owned(),
    };
    let changed = match fleet.operations(daemon).await {
        Ok(mut client) if restore => client
            .restore_target(operator_call(message))
            .await
            .map(drop),
        Ok(mut client) => client.drain_target(operator_call(message)).await.map(drop),
        Err(error) => return log::error!("no daemon takes the change: {error}"),
    };
    if let Err(status) = changed {
        log::error!("the change of {target} was refused: {status}");
    }
}
