//! Which engines a daemon asks for their caches after its start.

mod gateway_samples;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use gateway_samples::engine;
use pistachiowick::gateway::cache_inventory::{InventoryProgress, InventoryScope};
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::gateway::model::{EngineStage, TargetRecord};
use pistachiowick::gateway::peers::hub::PeerRole;
use pistachiowick::names::{CentreName, DaemonId};
use rstest::rstest;

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn daemon(number: usize) -> DaemonRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    DaemonRecord {
        id: DaemonId::from(format!("node-{number}").as_str()),
        incarnation: 1,
        callers: address,
        peers: address,
        handovers: None,
        centre: CentreName::from(CENTRES[number % CENTRES.len()]),
        leaving: false,
        capacity: InstanceCapacity::default(),
    }
}

fn engines(count: usize) -> Vec<Arc<TargetRecord>> {
    let engines = (0..count).map(|number| {
        let mut engine = engine(&format!("engine-{number}"), EngineStage::Decode);
        engine.centre = CentreName::from(CENTRES[number % CENTRES.len()]);
        Arc::new(engine)
    });
    engines.collect()
}

/// A fleet that has restarted as a whole.
struct RestartCase {
    daemons: usize,
    engines: usize,
    // Whether one daemon of each data centre is its hub.
    has_hubs: bool,
}

// Asks all due engines at all daemons until none is due, and returns how often each was asked.
fn ask_all(case: &RestartCase, fails: impl Fn(usize) -> bool) -> BTreeMap<String, usize> {
    let daemons: Vec<DaemonRecord> = (0..case.daemons).map(daemon).collect();
    let engines = engines(case.engines);
    let mut asked = BTreeMap::new();
    for (number, daemon) in daemons.iter().enumerate() {
        let role = match (case.has_hubs, number < CENTRES.len()) {
            (false, _) => PeerRole::Mesh,
            (true, true) => PeerRole::Hub,
            (true, false) => PeerRole::Member(daemons[number % CENTRES.len()].id.clone()),
        };
        let scope = InventoryScope {
            daemon: &daemon.id,
            centre: &daemon.centre,
            role: Some(&role),
            daemons: &daemons,
        };
        let mut progress = InventoryProgress::default();
        loop {
            let due = progress.take_due(&engines, &scope);
            assert!(due.len() <= 4, "{} engines asked at once", due.len());
            if due.is_empty() {
                break;
            }
            for engine in due {
                let times = asked.entry(engine.id.to_string()).or_insert(0);
                *times += 1;
                progress.note_end(&engine.id, fails(*times));
            }
        }
    }
    asked
}

// Guards against engines whose caches nobody knows after all daemons have restarted, and against
// engines that are asked by each of hundreds of daemons.
#[rstest]
#[case::alone(RestartCase { daemons: 1, engines: 12, has_hubs: false })]
#[case::mesh(RestartCase { daemons: 8, engines: 12, has_hubs: false })]
#[case::hubs(RestartCase { daemons: 60, engines: 90, has_hubs: true })]
#[case::large(RestartCase { daemons: 300, engines: 600, has_hubs: true })]
fn each_engine_is_asked_once(#[case] case: RestartCase) {
    let asked = ask_all(&case, |_| false);
    assert_eq!(asked.len(), case.engines);
    assert!(asked.values().all(|times| *times == 1), "{asked:?}");
}

// Guards against an engine that is not asked again after a lost call, and against one that is
// asked for ever.
#[rstest]
#[case::first_call_lost(1)]
#[case::all_calls_lost(usize::MAX)]
fn a_lost_call_is_repeated_once(#[case] failing: usize) {
    let case = RestartCase {
        daemons: 60,
        engines: 90,
        has_hubs: true,
    };
    let asked = ask_all(&case, |times| times <= failing);
    assert!(asked.values().all(|times| *times == 2), "{asked:?}");
}

// Guards against calls before the daemon knows who places requests.
#[test]
fn a_daemon_without_a_role_asks_nobody() {
    let daemon = daemon(0);
    let scope = InventoryScope {
        daemon: &daemon.id,
        centre: &daemon.centre,
        role: None,
        daemons: std::slice::from_ref(&daemon),
    };
    let mut progress = InventoryProgress::default();
    assert!(progress.take_due(&engines(3), &scope).is_empty());
}
