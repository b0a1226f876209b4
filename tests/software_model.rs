//! Model in virtual time of daemons that tell each other at which version streams began.

mod gateway_samples;
mod software_samples;

use std::time::Duration;

use pistachiowick::gateway::members::DaemonRecord;
use pistachiowick::gateway::software::evidence::{
    EvidentStart, GatheredEvidence, StartEvidence, weigh,
};
use pistachiowick::gateway::software::history::{ServedVersions, VersionHistory};
use pistachiowick::gateway::software::keepers::{ASKED, KEEPERS, keepers};
use pistachiowick::gateway::software::starts::{AttemptDigest, StartTable, StreamStart};
use pistachiowick::names::{DaemonId, MonoTime, SoftwareVersion, millis};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use software_samples::{PERIOD, START, at, daemon, service, start, targets};

// A daemon of the model: its table, what it has read of the targets, and what is wrong with it.
struct ModelDaemon {
    record: DaemonRecord,
    starts: StartTable,
    // Starts that daemons are still to be told, and how often that is tried.
    reports: Vec<(AttemptDigest, StreamStart, usize, u32)>,
    history: VersionHistory,
    // Index of the next change of the targets that it reads.
    read: usize,
    // Until when it does not read the store, and when it last did.
    blind_until: MonoTime,
    read_at: MonoTime,
    // Until when no message reaches or leaves it.
    cut_until: MonoTime,
    // From when on it counts as in touch.
    in_touch_from: MonoTime,
    targets: &'static [&'static str],
}

impl ModelDaemon {
    fn restart(&mut self) {
        self.starts = StartTable::default();
        self.reports.clear();
        self.history = VersionHistory::default();
        self.targets = &[];
        self.read = 0;
        self.read_at = MonoTime(0);
    }

    fn recall(
        &mut self,
        (covered, served): &(usize, ServedVersions),
        changes: &[(f64, &[&str])],
        now: MonoTime,
    ) {
        let since = changes.iter().skip(*covered).flat_map(|(_, now)| *now);
        self.history.note_record(served, now);
        for software in since.map(|version| SoftwareVersion::from(*version)) {
            self.history.note_served(&service(), &software, now);
        }
        let lists = self.history.lists();
        self.history.note_recalled(lists, Some(PERIOD), now);
    }
}

#[derive(Clone, Copy)]
struct ModelCase {
    daemons: usize,
    centres: usize,
    // Seconds, and versions of the targets from then on.
    changes: &'static [(f64, &'static [&'static str])],
    // Share of messages that are lost, and of steps in which a daemon fails.
    losses: f64,
    failures: f64,
    // Share of steps in which all daemons are killed at once, and of lists after which the store's
    // history reaches back to its record of versions.
    herd_kills: f64,
    recalls: f64,
    // Whether some daemons work at any time, so that streams are to go on.
    goes_on: bool,
}

struct ModelStream {
    attempt: AttemptDigest,
    software: &'static str,
    returns: MonoTime,
}

const ONE_VERSION: &[(f64, &[&str])] = &[(0.0, &["v1", "v1", "v1"])];
const RELEASE: &[(f64, &[&str])] = &[
    (0.0, &["v1", "v1", "v1"]),
    (12.0, &["v1", "v1", "v1", "v2"]),
    (13.0, &["v1", "v1", "v2", "v2"]),
    (14.0, &["v1", "v2", "v2", "v2"]),
    (15.0, &["v2", "v2", "v2"]),
];
// A version that comes and goes again and again.
const FLEETING: &[(f64, &[&str])] = &[
    (0.0, &["v1", "v1"]),
    (10.0, &["v1", "v2"]),
    (10.5, &["v1", "v1"]),
    (33.0, &["v1", "v2"]),
    (34.0, &["v1", "v1"]),
    (50.0, &["v1", "v2"]),
    (53.0, &["v1", "v1"]),
];
const THREE_VERSIONS: &[(f64, &[&str])] = &[
    (0.0, &["v1", "v2"]),
    (10.0, &["v1", "v2", "v3"]),
    (20.0, &["v2", "v3"]),
    (22.0, &["v1", "v2", "v3"]),
    (40.0, &["v3"]),
    (45.0, &["v3", "v1"]),
    (46.0, &["v3"]),
];

/// Interval at which the versions are recorded in the store.
const RECORD_INTERVAL: Duration = Duration::from_secs(5);
/// Most daemons of a fleet without hubs.
const MESH_DAEMONS: usize = 16;
const REPORT_ATTEMPTS: u32 = 3;
const MODEL_TIME: f64 = 80.0;
const MODEL_STEP: Duration = Duration::from_millis(50);
const LONGEST_STREAM: Duration = Duration::from_secs(10);
/// Time without a failure after which a daemon counts as in touch, and the least share of the
/// streams taken up at such daemons that go on.
const STABLE_TIME: Duration = Duration::from_secs(3);
const MIN_CONTINUED_SHARE: f64 = 0.5;

struct Model {
    case: ModelCase,
    rng: SmallRng,
    daemons: Vec<ModelDaemon>,
    streams: Vec<ModelStream>,
    // Number of changes of the targets that it covers, and the versions.
    record: Option<(usize, ServedVersions)>,
    next_attempt: u64,
    found: usize,
    unknown: usize,
}

impl Model {
    fn new(case: ModelCase, seed: u64) -> Self {
        let daemon = |number| ModelDaemon {
            record: daemon(number, case.centres),
            starts: StartTable::default(),
            reports: Vec::new(),
            history: VersionHistory::of_new_fleet(START),
            read: 0,
            blind_until: START,
            read_at: MonoTime(0),
            cut_until: START,
            in_touch_from: START,
            targets: &[],
        };
        Self {
            case,
            rng: SmallRng::seed_from_u64(seed),
            daemons: (0..case.daemons).map(daemon).collect(),
            streams: Vec::new(),
            record: None,
            next_attempt: 0,
            found: 0,
            unknown: 0,
        }
    }

