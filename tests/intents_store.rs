//! Failures of the platform and of daemons while a run-once request is claimed and closed.

mod intents_support;

use std::time::Duration;

use intents_support::{
    FakeClock, FakePlatform, ReadFault, WriteFault, claim, grant, key, settings, store, store_with,
};
use pistachiowick::intents::store::{
    AnswerRecord, ClaimResult, LookupError, RecordView, UndeliveredProof, shard_object,
};
use pistachiowick::names::UnixTime;
use pistachiowick::ports::TargetError;
use rstest::rstest;

fn answer() -> AnswerRecord {
    AnswerRecord {
        length: 7,
        digest: [9; 32],
        result: Some(b"receipt".to_vec()),
    }
}

fn undelivered() -> UndeliveredProof {
    UndeliveredProof::from_error(&TargetError::NotDelivered {
        reason: "connection refused".to_owned(),
    })
    .unwrap()
}

fn assert_present(result: &ClaimResult, check: impl Fn(&RecordView) -> bool) {
    match result {
        ClaimResult::Present(view) if check(view) => {}
        other => panic!("unexpected {other:?}"),
    }
}

fn assert_given_up(result: &ClaimResult) {
    assert!(matches!(result, ClaimResult::GivenUp { .. }), "{result:?}");
}

/// Waits longer than any retry interval of the store.
async fn wait_for_retries() {
    tokio::time::sleep(Duration::from_secs(30)).await;
}

struct LostCase {
    write_faults: &'static [WriteFault],
    read_faults: &'static [ReadFault],
    max_writes: usize,
}

// While a claim is recorded, the platform accepts the write but its response is lost, or the
// write is lost, or a read returns an old state. The store reads the shard to find its own
// claim and writes again if needed; the claim is granted once, and a second claim finds it.
#[rstest]
#[case::nothing(LostCase { write_faults: &[], read_faults: &[], max_writes: 1 })]
#[case::lost_after(LostCase { write_faults: &[WriteFault::LostAfter], read_faults: &[], max_writes: 1 })]
#[case::lost_before(LostCase { write_faults: &[WriteFault::LostBefore], read_faults: &[], max_writes: 2 })]
#[case::lost_twice(LostCase {
    write_faults: &[WriteFault::LostBefore, WriteFault::LostAfter],
    read_faults: &[],
    max_writes: 2,
})]
#[case::delayed(LostCase { write_faults: &[WriteFault::Delayed], read_faults: &[], max_writes: 2 })]
#[case::read_lost(LostCase {
    write_faults: &[WriteFault::LostAfter],
    read_faults: &[ReadFault::None, ReadFault::Lost],
    max_writes: 1,
})]
#[case::read_stale(LostCase {
    write_faults: &[WriteFault::LostAfter],
    read_faults: &[ReadFault::None, ReadFault::Stale],
    max_writes: 2,
})]
#[tokio::test(start_paused = true)]
async fn lost_answer_grants_once(#[case] case: LostCase) {
    let platform = FakePlatform::default();
    let first = store(&platform, "daemon-a");
    platform.fail_writes(case.write_faults);
    platform.fail_reads(case.read_faults);
    let permit = grant(&first, "receipt").await;
    assert!(platform.writes() <= case.max_writes);
    assert_eq!(
        platform.apply_delayed(),
        0,
        "a delayed write took effect after the grant"
    );
    let second = store(&platform, "daemon-b");
    let again = second.claim(claim("receipt")).await;
    assert_present(&again, |v| matches!(v, RecordView::Intended { .. }));
    permit.dispatch().answered(answer());
    wait_for_retries().await;
    let again = second.claim(claim("receipt")).await;
    assert_present(&again, |v| {
        matches!(v, RecordView::Answered { length: 7, .. })
    });
}

// Two daemons receive the same request at once, forty times in a row. Both write; one
// update conflicts, and that daemon reads the other's claim and dispatches nothing.
#[tokio::test(start_paused = true)]
async fn two_daemons_at_once_grant_once() {
    let platform = FakePlatform::default();
    let stores = [store(&platform, "daemon-a"), store(&platform, "daemon-b")];
    for round in 0..40 {
        let name = format!("issue-{round}");
        let (one, two) = tokio::join!(stores[0].claim(claim(&name)), stores[1].claim(claim(&name)));
        let granted = [&one, &two]
            .iter()
            .filter(|r| matches!(r, ClaimResult::Granted(_)))
            .count();
        assert_eq!(granted, 1, "{one:?} {two:?}");
    }
}

