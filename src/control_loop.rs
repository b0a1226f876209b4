//! The loop of the control thread: applies events and publishes snapshots.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::runtime::Builder;
use tokio::sync::{Mutex, mpsc, oneshot, watch};

use crate::catalogue::ItemName;
use crate::clock;
use crate::config_buckets::{ApplyResult, BUCKETS, BucketIndex, ConfigState};
use crate::config_store::{self, ChangePatience, ChangeRequest};
use crate::control::{ChangeError, ChangeReport, ControlEvent, ControlInputs, ItemChange};
use crate::control_feeds::{self, ChangeReply, FeedEvent};
use crate::fleet::UseState;
use crate::journal::DecisionKind;
use crate::membership::{self, MembershipLimits, MembershipState, StateChange};
use crate::names::{MonoTime, TargetId};
use crate::ports::StoredObject;
use crate::snapshot::{ControlSnapshot, SnapshotCell};
use crate::suspicion::CallSource;
use crate::target_wire::EngineState;
use crate::timer::{TimerService, TimerTicks};

const TICK: Duration = Duration::from_millis(100);
const EVENTS_PER_PUBLICATION: usize = 256;
const MOST_CHANGES: usize = 64;
const LISTS_TO_FORGET: u64 = 60;

/// All state that the control thread owns.
struct ControlState {
    inputs: ControlInputs,
    cell: SnapshotCell,
    feeds: mpsc::UnboundedSender<FeedEvent>,
    config: ConfigState,
    membership: MembershipState,
    bucket_locks: Arc<Vec<Mutex<()>>>,
    changes_running: usize,
    changes_made: u64,
    polling: IndexSet<TargetId>,
    config_whole: bool,
    list_seen: bool,
    platform_reachable: bool,
    stopping: bool,
}

