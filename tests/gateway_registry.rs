//! Registry of targets: departures, entries that disappear, restarts, peers' updates.

mod gateway_samples;

use gateway_samples::{SERVICE, config, engine, engine_config, route, target};
use pistachiowick::gateway::fleet::remove_unconfigured;
use pistachiowick::gateway::model::{EngineStage, TargetRecord};
use pistachiowick::gateway::peers::entry_broadcasts::EntryBroadcasts;
use pistachiowick::gateway::port::WireError;
use pistachiowick::gateway::registry::{
    EntryChange, EntryContent, EntrySource, EntryUpdate, RecentUpdate, TargetRegistry,
};
use pistachiowick::gateway::routes::RouteTable;
use pistachiowick::names::{MonoTime, ServiceName, TargetId, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;
use serde_bytes::ByteBuf;

enum Step {
    Set(&'static str),
    Leaving(&'static str),
    Removed(&'static str),
    Listed(&'static [&'static str]),
    // The store answered an unrelated request.
    StoreAnswered,
    StoreFailed,
    // A request that was sent at this time failed.
    CallFailed(u64),
    Expire,
}

use Step::{CallFailed, Expire, Leaving, Listed, Removed, Set, StoreAnswered, StoreFailed};

/// Clock at the start of a case, in milliseconds.
const STARTED: u64 = 60_000;

struct TargetsCase {
    steps: &'static [(u64, Step)],
    left: &'static [&'static str],
}

// Requests are sent to the targets that are left. An entry that disappears while the
// store was reachable is a departure. One that disappears around an outage may just have
// expired; if its target is running, it is back within two seconds of the store's return.
#[rstest]
#[case::present(TargetsCase { steps: &[(0, Set("a")), (0, Set("b"))], left: &["a", "b"] })]
#[case::leaving(TargetsCase { steps: &[(0, Set("a")), (10, Leaving("a"))], left: &[] })]
#[case::a_departure_is_final(TargetsCase {
    steps: &[(0, Set("a")), (10, Leaving("a")), (20, Set("a")), (30, Listed(&["a"]))],
    left: &[],
})]
#[case::gone_while_the_store_answers(TargetsCase {
    steps: &[(0, Set("a")), (9_000, Removed("a"))],
    left: &[],
})]
#[case::missing_in_a_listing(TargetsCase {
    steps: &[(0, Set("a")), (0, Set("b")), (9_000, Listed(&["b"]))],
    left: &["b"],
})]
#[case::missing_just_after_an_outage(TargetsCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (1_900, Expire)],
    left: &["a"],
})]
#[case::back_after_an_outage(TargetsCase {
    steps: &[
        (0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (1_900, Set("a")), (9_000, Expire),
    ],
    left: &["a"],
})]
#[case::not_back_after_an_outage(TargetsCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (2_300, Expire)],
    left: &[],
})]
// The store refused requests until 100 and answers since. A target whose entry is removed
// at 2,400 has left; nothing may be sent to it later than 2,000 after it announced that.
#[case::removed_well_after_the_return(TargetsCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (2_400, Removed("a")), (3_000, Expire)],
    left: &[],
})]
#[case::long_after_an_outage(TargetsCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (2_700, Removed("a"))],
    left: &[],
})]
// The store is reachable again from 200 on, but the listing of targets arrives late.
#[case::listed_late_after_the_return(TargetsCase {
    steps: &[
        (0, Set("a")), (100, StoreFailed), (200, StoreAnswered), (1_900, Listed(&[])), (2_150, Expire),
    ],
    left: &[],
})]
#[case::listed_very_late_after_the_return(TargetsCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, StoreAnswered), (2_200, Listed(&[]))],
    left: &[],
})]
// A request hung on a lost connection while others were answered.
#[case::removed_as_a_hung_call_fails(TargetsCase {
    steps: &[
        (0, Set("a")), (2_900, StoreAnswered), (3_200, CallFailed(100)), (3_300, Removed("a")),
    ],
    left: &[],
})]
#[case::missing_after_calls_that_all_hung(TargetsCase {
    steps: &[
        (0, Set("a")), (100, StoreAnswered), (3_200, CallFailed(90)), (3_300, Listed(&[])), (5_100, Expire),
    ],
    left: &["a"],
})]
#[case::unknown_removed(TargetsCase { steps: &[(0, Removed("x")), (1, Set("a"))], left: &["a"] })]
fn which_targets_are_left(#[case] case: TargetsCase) {
    let mut registry = TargetRegistry::default();
    for (at, step) in case.steps {
        run_step(&mut registry, step, MonoTime(*at + STARTED));
    }
    assert_eq!(left(&registry), case.left);
}

