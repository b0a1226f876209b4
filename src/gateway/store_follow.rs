//! Follows one kind of objects in the store: lists it, watches it, and lists it again when
//! the watch cannot be resumed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::clock;
use crate::gateway::peers::wire::FeedObjects;
use crate::gateway::port::GatewayPorts;
use crate::names::{MonoTime, millis};
use crate::ports::{ObjectBatch, ObjectVersion, PlatformError, StoredObject, WatchQuery};

/// Longest wait of one watch. A connection can stop responding without a reset. A watch
/// that is not answered by then is restarted on another connection, so this also bounds
/// how long a dead connection goes unnoticed.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// First backoff after a failed call; doubles up to [`MAX_BACKOFF`].
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after a failed call. Short, because a daemon that missed a configuration
/// must receive it soon after the store's return.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The same for a member whose hub is reachable. While the store is unavailable to all, hubs
/// poll it often and notify their members of its return; 190 members that poll as often
/// learn nothing more.
const MAX_MEMBER_BACKOFF: Duration = Duration::from_millis(3_000);
/// Timeout of a listing of the configuration, a single object. A listing on a connection
/// that died with the store must not continue long after the store's return.
const CONFIG_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between the first answer that a member receives from the store after failures and
/// its listings of the larger kinds: its hub mostly has them by then and relays them.
const MEMBER_LISTING_DELAY: Duration = Duration::from_millis(900);

/// Wait of a watch after a failure. The short wait shows at once when the store is back; a
/// watch that waits for a change would show it seconds later.
pub(super) const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(20);
/// Pause after changes before the next watch, so that many changes at once, as when a whole
/// fleet starts, share a call instead of taking one each. Calls have a price, and all daemons
/// share one budget of them. The pause is a small part of the time within which a target's
/// departure must be acted on.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// The same while a daemon starts: it waits for its hub, and a starting fleet writes
/// hundreds of records in this time.
const STARTUP_BATCH_PAUSE: Duration = Duration::from_millis(400);

/// Kinds of objects that are followed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Feed {
    /// The configuration.
    Config,
    /// Targets' entries.
    Targets,
    /// Daemons' records.
    Daemons,
}

impl Feed {
    /// Returns the kind's name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Daemons => "daemons",
        }
    }
}

/// Events from following the store.
#[derive(Debug)]
pub enum StoreEvent {
    /// All objects of a kind.
    Listed(Feed, Vec<StoredObject>),
    /// Objects that changed.
    Changed(Feed, Vec<StoredObject>),
    /// A call that was started at this time has failed.
    Failed(MonoTime),
    /// Earlier events contain the configuration as it was in the store at this time.
    Confirmed(MonoTime),
    /// Earlier events contain all changes of targets' entries up to this revision.
    TargetsThrough(u64),
}

impl StoreEvent {
    /// Returns the objects that a hub relays to its members, if any.
    #[must_use]
    pub fn relayed(&self) -> Option<FeedObjects> {
        let (feed, whole, objects) = match self {
            Self::Listed(feed, objects) => (*feed, true, objects),
            Self::Changed(feed, objects) if !objects.is_empty() => (*feed, false, objects),
            Self::Changed(..) | Self::Failed(_) | Self::Confirmed(_) | Self::TargetsThrough(_) => {
                return None;
            }
        };
        let objects = objects.iter();
        let objects = objects.map(|o| {
            (
                o.object.name.clone(),
                o.version.0,
                o.value.clone().map(ByteBuf::from),
            )
        });
        Some(FeedObjects {
            feed,
            whole,
            objects: objects.collect(),
        })
    }
}

/// Mode in which a daemon follows the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchMode {
    /// Follows only the daemons' records until the hubs are known: the whole fleet is
    /// starting, and all daemons would request each listing at once.
    Gathering,
    /// Follows the daemons' records and lists the other kinds once, so that requests can be
    /// served before a hub is reachable.
    Starting,
    /// Follows the store for itself, in a fleet without hubs.
    Alone,
    /// Follows the store for itself because no hub is reachable.
    WithoutHub,
    /// Follows the store for itself because its hub, though reachable, has no contact to the
    /// store either.
    BesideHub,
    /// Follows the store for itself, the members of its data centre and the other hubs.
    ForOthers,
    /// Does not follow the store: a hub relays what it reads.
    Fed,
}

