//! Reports each window's usage once: recorded first, then sent until it is taken.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::gateway::daemon::Gateway;
use crate::gateway::fleet_tasks::usage_counts::{WindowNumber, WorkspaceCounts};
use crate::gateway::fleet_tasks::usage_ledger::{UsageLedger, UsageStep};
use crate::gateway::fleet_tasks::{FleetTaskTurn, duty_object};
use crate::gateway::port::UsageReport;
use crate::gateway::settings::FleetTaskSettings;
use crate::names::{MonoTime, millis};
use crate::ports::{ConditionalWrite, ObjectVersion, PlatformError, StoredObject};

/// Name of the object that holds the records.
const LEDGER: &str = "usage";
/// Part of the time in which a report is due for which counts are waited for after their
/// window's end: what daemons tell takes a second, and the rest is left to a successor.
const CLOSE_PART: f64 = 0.2;
/// Pause after a call that came to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What came of a call.
pub enum UsageNews {
    /// The records were read.
    Read(Result<Option<StoredObject>, PlatformError>),
    /// Records were written.
    Written(UsageLedger, Result<ObjectVersion, PlatformError>),
    /// A report was sent.
    Sent(WindowNumber, Result<(), PlatformError>),
}

/// The duty as its holder performs it.
#[derive(Debug)]
pub struct UsageDesk {
    close_after: Duration,
    // As the store holds it; `None` until it was read in this turn.
    ledger: Option<(ObjectVersion, UsageLedger)>,
    first: Option<WindowNumber>,
    busy: bool,
    wait_until: MonoTime,
}

impl UsageDesk {
    /// Creates a desk.
    #[must_use]
    pub fn new(settings: &FleetTaskSettings) -> Self {
        Self {
            close_after: settings.usage_due().mul_f64(CLOSE_PART),
            ledger: None,
            first: None,
            busy: false,
            wait_until: MonoTime(0),
        }
    }

    /// Forgets what only a holder knows.
    pub fn end_turn(&mut self) {
        self.ledger = None;
    }

    /// Does what is due; `tell` gets what came of it.
    pub fn look(
        &mut self,
        gateway: &Rc<Gateway>,
        turn: &FleetTaskTurn,
        now: MonoTime,
        tell: impl Fn(UsageNews) + 'static,
    ) {
        if self.busy || now < self.wait_until {
            return;
        }
        let Some((version, ledger)) = &self.ledger else {
            self.busy = true;
            let store = gateway.ports.store.clone();
            spawn_local(async move {
                tell(UsageNews::Read((store.read)(duty_object(LEDGER)).await));
            });
            return;
        };
        let book = gateway.duties.borrow();
        let Some(current) = book.usage.window_of(&book.clock, now) else {
            return;
        };
        let first = *self.first.get_or_insert(current);
        let Some(newest) = self.newest_closed(&book, now) else {
            return;
        };
        match ledger.next_step(newest, first) {
            UsageStep::Wait => {}
            UsageStep::Record(windows) => {
                let counted = windows.into_iter().map(|w| (w, book.usage.total(w)));
                let wanted = ledger.with(counted.collect());
                self.busy = true;
                record(gateway, *version, wanted, tell);
            }
            UsageStep::Report(window) => {
                let counts = ledger.windows[&window].counts.clone();
                self.busy = true;
                send(gateway, turn, (window, counts), tell);
            }
        }
    }

    // The newest window that has ended so long ago that its counts are in.
    fn newest_closed(&self, book: &super::UsageMeter, now: MonoTime) -> Option<WindowNumber> {
        let moment = MonoTime(now.0.checked_sub(millis(self.close_after))?);
        book.usage.window_of(&book.clock, moment)?.checked_sub(1)
    }

    /// Takes what came of a call.
    pub fn take(&mut self, news: UsageNews, now: MonoTime) {
        self.busy = false;
        match news {
            UsageNews::Read(Ok(found)) => self.ledger = read_ledger(found),
            UsageNews::Written(ledger, Ok(version)) => self.ledger = Some((version, ledger)),
            UsageNews::Sent(window, Ok(())) => self.close(window),
            // The same report would be refused again, and hold up all later ones.
            UsageNews::Sent(window, Err(error @ PlatformError::Refused { .. })) => {
                log::error!(window = window; "usage given up: {error}");
                self.close(window);
            }
            UsageNews::Read(Err(error)) => self.pause("read", &error, now),
            UsageNews::Written(_, Err(error)) => {
                // It may have landed all the same: only a look at the store tells.
                self.ledger = None;
                self.pause("write", &error, now);
            }
            UsageNews::Sent(_, Err(error)) => self.pause("report", &error, now),
        }
    }

    fn close(&mut self, window: WindowNumber) {
        if let Some((_, ledger)) = &mut self.ledger {
            ledger.note_reported(window);
        }
    }

    fn pause(&mut self, call: &str, error: &PlatformError, now: MonoTime) {
        log::warn!(call = call; "usage not reported yet: {error}");
        self.wait_until = now.plus(RETRY_PAUSE);
    }
}

fn read_ledger(found: Option<StoredObject>) -> Option<(ObjectVersion, UsageLedger)> {
    let Some(StoredObject { version, value, .. }) = found else {
        return Some((ObjectVersion(0), UsageLedger::default()));
    };
    let value = value.unwrap_or_default();
    match UsageLedger::decode(&value) {
        Ok(ledger) => Some((version, ledger)),
        Err(error) => {
            log::error!(
                "records of usage cannot be read ({error}); nothing is reported until they can"
            );
            None
        }
    }
}

fn record(
    gateway: &Rc<Gateway>,
    expected: ObjectVersion,
    wanted: UsageLedger,
    tell: impl Fn(UsageNews) + 'static,
) {
    let store = gateway.ports.store.clone();
    let write = ConditionalWrite {
        object: duty_object(LEDGER),
        expected,
        value: wanted.encode(),
    };
    spawn_local(async move {
        let written = (store.write)(write).await;
        tell(UsageNews::Written(wanted, written));
    });
}

fn send(
    gateway: &Rc<Gateway>,
    turn: &FleetTaskTurn,
    (window, counts): (WindowNumber, WorkspaceCounts),
    tell: impl Fn(UsageNews) + 'static,
) {
    let (ports, turn) = (gateway.ports.clone(), turn.clone());
    spawn_local(async move {
        let sent = match ports.duties.filter(|_| turn.lasts()) {
            Some(duties) => {
                let report = UsageReport { window, counts };
                (duties.report_usage)((turn.caller, report)).await
            }
            None => Err(PlatformError::Unavailable {
                reason: "the right to report ended".to_owned(),
                retry_after: RETRY_PAUSE,
            }),
        };
        log::info!(window = window, sent = sent.is_ok(); "usage reported");
        let outcome = if sent.is_ok() { "taken" } else { "failed" };
        metrics::counter!("pistachiowick_usage_reports_total", "outcome" => outcome).increment(1);
        tell(UsageNews::Sent(window, sent));
    });
}
