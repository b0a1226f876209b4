//! Targets as the store shows them: leaving, vanishing, coming back.

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
    // The store answered a call about something else.
    StoreAnswered,
    StoreFailed,
    // A call failed that was begun at this moment.
    CallFailed(u64),
    Expire,
}

use Step::{CallFailed, Expire, Leaving, Listed, Removed, Set, StoreAnswered, StoreFailed};

/// Clock at the start of a case, in milliseconds.
const STARTED: u64 = 60_000;

struct RegistryCase {
    steps: &'static [(u64, Step)],
    left: &'static [&'static str],
}

// A caller's request goes to what is left. An entry that vanishes while the store
// answered all the time is a departure. One that vanishes around an outage may only
// have expired, and is back within two seconds of the store's return if it lives.
#[rstest]
#[case::present(RegistryCase { steps: &[(0, Set("a")), (0, Set("b"))], left: &["a", "b"] })]
#[case::leaving(RegistryCase { steps: &[(0, Set("a")), (10, Leaving("a"))], left: &[] })]
#[case::leaving_stays_leaving(RegistryCase {
    steps: &[(0, Set("a")), (10, Leaving("a")), (20, Set("a")), (30, Listed(&["a"]))],
    left: &[],
})]
#[case::gone_while_the_store_answers(RegistryCase {
    steps: &[(0, Set("a")), (9_000, Removed("a"))],
    left: &[],
})]
#[case::missing_in_a_listing(RegistryCase {
    steps: &[(0, Set("a")), (0, Set("b")), (9_000, Listed(&["b"]))],
    left: &["b"],
})]
#[case::missing_just_after_an_outage(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (1_900, Expire)],
    left: &["a"],
})]
#[case::back_after_an_outage(RegistryCase {
    steps: &[
        (0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (1_900, Set("a")), (9_000, Expire),
    ],
    left: &["a"],
})]
#[case::not_back_after_an_outage(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, Listed(&[])), (2_300, Expire)],
    left: &[],
})]
// The store turned this daemon away until 100, answers since, and a server whose entry is
// removed at 2,400 has left: 2,000 after its word nothing may reach it.
#[case::removed_well_after_the_return(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (2_400, Removed("a")), (3_000, Expire)],
    left: &[],
})]
#[case::long_after_an_outage(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (2_700, Removed("a"))],
    left: &[],
})]
// The store answers this daemon from 200 on; the listing of the targets comes late.
#[case::listed_late_after_the_return(RegistryCase {
    steps: &[
        (0, Set("a")), (100, StoreFailed), (200, StoreAnswered), (1_900, Listed(&[])), (2_150, Expire),
    ],
    left: &[],
})]
#[case::listed_very_late_after_the_return(RegistryCase {
    steps: &[(0, Set("a")), (100, StoreFailed), (200, StoreAnswered), (2_200, Listed(&[]))],
    left: &[],
})]
// A connection was lost and its call hung; other calls were answered meanwhile.
#[case::removed_as_a_hung_call_fails(RegistryCase {
    steps: &[
        (0, Set("a")), (2_900, StoreAnswered), (3_200, CallFailed(100)), (3_300, Removed("a")),
    ],
    left: &[],
})]
#[case::missing_after_calls_that_all_hung(RegistryCase {
    steps: &[
        (0, Set("a")), (100, StoreAnswered), (3_200, CallFailed(90)), (3_300, Listed(&[])), (5_100, Expire),
    ],
    left: &["a"],
})]
#[case::unknown_removed(RegistryCase { steps: &[(0, Removed("x")), (1, Set("a"))], left: &["a"] })]
fn what_is_left(#[case] case: RegistryCase) {
    let mut registry = TargetRegistry::default();
    for (at, step) in case.steps {
        apply(&mut registry, step, MonoTime(*at + STARTED));
    }
    assert_eq!(left(&registry), case.left);
}

