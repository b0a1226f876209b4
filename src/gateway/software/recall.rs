//! Finds from the store alone which versions served before a daemon listed the targets.
//!
//! After all daemons were lost at once, none remembers where a stream began. The record of the
//! versions and the store's history of entries since then still tell whether a single version
//! has served. If the history no longer reaches back to the record, nothing is concluded.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::gateway::control::ControlInput;
use crate::gateway::daemon::Gateway;
use crate::gateway::peers::hub::PeerRole;
use crate::gateway::software::version_record::VersionRecord;
use crate::gateway::store_follow::RECOVERY_WATCH_WAIT;
use crate::ports::{ObjectVersion, PlatformError, PlatformPort, StoredObject, WatchQuery};
use crate::timer::TimerService;

/// Interval at which a daemon checks whether it has listed the targets.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a call that the store did not answer.
const ERROR_DELAY: Duration = Duration::from_millis(400);

/// What the store tells of the versions that served until now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecalledVersions {
    /// Record of daemons that knew all versions.
    pub record: VersionRecord,
    /// All changes of targets' entries since.
    pub changes: Vec<StoredObject>,
}

/// Recalls the versions after each list of the targets, until the process ends.
///
/// A member leaves that to its hub, which it asks: most of a large fleet are members, and the
/// store's rates do not grow with the fleet.
pub async fn recall_after_lists(gateway: Rc<Gateway>) {
    let timer = TimerService::start();
    let mut checks = timer.every(CHECK_INTERVAL);
    while checks.next().await.is_some() {
        let versions = &gateway.view().versions;
        let has_role = gateway.hubs.borrow().current_role().is_some();
        if !has_role || versions.lists() == 0 || !gateway.is_recalling() {
            continue;
        }
        match recall(&gateway.ports.store, &gateway.ports.schema.target_kind).await {
            Ok(recalled) => gateway.tell_recalled(versions.lists(), recalled),
            // A history that does not reach back to the record never will.
            Err(PlatformError::Refused { reason }) => {
                log::info!("versions that served before are not known: {reason}");
                gateway.tell_recalled(versions.lists(), None);
            }
            Err(error) => {
                log::warn!("versions that served before cannot be read yet: {error}");
                sleep(ERROR_DELAY).await;
            }
        }
    }
}

impl Gateway {
    /// Returns whether this daemon has still to recall versions from the store.
    #[must_use]
    pub fn is_recalling(&self) -> bool {
        let hubs = self.hubs.borrow();
        let is_member = matches!(hubs.current_role(), Some(PeerRole::Member(_)));
        !is_member && self.view().versions.is_recalling()
    }

    fn tell_recalled(&self, lists: u64, recalled: Option<RecalledVersions>) {
        if let Some(RecalledVersions { record, changes }) = &recalled {
            log::info!(
                recorded = record.through.revision(),
                changes = changes.len();
                "versions that served before are known from the store"
            );
        }
        // The control thread runs until the process ends.
        let _ = self
            .control_inputs
            .send(ControlInput::Recalled { lists, recalled });
    }
}

/// Reads the record and all changes of entries since; nothing without a record.
///
/// # Errors
///
/// Returns an error if the store does not answer, its record is not valid, or its history does
/// not reach back to the record.
pub async fn recall(
    store: &PlatformPort,
    target_kind: &str,
) -> Result<Option<RecalledVersions>, PlatformError> {
    let stored = (store.read)(VersionRecord::object()).await?;
    let Some(value) = stored.and_then(|stored| stored.value) else {
        return Ok(None);
    };
    let record = VersionRecord::decode(&value).map_err(|error| PlatformError::Refused {
        reason: format!("their record is not valid ({error}); delete it"),
    })?;
    let changes = read_changes(store, target_kind, record.through).await?;
    Ok(Some(RecalledVersions { record, changes }))
}

// Reads until an answer has no changes: only that shows that none is left.
async fn read_changes(
    store: &PlatformPort,
    target_kind: &str,
    since: ObjectVersion,
) -> Result<Vec<StoredObject>, PlatformError> {
    let mut query = WatchQuery {
        kind: target_kind.to_owned(),
        since: since.0,
        wait: RECOVERY_WATCH_WAIT,
    };
    let mut changes = Vec::new();
    loop {
        let batch = (store.watch)(query.clone()).await?;
        if batch.objects.is_empty() {
            return Ok(changes);
        }
        changes.extend(batch.objects);
        query.since = query.since.max(batch.revision);
    }
}
