//! Keeps quarantined suspects as records in the store, so that the quarantine survives a failure of
//! all daemons at once. A starting daemon lists these records.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::sleep;

use crate::clock;
use crate::crashes::suspect::SuspectKey;
use crate::gateway::daemon::Gateway;
use crate::gateway::quarantine::records::QuarantineRecord;
use crate::gateway::store_follow::Feed;
use crate::names::MonoTime;
use crate::ports::{ConditionalWrite, ObjectName, ObjectVersion, PlatformError, StoredObject};
use crate::timer::TimerService;

/// Interval at which the evidence is reviewed and quarantined suspects are compared with their
/// records in the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay per rank before a daemon writes a record, so that usually only the daemon with the
/// lowest rank does.
const WRITE_STAGGER: Duration = Duration::from_secs(1);
/// Delay after a request that the store did not answer.
const ERROR_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the store is checked for work that an operator released, while any is
/// quarantined.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// What is known of the store's record of one quarantined suspect.
#[derive(Clone, Debug)]
struct StoredQuarantine {
    route: String,
    quarantined_at: MonoTime,
    // Number of crashes in the record; 0 if there is none.
    crashes: usize,
}

/// Tracks which quarantined suspects have a record in the store.
#[derive(Clone, Debug, Default)]
pub struct QuarantineStore {
    suspects: IndexMap<SuspectKey, StoredQuarantine>,
    listed_at: Option<MonoTime>,
    pub(super) reachable_since: Option<MonoTime>,
}

/// Loads quarantined suspects from the store and keeps its records up to date.
///
/// A daemon that gets the store's contents from a hub receives crash reports from there and
/// does not load them itself.
pub async fn run(gateway: Rc<Gateway>) {
    let timer = TimerService::start();
    let mut ticks = timer.every(CHECK_INTERVAL);
    let mut loaded = false;
    while ticks.next().await.is_some() {
        gateway.review_crashes();
        let needs_load = !loaded && gateway.watch_mode.get().watches(Feed::Targets);
        let result = if needs_load {
            gateway.load_quarantine().await
        } else {
            gateway.save_quarantine().await
        };
        loaded |= needs_load && result.is_ok();
        if result.is_err() {
            sleep(ERROR_DELAY).await;
        }
    }
}

impl Gateway {
    /// Notes that a suspect is quarantined, and that its record is not known to be in the store.
    pub(super) fn note_quarantine(&self, suspect: SuspectKey, route: &str) {
        let stored_quarantine = StoredQuarantine {
            route: route.to_owned(),
            quarantined_at: clock::mono_now(),
            crashes: 0,
        };
        let mut quarantine = self.quarantine.borrow_mut();
        let entry = quarantine.suspects.entry(suspect);
        entry.or_insert(stored_quarantine);
    }

    fn quarantine_object(&self, suspect: SuspectKey) -> ObjectName {
        ObjectName {
            kind: self.ports.schema.quarantine_kind.clone(),
            name: suspect.digest().to_string(),
        }
    }

    async fn load_quarantine(&self) -> Result<(), PlatformError> {
        let kind = self.ports.schema.quarantine_kind.clone();
        let objects = match (self.ports.store.list)(kind).await {
            Ok(batch) => batch.objects,
            Err(PlatformError::Refused { reason }) => {
                log::warn!(
                    "the store refused to list the records of quarantined suspects, continuing without them: {reason}"
                );
                Vec::new()
            }
            Err(error) => return Err(error),
        };
        for object in &objects {
            self.apply_stored_quarantine(object);
        }
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.listed_at = Some(clock::mono_now());
        // Records that the store lost are written again.
        let names: Vec<&str> = objects.iter().map(|o| o.object.name.as_str()).collect();
        for (suspect, stored_quarantine) in &mut quarantine.suspects {
            if !names.contains(&suspect.digest().to_string().as_str()) {
                stored_quarantine.crashes = 0;
            }
        }
        Ok(())
    }

