//! What the registry of targets makes of a store that is restored from an older copy.

use pistachiowick::gateway::model::TargetRecord;
use pistachiowick::gateway::peers::feeding::StoreSnapshot;
use pistachiowick::gateway::peers::wire::FeedObjects;
use pistachiowick::gateway::registry::{
    EntryChange, EntryContent, EntrySource, TargetRegistry, WITHHOLDING_TIME,
};
use pistachiowick::gateway::store_follow::Feed;
use pistachiowick::names::{MonoTime, TargetId, UnixTime, millis};
use pistachiowick::ports::ObjectVersion;
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;
use serde_bytes::ByteBuf;

mod gateway_samples;

use gateway_samples::target;

/// Clock at the start of a case, in milliseconds.
const STARTED: u64 = 60_000;
/// Pause between two steps, in milliseconds.
const STEP_MS: u64 = 100;

// Name and incarnation of a target, era and revision of its entry.
type EntryRow = (&'static str, u64, u64, u64);

enum Step {
    Listed(&'static [EntryRow]),
    Written(EntryRow),
    Leaving(EntryRow),
    // Name, era and revision.
    Gone(&'static str, u64, u64),
    // Milliseconds that pass.
    Pass(u64),
}

use Step::{Gone, Leaving, Listed, Pass, Written};

const JUST_BEFORE_RELEASE: u64 = 9_500;
const AFTER_RELEASE: u64 = 10_500;

struct RestoreCase {
    steps: &'static [Step],
    // Names and incarnations that get work at the end.
    serving: &'static [(&'static str, u64)],
}

fn change(name: &str, revision: ObjectVersion, content: EntryContent) -> EntryChange {
    EntryChange {
        name: TargetId::from(name),
        revision: revision.0,
        content,
    }
}

fn entry((name, incarnation, era, revision): EntryRow, leaving: bool) -> EntryChange {
    let id = TargetIncarnation::new(TargetId::from(name), Some(UnixTime(incarnation)));
    let record = TargetRecord {
        id,
        leaving,
        ..target(name, "10.0.0.1:80")
    };
    change(
        name,
        ObjectVersion::in_era(era, revision),
        EntryContent::Named(record),
    )
}

fn run(steps: &[Step], source: EntrySource) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let mut now = MonoTime(STARTED);
    for step in steps {
        now = MonoTime(now.0 + STEP_MS);
        match step {
            Listed(rows) => {
                let listing = rows.iter().map(|row| entry(*row, false)).collect();
                registry.replace(listing, source, now);
            }
            Written(row) => {
                registry.apply(entry(*row, false), source, now);
            }
            Leaving(row) => {
                registry.apply(entry(*row, true), source, now);
            }
            Gone(name, era, revision) => {
                let revision = ObjectVersion::in_era(*era, *revision);
                registry.apply(change(name, revision, EntryContent::Gone), source, now);
            }
            Pass(ms) => now = MonoTime(now.0 + ms),
        }
        registry.expire(now);
    }
    registry
}

