//! A resubmitted key is answered from its claimant's record, by any daemon.

use std::sync::Arc;
use std::time::Duration;

use pistachiowick::clock;
use pistachiowick::intents::store::{
    AnswerRecord, ClaimResult, DispatchedClaim, IntentClaim, IntentKey, IntentStore, StoreInputs,
    shard_object,
};
use pistachiowick::invariants;
use pistachiowick::names::{DaemonId, ProcessIncarnation, UnixTime};
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick::pb::{Final, Outcome, SubmitRequest};
use pistachiowick::store::http::platform_port;
use pistachiowick_lab::fleet::{FleetPlan, LabFleet, daemon_settings, with_key};
use pistachiowick_lab::platform::PlatformFaults;
use pistachiowick_lab::quickstart::{quickstart_items, workspace_key};
use rstest::rstest;
use sha2::{Digest, Sha256};

const WORKSPACE: &str = "stores";
const CLASS: &str = "issue";
const KEY: &str = "issue-order-7";
const ANSWER: &[u8] = b"bearing set issued";

/// Polls of the fleet before a test gives up waiting for a state.
const MAX_POLLS: usize = 2_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time in which a daemon looks up an open record more than once.
const SEVERAL_LOOKUPS: Duration = Duration::from_millis(500);

/// Age of reads in the test of stale reads; the test ends the fault long before.
const STALE_MS: u64 = 60_000;
/// More shards than the fleet has.
const MAX_SHARDS: u32 = 256;

async fn started(daemons: usize, services: usize) -> LabFleet {
    invariants::make_fatal();
    let plan = FleetPlan {
        daemons,
        engines: 0,
        services,
        items: quickstart_items(),
        ..FleetPlan::default()
    };
    LabFleet::start(plan).await.expect("the fleet starts")
}

async fn until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no {what}");
}

/// Returns the incarnation of a daemon as known by another one, or zero.
fn known_incarnation(fleet: &LabFleet, by: &str, daemon: &str) -> ProcessIncarnation {
    let snapshot = fleet.daemons[by].context().control.snapshot.load();
    let view = snapshot.fleet.daemons.get(&DaemonId::from(daemon));
    view.map(|v| v.incarnation).unwrap_or_default()
}

/// Records a claim in the name of a daemon's process, and its dispatch.
// Returns the sum of the versions of all intent objects, which each write of a record raises.
// The platform's number of writes counts those of other objects as well.
fn intent_versions(fleet: &LabFleet) -> u64 {
    let versions = (0..MAX_SHARDS).map(|shard| {
        let object = shard_object(shard);
        let stored = fleet.platform.peek(&object.kind, &object.name);
        stored.map_or(0, |(version, _)| version)
    });
    versions.sum()
}

async fn claim_as(
    fleet: &LabFleet,
    daemon: &str,
    incarnation: ProcessIncarnation,
    minted_at: UnixTime,
) -> DispatchedClaim {
    let settings = daemon_settings(daemon, "centre-a", &fleet.platform.address());
    let store = IntentStore::new(&StoreInputs {
        settings: &settings.intents,
        platform: platform_port(&settings.platform).expect("an address of the laboratory"),
        daemon: DaemonId::from(daemon),
        incarnation,
        unix_now: Arc::new(clock::unix_now),
    });
    let claim = IntentClaim {
        key: IntentKey {
            workspace: WORKSPACE.into(),
            key: KEY.into(),
            minted_at,
        },
        fingerprint: [7; 16],
        target: "service-00".into(),
        timeout: Duration::from_secs(10),
    };
    match store.claim(claim).await {
        ClaimResult::Granted(permit) => permit.dispatch(),
        other => panic!("the claim is not granted: {other:?}"),
    }
}

fn whole_answer() -> AnswerRecord {
    AnswerRecord {
        length: ANSWER.len() as u64,
        digest: Sha256::digest(ANSWER).into(),
        result: Some(ANSWER.to_vec()),
    }
}

/// Submits the key again and returns the bytes and the final outcome.
async fn resubmit(fleet: &LabFleet, daemon: &str, minted_at: UnixTime) -> (Vec<u8>, Final) {
    let address = format!("http://{}", fleet.daemons[daemon].rpc);
    let mut client = RequestsClient::connect(address).await.expect("it listens");
    let submit = SubmitRequest {
        key: KEY.to_owned(),
        key_minted_at_ms: minted_at.0,
        first_submission: false,
        class: CLASS.to_owned(),
        prompt: b"one bearing set".to_vec(),
        deadline_ms: 5_000,
        ..SubmitRequest::default()
    };
    let reply = client.submit(with_key(submit, &workspace_key(WORKSPACE)));
    let mut events = reply.await.expect("a well-formed request").into_inner();
    let mut data = Vec::new();
    loop {
        let event = events.message().await.expect("the daemon is running");
        let event = event.expect("a final outcome comes before the end");
        match event.event.expect("an event of a known kind") {
            Event::Accepted(_) => {}
            Event::Chunk(chunk) => data.extend_from_slice(&chunk.data),
            Event::Final(last) => return (data, last),
        }
    }
}

fn runs(fleet: &LabFleet) -> usize {
    fleet.services.values().map(|s| s.books().runs.len()).sum()
}

struct GoneCase {
    /// Daemon in whose name the key was claimed.
    claimant: &'static str,
}