/// Runs the control thread until it is told to end.
///
/// # Panics
///
/// Panics when the machine gives no event loop.
pub fn run_thread(
    inputs: ControlInputs,
    cell: SnapshotCell,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    ended: watch::Receiver<bool>,
) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop for control; raise the limit of open files");
    runtime.block_on(run(inputs, cell, events, ended));
    // Tasks still waiting for the platform are dropped with the runtime.
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
    start_feeds(&inputs, &feeds);
    let mut state = ControlState::new(inputs, cell, feeds);
    loop {
        tokio::select! {
            _ = ended.changed() => return,
            event = events.recv() => match event {
                Some(event) => state.on_event(event),
                None => return,
            },
            Some(feed) = feed_inbox.recv() => state.on_feed(feed),
            Some(now) = ticks.next() => state.membership.tick(now),
            Some(now) = polls.next() => state.poll_engines(now),
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

fn start_feeds(inputs: &ControlInputs, feeds: &mpsc::UnboundedSender<FeedEvent>) {
    let platform = &inputs.settings.platform;
    tokio::spawn(control_feeds::feed_config(
        inputs.platform.clone(),
        Duration::from_millis(platform.watch_ms),
        inputs.seed ^ 1,
        feeds.clone(),
    ));
    tokio::spawn(control_feeds::feed_instances(
        inputs.platform.clone(),
        Duration::from_millis(platform.instances_ms),
        inputs.seed ^ 2,
        feeds.clone(),
    ));
}

impl ControlState {
    fn new(
        inputs: ControlInputs,
        cell: SnapshotCell,
        feeds: mpsc::UnboundedSender<FeedEvent>,
    ) -> Self {
        let settings = &inputs.settings;
        let own = membership::own_view(
            settings.daemon_id.clone(),
            inputs.rpc_address.to_string(),
            inputs.peer_address.to_string(),
            settings.data_centre.clone(),
            inputs.incarnation,
        );
        let limits = MembershipLimits {
            forget: Duration::from_millis(settings.platform.instances_ms * LISTS_TO_FORGET),
            peer_silence: Duration::from_millis(settings.peers.silence_ms),
            ..MembershipLimits::default()
        };
        let locks = (0..BUCKETS).map(|_| Mutex::new(()));
        Self {
            membership: MembershipState::new(own, limits),
            bucket_locks: Arc::new(locks.collect()),
            inputs,
            cell,
            feeds,
            config: ConfigState::default(),
            changes_running: 0,
            changes_made: 0,
            polling: IndexSet::new(),
            config_whole: false,
            list_seen: false,
            platform_reachable: false,
            stopping: false,
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Change { change, reply } => self.start_change(change, reply),
            ControlEvent::TargetSeen { target, answered } => {
                let now = clock::mono_now();
                self.membership
                    .note_call(&target, CallSource::Work, answered, now);
            }
            ControlEvent::TargetLeaving { target, address } => {
                let now = clock::mono_now();
                self.membership.note_target_leaving(&target, &address, now);
            }
            ControlEvent::WorkSeen { .. } | ControlEvent::CostSeen { .. } => {}
            ControlEvent::Stop { done } => self.stop(done),
        }
    }

    fn on_feed(&mut self, feed: FeedEvent) {
        match feed {
            FeedEvent::Config { objects, whole } => self.apply_config(&objects, whole),
            FeedEvent::Instances(rows) => {
                let taken = self.membership.apply_list(&rows, clock::mono_now());
                self.list_seen |= taken;
            }
            FeedEvent::Platform(reachable) => self.note_platform(reachable),
            FeedEvent::Engine { target, report } => self.note_engine(&target, report.as_ref()),
            FeedEvent::Changed {
                change,
                result,
                reply,
            } => self.finish_change(&change, result, reply),
        }
    }

    fn note_platform(&mut self, reachable: bool) {
        if self.platform_reachable != reachable {
            log::info!(reachable; "platform reachability changed");
        }
        self.platform_reachable = reachable;
        metrics::gauge!("pistachiowick_platform_reachable").set(f64::from(u8::from(reachable)));
    }

    fn apply_config(&mut self, objects: &[StoredObject], whole: bool) {
        let applied = objects.iter().filter(|stored| self.apply_bucket(stored));
        let readable = applied.count() == objects.len();
        if whole && readable && !self.config_whole {
            self.config_whole = true;
            let items = self.config.view().items.len();
            log::info!(items; "whole configuration seen");
        }
        let holds = &self.config.view().holds;
        self.membership.set_holds(holds);
    }

    // Returns whether the bucket could be read.
    fn apply_bucket(&mut self, stored: &StoredObject) -> bool {
        match self.config.apply(stored) {
            Ok(ApplyResult::Known) => true,
            Ok(ApplyResult::Changed(names)) => {
                metrics::counter!("pistachiowick_config_applied_total").increment(1);
                if self.config_whole {
                    self.explain_items(&names, stored.version.0);
                }
                true
            }
            Err(error) => {
                metrics::counter!("pistachiowick_config_unreadable_total").increment(1);
                log::error!("configuration not applied: {error}");
                false
            }
        }
    }

    fn explain_items(&self, names: &[ItemName], version: u64) {
        for name in names {
            let reason = format!("in force here at version {version}");
            self.inputs
                .journal
                .record(DecisionKind::Config, &name.name, reason);
        }
    }

    fn note_engine(&mut self, target: &TargetId, report: Option<&(EngineState, Duration)>) {
        self.polling.swap_remove(target);
        let now = clock::mono_now();
        self.membership
            .note_call(target, CallSource::Poll, report.is_some(), now);
        if let Some((state, age)) = report {
            self.membership.note_state(target, state, *age, now);
        }
    }

    fn poll_engines(&mut self, now: MonoTime) {
        for (target, address) in self.membership.engines_to_poll(now) {
            if !self.polling.insert(target.clone()) {
                continue;
            }
            let engines = self.inputs.engines.clone();
            let feeds = self.feeds.clone();
            tokio::spawn(control_feeds::poll_engine(engines, target, address, feeds));
        }
    }

    fn start_change(&mut self, change: ItemChange, reply: ChangeReply) {
        if self.changes_running >= MOST_CHANGES {
            let error = ChangeError::Unavailable {
                reason: format!("{MOST_CHANGES} changes are under way"),
            };
            let _ = reply.send(Err(error));
            return;
        }
        self.changes_running += 1;
        self.changes_made += 1;
        let settings = &self.inputs.settings;
        let mark = format!(
            "{}-{}-{}",
            settings.daemon_id, self.inputs.incarnation.0, self.changes_made
        );
        let (platform, feeds) = (self.inputs.platform.clone(), self.feeds.clone());
        let (view, locks) = (self.config.view().clone(), self.bucket_locks.clone());
        let index = BucketIndex::of(&change.item);
        let applied = self.config.version_of(index);
        tokio::spawn(async move {
            // Changes of one bucket through this daemon follow each other: run at
            // once they would only fail each other's conditions.
            let _guard = locks[index.position()].lock().await;
            let request = ChangeRequest {
                change: &change,
                mark: &mark,
                view: &view,
                applied,
            };
            let patience = ChangePatience::default();
            let result = config_store::run_change(&platform, request, patience).await;
            let result = result.map(|done| (done.revision, done.stored));
            let _ = feeds.send(FeedEvent::Changed {
                change,
                result,
                reply,
            });
        });
    }

    fn finish_change(
        &mut self,
        change: &ItemChange,
        result: Result<(u64, StoredObject), ChangeError>,
        reply: ChangeReply,
    ) {
        self.changes_running -= 1;
        let report = result.map(|(revision, stored)| {
            self.apply_config(&[stored], false);
            self.publish();
            ChangeReport {
                revision,
                confirmed: 1,
                unconfirmed: self.other_daemons(),
            }
        });
        if let Err(error) = &report {
            let reason = error.to_string();
            self.inputs
                .journal
                .record(DecisionKind::Config, &change.item.name, reason);
        }
        let _ = reply.send(report);
    }

    fn other_daemons(&self) -> Vec<String> {
        let own = &self.inputs.settings.daemon_id;
        let daemons = self.membership.fleet().daemons.values();
        daemons
            .filter(|d| d.id != *own && d.state < UseState::Leaving)
            .map(|d| d.id.to_string())
            .collect()
    }

    fn stop(&mut self, done: oneshot::Sender<()>) {
        self.stopping = true;
        self.membership.set_stopping();
        self.publish();
        let _ = done.send(());
    }

    fn publish(&mut self) {
        let changes = self.membership.refresh();
        self.explain_states(&changes);
        let next = self.snapshot();
        if !is_same(&self.cell.load(), &next) {
            self.cell.store(Arc::new(next));
        }
    }

    fn explain_states(&self, changes: &[StateChange]) {
        for change in changes {
            let before = change.before.map_or("new", UseState::as_str);
            let after = change.after.as_str();
            let reason = format!("{before} -> {after}");
            log::info!(subject = change.subject.as_str(), before, after; "state changed");
            self.inputs
                .journal
                .record(DecisionKind::Membership, &change.subject, reason);
        }
    }

    fn snapshot(&self) -> ControlSnapshot {
        let fleet = self.membership.fleet().clone();
        let live = fleet.daemons.values();
        let live = live.filter(|d| d.state == UseState::Live).count();
        ControlSnapshot {
            fleet,
            config: self.config.view().clone(),
            leases: Vec::new(),
            ready: self.config_whole && self.list_seen && !self.stopping,
            platform_reachable: self.platform_reachable,
            stopping: self.stopping,
            live_daemons: live.max(1),
        }
    }
}

fn is_same(old: &ControlSnapshot, new: &ControlSnapshot) -> bool {
    Arc::ptr_eq(&old.fleet, &new.fleet)
        && Arc::ptr_eq(&old.config, &new.config)
        && old.leases == new.leases
        && old.ready == new.ready
        && old.platform_reachable == new.platform_reachable
        && old.stopping == new.stopping
}
