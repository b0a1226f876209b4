//! Chooses the suspects to quarantine, so that they explain the crashes.
//!
//! A crash makes everything suspect that ran on the target. Once a part is quarantined, it
//! explains its crashes, which then count against nothing else.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::crashes::record::{CrashRecord, SuspectRecord};
use crate::crashes::suspect::SuspectKey;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Records of the suspects.
pub type SuspectRecords = IndexMap<SuspectKey, SuspectRecord>;

type KnownRecords<'a> = IndexMap<SuspectKey, &'a SuspectRecord>;

/// Result of a choice.
#[derive(Clone, Debug, Default)]
pub struct SuspectVerdict {
    /// Suspects to quarantine.
    pub quarantined: Vec<SuspectKey>,
    /// Suspects to release.
    pub released: Vec<SuspectKey>,
    /// When to choose again, if nothing changes before.
    pub next: Option<MonoTime>,
}

/// Chooses the suspects to quarantine and to release among `keys`, which include all with enough
/// crashes to be quarantined and all that are. Other daemons need `report_time` to report that
/// targets survived a part.
#[must_use]
pub fn judge(
    records: &SuspectRecords,
    keys: &IndexSet<SuspectKey>,
    report_time: Duration,
    now: MonoTime,
) -> SuspectVerdict {
    let known = keys
        .iter()
        .filter_map(|key| Some((*key, records.get(key)?)));
    let (parts, works): (KnownRecords<'_>, KnownRecords<'_>) =
        known.partition(|(key, _)| key.is_part());
    let mut verdict = SuspectVerdict::default();
    let explained = judge_parts((&parts, &works), report_time, now, &mut verdict);
    judge_works(&works, &explained, &mut verdict);
    verdict
}

// Chooses the part that explains the most crashes, then the one that explains the most of the
// others, and so on. Returns the crashes that the chosen ones explain.
fn judge_parts<'a>(
    (parts, works): (&KnownRecords<'a>, &KnownRecords<'_>),
    report_time: Duration,
    now: MonoTime,
    verdict: &mut SuspectVerdict,
) -> IndexSet<&'a TargetIncarnation> {
    let mut explained = IndexSet::new();
    let mut open: Vec<SuspectKey> = Vec::new();
    for (key, record) in parts {
        if record.confirmed_count() < key.rule().crashes {
            verdict.released.push(*key);
        } else if record.is_quarantined() {
            open.push(*key);
        } else if !is_of_one_work(works, record) {
            let settled_at = settled_at(*key, record, report_time);
            if settled_at <= now {
                open.push(*key);
            } else {
                let next = verdict.next.get_or_insert(settled_at);
                *next = settled_at.min(*next);
            }
        }
    }
    while let Some(key) = likeliest(parts, &open, &explained) {
        open.retain(|other| *other != key);
        let record = parts[&key];
        let count = unexplained(record, &explained);
        if record.is_quarantined() && count == 0 {
            verdict.released.push(key);
            continue;
        }
        if !record.is_quarantined() {
            if count < key.rule().crashes {
                continue;
            }
            verdict.quarantined.push(key);
        }
        explained.extend(
            record
                .confirmed_crashes()
                .map(|(incarnation, _)| incarnation),
        );
    }
    explained
}

fn judge_works(
    works: &KnownRecords<'_>,
    explained: &IndexSet<&TargetIncarnation>,
    verdict: &mut SuspectVerdict,
) {
    for (key, record) in works {
        let is_cause = unexplained(record, explained) >= key.rule().crashes;
        match (is_cause, record.is_quarantined()) {
            (true, false) => verdict.quarantined.push(*key),
            (false, true) => verdict.released.push(*key),
            _ => {}
        }
    }
}

// Of parts that explain the same number of crashes, the one with the fewest requests: one that
// crashes targets does so with each of them.
fn likeliest(
    parts: &KnownRecords<'_>,
    open: &[SuspectKey],
    explained: &IndexSet<&TargetIncarnation>,
) -> Option<SuspectKey> {
    let likelihood = |key: &SuspectKey| {
        let record = parts[key];
        (unexplained(record, explained), Reverse(record.requests))
    };
    open.iter().copied().max_by_key(likelihood)
}

fn unexplained(record: &SuspectRecord, explained: &IndexSet<&TargetIncarnation>) -> usize {
    let crashes = record.confirmed_crashes();
    crashes
        .filter(|(incarnation, _)| !explained.contains(incarnation))
        .count()
}

fn settled_at(key: SuspectKey, record: &SuspectRecord, report_time: Duration) -> MonoTime {
    // Where others survived late, the suspect gets as long to survive as well.
    let counts_from = |crash: &CrashRecord| {
        let confirmed_at = crash.confirmed_at.unwrap_or(crash.at);
        if confirmed_at.since(crash.at) > report_time {
            confirmed_at
        } else {
            crash.at
        }
    };
    let confirmed = record.confirmed_crashes();
    let mut crashes: Vec<MonoTime> = confirmed.map(|(_, crash)| counts_from(crash)).collect();
    crashes.sort_unstable();
    crashes[key.rule().crashes - 1].plus(report_time)
}

// Whether all crashes under a part are those of one work, which is quarantined.
fn is_of_one_work(works: &KnownRecords<'_>, part: &SuspectRecord) -> bool {
    let mut works = works.values().filter(|record| record.is_quarantined());
    works.any(|work| {
        let mut crashes = part.open_crashes();
        crashes.all(|(incarnation, _)| {
            let crash = work.crashes.get(incarnation);
            crash.is_some_and(|crash| !crash.refuted)
        })
    })
}
