//! Cost of keeping streams at their software version: for each stream, and for each caller that
//! takes one up.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use pistachiowick::gateway::fleet::TargetsByService;
use pistachiowick::gateway::members::{DaemonRecord, InstanceCapacity};
use pistachiowick::gateway::software::history::VersionHistory;
use pistachiowick::gateway::software::keepers::{KEEPERS, keepers};
use pistachiowick::gateway::software::starts::{AttemptDigest, StartTable, StreamStart};
use pistachiowick::names::{CentreName, DaemonId, MonoTime, ServiceName, SoftwareVersion};

const NOW: MonoTime = MonoTime(1_000_000);
const PERIOD: Duration = Duration::from_secs(30);
const DAEMONS: [usize; 3] = [8, 64, 680];

fn daemon(number: usize) -> DaemonRecord {
    DaemonRecord {
        id: DaemonId::from(format!("entry-{number:03}")),
        incarnation: 1,
        callers: ([10, 0, 0, 1], 1).into(),
        peers: ([10, 0, 0, 1], 2).into(),
        handovers: Some(([10, 0, 0, 1], 3).into()),
        centre: CentreName::from(format!("centre-{}", number % 19)),
        leaving: false,
        capacity: InstanceCapacity::default(),
    }
}

fn bench_starts(criterion: &mut Criterion) {
    let service = ServiceName::from("engines");
    let software = SoftwareVersion::from("v1");
    let mut history = VersionHistory::of_new_fleet(NOW);
    history.note_served(&service, &software, NOW);
    history.note_targets(&TargetsByService::new(), NOW);
    let mut starts = StartTable::default();
    let mut number = 0;
    criterion.bench_function("remember_and_check", |b| {
        b.iter(|| {
            number += 1;
            let start = StreamStart {
                service: service.clone(),
                software: software.clone(),
                began: NOW,
            };
            starts.note_own(AttemptDigest(number), start, NOW);
            let is_mixed = history.is_mixed(PERIOD, NOW);
            is_mixed || !history.is_complete(PERIOD, Duration::ZERO, NOW)
        });
    });
}

fn bench_keepers(criterion: &mut Criterion) {
    for count in DAEMONS {
        let daemons: Vec<DaemonRecord> = (0..count).map(daemon).collect();
        let mut number = 0;
        criterion.bench_function(&format!("keepers/{count}"), |b| {
            b.iter(|| {
                number += 1;
                let chosen = keepers(AttemptDigest(number), &daemons, KEEPERS);
                let by_id: IndexMap<_, _> = chosen.into_iter().map(|d| (&d.id, d)).collect();
                black_box(by_id.len())
            });
        });
    }
}

criterion_group!(benches, bench_starts, bench_keepers);
criterion_main!(benches);
