//! The merged view of daemons and targets.

use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::control::snapshot::ControlSnapshot;
use pistachiowick::membership::addressing;
use pistachiowick::membership::fleet::UseState;
use pistachiowick::membership::suspicion::CallSource;
use pistachiowick::membership::{MembershipLimits, MembershipState, PeerUpdate, local_view};
use pistachiowick::names::{
    CentreName, DaemonId, MonoTime, ProcessIncarnation, ServiceName, TargetId,
};
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use pistachiowick::targets::wire::{EngineRole, EngineState};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const LIMITS: MembershipLimits = MembershipLimits {
    absent_lists: 2,
    forget: Duration::from_secs(60),
    peer_timeout: Duration::from_secs(3),
};

fn row(id: &str, kind: InstanceKind, state: InstanceState) -> InstanceRow {
    InstanceRow {
        id: id.to_owned(),
        kind,
        address: format!("{id}:1"),
        peer_address: String::new(),
        data_centre: CentreName::from("north"),
        state,
        service: (kind == InstanceKind::Service).then(|| ServiceName::from("ledger")),
        checks_fence: false,
    }
}

fn engine(id: &str, state: InstanceState) -> InstanceRow {
    row(id, InstanceKind::Engine, state)
}

fn daemon(id: &str, state: InstanceState) -> InstanceRow {
    row(id, InstanceKind::Entry, state)
}

fn report(id: &str, incarnation: u64) -> EngineState {
    EngineState {
        target: TargetId::from(id),
        incarnation: ProcessIncarnation(incarnation),
        software: String::new(),
        at_ms: 0,
        role: EngineRole::Mixed,
        changing: false,
        models: vec!["m".to_owned()],
        running: 2,
        waiting: 1,
        prefill_backlog_tokens: 0,
        decode_backlog_tokens: 0,
        kv_used_tokens: 0,
        kv_limit_tokens: 0,
        last_order: None,
        cache_sequence: 0,
    }
}

fn membership() -> MembershipState {
    let local = local_view(
        DaemonId::from("me"),
        "me:1".to_owned(),
        "me:2".to_owned(),
        CentreName::from("north"),
        ProcessIncarnation(1),
    );
    MembershipState::new(local, LIMITS)
}

fn target_state(state: &mut MembershipState, id: &str) -> Option<UseState> {
    state.refresh();
    let fleet = state.fleet();
    fleet.targets.get(&TargetId::from(id)).map(|t| t.state)
}

fn daemon_state(state: &mut MembershipState, id: &str) -> Option<UseState> {
    state.refresh();
    let fleet = state.fleet();
    fleet.daemons.get(&DaemonId::from(id)).map(|d| d.state)
}

/// Events of one engine, a second apart.
#[derive(Clone, Copy, Debug)]
enum Step {
    Live,
    Leaving,
    Absent,
    Moved,
    Incarnation(u64),
    Wait(u64),
}

struct LeavingCase {
    steps: &'static [Step],
    state: Option<UseState>,
}