/// A resubmitted request whose claimant is gone is answered "unknown" at once.
///
/// The process that claimed and dispatched it recorded no result; it is not in the list,
/// or a later process has its name. The result will never be recorded, so waiting for it
/// would only delay the reply until the deadline.
#[rstest]
#[case::not_in_the_list(GoneCase { claimant: "entry-9" })]
#[case::restarted(GoneCase { claimant: "entry-1" })]
#[case::earlier_incarnation_of_the_same_daemon(GoneCase { claimant: "entry-0" })]
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_claimant_that_is_gone_is_unknown_at_once(#[case] case: GoneCase) {
    let fleet = started(2, 1).await;
    until("known incarnation of the other daemon", || {
        known_incarnation(&fleet, "entry-0", "entry-1").0 > 0
    })
    .await;
    let minted_at = clock::unix_now();
    let claim = claim_as(&fleet, case.claimant, ProcessIncarnation(1), minted_at).await;

    let (data, last) = resubmit(&fleet, "entry-0", minted_at).await;

    assert_eq!(last.outcome(), Outcome::Unknown);
    assert!(last.reason.contains("is gone"), "reason: {}", last.reason);
    assert_eq!((data.len(), runs(&fleet)), (0, 0));
    drop(claim);
    fleet.stop().await;
}

/// A request that is resubmitted while it still runs gets its answer.
///
/// The claimant is live and has dispatched the request, so the daemon that receives it
/// again waits. The claimant then records the answer, which is returned without a second
/// run.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_live_claimant_is_waited_for() {
    let fleet = started(2, 1).await;
    until("known incarnation of the other daemon", || {
        known_incarnation(&fleet, "entry-0", "entry-1").0 > 0
    })
    .await;
    let incarnation = known_incarnation(&fleet, "entry-0", "entry-1");
    let minted_at = clock::unix_now();
    let claim = claim_as(&fleet, "entry-1", incarnation, minted_at).await;

    let mut reply = Box::pin(resubmit(&fleet, "entry-0", minted_at));
    tokio::select! {
        (_, last) = &mut reply => panic!("not waited for: {last:?}"),
        () = tokio::time::sleep(SEVERAL_LOOKUPS) => {}
    }
    claim.answered(whole_answer());
    let (data, last) = reply.await;

    assert_eq!(last.outcome(), Outcome::Answered, "{}", last.reason);
    assert_eq!((data.as_slice(), runs(&fleet)), (ANSWER, 0));
    fleet.stop().await;
}

/// A request that is resubmitted through a daemon that does not know the claimant yet
/// gets its answer.
///
/// The claimant registered after that daemon last read the list, and has dispatched the
/// request. It records the answer while that daemon polls the record.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_claimant_that_is_not_listed_yet_is_waited_for() {
    let fleet = started(1, 1).await;
    let minted_at = clock::unix_now();
    let claim = claim_as(&fleet, "entry-9", ProcessIncarnation(1), minted_at).await;

    let mut reply = Box::pin(resubmit(&fleet, "entry-0", minted_at));
    tokio::select! {
        (_, last) = &mut reply => panic!("not waited for: {last:?}"),
        () = tokio::time::sleep(SEVERAL_LOOKUPS) => {}
    }
    claim.answered(whole_answer());
    let (data, last) = reply.await;

    assert_eq!(last.outcome(), Outcome::Answered, "{}", last.reason);
    assert_eq!((data.as_slice(), runs(&fleet)), (ANSWER, 0));
    fleet.stop().await;
}

struct RefusedCase {
    /// Whether the claimant has recorded an answer.
    answered: bool,
    outcome: Outcome,
}

/// A request that is resubmitted through a daemon without a target for it gets the
/// recorded answer, if there is one.
///
/// The daemon's first read is stale and shows no record, so it looks for a target and
/// finds none. Closing the key then conflicts with the claim, whose record decides.
#[rstest]
#[case::answered(RefusedCase { answered: true, outcome: Outcome::Answered })]
#[case::open(RefusedCase { answered: false, outcome: Outcome::Unknown })]
#[tokio::test(flavor = "multi_thread")]
async fn refused_key_is_answered_from_its_record(#[case] case: RefusedCase) {
    let fleet = started(1, 0).await;
    fleet.platform.set_faults(PlatformFaults {
        stale_ms: STALE_MS,
        ..PlatformFaults::default()
    });
    let minted_at = clock::unix_now();
    let claim = claim_as(&fleet, "entry-9", ProcessIncarnation(1), minted_at).await;
    let mut open = Some(claim);
    if case.answered {
        let before = intent_versions(&fleet);
        open.take()
            .expect("just put there")
            .answered(whole_answer());
        until("write of the answer", || intent_versions(&fleet) > before).await;
    }
    let conflicts = fleet.platform.books().conflicts;

    let reply = resubmit(&fleet, "entry-0", minted_at);
    let freshened = async {
        until("conflict between the close and the claim", || {
            fleet.platform.books().conflicts > conflicts
        })
        .await;
        fleet.platform.set_faults(PlatformFaults::default());
    };
    let ((data, last), ()) = tokio::join!(reply, freshened);

    assert_eq!(last.outcome(), case.outcome, "{}", last.reason);
    let expected = if case.answered { ANSWER } else { b"" };
    assert_eq!((data.as_slice(), runs(&fleet)), (expected, 0));
    drop(open);
    fleet.stop().await;
}