// Guards against a restored store whose older entries replace what is known, and against entries
// that are written again under lower revisions and are ignored.
#[rstest]
#[case::older_entry(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Written(("a", 2, 0, 20)), Listed(&[("a", 1, 1, 10)])],
    serving: &[("a", 2)],
})]
#[case::removed_before(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Gone("a", 0, 20), Listed(&[("a", 1, 1, 10)])],
    serving: &[],
})]
#[case::removed_and_listed_again(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Gone("a", 0, 20), Listed(&[("a", 1, 1, 10)]), Listed(&[("a", 1, 1, 10)]), Pass(JUST_BEFORE_RELEASE)],
    serving: &[],
})]
#[case::removed_and_listed_for_long(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Gone("a", 0, 20), Listed(&[("a", 1, 1, 10)]), Pass(AFTER_RELEASE)],
    serving: &[("a", 1)],
})]
#[case::removed_twice(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Gone("a", 0, 20), Listed(&[("a", 1, 1, 10)]), Gone("a", 1, 11), Pass(AFTER_RELEASE)],
    serving: &[],
})]
#[case::removed_and_missing_later(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10), ("b", 1, 0, 5)]), Gone("a", 0, 20), Listed(&[("a", 1, 1, 10), ("b", 1, 1, 5)]), Listed(&[("b", 1, 1, 5)]), Pass(AFTER_RELEASE)],
    serving: &[("b", 1)],
})]
#[case::removed_and_restored_twice(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Gone("a", 0, 20), Listed(&[("a", 1, 1, 10)]), Listed(&[("a", 1, 2, 10)])],
    serving: &[],
})]
#[case::departed_before(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Leaving(("a", 1, 0, 20)), Listed(&[("a", 1, 1, 10)]), Pass(AFTER_RELEASE)],
    serving: &[],
})]
#[case::written_again_lower(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Written(("a", 2, 0, 20)), Listed(&[("a", 1, 1, 10)]), Written(("a", 3, 1, 12))],
    serving: &[("a", 3)],
})]
#[case::lost_and_written_again_lower(RestoreCase {
    steps: &[Listed(&[("b", 1, 0, 5)]), Written(("a", 1, 0, 20)), Listed(&[("b", 1, 1, 5)]), Pass(3_000), Written(("a", 1, 1, 6))],
    serving: &[("a", 1), ("b", 1)],
})]
#[case::written_again_and_listed(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Written(("a", 2, 0, 20)), Listed(&[("a", 1, 1, 10)]), Listed(&[("a", 3, 1, 12)])],
    serving: &[("a", 3)],
})]
#[case::lost(RestoreCase {
    steps: &[Listed(&[("b", 1, 0, 5)]), Written(("a", 1, 0, 20)), Listed(&[("b", 1, 1, 5)])],
    serving: &[("a", 1), ("b", 1)],
})]
#[case::lost_for_good(RestoreCase {
    steps: &[Listed(&[("b", 1, 0, 5)]), Written(("a", 1, 0, 20)), Listed(&[("b", 1, 1, 5)]), Pass(3_000)],
    serving: &[("b", 1)],
})]
#[case::not_known_before(RestoreCase {
    steps: &[Listed(&[("b", 1, 0, 5)]), Listed(&[("a", 1, 1, 3), ("b", 1, 1, 5)])],
    serving: &[("a", 1), ("b", 1)],
})]
#[case::old_change_arrives_late(RestoreCase {
    steps: &[Listed(&[("a", 1, 0, 10)]), Listed(&[("a", 1, 1, 10)]), Written(("a", 2, 0, 30))],
    serving: &[("a", 1)],
})]
fn which_targets_get_work_after_a_restore(
    #[case] case: RestoreCase,
    #[values(EntrySource::Store, EntrySource::Hub)] source: EntrySource,
) {
    assert_eq!(millis(WITHHOLDING_TIME), 10_000);
    let registry = run(case.steps, source);
    let services = registry.by_service();
    let serving = services.values().flatten();
    let serving = serving.map(|record| {
        let incarnation = record.id.started_at().map_or(0, |at| at.0);
        (record.id.name().to_string(), incarnation)
    });
    let expected = case.serving.iter();
    let expected: Vec<_> = expected.map(|(name, at)| (name.to_string(), *at)).collect();
    assert_eq!(serving.collect::<Vec<_>>(), expected);
}

struct RelayCase {
    listed: ObjectVersion,
    whole: bool,
}

// Members have to learn that a listing is of a restored store, or they take its entries for
// changes.
#[rstest]
#[case::same_era(RelayCase { listed: ObjectVersion::in_era(1, 12), whole: false })]
#[case::next_era(RelayCase { listed: ObjectVersion::in_era(2, 9), whole: true })]
fn a_listing_of_a_new_era_is_relayed_whole(#[case] case: RelayCase) {
    let objects = |versions: [ObjectVersion; 2]| FeedObjects {
        feed: Feed::Targets,
        whole: true,
        objects: ["a", "b"]
            .into_iter()
            .zip(versions)
            .map(|(name, version)| (name.to_owned(), version.0, Some(ByteBuf::from("{}"))))
            .collect(),
    };
    let before = ObjectVersion::in_era(1, 10);
    let mut snapshot = StoreSnapshot::default();
    snapshot.update(objects([before, before]));
    let relayed = snapshot.update(objects([case.listed, case.listed]));
    assert_eq!(relayed.expect("changes").whole, case.whole);
}
