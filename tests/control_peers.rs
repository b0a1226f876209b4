//! Peers: link topology, totals from hints, links and the messages over them.

mod control_fakes;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use control_fakes::{FakeEngines, FakePlatform, wait_until};
use indexmap::{IndexMap, IndexSet};
use pistachiowick::config::catalogue::{ItemSpec, WorkspaceSpec};
use pistachiowick::control::{
    ChangeReport, ControlEvent, ControlHandle, ControlInputs, ItemChange, start_control,
};
use pistachiowick::crashes::SharedCrashTracker;
use pistachiowick::decide::shares::ShareTracker;
use pistachiowick::membership::fleet::{DaemonView, FleetView, UseState};
use pistachiowick::names::{
    CentreName, DaemonId, ModelName, MonoTime, ProcessIncarnation, WorkspaceName,
};
use pistachiowick::peers::handshake::PeerIdentity;
use pistachiowick::peers::link::{PeerError, PeerHandle, PeerInputs, start_peers};
use pistachiowick::peers::state::{PeerHints, PeerTopology};
use pistachiowick::peers::wire::{PeerHint, PeerMessage};
use pistachiowick::ports::{ObjectName, ObjectVersion, StoredObject};
use pistachiowick::requests::journal::DecisionJournal;
use pistachiowick::roles::mix::{MIX_BINS, WorkAmount, WorkTotals};
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use pistachiowick::target_limits::SharedLimitTracker;
use rstest::rstest;
use tokio::sync::oneshot;

fn fleet(centres: &[usize]) -> FleetView {
    let mut fleet = FleetView::default();
    for (centre, count) in centres.iter().enumerate() {
        for number in 0..*count {
            let id = DaemonId::from(format!("d{centre}-{number}"));
            let view = DaemonView {
                id: id.clone(),
                address: String::new(),
                peer_address: String::new(),
                data_centre: CentreName::from(format!("c{centre}")),
                incarnation: ProcessIncarnation(1),
                state: UseState::Live,
            };
            fleet.daemons.insert(id, view);
        }
    }
    fleet
}

struct ReachCase {
    centres: &'static [usize],
    watchers: usize,
}

#[rstest]
#[case::alone(ReachCase { centres: &[1], watchers: 2 })]
#[case::regatta(ReachCase { centres: &[3, 3, 2], watchers: 2 })]
#[case::stores(ReachCase { centres: &[2, 2, 2, 1], watchers: 2 })]
#[case::one_watcher(ReachCase { centres: &[4, 4], watchers: 1 })]
#[case::target(ReachCase { centres: &[36; 19], watchers: 2 })]
/// A hint from one daemon must reach all others, although no daemon may link to all: the
/// cost of control would grow with the square of the fleet size.
fn a_hint_reaches_all_daemons_over_few_links(#[case] case: ReachCase) {
    let fleet = fleet(case.centres);
    let daemons: Vec<DaemonId> = fleet.daemons.keys().cloned().collect();
    let topologies: IndexMap<DaemonId, PeerTopology> = daemons
        .iter()
        .map(|id| (id.clone(), PeerTopology::new(&fleet, id, case.watchers)))
        .collect();
    let mut linked: IndexMap<&DaemonId, IndexSet<&DaemonId>> = IndexMap::new();
    for (id, topology) in &topologies {
        for peer in &topology.links {
            linked.entry(id).or_default().insert(peer);
            linked.entry(peer).or_default().insert(id);
        }
    }
    let max_links = 2 * case.watchers * case.centres.len() + case.centres.iter().max().unwrap();
    assert!(linked.values().all(|peers| peers.len() <= max_links));
    for origin in daemons.iter().step_by(7) {
        let mut reached = IndexSet::from([origin]);
        let mut queue = vec![origin];
        while let Some(at) = queue.pop() {
            for peer in linked.get(at).into_iter().flatten() {
                let sent = at == origin || topologies[at].forwards(at, origin, peer);
                if sent && reached.insert(peer) {
                    queue.push(peer);
                }
            }
        }
        assert_eq!(reached.len(), daemons.len(), "from {origin}");
    }
}

