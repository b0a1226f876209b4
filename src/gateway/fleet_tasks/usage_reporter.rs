//! Reports the usage of each window: it is recorded first, then sent until the platform
//! accepts it.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};
use crate::gateway::fleet_tasks::usage_coverage::ReportTimes;
use crate::gateway::fleet_tasks::usage_ledger::{
    EraStart, RememberedRecords, UsageLedger, UsageStep,
};
use crate::gateway::fleet_tasks::{FleetTaskTurn, UsageMeter, state_object};
use crate::gateway::port::UsageReport;
use crate::gateway::settings::FleetTaskSettings;
use crate::names::MonoTime;
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

/// Name of the object that holds the ledger.
const LEDGER_OBJECT: &str = "usage";
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Result of a call to the store or the platform.
pub enum UsageEvent {
    /// The ledger was read.
    Read(Result<Option<StoredObject>, PlatformError>),
    /// The ledger was written.
    Written(UsageLedger, Result<ObjectVersion, PlatformError>),
    /// A report was sent.
    Sent(WindowNumber, Result<(), PlatformError>),
}

/// Fleet task that reports usage.
#[derive(Debug)]
pub struct UsageReporter {
    times: ReportTimes,
    // Since when this daemon acts under the current lease.
    acting_since: Option<MonoTime>,
    // As stored; `None` until it has been read under the current lease.
    ledger: Option<(ObjectVersion, UsageLedger)>,
    // Kept without the lease.
    remembered: RememberedRecords,
    first_window: Option<WindowNumber>,
    call_pending: bool,
    backoff_until: MonoTime,
}

impl UsageReporter {
    /// Creates a reporter.
    #[must_use]
    pub fn new(settings: &FleetTaskSettings) -> Self {
        Self {
            times: ReportTimes {
                window: settings.usage_window(),
                due: settings.usage_due(),
            },
            acting_since: None,
            ledger: None,
            remembered: RememberedRecords::default(),
            first_window: None,
            call_pending: false,
            backoff_until: MonoTime(0),
        }
    }

    /// Drops the state that is valid only while the lease is held.
    pub fn reset(&mut self) {
        self.ledger = None;
        self.acting_since = None;
    }

    /// Starts the next call that is due; `send_event` receives its result.
    pub fn check(
        &mut self,
        gateway: &Rc<Gateway>,
        turn: &FleetTaskTurn,
        now: MonoTime,
        send_event: impl Fn(UsageEvent) + 'static,
    ) {
        let acting_since = *self.acting_since.get_or_insert(now);
        if self.call_pending || now < self.backoff_until {
            return;
        }
        if self.ledger.is_none() {
            self.call_pending = true;
            let store = gateway.ports.store.clone();
            spawn_local(async move {
                send_event(UsageEvent::Read(
                    (store.read)(state_object(LEDGER_OBJECT)).await,
                ));
            });
            return;
        }
        let meter = gateway.fleet_tasks.borrow();
        self.continue_in_era(&meter, turn, now);
        let current_ledger = self.ledger.as_ref();
        let in_era = |(_, ledger): &&(_, UsageLedger)| ledger.era == turn.era();
        let Some((version, ledger)) = current_ledger.filter(in_era) else {
            return;
        };
        let Some(current) = meter.usage.window_of(&meter.clock, now) else {
            return;
        };
        let first_window = *self.first_window.get_or_insert(current);
        let fleet_times = (meter.clock.at(now), meter.clock.at(acting_since));
        let (Some(fleet_now), Some(acting_since)) = fleet_times else {
            return;
        };
        let complete_to = gateway.usage_complete_to(&meter, fleet_now, now);
        let newest = self
            .times
            .newest_recordable(fleet_now, acting_since, complete_to);
        let Some(newest) = newest else {
            return;
        };
        match ledger.next_step(newest, first_window) {
            UsageStep::Wait => {}
            UsageStep::Record(windows) => {
                if !self.times.is_complete(newest, complete_to) {
                    log::warn!(window = newest; "recording the usage of a window without the counts of all reachable hubs");
                }
                let counts = windows.into_iter().map(|w| (w, meter.usage.total(w)));
                let updated = ledger.with_windows(counts.collect());
                self.call_pending = true;
                write_ledger(gateway, *version, updated, send_event);
            }
            UsageStep::Report(window) => {
                let counts = ledger.windows[&window].counts.clone();
                self.call_pending = true;
                send_report(gateway, turn, (window, counts), send_event);
            }
        }
    }

