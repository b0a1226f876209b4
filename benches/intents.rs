//! Benchmarks of one commit to a shard: applying claims, encoding and decoding the ledger.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use pistachiowick::intents::wire::{decode_ledger, encode_ledger};
use pistachiowick::intents::{
    AnswerRecord, ClaimEntry, ClaimId, CloseRecord, IntentKey, LedgerLimits, ShardLedger,
};
use pistachiowick::names::UnixTime;

const NOW: UnixTime = UnixTime(1_800_000_000_000);
const SIZES: [u64; 2] = [1_000, 10_000];
const BATCH: u64 = 50;

fn limits() -> LedgerLimits {
    LedgerLimits {
        retention: Duration::from_secs(600),
        skew: Duration::from_secs(2),
        shard_bytes: 16 << 20,
        result_bytes: 256,
    }
}

fn claim_entry(number: u64) -> ClaimEntry {
    ClaimEntry {
        key: IntentKey {
            workspace: "regatta-one".into(),
            key: format!("6f1c2f5e-0000-4000-8000-{number:012}").into(),
            minted_at: NOW,
        },
        claim: ClaimId { process: 7, number },
        fingerprint: [7; 16],
        claimant: "hala-racice-1/1800000000000".to_owned(),
        target: "ledger-1".into(),
    }
}

/// Returns a ledger of answered entries, the most common kind.
fn answered_ledger(entries: u64) -> ShardLedger {
    let mut ledger = ShardLedger::default();
    for number in 0..entries {
        let entry = claim_entry(number);
        ledger.claim(&entry, &limits(), NOW);
        let answer = CloseRecord::Answered(AnswerRecord {
            length: 1_000,
            digest: [9; 32],
            result: None,
        });
        ledger.close(entry.key.entry_id(), entry.claim, &answer, &limits());
    }
    ledger
}

fn apply_batch(ledger: &mut ShardLedger, first: u64) {
    for number in first..first + BATCH {
        ledger.claim(&claim_entry(number), &limits(), NOW);
    }
    ledger.expire(&limits(), NOW);
}

fn bench_commit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("intents");
    group
        .sample_size(20)
        .measurement_time(Duration::from_secs(2));
    for size in SIZES {
        let ledger = answered_ledger(size);
        let value = encode_ledger(&ledger);
        println!("{size} entries: {} bytes", value.len());
        group.bench_function(BenchmarkId::new("apply_50_claims", size), |b| {
            b.iter_batched_ref(
                || ledger.clone(),
                |ledger| apply_batch(ledger, size),
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("encode", size), |b| {
            b.iter(|| encode_ledger(black_box(&ledger)));
        });
        group.bench_function(BenchmarkId::new("decode", size), |b| {
            b.iter(|| decode_ledger(black_box(&value)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_commit);
criterion_main!(benches);
