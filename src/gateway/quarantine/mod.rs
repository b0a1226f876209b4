//! Holds work back that ended targets, here and at all daemons.
//!
//! Held work is an object of the store, so that it stays held when all daemons are gone at
//! once; a daemon that starts lists them.

pub mod records;

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::clock;
use crate::crashes::broadcasts::CrashReport;
use crate::crashes::tracker::{ExchangeTimes, WorkStatus};
use crate::crashes::work_digest::WorkDigest;
use crate::gateway::call::RoutedRequest;
use crate::gateway::daemon::Gateway;
use crate::gateway::model::TargetRecord;
use crate::gateway::quarantine::records::QuarantineRecord;
use crate::gateway::reply::Failure;
use crate::gateway::store_follow::Feed;
use crate::names::{MonoTime, millis};
use crate::ports::{ConditionalWrite, ObjectName, ObjectVersion, PlatformError, StoredObject};
use crate::target_incarnation::TargetIncarnation;
use crate::timer::TimerService;

/// Why held work is not sent.
const HELD: &str = "targets ended under each run of this request; it is not sent for now";
/// Time to come back for work that is not tried again by itself.
const HELD_WAIT: Duration = Duration::from_secs(3_600);
/// How often it is looked whether held work is in the store.
const KEEP_EVERY: Duration = Duration::from_millis(250);
/// Time that each daemon leaves to those before it to write held work to the store.
const TURN_WAIT: Duration = Duration::from_secs(1);
/// Pause after a call that the store did not answer.
const FAILED_WAIT: Duration = Duration::from_secs(1);
/// How often it is looked in the store for work that an operator let go, while any is held.
const RELEASE_EVERY: Duration = Duration::from_secs(20);
/// Silence of the store, which is asked more often, after which entries may be old.
const STORE_SILENCE: Duration = Duration::from_secs(4);

/// What is known of the store's copy of a held work.
#[derive(Clone, Debug)]
struct KeptWork {
    route: String,
    held_at: MonoTime,
    ends: usize,
}

/// Which held works the store has.
#[derive(Clone, Debug, Default)]
pub struct QuarantineStore {
    kept: IndexMap<WorkDigest, KeptWork>,
    looked_at: Option<MonoTime>,
    heard_since: Option<MonoTime>,
}

/// Loads held work from the store, and keeps it there.
///
/// A daemon that is fed by a hub is told of it, and asks for none itself.
pub async fn run(gateway: Rc<Gateway>) {
    let timer = TimerService::start();
    let mut ticks = timer.every(KEEP_EVERY);
    let mut loaded = false;
    while ticks.next().await.is_some() {
        let reads = !loaded && gateway.duty.get().watches(Feed::Targets);
        let kept = if reads {
            gateway.load_held().await
        } else {
            gateway.keep_held().await
        };
        loaded |= reads && kept.is_ok();
        if kept.is_err() {
            sleep(FAILED_WAIT).await;
        }
    }
}