    fn run(&mut self) {
        let steps = (MODEL_TIME / MODEL_STEP.as_secs_f64()) as u32;
        for now in (0..steps).map(|step| START.plus(MODEL_STEP * step)) {
            self.fail(now);
            for number in 0..self.daemons.len() {
                self.read(number, now);
            }
            if now.0.is_multiple_of(millis(RECORD_INTERVAL)) {
                self.record_versions(now);
            }
            if self.case.daemons <= MESH_DAEMONS {
                self.announce_entries(now);
            }
            for _ in 0..2 {
                self.begin_stream(now);
            }
            for number in 0..self.daemons.len() {
                self.tell(number, now);
            }
            let (due, later) = std::mem::take(&mut self.streams)
                .into_iter()
                .partition(|stream| stream.returns <= now);
            self.streams = later;
            for stream in due {
                self.take_up(&stream, now);
            }
        }
    }

    fn fail(&mut self, now: MonoTime) {
        if self.rng.random_bool(self.case.herd_kills) {
            self.daemons.iter_mut().for_each(ModelDaemon::restart);
        }
        if !self.rng.random_bool(self.case.failures) {
            return;
        }
        let for_time = Duration::from_millis(self.rng.random_range(100..12_000));
        let until = now.plus(for_time);
        let number = self.rng.random_range(0..self.daemons.len());
        let daemon = &mut self.daemons[number];
        let kind = self.rng.random_range(0..4);
        let ends = if kind < 3 { until } else { now };
        daemon.in_touch_from = daemon.in_touch_from.max(ends.plus(STABLE_TIME));
        match kind {
            0 => daemon.blind_until = until,
            1 => daemon.cut_until = until,
            2 => {
                daemon.cut_until = until;
                daemon.blind_until = until;
            }
            // Killed and started again.
            _ => daemon.restart(),
        }
    }

    // The first daemon that knows all versions writes them into the store.
    fn record_versions(&mut self, now: MonoTime) {
        let knows_all = |daemon: &&ModelDaemon| {
            let store_age = now.since(daemon.read_at);
            now >= daemon.blind_until && daemon.history.is_complete(PERIOD, store_age, now)
        };
        if let Some(daemon) = self.daemons.iter().find(knows_all) {
            self.record = Some((daemon.read, daemon.history.ages(PERIOD, now)));
        }
    }

    // Reads the store, after a gap by a list that tells the present targets only.
    fn read(&mut self, number: usize, now: MonoTime) {
        let daemon = &mut self.daemons[number];
        if now < daemon.blind_until {
            return;
        }
        let due = |change: &&(f64, &[&str])| at(change.0) <= now;
        let through = self.case.changes.iter().filter(due).count();
        let is_list = now.since(daemon.read_at) > MODEL_STEP * 2;
        daemon.read_at = now;
        if is_list {
            daemon.history.note_listed(now);
            daemon.read = through.saturating_sub(1);
            let recalls = self.rng.random_bool(self.case.recalls);
            if let Some(record) = self.record.as_ref().filter(|_| recalls) {
                daemon.recall(record, &self.case.changes[..through], now);
            }
        }
        for (_, versions) in &self.case.changes[daemon.read..through] {
            daemon.targets = versions;
            daemon.history.note_targets(&targets(versions), now);
        }
        daemon.read = through;
    }