#[test]
fn a_departure_detected_from_an_answer_counts_like_an_announced_one() {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, named(record("a"), 0), 1);
    registry.mark_departed(&TargetIncarnation::from("a"), MonoTime(2));
    apply(&mut registry, named(record("a"), 0), 3);
    assert!(left(&registry).is_empty());
    assert!(registry.has_departed(&TargetIncarnation::from("a")));
}

struct LastingCase {
    // Changes of the entry after the departure, with their times.
    later: fn() -> Vec<(u64, EntryChange)>,
    serving: bool,
}

// Guards against a target that left and gets work again because its departure was forgotten while
// its entry still says that it is ready.
#[rstest]
#[case::entry_unchanged(LastingCase { later: || vec![(900_000, incarnation(1, 10))], serving: false })]
#[case::entry_written_again(LastingCase {
    later: || vec![(100_000, incarnation(1, 12)), (500_000, incarnation(1, 13))], serving: false,
})]
#[case::back_after_an_outage(LastingCase {
    later: || vec![(100_000, gone("a", 11)), (102_000, incarnation(1, 12)), (500_000, incarnation(1, 13))],
    serving: false,
})]
#[case::next_incarnation(LastingCase { later: || vec![(1_000, incarnation(2, 11))], serving: true })]
#[case::late_entry_of_the_first(LastingCase {
    later: || vec![(1_000, incarnation(2, 12)), (2_000, incarnation(1, 11))], serving: true,
})]
fn a_departure_lasts_as_long_as_the_entry_of_its_incarnation(#[case] case: LastingCase) {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, incarnation(1, 10), 1);
    registry.mark_departed(&incarnation_id(1), MonoTime(2));
    for (at, change) in (case.later)() {
        registry.expire(MonoTime(at));
        apply(&mut registry, change, at);
    }
    assert_eq!(!left(&registry).is_empty(), case.serving);
    registry.replace(Vec::new(), EntrySource::Store, MonoTime(1_000_000));
    registry.expire(MonoTime(1_121_000));
    assert_eq!(registry.departed().count(), 0);
}

fn run_step(registry: &mut TargetRegistry, step: &Step, now: MonoTime) {
    if !matches!(step, StoreFailed | CallFailed(_) | Expire) {
        registry.note_store_answer(now);
    }
    match step {
        Set(id) => {
            registry.apply(named(record(id), 0), EntrySource::Store, now);
        }
        Leaving(id) => {
            let leaving = true;
            let record = TargetRecord {
                leaving,
                ..record(id)
            };
            registry.apply(named(record, 0), EntrySource::Store, now);
        }
        Removed(id) => {
            registry.apply(gone(id, 0), EntrySource::Store, now);
        }
        Listed(ids) => {
            let listing = ids.iter().map(|id| named(record(id), 0)).collect();
            registry.replace(listing, EntrySource::Store, now);
        }
        StoreAnswered => {}
        StoreFailed => registry.note_store_failure(now, now),
        CallFailed(asked) => registry.note_store_failure(MonoTime(asked + STARTED), now),
        Expire => {
            registry.expire(now);
        }
    }
}

struct IncarnationCase {
    // Changes from the store or a peer, in order of arrival.
    changes: fn() -> Vec<EntryChange>,
    // Start time of the incarnation that gets work at the end.
    serving: Option<u64>,
}

