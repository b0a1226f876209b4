//! Timer service: one task that sends periodic and single ticks to subscribers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::names::MonoTime;

const IDLE_WAIT: Duration = Duration::from_secs(3_600);

#[derive(Debug)]
enum TimerCommand {
    Add(TimerEntry),
    Cancel(u64),
}

#[derive(Debug)]
struct TimerEntry {
    id: u64,
    due: Instant,
    period: Option<Duration>,
    ticks: mpsc::Sender<MonoTime>,
}

/// Handle to the timer service; clones share one task.
#[derive(Clone, Debug)]
pub struct TimerService {
    commands: mpsc::UnboundedSender<TimerCommand>,
    next_id: Arc<AtomicU64>,
}

/// Ticks of one subscription, which is cancelled on drop.
#[derive(Debug)]
pub struct TimerTicks {
    id: u64,
    ticks: mpsc::Receiver<MonoTime>,
    commands: mpsc::UnboundedSender<TimerCommand>,
}

impl TimerService {
    /// Starts the service on the current runtime; it ends when its last handle is dropped.
    ///
    /// # Panics
    ///
    /// Panics if called outside a runtime.
    #[must_use]
    pub fn start() -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run(inbox));
        Self {
            commands,
            next_id: Arc::default(),
        }
    }

    /// Subscribes to a tick every `period`. Ticks missed by a slow subscriber are skipped,
    /// not queued.
    #[must_use]
    pub fn every(&self, period: Duration) -> TimerTicks {
        let period = period.max(Duration::from_millis(1));
        self.subscribe(period, Some(period))
    }

    /// Subscribes to a single tick after `delay`.
    #[must_use]
    pub fn once(&self, delay: Duration) -> TimerTicks {
        self.subscribe(delay, None)
    }

    fn subscribe(&self, delay: Duration, period: Option<Duration>) -> TimerTicks {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, ticks) = mpsc::channel(1);
        let entry = TimerEntry {
            id,
            due: Instant::now() + delay,
            period,
            ticks: sender,
        };
        // A closed channel means that the runtime is shutting down: no more ticks are due.
        let _ = self.commands.send(TimerCommand::Add(entry));
        TimerTicks {
            id,
            ticks,
            commands: self.commands.clone(),
        }
    }
}

impl TimerTicks {
    /// Waits for the next tick; returns `None` after a single tick has been received or the
    /// service has ended.
    pub async fn next(&mut self) -> Option<MonoTime> {
        self.ticks.recv().await
    }
}

impl Drop for TimerTicks {
    fn drop(&mut self) {
        let _ = self.commands.send(TimerCommand::Cancel(self.id));
    }
}

#[derive(Default)]
struct TimerTable {
    entries: IndexMap<u64, TimerEntry>,
    order: BinaryHeap<Reverse<(Instant, u64)>>,
}

async fn run(mut inbox: mpsc::UnboundedReceiver<TimerCommand>) {
    let mut table = TimerTable::default();
    loop {
        let due = table.next_due();
        tokio::select! {
            command = inbox.recv() => match command {
                Some(TimerCommand::Add(entry)) => table.add(entry),
                Some(TimerCommand::Cancel(id)) => table.cancel(id),
                None => return,
            },
            () = sleep_until(due) => table.fire(Instant::now()),
        }
    }
}

impl TimerTable {
    fn next_due(&self) -> Instant {
        self.order
            .peek()
            .map_or_else(|| Instant::now() + IDLE_WAIT, |Reverse((due, _))| *due)
    }

    fn add(&mut self, entry: TimerEntry) {
        self.order.push(Reverse((entry.due, entry.id)));
        self.entries.insert(entry.id, entry);
    }

    // The heap keeps cancelled entries until they are due. Short-lived subscriptions with
    // long delays would fill it, so it is rebuilt when more than half of it is cancelled.
    fn cancel(&mut self, id: u64) {
        self.entries.swap_remove(&id);
        if self.order.len() > 2 * self.entries.len() + 64 {
            let entries = &self.entries;
            self.order
                .retain(|Reverse((_, id))| entries.contains_key(id));
        }
    }

    fn fire(&mut self, now: Instant) {
        while let Some(Reverse((due, id))) = self.order.peek().copied() {
            if due > now {
                return;
            }
            self.order.pop();
            self.tick(id, now);
        }
    }

    fn tick(&mut self, id: u64, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let sent = entry.ticks.try_send(clock::mono_now());
        let closed = matches!(sent, Err(TrySendError::Closed(_)));
        match entry.period.filter(|_| !closed) {
            Some(period) => {
                // After a pause, skips the missed ticks instead of sending them in a burst.
                entry.due = (entry.due + period).max(now + period / 2);
                self.order.push(Reverse((entry.due, id)));
            }
            None => {
                self.entries.swap_remove(&id);
            }
        }
    }
}
