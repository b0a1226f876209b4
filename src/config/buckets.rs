//! Configuration stored in a fixed number of platform objects.
//!
//! Every item belongs to one of [`BUCKETS`] buckets, each an object of the kind
//! [`CONFIG_KIND`]. A workspace and its classes share a bucket, so that one conditional
//! write covers both. A bucket's sequence number increases with each change and becomes
//! the revision of the changed item, so revisions are never reused.

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

/// Number of buckets. It must be the same on all daemons and must never change.
pub const BUCKETS: u16 = 256;

/// Kind of the bucket objects.
pub const CONFIG_KIND: &str = "config";

/// Maximum size of an encoded bucket; the platform stores values of up to 1 MB.
pub const BUCKET_BYTES: usize = 900_000;

/// Time for which a deleted item stays in its bucket.
pub const TOMBSTONE_AGE: Duration = Duration::from_secs(3_600);

const MAX_MARKS: usize = 64;

/// Index of a bucket.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BucketIndex(u16);

impl BucketIndex {
    /// Returns the bucket of an item.
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

    /// Returns the name of the bucket's object.
    #[must_use]
    pub fn object(self) -> ObjectName {
        ObjectName {
            kind: CONFIG_KIND.to_owned(),
            name: format!("bucket-{:03}", self.0),
        }
    }

    /// Returns the bucket's position in a table of [`BUCKETS`] entries.
    #[must_use]
    pub fn position(self) -> usize {
        usize::from(self.0)
    }

    /// Parses the index from an object's name; `None` if it is not a bucket's name.
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

/// Reason why a bucket could not be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BucketError {
    /// The object's name is not a bucket's.
    #[error("config/{0} is not a configuration bucket; remove the object")]
    Name(String),
    /// The value is not an encoded bucket.
    #[error("{object} cannot be decoded ({reason}); restore it or update this daemon")]
    Value {
        /// Kind and name of the object.
        object: String,
        /// Reason why it cannot be decoded.
        reason: String,
    },
}

/// Sequence number of the change with a given mark.
///
/// A mark identifies a change, so that a writer whose answer was lost can find out from
/// the bucket whether its write took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MarkRecord {
    /// Unique mark of the change.
    pub mark: String,
    /// Sequence number of the bucket after the change.
    pub sequence: u64,
}

/// One item in a bucket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketItem {
    /// Sequence number of the bucket at the item's last change.
    pub revision: u64,
    /// Content of the item; `None` once deleted.
    pub spec: Option<ItemSpec>,
    /// Time of the deletion.
    pub deleted_at: Option<UnixTime>,
}

/// A bucket as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BucketRecord {
    /// Sequence number; increases with each change.
    pub sequence: u64,
    /// Marks of the latest changes, oldest first.
    pub marks: Vec<MarkRecord>,
    /// Items by name; deleted ones stay for [`TOMBSTONE_AGE`].
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
                    "{} has revision {}, which exceeds the bucket's sequence number {}",
                    row.item.name, row.revision, wire.sequence
                ));
            }
            let item = BucketItem {
                revision: row.revision,
                spec: row.spec,
                deleted_at: row.deleted_at_ms.map(UnixTime),
            };
            if items.insert(row.item, item).is_some() {
                return Err("an item occurs twice in the bucket".to_owned());
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
    /// Decodes a bucket from an object; an object that was never written is an empty bucket.
    ///
    /// # Errors
    ///
    /// Fails if the value is not an encoded bucket, or if the object was deleted: a bucket
    /// restarted from sequence number 0 would assign old revisions again.
    pub fn decode(stored: &StoredObject) -> Result<Self, BucketError> {
        let refuse = |reason: String| BucketError::Value {
            object: format!("{}/{}", stored.object.kind, stored.object.name),
            reason,
        };
        let Some(value) = &stored.value else {
            return match stored.version {
                ObjectVersion(0) => Ok(Self::default()),
                _ => Err(refuse("the object was deleted".to_owned())),
            };
        };
        let wire: BucketWire = serde_json::from_slice(value).map_err(|e| refuse(e.to_string()))?;
        Self::try_from(wire).map_err(refuse)
    }

    /// Encodes the bucket as the value of its object.
    ///
    /// # Errors
    ///
    /// Fails if the bucket cannot be encoded or exceeds [`BUCKET_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, ChangeError> {
        let value =
            serde_json::to_vec(&BucketWire::from(self)).map_err(|e| ChangeError::Invalid {
                reason: format!("the item cannot be encoded as JSON ({e}); correct its text"),
            })?;
        if value.len() > BUCKET_BYTES {
            return Err(ChangeError::Invalid {
                reason: format!(
                    "the item's bucket would have {} bytes, but at most {BUCKET_BYTES} are \
                     allowed; shorten or delete items of this workspace",
                    value.len()
                ),
            });
        }
        Ok(value)
    }

    /// Returns the sequence number of the change with this mark, if the mark is still listed.
    #[must_use]
    pub fn sequence_of(&self, mark: &str) -> Option<u64> {
        let record = self.marks.iter().rev().find(|m| m.mark == mark)?;
        Some(record.sequence)
    }

    /// Returns whether the marks of all changes after `sequence` are still listed.
    #[must_use]
    pub fn lists_all_since(&self, sequence: u64) -> bool {
        let oldest = self.marks.first().map_or(0, |m| m.sequence);
        oldest <= sequence + 1
    }
}