// A target announces that it is leaving, ends and restarts under its old name. The new
// incarnation has to get work at once; outdated information about the old one must not
// remove it, however late it arrives.
#[rstest]
#[case::a_restart_after_a_departure(IncarnationCase {
    changes: || vec![incarnation(1, 10), leaving(1, 11), gone("a", 12), incarnation(2, 13)],
    serving: Some(2),
})]
#[case::a_departure_is_final_for_an_incarnation(IncarnationCase {
    changes: || vec![incarnation(1, 10), leaving(1, 11), incarnation(1, 12)],
    serving: None,
})]
#[case::a_restart_after_a_crash(IncarnationCase {
    changes: || vec![incarnation(1, 10), incarnation(2, 11)],
    serving: Some(2),
})]
#[case::the_old_entry_arrives_late(IncarnationCase {
    changes: || vec![incarnation(1, 10), incarnation(2, 12), incarnation(1, 10)],
    serving: Some(2),
})]
#[case::the_old_departure_arrives_late(IncarnationCase {
    changes: || vec![incarnation(1, 10), incarnation(2, 12), leaving(1, 11)],
    serving: Some(2),
})]
#[case::the_old_removal_arrives_late(IncarnationCase {
    changes: || vec![incarnation(1, 10), incarnation(2, 12), gone("a", 11)],
    serving: Some(2),
})]
#[case::the_new_incarnation_leaves_too(IncarnationCase {
    changes: || vec![leaving(1, 10), incarnation(2, 11), leaving(2, 12), incarnation(2, 13)],
    serving: None,
})]
#[case::a_clock_that_stepped_back(IncarnationCase {
    changes: || vec![incarnation(9, 10), leaving(9, 11), incarnation(4, 12)],
    serving: Some(4),
})]
#[case::a_start_time_not_reported_before(IncarnationCase {
    changes: || vec![named(record("a"), 10), incarnation(3, 11)],
    serving: Some(3),
})]
fn which_incarnation_gets_work(#[case] case: IncarnationCase) {
    let mut registry = TargetRegistry::default();
    for change in (case.changes)() {
        apply(&mut registry, change, 60_000);
    }
    let services = registry.by_service();
    let serving = services.values().flatten().next();
    let started_at = serving.and_then(|record| record.id.started_at());
    assert_eq!(started_at.map(|started_at| started_at.0), case.serving);
}

#[test]
fn a_late_departure_ends_only_its_own_incarnation() {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, incarnation(1, 10), 1);
    apply(&mut registry, incarnation(2, 11), 2);
    registry.mark_departed(&incarnation_id(1), MonoTime(3));
    assert_eq!(left(&registry), ["a"]);
    registry.mark_departed(&incarnation_id(2), MonoTime(4));
    assert!(left(&registry).is_empty());
}

struct RemovalCase {
    // Changes of entry "a" that this daemon read.
    changes: fn() -> Vec<EntryChange>,
    // Whether the entry then disappears around an outage of the store.
    missing: bool,
    // Revision up to which a peer reports the entry removed.
    announced: u64,
    late: fn() -> Vec<EntryChange>,
    left: &'static [&'static str],
}

// Guards against work for a target whose entry was removed, as peers report while this
// daemon cannot reach the store, and against reports about an older entry of the name.
#[rstest]
#[case::while_it_is_present(RemovalCase {
    changes: || vec![incarnation(1, 10)], missing: false, announced: 11, late: Vec::new, left: &[],
})]
#[case::while_it_is_missing(RemovalCase {
    changes: || vec![incarnation(1, 10)], missing: true, announced: 11, late: Vec::new, left: &[],
})]
#[case::missing_in_the_peers_listing(RemovalCase {
    changes: || vec![incarnation(1, 10)], missing: false, announced: 10, late: Vec::new, left: &[],
})]
#[case::seen_again_in_an_old_listing(RemovalCase {
    changes: || vec![incarnation(1, 10)], missing: false, announced: 10, late: || vec![incarnation(1, 10)], left: &[],
})]
#[case::before_the_entry_is_seen(RemovalCase {
    changes: Vec::new, missing: false, announced: 11, late: || vec![incarnation(1, 10)], left: &[],
})]
#[case::written_again_since(RemovalCase {
    changes: || vec![incarnation(1, 10), incarnation(1, 12)], missing: false, announced: 11, late: Vec::new, left: &["a"],
})]
#[case::written_again_later(RemovalCase {
    changes: || vec![incarnation(1, 10)], missing: true, announced: 11, late: || vec![incarnation(1, 12)], left: &["a"],
})]
fn removals_reported_by_a_peer(#[case] case: RemovalCase) {
    let mut registry = TargetRegistry::default();
    for change in (case.changes)() {
        apply(&mut registry, change, 60_000);
    }
    if case.missing {
        registry.note_store_failure(MonoTime(60_100), MonoTime(60_100));
        registry.replace(Vec::new(), EntrySource::Store, MonoTime(60_200));
        assert_eq!(left(&registry), ["a"]);
    }
    registry.apply_removal(&TargetId::from("a"), case.announced, MonoTime(60_300));
    for change in (case.late)() {
        apply(&mut registry, change, 60_400);
    }
    assert_eq!(left(&registry), case.left);
}