// The write of a claim is delayed in the network beyond the caller's timeout, and the caller
// gets "given up". When the write takes effect afterwards, the store closes its own entry
// as not run: a second claim gets "not run", and the request is never dispatched.
#[tokio::test(start_paused = true)]
async fn abandoned_claim_is_closed_when_it_arrives() {
    let platform = FakePlatform::default();
    let first = store(&platform, "daemon-a");
    grant(&first, "warm-up").await.release();
    wait_for_retries().await;
    platform.fail_writes(&[WriteFault::Slow(Duration::from_secs(5))]);
    assert_given_up(&first.claim(claim("receipt")).await);
    wait_for_retries().await;
    let again = store(&platform, "daemon-b").claim(claim("receipt")).await;
    assert_present(&again, |v| *v == RecordView::NotRun);
}

// The response to a claim's write is lost and the platform goes down, so the claim is given
// up. When the platform is back, a read shows no entry, but the write is still in flight.
// The store writes the shard again before it drops the claim, so that the late write is
// refused: the key is unused, and only the next claimant runs the request.
#[tokio::test(start_paused = true)]
async fn late_write_of_abandoned_claim_is_refused() {
    let platform = FakePlatform::default();
    let first = store(&platform, "daemon-a");
    grant(&first, "warm-up").await.release();
    wait_for_retries().await;
    platform.fail_writes(&[WriteFault::Delayed]);
    platform.fail_reads(&[ReadFault::Unavailable]);
    assert_given_up(&first.claim(claim("receipt")).await);
    wait_for_retries().await;
    assert_eq!(platform.apply_delayed(), 0);
    let view = first.lookup(&key("receipt"), false).await;
    assert_eq!(view, Ok(RecordView::Absent));
    grant(&store(&platform, "daemon-b"), "receipt")
        .await
        .release();
}