/// Returns the bucket with a change applied.
///
/// # Errors
///
/// Fails if the item has changed since the revision that the change is based on, or if the
/// changed item is invalid.
pub fn edit(
    bucket: &BucketRecord,
    view: &ConfigView,
    change: &ItemChange,
    mark: &str,
    now: UnixTime,
) -> Result<BucketRecord, ChangeError> {
    check_revision(bucket, change)?;
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
    let surplus = next.marks.len().saturating_sub(MAX_MARKS);
    next.marks.drain(..surplus);
    Ok(next)
}

fn check_revision(bucket: &BucketRecord, change: &ItemChange) -> Result<(), ChangeError> {
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
        .unwrap_or_else(|| "deleted or never created".to_owned());
    Err(ChangeError::Conflict { current, found })
}

/// Result of applying an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The object was newer and changed these items.
    Changed(Vec<ItemName>),
    /// The object had already been applied or is older than the applied one.
    Known,
}

#[derive(Clone, Debug)]
struct AppliedBucket {
    stored: StoredObject,
    sequence: u64,
    names: IndexSet<ItemName>,
}

/// The configuration that this daemon has applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    buckets: IndexMap<BucketIndex, AppliedBucket>,
    view: Arc<ConfigView>,
}

impl ConfigState {
    /// Returns the applied configuration.
    #[must_use]
    pub fn view(&self) -> &Arc<ConfigView> {
        &self.view
    }

    /// Returns the applied version of a bucket; 0 if none was applied.
    #[must_use]
    pub fn version_of(&self, bucket: BucketIndex) -> ObjectVersion {
        self.buckets
            .get(&bucket)
            .map_or(ObjectVersion(0), |applied| applied.stored.version)
    }

    /// Returns the applied objects, for daemons that receive updates from this one.
    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.buckets.values().map(|applied| &applied.stored)
    }

    /// Applies an object if it is newer than the applied one.
    ///
    /// Objects from listings, watches, peers and this daemon's own changes arrive in any
    /// order; without the comparison an item would revert until the next watch answer.
    /// Comparing versions suffices because they increase with every write.
    ///
    /// # Errors
    ///
    /// Fails if the object is not a valid bucket; the applied configuration then stays.
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
                "{} reverts to an older state at version {}",
                stored.object.name, stored.version.0
            )
        });
        if !advances {
            return Ok(ApplyResult::Known);
        }
        let changed = self.update_view(index, &bucket);
        let applied = AppliedBucket {
            stored: stored.clone(),
            sequence: bucket.sequence,
            names: bucket.items.keys().cloned().collect(),
        };
        self.buckets.insert(index, applied);
        Ok(ApplyResult::Changed(changed))
    }

    fn advances(&self, index: BucketIndex, bucket: &BucketRecord) -> bool {
        let sequence = self
            .buckets
            .get(&index)
            .map_or(0, |applied| applied.sequence);
        let rises = bucket.items.iter().all(|(name, item)| {
            let known = self.view.items.get(name);
            known.is_none_or(|k| {
                item.revision > k.revision || (item.revision == k.revision && item.spec == k.spec)
            })
        });
        bucket.sequence >= sequence && rises
    }

    fn update_view(&mut self, index: BucketIndex, bucket: &BucketRecord) -> Vec<ItemName> {
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
        let names = self
            .buckets
            .get(&index)
            .map(|applied| applied.names.clone());
        for name in names.unwrap_or_default() {
            if !bucket.items.contains_key(&name) {
                let record = self.missing_record(&name, bucket.sequence);
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

    // Returns the record of an item that is no longer in its bucket. If this daemon was
    // disconnected until the tombstone expired, users of the view still have to see the
    // deletion; an item already recorded as deleted is removed.
    fn missing_record(&self, name: &ItemName, sequence: u64) -> Option<ItemRecord> {
        let known = self.view.items.get(name)?;
        known.spec.as_ref()?;
        Some(ItemRecord {
            revision: sequence,
            spec: None,
        })
    }
}
