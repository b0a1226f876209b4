//! Keeps the record of the versions that have served up to date.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::model::RetryRule;
use crate::gateway::software::resume_period;
use crate::gateway::software::version_record::VersionRecord;
use crate::gateway::store_follow::Feed;
use crate::names::MonoTime;
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError};
use crate::timer::TimerService;

/// Interval at which the record is written. The store may keep its history for no more than some
/// twenty seconds, in which the daemons have to be back as well.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a daemon checks whether it has to write the record.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Daemons that write the record. All but the first write less often, and find the record
/// changed as long as the first one writes it.
const MAX_RECORDERS: u32 = 2;
/// Attempts of a write whose condition did not hold.
const MAX_WRITE_ATTEMPTS: u32 = 2;

/// When this daemon last wrote the record, and what it knows of the stored one.
#[derive(Debug, Default)]
struct VersionRecorder {
    written_at: Option<MonoTime>,
    stored_version: ObjectVersion,
}

/// Writes the record regularly until the process ends, while this daemon is one of those that do.
pub async fn record_regularly(gateway: Rc<Gateway>) {
    let timer = TimerService::start();
    let mut checks = timer.every(CHECK_INTERVAL);
    let mut recorder = VersionRecorder::default();
    while checks.next().await.is_some() {
        let now = clock::mono_now();
        let Some(rank) = gateway.recorder_rank(now) else {
            continue;
        };
        let interval = WRITE_INTERVAL * (rank + 1);
        let is_due = |at| now.since(at) >= interval;
        if !recorder.written_at.is_none_or(is_due) {
            continue;
        }
        if let Some(record) = gateway.version_record(now) {
            recorder.written_at = Some(now);
            recorder.write(&gateway, &record, rank == 0).await;
        }
    }
}

impl VersionRecorder {
    async fn write(&mut self, gateway: &Gateway, record: &VersionRecord, is_first: bool) {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let write = ConditionalWrite {
                object: VersionRecord::object(),
                expected: self.stored_version,
                value: record.encode(),
            };
            let outcome = match (gateway.ports.store.write)(write).await {
                Ok(version) => {
                    self.stored_version = version;
                    "written"
                }
                Err(PlatformError::Conflict { current }) => {
                    self.stored_version = current;
                    "changed"
                }
                Err(error) => {
                    log::warn!("record of versions not written: {error}");
                    "failed"
                }
            };
            metrics::counter!("pistachiowick_version_records_total", "outcome" => outcome)
                .increment(1);
            if outcome != "changed" || !is_first {
                return;
            }
        }
    }
}

impl Gateway {
    fn recorder_rank(&self, now: MonoTime) -> Option<u32> {
        let is_reader = self.watch_mode.get().watches(Feed::Targets) && !self.stopping.get();
        let rank = self.full_view_rank(now).filter(|_| is_reader)?;
        let rank = u32::try_from(rank).ok()?;
        (rank < MAX_RECORDERS).then_some(rank)
    }

    // Returns nothing if this daemon does not know all versions, or no stream can be taken up.
    fn version_record(&self, now: MonoTime) -> Option<VersionRecord> {
        // Read before the view, which may then contain later entries as well.
        let through = self.store_liveness.targets_through()?;
        let view = self.view();
        let routes = view.routes.as_ref()?;
        let covered = resume_period(Some(routes));
        let is_needed = routes.has_retry_rule(RetryRule::ResumableStream);
        if !is_needed || !self.knows_versions(covered, now) {
            return None;
        }
        Some(VersionRecord {
            through: ObjectVersion(through),
            covered,
            served: view.versions.ages(covered, now),
        })
    }
}