struct AnnouncedRemovalCase {
    failed: bool,
    source: EntrySource,
    announced: &'static [u64],
}

// Guards against a removal announced by a daemon that cannot be sure of it, because the
// store was just unreachable or the removal came from a hub.
#[rstest]
#[case::store_always_reachable(AnnouncedRemovalCase { failed: false, source: EntrySource::Store, announced: &[11] })]
#[case::after_a_failure(AnnouncedRemovalCase { failed: true, source: EntrySource::Store, announced: &[] })]
#[case::from_a_hub(AnnouncedRemovalCase { failed: false, source: EntrySource::Hub, announced: &[] })]
fn which_removals_are_announced(#[case] case: AnnouncedRemovalCase) {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, incarnation(1, 10), 60_000);
    if case.failed {
        registry.note_store_failure(MonoTime(60_100), MonoTime(60_100));
    }
    registry.apply(gone("a", 11), case.source, MonoTime(60_200));
    let announced = registry.recent_updates();
    let announced: Vec<u64> = announced.map(|recent| recent.update.revision).collect();
    assert_eq!(announced, case.announced);
}

// Guards against two daemons that announce a removal to each other forever.
#[test]
fn a_repeated_removal_is_not_announced_again() {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, incarnation(1, 10), 60_000);
    let name = TargetId::from("a");
    assert!(registry.apply_removal(&name, 11, MonoTime(60_100)));
    let late = MonoTime(95_000);
    registry.expire(late);
    assert!(!registry.apply_removal(&name, 11, late));
    let recent: Vec<RecentUpdate> = registry.recent_updates().cloned().collect();
    assert!(
        EntryBroadcasts::default()
            .due_changes(&recent, late)
            .is_empty()
    );
}

// Guards against a removal that disconnected members of a hub never receive, because the
// hub first got it with store objects relayed by another hub.
#[test]
fn a_removal_known_from_a_hub_is_still_announced() {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, incarnation(1, 10), 60_000);
    registry.apply(gone("a", 11), EntrySource::Hub, MonoTime(60_050));
    assert!(registry.apply_removal(&TargetId::from("a"), 11, MonoTime(60_100)));
    assert_eq!(registry.recent_updates().count(), 1);
}

struct AdditionCase {
    // Revision up to which this daemon has read all changes of the store.
    read_through: u64,
    announced: u64,
    left: &'static [&'static str],
}

// Guards against a departed target that is added again by an outdated update of a peer.
#[rstest]
#[case::not_read_yet(AdditionCase { read_through: 9, announced: 10, left: &["a"] })]
#[case::read_already(AdditionCase { read_through: 10, announced: 10, left: &[] })]
#[case::read_further(AdditionCase { read_through: 70, announced: 10, left: &[] })]
fn additions_reported_by_a_peer(#[case] case: AdditionCase) {
    let mut registry = TargetRegistry::default();
    registry.replace(Vec::new(), EntrySource::Store, MonoTime(60_000));
    registry.note_read_through(case.read_through);
    let added = incarnation(1, case.announced);
    registry.apply(added, EntrySource::Peer, MonoTime(60_100));
    assert_eq!(left(&registry), case.left);
}

