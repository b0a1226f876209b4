//! Which suspects and held works go into a word between daemons.
//!
//! What changed goes into a few words, since a link may skip one. Work that ended more than
//! one target goes into a word a second by turns, for whoever was away meanwhile.

use std::time::Duration;

use indexmap::IndexMap;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::crashes::work_digest::WorkDigest;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// How long news of a work are told, from the first word on.
const NEWS_TIME: Duration = Duration::from_millis(600);
/// Time between two words with the same news.
const NEWS_PAUSE: Duration = Duration::from_millis(150);
/// Time between two words with old news.
const TURN_EVERY: Duration = Duration::from_millis(1_000);
/// Most works in a word beside news.
const MOST_TURNS: usize = 32;
/// Most news in a word.
const MOST_NEWS: usize = 256;

/// What daemons tell each other of a work.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct CrashReport {
    /// The work.
    pub work: WorkDigest,
    /// Lives of targets that ended under it.
    pub ends: Vec<TargetIncarnation>,
    /// Lives that seemed to and did not, or that ended for another reason.
    pub refuted: Vec<TargetIncarnation>,
    /// Milliseconds since the last end, or since it was asked for where it is held.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct NewsTurn {
    due: MonoTime,
    until: Option<MonoTime>,
}

/// What the words before contained.
#[derive(Clone, Debug, Default)]
pub struct CrashBroadcasts {
    fresh: IndexMap<WorkDigest, NewsTurn>,
    turned_at: Option<MonoTime>,
    next_turn: usize,
}

impl CrashBroadcasts {
    /// Has news of a work told from `due` on.
    pub fn tell(&mut self, work: WorkDigest, due: MonoTime) {
        let turn = NewsTurn { due, until: None };
        let told = self.fresh.entry(work).or_insert(turn);
        told.due = told.due.min(due);
        told.until = None;
    }

    /// Has nothing more told of a work.
    pub fn drop(&mut self, work: WorkDigest) {
        self.fresh.swap_remove(&work);
    }

    /// Returns the works that a word tells of now; `repeated` are those that ended more than
    /// one target.
    pub fn pick(&mut self, repeated: &[WorkDigest], now: MonoTime) -> Vec<WorkDigest> {
        let mut picked = self.pick_news(now);
        let waits = self.turned_at.is_some_and(|at| now.since(at) < TURN_EVERY);
        if !waits && !repeated.is_empty() {
            self.turned_at = Some(now);
            let count = repeated.len().min(MOST_TURNS);
            let from = self.next_turn % repeated.len();
            self.next_turn = from + count;
            let turns = repeated.iter().cycle().skip(from).take(count);
            let turns: Vec<WorkDigest> = turns.filter(|w| !picked.contains(w)).copied().collect();
            picked.extend(turns);
        }
        picked
    }

    fn pick_news(&mut self, now: MonoTime) -> Vec<WorkDigest> {
        let mut picked = Vec::new();
        for (work, turn) in &mut self.fresh {
            if turn.due <= now && picked.len() < MOST_NEWS {
                turn.until.get_or_insert(now.plus(NEWS_TIME));
                turn.due = now.plus(NEWS_PAUSE);
                picked.push(*work);
            }
        }
        self.fresh
            .retain(|_, turn| turn.until.is_none_or(|until| turn.due < until));
        picked
    }
}
