//! Configuration in a bounded number of platform objects.
//!
//! Every item belongs to one of [`BUCKETS`] buckets, each an object of the kind
//! [`CONFIG_KIND`]. A workspace and its classes share a bucket, so that one
//! conditional update decides over both. A bucket's sequence rises with each change
//! and gives the changed item its revision, which is therefore never reused.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::catalogue::{ItemKind, ItemName, ItemSpec};
use crate::config::checks;
use crate::config::view;
use crate::control::snapshot::{ConfigView, ItemRecord};
use crate::control::{ChangeError, ItemChange};
use crate::invariants::{self, Invariant};
use crate::names::UnixTime;
use crate::ports::{ObjectName, ObjectVersion, StoredObject};

/// Number of buckets. The same on every daemon, for good.
pub const BUCKETS: u16 = 256;

/// Kind of the bucket objects.
pub const CONFIG_KIND: &str = "config";

/// Largest encoded bucket; the platform holds values up to a megabyte.
pub const BUCKET_BYTES: usize = 900_000;

/// How long a deletion stays visible in its bucket.
pub const TOMBSTONE_AGE: Duration = Duration::from_secs(3_600);

const RECENT_MARKS: usize = 64;

/// Number of a bucket.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BucketIndex(u16);

impl BucketIndex {
    /// Returns the bucket that holds an item.
    #[must_use]
    pub fn of(item: &ItemName) -> Self {
        let name = item.name.as_str();
        let hash = match item.kind {
            ItemKind::Class => xxh3_64(workspace_part(name).as_bytes()),
            ItemKind::Workspace => xxh3_64(name.as_bytes()),
            ItemKind::Hold => xxh3_64(format!("hold:{name}").as_bytes()),
            ItemKind::Model => xxh3_64(format!("model:{name}").as_bytes()),
        };
        let index = hash % u64::from(BUCKETS);
        Self(u16::try_from(index).unwrap_or_default())
    }

    /// Returns the bucket's object.
    #[must_use]
    pub fn object(self) -> ObjectName {
        ObjectName {
            kind: CONFIG_KIND.to_owned(),
            name: format!("bucket-{:03}", self.0),
        }
    }

    /// Returns the position of the bucket in a table of [`BUCKETS`] entries.
    #[must_use]
    pub fn position(self) -> usize {
        usize::from(self.0)
    }

    /// Reads the number from an object's name.
    #[must_use]
    pub fn from_object(object: &ObjectName) -> Option<Self> {
        let digits = object.name.strip_prefix("bucket-")?;
        let index: u16 = digits.parse().ok()?;
        (index < BUCKETS).then_some(Self(index))
    }
}

fn workspace_part(class: &str) -> &str {
    class
        .split_once('/')
        .map_or(class, |(workspace, _)| workspace)
}

/// Why a bucket could not be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BucketError {
    /// The object is none of the buckets.
    #[error("config/{0} is no bucket; remove the object")]
    Name(String),
    /// The value is not a bucket's.
    #[error("{object} cannot be read ({reason}); restore it or update this daemon")]
    Value {
        /// Object concerned.
        object: String,
        /// What is wrong.
        reason: String,
    },
}

/// Remembers which change a writer's mark belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MarkRecord {
    /// Unique mark of the writer's attempt.
    pub mark: String,
    /// Sequence the change took.
    pub sequence: u64,
}

/// One item in a bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketItem {
    /// Sequence of the bucket at the item's last change.
    pub revision: u64,
    /// The item; `None` once deleted.
    pub spec: Option<ItemSpec>,
    /// When it was deleted.
    pub deleted_at: Option<UnixTime>,
}

/// A bucket as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BucketRecord {
    /// Rises with each change.
    pub sequence: u64,
    /// Marks of the newest changes, oldest first.
    pub marks: Vec<MarkRecord>,
    /// Items by name, deleted ones for a while.
    pub items: IndexMap<ItemName, BucketItem>,
}

#[derive(Deserialize, Serialize)]
struct ItemWire {
    item: ItemName,
    revision: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<ItemSpec>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    deleted_at_ms: Option<u64>,
}

#[derive(Deserialize, Serialize)]
struct BucketWire {
    sequence: u64,
    marks: Vec<MarkRecord>,
    items: Vec<ItemWire>,
}

impl From<&BucketRecord> for BucketWire {
    fn from(bucket: &BucketRecord) -> Self {
        let items = bucket.items.iter().map(|(name, item)| ItemWire {
            item: name.clone(),
            revision: item.revision,
            spec: item.spec.clone(),
            deleted_at_ms: item.deleted_at.map(|at| at.0),
        });
        Self {
            sequence: bucket.sequence,
            marks: bucket.marks.clone(),
            items: items.collect(),
        }
    }
}

