//! State of the platform stand-in: versioned objects, instance list, rate limits.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use indexmap::IndexMap;
use pistachiowick::store::wire::{InstanceList, InstanceRow, ObjectList, ObjectRow};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// One value that an object had.
#[derive(Clone, Debug)]
pub struct ValueRecord {
    /// Version given at the write.
    pub version: u64,
    /// When it was written.
    pub at: Instant,
    /// Value.
    pub value: Arc<Vec<u8>>,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// Objects of one kind.
#[derive(Debug, Default)]
pub struct KindTable {
    objects: IndexMap<String, VecDeque<ValueRecord>>,
    by_version: BTreeMap<u64, String>,
    changed: Arc<Notify>,
}

/// Versioned objects of all kinds.
#[derive(Debug, Default)]
pub struct ObjectTable {
    last_version: u64,
    kinds: IndexMap<String, KindTable>,
}

impl ObjectTable {
    /// Returns the notifier of changes of a kind.
    pub fn changed(&mut self, kind: &str) -> Arc<Notify> {
        self.kinds
            .entry(kind.to_owned())
            .or_default()
            .changed
            .clone()
    }

    /// Wakes every waiting watch.
    pub fn wake_all(&self) {
        for table in self.kinds.values() {
            table.changed.notify_waiters();
        }
    }

    /// Reads an object as it was at `cut`.
    #[must_use]
    pub fn read(&self, kind: &str, name: &str, cut: Instant) -> Option<&ValueRecord> {
        visible(self.kinds.get(kind)?.objects.get(name)?, cut)
    }

    /// Writes if the condition holds.
    ///
    /// # Errors
    ///
    /// Returns the present version, `None` for an object that does not exist,
    /// when the condition does not hold.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: WriteCondition,
        value: Vec<u8>,
        keep_since: Instant,
    ) -> Result<u64, Option<u64>> {
        let table = self.kinds.entry(kind.to_owned()).or_default();
        let present = table
            .objects
            .get(name)
            .and_then(|history| history.back())
            .map(|record| record.version);
        let holds = match condition {
            WriteCondition::Absent => present.is_none(),
            WriteCondition::Version(version) => present == Some(version),
        };
        if !holds {
            return Err(present);
        }
        self.last_version += 1;
        table.put(name, self.last_version, value, present, keep_since);
        Ok(self.last_version)
    }

    /// Returns the objects of a kind changed after `since`, as they were at `cut`.
    #[must_use]
    pub fn changed_since(&self, kind: &str, since: u64, cut: Instant) -> ObjectList {
        let mut list = ObjectList {
            revision: since,
            objects: Vec::new(),
        };
        let Some(table) = self.kinds.get(kind) else {
            return list;
        };
        for name in table.by_version.range(since + 1..).map(|(_, name)| name) {
            let record = table
                .objects
                .get(name)
                .and_then(|history| visible(history, cut));
            let Some(record) = record.filter(|record| record.version > since) else {
                continue;
            };
            list.revision = list.revision.max(record.version);
            list.objects.push(ObjectRow {
                name: name.clone(),
                version: record.version,
                value: Some(STANDARD.encode(record.value.as_slice())),
            });
        }
        list
    }
}

impl KindTable {
    fn put(
        &mut self,
        name: &str,
        version: u64,
        value: Vec<u8>,
        replaced: Option<u64>,
        keep_since: Instant,
    ) {
        if let Some(replaced) = replaced {
            self.by_version.remove(&replaced);
        }
        self.by_version.insert(version, name.to_owned());
        let history = self.objects.entry(name.to_owned()).or_default();
        history.push_back(ValueRecord {
            version,
            at: Instant::now(),
            value: Arc::new(value),
        });
        while history.get(1).is_some_and(|next| next.at <= keep_since) {
            history.pop_front();
        }
        self.changed.notify_waiters();
    }
}

fn visible(history: &VecDeque<ValueRecord>, cut: Instant) -> Option<&ValueRecord> {
    history.iter().rev().find(|record| record.at <= cut)
}

/// The instance list with its past, to be served late.
#[derive(Debug)]
pub struct InstanceTable {
    lag: Duration,
    present: IndexMap<String, InstanceRow>,
    past: VecDeque<(Instant, InstanceList)>,
}

impl InstanceTable {
    /// Starts with rows that every reader sees at once.
    #[must_use]
    pub fn new(lag: Duration, rows: Vec<InstanceRow>) -> Self {
        let mut table = Self {
            lag,
            present: rows.into_iter().map(|row| (row.id.clone(), row)).collect(),
            past: VecDeque::new(),
        };
        table.record();
        table
    }

    /// Changes the lag.
    pub const fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a row.
    pub fn set(&mut self, row: InstanceRow) {
        self.present.insert(row.id.clone(), row);
        self.record();
    }

    /// Removes a row.
    pub fn remove(&mut self, id: &str) {
        self.present.shift_remove(id);
        self.record();
    }

    /// Returns the list as it was one lag ago, or the first there was.
    pub fn list(&mut self) -> InstanceList {
        let now = Instant::now();
        let is_due = |at: &Instant| now.duration_since(*at) >= self.lag;
        while self.past.get(1).is_some_and(|(at, _)| is_due(at)) {
            self.past.pop_front();
        }
        self.past
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn record(&mut self) {
        let list = InstanceList {
            instances: self.present.values().cloned().collect(),
        };
        self.past.push_back((Instant::now(), list));
    }
}

/// A token bucket of calls per second.
#[derive(Debug)]
pub struct CallBucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl CallBucket {
    /// Allows `rate` calls a second and bursts of a tenth of that; 0 allows all.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: Self::depth(rate),
            filled: Instant::now(),
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Returns the time after which one call will be free.
    pub fn take(&mut self) -> Result<(), Duration> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(Self::depth(self.rate));
        self.filled = now;
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn depth(rate: f64) -> f64 {
        (rate / 10.0).max(1.0)
    }
}

/// Calls counted by kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformBooks {
    /// Reads of one object.
    pub read: u64,
    /// Conditional updates.
    pub write: u64,
    /// Listings.
    pub list: u64,
    /// Watches, each wait counted once.
    pub watch: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Calls refused without effect.
    pub refused: u64,
    /// Writes refused because their condition did not hold.
    pub conflicts: u64,
    /// Writes whose answer was lost.
    pub answers_lost: u64,
    /// Writes that took effect after their answer was lost.
    pub delayed_done: u64,
    /// Delayed writes whose condition no longer held.
    pub delayed_dropped: u64,
}
