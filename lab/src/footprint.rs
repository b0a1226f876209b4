//! Memory and message sizes by count, measured, as slopes in bytes each.

use std::hint::black_box;
use std::process::Command;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure, eyre};
use getopts::{Matches, Options};
use indexmap::IndexMap;
use pistachiowick::config::buckets::ConfigState;
use pistachiowick::decide::candidates::CandidateIndex;
use pistachiowick::intents::wire::encode_ledger;
use pistachiowick::intents::{
    AnswerRecord, ClaimEntry, ClaimId, CloseRecord, IntentKey, LedgerLimits, ShardLedger,
};
use pistachiowick::membership::{MembershipLimits, MembershipState, local_view};
use pistachiowick::names::{MonoTime, ProcessIncarnation, UnixTime};
use pistachiowick::peers::state::PeerHints;
use pistachiowick::peers::wire::{PeerHint, PeerMessage};
use pistachiowick::roles::mix::{WorkAmount, add_work};
use pistachiowick::settings::IntentSettings;
use serde::Serialize;

use crate::footprint_streams;
use crate::process_stat::resident_bytes;
use crate::prove_command;
use crate::samples;

const NOW: MonoTime = MonoTime(1_000_000);
const MINTED: UnixTime = UnixTime(1_800_000_000_000);
/// Copies of each state, so that the growth stands out from the allocator's reserves.
const COPIES: usize = 8;
/// Peers whose hints are held.
const HEARD_PEERS: usize = 100;
/// Streams that run while the daemon is read.
const STREAM_COUNTS: (usize, usize) = (200, 2_000);

/// Growth with the number of something.
#[derive(Clone, Debug, Serialize)]
pub struct SizeSlope {
    /// What was counted.
    pub of: &'static str,
    /// Smaller and larger count.
    pub counts: (usize, usize),
    /// Bytes at each.
    pub bytes: (u64, u64),
    /// Bytes for each further one.
    pub bytes_each: f64,
}

impl SizeSlope {
    /// Works out the slope between two counts.
    #[must_use]
    pub fn new(of: &'static str, counts: (usize, usize), bytes: (u64, u64)) -> Self {
        let grown = bytes.1 as f64 - bytes.0 as f64;
        Self {
            of,
            counts,
            bytes,
            bytes_each: grown / (counts.1 - counts.0) as f64,
        }
    }
}

/// Result of the whole measurement.
#[derive(Clone, Debug, Serialize)]
pub struct FootprintReport {
    /// Resident memory of state held in one daemon.
    pub memory: Vec<SizeSlope>,
    /// Sizes of messages and stored values.
    pub messages: Vec<SizeSlope>,
}

/// State whose memory is measured.
struct MemorySubject {
    /// Name on the command line.
    name: &'static str,
    /// What is counted.
    of: &'static str,
    counts: (usize, usize),
    /// Builds copies of the state and returns the resident bytes of one.
    measure: fn(usize) -> Result<u64>,
}

const SUBJECTS: &[MemorySubject] = &[
    MemorySubject {
        name: "fleet-targets",
        of: "targets in a fleet view",
        counts: (1_000, 12_000),
        measure: |count| held_bytes(|| samples::fleet_view(count, 0, 1, NOW)),
    },
    MemorySubject {
        name: "merged-targets",
        of: "targets in the merged membership with its view",
        counts: (1_000, 12_000),
        measure: |count| held_bytes(|| merged(count, 0)),
    },
    MemorySubject {
        name: "candidates",
        of: "targets in the candidate index",
        counts: (1_000, 12_000),
        measure: |count| {
            let fleet = samples::fleet_view(count, 0, 1, NOW);
            held_bytes(|| CandidateIndex::build(&fleet))
        },
    },
    MemorySubject {
        name: "merged-daemons",
        of: "daemons in the merged membership with its view",
        counts: (680, 6_800),
        measure: |count| held_bytes(|| merged(0, count)),
    },
    MemorySubject {
        name: "workspaces",
        of: "workspaces with 3 classes in the configuration",
        counts: (500, 5_000),
        measure: |count| held_bytes(|| configured(count)),
    },
    MemorySubject {
        name: "hint-costs",
        of: "workspaces in the hints of 100 peers",
        counts: (50, 1_000),
        measure: |count| held_bytes(|| heard(count)),
    },
    MemorySubject {
        name: "intents",
        of: "answered intents in a ledger",
        counts: (1_000, 20_000),
        measure: |count| held_bytes(|| ledger(count)),
    },
];