impl TryFrom<BucketWire> for BucketRecord {
    type Error = String;

    fn try_from(wire: BucketWire) -> Result<Self, Self::Error> {
        let mut items = IndexMap::with_capacity(wire.items.len());
        for row in wire.items {
            if row.revision > wire.sequence {
                return Err(format!(
                    "{} has revision {} past the bucket's sequence {}",
                    row.item.name, row.revision, wire.sequence
                ));
            }
            let item = BucketItem {
                revision: row.revision,
                spec: row.spec,
                deleted_at: row.deleted_at_ms.map(UnixTime),
            };
            if items.insert(row.item, item).is_some() {
                return Err("an item stands in it twice".to_owned());
            }
        }
        Ok(Self {
            sequence: wire.sequence,
            marks: wire.marks,
            items,
        })
    }
}

impl BucketRecord {
    /// Reads a bucket from an object; one never written is an empty bucket.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a bucket's. A deleted object is an error as well:
    /// started anew, its sequence would give out old revisions a second time.
    pub fn decode(stored: &StoredObject) -> Result<Self, BucketError> {
        let refuse = |reason: String| BucketError::Value {
            object: format!("{}/{}", stored.object.kind, stored.object.name),
            reason,
        };
        let Some(value) = &stored.value else {
            return match stored.version {
                ObjectVersion(0) => Ok(Self::default()),
                _ => Err(refuse("it was deleted".to_owned())),
            };
        };
        let wire: BucketWire = serde_json::from_slice(value).map_err(|e| refuse(e.to_string()))?;
        Self::try_from(wire).map_err(refuse)
    }

    /// Returns the value to store.
    ///
    /// # Errors
    ///
    /// Fails when the bucket is larger than an object may be.
    pub fn encode(&self) -> Result<Vec<u8>, ChangeError> {
        let value =
            serde_json::to_vec(&BucketWire::from(self)).map_err(|e| ChangeError::Invalid {
                reason: format!("the item cannot be written as JSON ({e}); correct its text"),
            })?;
        if value.len() > BUCKET_BYTES {
            return Err(ChangeError::Invalid {
                reason: format!(
                    "the item's bucket would take {} bytes of at most {BUCKET_BYTES}; shorten or \
                     delete items of this workspace",
                    value.len()
                ),
            });
        }
        Ok(value)
    }

    /// Returns the sequence taken by the change with this mark, if it is remembered.
    #[must_use]
    pub fn sequence_of(&self, mark: &str) -> Option<u64> {
        let record = self.marks.iter().rev().find(|m| m.mark == mark)?;
        Some(record.sequence)
    }

    /// Tells whether every change after `sequence` is still remembered by its mark.
    #[must_use]
    pub fn remembers_since(&self, sequence: u64) -> bool {
        let oldest = self.marks.first().map_or(0, |m| m.sequence);
        oldest <= sequence + 1
    }
}

/// Returns the bucket after a change.
///
/// # Errors
///
/// Fails when the item moved since the change was made, or would not hold together.
pub fn edit(
    bucket: &BucketRecord,
    view: &ConfigView,
    change: &ItemChange,
    mark: &str,
    now: UnixTime,
) -> Result<BucketRecord, ChangeError> {
    check_base(bucket, change)?;
    checks::check_change(bucket, view, change)?;
    let mut next = bucket.clone();
    next.sequence += 1;
    let item = BucketItem {
        revision: next.sequence,
        spec: change.spec.clone(),
        deleted_at: change.spec.is_none().then_some(now),
    };
    next.items.insert(change.item.clone(), item);
    next.items
        .retain(|_, i| i.deleted_at.is_none_or(|at| now.since(at) < TOMBSTONE_AGE));
    next.marks.push(MarkRecord {
        mark: mark.to_owned(),
        sequence: next.sequence,
    });
    let surplus = next.marks.len().saturating_sub(RECENT_MARKS);
    next.marks.drain(..surplus);
    Ok(next)
}

fn check_base(bucket: &BucketRecord, change: &ItemChange) -> Result<(), ChangeError> {
    let item = bucket.items.get(&change.item);
    let current = item.map_or(0, |i| i.revision);
    let deleted = item.is_none_or(|i| i.spec.is_none());
    let created = deleted && change.based_on == 0 && change.spec.is_some();
    if created || (change.based_on == current && current != 0) {
        return Ok(());
    }
    let found = item
        .and_then(|i| i.spec.as_ref())
        .and_then(|spec| serde_json::to_string(spec).ok())
        .unwrap_or_else(|| "deleted or never made".to_owned());
    Err(ChangeError::Conflict { current, found })
}

