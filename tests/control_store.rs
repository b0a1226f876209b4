//! Operators' changes on a platform that loses answers and applies writes late.

mod control_fakes;

use std::time::Duration;

use control_fakes::{FakePlatform, WriteFault};
use pistachiowick::config::buckets::{self, BucketIndex, BucketRecord, ConfigState};
use pistachiowick::config::catalogue::{ItemSpec, WorkspaceSpec};
use pistachiowick::config::store::{ChangeRequest, ChangeRetryPolicy, StoredChange, run_change};
use pistachiowick::control::snapshot::ConfigView;
use pistachiowick::control::{ChangeError, ItemChange};
use pistachiowick::names::{UnixTime, WorkspaceName};
use pistachiowick::ports::{ConditionalWrite, ObjectVersion, StoredObject};
use rstest::rstest;

const RETRY_POLICY: ChangeRetryPolicy = ChangeRetryPolicy {
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
    run_change(&platform.port(), request, RETRY_POLICY).await
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

/// Returns a change of another workspace in the same bucket.
fn other_item_of_bucket(of: &ItemChange) -> ItemChange {
    (0..)
        .map(|n| change(&format!("n{n}"), 1, 0))
        .find(|c| BucketIndex::of(&c.item) == BucketIndex::of(&of.item))
        .unwrap()
}

fn concurrent_write(on: &FakePlatform, change: &ItemChange) -> ConditionalWrite {
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

/// The answer to the write is lost once or twice, with or without effect, and the read that
/// follows may be stale or precede a delayed write. The change must be reported as accepted
/// and be stored exactly once.
#[rstest]
#[case::no_fault(FaultCase { faults: &[], stale_reads: 0, land_after_read: false })]
#[case::busy(FaultCase { faults: &[WriteFault::Busy], stale_reads: 0, land_after_read: false })]
#[case::answer_lost(FaultCase { faults: &[WriteFault::AnswerLost], stale_reads: 0, land_after_read: false })]
#[case::never_arrives(FaultCase { faults: &[WriteFault::NeverArrives], stale_reads: 0, land_after_read: false })]
#[case::lost_then_stale(FaultCase { faults: &[WriteFault::AnswerLost], stale_reads: 2, land_after_read: false })]
#[case::applied_after_the_read(FaultCase { faults: &[WriteFault::Delayed], stale_reads: 0, land_after_read: true })]
#[case::twice(FaultCase {
    faults: &[WriteFault::Delayed, WriteFault::AnswerLost], stale_reads: 0, land_after_read: false,
})]
#[tokio::test]
async fn a_change_is_stored_once(#[case] case: FaultCase) {
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
        // The first read of the change precedes its write, so this waits for the write.
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
        assert!(late.is_err(), "a superseded write took effect");
    }
    assert_eq!(weight_of(&platform, &second), 2);
    assert_eq!(bucket_of(&platform, &second).sequence, 2);
}

/// The write takes effect but its answer is lost, and a concurrent writer changes another
/// item of the bucket before the read. The latest mark is then the other writer's; the
/// change must still be found, or it would be reported as a conflict with itself.
#[tokio::test]
async fn finds_its_mark_below_another_writers() {
    let platform = FakePlatform::default();
    let local_change = change("w", 1, 0);
    platform.data().faults.push_back(WriteFault::AnswerLost);
    let port = platform.clone();
    let watched = local_change.clone();
    let other_writer = tokio::spawn(async move {
        while port.data().objects.is_empty() {
            tokio::task::yield_now().await;
        }
        let write = concurrent_write(&port, &other_item_of_bucket(&watched));
        port.data().apply(&write).unwrap();
    });
    let done = run(&platform, &local_change, "own").await.unwrap();
    other_writer.await.unwrap();
    assert_eq!(done.revision, 1);
    assert_eq!(bucket_of(&platform, &local_change).sequence, 2);
}

/// The write is lost in transit and a concurrent writer changes the same item. The lost
/// write can no longer take effect: the operator must get a conflict with the other
/// writer's revision.
#[tokio::test]
async fn a_lost_write_overtaken_by_another_writer_is_a_conflict() {
    let platform = FakePlatform::default();
    run(&platform, &change("w", 1, 0), "first").await.unwrap();
    {
        let write = concurrent_write(&platform, &change("w", 7, 1));
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

/// A concurrent writer changes another item of the bucket between read and write. Both
/// changes must be stored, and the operator must get no conflict.
#[tokio::test]
async fn a_change_of_another_item_is_no_conflict() {
    let platform = FakePlatform::default();
    let local_change = change("w", 1, 0);
    let write = concurrent_write(&platform, &other_item_of_bucket(&local_change));
    platform.data().before_write.push_back(write);
    let done = run(&platform, &local_change, "own").await.unwrap();
    assert_eq!(done.revision, 2);
    assert_eq!(bucket_of(&platform, &local_change).items.len(), 2);
}

/// The platform becomes unavailable before or after a write is lost. Only in the first case
/// may "nothing was changed" be reported: in the second the write may take effect later.
#[rstest]
#[case::before(false)]
#[case::after_a_lost_write(true)]
#[tokio::test]
async fn distinguishes_unavailable_from_unknown(#[case] loses: bool) {
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
    let local_change = change("w", 3, 0);
    let done = run(&platform, &local_change, "own").await.unwrap();
    let mut state = ConfigState::default();
    state.apply(&done.stored).unwrap();
    assert_eq!(state.view().items[&local_change.item].revision, 1);
}
