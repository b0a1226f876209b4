//! Operators' changes against a platform that loses answers and takes writes late.

mod control_fakes;

use std::time::Duration;

use control_fakes::{FakePlatform, WriteFault};
use pistachiowick::config::buckets::{self, BucketIndex, BucketRecord, ConfigState};
use pistachiowick::config::catalogue::{ItemSpec, WorkspaceSpec};
use pistachiowick::config::store::{ChangePatience, ChangeRequest, StoredChange, run_change};
use pistachiowick::control::snapshot::ConfigView;
use pistachiowick::control::{ChangeError, ItemChange};
use pistachiowick::names::{UnixTime, WorkspaceName};
use pistachiowick::ports::{ConditionalWrite, ObjectVersion, StoredObject};
use rstest::rstest;

const PATIENCE: ChangePatience = ChangePatience {
    total: Duration::from_millis(400),
    pause: Duration::from_millis(1),
};

fn change(name: &str, weight: u32, based_on: u64) -> ItemChange {
    let spec = ItemSpec::Workspace(WorkspaceSpec {
        name: WorkspaceName::from(name),
        weight,
        key_hashes: Vec::new(),
    });
    ItemChange {
        item: spec.item_name(),
        spec: Some(spec),
        based_on,
    }
}

async fn run(
    platform: &FakePlatform,
    change: &ItemChange,
    mark: &str,
) -> Result<StoredChange, ChangeError> {
    let request = ChangeRequest {
        change,
        mark,
        view: &ConfigView::default(),
        applied: ObjectVersion(0),
    };
    run_change(&platform.port(), request, PATIENCE).await
}

fn bucket_of(platform: &FakePlatform, change: &ItemChange) -> BucketRecord {
    let object = BucketIndex::of(&change.item).object();
    let (version, value) = platform.data().objects[&object].clone();
    let stored = StoredObject {
        object,
        version,
        value: Some(value),
    };
    BucketRecord::decode(&stored).unwrap()
}

fn weight_of(platform: &FakePlatform, change: &ItemChange) -> u32 {
    match &bucket_of(platform, change).items[&change.item].spec {
        Some(ItemSpec::Workspace(workspace)) => workspace.weight,
        other => panic!("{other:?}"),
    }
}

/// Another workspace of the same bucket.
fn neighbour(of: &ItemChange) -> ItemChange {
    (0..)
        .map(|n| change(&format!("n{n}"), 1, 0))
        .find(|c| BucketIndex::of(&c.item) == BucketIndex::of(&of.item))
        .unwrap()
}

fn race(on: &FakePlatform, change: &ItemChange) -> ConditionalWrite {
    let object = BucketIndex::of(&change.item).object();
    let found = on.data().objects.get(&object).cloned();
    let (expected, bucket) = match found {
        None => (ObjectVersion(0), BucketRecord::default()),
        Some((version, _)) => (version, bucket_of(on, change)),
    };
    let view = ConfigView::default();
    let next = buckets::edit(&bucket, &view, change, "rival", UnixTime(1)).unwrap();
    ConditionalWrite {
        object,
        expected,
        value: next.encode().unwrap(),
    }
}

struct FaultCase {
    faults: &'static [WriteFault],
    stale_reads: u32,
    land_after_read: bool,
}

/// The answer to the write is lost, with or without effect, once or twice, and the read
/// that follows may be stale or come before a delayed write lands. The operator is told
/// "accepted" and the change stands exactly once.
#[rstest]
#[case::no_fault(FaultCase { faults: &[], stale_reads: 0, land_after_read: false })]
#[case::busy(FaultCase { faults: &[WriteFault::Busy], stale_reads: 0, land_after_read: false })]
#[case::answer_lost(FaultCase { faults: &[WriteFault::AnswerLost], stale_reads: 0, land_after_read: false })]
#[case::never_arrives(FaultCase { faults: &[WriteFault::NeverArrives], stale_reads: 0, land_after_read: false })]
#[case::lost_then_stale(FaultCase { faults: &[WriteFault::AnswerLost], stale_reads: 2, land_after_read: false })]
#[case::lands_after_the_read(FaultCase { faults: &[WriteFault::Delayed], stale_reads: 0, land_after_read: true })]
#[case::twice(FaultCase {
    faults: &[WriteFault::Delayed, WriteFault::AnswerLost], stale_reads: 0, land_after_read: false,
})]
#[tokio::test]
async fn a_change_is_taken_once(#[case] case: FaultCase) {
    let platform = FakePlatform::default();
    let first = change("w", 1, 0);
    run(&platform, &first, "first").await.unwrap();
    {
        let mut data = platform.data();
        data.faults.extend(case.faults);
        data.stale_reads = case.stale_reads;
    }
    let second = change("w", 2, 1);
    if case.land_after_read {
        // The first read of the change comes before its write: arm after it.
        let port = platform.clone();
        let arm = tokio::spawn(async move {
            while port.data().delayed.is_empty() {
                tokio::task::yield_now().await;
            }
            port.data().land_after_read = true;
        });
        let done = run(&platform, &second, "second").await.unwrap();
        arm.await.unwrap();
        assert_eq!(done.revision, 2);
    } else {
        let done = run(&platform, &second, "second").await.unwrap();
        assert_eq!(done.revision, 2);
    }
    for late in platform.data().land_delayed() {
        assert!(late.is_err(), "a superseded write landed");
    }
    assert_eq!(weight_of(&platform, &second), 2);
    assert_eq!(bucket_of(&platform, &second).sequence, 2);
}

