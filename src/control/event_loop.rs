//! Event loop of the control thread: handles events and publishes snapshots.

use std::time::Duration;

use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};

use crate::authority::order_record::ORDER_KIND;
use crate::config::buckets::CONFIG_KIND;
use crate::control::feeds::{self, FeedEvent};
use crate::control::snapshot::SnapshotCell;
use crate::control::state::ControlState;
use crate::control::{ControlEvent, ControlInputs};
use crate::timer::{TimerService, TimerTicks};

const TICK: Duration = Duration::from_millis(100);
const EVENTS_PER_PUBLICATION: usize = 256;

/// Runs the control thread until `ended` changes or the event channel closes.
///
/// # Panics
///
/// Panics if the event loop cannot be created.
pub fn run_thread(
    inputs: ControlInputs,
    cell: SnapshotCell,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    ended: watch::Receiver<bool>,
) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the control event loop starts; raise the limit of open files if it cannot");
    runtime.block_on(run(inputs, cell, events, ended));
    // Shutting down the runtime drops the tasks that still wait for the platform.
    runtime.shutdown_background();
}

async fn run(
    inputs: ControlInputs,
    cell: SnapshotCell,
    mut events: mpsc::UnboundedReceiver<ControlEvent>,
    mut ended: watch::Receiver<bool>,
) {
    let (feeds, mut feed_inbox) = mpsc::unbounded_channel();
    let timer = TimerService::start();
    let mut ticks = timer.every(TICK);
    let mut polls = poll_ticks(&inputs, &timer);
    let mut state = ControlState::new(inputs, cell, feeds.clone());
    start_feeds(&state, &feeds);
    loop {
        tokio::select! {
            _ = ended.changed() => return,
            event = events.recv() => match event {
                Some(event) => state.on_event(event),
                None => return,
            },
            Some(feed) = feed_inbox.recv() => state.on_feed(feed),
            Some(now) = ticks.next() => state.on_tick(now),
            Some(now) = polls.next() => state.on_poll_tick(now),
        }
        for _ in 0..EVENTS_PER_PUBLICATION {
            match feed_inbox.try_recv() {
                Ok(feed) => state.on_feed(feed),
                Err(_) => break,
            }
        }
        for _ in 0..EVENTS_PER_PUBLICATION {
            match events.try_recv() {
                Ok(event) => state.on_event(event),
                Err(_) => break,
            }
        }
        state.publish();
    }
}

fn poll_ticks(inputs: &ControlInputs, timer: &TimerService) -> TimerTicks {
    timer.every(Duration::from_millis(inputs.settings.peers.hint_ms))
}

fn start_feeds(state: &ControlState, feeds: &mpsc::UnboundedSender<FeedEvent>) {
    let inputs = &state.inputs;
    let platform = &inputs.settings.platform;
    for (number, kind) in [CONFIG_KIND, ORDER_KIND].into_iter().enumerate() {
        tokio::spawn(feeds::watch_objects(
            inputs.platform.clone(),
            kind,
            Duration::from_millis(platform.watch_ms),
            inputs.seed ^ (10 + number as u64),
            state.peers.watching(),
            feeds.clone(),
        ));
    }
    tokio::spawn(feeds::poll_instances(
        inputs.platform.clone(),
        Duration::from_millis(platform.instances_ms),
        inputs.seed ^ 2,
        feeds.clone(),
    ));
}