    fn apply_stored_quarantine(&self, object: &StoredObject) {
        let name = &object.object.name;
        let Some(value) = &object.value else {
            return;
        };
        match QuarantineRecord::decode_report(name, value) {
            Ok(mut report) => {
                // Only requests of callers extend the retention of work that is tracked here,
                // not the reading of its record.
                if self.crashes.borrow().contains(report.suspect) {
                    report.age_ms = u64::MAX;
                }
                let count = report.confirmed.len();
                self.apply_crash_report(&report, true);
                self.review_suspects("store");
                if let Ok(record) = QuarantineRecord::decode(name, value)
                    && record.quarantined_with > 0
                {
                    let mut crashes = self.crashes.borrow_mut();
                    crashes.restore_quarantine(report.suspect, record.quarantined_with);
                }
                if let Some(stored_quarantine) = self
                    .quarantine
                    .borrow_mut()
                    .suspects
                    .get_mut(&report.suspect)
                {
                    stored_quarantine.crashes = stored_quarantine.crashes.max(count);
                }
            }
            Err(error) => log::warn!("{error}"),
        }
    }

    async fn save_quarantine(&self) -> Result<(), PlatformError> {
        let quarantined: Vec<SuspectKey> = self.crashes.borrow().quarantined().collect();
        for kind in ["part", "work"] {
            let count = quarantined.iter().filter(|suspect| suspect.kind() == kind);
            metrics::gauge!("pistachiowick_works_held", "kind" => kind).set(count.count() as f64);
        }
        metrics::gauge!("pistachiowick_suspects").set(self.crashes.borrow().len() as f64);
        let (now, rank) = (clock::mono_now(), self.full_view_rank(clock::mono_now()));
        self.quarantine
            .borrow_mut()
            .suspects
            .retain(|suspect, _| quarantined.contains(suspect));
        let Some(rank) = rank.filter(|_| !quarantined.is_empty()) else {
            return Ok(());
        };
        let delay = WRITE_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        for suspect in quarantined {
            if self.needs_quarantine_write(suspect, delay, now) {
                self.write_quarantine(suspect).await?;
            }
        }
        let listed_at = self.quarantine.borrow().listed_at;
        if rank == 0 && listed_at.is_none_or(|at| now.since(at) >= RELEASE_CHECK_INTERVAL) {
            self.load_quarantine().await?;
        }
        Ok(())
    }

    fn needs_quarantine_write(&self, suspect: SuspectKey, delay: Duration, now: MonoTime) -> bool {
        let count = self.crashes.borrow().crashed_targets(suspect).len();
        let quarantine = self.quarantine.borrow();
        let known = quarantine.suspects.get(&suspect);
        known.is_some_and(|known| known.crashes < count && now.since(known.quarantined_at) >= delay)
    }

    async fn write_quarantine(&self, suspect: SuspectKey) -> Result<(), PlatformError> {
        let object = self.quarantine_object(suspect);
        let stored = (self.ports.store.read)(object.clone()).await?;
        let stored = stored.filter(|stored| stored.value.is_some());
        if let Some(object) = &stored {
            // An operator may have released the work since the record was read last.
            self.apply_stored_quarantine(object);
        }
        if !self.crashes.borrow().is_quarantined(suspect) {
            return Ok(());
        }
        let expected = stored.as_ref().map_or(ObjectVersion(0), |s| s.version);
        let value = stored.and_then(|stored| stored.value).unwrap_or_default();
        let mut record = QuarantineRecord::decode(&object.name, &value).unwrap_or_default();
        let crashes = self.crashes.borrow().crashed_targets(suspect);
        if record.route.is_empty() {
            record.route = self.quarantined_route(suspect);
        }
        if record.add_crashes(&crashes) {
            record.released = false;
            record.part = suspect.is_part();
            if suspect.is_part() && record.quarantined_with == 0 {
                let crashes = self.crashes.borrow();
                record.quarantined_with = crashes.quarantined_with(suspect).unwrap_or(0);
            }
            let write = ConditionalWrite {
                object,
                expected,
                value: record.encode(),
            };
            match (self.ports.store.write)(write).await {
                // Another daemon wrote the record; it is read again at the next check.
                Err(PlatformError::Conflict { .. }) => return Ok(()),
                written => written?,
            };
            log::info!(kind = suspect.kind(), suspect = suspect.digest().to_string(), ends = crashes.len(); "recorded a quarantined suspect in the store");
        }
        if let Some(stored_quarantine) = self.quarantine.borrow_mut().suspects.get_mut(&suspect) {
            stored_quarantine.crashes = crashes.len();
        }
        Ok(())
    }

    fn quarantined_route(&self, suspect: SuspectKey) -> String {
        let quarantine = self.quarantine.borrow();
        let stored_quarantine = quarantine.suspects.get(&suspect);
        stored_quarantine
            .map(|stored_quarantine| stored_quarantine.route.clone())
            .unwrap_or_default()
    }
}
