//! Stores an operator's change on the platform.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::clock;
use crate::config::buckets::{self, BucketIndex, BucketRecord};
use crate::control::snapshot::ConfigView;
use crate::control::{ChangeError, ItemChange};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, PlatformPort, StoredObject};

/// Retry policy of a change.
#[derive(Clone, Copy, Debug)]
pub struct ChangeRetryPolicy {
    /// Time after which no further attempt is started.
    pub total: Duration,
    /// Minimum wait between attempts.
    pub pause: Duration,
}

impl Default for ChangeRetryPolicy {
    fn default() -> Self {
        Self {
            total: Duration::from_secs(5),
            pause: Duration::from_millis(50),
        }
    }
}

/// A change that the platform has stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredChange {
    /// Revision of the item after the change.
    pub revision: u64,
    /// Bucket as last read or written, including the change.
    pub stored: StoredObject,
}

// A write whose answer was lost: it may have taken effect or may still do so later.
#[derive(Clone, Debug)]
struct LostWrite {
    expected: ObjectVersion,
    bucket: BucketRecord,
    reason: String,
}

enum WriteOutcome {
    Applied(u64),
    NotApplied,
    Unresolved,
    MarkExpired,
}

struct BucketRead {
    version: ObjectVersion,
    bucket: BucketRecord,
    stored: StoredObject,
}

/// A change to store.
#[derive(Clone, Copy, Debug)]
pub struct ChangeRequest<'a> {
    /// Requested change.
    pub change: &'a ItemChange,
    /// Unique mark of the change.
    pub mark: &'a str,
    /// Configuration applied here, for checks against other buckets.
    pub view: &'a ConfigView,
    /// Version of the bucket applied here; a read of an older version is stale.
    pub applied: ObjectVersion,
}

#[derive(Default)]
struct ChangeProgress {
    lost: Option<LostWrite>,
    newest: ObjectVersion,
    stale_conflict: Option<ChangeError>,
}

enum AttemptFailure {
    Final(ChangeError),
    Retry { reason: String, pause: Duration },
}

/// Reads, edits and conditionally writes a bucket until the change is stored or refused.
///
/// # Errors
///
/// Returns a [`ChangeError`]; after `Unknown` the change may have been stored, after any
/// other error it was not.
pub async fn run_change(
    platform: &PlatformPort,
    request: ChangeRequest<'_>,
    policy: ChangeRetryPolicy,
) -> Result<StoredChange, ChangeError> {
    let deadline = Instant::now() + policy.total;
    let mut progress = ChangeProgress {
        newest: request.applied,
        ..ChangeProgress::default()
    };
    let mut last_reason = "the bucket was changed by others on every attempt".to_owned();
    while Instant::now() < deadline {
        match attempt(platform, request, &mut progress).await {
            Ok(stored) => return Ok(stored),
            Err(AttemptFailure::Final(error)) => {
                return Err(final_error(progress.lost.as_ref(), error));
            }
            Err(AttemptFailure::Retry { reason, pause }) => {
                last_reason = reason;
                sleep(pause.max(policy.pause).min(policy.total)).await;
            }
        }
    }
    Err(timeout_error(progress, last_reason))
}

async fn attempt(
    platform: &PlatformPort,
    request: ChangeRequest<'_>,
    progress: &mut ChangeProgress,
) -> Result<StoredChange, AttemptFailure> {
    let index = BucketIndex::of(&request.change.item);
    let found = read_bucket(platform, index).await?;
    // A stale read: a conflict or this daemon's view has shown a newer version.
    if found.version < progress.newest {
        return Err(retry(
            "a read returned an older version than the applied one",
        ));
    }
    progress.newest = found.version;
    if let Some(write) = &progress.lost {
        match lost_write_outcome(write, &found, request.mark) {
            WriteOutcome::Applied(revision) => {
                let stored = found.stored;
                return Ok(StoredChange { revision, stored });
            }
            WriteOutcome::NotApplied => progress.lost = None,
            WriteOutcome::Unresolved => {}
            WriteOutcome::MarkExpired => return Err(AttemptFailure::Final(unknown_outcome(write))),
        }
    }
    let next = match &progress.lost {
        Some(write) => write.bucket.clone(),
        None => edit(request, &found, progress)?,
    };
    write_bucket(platform, index, found.version, next, progress).await
}

