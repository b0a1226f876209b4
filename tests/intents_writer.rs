//! Regression tests for event sequences that the property test found, and for the encoding.

use std::time::Duration;

use pistachiowick::intents::wire::{decode_ledger, encode_ledger};
use pistachiowick::intents::writer::{
    OpResult, ShardOp, ShardWriter, WriterAction, WriterRules, WriterTime,
};
use pistachiowick::intents::{
    AnswerRecord, ClaimEntry, ClaimId, ClaimOutcome, CloseRecord, IntentKey, IntentState, KeyError,
    LedgerLimits, ShardLedger,
};
use pistachiowick::names::{MonoTime, UnixTime};
use pistachiowick::ports::{ObjectName, ObjectVersion, PlatformError, StoredObject};

const START: u64 = 1_800_000_000_000;

fn limits() -> LedgerLimits {
    LedgerLimits {
        retention: Duration::from_secs(10),
        skew: Duration::from_millis(500),
        shard_bytes: 900_000,
        result_bytes: 64,
    }
}

fn at(ms: u64) -> WriterTime {
    WriterTime {
        mono: MonoTime(ms),
        unix: UnixTime(START + ms),
    }
}

fn claim_entry(name: &str, number: u64) -> ClaimEntry {
    ClaimEntry {
        key: IntentKey {
            workspace: "regatta-one".into(),
            key: name.into(),
            minted_at: UnixTime(START),
        },
        claim: ClaimId { process: 1, number },
        fingerprint: [7; 16],
        claimant: "daemon-a/1".to_owned(),
        target: "ledger-1".into(),
    }
}

fn stored(version: u64, value: Vec<u8>) -> Option<StoredObject> {
    Some(StoredObject {
        object: ObjectName {
            kind: "intents".to_owned(),
            name: "shard-000".to_owned(),
        },
        version: ObjectVersion(version),
        value: Some(value),
    })
}

fn written(actions: &[WriterAction]) -> Vec<u8> {
    match actions {
        [WriterAction::Write { value, .. }] => value.clone(),
        other => panic!("{other:?}"),
    }
}

fn state_of(value: &[u8]) -> IntentState {
    let ledger = decode_ledger(value).unwrap();
    let (_, entry) = ledger.entries().next().unwrap();
    entry.state.clone()
}

// The write of a claim takes effect, but its response is lost. The next read returns the
// shard as it was before, and by then the key is too old, so the caller gets "invalid".
// The record must not stay intended, or a later lookup would return "unknown" for a request
// that never runs.
#[test]
fn claim_that_grew_too_old_is_released() {
    let mut writer = ShardWriter::new(WriterRules {
        limits: limits(),
        commit: Duration::from_millis(50),
        seed: 1,
    });
    writer.submit(ShardOp::Claim(claim_entry("receipt", 1)), at(0));
    assert_eq!(writer.take_actions(), [WriterAction::Read]);
    writer.read_done(Ok(None), at(1));
    let value = written(&writer.take_actions());
    let lost = PlatformError::Lost {
        reason: "cut".to_owned(),
    };
    writer.write_done(Err(lost), at(2));
    assert_eq!(writer.take_actions(), [WriterAction::Read]);
    writer.read_done(Ok(None), at(9_900));
    let actions = writer.take_actions();
    let refused = WriterAction::Reply {
        number: 0,
        result: OpResult::Invalid(KeyError::Expired),
    };
    assert!(actions.contains(&refused), "{actions:?}");
    writer.wake(at(9_901));
    let conflict = PlatformError::Conflict {
        current: ObjectVersion(1),
    };
    writer.write_done(Err(conflict), at(9_902));
    writer.wake(at(9_999));
    writer.take_actions();
    writer.read_done(Ok(stored(1, value)), at(10_000));
    let value = written(&writer.take_actions());
    assert_eq!(state_of(&value), IntentState::NotRun);
}

// A claim is closed when its key is about to expire, and a newer key of another daemon
// moves the shard's horizon past it. The close must not count as done because of an expiry
// that is not written yet, or the record would stay "intended".
#[test]
fn close_waits_for_the_expiry_to_be_written() {
    let mut writer = ShardWriter::new(WriterRules {
        limits: limits(),
        commit: Duration::from_millis(50),
        seed: 1,
    });
    let claimed = claim_entry("receipt", 1);
    writer.submit(ShardOp::Claim(claimed.clone()), at(0));
    writer.take_actions();
    writer.read_done(Ok(None), at(1));
    let mut ledger = decode_ledger(&written(&writer.take_actions())).unwrap();
    writer.write_done(Ok(ObjectVersion(1)), at(2));
    writer.take_actions();
    let mut newer = claim_entry("newer", 2);
    newer.key.minted_at = UnixTime(START + 11_600);
    ledger.claim(&newer, &limits(), UnixTime(START + 11_600));
    let close = ShardOp::Close {
        key: claimed.key,
        claim: claimed.claim,
        record: CloseRecord::NotRun,
    };
    writer.submit(close, at(11_700));
    written(&writer.take_actions());
    let conflict = PlatformError::Conflict {
        current: ObjectVersion(2),
    };
    writer.write_done(Err(conflict), at(11_701));
    writer.wake(at(11_800));
    assert_eq!(writer.take_actions(), [WriterAction::Read]);
    writer.read_done(Ok(stored(2, encode_ledger(&ledger))), at(11_801));
    let value = written(&writer.take_actions());
    assert!(decode_ledger(&value).unwrap().horizon() >= UnixTime(START));
    assert_eq!(writer.pending_ops(), 1);
    writer.write_done(Ok(ObjectVersion(3)), at(11_802));
    assert_eq!(writer.pending_ops(), 0);
}

// Every record of a ledger survives encoding and decoding, and a truncated value is
// refused instead of being decoded as fewer records.
#[test]
fn stored_form_keeps_every_record() {
    let mut ledger = ShardLedger::default();
    let outcomes = [
        None,
        Some(CloseRecord::NotRun),
        Some(CloseRecord::Unknown),
        Some(CloseRecord::Answered(AnswerRecord {
            length: u64::MAX,
            digest: [255; 32],
            result: Some(vec![255; 64]),
        })),
        Some(CloseRecord::Answered(AnswerRecord {
            length: 0,
            digest: [0; 32],
            result: None,
        })),
    ];
    for (number, outcome) in outcomes.iter().enumerate() {
        let entry = claim_entry(&format!("key-{number}"), u64::MAX - number as u64);
        let step = ledger.claim(&entry, &limits(), UnixTime(START));
        assert_eq!(step, ClaimOutcome::Added);
        if let Some(record) = outcome {
            ledger.close(entry.key.entry_id(), entry.claim, record, &limits());
        }
    }
    let value = encode_ledger(&ledger);
    assert!(value.len() <= ledger.max_encoded_size());
    assert_eq!(decode_ledger(&value).unwrap(), ledger);
    for length in 0..value.len() {
        assert!(decode_ledger(&value[..length]).is_err(), "cut to {length}");
    }
}