    // Daemons that read the store tell all others of entries, in a fleet without hubs.
    fn announce_entries(&mut self, now: MonoTime) {
        for from in 0..self.daemons.len() {
            if now < self.daemons[from].blind_until {
                continue;
            }
            for to in 0..self.daemons.len() {
                if from != to && self.passes(from, to, now) {
                    let versions = self.daemons[from].targets;
                    let history = &mut self.daemons[to].history;
                    for version in versions {
                        history.note_served(&service(), &SoftwareVersion::from(*version), now);
                    }
                }
            }
        }
    }

    fn begin_stream(&mut self, now: MonoTime) {
        let number = self.rng.random_range(0..self.daemons.len());
        let daemon = &mut self.daemons[number];
        let Some(software) = daemon.targets.choose(&mut self.rng) else {
            return;
        };
        self.next_attempt += 1;
        let attempt = AttemptDigest::from(format!("a{}", self.next_attempt).as_str());
        daemon.starts.note_own(attempt, start(software, now), now);
        let after = self
            .rng
            .random_range(100..LONGEST_STREAM.as_millis() as u64);
        self.streams.push(ModelStream {
            attempt,
            software,
            returns: now.plus(Duration::from_millis(after)),
        });
    }

    fn passes(&mut self, from: usize, to: usize, now: MonoTime) -> bool {
        let is_cut = |number: usize| now < self.daemons[number].cut_until;
        !is_cut(from) && !is_cut(to) && !self.rng.random_bool(self.case.losses)
    }

    fn keepers(&self, attempt: AttemptDigest, count: usize) -> Vec<usize> {
        let records = self.daemons.iter().map(|daemon| daemon.record.clone());
        let records: Vec<DaemonRecord> = records.collect();
        let chosen = keepers(attempt, &records, count).into_iter();
        let number = |id: &DaemonId| records.iter().position(|record| record.id == *id);
        chosen.filter_map(|record| number(&record.id)).collect()
    }

    fn tell(&mut self, number: usize, now: MonoTime) {
        let daemon = &mut self.daemons[number];
        let store_age = now.since(daemon.read_at);
        let is_mixed = daemon.history.is_mixed(PERIOD, now);
        if !is_mixed && daemon.history.is_complete(PERIOD, store_age, now) {
            return;
        }
        let untold = daemon.starts.take_untold(usize::MAX);
        let mut reports = std::mem::take(&mut daemon.reports);
        for (attempt, start) in untold {
            for keeper in self.keepers(attempt, KEEPERS) {
                reports.push((attempt, start.clone(), keeper, REPORT_ATTEMPTS));
            }
        }
        for (attempt, start, keeper, attempts) in reports {
            if keeper == number {
                continue;
            }
            if self.passes(number, keeper, now) {
                let starts = &mut self.daemons[keeper].starts;
                starts.note_told(attempt, start, now);
            } else if attempts > 1 {
                let again = (attempt, start, keeper, attempts - 1);
                self.daemons[number].reports.push(again);
            }
        }
    }

    fn evidence(&self, number: usize, attempt: AttemptDigest, now: MonoTime) -> StartEvidence {
        let daemon = &self.daemons[number];
        let known = daemon.starts.find(attempt);
        let recent = daemon.history.recent(&service(), PERIOD, now);
        let store_age = now.since(daemon.read_at);
        StartEvidence {
            start: known.map(|known| EvidentStart::new(known, now)),
            recent: recent.cloned().collect(),
            is_complete: daemon.history.is_complete(PERIOD, store_age, now),
        }
    }