#[rstest]
#[case::live(LeavingCase { steps: &[Step::Live], state: Some(UseState::Live) })]
#[case::leaving(LeavingCase { steps: &[Step::Live, Step::Leaving], state: Some(UseState::Leaving) })]
#[case::older_list(LeavingCase {
    steps: &[Step::Live, Step::Leaving, Step::Live, Step::Live], state: Some(UseState::Leaving),
})]
#[case::same_incarnation_reports(LeavingCase {
    steps: &[Step::Incarnation(5), Step::Leaving, Step::Live, Step::Incarnation(5), Step::Live], state: Some(UseState::Leaving),
})]
#[case::new_incarnation(LeavingCase {
    steps: &[Step::Live, Step::Incarnation(5), Step::Leaving, Step::Incarnation(6), Step::Live], state: Some(UseState::Live),
})]
#[case::new_incarnation_before_the_list_follows(LeavingCase {
    steps: &[Step::Live, Step::Incarnation(5), Step::Leaving, Step::Incarnation(6), Step::Leaving], state: Some(UseState::Leaving),
})]
#[case::lagging_list_after_new_incarnation(LeavingCase {
    steps: &[Step::Live, Step::Incarnation(5), Step::Leaving, Step::Incarnation(6), Step::Leaving, Step::Live],
    state: Some(UseState::Live),
})]
#[case::new_incarnation_leaves_too(LeavingCase {
    steps: &[
        Step::Live, Step::Incarnation(5), Step::Leaving, Step::Incarnation(6), Step::Live, Step::Leaving, Step::Live,
    ],
    state: Some(UseState::Leaving),
})]
#[case::late_report_of_the_old_incarnation(LeavingCase {
    steps: &[Step::Live, Step::Incarnation(6), Step::Leaving, Step::Incarnation(5), Step::Live], state: Some(UseState::Leaving),
})]
#[case::other_address(LeavingCase {
    steps: &[Step::Live, Step::Leaving, Step::Moved], state: Some(UseState::Live),
})]
#[case::absent_once(LeavingCase { steps: &[Step::Live, Step::Absent], state: Some(UseState::Live) })]
#[case::absent_twice(LeavingCase {
    steps: &[Step::Live, Step::Absent, Step::Absent], state: Some(UseState::Gone),
})]
#[case::absent_and_back_in_an_older_list(LeavingCase {
    steps: &[Step::Leaving, Step::Absent, Step::Absent, Step::Live], state: Some(UseState::Leaving),
})]
#[case::forgotten(LeavingCase {
    steps: &[Step::Live, Step::Absent, Step::Wait(60), Step::Absent], state: None,
})]
#[case::back_after_being_forgotten(LeavingCase {
    steps: &[Step::Leaving, Step::Absent, Step::Wait(61), Step::Absent, Step::Live], state: Some(UseState::Live),
})]
/// An engine is leaving, but lists from lagging replicas, late reports and peers still
/// show it as live. If any of them were believed, new work would be sent to a process
/// that is about to exit, and be interrupted. Only a newer incarnation of the process
/// may come back into use.
fn leaving_beats_live(#[case] case: LeavingCase) {
    let mut state = membership();
    let mut now = MonoTime(0);
    let other = engine("keeper", InstanceState::Live);
    for step in case.steps {
        now = now.plus(Duration::from_secs(1));
        match step {
            Step::Live => state.apply_list(&[other.clone(), engine("e", InstanceState::Live)], now),
            Step::Leaving => {
                state.apply_list(&[other.clone(), engine("e", InstanceState::Leaving)], now)
            }
            Step::Absent => state.apply_list(std::slice::from_ref(&other), now),
            Step::Moved => {
                let moved = InstanceRow {
                    address: "elsewhere:1".to_owned(),
                    ..engine("e", InstanceState::Live)
                };
                state.apply_list(&[other.clone(), moved], now)
            }
            Step::Incarnation(incarnation) => {
                if target_state(&mut state, "e").is_none() {
                    state.apply_list(&[other.clone(), engine("e", InstanceState::Live)], now);
                }
                let seen = report("e", *incarnation);
                state.note_state(&TargetId::from("e"), &seen, Duration::ZERO, now);
                true
            }
            Step::Wait(seconds) => {
                now = now.plus(Duration::from_secs(*seconds));
                true
            }
        };
    }
    assert_eq!(target_state(&mut state, "e"), case.state);
}

/// The platform restarts and returns an empty list. Applying it would take every engine
/// out of use at once, and every request would be refused.
#[test]
fn an_empty_list_is_ignored() {
    let mut state = membership();
    state.apply_list(&[engine("e", InstanceState::Live)], MonoTime(1));
    for second in 2..9 {
        assert!(!state.apply_list(&[], MonoTime(second * 1_000)));
    }
    assert_eq!(target_state(&mut state, "e"), Some(UseState::Live));
}