/// Measures each subject at both its counts, every time in a process of its own: what an
/// earlier one has left with the allocator would hide the growth.
///
/// # Errors
///
/// Returns an error where a process does not start or tells no number.
pub fn measure_footprint() -> Result<FootprintReport> {
    let slopes = SUBJECTS.iter().map(|subject| {
        let few = measure_apart(subject, subject.counts.0)?;
        let many = measure_apart(subject, subject.counts.1)?;
        Ok(SizeSlope::new(subject.of, subject.counts, (few, many)))
    });
    Ok(FootprintReport {
        memory: slopes.collect::<Result<_>>()?,
        messages: message_slopes(),
    })
}

fn measure_apart(subject: &MemorySubject, count: usize) -> Result<u64> {
    let own = std::env::current_exe().wrap_err("cannot tell where this program is")?;
    let count = count.to_string();
    let output = Command::new(own)
        .args(["footprint", "--of", subject.name, "--count", &count])
        .output()
        .wrap_err("cannot start a process")?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim()
        .parse()
        .wrap_err_with(|| format!("{} told {text:?}", subject.name))
}

/// Resident bytes that one copy takes.
fn held_bytes<T>(build: impl Fn() -> T) -> Result<u64> {
    let before = resident_bytes(None)?;
    let held: Vec<T> = (0..COPIES).map(|_| build()).collect();
    let after = resident_bytes(None)?;
    black_box(&held);
    Ok(after.saturating_sub(before) / COPIES as u64)
}

fn merged(targets: usize, daemons: usize) -> MembershipState {
    let own = local_view(
        "entry-own".into(),
        "10.0.0.1:9000".to_owned(),
        "10.0.0.1:9002".to_owned(),
        "centre-00".into(),
        ProcessIncarnation(1),
    );
    let mut state = MembershipState::new(own, MembershipLimits::default());
    state.apply_list(&samples::instance_rows(targets, daemons), NOW);
    for number in 0..targets {
        let report = samples::engine_state(number, NOW.0);
        state.note_state(&report.target, &report, Duration::ZERO, NOW);
    }
    state.tick(NOW);
    state.refresh();
    state
}

fn configured(workspaces: usize) -> ConfigState {
    let mut state = ConfigState::default();
    for stored in samples::stored_buckets(workspaces) {
        let applied = state.apply(&stored);
        debug_assert!(applied.is_ok(), "a sample bucket is readable");
    }
    state
}

/// Hints as they arrive: decoded, each with names of its own.
fn heard(workspaces: usize) -> PeerHints {
    let mut hints = PeerHints::default();
    for peer in 0..HEARD_PEERS {
        let costs = (0..workspaces).map(|n| (samples::workspace_name(n).into(), 0.5));
        let hint = PeerHint {
            daemon: Some(format!("entry-{peer:03}").into()),
            sequence: 1,
            costs: costs.collect(),
            ..PeerHint::default()
        };
        let bytes = PeerMessage::Hint(Box::new(hint)).encode();
        if let Ok(PeerMessage::Hint(hint)) = PeerMessage::decode(&bytes) {
            hints.apply(*hint, NOW);
        }
    }
    hints
}

fn ledger(entries: usize) -> ShardLedger {
    let mut ledger = ShardLedger::default();
    let limits = LedgerLimits {
        shard_bytes: usize::MAX / 2,
        ..LedgerLimits::from(&IntentSettings::default())
    };
    for number in 0..entries as u64 {
        let claim = claim_entry(number);
        ledger.claim(&claim, &limits, MINTED);
        let answer = CloseRecord::Answered(AnswerRecord {
            length: 1_000,
            digest: [9; 32],
            result: None,
        });
        ledger.close(claim.key.entry_id(), claim.claim, &answer, &limits);
    }
    ledger
}

fn claim_entry(number: u64) -> ClaimEntry {
    ClaimEntry {
        key: IntentKey {
            workspace: "workspace-0001".into(),
            key: format!("6f1c2f5e-0000-4000-8000-{number:012}").into(),
            minted_at: MINTED,
        },
        claim: ClaimId { process: 7, number },
        fingerprint: [7; 16],
        claimant: "entry-001/1800000000000".to_owned(),
        target: "service-00001".into(),
    }
}