struct AnnouncedAdditionCase {
    change: fn(&mut TargetRegistry),
    announced: usize,
}

// Guards against announcing an entry as added that is no longer present.
#[rstest]
#[case::present_now(AnnouncedAdditionCase { change: |_| {}, announced: 1 })]
#[case::leaving(AnnouncedAdditionCase { change: |registry| apply(registry, leaving(1, 11), 60_200), announced: 0 })]
#[case::departed(AnnouncedAdditionCase {
    change: |registry| registry.mark_departed(&incarnation_id(1), MonoTime(60_200)), announced: 0,
})]
#[case::unreadable(AnnouncedAdditionCase { change: |registry| apply(registry, unreadable("a", 11), 60_200), announced: 0 })]
#[case::missing(AnnouncedAdditionCase {
    change: |registry| {
        registry.note_store_failure(MonoTime(60_100), MonoTime(60_100));
        registry.replace(Vec::new(), EntrySource::Store, MonoTime(60_200));
    },
    announced: 0,
})]
fn which_additions_are_announced(#[case] case: AnnouncedAdditionCase) {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, incarnation(1, 10), 60_000);
    registry.note_added(&TargetId::from("a"), b"value", MonoTime(60_000));
    (case.change)(&mut registry);
    assert_eq!(registry.recent_updates().count(), case.announced);
}

struct ScheduleCase {
    // When the message is made; an earlier one, at 0, contained all updates known then.
    at: u64,
    announced: &'static [u64],
}

// Guards against removals that a daemon never receives because it connected later or was
// disconnected at the time, and against repeating all of them in each message.
#[rstest]
#[case::new_ones(ScheduleCase { at: 400, announced: &[2] })]
#[case::no_new_ones(ScheduleCase { at: 999, announced: &[] })]
#[case::all_repeated(ScheduleCase { at: 1_000, announced: &[1, 2] })]
#[case::one_announced_for_long(ScheduleCase { at: 21_100, announced: &[2] })]
#[case::both_announced_for_long(ScheduleCase { at: 40_000, announced: &[] })]
fn which_removals_a_message_contains(#[case] case: ScheduleCase) {
    let update_at = |revision: u64, at: u64| RecentUpdate {
        update: EntryUpdate {
            name: TargetId::from("a"),
            revision,
            value: None,
        },
        at: MonoTime(at),
    };
    let mut turns = EntryBroadcasts::default();
    let first = [update_at(1, 0)];
    assert_eq!(turns.due_changes(&first, MonoTime(9_000)).len(), 1);
    let all = [update_at(1, 0), update_at(2, 9_300)];
    let announced = turns.due_changes(&all, MonoTime(9_000 + case.at));
    let announced: Vec<u64> = announced.iter().map(|update| update.revision).collect();
    assert_eq!(announced, case.announced);
}

// Guards against messages that saturate the links when a fleet starts or many entries
// reappear, and against added entries that are then never announced.
#[test]
fn additions_are_spread_over_messages() {
    let added = |number: usize| RecentUpdate {
        update: EntryUpdate {
            name: TargetId::from(format!("t{number}")),
            revision: 1 + number as u64,
            value: Some(ByteBuf::from(vec![b' '; 300])),
        },
        at: MonoTime(9_000),
    };
    let additions: Vec<RecentUpdate> = (0..40).map(added).collect();
    let mut turns = EntryBroadcasts::default();
    let mut announced: Vec<u64> = Vec::new();
    for tick in 0..75 {
        let message = turns.due_changes(&additions, MonoTime(9_000 + 40 * tick));
        assert!(
            message.len() <= 16,
            "{} additions in a message",
            message.len()
        );
        announced.extend(message.iter().map(|update| update.revision));
    }
    assert_eq!(announced.len(), 48);
    announced.sort_unstable();
    announced.dedup();
    assert_eq!(announced.len(), 40);
}