#[test]
fn watchers_that_leave_are_replaced() {
    let mut fleet = fleet(&[4]);
    let own = DaemonId::from("d0-0");
    let before = PeerTopology::new(&fleet, &own, 2).local_watchers;
    assert_eq!(before.len(), 2);
    fleet.daemons[&before[0]].state = UseState::Leaving;
    let after = PeerTopology::new(&fleet, &own, 2).local_watchers;
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]) && !after.contains(&before[0]));
}

fn hint(incarnation: u64, sequence: u64, cost: f64) -> PeerHint {
    let work = WorkTotals::from([(
        ModelName::from("m"),
        [WorkAmount {
            prefill: cost,
            decode: 0.0,
        }; MIX_BINS],
    )]);
    PeerHint {
        daemon: Some(DaemonId::from("peer")),
        incarnation: ProcessIncarnation(incarnation),
        sequence,
        work,
        costs: IndexMap::from([(WorkspaceName::from("w"), cost)]),
        applied: vec![("bucket-001".to_owned(), ObjectVersion(sequence))],
        ..PeerHint::default()
    }
}

struct TotalCase {
    hints: &'static [(u64, u64, f64)],
    accepted: usize,
    cost: f64,
}

#[rstest]
#[case::first_is_the_baseline(TotalCase { hints: &[(1, 1, 50.0)], accepted: 1, cost: 0.0 })]
#[case::grows(TotalCase { hints: &[(1, 1, 50.0), (1, 2, 53.0)], accepted: 2, cost: 3.0 })]
#[case::duplicated(TotalCase { hints: &[(1, 1, 50.0), (1, 2, 53.0), (1, 2, 53.0)], accepted: 2, cost: 3.0 })]
#[case::out_of_order(TotalCase { hints: &[(1, 1, 50.0), (1, 3, 55.0), (1, 2, 53.0)], accepted: 2, cost: 5.0 })]
#[case::lost(TotalCase { hints: &[(1, 1, 50.0), (1, 9, 60.0)], accepted: 2, cost: 10.0 })]
#[case::restarted(TotalCase { hints: &[(1, 1, 50.0), (2, 1, 4.0), (2, 2, 6.0)], accepted: 3, cost: 2.0 })]
#[case::restarted_with_more(TotalCase { hints: &[(1, 1, 50.0), (2, 1, 60.0)], accepted: 2, cost: 0.0 })]
#[case::old_incarnation(TotalCase { hints: &[(2, 1, 4.0), (1, 9, 50.0)], accepted: 1, cost: 0.0 })]
/// Hints arrive twice (from two watchers), late, out of order or not at all, and a peer
/// restarts. The total must equal the cost that was used; otherwise a workspace's share
/// would be wrong.
fn totals_of_hints_count_once(#[case] case: TotalCase) {
    let mut hints = PeerHints::default();
    let mut accepted = 0;
    for (incarnation, sequence, cost) in case.hints {
        accepted += usize::from(hints.apply(hint(*incarnation, *sequence, *cost), MonoTime(1)));
    }
    assert_eq!(accepted, case.accepted);
    let cost = hints.take_costs().get(&WorkspaceName::from("w")).copied();
    assert!((cost.unwrap_or(0.0) - case.cost).abs() < 1e-9, "{cost:?}");
    let work = hints.take_work();
    let work = work
        .get(&ModelName::from("m"))
        .map_or(0.0, |bins| bins[0].prefill);
    assert!((work - case.cost).abs() < 1e-9, "{work}");
    assert!(hints.take_costs().is_empty());
}

/// A hint omits an idle workspace and the next one includes it again. If it were treated
/// as new, its whole total would be counted at once.
#[test]
fn an_omitted_total_is_kept() {
    let mut hints = PeerHints::default();
    hints.apply(hint(1, 1, 50.0), MonoTime(1));
    let quiet = PeerHint {
        costs: IndexMap::new(),
        work: WorkTotals::new(),
        ..hint(1, 2, 0.0)
    };
    hints.apply(quiet, MonoTime(2));
    hints.apply(hint(1, 3, 52.0), MonoTime(3));
    assert_eq!(hints.take_costs()[&WorkspaceName::from("w")], 2.0);
}