impl Gateway {
    /// Refuses held work, except once in a while at the one daemon that tries it.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn check_quarantine(&self, call: &RoutedRequest) -> Result<(), Failure> {
        if !self.is_held(call) {
            return Ok(());
        }
        let (work, now) = (call.work(), clock::mono_now());
        let tries = self.rank() == 0;
        let standing = self.crashes.borrow_mut().standing(work, tries, now);
        match standing {
            WorkStatus::Free => Ok(()),
            WorkStatus::Trial => {
                call.is_probe.set(true);
                log::warn!(request = call.caller.id.as_str(), work = work.to_string(); "held work is tried once");
                Ok(())
            }
            WorkStatus::Held(next) => {
                metrics::counter!("pistachiowick_held_refusals_total").increment(1);
                Err(Failure::refused(HELD, next.unwrap_or(HELD_WAIT)))
            }
        }
    }

    /// Whether a request that was taken may not be sent on, as its work is held by now.
    #[must_use]
    pub fn is_held(&self, call: &RoutedRequest) -> bool {
        let crashes = self.crashes.borrow();
        !crashes.is_empty() && !call.is_probe.get() && crashes.is_held(call.work())
    }

    /// Completes when a request's work is held.
    pub(in crate::gateway) async fn until_quarantined(&self, call: &RoutedRequest) {
        while !self.is_held(call) {
            self.newly_quarantined.notified().await;
        }
    }

    /// Notes that a target ended a connection before its answer was whole.
    pub fn record_connection_loss(
        &self,
        call: &RoutedRequest,
        target: &TargetRecord,
        reason: &str,
    ) {
        let (work, now) = (call.work(), clock::mono_now());
        // A trial is one run.
        call.is_probe.set(false);
        let holds = self.crashes.borrow_mut().note_end(work, &target.id, now);
        metrics::counter!("pistachiowick_answers_cut_total", "route" => call.route.name.clone())
            .increment(1);
        log::info!(
            request = call.caller.id.as_str(),
            work = work.to_string(),
            target_id = target.id.as_str(),
            ends = self.crashes.borrow().ends(work).len(),
            waited_ms = millis(call.arrived.elapsed()),
            reason = reason;
            "connection ended under a request"
        );
        if holds {
            self.hold(work, &call.route.name, "own");
        }
    }

    /// Notes that a target answered to the end.
    pub fn note_answered(&self, target: &TargetRecord, times: ExchangeTimes) {
        let mut crashes = self.crashes.borrow_mut();
        crashes.note_answer(&target.id, times, clock::mono_now());
    }

    /// Notes that work ran to its end. An answer without a length may end with its target.
    pub fn record_completion(&self, call: &RoutedRequest, head: &HeaderMap) {
        let framed = head.contains_key(CONTENT_LENGTH) || head.contains_key(TRANSFER_ENCODING);
        if framed && !self.crashes.borrow().is_empty() {
            let mut crashes = self.crashes.borrow_mut();
            crashes.note_whole(call.work(), clock::mono_now());
        }
    }

    /// Takes what other daemons tell of work that ended targets.
    pub(in crate::gateway) fn apply_crash_reports(&self, notes: &[CrashReport]) {
        if notes.is_empty() {
            return;
        }
        let relays = self.hubs.borrow().is_hub();
        for note in notes {
            self.take_work_note(note, relays, "", "peer");
        }
    }

    fn take_work_note(&self, note: &CrashReport, relays: bool, route: &str, source: &'static str) {
        let now = clock::mono_now();
        let holds = self.crashes.borrow_mut().take_note(note, relays, now);
        if holds {
            self.hold(note.work, route, source);
        }
    }

    fn hold(&self, work: WorkDigest, route: &str, source: &'static str) {
        let ends = self.crashes.borrow().ends(work);
        let targets: Vec<&str> = ends.iter().map(TargetIncarnation::as_str).collect();
        metrics::counter!("pistachiowick_works_held_total").increment(1);
        log::warn!(
            work = work.to_string(),
            route = route,
            source = source,
            targets = targets.join(" ");
            "work is held: targets ended under its runs"
        );
        let kept = KeptWork {
            route: route.to_owned(),
            held_at: clock::mono_now(),
            ends: 0,
        };
        self.held.borrow_mut().kept.entry(work).or_insert(kept);
        self.newly_quarantined.notify_waiters();
    }

    /// Drops suspicions of targets whose entries show that they live.
    pub(in crate::gateway) fn refute_registered_targets(&self, now: MonoTime) {
        let heard = self.pulse.age(now) < STORE_SILENCE;
        let heard_since = {
            let mut desk = self.held.borrow_mut();
            let since = desk.heard_since.filter(|_| heard);
            desk.heard_since = since.or(heard.then_some(now));
            desk.heard_since
        };
        let Some(heard_since) = heard_since else {
            return;
        };
        let view = self.view();
        let has_entry =
            |target: &TargetIncarnation| view.holds(target) && !view.missing.contains_key(target);
        let lapse_time = self.settings().entry_lapse_time();
        let mut crashes = self.crashes.borrow_mut();
        crashes.note_entries(has_entry, lapse_time, heard_since, now);
    }

    fn held_name(&self, work: WorkDigest) -> ObjectName {
        ObjectName {
            kind: self.ports.schema.held_kind.clone(),
            name: work.to_string(),
        }
    }

    async fn load_held(&self) -> Result<(), PlatformError> {
        let kind = self.ports.schema.held_kind.clone();
        let objects = match (self.ports.store.list)(kind).await {
            Ok(batch) => batch.objects,
            Err(PlatformError::Refused { reason }) => {
                log::warn!("held work cannot be listed: {reason}");
                Vec::new()
            }
            Err(error) => return Err(error),
        };
        for object in &objects {
            self.take_held_object(object);
        }
        let mut held = self.held.borrow_mut();
        held.looked_at = Some(clock::mono_now());
        // What the store lost is written again.
        let names: Vec<&str> = objects.iter().map(|o| o.object.name.as_str()).collect();
        for (work, kept) in &mut held.kept {
            if !names.contains(&work.to_string().as_str()) {
                kept.ends = 0;
            }
        }
        Ok(())
    }

    fn take_held_object(&self, object: &StoredObject) {
        let name = &object.object.name;
        let Some(value) = &object.value else {
            return;
        };
        match QuarantineRecord::note(name, value) {
            Ok(mut note) => {
                // Only callers keep what is known here from being forgotten.
                if self.crashes.borrow().knows(note.work) {
                    note.age_ms = u64::MAX;
                }
                let count = note.ends.len();
                self.take_work_note(&note, true, "", "store");
                if let Some(kept) = self.held.borrow_mut().kept.get_mut(&note.work) {
                    kept.ends = kept.ends.max(count);
                }
            }
            Err(fault) => log::warn!("{fault}"),
        }
    }

    async fn keep_held(&self) -> Result<(), PlatformError> {
        let held: Vec<WorkDigest> = self.crashes.borrow().held().collect();
        metrics::gauge!("pistachiowick_works_held").set(held.len() as f64);
        let (now, rank) = (clock::mono_now(), self.full_view_rank(clock::mono_now()));
        self.held
            .borrow_mut()
            .kept
            .retain(|work, _| held.contains(work));
        let Some(rank) = rank.filter(|_| !held.is_empty()) else {
            return Ok(());
        };
        let wait = TURN_WAIT * u32::try_from(rank).unwrap_or(u32::MAX);
        for work in held {
            if self.is_unkept(work, wait, now) {
                self.write_held(work).await?;
            }
        }
        let looked_at = self.held.borrow().looked_at;
        if rank == 0 && looked_at.is_none_or(|at| now.since(at) >= RELEASE_EVERY) {
            self.load_held().await?;
        }
        Ok(())
    }

    fn is_unkept(&self, work: WorkDigest, wait: Duration, now: MonoTime) -> bool {
        let count = self.crashes.borrow().ends(work).len();
        let desk = self.held.borrow();
        let kept = desk.kept.get(&work);
        kept.is_some_and(|kept| kept.ends < count && now.since(kept.held_at) >= wait)
    }

    async fn write_held(&self, work: WorkDigest) -> Result<(), PlatformError> {
        let object = self.held_name(work);
        let stored = (self.ports.store.read)(object.clone()).await?;
        let stored = stored.filter(|stored| stored.value.is_some());
        let expected = stored.as_ref().map_or(ObjectVersion(0), |s| s.version);
        let value = stored.and_then(|stored| stored.value).unwrap_or_default();
        let mut record = QuarantineRecord::decode(&object.name, &value).unwrap_or_default();
        let ends = self.crashes.borrow().ends(work);
        if record.route.is_empty() {
            record.route = self.kept_route(work);
        }
        if record.add(&ends) {
            record.released = false;
            let write = ConditionalWrite {
                object,
                expected,
                value: record.encode(),
            };
            match (self.ports.store.write)(write).await {
                // Another daemon wrote; it is read again at the next look.
                Err(PlatformError::Conflict { .. }) => return Ok(()),
                written => written?,
            };
            log::info!(work = work.to_string(), ends = ends.len(); "held work is kept in the store");
        }
        if let Some(kept) = self.held.borrow_mut().kept.get_mut(&work) {
            kept.ends = ends.len();
        }
        Ok(())
    }

    fn kept_route(&self, work: WorkDigest) -> String {
        let desk = self.held.borrow();
        let kept = desk.kept.get(&work);
        kept.map(|kept| kept.route.clone()).unwrap_or_default()
    }
}