#[test]
fn instances_that_come_and_go_leave_nothing_behind() {
    let mut state = membership();
    for number in 0..500_u64 {
        let rows = [
            engine(&format!("e{number}"), InstanceState::Leaving),
            daemon(&format!("d{number}"), InstanceState::Leaving),
        ];
        state.apply_list(&rows, MonoTime(number * 1_000));
    }
    state.refresh();
    assert!(state.departures() <= 122, "{}", state.departures());
    assert!(state.fleet().targets.len() <= 61);
    assert!(state.fleet().daemons.len() <= 62);
}

struct CallCase {
    calls: &'static [(CallSource, bool)],
    suspect: bool,
}

#[rstest]
#[case::two_failures(CallCase {
    calls: &[(CallSource::Work, false), (CallSource::Work, false)], suspect: false,
})]
#[case::three_failures(CallCase { calls: &[(CallSource::Work, false); 3], suspect: true })]
#[case::answered_between(CallCase {
    calls: &[
        (CallSource::Work, false), (CallSource::Work, false), (CallSource::Work, true), (CallSource::Work, false),
    ],
    suspect: false,
})]
#[case::polls_answer_while_work_fails(CallCase {
    calls: &[
        (CallSource::Work, false), (CallSource::Poll, true), (CallSource::Work, false), (CallSource::Poll, true),
        (CallSource::Work, false), (CallSource::Poll, true),
    ],
    suspect: true,
})]
#[case::work_answers_again(CallCase {
    calls: &[
        (CallSource::Work, false), (CallSource::Work, false), (CallSource::Work, false), (CallSource::Work, true),
    ],
    suspect: false,
})]
#[case::poll_answers_again(CallCase {
    calls: &[
        (CallSource::Poll, false), (CallSource::Poll, false), (CallSource::Poll, false), (CallSource::Poll, true),
    ],
    suspect: false,
})]
fn suspects_by_failed_calls(#[case] case: CallCase) {
    let mut state = membership();
    state.apply_list(&[engine("e", InstanceState::Live)], MonoTime(0));
    for (source, answered) in case.calls {
        state.record_call(&TargetId::from("e"), *source, *answered, MonoTime(10));
    }
    let expected = if case.suspect {
        UseState::Suspect
    } else {
        UseState::Live
    };
    assert_eq!(target_state(&mut state, "e"), Some(expected));
}

/// All work sent to a plain service fails, and it has no state to poll. After a wait it
/// gets work again, and one more failure makes it suspect for twice as long.
#[test]
fn a_suspected_service_is_probed_with_work() {
    let mut state = membership();
    let target = TargetId::from("s");
    state.apply_list(
        &[row("s", InstanceKind::Service, InstanceState::Live)],
        MonoTime(0),
    );
    let fail = |state: &mut MembershipState, at| {
        state.record_call(&target, CallSource::Work, false, MonoTime(at));
    };
    for _ in 0..3 {
        fail(&mut state, 0);
    }
    let mut seen = Vec::new();
    for at in [499, 500] {
        state.tick(MonoTime(at));
        seen.push(target_state(&mut state, "s"));
    }
    fail(&mut state, 500);
    for at in [1_499, 1_500] {
        state.tick(MonoTime(at));
        seen.push(target_state(&mut state, "s"));
    }
    let (suspect, live) = (Some(UseState::Suspect), Some(UseState::Live));
    assert_eq!(seen, [suspect, live, suspect, live]);
}

/// An engine that answers no poll is polled less and less often, but never dropped.
#[test]
fn an_unresponsive_engine_is_still_polled() {
    let mut state = membership();
    state.apply_list(&[engine("e", InstanceState::Live)], MonoTime(0));
    let mut polls = 0;
    for step in 0..600_u64 {
        let now = MonoTime(step * 100);
        if !state.engines_to_poll(now).is_empty() {
            polls += 1;
            state.record_call(&TargetId::from("e"), CallSource::Poll, false, now);
        }
        state.tick(now);
    }
    assert!((8..=16).contains(&polls), "{polls}");
    assert_eq!(target_state(&mut state, "e"), Some(UseState::Suspect));
}