#[test]
fn confirmations_come_from_hints() {
    let mut hints = PeerHints::default();
    hints.apply(hint(1, 5, 0.0), MonoTime(1));
    let peer = DaemonId::from("peer");
    assert!(
        hints
            .confirmed("bucket-001", ObjectVersion(5))
            .contains(&peer)
    );
    assert!(hints.confirmed("bucket-001", ObjectVersion(6)).is_empty());
    assert!(hints.confirmed("bucket-002", ObjectVersion(1)).is_empty());
    hints.expire(MonoTime(10_000), Duration::from_secs(3));
    assert_eq!(hints.reachable_count(), 0);
}

#[test]
fn messages_are_encoded_and_decoded() {
    let object = ObjectName {
        kind: "config".to_owned(),
        name: "bucket-001".to_owned(),
    };
    let stored = StoredObject {
        object: object.clone(),
        version: ObjectVersion(4),
        value: Some(b"{}".to_vec()),
    };
    let messages = [
        PeerMessage::Hint(Box::new(hint(3, 4, 1.5))),
        PeerMessage::Versions(vec![(object, ObjectVersion(4))]),
        PeerMessage::Objects(vec![stored]),
        PeerMessage::Request {
            id: 1,
            body: b"ask".to_vec(),
        },
        PeerMessage::Reply {
            id: 1,
            result: Err("no".to_owned()),
        },
    ];
    for message in messages {
        let bytes = message.encode();
        assert_eq!(PeerMessage::decode(&bytes), Ok(message));
        for cut in 0..bytes.len() {
            assert!(PeerMessage::decode(&bytes[..cut]).is_err());
        }
    }
}

/// Workspace "wide" is busy on all eight daemons, "narrow" on one, with equal weights.
/// If each daemon shared by weight alone, narrow would get a fifteenth of wide's share.
#[test]
fn shares_are_corrected_across_the_fleet() {
    let (wide, narrow) = (WorkspaceName::from("wide"), WorkspaceName::from("narrow"));
    let mut shares = ShareTracker::default();
    let mut factors = (1.0, 1.0);
    let mut used = (0.0, 0.0);
    for second in 0..300 {
        let part = factors.1 / (factors.0 + factors.1);
        used = (7.0 + (1.0 - part), part);
        shares.add_cost(&wide, used.0);
        shares.add_cost(&narrow, used.1);
        shares.tick(MonoTime(second * 1_000));
        let view = shares.view(|_| 1);
        factors = (view.factor(&wide), view.factor(&narrow));
    }
    assert!(used.1 > 0.85, "narrow gets {} of its daemon", used.1);
    assert!((shares.view(|_| 1).factor(&WorkspaceName::from("other")) - 1.0).abs() < 1e-9);
}

struct Node {
    control: ControlHandle,
    peers: PeerHandle,
}

struct TestFleet {
    platform: FakePlatform,
    listeners: IndexMap<String, TcpListener>,
}

impl TestFleet {
    fn new(daemons: &[&str]) -> Self {
        let platform = FakePlatform::default();
        let mut listeners = IndexMap::new();
        let mut rows = Vec::new();
        for id in daemons {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            rows.push(InstanceRow {
                id: (*id).to_owned(),
                kind: InstanceKind::Entry,
                address: format!("{id}:1"),
                peer_address: listener.local_addr().unwrap().to_string(),
                data_centre: CentreName::from("north"),
                state: InstanceState::Live,
                service: None,
                checks_fence: false,
            });
            listeners.insert((*id).to_owned(), listener);
        }
        platform.data().instances = rows;
        Self {
            platform,
            listeners,
        }
    }

