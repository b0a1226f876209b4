//! Bounded queue of waiting requests, ordered by rank and by slack.

use std::collections::BTreeMap;
use std::hash::Hash;

use indexmap::IndexMap;

use crate::names::MonoTime;

/// One grant in this many goes to the rank that has waited longest, so that none starves.
const GRANTS_PER_OLDEST: u32 = 10;

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Whether its caller was refused before and returned when it was told to.
    pub returning: bool,
    /// Latest time at which it can still be served.
    pub latest_start: MonoTime,
    /// When it was queued.
    pub queued_at: MonoTime,
}

// Position in the queue: rank, returning callers first, least slack, order of arrival.
type QueuePosition = (u8, bool, MonoTime, u64);

/// Waiting requests by rank, then by the latest time at which each can still be served. A
/// returning caller goes before the first attempts of its rank.
#[derive(Clone, Debug)]
pub struct RankedQueue<K> {
    order: BTreeMap<QueuePosition, (K, WaitingRequest)>,
    positions: IndexMap<K, QueuePosition>,
    capacity: usize,
    arrivals: u64,
    grants: u32,
}

impl<K: Clone + Eq + Hash> RankedQueue<K> {
    /// Creates an empty queue for at most `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            order: BTreeMap::new(),
            positions: IndexMap::new(),
            capacity,
            arrivals: 0,
            grants: 0,
        }
    }

    /// Adds a request. Returns the key of the request that has no place: the last in order,
    /// which may be the new one.
    pub fn push(&mut self, key: K, request: WaitingRequest) -> Option<K> {
        self.remove(&key);
        self.arrivals += 1;
        let position = position_of(&request, self.arrivals);
        self.positions.insert(key.clone(), position);
        self.order.insert(position, (key, request));
        if self.order.len() <= self.capacity {
            return None;
        }
        let (_, (last, _)) = self.order.pop_last()?;
        self.positions.swap_remove(&last);
        Some(last)
    }

    /// Returns the next request to grant of those for which `fits` is true.
    pub fn next_where(&self, fits: impl Fn(&K) -> bool) -> Option<&K> {
        let takes_oldest = self.grants + 1 == GRANTS_PER_OLDEST;
        let rank = takes_oldest.then(|| self.oldest_rank(&fits)).flatten();
        let is_due = |request: &WaitingRequest| rank.is_none_or(|rank| request.rank == rank);
        let mut waiting = self.order.values();
        let next = waiting.find(|(key, request)| is_due(request) && fits(key));
        next.map(|(key, _)| key)
    }

    /// Takes a request that is granted.
    pub fn take_granted(&mut self, key: &K) -> Option<WaitingRequest> {
        self.grants = (self.grants + 1) % GRANTS_PER_OLDEST;
        self.remove(key)
    }

    fn oldest_rank(&self, fits: impl Fn(&K) -> bool) -> Option<u8> {
        let fitting = self.order.values().filter(|(key, _)| fits(key));
        let oldest = fitting.min_by_key(|(_, request)| request.queued_at);
        oldest.map(|(_, request)| request.rank)
    }

    /// Removes a request that waits no more.
    pub fn remove(&mut self, key: &K) -> Option<WaitingRequest> {
        let position = self.positions.swap_remove(key)?;
        self.order.remove(&position).map(|(_, request)| request)
    }

    /// Removes the requests that can no longer be served in time.
    pub fn take_late(&mut self, now: MonoTime) -> Vec<(K, WaitingRequest)> {
        let is_late = |request: &WaitingRequest| request.latest_start < now;
        let late = self.order.values().filter(|(_, request)| is_late(request));
        let late: Vec<K> = late.map(|(key, _)| key.clone()).collect();
        let taken = late.into_iter().map(|key| (key.clone(), self.remove(&key)));
        taken
            .filter_map(|(key, request)| Some((key, request?)))
            .collect()
    }

    /// Whether a request waits.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.positions.contains_key(key)
    }

    /// Returns the number of requests that are served before a new one.
    #[must_use]
    pub fn count_before(&self, request: &WaitingRequest) -> usize {
        let position = position_of(request, self.arrivals + 1);
        self.order.range(..position).count()
    }

    /// Returns the number of waiting requests of a rank.
    #[must_use]
    pub fn count_of(&self, rank: u8) -> usize {
        let waiting = self.order.values();
        waiting.filter(|(_, request)| request.rank == rank).count()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the keys of the waiting requests, in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.order.values().map(|(key, _)| key)
    }
}

fn position_of(request: &WaitingRequest, arrival: u64) -> QueuePosition {
    let is_first_attempt = !request.returning;
    (
        request.rank,
        is_first_attempt,
        request.latest_start,
        arrival,
    )
}