/// What applying an object did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The object is newer; these items changed.
    Changed(Vec<ItemName>),
    /// The object is one already applied, or older.
    Known,
}

#[derive(Clone, Debug)]
struct BucketSeen {
    stored: StoredObject,
    sequence: u64,
    names: IndexSet<ItemName>,
}

/// The configuration that this daemon has applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    buckets: IndexMap<BucketIndex, BucketSeen>,
    view: Arc<ConfigView>,
}

impl ConfigState {
    /// Returns the configuration in force.
    #[must_use]
    pub fn view(&self) -> &Arc<ConfigView> {
        &self.view
    }

    /// Returns the version applied of a bucket; 0 for none.
    #[must_use]
    pub fn version_of(&self, bucket: BucketIndex) -> ObjectVersion {
        self.buckets
            .get(&bucket)
            .map_or(ObjectVersion(0), |seen| seen.stored.version)
    }

    /// Returns the objects applied, for daemons that are fed by this one.
    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.buckets.values().map(|seen| &seen.stored)
    }

    /// Applies an object if it is newer than the one applied.
    ///
    /// Objects arrive from listings, watches, peers and own changes in any order;
    /// without the comparison an item would go back until the next watch answer.
    /// The platform's versions rise with every write, which is why they suffice.
    ///
    /// # Errors
    ///
    /// Fails when the object is no readable bucket; what was applied stays in force.
    pub fn apply(&mut self, stored: &StoredObject) -> Result<ApplyResult, BucketError> {
        let index = BucketIndex::from_object(&stored.object)
            .ok_or_else(|| BucketError::Name(stored.object.name.clone()))?;
        if stored.version <= self.version_of(index) {
            return Ok(ApplyResult::Known);
        }
        let bucket = BucketRecord::decode(stored)?;
        let advances = self.advances(index, &bucket);
        invariants::check(advances, Invariant::ConfigNeverReverts, || {
            format!(
                "{} goes back at version {}",
                stored.object.name, stored.version.0
            )
        });
        if !advances {
            return Ok(ApplyResult::Known);
        }
        let changed = self.install(index, &bucket);
        let seen = BucketSeen {
            stored: stored.clone(),
            sequence: bucket.sequence,
            names: bucket.items.keys().cloned().collect(),
        };
        self.buckets.insert(index, seen);
        Ok(ApplyResult::Changed(changed))
    }

    fn advances(&self, index: BucketIndex, bucket: &BucketRecord) -> bool {
        let sequence = self.buckets.get(&index).map_or(0, |seen| seen.sequence);
        let rises = bucket.items.iter().all(|(name, item)| {
            let known = self.view.items.get(name);
            known.is_none_or(|k| {
                item.revision > k.revision || (item.revision == k.revision && item.spec == k.spec)
            })
        });
        bucket.sequence >= sequence && rises
    }

    fn install(&mut self, index: BucketIndex, bucket: &BucketRecord) -> Vec<ItemName> {
        let mut changes = Vec::new();
        for (name, item) in &bucket.items {
            let known = self.view.items.get(name).map(|k| k.revision);
            if known != Some(item.revision) {
                let record = ItemRecord {
                    revision: item.revision,
                    spec: item.spec.clone(),
                };
                changes.push((name.clone(), Some(record)));
            }
        }
        let names = self.buckets.get(&index).map(|seen| seen.names.clone());
        for name in names.unwrap_or_default() {
            if !bucket.items.contains_key(&name) {
                let record = self.vanished(&name, bucket.sequence);
                changes.push((name, record));
            }
        }
        if changes.is_empty() {
            return Vec::new();
        }
        let view = Arc::make_mut(&mut self.view);
        for (name, record) in &changes {
            view::set_item(view, name, record.clone());
        }
        changes.into_iter().map(|(name, _)| name).collect()
    }

    // An item whose tombstone expired while this daemon was cut off still has to be
    // seen as deleted by those who follow the view; one already deleted is forgotten.
    fn vanished(&self, name: &ItemName, sequence: u64) -> Option<ItemRecord> {
        let known = self.view.items.get(name)?;
        known.spec.as_ref()?;
        Some(ItemRecord {
            revision: sequence,
            spec: None,
        })
    }
}