#[test]
fn holds_and_changes_take_a_target_out_of_use() {
    let mut state = membership();
    state.apply_list(&[engine("e", InstanceState::Live)], MonoTime(0));
    let holds = IndexMap::from([(TargetId::from("e"), "fans".to_owned())]);
    state.set_holds(&holds);
    assert_eq!(target_state(&mut state, "e"), Some(UseState::Drained));
    state.set_holds(&IndexMap::new());
    assert_eq!(target_state(&mut state, "e"), Some(UseState::Live));
    state.set_changing(holds);
    assert_eq!(target_state(&mut state, "e"), Some(UseState::Drained));
}

#[test]
fn reports_keep_their_age_and_order() {
    let mut state = membership();
    let id = TargetId::from("e");
    state.apply_list(&[engine("e", InstanceState::Live)], MonoTime(0));
    let now = MonoTime(10_000);
    state.note_state(&id, &report("e", 1), Duration::from_secs(2), now);
    let older = EngineState {
        running: 90,
        ..report("e", 1)
    };
    state.note_state(&id, &older, Duration::from_secs(3), now);
    let foreign = EngineState {
        running: 91,
        ..report("other", 9)
    };
    state.note_state(&id, &foreign, Duration::ZERO, now);
    state.tick(now);
    state.refresh();
    let report = state.fleet().targets[&id].report.clone().unwrap();
    assert_eq!((report.in_flight, report.taken_at), (3, MonoTime(8_000)));
}

struct PeerCase {
    updates: &'static [(u64, bool)],
    state: UseState,
    incarnation: u64,
}

#[rstest]
#[case::live(PeerCase { updates: &[(5, false)], state: UseState::Live, incarnation: 5 })]
#[case::leaving(PeerCase { updates: &[(5, true)], state: UseState::Leaving, incarnation: 5 })]
#[case::late_update(PeerCase { updates: &[(5, true), (5, false)], state: UseState::Leaving, incarnation: 5 })]
#[case::restarted(PeerCase { updates: &[(5, true), (6, false)], state: UseState::Live, incarnation: 6 })]
#[case::late_update_of_the_old_incarnation(PeerCase {
    updates: &[(6, false), (5, true)], state: UseState::Live, incarnation: 6,
})]
fn peer_updates_apply_to_one_incarnation(#[case] case: PeerCase) {
    let mut state = membership();
    state.apply_list(&[daemon("d", InstanceState::Live)], MonoTime(0));
    for (incarnation, leaving) in case.updates {
        let update = PeerUpdate {
            daemon: DaemonId::from("d"),
            incarnation: ProcessIncarnation(*incarnation),
            leaving: *leaving,
        };
        state.apply_peer_update(&update, MonoTime(1));
    }
    assert_eq!(daemon_state(&mut state, "d"), Some(case.state));
    let view = &state.fleet().daemons[&DaemonId::from("d")];
    assert_eq!(view.incarnation, ProcessIncarnation(case.incarnation));
}

#[test]
fn an_unreachable_peer_is_suspected() {
    let mut state = membership();
    state.apply_list(&[daemon("d", InstanceState::Live)], MonoTime(0));
    let update = PeerUpdate {
        daemon: DaemonId::from("d"),
        incarnation: ProcessIncarnation(1),
        leaving: false,
    };
    state.apply_peer_update(&update, MonoTime(0));
    state.tick(MonoTime(2_999));
    assert_eq!(daemon_state(&mut state, "d"), Some(UseState::Live));
    state.tick(MonoTime(3_000));
    assert_eq!(daemon_state(&mut state, "d"), Some(UseState::Suspect));
    state.apply_peer_update(&update, MonoTime(3_100));
    state.tick(MonoTime(3_200));
    assert_eq!(daemon_state(&mut state, "d"), Some(UseState::Live));
}

