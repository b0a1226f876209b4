//! Configuration in the control thread: applies received objects, runs operators' changes
//! and collects confirmations from the other daemons.

use std::time::Duration;

use crate::clock;
use crate::config::buckets::{ApplyResult, BucketIndex};
use crate::config::catalogue::ItemName;
use crate::config::store::{self, ChangeRequest, ChangeRetryPolicy};
use crate::control::feeds::{ChangeReply, FeedEvent};
use crate::control::state::ControlState;
use crate::control::{ChangeError, ChangeReport, ItemChange};
use crate::membership::fleet::UseState;
use crate::names::{DaemonId, MonoTime};
use crate::ports::{ObjectVersion, StoredObject};
use crate::requests::journal::DecisionKind;

const MAX_CHANGES: usize = 64;
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// A stored change that waits for confirmations from the other daemons.
pub(crate) struct PendingConfirmation {
    bucket: String,
    version: ObjectVersion,
    revision: u64,
    reply: ChangeReply,
    expires_at: MonoTime,
}

impl ControlState {
    pub(crate) fn apply_config(
        &mut self,
        objects: &[StoredObject],
        complete: bool,
        from: Option<&DaemonId>,
    ) {
        let mut readable = true;
        let mut updates = Vec::new();
        for stored in objects {
            match self.apply_bucket(stored) {
                Some(true) => updates.push(stored.clone()),
                Some(false) => {}
                None => readable = false,
            }
        }
        if !updates.is_empty() {
            self.peers.relay(from, &updates);
        }
        if complete && readable && !self.config_complete {
            self.config_complete = true;
            let items = self.config.view().items.len();
            log::info!(items; "complete configuration received");
        }
        let holds = &self.config.view().holds;
        self.membership.set_holds(holds);
    }

    // Returns whether the bucket was newer than the applied one, or `None` if it could not
    // be decoded.
    pub(crate) fn apply_bucket(&mut self, stored: &StoredObject) -> Option<bool> {
        match self.config.apply(stored) {
            Ok(ApplyResult::Known) => Some(false),
            Ok(ApplyResult::Changed(names)) => {
                metrics::counter!("pistachiowick_config_applied_total").increment(1);
                if self.config_complete {
                    self.record_applied_items(&names, stored.version.0);
                }
                self.peers.record_applied(stored, clock::mono_now());
                Some(true)
            }
            Err(error) => {
                metrics::counter!("pistachiowick_config_unreadable_total").increment(1);
                log::error!("configuration object was not applied: {error}");
                None
            }
        }
    }

    pub(crate) fn record_applied_items(&self, names: &[ItemName], version: u64) {
        for name in names {
            let reason = format!("applied by this daemon at version {version}");
            self.inputs
                .journal
                .record(DecisionKind::Config, &name.name, reason);
        }
    }

    pub(crate) fn start_change(&mut self, change: ItemChange, reply: ChangeReply) {
        if self.running_changes >= MAX_CHANGES {
            let error = ChangeError::Unavailable {
                reason: format!("{MAX_CHANGES} changes are already in progress"),
            };
            let _ = reply.send(Err(error));
            return;
        }
        self.running_changes += 1;
        self.change_count += 1;
        let settings = &self.inputs.settings;
        let mark = format!(
            "{}-{}-{}",
            settings.daemon_id, self.inputs.incarnation.0, self.change_count
        );
        let (platform, feeds) = (self.inputs.platform.clone(), self.feeds.clone());
        let (view, locks) = (self.config.view().clone(), self.bucket_locks.clone());
        let index = BucketIndex::of(&change.item);
        let applied = self.config.version_of(index);
        tokio::spawn(async move {
            // Serializes this daemon's changes to a bucket: concurrent conditional writes
            // would only make each other fail.
            let _guard = locks[index.position()].lock().await;
            let request = ChangeRequest {
                change: &change,
                mark: &mark,
                view: &view,
                applied,
            };
            let policy = ChangeRetryPolicy::default();
            let result = store::run_change(&platform, request, policy).await;
            let result = result.map(|done| (done.revision, done.stored));
            let _ = feeds.send(FeedEvent::Changed {
                change,
                result,
                reply,
            });
        });
    }

    pub(crate) fn finish_change(
        &mut self,
        change: &ItemChange,
        result: Result<(u64, StoredObject), ChangeError>,
        reply: ChangeReply,
    ) {
        self.running_changes -= 1;
        match result {
            Ok((revision, stored)) => self.await_confirmations(revision, stored, reply),
            Err(error) => {
                let reason = error.to_string();
                self.inputs
                    .journal
                    .record(DecisionKind::Config, &change.item.name, reason);
                let _ = reply.send(Err(error));
            }
        }
    }

    // Applies the change on this daemon before any caller learns that it was accepted.
    fn await_confirmations(&mut self, revision: u64, stored: StoredObject, reply: ChangeReply) {
        let (bucket, version) = (stored.object.name.clone(), stored.version);
        self.apply_config(&[stored], false, None);
        self.publish();
        let now = clock::mono_now();
        self.peers.send_hint(self.stopping, now);
        self.confirmations.push(PendingConfirmation {
            bucket,
            version,
            revision,
            reply,
            expires_at: now.plus(CONFIRMATION_TIMEOUT),
        });
        self.answer_confirmed_changes(now);
    }

    /// Answers changes that all daemons in `peer_ids` have confirmed or whose wait
    /// has expired; while no peer is reachable, answers all at once.
    pub(crate) fn answer_confirmed_changes(&mut self, now: MonoTime) {
        for pending in std::mem::take(&mut self.confirmations) {
            let peer_ids = self.peer_ids();
            let confirmed = self.peers.confirmed(&pending.bucket, pending.version);
            let (confirmed_by, unconfirmed): (Vec<String>, Vec<String>) = peer_ids
                .into_iter()
                .partition(|id| confirmed.contains(&DaemonId::from(id.as_str())));
            let keep_waiting = self.peers.has_reachable_peer() && now < pending.expires_at;
            if !unconfirmed.is_empty() && keep_waiting {
                self.confirmations.push(pending);
                continue;
            }
            let report = ChangeReport {
                revision: pending.revision,
                confirmed: u32::try_from(confirmed_by.len() + 1).unwrap_or(u32::MAX),
                unconfirmed,
            };
            let _ = pending.reply.send(Ok(report));
        }
    }

    pub(crate) fn peer_ids(&self) -> Vec<String> {
        let local_id = &self.inputs.settings.daemon_id;
        let daemons = self.membership.fleet().daemons.values();
        daemons
            .filter(|d| d.id != *local_id && d.state < UseState::Leaving)
            .map(|d| d.id.to_string())
            .collect()
    }
}