// A daemon is paused between its decision and its write. Meanwhile another daemon settles
// the key for the caller and answers "not run". When the paused daemon resumes, its
// conditional update conflicts, and it finds the key closed.
#[tokio::test(start_paused = true)]
async fn settled_key_stops_paused_claimant() {
    let platform = FakePlatform::default();
    let paused = store(&platform, "daemon-a");
    grant(&paused, "warm-up").await.release();
    wait_for_retries().await;
    platform.fail_writes(&[WriteFault::Slow(Duration::from_secs(1))]);
    let late = tokio::spawn({
        let paused = paused.clone();
        async move { paused.claim(claim("receipt")).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let other = store(&platform, "daemon-b");
    let view = other.lookup(&key("receipt"), true).await;
    assert_eq!(view, Ok(RecordView::NotRun));
    assert_present(&late.await.unwrap(), |v| *v == RecordView::NotRun);
}

// While the platform is down, a claim is refused at once, long before its timeout, with the
// time to retry after. Once the platform is back, claims work again.
#[tokio::test(start_paused = true)]
async fn platform_down_gives_up_at_once() {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    platform.set_down(true);
    let started = tokio::time::Instant::now();
    for _ in 0..50 {
        match store.claim(claim("receipt")).await {
            ClaimResult::GivenUp { retry_after, .. } => assert!(retry_after > Duration::ZERO),
            other => panic!("{other:?}"),
        }
    }
    assert!(started.elapsed() < Duration::from_millis(100));
    assert_eq!(
        platform.reads(),
        1,
        "a platform that is down was called again at once"
    );
    platform.set_down(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(grant(&store, "receipt").await);
}

// A permit goes unused: it is dropped because the caller's task was cancelled before the
// dispatch, it is released, or the target was not reached. In each case the key is closed
// as not run.
#[rstest]
#[case::dropped(0)]
#[case::released(1)]
#[case::undelivered(2)]
#[case::withdrawn(3)]
#[tokio::test(start_paused = true)]
async fn unused_permit_is_recorded_as_not_run(#[case] way: u32) {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    let permit = grant(&store, "receipt").await;
    match way {
        0 => drop(permit),
        1 => permit.release(),
        2 => permit.dispatch().not_run(undelivered()),
        _ => drop(permit.dispatch().withdraw(undelivered())),
    }
    assert!(store.drain(Duration::from_secs(5)).await);
    let view = store.lookup(&key("receipt"), false).await;
    assert_eq!(view, Ok(RecordView::NotRun));
}

// The caller disconnects while the claim's write is in flight, so the permit is never used.
// The record must not stay intended, or a later lookup would return "unknown".
#[tokio::test(start_paused = true)]
async fn cancelled_claim_is_recorded_as_not_run() {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    platform.fail_writes(&[WriteFault::Slow(Duration::from_millis(500))]);
    let cut = tokio::time::timeout(Duration::from_millis(100), store.claim(claim("receipt"))).await;
    assert!(cut.is_err());
    wait_for_retries().await;
    let view = store.lookup(&key("receipt"), false).await;
    assert_eq!(view, Ok(RecordView::NotRun));
}

// The task of a dispatched call ends early, or the call's outcome is lost. The record must
// say "unknown", never "not run"; an answer that arrives later replaces it.
#[tokio::test(start_paused = true)]
async fn lost_end_is_unknown_until_answered() {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    drop(grant(&store, "dropped").await.dispatch());
    let late = grant(&store, "late").await.dispatch().unknown();
    assert!(store.drain(Duration::from_secs(5)).await);
    for name in ["dropped", "late"] {
        let view = store.lookup(&key(name), true).await;
        assert_eq!(view, Ok(RecordView::Unknown), "{name}");
    }
    late.answered(answer());
    assert!(store.drain(Duration::from_secs(5)).await);
    let view = store.lookup(&key("late"), false).await;
    assert!(matches!(view, Ok(RecordView::Answered { .. })), "{view:?}");
}

// An answer arrives while the platform is down for a minute. Its record is kept pending and
// written once the platform is back.
#[tokio::test(start_paused = true)]
async fn close_outlasts_an_outage() {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    let permit = grant(&store, "receipt").await;
    platform.set_down(true);
    permit.dispatch().answered(answer());
    assert!(!store.drain(Duration::from_secs(60)).await);
    platform.set_down(false);
    assert!(store.drain(Duration::from_secs(5)).await);
    let view = store.lookup(&key("receipt"), false).await;
    assert!(matches!(view, Ok(RecordView::Answered { .. })), "{view:?}");
}

struct KeyCase {
    minted_at: u64,
    fingerprint: u8,
    remedy: &'static str,
}

// A recorded key is sent again with another creation time or another body. Each is refused
// with an error that names the cause.
#[rstest]
#[case::reused(KeyCase { minted_at: 1, fingerprint: 7, remedy: "another key_minted_at_ms" })]
#[case::content(KeyCase { minted_at: 0, fingerprint: 8, remedy: "another class or body" })]
#[tokio::test(start_paused = true)]
async fn mismatched_key_is_invalid(#[case] case: KeyCase) {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    let _permit = grant(&store, "receipt").await;
    let mut again = claim("receipt");
    again.key.minted_at = UnixTime(again.key.minted_at.0 + case.minted_at);
    again.fingerprint = [case.fingerprint; 16];
    match store.claim(again).await {
        ClaimResult::Invalid { reason } => assert!(reason.contains(case.remedy), "{reason}"),
        other => panic!("{other:?}"),
    }
}

struct AgeCase {
    age_ms: i64,
    accepted: bool,
}

// A key is refused when its record may have expired, or when its creation time lies further in
// the future than clocks may differ.
#[rstest]
#[case::now(AgeCase { age_ms: 0, accepted: true })]
#[case::just_young(AgeCase { age_ms: 598_000, accepted: true })]
#[case::too_old(AgeCase { age_ms: 598_001, accepted: false })]
#[case::ancient(AgeCase { age_ms: 100_000_000, accepted: false })]
#[case::ahead_by_skew(AgeCase { age_ms: -2_000, accepted: true })]
#[case::future(AgeCase { age_ms: -2_001, accepted: false })]
#[tokio::test(start_paused = true)]
async fn age_of_key_decides(#[case] case: AgeCase) {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    let mut request = claim("receipt");
    let minted = i64::try_from(request.key.minted_at.0).unwrap() - case.age_ms;
    request.key.minted_at = UnixTime(u64::try_from(minted).unwrap());
    let found = store.lookup(&request.key, false).await;
    assert_eq!(found.is_ok(), case.accepted, "{found:?}");
    match store.claim(request).await {
        ClaimResult::Granted(_) if case.accepted => {}
        ClaimResult::Invalid { .. } if !case.accepted => {}
        other => panic!("{other:?}"),
    }
}

// A request ran and its record has expired. A daemon whose clock is an hour behind receives
// the request again, and by its clock the key is new. The shard's horizon must refuse it.
#[tokio::test(start_paused = true)]
async fn expired_key_is_refused_by_a_clock_behind() {
    let platform = FakePlatform::default();
    let clock = FakeClock::new();
    let ahead = store_with(&platform, &clock, "daemon-a", &settings());
    grant(&ahead, "receipt").await.dispatch().answered(answer());
    assert!(ahead.drain(Duration::from_secs(5)).await);
    clock.advance(Duration::from_secs(3_600));
    let mut fresh = claim("next");
    fresh.key.minted_at = clock.now();
    assert!(matches!(
        ahead.claim(fresh.clone()).await,
        ClaimResult::Granted(_)
    ));
    fresh.key.key = "another".into();
    assert!(matches!(ahead.claim(fresh).await, ClaimResult::Granted(_)));
    let behind = store(&platform, "daemon-b");
    let again = behind.claim(claim("receipt")).await;
    assert!(matches!(again, ClaimResult::Invalid { .. }), "{again:?}");
    let view = behind.lookup(&key("receipt"), true).await;
    assert!(matches!(view, Err(LookupError::Invalid { .. })), "{view:?}");
}

// A workspace fills the shard. New claims are refused with a time to retry after, an unused
// key can still be settled, and the value stays within the size limit plus its reserve.
#[tokio::test(start_paused = true)]
async fn full_shard_refuses_claims_and_settles() {
    let platform = FakePlatform::default();
    let mut small = settings();
    small.shard_bytes = 8_000;
    let store = store_with(&platform, &FakeClock::new(), "daemon-a", &small);
    let mut granted = Vec::new();
    let refused = loop {
        match store
            .claim(claim(&format!("order-{}", granted.len())))
            .await
        {
            ClaimResult::Granted(permit) => granted.push(permit),
            other => break other,
        }
    };
    assert_given_up(&refused);
    assert!(granted.len() > 40, "only {} fit", granted.len());
    let view = store.lookup(&key("unused"), true).await;
    assert_eq!(view, Ok(RecordView::NotRun));
    for permit in granted {
        permit.dispatch().answered(answer());
    }
    assert!(store.drain(Duration::from_secs(5)).await);
    assert!(platform.largest_value() <= 8_500);
}

// An operator overwrites a shard with other data, or deletes it. Its records are lost, so
// claims must be refused, or requests could run again.
#[rstest]
#[case::overwritten(false)]
#[case::deleted(true)]
#[tokio::test(start_paused = true)]
async fn damaged_shard_refuses_claims(#[case] deleted: bool) {
    let platform = FakePlatform::default();
    grant(&store(&platform, "daemon-a"), "receipt")
        .await
        .release();
    wait_for_retries().await;
    if deleted {
        platform.delete(&shard_object(0));
    } else {
        platform.overwrite(&shard_object(0), b"not a ledger".to_vec());
    }
    let fresh = store(&platform, "daemon-b");
    match fresh.claim(claim("receipt")).await {
        ClaimResult::GivenUp { reason, .. } => assert!(reason.contains("restore"), "{reason}"),
        other => panic!("{other:?}"),
    }
}

// A thousand claims arrive at one daemon within a second. They share writes: there is at
// most one write per commit interval, and no claim waits much longer than one interval.
#[tokio::test(start_paused = true)]
async fn group_commit_bounds_writes() {
    let platform = FakePlatform::default();
    let store = store(&platform, "daemon-a");
    let mut tasks = Vec::new();
    for number in 0..1_000 {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let store = store.clone();
        tasks.push(tokio::spawn(async move {
            let started = tokio::time::Instant::now();
            let permit = grant(&store, &format!("order-{number}")).await;
            std::mem::forget(permit);
            started.elapsed()
        }));
    }
    for task in tasks {
        let waited = task.await.unwrap();
        assert!(
            waited < Duration::from_millis(60),
            "a claim waited {waited:?}"
        );
    }
    assert!(platform.writes() <= 23, "{} writes", platform.writes());
}
