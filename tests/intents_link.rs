//! Forwarding of claims to the owner of a shard, and failures of the owner.

mod intents_support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use intents_support::{
    FakeClock, FakePlatform, WriteFault, claim, grant, inputs, key, settings, store,
};
use pistachiowick::intents::link::{
    IntentLink, LinkError, LinkOutcome, LinkReply, LinkRequest, ShardOwner, shard_owner,
};
use pistachiowick::intents::store::{AnswerRecord, ClaimResult, IntentStore, RecordView};
use pistachiowick::intents::writer::ShardOp;
use pistachiowick::intents::{ClaimEntry, ClaimId, CloseRecord};
use pistachiowick::names::DaemonId;
use pistachiowick::ports::ObjectVersion;
use rstest::rstest;

/// Fault of the messages between daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkFault {
    None,
    /// The owner refuses connections.
    Refused,
    /// The message arrives, but the reply is lost.
    LostReply,
    /// The message arrives long after the sender has given up.
    Late,
}

/// The daemons of a test by name, and the network between them.
#[derive(Clone, Default)]
struct LinkNet {
    stores: Arc<Mutex<IndexMap<DaemonId, IntentStore>>>,
    fault: Arc<Mutex<Option<LinkFault>>>,
    messages: Arc<AtomicU32>,
}

impl LinkNet {
    fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap() = Some(fault);
    }

    fn link(&self, owner: &'static str) -> IntentLink {
        let net = self.clone();
        IntentLink {
            owner: owned_by(owner),
            call: Arc::new(move |(daemon, message)| {
                let net = net.clone();
                Box::pin(async move { net.call(&daemon, message).await })
            }),
        }
    }

    async fn call(&self, daemon: &DaemonId, message: Vec<u8>) -> Result<Vec<u8>, LinkError> {
        self.messages.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault.lock().unwrap().unwrap_or(LinkFault::None);
        let owner = self.stores.lock().unwrap()[daemon].clone();
        match fault {
            LinkFault::None => owner.serve(&message).await,
            LinkFault::Refused => Err(LinkError::NoReply {
                reason: "connection refused".to_owned(),
            }),
            LinkFault::LostReply => {
                let _ = owner.serve(&message).await;
                std::future::pending().await
            }
            LinkFault::Late => {
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(10)).await;
                    let _ = owner.serve(&message).await;
                });
                std::future::pending().await
            }
        }
    }

    fn join(&self, platform: &FakePlatform, name: &str, owner: &'static str) -> IntentStore {
        let settings = settings();
        let inputs = inputs(platform, &FakeClock::new(), name, &settings);
        let store = if name == owner {
            IntentStore::new(&inputs)
        } else {
            IntentStore::with_link(&inputs, &self.link(owner))
        };
        self.stores
            .lock()
            .unwrap()
            .insert(name.into(), store.clone());
        store
    }
}

fn owned_by(owner: &'static str) -> ShardOwner {
    Arc::new(move |_| Some(owner.into()))
}

fn answer() -> AnswerRecord {
    AnswerRecord {
        length: 7,
        digest: [9; 32],
        result: None,
    }
}

async fn read_directly(platform: &FakePlatform, name: &str) -> RecordView {
    let reader = store(platform, "reader");
    reader.lookup(&key(name), false).await.unwrap()
}

// The owner is gone, its reply is lost, or the message reaches it after the sender has given
// up. The sender then writes the shard itself: the claim is granted once, its answer is
// recorded, and a later write of the owner changes nothing.
#[rstest]
#[case::healthy(LinkFault::None)]
#[case::refused(LinkFault::Refused)]
#[case::lost_reply(LinkFault::LostReply)]
#[case::late(LinkFault::Late)]
#[tokio::test(start_paused = true)]
async fn claim_is_granted_whatever_its_owner_does(#[case] fault: LinkFault) {
    let platform = FakePlatform::default();
    let net = LinkNet::default();
    net.join(&platform, "owner", "owner");
    let sender = net.join(&platform, "sender", "owner");
    net.set_fault(fault);
    let permit = grant(&sender, "receipt").await;
    let again = sender.claim(claim("receipt")).await;
    assert!(
        matches!(again, ClaimResult::Present(RecordView::Intended { .. })),
        "{again:?}"
    );
    permit.dispatch().answered(answer());
    assert!(sender.drain(Duration::from_secs(5)).await);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let view = read_directly(&platform, "receipt").await;
    assert!(matches!(view, RecordView::Answered { .. }), "{view:?}");
}

