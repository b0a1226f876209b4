//! Follows one kind of the store's objects: lists it, watches it, and lists it again
//! when the watch cannot go on.

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
use crate::ports::{ObjectBatch, PlatformError, StoredObject, WatchQuery};

/// Longest wait of one watch. A connection can fall silent without a reset; a
/// watch that is not answered by then is begun anew on another connection, so this
/// also bounds for how long a silent one goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// First pause after a failed call; doubles up to [`LONGEST_BACKOFF`].
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call. Short, since a daemon that missed a
/// configuration has to have it soon after the store returns.
pub(super) const LONGEST_BACKOFF: Duration = Duration::from_millis(800);
/// The same for a member beside its hub. When the store is away for all, hubs ask often
/// and tell their members of its return; 190 members that ask as often learn no more.
const LONGEST_MEMBER_BACKOFF: Duration = Duration::from_millis(3_000);
/// Longest time for a listing of the configuration, one object: a listing begun on a
/// connection that fell silent with the store must not outlast its return for long.
const CONFIG_LIST_WAIT: Duration = Duration::from_millis(1_500);
/// Time between a member's first answer of the store after failures and its listings of
/// the larger kinds: its hub mostly has them by then and passes them on.
const RETURN_PAUSE: Duration = Duration::from_millis(900);

/// Wait of a watch after a failure: the answer tells when the store is back, which an
/// answer that waits for a change does seconds later.
const RETURN_WAIT: Duration = Duration::from_millis(20);
/// Pause after changes before more are asked for, so that many at once, as when a whole
/// fleet starts, take a call together instead of one each. Calls are shared by all
/// daemons and priced; the pause is a small part of the time in which a target's
/// departure has to be acted on.
const GATHER_PAUSE: Duration = Duration::from_millis(150);
/// The same while a daemon starts: it waits for its hub, and a whole fleet writes
/// hundreds of records in this time.
const START_GATHER_PAUSE: Duration = Duration::from_millis(400);

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

/// What following the store brings.
#[derive(Debug)]
pub enum StoreEvent {
    /// All objects of a kind.
    Listed(Feed, Vec<StoredObject>),
    /// Objects that changed.
    Changed(Feed, Vec<StoredObject>),
    /// The store did not answer a call that was begun at this moment.
    Failed(MonoTime),
    /// All that the store held of the configuration at this moment was told before.
    Confirmed(MonoTime),
    /// All changes of the targets' kind up to this revision were told before.
    TargetsThrough(u64),
}

impl StoreEvent {
    /// What hubs pass on of it.
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

/// How a daemon follows the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchMode {
    /// Only the daemons' records, until it is known who follows it for whom: the whole
    /// fleet starts, and each listing would be read by all at once.
    Gathering,
    /// The daemons' records; the other kinds are listed once, so that requests can be
    /// served before a hub is heard.
    Starting,
    /// For itself, in a fleet without hubs.
    Alone,
    /// For itself, as no hub is heard.
    WithoutHub,
    /// For itself, as its hub is heard and does not hear the store either, so far.
    BesideHub,
    /// For the members of its data centre too.
    ForOthers,
    /// Not at all: a hub passes on what it reads.
    Fed,
}

impl WatchMode {
    /// Returns the duty of a daemon that starts.
    #[must_use]
    pub fn at_start(first_start: bool) -> Self {
        if first_start {
            Self::Gathering
        } else {
            Self::Starting
        }
    }

    /// Returns the duty's name in metrics.
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

    /// Whether a kind of objects is listed.
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

    /// Whether a kind of objects is watched.
    #[must_use]
    pub fn watches(self, feed: Feed) -> bool {
        match self {
            Self::Fed => false,
            Self::Gathering | Self::Starting => feed == Feed::Daemons,
            Self::Alone | Self::WithoutHub | Self::BesideHub | Self::ForOthers => true,
        }
    }

    // A hub asks for one kind often: those that rely on it have to notice within their
    // bounds that it hears the store no more. So does whoever has to confirm keys.
    fn wait(self, feed: Feed, pace: ConfigWatchWaits) -> Duration {
        match (self, feed) {
            (Self::ForOthers, Feed::Config) => pace.heartbeat,
            (_, Feed::Config) => pace.config_wait.min(WATCH_WAIT),
            _ => WATCH_WAIT,
        }
    }

    fn gather_pause(self) -> Duration {
        match self {
            Self::Gathering | Self::Starting => START_GATHER_PAUSE,
            _ => GATHER_PAUSE,
        }
    }

    /// Returns the longest pause after a failed call.
    #[must_use]
    pub fn longest_backoff(self) -> Duration {
        match self {
            Self::BesideHub => LONGEST_MEMBER_BACKOFF,
            _ => LONGEST_BACKOFF,
        }
    }
}