impl WatchMode {
    /// Returns the mode of a daemon that starts.
    #[must_use]
    pub fn initial(first_start: bool) -> Self {
        if first_start {
            Self::Gathering
        } else {
            Self::Starting
        }
    }

    /// Returns the mode's name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gathering => "gathering",
            Self::Starting => "starting",
            Self::Alone => "alone",
            Self::WithoutHub => "without_hub",
            Self::BesideHub => "beside_hub",
            Self::ForOthers => "for_others",
            Self::Fed => "fed",
        }
    }

    /// Returns whether a kind of objects is listed.
    #[must_use]
    pub fn lists(self, feed: Feed) -> bool {
        match self {
            Self::Fed => false,
            Self::Gathering => feed == Feed::Daemons,
            Self::Starting | Self::Alone | Self::WithoutHub | Self::BesideHub | Self::ForOthers => {
                true
            }
        }
    }

    /// Returns whether a kind of objects is watched.
    #[must_use]
    pub fn watches(self, feed: Feed) -> bool {
        match self {
            Self::Fed => false,
            Self::Gathering | Self::Starting => feed == Feed::Daemons,
            Self::Alone | Self::WithoutHub | Self::BesideHub | Self::ForOthers => true,
        }
    }

    // A hub polls the configuration often, so that its members notice in time when it loses
    // contact to the store. So does a daemon that has to confirm keys.
    fn wait(self, feed: Feed, config_waits: ConfigWatchWaits) -> Duration {
        match (self, feed) {
            (Self::ForOthers, Feed::Config) => config_waits.hub_wait,
            (_, Feed::Config) => config_waits.standalone_wait.min(MAX_WATCH_WAIT),
            _ => MAX_WATCH_WAIT,
        }
    }

    fn batch_pause(self) -> Duration {
        match self {
            Self::Gathering | Self::Starting => STARTUP_BATCH_PAUSE,
            _ => BATCH_PAUSE,
        }
    }

    /// Returns the longest backoff after a failed call.
    #[must_use]
    pub fn max_backoff(self) -> Duration {
        match self {
            Self::BesideHub => MAX_MEMBER_BACKOFF,
            _ => MAX_BACKOFF,
        }
    }
}

/// Longest waits of the configuration watch, which bound the time between two answers while
/// nothing changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigWatchWaits {
    /// Longest wait for a hub, for whose members it serves as a heartbeat of the store.
    pub hub_wait: Duration,
    /// Longest wait for a daemon that follows the store for itself.
    pub standalone_wait: Duration,
}

/// Records when the store last answered and when the configuration was last confirmed.
#[derive(Debug)]
pub struct StoreLiveness {
    listed: [AtomicBool; 3],
    config_answered: watch::Sender<Option<MonoTime>>,
    // Milliseconds on the local clock plus one; 0 means never.
    confirmed: AtomicU64,
    // Zero before the first list.
    targets_through: AtomicU64,
}

impl Default for StoreLiveness {
    fn default() -> Self {
        Self {
            listed: Default::default(),
            config_answered: watch::Sender::new(None),
            confirmed: AtomicU64::new(0),
            targets_through: AtomicU64::new(0),
        }
    }
}

impl StoreLiveness {
    fn note_answer(&self, feed: Feed) {
        self.listed[feed as usize].store(true, Ordering::Relaxed);
        if feed == Feed::Config {
            self.config_answered.send_replace(Some(clock::mono_now()));
        }
    }

    /// Returns the time since the last answer for the configuration, the kind polled most
    /// often; [`Duration::MAX`] until all kinds have been listed once.
    #[must_use]
    pub fn age(&self, now: MonoTime) -> Duration {
        let listed = self.listed.iter().all(|l| l.load(Ordering::Relaxed));
        let answered = self.config_answered.borrow().filter(|_| listed);
        answered.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Records that the published configuration was the newest one at the given time.
    pub fn note_confirmed(&self, at: MonoTime) {
        self.confirmed
            .fetch_max(at.0.saturating_add(1), Ordering::Release);
    }

    /// Returns the last time at which the store confirmed that the published configuration
    /// was the newest one.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        let confirmed = self.confirmed.load(Ordering::Acquire);
        confirmed.checked_sub(1).map(MonoTime)
    }

    /// Records that the published view contains all changes of targets' entries up to a
    /// revision of the store.
    pub fn note_targets_through(&self, revision: u64) {
        self.targets_through.store(revision, Ordering::Release);
    }