fn edit(
    request: ChangeRequest<'_>,
    found: &BucketRead,
    progress: &mut ChangeProgress,
) -> Result<BucketRecord, AttemptFailure> {
    let ChangeRequest {
        change, mark, view, ..
    } = request;
    let next = buckets::edit(&found.bucket, view, change, mark, clock::unix_now());
    match next {
        // The change is based on a newer revision than this read returned: the read is
        // stale, so it does not prove a conflict.
        Err(error @ ChangeError::Conflict { current, .. }) if current < change.based_on => {
            progress.stale_conflict = Some(error);
            Err(retry(
                "a read returned an older revision than the change is based on",
            ))
        }
        other => other.map_err(AttemptFailure::Final),
    }
}

/// Determines the outcome of a lost write from a later read.
///
/// A read without the mark does not prove that nothing was written: the write may still be
/// in transit. It can take effect only on the version it expects, so a newer version
/// without the mark rules it out, if the marks of all changes since are still listed. While
/// the version is unchanged, the same write is sent again; whichever of the
/// two takes effect first makes the other one fail.
fn lost_write_outcome(write: &LostWrite, found: &BucketRead, mark: &str) -> WriteOutcome {
    if let Some(sequence) = found.bucket.sequence_of(mark) {
        return WriteOutcome::Applied(sequence);
    }
    if found.version == write.expected {
        return WriteOutcome::Unresolved;
    }
    let before = write.bucket.sequence.saturating_sub(1);
    if found.bucket.lists_all_since(before) {
        return WriteOutcome::NotApplied;
    }
    WriteOutcome::MarkExpired
}

async fn read_bucket(
    platform: &PlatformPort,
    index: BucketIndex,
) -> Result<BucketRead, AttemptFailure> {
    let object = index.object();
    let read = (platform.read)(object.clone()).await;
    let stored = read.map_err(|error| retry_on(&error))?;
    let stored = stored.unwrap_or(StoredObject {
        object,
        version: ObjectVersion(0),
        value: None,
    });
    let bucket = BucketRecord::decode(&stored).map_err(|error| {
        AttemptFailure::Final(ChangeError::Invalid {
            reason: error.to_string(),
        })
    })?;
    Ok(BucketRead {
        version: stored.version,
        bucket,
        stored,
    })
}

async fn write_bucket(
    platform: &PlatformPort,
    index: BucketIndex,
    expected: ObjectVersion,
    bucket: BucketRecord,
    progress: &mut ChangeProgress,
) -> Result<StoredChange, AttemptFailure> {
    let value = bucket.encode().map_err(AttemptFailure::Final)?;
    let object = index.object();
    let write = ConditionalWrite {
        object: object.clone(),
        expected,
        value: value.clone(),
    };
    match (platform.write)(write).await {
        Ok(version) => Ok(StoredChange {
            revision: bucket.sequence,
            stored: StoredObject {
                object,
                version,
                value: Some(value),
            },
        }),
        Err(PlatformError::Conflict { current }) => {
            progress.newest = current.max(progress.newest);
            Err(retry("the bucket changed between read and write"))
        }
        Err(PlatformError::Refused { reason }) => {
            Err(AttemptFailure::Final(ChangeError::Invalid { reason }))
        }
        Err(error @ PlatformError::Lost { .. }) => {
            let reason = error.to_string();
            progress.lost = Some(LostWrite {
                expected,
                bucket,
                reason,
            });
            Err(retry_on(&error))
        }
        Err(error @ PlatformError::Unavailable { .. }) => Err(retry_on(&error)),
    }
}

fn retry(reason: &str) -> AttemptFailure {
    AttemptFailure::Retry {
        reason: reason.to_owned(),
        pause: Duration::ZERO,
    }
}

fn retry_on(error: &PlatformError) -> AttemptFailure {
    let pause = match error {
        PlatformError::Unavailable { retry_after, .. } => *retry_after,
        _ => Duration::ZERO,
    };
    AttemptFailure::Retry {
        reason: error.to_string(),
        pause,
    }
}

// While the outcome of a lost write is open, no other error may be returned, since those
// state that nothing was written.
fn final_error(lost: Option<&LostWrite>, error: ChangeError) -> ChangeError {
    lost.map_or(error, unknown_outcome)
}

fn unknown_outcome(write: &LostWrite) -> ChangeError {
    ChangeError::Unknown {
        reason: write.reason.clone(),
    }
}

fn timeout_error(progress: ChangeProgress, last_reason: String) -> ChangeError {
    if let Some(write) = &progress.lost {
        return unknown_outcome(write);
    }
    progress.stale_conflict.unwrap_or(ChangeError::Unavailable {
        reason: last_reason,
    })
}