/// How often the configuration's kind is asked for while nothing changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigWatchWaits {
    /// Longest wait of the watch by which a hub hears of the store.
    pub heartbeat: Duration,
    /// The same for a daemon that follows the store for itself.
    pub config_wait: Duration,
}

/// When the store was last heard, by kind of object.
#[derive(Debug)]
pub struct StoreLiveness {
    listed: [AtomicBool; 3],
    config_heard: watch::Sender<Option<MonoTime>>,
    // Milliseconds on the own clock, one more than they are; 0 stands for never.
    confirmed: AtomicU64,
}

impl Default for StoreLiveness {
    fn default() -> Self {
        Self {
            listed: Default::default(),
            config_heard: watch::Sender::new(None),
            confirmed: AtomicU64::new(0),
        }
    }
}

impl StoreLiveness {
    fn note(&self, feed: Feed) {
        self.listed[feed as usize].store(true, Ordering::Relaxed);
        if feed == Feed::Config {
            self.config_heard.send_replace(Some(clock::mono_now()));
        }
    }

    /// Time since the configuration's kind was heard, which is asked for most often;
    /// the longest there is before all kinds were listed once.
    #[must_use]
    pub fn age(&self, now: MonoTime) -> Duration {
        let listed = self.listed.iter().all(|l| l.load(Ordering::Relaxed));
        let heard = self.config_heard.borrow().filter(|_| listed);
        heard.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Notes that the published configuration was the newest one at a moment.
    pub fn note_confirmed(&self, at: MonoTime) {
        self.confirmed
            .fetch_max(at.0.saturating_add(1), Ordering::Release);
    }

    /// When the published configuration was the newest one, by the store's own word.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        let confirmed = self.confirmed.load(Ordering::Acquire);
        confirmed.checked_sub(1).map(MonoTime)
    }

    // Waits until the store was heard after a moment.
    async fn heard_after(&self, moment: MonoTime) {
        let mut heard = self.config_heard.subscribe();
        // The sender lives as long as this.
        let _ = heard.wait_for(|at| at.is_some_and(|at| at > moment)).await;
    }
}

/// Returns the store's name for a kind.
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
pub struct Follower {
    /// Adapter.
    pub ports: GatewayPorts,
    /// Kind followed.
    pub feed: Feed,
    /// The store's name for it.
    pub kind: String,
    /// Where news go.
    pub news: mpsc::UnboundedSender<StoreEvent>,
    /// Whether to follow, and for whom.
    pub duty: watch::Receiver<WatchMode>,
    /// Where to note that the store was heard.
    pub pulse: Arc<StoreLiveness>,
    /// How often the configuration is asked for while nothing changes.
    pub pace: ConfigWatchWaits,
}

impl Follower {
    /// Lists, then watches, and lists again when the watch cannot go on.
    pub async fn run(mut self) {
        let mut backoff = FIRST_BACKOFF;
        let mut failing = false;
        loop {
            let feed = self.feed;
            // The sender lives as long as the thread.
            let _ = self.duty.wait_for(|duty| duty.lists(feed)).await;
            self.count("list");
            let (asked, begun) = (clock::mono_now(), Instant::now());
            match self.list().await {
                Ok(batch) => {
                    backoff = FIRST_BACKOFF;
                    self.log_return(&mut failing, asked);
                    let news = StoreEvent::Listed(self.feed, batch.objects);
                    self.tell(news, batch.revision, asked);
                    self.watch_from(batch.revision).await;
                    pause(&mut backoff, LONGEST_BACKOFF).await;
                }
                Err(error) => {
                    failing = true;
                    self.note_failure(&error, asked);
                    self.pause_after_failure(&mut backoff, begun).await;
                }
            }
        }
    }

    async fn list(&self) -> Result<ObjectBatch, PlatformError> {
        let listing = (self.ports.store.list)(self.kind.clone());
        if self.feed != Feed::Config {
            return listing.await;
        }
        timeout(CONFIG_LIST_WAIT, listing)
            .await
            .unwrap_or_else(|_| {
                Err(PlatformError::Lost {
                    reason: "no listing in time".to_owned(),
                })
            })
    }