#[test]
fn a_departure_noticed_by_an_answer_counts_like_an_announced_one() {
    let mut registry = TargetRegistry::default();
    take(&mut registry, named(record("a"), 0), 1);
    registry.depart(&TargetIncarnation::from("a"), MonoTime(2));
    take(&mut registry, named(record("a"), 0), 3);
    assert!(left(&registry).is_empty());
    assert!(registry.has_departed(&TargetIncarnation::from("a")));
}

fn apply(registry: &mut TargetRegistry, step: &Step, now: MonoTime) {
    if !matches!(step, StoreFailed | CallFailed(_) | Expire) {
        registry.note_store_answer(now);
    }
    match step {
        Set(id) => {
            registry.take(named(record(id), 0), EntrySource::Store, now);
        }
        Leaving(id) => {
            let leaving = true;
            let record = TargetRecord {
                leaving,
                ..record(id)
            };
            registry.take(named(record, 0), EntrySource::Store, now);
        }
        Removed(id) => {
            registry.take(gone(id, 0), EntrySource::Store, now);
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

struct LifeCase {
    // What the store or a daemon shows, in order, by revision.
    news: fn() -> Vec<EntryChange>,
    // Start of the life that gets work at the end.
    serving: Option<u64>,
}

// A server announces that it leaves, ends, and starts again under its name. Its new
// life is sound and knows nothing of the departure, so it gets work at once; nothing
// that was said of the old life, however late it is seen, takes that away.
#[rstest]
#[case::a_new_life_after_a_departure(LifeCase {
    news: || vec![life(1, 10), leaving(1, 11), gone("a", 12), life(2, 13)],
    serving: Some(2),
})]
#[case::leaving_stays_leaving_within_a_life(LifeCase {
    news: || vec![life(1, 10), leaving(1, 11), life(1, 12)],
    serving: None,
})]
#[case::a_new_life_over_a_crashed_one(LifeCase {
    news: || vec![life(1, 10), life(2, 11)],
    serving: Some(2),
})]
#[case::the_old_entry_seen_late(LifeCase {
    news: || vec![life(1, 10), life(2, 12), life(1, 10)],
    serving: Some(2),
})]
#[case::the_old_departure_seen_late(LifeCase {
    news: || vec![life(1, 10), life(2, 12), leaving(1, 11)],
    serving: Some(2),
})]
#[case::the_old_end_seen_late(LifeCase {
    news: || vec![life(1, 10), life(2, 12), gone("a", 11)],
    serving: Some(2),
})]
#[case::the_new_life_leaves_too(LifeCase {
    news: || vec![leaving(1, 10), life(2, 11), leaving(2, 12), life(2, 13)],
    serving: None,
})]
#[case::a_clock_that_stepped_back(LifeCase {
    news: || vec![life(9, 10), leaving(9, 11), life(4, 12)],
    serving: Some(4),
})]
#[case::a_start_that_was_not_told_before(LifeCase {
    news: || vec![named(record("a"), 10), life(3, 11)],
    serving: Some(3),
})]
fn which_life_gets_work(#[case] case: LifeCase) {
    let mut registry = TargetRegistry::default();
    for news in (case.news)() {
        take(&mut registry, news, 60_000);
    }
    let services = registry.by_service();
    let serving = services.values().flatten().next();
    let born = serving.and_then(|record| record.id.born());
    assert_eq!(born.map(|born| born.0), case.serving);
}

#[test]
fn a_departure_noticed_late_ends_only_the_life_that_it_is_of() {
    let mut registry = TargetRegistry::default();
    take(&mut registry, life(1, 10), 1);
    take(&mut registry, life(2, 11), 2);
    registry.depart(&life_of(1), MonoTime(3));
    assert_eq!(left(&registry), ["a"]);
    registry.depart(&life_of(2), MonoTime(4));
    assert!(left(&registry).is_empty());
}