    fn start(&mut self, id: &str, secret: &str) -> Node {
        let listener = self.listeners.swap_remove(id).unwrap();
        let mut settings = control_fakes::settings(id, "north");
        settings.peers.watchers = 1;
        settings.peers.silence_ms = 500;
        let daemon = settings.daemon_id.clone();
        let control = start_control(ControlInputs {
            settings: Arc::new(settings),
            platform: self.platform.port(),
            engines: FakeEngines::default().port(),
            journal: DecisionJournal::new(100),
            rpc_address: "127.0.0.1:1".parse().unwrap(),
            peer_address: listener.local_addr().unwrap(),
            incarnation: ProcessIncarnation(1),
            seed: 1,
            crashes: SharedCrashTracker::default(),
            target_limits: SharedLimitTracker::default(),
        });
        let name = id.to_owned();
        let peers = start_peers(PeerInputs {
            listener,
            identity: PeerIdentity {
                daemon,
                incarnation: ProcessIncarnation(1),
                secret: secret.to_owned(),
            },
            link_timeout: Duration::from_millis(500),
            control: control.clone(),
            handler: Arc::new(move |(from, body)| {
                let text = String::from_utf8_lossy(&body).into_owned();
                let reply = if text == "refuse" {
                    Err("as asked".to_owned())
                } else {
                    Ok(format!("{name} to {from}: {text}").into_bytes())
                };
                Box::pin(async move { reply })
            }),
        })
        .unwrap();
        Node { control, peers }
    }
}

async fn change(node: &Node, name: &str) -> ChangeReport {
    let spec = ItemSpec::Workspace(WorkspaceSpec {
        name: WorkspaceName::from(name),
        weight: 1,
        key_hashes: Vec::new(),
    });
    let change = ItemChange {
        item: spec.item_name(),
        spec: Some(spec),
        based_on: 0,
    };
    let (reply, answer) = oneshot::channel();
    let event = ControlEvent::Change { change, reply };
    node.control.events.send(event).unwrap();
    answer.await.unwrap().unwrap()
}

fn has_workspace(node: &Node, name: &str) -> bool {
    let snapshot = node.control.snapshot.load();
    snapshot
        .config
        .workspaces
        .contains_key(&WorkspaceName::from(name))
}

fn has_live_peers(node: &Node, peers: &[&str]) -> bool {
    let snapshot = node.control.snapshot.load();
    peers.iter().all(|id| {
        let view = snapshot.fleet.daemons.get(&DaemonId::from(*id));
        view.is_some_and(|d| d.incarnation == ProcessIncarnation(1) && d.state == UseState::Live)
    })
}

async fn end(node: Node) {
    tokio::task::spawn_blocking(move || node.control.end())
        .await
        .unwrap();
}

/// Three daemons, one of which watches the platform. A change must reach all of them and be
/// reported as confirmed by all, while only one daemon keeps watching the platform.
#[tokio::test]
async fn changes_are_relayed_and_confirmed() {
    let ids = ["a", "b", "c"];
    let mut test_fleet = TestFleet::new(&ids);
    let nodes = ids.map(|id| test_fleet.start(id, "secret"));
    for node in &nodes {
        wait_until("all reachable", || has_live_peers(node, &ids)).await;
    }
    // A watch that started before a watcher's first hint still runs to its end.
    let mut started = u32::MAX;
    for _ in 0..100 {
        let before = test_fleet.platform.data().watches;
        tokio::time::sleep(Duration::from_millis(350)).await;
        started = test_fleet.platform.data().watches - before;
        if started <= 4 {
            break;
        }
    }
    assert!(
        started <= 4,
        "more than one daemon watches both kinds: {started}"
    );
    for (number, node) in nodes.iter().enumerate() {
        let name = format!("w{number}");
        let report = change(node, &name).await;
        assert_eq!(
            (report.confirmed, report.unconfirmed.as_slice()),
            (3, &[][..])
        );
        for other in &nodes {
            assert!(has_workspace(other, &name));
        }
    }
    for node in nodes {
        end(node).await;
    }
}

