//! Keeps this daemon's record in the store.
//!
//! Callers and other daemons know a daemon only by its record. A record that the store does not
//! hold as it should is therefore written until it does, for as long as the process lives.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use crate::gateway::members::DaemonRecord;
use crate::names::MonoTime;
use crate::ports::{
    ConditionalWrite, ObjectName, ObjectVersion, PlatformError, PlatformPort, StoredObject,
};

/// Shortest time between two attempts. Daemons of a whole fleet may start while the store is
/// away, and the store accepts a limited number of writes.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that is added to the interval at random, so that a fleet does not write at once.
const MAX_JITTER: Duration = Duration::from_millis(250);
/// Timeout of a call. One that the store lost must not continue long after the store's return.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Interval of attempts that the store refuses as invalid.
const REFUSED_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a record that the list of daemons lacks is looked up in the store; doubles
/// up to [`MAX_CHECK_DELAY`].
const CHECK_DELAY: Duration = Duration::from_secs(2);
const MAX_CHECK_DELAY: Duration = Duration::from_secs(32);

/// Writes this daemon's record whenever it changes or the store does not hold it.
pub struct RecordKeeper {
    /// The store.
    pub store: PlatformPort,
    /// Name of the record.
    pub object: ObjectName,
    /// Record as it should be.
    pub desired: watch::Receiver<DaemonRecord>,
    /// Requests a look at the stored record.
    pub checks: Arc<Notify>,
}

impl RecordKeeper {
    /// Keeps the record until the sender of the desired one is dropped.
    pub async fn run(mut self) {
        let mut version = ObjectVersion(0);
        loop {
            version = self.write(version).await;
            let written_at = Instant::now();
            loop {
                tokio::select! {
                    biased;
                    changed = self.desired.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    () = self.checks.notified() => {}
                }
                // Two processes under one name would otherwise replace each other's record
                // as fast as the store allows.
                sleep_until(written_at + ATTEMPT_INTERVAL).await;
                if let Some(other) = self.differing_version().await {
                    log::warn!("the store does not hold this daemon's record, writing it again");
                    version = other;
                    break;
                }
            }
        }
    }

    // Returns the version of what the store holds instead of the record. If it does not answer,
    // the next check asks again.
    async fn differing_version(&self) -> Option<ObjectVersion> {
        let reading = (self.store.read)(self.object.clone());
        match timeout(CALL_TIMEOUT, reading).await {
            Ok(Ok(stored)) => self.differing(stored.as_ref()),
            Ok(Err(error)) => {
                log::warn!("this daemon's record in the store cannot be checked: {error}");
                None
            }
            Err(_) => None,
        }
    }

    fn differing(&self, stored: Option<&StoredObject>) -> Option<ObjectVersion> {
        let desired = self.desired.borrow();
        let value = stored.and_then(|stored| stored.value.as_ref());
        let found = value.and_then(|value| DaemonRecord::decode(&self.object.name, value).ok());
        let differs = found.as_ref() != Some(&desired);
        differs.then(|| stored.map_or(ObjectVersion(0), |stored| stored.version))
    }

    // Writes the record until the store holds it; returns its version.
    async fn write(&mut self, mut expected: ObjectVersion) -> ObjectVersion {
        let started = Instant::now();
        let mut failures = 0_u32;
        let mut was_conflict = false;
        loop {
            let attempt_started = Instant::now();
            let error = match self.attempt(expected).await {
                Ok(version) => {
                    if failures > 0 {
                        let took_ms = started.elapsed().as_millis() as u64;
                        log::info!(failures = failures, took_ms = took_ms; "this daemon's record is in the store");
                    }
                    return version;
                }
                Err(error) => error,
            };
            let mut interval = ATTEMPT_INTERVAL;
            match error {
                PlatformError::Conflict { current } => {
                    // The record of an earlier incarnation, or an earlier attempt whose answer
                    // was lost. A second conflict in a row is another writer.
                    expected = current;
                    if !std::mem::replace(&mut was_conflict, true) {
                        continue;
                    }
                }
                // The object may be gone, in which case it is created.
                PlatformError::Refused { .. } if expected != ObjectVersion(0) => {
                    expected = ObjectVersion(0);
                }
                PlatformError::Refused { .. } => interval = REFUSED_INTERVAL,
                PlatformError::Unavailable { .. } | PlatformError::Lost { .. } => {}
            }
            was_conflict = false;
            failures += 1;
            log::warn!(failures = failures; "this daemon's record is not in the store, so that callers and other daemons do not know this daemon; check that the store accepts writes: {error}");
            self.pause(attempt_started + interval).await;
        }
    }

    async fn attempt(&mut self, expected: ObjectVersion) -> Result<ObjectVersion, PlatformError> {
        let write = ConditionalWrite {
            object: self.object.clone(),
            expected,
            value: self.desired.borrow_and_update().encode(),
        };
        let writing = timeout(CALL_TIMEOUT, (self.store.write)(write)).await;
        writing.unwrap_or_else(|_| {
            Err(PlatformError::Lost {
                reason: "no answer in time".to_owned(),
            })
        })
    }

    // Waits for the next attempt. A change of the record, such as that of a daemon that stops,
    // does not wait.
    async fn pause(&mut self, until: Instant) {
        let jitter = rand::rng().random_range(Duration::ZERO..MAX_JITTER);
        tokio::select! {
            () = sleep_until(until + jitter) => {}
            _ = self.desired.changed() => {}
        }
    }
}

/// Decides from the list of daemons when the stored record is checked.
///
/// The list lags behind the store, so that it does not show by itself that a record is missing.
#[derive(Debug)]
pub struct RecordCheck {
    is_listed: bool,
    due: MonoTime,
    delay: Duration,
}

impl RecordCheck {
    /// Creates the check of a record that is about to be written.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            is_listed: false,
            due: now.plus(CHECK_DELAY),
            delay: CHECK_DELAY,
        }
    }

    /// Returns whether the list contains the record.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Notes whether the list contains the record now. Returns whether the stored record has to
    /// be checked: at once if the record has left the list, later and less and less often while
    /// the list lacks it.
    pub fn note_listed(&mut self, is_listed: bool, now: MonoTime) -> bool {
        let has_left = self.is_listed && !is_listed;
        self.is_listed = is_listed;
        if is_listed || has_left {
            self.delay = CHECK_DELAY;
            self.due = now.plus(CHECK_DELAY);
            return has_left;
        }
        let is_due = now >= self.due;
        if is_due {
            self.delay = (self.delay * 2).min(MAX_CHECK_DELAY);
            self.due = now.plus(self.delay);
        }
        is_due
    }
}