    /// Returns the revision up to which the published view contains all changes of targets'
    /// entries; nothing before the first list.
    #[must_use]
    pub fn targets_through(&self) -> Option<u64> {
        let through = self.targets_through.load(Ordering::Acquire);
        (through > 0).then_some(through)
    }

    // Waits until the store has answered after the given time.
    async fn answered_after(&self, moment: MonoTime) {
        let mut answered = self.config_answered.subscribe();
        // The sender lives as long as `self`.
        let _ = answered
            .wait_for(|at| at.is_some_and(|at| at > moment))
            .await;
    }
}

/// Returns the name of a kind in the store.
#[must_use]
pub fn kind_of(ports: &GatewayPorts, feed: Feed) -> String {
    let schema = &ports.schema;
    match feed {
        Feed::Config => schema.config_kind.clone(),
        Feed::Targets => schema.target_kind.clone(),
        Feed::Daemons => schema.daemon_kind.clone(),
    }
}

/// Follows one kind of objects.
pub struct StoreFollower {
    /// Ports of the adapter.
    pub ports: GatewayPorts,
    /// Kind of objects that is followed.
    pub feed: Feed,
    /// Name of that kind in the store.
    pub kind: String,
    /// Receives the events.
    pub events: mpsc::UnboundedSender<StoreEvent>,
    /// Current mode of following the store.
    pub watch_mode: watch::Receiver<WatchMode>,
    /// Records when the store last answered and last confirmed the configuration.
    pub store_liveness: Arc<StoreLiveness>,
    /// Longest waits of the configuration watch.
    pub config_waits: ConfigWatchWaits,
}