struct EndCase {
    // What this daemon saw of entry "a", by revision, while the store answered or not.
    news: fn() -> Vec<EntryChange>,
    missing: bool,
    // Revision up to which another daemon tells that the entry is over.
    told: u64,
    late: fn() -> Vec<EntryChange>,
    left: &'static [&'static str],
}

// Guards against work for a target whose entry is gone, as other daemons saw it, while this
// one does not hear the store; and against their word about an older entry of the name.
#[rstest]
#[case::while_it_is_here(EndCase {
    news: || vec![life(1, 10)], missing: false, told: 11, late: Vec::new, left: &[],
})]
#[case::while_it_is_missing(EndCase {
    news: || vec![life(1, 10)], missing: true, told: 11, late: Vec::new, left: &[],
})]
#[case::missing_in_their_listing(EndCase {
    news: || vec![life(1, 10)], missing: false, told: 10, late: Vec::new, left: &[],
})]
#[case::seen_again_in_an_old_listing(EndCase {
    news: || vec![life(1, 10)], missing: false, told: 10, late: || vec![life(1, 10)], left: &[],
})]
#[case::before_the_entry_is_seen(EndCase {
    news: Vec::new, missing: false, told: 11, late: || vec![life(1, 10)], left: &[],
})]
#[case::written_again_since(EndCase {
    news: || vec![life(1, 10), life(1, 12)], missing: false, told: 11, late: Vec::new, left: &["a"],
})]
#[case::written_again_later(EndCase {
    news: || vec![life(1, 10)], missing: true, told: 11, late: || vec![life(1, 12)], left: &["a"],
})]
fn what_another_daemon_saw_end(#[case] case: EndCase) {
    let mut registry = TargetRegistry::default();
    for news in (case.news)() {
        take(&mut registry, news, 60_000);
    }
    if case.missing {
        registry.note_store_failure(MonoTime(60_100), MonoTime(60_100));
        registry.replace(Vec::new(), EntrySource::Store, MonoTime(60_200));
        assert_eq!(left(&registry), ["a"]);
    }
    registry.take_end(&TargetId::from("a"), case.told, MonoTime(60_300));
    for news in (case.late)() {
        take(&mut registry, news, 60_400);
    }
    assert_eq!(left(&registry), case.left);
}

struct ToldCase {
    failed: bool,
    source: EntrySource,
    told: &'static [u64],
}

// Guards against an end told to the fleet by a daemon that cannot know it: one that did not
// hear the store just before, or that has it from a hub.
#[rstest]
#[case::heard_all_along(ToldCase { failed: false, source: EntrySource::Store, told: &[11] })]
#[case::after_a_failure(ToldCase { failed: true, source: EntrySource::Store, told: &[] })]
#[case::from_a_hub(ToldCase { failed: false, source: EntrySource::Hub, told: &[] })]
fn which_ends_are_told(#[case] case: ToldCase) {
    let mut registry = TargetRegistry::default();
    take(&mut registry, life(1, 10), 60_000);
    if case.failed {
        registry.note_store_failure(MonoTime(60_100), MonoTime(60_100));
    }
    registry.take(gone("a", 11), case.source, MonoTime(60_200));
    let told = registry.notes();
    let told: Vec<u64> = told.map(|kept| kept.note.revision).collect();
    assert_eq!(told, case.told);
}

// Guards against an end that two daemons tell each other for ever.
#[test]
fn an_end_that_is_told_again_is_no_news() {
    let mut registry = TargetRegistry::default();
    take(&mut registry, life(1, 10), 60_000);
    let name = TargetId::from("a");
    assert!(registry.take_end(&name, 11, MonoTime(60_100)));
    let late = MonoTime(95_000);
    registry.expire(late);
    assert!(!registry.take_end(&name, 11, late));
    let kept: Vec<RecentUpdate> = registry.notes().cloned().collect();
    assert!(
        EntryBroadcasts::default()
            .due_changes(&kept, late)
            .is_empty()
    );
}

