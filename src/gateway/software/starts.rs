//! Which software version began which stream.
//!
//! Only the daemon that passes a stream's first event on to its caller records the start, so
//! there is one record of an attempt. It tells other daemons, which keep the start as well.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{MonoTime, ServiceName, SoftwareVersion};

/// Most streams that are remembered; beyond that the oldest is forgotten. Each takes about 100
/// bytes.
const MAX_STARTS: usize = 65_536;

/// Digest of the identifier of a caller's attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AttemptDigest(pub u64);

impl From<&str> for AttemptDigest {
    fn from(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// An attempt and the start of its stream.
pub type AttemptStart = (AttemptDigest, StreamStart);

/// Start of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamStart {
    /// Service that generates it.
    pub service: ServiceName,
    /// Version of the software that began it.
    pub software: SoftwareVersion,
    /// When its first event was passed on.
    pub began: MonoTime,
}

/// A start as it is remembered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownStart {
    /// The start.
    pub start: StreamStart,
    /// Whether another daemon told it.
    pub is_told: bool,
    /// Whether different starts were recorded for the attempt.
    pub is_unclear: bool,
}

/// Starts that a daemon remembers, its own and those that it was told.
#[derive(Debug, Default)]
pub struct StartTable {
    starts: IndexMap<AttemptDigest, KnownStart>,
    // When each was recorded, oldest first.
    recorded: VecDeque<(MonoTime, AttemptDigest)>,
    // Own starts that no other daemon was told of, oldest first.
    untold: VecDeque<AttemptDigest>,
}

impl StartTable {
    /// Records the start of a stream of this daemon.
    pub fn note_own(&mut self, attempt: AttemptDigest, start: StreamStart, now: MonoTime) {
        self.untold.push_back(attempt);
        self.record(attempt, start, false, now);
    }

    /// Records the start of a stream of another daemon.
    pub fn note_told(&mut self, attempt: AttemptDigest, start: StreamStart, now: MonoTime) {
        self.record(attempt, start, true, now);
    }

    /// Returns the start of a stream.
    #[must_use]
    pub fn find(&self, attempt: AttemptDigest) -> Option<&KnownStart> {
        self.starts.get(&attempt)
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns whether there are own starts that no other daemon was told of.
    #[must_use]
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Takes the oldest `most` own starts that no other daemon was told of.
    pub fn take_untold(&mut self, most: usize) -> Vec<AttemptStart> {
        let most = most.min(self.untold.len());
        let untold = self.untold.drain(..most);
        let known = untold.filter_map(|attempt| {
            let known = self.starts.get(&attempt)?;
            Some((attempt, known.start.clone()))
        });
        known.collect()
    }

    /// Forgets the streams that were recorded longer ago than `period`.
    pub fn expire(&mut self, period: Duration, now: MonoTime) {
        while let Some((at, _)) = self.recorded.front()
            && now.since(*at) >= period
        {
            self.forget_oldest();
        }
    }

    fn record(&mut self, attempt: AttemptDigest, start: StreamStart, is_told: bool, now: MonoTime) {
        if let Some(known) = self.starts.get_mut(&attempt) {
            let before = (&known.start.service, &known.start.software);
            known.is_unclear |= before != (&start.service, &start.software);
            return;
        }
        if self.recorded.len() >= MAX_STARTS {
            self.forget_oldest();
        }
        let known = KnownStart {
            start,
            is_told,
            is_unclear: false,
        };
        self.starts.insert(attempt, known);
        self.recorded.push_back((now, attempt));
    }

    fn forget_oldest(&mut self) {
        let Some((_, attempt)) = self.recorded.pop_front() else {
            return;
        };
        self.starts.swap_remove(&attempt);
        if self.untold.front() == Some(&attempt) {
            self.untold.pop_front();
        }
    }
}