fn message_slopes() -> Vec<SizeSlope> {
    let slope = |of, counts: (usize, usize), size: fn(usize) -> usize| {
        let bytes = (size(counts.0) as u64, size(counts.1) as u64);
        SizeSlope::new(of, counts, bytes)
    };
    vec![
        slope("rows of the instance list in JSON", (0, 1_000), |count| {
            let rows = samples::instance_rows(count, 0);
            serde_json::to_vec(&rows).map_or(0, |text| text.len())
        }),
        slope("engines in a peer's hint", (0, 64), |count| {
            let engines = (0..count).map(|n| samples::engine_state(n, MINTED.0));
            hint_size(PeerHint {
                engines: engines.collect(),
                ..PeerHint::default()
            })
        }),
        slope("models in a peer's hint", (0, 12), |count| {
            let mut hint = PeerHint::default();
            let work = WorkAmount {
                prefill: 0.1,
                decode: 0.1,
            };
            for number in 0..count {
                add_work(&mut hint.work, &format!("model-{number:02}").into(), work);
            }
            hint_size(hint)
        }),
        slope("workspaces in a peer's hint", (0, 100), |count| {
            let costs = (0..count).map(|n| (samples::workspace_name(n).into(), 0.123));
            hint_size(PeerHint {
                costs: costs.collect(),
                ..PeerHint::default()
            })
        }),
        slope(
            "workspaces in the stored configuration",
            (500, 5_000),
            |count| {
                let stored = samples::stored_buckets(count);
                stored
                    .iter()
                    .filter_map(|s| s.value.as_ref())
                    .map(Vec::len)
                    .sum()
            },
        ),
        slope(
            "answered intents in a stored shard",
            (100, 5_000),
            |count| encode_ledger(&ledger(count)).len(),
        ),
    ]
}

fn hint_size(hint: PeerHint) -> usize {
    let hint = PeerHint {
        daemon: Some("entry-001".into()),
        incarnation: ProcessIncarnation(MINTED.0),
        sequence: 100_000,
        ..hint
    };
    PeerMessage::Hint(Box::new(hint)).encode().len()
}

/// Returns the slopes by what they count, in bytes each.
///
/// # Errors
///
/// Returns an error when a slope is no positive number, which says that the counts were
/// too small to stand out.
pub fn slopes_by_name(report: &FootprintReport) -> Result<IndexMap<&'static str, f64>> {
    let all = report.memory.iter().chain(&report.messages);
    let slopes: IndexMap<&'static str, f64> = all.map(|s| (s.of, s.bytes_each)).collect();
    for (of, bytes) in &slopes {
        ensure!(
            *bytes > 0.0,
            "{of} take {bytes} bytes each; raise the counts"
        );
    }
    Ok(slopes)
}

/// Adds the command's flags.
pub fn add_flags(options: &mut Options) {
    options.optopt("", "of", "measure one kind of state at one count", "NAME");
    options.optopt("", "count", "the count; 1000 without it", "N");
}

fn measure_here(name: &str, count: usize) -> Result<()> {
    let names = SUBJECTS.iter().map(|s| s.name).collect::<Vec<_>>();
    let subject = SUBJECTS.iter().find(|s| s.name == name);
    let subject = subject.ok_or_else(|| eyre!("--of has {name:?}; use {}", names.join(", ")))?;
    println!("{}", (subject.measure)(count)?);
    Ok(())
}

/// Measures and prints one JSON line.
///
/// # Errors
///
/// Returns what kept the measurement from being made.
pub async fn run(matches: Matches) -> Result<()> {
    if let Some(name) = matches.opt_str("of") {
        return measure_here(&name, matches.opt_get_default("count", 1_000)?);
    }
    let mut report = measure_footprint()?;
    let program = prove_command::daemon_program(&matches)?;
    let streams = footprint_streams::stream_slope(&program, STREAM_COUNTS).await?;
    report.memory.push(streams);
    slopes_by_name(&report)?;
    let line = serde_json::to_string(&report).wrap_err("cannot write the report")?;
    println!("{line}");
    Ok(())
}