// Guards against an end that members of a hub never hear which were cut off: the hub has it
// from another hub, by the store's objects first.
#[test]
fn an_end_that_came_with_objects_of_a_hub_is_told_on() {
    let mut registry = TargetRegistry::default();
    take(&mut registry, life(1, 10), 60_000);
    registry.take(gone("a", 11), EntrySource::Hub, MonoTime(60_050));
    assert!(registry.take_end(&TargetId::from("a"), 11, MonoTime(60_100)));
    assert_eq!(registry.notes().count(), 1);
}

struct BeginCase {
    // Revision up to which this daemon has read the store.
    read_through: u64,
    told: u64,
    left: &'static [&'static str],
}

// Guards against a target that was here and is gone, brought back by a daemon that does not
// know it yet; this one started since, or read further.
#[rstest]
#[case::not_read_yet(BeginCase { read_through: 9, told: 10, left: &["a"] })]
#[case::read_already(BeginCase { read_through: 10, told: 10, left: &[] })]
#[case::read_further(BeginCase { read_through: 70, told: 10, left: &[] })]
fn what_another_daemon_saw_begin(#[case] case: BeginCase) {
    let mut registry = TargetRegistry::default();
    registry.replace(Vec::new(), EntrySource::Store, MonoTime(60_000));
    registry.note_read_through(case.read_through);
    let begun = life(1, case.told);
    registry.take(begun, EntrySource::Peer, MonoTime(60_100));
    assert_eq!(left(&registry), case.left);
}

struct OverCase {
    change: fn(&mut TargetRegistry),
    told: usize,
}

// Guards against a begin told to others of an entry that is not here any more.
#[rstest]
#[case::here(OverCase { change: |_| {}, told: 1 })]
#[case::leaving(OverCase { change: |registry| take(registry, leaving(1, 11), 60_200), told: 0 })]
#[case::at_its_address_no_more(OverCase {
    change: |registry| registry.depart(&life_of(1), MonoTime(60_200)), told: 0,
})]
#[case::unreadable(OverCase { change: |registry| take(registry, unreadable("a", 11), 60_200), told: 0 })]
#[case::missing(OverCase {
    change: |registry| {
        registry.note_store_failure(MonoTime(60_100), MonoTime(60_100));
        registry.replace(Vec::new(), EntrySource::Store, MonoTime(60_200));
    },
    told: 0,
})]
fn which_begins_are_told(#[case] case: OverCase) {
    let mut registry = TargetRegistry::default();
    take(&mut registry, life(1, 10), 60_000);
    registry.note_begun(&TargetId::from("a"), b"value", MonoTime(60_000));
    (case.change)(&mut registry);
    assert_eq!(registry.notes().count(), case.told);
}

struct TurnCase {
    // When the word is made, after one that told of everything at 0.
    at: u64,
    told: &'static [u64],
}

// Guards against ends that a daemon never hears which links up or was cut off when they
// were news, and against words that all carry all of them.
#[rstest]
#[case::news(TurnCase { at: 400, told: &[2] })]
#[case::nothing_new(TurnCase { at: 999, told: &[] })]
#[case::all_again(TurnCase { at: 1_000, told: &[1, 2] })]
#[case::one_told_for_long(TurnCase { at: 21_100, told: &[2] })]
#[case::both_told_for_long(TurnCase { at: 40_000, told: &[] })]
fn which_ends_a_word_carries(#[case] case: TurnCase) {
    let noted = |revision: u64, at: u64| RecentUpdate {
        note: EntryUpdate {
            name: TargetId::from("a"),
            revision,
            value: None,
        },
        at: MonoTime(at),
    };
    let mut turns = EntryBroadcasts::default();
    let first = [noted(1, 0)];
    assert_eq!(turns.due_changes(&first, MonoTime(9_000)).len(), 1);
    let all = [noted(1, 0), noted(2, 9_300)];
    let told = turns.due_changes(&all, MonoTime(9_000 + case.at));
    let told: Vec<u64> = told.iter().map(|end| end.revision).collect();
    assert_eq!(told, case.told);
}