impl StoreFollower {
    /// Lists, then watches, and lists again when the watch cannot be resumed.
    pub async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut failing = false;
        loop {
            let feed = self.feed;
            // The sender lives as long as the thread.
            let _ = self
                .watch_mode
                .wait_for(|watch_mode| watch_mode.lists(feed))
                .await;
            self.count("list");
            let (called_at, started) = (clock::mono_now(), Instant::now());
            match self.list().await {
                Ok(batch) => {
                    backoff = INITIAL_BACKOFF;
                    self.log_recovery(&mut failing, called_at);
                    let event = StoreEvent::Listed(self.feed, batch.objects);
                    self.publish(event, batch.revision, called_at);
                    self.watch_from(batch.revision).await;
                    sleep_with_backoff(&mut backoff, MAX_BACKOFF).await;
                }
                Err(error) => {
                    failing = true;
                    self.note_failure(&error, called_at);
                    self.pause_after_failure(&mut backoff, started).await;
                }
            }
        }
    }

    async fn list(&self) -> Result<ObjectBatch, PlatformError> {
        let listing = (self.ports.store.list)(self.kind.clone());
        if self.feed != Feed::Config {
            return listing.await;
        }
        timeout(CONFIG_LIST_TIMEOUT, listing)
            .await
            .unwrap_or_else(|_| {
                Err(PlatformError::Lost {
                    reason: "configuration not listed in time".to_owned(),
                })
            })
    }

    // Watches until the store refuses to resume from the revision or a hub takes over.
    async fn watch_from(&mut self, mut since: u64) {
        let mut backoff = INITIAL_BACKOFF;
        let mut failing = false;
        loop {
            let Some(watch_mode) = self.mode_to_watch().await else {
                return;
            };
            let query = WatchQuery {
                kind: self.kind.clone(),
                since,
                wait: if failing {
                    RECOVERY_WATCH_WAIT
                } else {
                    watch_mode.wait(self.feed, self.config_waits)
                },
            };
            self.count("watch");
            let (called_at, started) = (clock::mono_now(), Instant::now());
            match (self.ports.store.watch)(query).await {
                Ok(ObjectBatch { revision, objects }) => {
                    self.log_recovery(&mut failing, called_at);
                    backoff = INITIAL_BACKOFF;
                    since = revision.max(since);
                    let batches = !objects.is_empty() && self.feed != Feed::Config;
                    self.publish(StoreEvent::Changed(self.feed, objects), since, called_at);
                    if batches {
                        sleep(watch_mode.batch_pause()).await;
                    }
                }
                Err(PlatformError::Refused { reason }) => {
                    log::info!(kind = self.kind.as_str(), since = ObjectVersion(since).revision(); "watch cannot be resumed, listing again: {reason}");
                    return;
                }
                Err(error) => {
                    failing = true;
                    self.note_failure(&error, called_at);
                    self.pause_after_failure(&mut backoff, started).await;
                }
            }
        }
    }

    // Waits until this kind is to be watched; `None` if a hub relays it instead.
    async fn mode_to_watch(&mut self) -> Option<WatchMode> {
        let feed = self.feed;
        let is_decided =
            |watch_mode: &WatchMode| watch_mode.watches(feed) || *watch_mode == WatchMode::Fed;
        // The sender lives as long as the thread.
        let watch_mode = *self.watch_mode.wait_for(is_decided).await.ok()?;
        watch_mode.watches(feed).then_some(watch_mode)
    }

    // In a fleet with hubs, a member polls only the configuration until the store answers. A
    // pause ends when the mode changes: a member that becomes the hub may be in a long pause,
    // and until it ended, no daemon of its data centre would notice that the store is back.
    async fn pause_after_failure(&mut self, backoff: &mut Duration, started: Instant) {
        let watch_mode = *self.watch_mode.borrow();
        let is_member = matches!(watch_mode, WatchMode::WithoutHub | WatchMode::BesideHub);
        let failed_at = clock::mono_now();
        let mut modes = self.watch_mode.clone();
        let changed = modes.wait_for(|now| *now != watch_mode);
        if !is_member || self.feed == Feed::Config {
            tokio::select! {
                () = sleep_after_failure(started, backoff, watch_mode.max_backoff()) => {}
                _ = changed => *backoff = INITIAL_BACKOFF,
            }
            return;
        }
        let store_returned = async {
            self.store_liveness.answered_after(failed_at).await;
            sleep(MEMBER_LISTING_DELAY).await;
        };
        tokio::select! {
            () = store_returned => {}
            () = sleep(MAX_MEMBER_BACKOFF) => {}
            _ = changed => {}
        }
    }

    fn count(&self, call: &'static str) {
        let watch_mode = self.watch_mode.borrow().as_str();
        let kind = self.feed.as_str();
        metrics::counter!("pistachiowick_store_reads_total", "call" => call, "kind" => kind, "duty" => watch_mode)
            .increment(1);
    }

    // Sends the store's answer to a call that was started at `called_at`. The answer may have
    // been in transit for long, but was valid at the time of the call.
    fn publish(&self, event: StoreEvent, through: u64, called_at: MonoTime) {
        self.store_liveness.note_answer(self.feed);
        // The loop that receives this ends only with the thread.
        let _ = self.events.send(event);
        let _ = match self.feed {
            Feed::Config => self.events.send(StoreEvent::Confirmed(called_at)),
            Feed::Targets => self.events.send(StoreEvent::TargetsThrough(through)),
            Feed::Daemons => Ok(()),
        };
    }

    fn log_recovery(&self, failing: &mut bool, called_at: MonoTime) {
        if std::mem::take(failing) {
            let took_ms = millis(clock::mono_now().since(called_at));
            log::info!(kind = self.kind.as_str(), took_ms = took_ms; "store answers again");
        }
    }

    fn note_failure(&self, error: &PlatformError, called_at: MonoTime) {
        metrics::counter!("pistachiowick_store_failures_total").increment(1);
        let took_ms = millis(clock::mono_now().since(called_at));
        log::warn!(kind = self.kind.as_str(), took_ms = took_ms; "call to the store failed: {error}");
        let _ = self.events.send(StoreEvent::Failed(called_at));
    }
}

/// Waits like [`sleep_with_backoff`], less the time that the failed call took: a call that
/// hung already was a pause.
async fn sleep_after_failure(started: Instant, backoff: &mut Duration, max: Duration) {
    let mut remaining = backoff
        .saturating_sub(started.elapsed())
        .max(INITIAL_BACKOFF);
    sleep_with_backoff(&mut remaining, max).await;
    *backoff = (*backoff * 2).min(max);
}

/// Waits with jitter and doubles the wait up to `max`. The jitter keeps daemons from
/// retrying in the same instant.
pub(super) async fn sleep_with_backoff(backoff: &mut Duration, max: Duration) {
    let part = rand::rng().random_range(0.5..1.0);
    sleep(backoff.mul_f64(part)).await;
    *backoff = (*backoff * 2).min(max);
}