/// The only watcher ends without notice. The other daemons must detect this and watch the
/// platform themselves; otherwise they would keep an outdated configuration unnoticed.
#[tokio::test]
async fn a_dead_watcher_is_replaced() {
    let ids = ["a", "b", "c"];
    let mut test_fleet = TestFleet::new(&ids);
    let mut nodes: IndexMap<&str, Node> = ids
        .iter()
        .map(|id| (*id, test_fleet.start(id, "secret")))
        .collect();
    for node in nodes.values() {
        wait_until("all reachable", || has_live_peers(node, &ids)).await;
    }
    let fleet = nodes["a"].control.snapshot.load().fleet.clone();
    let topology = PeerTopology::new(&fleet, &DaemonId::from("a"), 1);
    let watcher = topology.local_watchers[0].clone();
    let dead = nodes.swap_remove(watcher.as_str()).unwrap();
    end(dead).await;
    let before = test_fleet.platform.data().watches;
    wait_until("the survivors watch", || {
        test_fleet.platform.data().watches >= before + 8
    })
    .await;
    let (_, node) = nodes.first().unwrap();
    change(node, "late").await;
    for node in nodes.values() {
        wait_until("in force", || has_workspace(node, "late")).await;
    }
    for (_, node) in nodes {
        end(node).await;
    }
}

/// A process without the secret connects as a peer. It must get no link, and none of its
/// messages may have an effect.
#[tokio::test]
async fn a_wrong_secret_gets_no_link() {
    let ids = ["a", "b", "stranger"];
    let mut test_fleet = TestFleet::new(&ids);
    let nodes = [
        test_fleet.start("a", "secret"),
        test_fleet.start("b", "secret"),
    ];
    let stranger = test_fleet.start("stranger", "guess");
    for node in &nodes {
        wait_until("peers reachable", || has_live_peers(node, &["a", "b"])).await;
    }
    for node in &nodes {
        assert!(!has_live_peers(node, &["stranger"]));
        let result = (node.peers.request)((DaemonId::from("stranger"), b"x".to_vec())).await;
        assert!(
            matches!(result, Err(PeerError::NotSent { .. })),
            "{result:?}"
        );
    }
    end(stranger).await;
    for node in nodes {
        end(node).await;
    }
}

#[tokio::test]
async fn requests_are_answered_refused_or_not_sent() {
    let ids = ["a", "b", "c"];
    let mut test_fleet = TestFleet::new(&ids);
    let nodes = ["a", "b"].map(|id| test_fleet.start(id, "secret"));
    for node in &nodes {
        wait_until("peers reachable", || has_live_peers(node, &["a", "b"])).await;
    }
    let request = |peer: &str, text: &str| {
        (nodes[0].peers.request)((DaemonId::from(peer), text.as_bytes().to_vec()))
    };
    assert_eq!(request("b", "hi").await, Ok(b"b to a: hi".to_vec()));
    assert!(matches!(
        request("b", "refuse").await,
        Err(PeerError::Refused { .. })
    ));
    assert!(matches!(
        request("c", "hi").await,
        Err(PeerError::NotSent { .. })
    ));
    assert!(matches!(
        request("nobody", "hi").await,
        Err(PeerError::NotSent { .. })
    ));
    for node in nodes {
        end(node).await;
    }
}

/// A daemon announces that it is leaving. Its peers must mark it as leaving although the
/// instance list still shows it as live.
#[tokio::test]
async fn leaving_is_announced_to_peers() {
    let ids = ["a", "b"];
    let mut test_fleet = TestFleet::new(&ids);
    let nodes = ids.map(|id| test_fleet.start(id, "secret"));
    for node in &nodes {
        wait_until("peers reachable", || has_live_peers(node, &ids)).await;
    }
    let (done, _stopped) = oneshot::channel();
    nodes[0]
        .control
        .events
        .send(ControlEvent::Stop { done })
        .unwrap();
    wait_until("leaving", || {
        let snapshot = nodes[1].control.snapshot.load();
        snapshot.fleet.daemons[&DaemonId::from("a")].state == UseState::Leaving
    })
    .await;
    for node in nodes {
        end(node).await;
    }
}
