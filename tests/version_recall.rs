//! Which versions a daemon that starts recalls from the store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use pistachiowick::gateway::software::recall::{RecalledVersions, recall};
use pistachiowick::gateway::software::version_record::VersionRecord;
use pistachiowick::names::{ServiceName, SoftwareVersion};
use pistachiowick::ports::{
    ObjectBatch, ObjectName, ObjectVersion, PlatformError, PlatformPort, StoredObject,
};
use rstest::rstest;

const KIND: &str = "targets";

fn record(era: u64, revision: u64) -> VersionRecord {
    let versions = [("v1", 12), ("v2", 0)].map(|(version, age)| {
        let age = Duration::from_secs(age);
        (SoftwareVersion::from(version), age)
    });
    VersionRecord {
        through: ObjectVersion::in_era(era, revision),
        covered: Duration::from_secs(30),
        served: [(ServiceName::from("engines"), versions.into())].into(),
    }
}

fn change(name: &str, revision: u64, value: Option<&str>) -> StoredObject {
    StoredObject {
        object: ObjectName {
            kind: KIND.to_owned(),
            name: name.to_owned(),
        },
        version: ObjectVersion(revision),
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

fn refused() -> PlatformError {
    PlatformError::Refused {
        reason: "the history is gone".to_owned(),
    }
}

fn lost() -> PlatformError {
    PlatformError::Lost {
        reason: "no answer".to_owned(),
    }
}

type Watched = Result<(u64, Vec<StoredObject>), PlatformError>;

// A store with a value of the record that answers watches in turn; returns it with the revisions
// that it was watched from.
fn store(value: Option<Vec<u8>>, watches: Vec<Watched>) -> (PlatformPort, Arc<Mutex<Vec<u64>>>) {
    let since: Arc<Mutex<Vec<u64>>> = Arc::default();
    let (asked, left) = (since.clone(), Arc::new(Mutex::new(watches.into_iter())));
    let port = PlatformPort {
        read: Arc::new(move |object| {
            assert_eq!(object, VersionRecord::object());
            let stored = value.clone().map(|value| StoredObject {
                object,
                version: ObjectVersion(90),
                value: Some(value),
            });
            Box::pin(async move { Ok(stored) })
        }),
        watch: Arc::new(move |query| {
            assert_eq!(query.kind, KIND);
            asked.lock().expect("a lock").push(query.since);
            let answer = left.lock().expect("a lock").next().expect("an answer");
            let batch = answer.map(|(revision, objects)| ObjectBatch { revision, objects });
            Box::pin(async move { batch })
        }),
        write: Arc::new(|_| panic!("nothing is written")),
        list: Arc::new(|_| panic!("nothing is listed")),
        instances: Arc::new(|()| panic!("instances are not read")),
    };
    (port, since)
}

struct RecallCase {
    value: fn() -> Option<Vec<u8>>,
    watches: fn() -> Vec<Watched>,
    since: &'static [u64],
    // Names of the changed entries, if versions are recalled.
    recalled: Result<Option<&'static [&'static str]>, fn() -> PlatformError>,
}

fn encoded() -> Option<Vec<u8>> {
    Some(record(0, 7).encode())
}

// Guards against a version that came and went after the record and is not recalled.
#[rstest]
#[case::no_record(RecallCase { value: || None, watches: Vec::new, since: &[], recalled: Ok(None) })]
#[case::no_change(RecallCase { value: encoded, watches: || vec![Ok((9, vec![]))], since: &[7], recalled: Ok(Some(&[])) })]
#[case::came_and_went(RecallCase { value: encoded, watches: || vec![Ok((9, vec![change("a", 8, Some("v3")), change("a", 9, None)])), Ok((9, vec![]))], since: &[7, 9], recalled: Ok(Some(&["a", "a"])) })]
#[case::in_several_answers(RecallCase { value: encoded, watches: || vec![Ok((8, vec![change("a", 8, Some("v3"))])), Ok((9, vec![change("b", 9, None)])), Ok((12, vec![]))], since: &[7, 8, 9], recalled: Ok(Some(&["a", "b"])) })]
#[case::history_gone(RecallCase { value: encoded, watches: || vec![Err(refused())], since: &[7], recalled: Err(refused) })]
#[case::history_gone_meanwhile(RecallCase { value: encoded, watches: || vec![Ok((8, vec![change("a", 8, None)])), Err(refused())], since: &[7, 8], recalled: Err(refused) })]
#[case::answer_lost(RecallCase { value: encoded, watches: || vec![Err(lost())], since: &[7], recalled: Err(lost) })]
#[tokio::test]
async fn versions_are_recalled_without_a_gap(#[case] case: RecallCase) {
    let (port, since) = store((case.value)(), (case.watches)());
    let recalled = recall(&port, KIND).await;
    assert_eq!(*since.lock().expect("a lock"), case.since);
    let names = |recalled: RecalledVersions| {
        assert_eq!(recalled.record, record(0, 7));
        let changes = recalled.changes.into_iter();
        changes
            .map(|change| change.object.name)
            .collect::<Vec<String>>()
    };
    let expected = case.recalled.map(|names| names.map(<[&str]>::to_vec));
    let expected = expected.map_err(|error| error());
    let found = recalled.map(|recalled| recalled.map(names));
    match (found, expected) {
        (Ok(found), Ok(expected)) => assert_eq!(
            found,
            expected.map(|names| names.into_iter().map(str::to_owned).collect())
        ),
        (found, expected) => assert_eq!(found.err(), expected.err()),
    }
}

// Guards against a record of another writer that ends the daemon or passes for one.
#[rstest]
#[case::no_json("{")]
#[case::no_revision(r#"{"era":0,"covered_ms":30000,"served":{}}"#)]
#[case::no_versions(r#"{"era":0,"revision":7,"covered_ms":30000}"#)]
#[case::age_by_name(
    r#"{"era":0,"revision":7,"covered_ms":30000,"served":{"engines":{"v1":"now"}}}"#
)]
#[tokio::test]
async fn an_invalid_record_tells_nothing(#[case] value: &'static str) {
    let (port, since) = store(Some(value.as_bytes().to_vec()), Vec::new());
    let recalled = recall(&port, KIND).await;
    let is_refused =
        matches!(&recalled, Err(PlatformError::Refused { reason }) if reason.contains("delete it"));
    assert!(is_refused, "{recalled:?}");
    assert!(since.lock().expect("a lock").is_empty());
}

// Guards against a position that is read as another one, after many restores of the store.
#[rstest]
#[case::first_era(0, 7)]
#[case::later_era(40_000, 281_474_976_710_655)]
fn a_record_is_read_as_it_was_written(#[case] era: u64, #[case] revision: u64) {
    let written = record(era, revision);
    let value = written.encode();
    assert_eq!(VersionRecord::decode(&value).expect("a record"), written);
    let value: serde_json::Value = serde_json::from_slice(&value).expect("JSON");
    assert_eq!(value["era"], era);
    assert_eq!(value["revision"], revision);
}