// The message with a claim is delayed while the sender cannot reach the platform, so the
// sender gives up and reports that to its caller. The owner still writes the claim later.
// The sender must have closed the key by then, or the record would say that the request may
// have run.
#[tokio::test(start_paused = true)]
async fn abandoned_claim_is_closed_before_its_owner_writes_it() {
    let platform = FakePlatform::default();
    let net = LinkNet::default();
    net.join(&platform, "owner", "owner");
    let sender = net.join(&platform, "sender", "owner");
    net.set_fault(LinkFault::Late);
    platform.set_down(true);
    let result = sender.claim(claim("receipt")).await;
    assert!(matches!(result, ClaimResult::GivenUp { .. }), "{result:?}");
    platform.set_down(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let view = read_directly(&platform, "receipt").await;
    assert_eq!(view, RecordView::NotRun);
}

// The platform goes down before the owner could write. The owner replies that the claim has
// no effect, and the sender, which cannot reach the platform either, leaves the key unused:
// the caller retries with the same key after the outage and its request runs.
#[tokio::test(start_paused = true)]
async fn outage_leaves_forwarded_keys_open() {
    let platform = FakePlatform::default();
    let net = LinkNet::default();
    net.join(&platform, "owner", "owner");
    let sender = net.join(&platform, "sender", "owner");
    platform.set_down(true);
    for _ in 0..3 {
        let result = sender.claim(claim("receipt")).await;
        assert!(matches!(result, ClaimResult::GivenUp { .. }), "{result:?}");
    }
    assert_eq!(net.messages.load(Ordering::Relaxed), 1);
    platform.set_down(false);
    tokio::time::sleep(Duration::from_secs(5)).await;
    drop(grant(&sender, "receipt").await);
}

// The owner's write is delayed in the network and the platform goes down: the owner does not
// know whether the claim was written, and the sender gives up. After the outage the sender
// closes the key, so the platform must refuse the delayed write.
#[tokio::test(start_paused = true)]
async fn late_write_of_an_owner_is_refused() {
    let platform = FakePlatform::default();
    let net = LinkNet::default();
    let owner = net.join(&platform, "owner", "owner");
    let sender = net.join(&platform, "sender", "owner");
    grant(&owner, "warm-up").await.release();
    assert!(owner.drain(Duration::from_secs(5)).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.fail_writes(&[WriteFault::Delayed]);
    let claim_task = tokio::spawn(async move { sender.claim(claim("receipt")).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    platform.set_down(true);
    let result = claim_task.await.unwrap();
    assert!(matches!(result, ClaimResult::GivenUp { .. }), "{result:?}");
    platform.set_down(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(platform.apply_delayed(), 0);
    let view = read_directly(&platform, "receipt").await;
    assert_eq!(view, RecordView::NotRun);
}

// Forty daemons each claim five requests of one shard. Through the owner the claims share
// group commits; direct writes would conflict most of the time.
#[tokio::test(start_paused = true)]
async fn owner_carries_the_claims_of_all() {
    let platform = FakePlatform::default();
    let net = LinkNet::default();
    net.join(&platform, "owner", "owner");
    let mut tasks = Vec::new();
    for daemon in 0..40 {
        let store = net.join(&platform, &format!("daemon-{daemon}"), "owner");
        tasks.push(tokio::spawn(async move {
            for number in 0..5 {
                let permit = grant(&store, &format!("order-{daemon}-{number}")).await;
                permit.dispatch().answered(answer());
            }
            assert!(store.drain(Duration::from_secs(5)).await);
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert!(net.messages.load(Ordering::Relaxed) >= 40);
    assert!(platform.writes() <= 20, "{} writes", platform.writes());
    let view = read_directly(&platform, "order-39-4").await;
    assert!(matches!(view, RecordView::Answered { .. }), "{view:?}");
}

// Daemons with different numbers of shards would look for a key in different shards, and
// each could grant it. The owner refuses messages from a daemon with another number.
#[tokio::test(start_paused = true)]
async fn other_number_of_shards_is_refused() {
    let platform = FakePlatform::default();
    let store = store(&platform, "owner");
    let request = LinkRequest {
        shard: 0,
        shards: 2,
        known_at: ObjectVersion(0),
        ops: Vec::new(),
    };
    assert_eq!(store.serve(&request.encode()).await, Err(LinkError::Shards));
    assert_eq!(store.serve(b"noise").await, Err(LinkError::Malformed));
}

#[test]
fn messages_come_back_from_their_form() {
    let entry = ClaimEntry {
        key: key("receipt"),
        claim: ClaimId {
            process: u64::MAX,
            number: 3,
        },
        fingerprint: [7; 16],
        claimant: "daemon-a/1".to_owned(),
        target: "ledger-1".into(),
    };
    let closes = [
        CloseRecord::NotRun,
        CloseRecord::Unknown,
        CloseRecord::Answered(answer()),
    ];
    let mut ops: Vec<ShardOp> = closes
        .into_iter()
        .map(|record| ShardOp::ForwardedClose {
            key: key("receipt"),
            claim: entry.claim,
            record,
        })
        .collect();
    ops.push(ShardOp::ForwardedClaim(entry));
    let request = LinkRequest {
        shard: 3,
        shards: 16,
        known_at: ObjectVersion(9),
        ops,
    };
    assert_eq!(LinkRequest::decode(&request.encode()), Ok(request));
    let reply = LinkReply {
        version: ObjectVersion(10),
        outcomes: vec![LinkOutcome::Recorded, LinkOutcome::NoEffect],
    };
    assert_eq!(LinkReply::decode(&reply.encode(), 2), Ok(reply.clone()));
    assert_eq!(
        LinkReply::decode(&reply.encode(), 3),
        Err(LinkError::Malformed)
    );
}

// When a daemon leaves, only the shards it owned move, each to one of the others.
#[test]
fn only_the_shards_of_a_leaving_daemon_move() {
    let daemons: Vec<DaemonId> = (0..15).map(|n| format!("daemon-{n}").into()).collect();
    let leaving = &daemons[4];
    let mut owned = 0;
    for shard in 0..64 {
        let before = shard_owner(shard, daemons.iter()).unwrap();
        let after = shard_owner(shard, daemons.iter().filter(|d| *d != leaving)).unwrap();
        if before == leaving {
            owned += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!(
        (1..20).contains(&owned),
        "{owned} of 64 shards on one daemon of 15"
    );
}