/// The answer is lost after the effect, and a rival changes another item of the bucket
/// before the read. The mark of the last writer is the rival's; the change must still
/// be found, or it would be reported as a conflict with itself.
#[tokio::test]
async fn finds_its_mark_beneath_a_rivals() {
    let platform = FakePlatform::default();
    let own = change("w", 1, 0);
    platform.data().faults.push_back(WriteFault::AnswerLost);
    let port = platform.clone();
    let watched = own.clone();
    let rival = tokio::spawn(async move {
        while port.data().objects.is_empty() {
            tokio::task::yield_now().await;
        }
        let write = race(&port, &neighbour(&watched));
        port.data().apply(&write).unwrap();
    });
    let done = run(&platform, &own, "own").await.unwrap();
    rival.await.unwrap();
    assert_eq!(done.revision, 1);
    assert_eq!(bucket_of(&platform, &own).sequence, 2);
}

/// The write is lost on the way and a rival changes the same item meanwhile. The lost
/// write can never land any more: the operator hears of the rival's revision.
#[tokio::test]
async fn a_lost_write_overtaken_by_a_rival_is_a_conflict() {
    let platform = FakePlatform::default();
    run(&platform, &change("w", 1, 0), "first").await.unwrap();
    {
        let write = race(&platform, &change("w", 7, 1));
        let mut data = platform.data();
        data.faults
            .extend([WriteFault::Delayed, WriteFault::Delayed]);
        data.before_write.push_back(write);
    }
    let error = run(&platform, &change("w", 2, 1), "second")
        .await
        .unwrap_err();
    let ChangeError::Conflict { current, found } = error else {
        panic!("{error:?}");
    };
    assert_eq!(current, 2);
    assert!(found.contains("\"weight\":7"), "{found}");
    assert!(platform.data().land_delayed().iter().all(Result::is_err));
}

/// A rival changes another item of the bucket between read and write: no conflict for
/// the operator, both changes stand.
#[tokio::test]
async fn a_neighbours_change_is_no_conflict() {
    let platform = FakePlatform::default();
    let own = change("w", 1, 0);
    let write = race(&platform, &neighbour(&own));
    platform.data().before_write.push_back(write);
    let done = run(&platform, &own, "own").await.unwrap();
    assert_eq!(done.revision, 2);
    assert_eq!(bucket_of(&platform, &own).items.len(), 2);
}

/// The platform goes down before, or after, a write was lost. "Nothing was changed" may
/// only be said in the first case: in the second the write may land when it is back.
#[rstest]
#[case::before(false)]
#[case::after_a_lost_write(true)]
#[tokio::test]
async fn tells_unavailable_from_unknown(#[case] loses: bool) {
    let platform = FakePlatform::default();
    if loses {
        platform.data().faults.push_back(WriteFault::Delayed);
        let port = platform.clone();
        tokio::spawn(async move {
            while port.data().delayed.is_empty() {
                tokio::task::yield_now().await;
            }
            port.set_down(true);
        });
    } else {
        platform.set_down(true);
    }
    let error = run(&platform, &change("w", 1, 0), "mark")
        .await
        .unwrap_err();
    match error {
        ChangeError::Unknown { .. } => assert!(loses),
        ChangeError::Unavailable { .. } => assert!(!loses),
        other => panic!("{other:?}"),
    }
    let landed = platform.data().land_delayed();
    assert_eq!(landed.iter().any(Result::is_ok), loses);
}

#[tokio::test]
async fn the_stored_bucket_can_be_applied_at_once() {
    let platform = FakePlatform::default();
    let own = change("w", 3, 0);
    let done = run(&platform, &own, "own").await.unwrap();
    let mut state = ConfigState::default();
    state.apply(&done.stored).unwrap();
    assert_eq!(state.view().items[&own.item].revision, 1);
}