    // Watches until the store says that it cannot go on from here, or a hub does it.
    async fn watch_from(&mut self, mut since: u64) {
        let mut backoff = FIRST_BACKOFF;
        let mut failing = false;
        loop {
            let Some(duty) = self.duty_to_watch().await else {
                return;
            };
            let query = WatchQuery {
                kind: self.kind.clone(),
                since,
                wait: if failing {
                    RETURN_WAIT
                } else {
                    duty.wait(self.feed, self.pace)
                },
            };
            self.count("watch");
            let (asked, begun) = (clock::mono_now(), Instant::now());
            match (self.ports.store.watch)(query).await {
                Ok(ObjectBatch { revision, objects }) => {
                    self.log_return(&mut failing, asked);
                    backoff = FIRST_BACKOFF;
                    since = revision.max(since);
                    let gathers = !objects.is_empty() && self.feed != Feed::Config;
                    self.tell(StoreEvent::Changed(self.feed, objects), since, asked);
                    if gathers {
                        sleep(duty.gather_pause()).await;
                    }
                }
                Err(PlatformError::Refused { reason }) => {
                    log::info!(kind = self.kind.as_str(), since = since; "watch cannot go on, listing again: {reason}");
                    return;
                }
                Err(error) => {
                    failing = true;
                    self.note_failure(&error, asked);
                    self.pause_after_failure(&mut backoff, begun).await;
                }
            }
        }
    }

    // Waits until this kind is to be watched; `None` when a hub passes it on instead.
    async fn duty_to_watch(&mut self) -> Option<WatchMode> {
        let feed = self.feed;
        let decided = |duty: &WatchMode| duty.watches(feed) || *duty == WatchMode::Fed;
        // The sender lives as long as the thread.
        let duty = *self.duty.wait_for(decided).await.ok()?;
        duty.watches(feed).then_some(duty)
    }

    // In a fleet with hubs, a member asks for one kind until the store answers. A pause ends
    // where the duty changes: the next hub was a member that paused for long, and a store
    // that is back would be heard by nobody of its data centre until that pause is over.
    async fn pause_after_failure(&mut self, backoff: &mut Duration, begun: Instant) {
        let duty = *self.duty.borrow();
        let is_member = matches!(duty, WatchMode::WithoutHub | WatchMode::BesideHub);
        let failed_at = clock::mono_now();
        let mut duties = self.duty.clone();
        let changed = duties.wait_for(|now| *now != duty);
        if !is_member || self.feed == Feed::Config {
            tokio::select! {
                () = pause_since(begun, backoff, duty.longest_backoff()) => {}
                _ = changed => *backoff = FIRST_BACKOFF,
            }
            return;
        }
        let returned = async {
            self.pulse.heard_after(failed_at).await;
            sleep(RETURN_PAUSE).await;
        };
        tokio::select! {
            () = returned => {}
            () = sleep(LONGEST_MEMBER_BACKOFF) => {}
            _ = changed => {}
        }
    }

    fn count(&self, call: &'static str) {
        let duty = self.duty.borrow().as_str();
        let kind = self.feed.as_str();
        metrics::counter!("pistachiowick_store_reads_total", "call" => call, "kind" => kind, "duty" => duty)
            .increment(1);
    }

    // Hands on what the store answered to a question that was sent at `asked`. The answer
    // may have been under way for long; what it holds was true when it was asked for.
    fn tell(&self, news: StoreEvent, through: u64, asked: MonoTime) {
        self.pulse.note(self.feed);
        // The loop that receives this ends only with the thread.
        let _ = self.news.send(news);
        let _ = match self.feed {
            Feed::Config => self.news.send(StoreEvent::Confirmed(asked)),
            Feed::Targets => self.news.send(StoreEvent::TargetsThrough(through)),
            Feed::Daemons => Ok(()),
        };
    }

    fn log_return(&self, failing: &mut bool, asked: MonoTime) {
        if std::mem::take(failing) {
            let took_ms = millis(clock::mono_now().since(asked));
            log::info!(kind = self.kind.as_str(), took_ms = took_ms; "store answers again");
        }
    }

    fn note_failure(&self, error: &PlatformError, asked: MonoTime) {
        metrics::counter!("pistachiowick_store_failures_total").increment(1);
        let took_ms = millis(clock::mono_now().since(asked));
        log::warn!(kind = self.kind.as_str(), took_ms = took_ms; "store does not answer: {error}");
        let _ = self.news.send(StoreEvent::Failed(asked));
    }
}

/// Waits like [`pause`], less the time that the failed call took: one that hung was a pause.
async fn pause_since(begun: Instant, backoff: &mut Duration, longest: Duration) {
    let mut left = backoff.saturating_sub(begun.elapsed()).max(FIRST_BACKOFF);
    pause(&mut left, longest).await;
    *backoff = (*backoff * 2).min(longest);
}

/// Waits and doubles the wait up to `longest`. It differs between daemons, so that they
/// do not all come back in the same instant.
pub(super) async fn pause(backoff: &mut Duration, longest: Duration) {
    let part = rand::rng().random_range(0.5..1.0);
    sleep(backoff.mul_f64(part)).await;
    *backoff = (*backoff * 2).min(longest);
}