    // A ledger of an earlier era is an older copy.
    fn continue_in_era(&mut self, meter: &UsageMeter, turn: &FleetTaskTurn, now: MonoTime) {
        let Some((_, ledger)) = self.ledger.as_mut() else {
            return;
        };
        // An earlier holder of this era may have recorded later windows in a ledger that a
        // delayed write has replaced.
        let known_since = if turn.is_first_of_era() {
            turn.era_since
        } else {
            now
        };
        let first_window = meter.usage.window_of(&meter.clock, known_since);
        let Some(first_window) = first_window.filter(|_| ledger.era < turn.era()) else {
            return;
        };
        let start = EraStart {
            era: turn.era(),
            first_window,
        };
        *ledger = ledger.restored(start, &self.remembered);
        log::info!(era = start.era, first_window = first_window, skipped = ledger.windows_skipped(); "usage ledger begins in this era of the store; windows whose records may be lost are skipped");
    }

    /// Handles the result of a call.
    pub fn handle(&mut self, event: UsageEvent, now: MonoTime) {
        self.call_pending = false;
        match event {
            UsageEvent::Read(Ok(stored)) => {
                self.ledger = read_ledger(stored);
                self.note_stored();
            }
            UsageEvent::Written(ledger, Ok(version)) => {
                // A creation that took effect in a later era is read again.
                let is_current = version.era() == ledger.era;
                self.ledger = is_current.then_some((version, ledger));
                self.note_stored();
            }
            UsageEvent::Sent(window, Ok(())) => self.mark_reported(window),
            // The same report would be refused again and block all later ones.
            UsageEvent::Sent(window, Err(error @ PlatformError::Refused { .. })) => {
                log::error!(window = window; "the platform refused the usage report, skipping this window: {error}");
                self.mark_reported(window);
            }
            UsageEvent::Read(Err(error)) => self.back_off("read", &error, now),
            UsageEvent::Written(_, Err(error)) => {
                // The write may have succeeded all the same, so the ledger is read again.
                self.ledger = None;
                self.back_off("write", &error, now);
            }
            UsageEvent::Sent(_, Err(error)) => self.back_off("report", &error, now),
        }
    }

    fn note_stored(&mut self) {
        if let Some((_, ledger)) = &self.ledger {
            self.remembered.note_stored(ledger);
        }
    }

    fn mark_reported(&mut self, window: WindowNumber) {
        self.remembered.mark_reported(window);
        if let Some((_, ledger)) = &mut self.ledger {
            ledger.mark_reported(window);
        }
    }

    fn back_off(&mut self, call: &str, error: &PlatformError, now: MonoTime) {
        log::warn!(call = call; "usage report failed, retrying: {error}");
        self.backoff_until = now.plus(RETRY_DELAY);
    }
}

fn read_ledger(stored: Option<StoredObject>) -> Option<(ObjectVersion, UsageLedger)> {
    let Some(StoredObject { version, value, .. }) = stored else {
        return Some((ObjectVersion(0), UsageLedger::default()));
    };
    let value = value.unwrap_or_default();
    match UsageLedger::decode(&value) {
        Ok(ledger) => Some((version, ledger)),
        Err(error) => {
            log::error!(
                "cannot read the usage ledger ({error}); no usage is reported until the object named usage of kind pistachiowick-duties is corrected"
            );
            None
        }
    }
}

fn write_ledger(
    gateway: &Rc<Gateway>,
    expected: ObjectVersion,
    updated: UsageLedger,
    send_event: impl Fn(UsageEvent) + 'static,
) {
    let store = gateway.ports.store.clone();
    let write = ConditionalWrite {
        object: state_object(LEDGER_OBJECT),
        expected,
        value: updated.encode(),
    };
    spawn_local(async move {
        let written = (store.write)(write).await;
        send_event(UsageEvent::Written(updated, written));
    });
}

fn send_report(
    gateway: &Rc<Gateway>,
    turn: &FleetTaskTurn,
    (window, counts): (WindowNumber, WorkspaceCounts),
    send_event: impl Fn(UsageEvent) + 'static,
) {
    let (ports, turn) = (gateway.ports.clone(), turn.clone());
    spawn_local(async move {
        let sent = match ports.fleet_tasks.filter(|_| turn.is_valid()) {
            Some(port) => {
                let report = UsageReport { window, counts };
                (port.report_usage)((turn.caller, report)).await
            }
            None => Err(PlatformError::Unavailable {
                reason: "the lease for fleet tasks was about to expire before the report was sent"
                    .to_owned(),
                retry_after: RETRY_DELAY,
            }),
        };
        log::info!(window = window, sent = sent.is_ok(); "usage report call finished");
        let outcome = if sent.is_ok() { "taken" } else { "failed" };
        metrics::counter!("pistachiowick_usage_reports_total", "outcome" => outcome).increment(1);
        send_event(UsageEvent::Sent(window, sent));
    });
}