/// This daemon restarts at the same address, and the list still shows its previous
/// incarnation as leaving. It must not take itself out of use for that, but must for a
/// later row.
#[rstest]
#[case::row_about_the_previous_incarnation(&[InstanceState::Leaving, InstanceState::Live], UseState::Live)]
#[case::row_about_this_incarnation(&[InstanceState::Live, InstanceState::Leaving], UseState::Leaving)]
#[case::older_list(
    &[InstanceState::Live, InstanceState::Leaving, InstanceState::Live],
    UseState::Leaving
)]
fn applies_rows_about_itself(#[case] rows: &[InstanceState], #[case] state: UseState) {
    let mut local = membership();
    for (step, row) in rows.iter().enumerate() {
        local.apply_list(&[daemon("me", *row)], MonoTime(step as u64));
    }
    assert_eq!(daemon_state(&mut local, "me"), Some(state));
}

fn snapshot(daemons: &[(&str, &str, UseState)], stopping: bool) -> ControlSnapshot {
    let mut snapshot = ControlSnapshot {
        stopping,
        ..ControlSnapshot::default()
    };
    let mut fleet = (*snapshot.fleet).clone();
    for (id, centre, state) in daemons {
        let mut view = local_view(
            DaemonId::from(*id),
            format!("{id}:1"),
            String::new(),
            CentreName::from(*centre),
            ProcessIncarnation(1),
        );
        view.state = *state;
        fleet.daemons.insert(view.id.clone(), view);
    }
    snapshot.fleet = fleet.into();
    snapshot
}

#[test]
fn addressing_includes_only_daemons_that_stay() {
    let daemons = [
        ("me", "north", UseState::Live),
        ("near", "south", UseState::Live),
        ("slow", "south", UseState::Suspect),
        ("leaving", "south", UseState::Leaving),
        ("gone", "south", UseState::Gone),
    ];
    let (local, south) = (DaemonId::from("me"), CentreName::from("south"));
    let mut rng = SmallRng::seed_from_u64(1);
    for stopping in [false, true] {
        let snapshot = snapshot(&daemons, stopping);
        let answer = addressing::locate(&snapshot, &local, Some(&south), 3_000, &mut rng);
        let addresses: Vec<&str> = answer
            .addresses
            .iter()
            .map(|a| a.address.as_str())
            .collect();
        assert_eq!(answer.keep_ms, 3_000);
        assert_eq!(addresses.contains(&"me:1"), !stopping);
        assert!(addresses.contains(&"near:1") && addresses.contains(&"slow:1"));
        assert!(!addresses.contains(&"leaving:1") && !addresses.contains(&"gone:1"));
        assert_eq!(answer.addresses[0].data_centre, south);
    }
}

#[test]
fn addressing_spreads_callers() {
    let names: Vec<String> = (0..20).map(|n| format!("d{n}")).collect();
    let daemons: Vec<(&str, &str, UseState)> = names
        .iter()
        .map(|name| (name.as_str(), "north", UseState::Live))
        .collect();
    let snapshot = snapshot(&daemons, false);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut first: IndexMap<String, u32> = IndexMap::new();
    for _ in 0..4_000 {
        let local = DaemonId::from("d0");
        let answer = addressing::locate(&snapshot, &local, None, 1, &mut rng);
        assert_eq!(answer.addresses.len(), addressing::MAX_ADDRESSES);
        *first
            .entry(answer.addresses[0].address.clone())
            .or_default() += 1;
    }
    assert_eq!(first.len(), 20);
    assert!(
        first.values().all(|count| (140..=260).contains(count)),
        "{first:?}"
    );
}