    fn take_up(&mut self, stream: &ModelStream, now: MonoTime) {
        let number = self.rng.random_range(0..self.daemons.len());
        let mut evidence = vec![self.evidence(number, stream.attempt, now)];
        if evidence[0].start.is_none() {
            for keeper in self.keepers(stream.attempt, ASKED) {
                if keeper != number && self.passes(number, keeper, now) {
                    evidence.push(self.evidence(keeper, stream.attempt, now));
                }
            }
        }
        let gathered = GatheredEvidence {
            evidence,
            is_whole: true,
            has_others: true,
        };
        let finding = weigh(&service(), &gathered);
        let found = finding.software().map(SoftwareVersion::as_str);
        assert!(
            found.is_none_or(|found| found == stream.software),
            "{finding:?}"
        );
        if now >= self.daemons[number].in_touch_from {
            self.found += usize::from(found.is_some());
            self.unknown += usize::from(found.is_none());
        }
    }
}

// Guards against streams that go on at another version, whatever daemons fail, do not read the
// store or do not hear of each other; and against refusing most that could go on.
#[rstest]
#[case::one_version(ModelCase { daemons: 8, centres: 4, changes: ONE_VERSION, losses: 0.0, failures: 0.0, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::one_version_failures(ModelCase { daemons: 8, centres: 4, changes: ONE_VERSION, losses: 0.02, failures: 0.02, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::release(ModelCase { daemons: 8, centres: 4, changes: RELEASE, losses: 0.0, failures: 0.0, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::release_small(ModelCase { daemons: 3, centres: 1, changes: RELEASE, losses: 0.02, failures: 0.02, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::release_failures(ModelCase { daemons: 8, centres: 4, changes: RELEASE, losses: 0.02, failures: 0.02, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::three_versions(ModelCase { daemons: 8, centres: 4, changes: THREE_VERSIONS, losses: 0.02, failures: 0.02, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::three_versions_many_failures(ModelCase { daemons: 8, centres: 4, changes: THREE_VERSIONS, losses: 0.2, failures: 0.1, herd_kills: 0.0, recalls: 0.0, goes_on: false })]
#[case::three_versions_half_fails(ModelCase { daemons: 8, centres: 4, changes: THREE_VERSIONS, losses: 0.1, failures: 0.04, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::fleeting_version(ModelCase { daemons: 8, centres: 4, changes: FLEETING, losses: 0.02, failures: 0.02, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::fleeting_version_many_failures(ModelCase { daemons: 8, centres: 4, changes: FLEETING, losses: 0.1, failures: 0.1, herd_kills: 0.0, recalls: 0.0, goes_on: false })]
#[case::fleeting_version_small(ModelCase { daemons: 3, centres: 1, changes: FLEETING, losses: 0.1, failures: 0.05, herd_kills: 0.0, recalls: 0.0, goes_on: false })]
#[case::hubs(ModelCase { daemons: 69, centres: 3, changes: RELEASE, losses: 0.02, failures: 0.1, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::large(ModelCase { daemons: 300, centres: 10, changes: THREE_VERSIONS, losses: 0.02, failures: 0.3, herd_kills: 0.0, recalls: 0.0, goes_on: true })]
#[case::release_recalled(ModelCase { daemons: 8, centres: 4, changes: RELEASE, losses: 0.02, failures: 0.02, herd_kills: 0.0, recalls: 0.9, goes_on: true })]
#[case::hubs_recalled(ModelCase { daemons: 69, centres: 3, changes: RELEASE, losses: 0.02, failures: 0.1, herd_kills: 0.0, recalls: 0.9, goes_on: true })]
#[case::all_killed_one_version(ModelCase { daemons: 8, centres: 4, changes: ONE_VERSION, losses: 0.02, failures: 0.0, herd_kills: 0.005, recalls: 1.0, goes_on: true })]
#[case::all_killed_one_version_small(ModelCase { daemons: 3, centres: 1, changes: ONE_VERSION, losses: 0.02, failures: 0.02, herd_kills: 0.005, recalls: 0.9, goes_on: true })]
#[case::all_killed_release(ModelCase { daemons: 8, centres: 4, changes: RELEASE, losses: 0.02, failures: 0.02, herd_kills: 0.01, recalls: 0.9, goes_on: false })]
#[case::all_killed_three_versions(ModelCase { daemons: 8, centres: 4, changes: THREE_VERSIONS, losses: 0.02, failures: 0.02, herd_kills: 0.01, recalls: 0.9, goes_on: false })]
#[case::all_killed_fleeting_version(ModelCase { daemons: 8, centres: 4, changes: FLEETING, losses: 0.02, failures: 0.02, herd_kills: 0.01, recalls: 1.0, goes_on: false })]
#[case::all_killed_large(ModelCase { daemons: 69, centres: 3, changes: FLEETING, losses: 0.02, failures: 0.1, herd_kills: 0.01, recalls: 0.9, goes_on: false })]
fn no_interleaving_mixes_versions(#[case] case: ModelCase) {
    const SEEDS: u64 = 8;
    let (mut found, mut unknown) = (0, 0);
    for seed in 0..SEEDS {
        let mut model = Model::new(case, seed);
        model.run();
        found += model.found;
        unknown += model.unknown;
    }
    let share = found as f64 / (found + unknown) as f64;
    println!("{found} found, {unknown} unknown, share {share:.3}");
    assert!(found + unknown > 500);
    let goes_on = !case.goes_on || share >= MIN_CONTINUED_SHARE;
    assert!(goes_on, "{found} found, {unknown} unknown");
}