// Guards against words that fill the links when a fleet starts, or many entries come back,
// and against begins that are never told then.
#[test]
fn begins_go_into_words_by_turns() {
    let begun = |number: usize| RecentUpdate {
        note: EntryUpdate {
            name: TargetId::from(format!("t{number}")),
            revision: 1 + number as u64,
            value: Some(ByteBuf::from(vec![b' '; 300])),
        },
        at: MonoTime(9_000),
    };
    let begins: Vec<RecentUpdate> = (0..40).map(begun).collect();
    let mut turns = EntryBroadcasts::default();
    let mut told: Vec<u64> = Vec::new();
    for tick in 0..75 {
        let word = turns.due_changes(&begins, MonoTime(9_000 + 40 * tick));
        assert!(word.len() <= 16, "{} begins in a word", word.len());
        told.extend(word.iter().map(|note| note.revision));
    }
    assert_eq!(told.len(), 48);
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 40);
}

// Somebody else writes over a target's entry. What it said is not known to hold any
// more, so it gets nothing until its own writer is back; the others go on.
#[test]
fn an_entry_that_turns_unreadable_names_no_target_until_it_is_written_again() {
    let mut registry = TargetRegistry::default();
    take(&mut registry, named(record("a"), 10), 1);
    take(&mut registry, named(record("b"), 11), 1);
    take(&mut registry, unreadable("a", 12), 2);
    assert_eq!(left(&registry), ["b"]);
    take(&mut registry, named(record("a"), 13), 3);
    assert_eq!(left(&registry), ["a", "b"]);
}

#[test]
fn an_unreadable_entry_in_a_listing_costs_only_itself() {
    let mut registry = TargetRegistry::default();
    take(&mut registry, named(record("a"), 10), 1);
    let listing = vec![named(record("b"), 11), unreadable("odd", 12)];
    registry.replace(listing, EntrySource::Store, MonoTime(2));
    assert_eq!(left(&registry), ["b"]);
}

struct StrangerCase {
    records: fn() -> Vec<TargetRecord>,
    engines: bool,
    left: &'static [&'static str],
}

// Orders and prompts would go to an entry that only looks like an engine's.
#[rstest]
#[case::engines(StrangerCase {
    records: || vec![engine("e1", EngineStage::Decode), target("odd", "127.0.0.1:9")],
    engines: true,
    left: &["e1"],
})]
#[case::engines_that_tell_no_stage(StrangerCase {
    records: || vec![target("e1", "127.0.0.1:9")],
    engines: true,
    left: &["e1"],
})]
#[case::plain_targets(StrangerCase {
    records: || vec![target("a", "127.0.0.1:9"), target("b", "127.0.0.1:9")],
    engines: false,
    left: &["a", "b"],
})]
#[case::a_service_that_is_not_configured(StrangerCase {
    records: || vec![TargetRecord { service: ServiceName::from("odd"), ..record("a") }],
    engines: false,
    left: &[],
})]
fn which_records_name_targets(#[case] case: StrangerCase) {
    let mut registry = TargetRegistry::default();
    for record in (case.records)() {
        take(&mut registry, named(record, 1), 1);
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

fn take(registry: &mut TargetRegistry, news: EntryChange, at: u64) {
    registry.take(news, EntrySource::Store, MonoTime(at));
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

fn life_of(born: u64) -> TargetIncarnation {
    TargetIncarnation::new(TargetId::from("a"), Some(UnixTime(born)))
}

fn life(born: u64, revision: u64) -> EntryChange {
    let record = TargetRecord {
        id: life_of(born),
        ..record("a")
    };
    named(record, revision)
}

fn leaving(born: u64, revision: u64) -> EntryChange {
    let record = TargetRecord {
        id: life_of(born),
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