// Another program overwrites a target's entry. The old content may be outdated, so the
// target gets no work until it writes the entry again; other targets are not affected.
#[test]
fn a_target_whose_entry_becomes_unreadable_gets_no_work_until_it_writes_again() {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, named(record("a"), 10), 1);
    apply(&mut registry, named(record("b"), 11), 1);
    apply(&mut registry, unreadable("a", 12), 2);
    assert_eq!(left(&registry), ["b"]);
    apply(&mut registry, named(record("a"), 13), 3);
    assert_eq!(left(&registry), ["a", "b"]);
}

#[test]
fn an_unreadable_entry_in_a_listing_costs_only_itself() {
    let mut registry = TargetRegistry::default();
    apply(&mut registry, named(record("a"), 10), 1);
    let listing = vec![named(record("b"), 11), unreadable("odd", 12)];
    registry.replace(listing, EntrySource::Store, MonoTime(2));
    assert_eq!(left(&registry), ["b"]);
}

struct ConfiguredCase {
    records: fn() -> Vec<TargetRecord>,
    engines: bool,
    left: &'static [&'static str],
}

// Guards against prompts and stage orders sent to targets that are no engines of a
// configured service.
#[rstest]
#[case::engines(ConfiguredCase {
    records: || vec![engine("e1", EngineStage::Decode), target("odd", "127.0.0.1:9")],
    engines: true,
    left: &["e1"],
})]
#[case::engines_without_a_stage(ConfiguredCase {
    records: || vec![target("e1", "127.0.0.1:9")],
    engines: true,
    left: &["e1"],
})]
#[case::plain_targets(ConfiguredCase {
    records: || vec![target("a", "127.0.0.1:9"), target("b", "127.0.0.1:9")],
    engines: false,
    left: &["a", "b"],
})]
#[case::a_service_that_is_not_configured(ConfiguredCase {
    records: || vec![TargetRecord { service: ServiceName::from("odd"), ..record("a") }],
    engines: false,
    left: &[],
})]
fn which_records_become_targets(#[case] case: ConfiguredCase) {
    let mut registry = TargetRegistry::default();
    for record in (case.records)() {
        apply(&mut registry, named(record, 1), 1);
    }
    let routes = vec![route("r", "h", "/")];
    let routes = if case.engines {
        engine_config(1, routes)
    } else {
        config(1, routes)
    };
    let mut targets = registry.by_service();
    remove_unconfigured(&mut targets, &RouteTable::from(routes));
    let left: Vec<&str> = targets.values().flatten().map(|r| r.id.as_str()).collect();
    assert_eq!(left, case.left);
}

fn apply(registry: &mut TargetRegistry, change: EntryChange, at: u64) {
    registry.apply(change, EntrySource::Store, MonoTime(at));
}

fn named(record: TargetRecord, revision: u64) -> EntryChange {
    EntryChange {
        name: record.id.name().clone(),
        revision,
        content: EntryContent::Named(record),
    }
}

fn gone(name: &str, revision: u64) -> EntryChange {
    EntryChange {
        name: TargetId::from(name),
        revision,
        content: EntryContent::Gone,
    }
}

fn unreadable(name: &str, revision: u64) -> EntryChange {
    EntryChange {
        name: TargetId::from(name),
        revision,
        content: EntryContent::Unreadable(WireError::new("state", "asleep", "ready or draining")),
    }
}

fn incarnation_id(started_at: u64) -> TargetIncarnation {
    TargetIncarnation::new(TargetId::from("a"), Some(UnixTime(started_at)))
}

fn incarnation(started_at: u64, revision: u64) -> EntryChange {
    let record = TargetRecord {
        id: incarnation_id(started_at),
        ..record("a")
    };
    named(record, revision)
}

fn leaving(started_at: u64, revision: u64) -> EntryChange {
    let record = TargetRecord {
        id: incarnation_id(started_at),
        leaving: true,
        ..record("a")
    };
    named(record, revision)
}

fn record(id: &str) -> TargetRecord {
    target(id, "127.0.0.1:9")
}

fn left(registry: &TargetRegistry) -> Vec<String> {
    let services = registry.by_service();
    let records = services.get(&ServiceName::from(SERVICE));
    records
        .into_iter()
        .flatten()
        .map(|record| record.id.to_string())
        .collect()
}
