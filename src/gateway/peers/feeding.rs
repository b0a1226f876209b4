//! How the objects of the store reach a daemon: from the store, or from a hub that
//! follows it.
//!
//! In a fleet with hubs one hub follows the store, the other hubs rely on it, and the
//! members of a data centre on their hub. Whoever hears for a part of the time in which
//! a change has to be in force that nobody before it has heard the store follows it
//! itself. Calls to the store are shared by all daemons and priced: with 195 daemons a
//! hub of each data centre and a start in which all listed everything made 290 calls a
//! second on a day with failures.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde_bytes::ByteBuf;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::control::ControlInput;
use crate::gateway::daemon::Gateway;
use crate::gateway::peers::hub::PeerRole;
use crate::gateway::peers::wire::{
    FeedObjects, ObjectUpdate, PeerMessage, SnapshotRequest, SnapshotResponse,
};
use crate::gateway::store_follow::{Feed, WatchMode};
use crate::names::{DaemonId, MonoTime};

/// Time after its start for which a member waits for a hub before it follows the store
/// itself. After all 195 daemons of a fleet had restarted, half of them were fed by a hub
/// 1.4 s later, the last one 1.8 s later, by their logs.
const HUB_PATIENCE: Duration = Duration::from_millis(2_500);
/// Time after its start for which a daemon waits to see whether the fleet has hubs: the
/// processes of 195 daemons started within 0.4 s of each other, and each writes its record.
const GATHER_TIME: Duration = Duration::from_millis(1_500);
/// Where the control thread hands on what it read of the store.
pub type RelayInbox = mpsc::UnboundedReceiver<FeedObjects>;

/// What decides how a daemon follows the store, beside its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedState {
    /// Whether a hub passes on what it reads.
    pub joined: bool,
    /// Whether one did until so lately that no change can be overdue.
    pub current: bool,
    /// Whether the hub is heard, whatever it hears itself.
    pub hub_heard: bool,
    /// What a daemon does that has just started, while it is not known who follows the
    /// store for whom.
    pub starting: Option<WatchMode>,
}

/// Decides how a daemon of a role follows the store.
///
/// A member whose hub goes has what the hub passed on until then, and the next hub asks
/// for little more than a second to take over. Only when a change could be overdue does
/// it follow the store itself: each hub that goes would otherwise cost a listing of
/// everything by each of its members, 350 calls in a data centre of 40 daemons.
#[must_use]
pub fn choose_watch_mode(role: &PeerRole, state: FeedState) -> WatchMode {
    match role {
        PeerRole::Mesh => state.starting.unwrap_or(WatchMode::Alone),
        PeerRole::Hub | PeerRole::Member(_) if state.joined || state.current => WatchMode::Fed,
        // In its first moments a daemon may be the only one it knows of its data centre.
        PeerRole::Hub => state.starting.unwrap_or(WatchMode::ForOthers),
        PeerRole::Member(_) => state.starting.unwrap_or(if state.hub_heard {
            WatchMode::BesideHub
        } else {
            WatchMode::WithoutHub
        }),
    }
}

/// Time after which a hub that did not answer is asked for its stock again.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);

/// When a member may stop following the store itself.
///
/// What a hub passed on before may have been lost or left out here, for instance while
/// this daemon was cut off and followed the store itself: a target that announced its
/// departure in that time would get work until it ends. So the member asks, and relies
/// on the hub from the answer to its newest question on.
#[derive(Debug, Default)]
pub struct FeedSubscription {
    joined: Option<DaemonId>,
    asked: Option<(DaemonId, MonoTime)>,
    last_number: u64,
    // When the store had been heard by the hub that was relied on last.
    heard_through: Option<MonoTime>,
}

impl FeedSubscription {
    /// Takes the hub that could feed this daemon now, if one could; returns the number
    /// of a question to send to it.
    pub fn rely_on(&mut self, hub: Option<&DaemonId>, now: MonoTime) -> Option<u64> {
        let Some(hub) = hub else {
            self.joined = None;
            self.asked = None;
            return None;
        };
        if self.joined.as_ref() == Some(hub) {
            return None;
        }
        self.joined = None;
        let waits = |(asked, at): &(DaemonId, MonoTime)| asked == hub && now.since(*at) < ASK_AGAIN;
        if self.asked.as_ref().is_some_and(waits) {
            return None;
        }
        self.asked = Some((hub.clone(), now));
        self.last_number += 1;
        Some(self.last_number)
    }

    /// Notes that a hub opened a link anew: what it said on the one before may be lost.
    pub fn note_new_link(&mut self, from: &DaemonId) {
        if self.joined.as_ref() == Some(from) {
            self.joined = None;
        }
        self.asked = self.asked.take().filter(|(hub, _)| hub != from);
    }

    /// Whether an answer is the one that is waited for.
    #[must_use]
    pub fn awaits(&self, from: &DaemonId, number: u64) -> bool {
        let asked = self.asked.as_ref().is_some_and(|(hub, _)| hub == from);
        asked && number == self.last_number
    }

    /// Takes the answer that is waited for, with which this daemon has `complete` objects
    /// of all kinds or not. A data centre whose hub relied on another one that had only
    /// begun to list had no configuration, and refused all its callers until the next
    /// change of it; it is asked again instead.
    pub fn take_stock(&mut self, from: &DaemonId, complete: bool) {
        self.asked = None;
        self.joined = complete.then(|| from.clone());
    }

    /// Notes when the hub that is relied on had heard the store.
    pub fn note_heard(&mut self, heard: Option<MonoTime>) {
        if self.joined.is_some() {
            self.heard_through = heard.max(self.heard_through);
        }
    }

    /// Whether a hub passed on what it read until less than `within` ago.
    #[must_use]
    pub fn is_current(&self, within: Duration, now: MonoTime) -> bool {
        self.heard_age(now) < within
    }

    /// Returns the time since the store was heard by the hub that is relied on.
    #[must_use]
    pub fn heard_age(&self, now: MonoTime) -> Duration {
        let heard = self.heard_through;
        heard.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether what a hub passes on counts.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined.is_some()
    }
}

/// Objects of the store as this daemon last read them, for members that link up.
#[derive(Debug, Default)]
pub struct StoreSnapshot {
    feeds: IndexMap<Feed, IndexMap<String, (u64, Vec<u8>)>>,
}

impl StoreSnapshot {
    /// Takes objects that were read; returns what others lack that had what this had.
    ///
    /// A listing that only adds to what is known goes on as the objects that changed: in
    /// whole it fills a narrow link for a part of a second, once for each member.
    pub fn take(&mut self, read: FeedObjects) -> Option<FeedObjects> {
        let news = self.news_in(&read);
        self.keep(&read);
        match news {
            Some(objects) if objects.is_empty() => None,
            Some(objects) => Some(FeedObjects {
                whole: false,
                objects,
                ..read
            }),
            None => Some(read),
        }
    }

    // The objects of a listing that are new; `None` where all of it has to go on.
    fn news_in(&self, read: &FeedObjects) -> Option<Vec<ObjectUpdate>> {
        let known = self.feeds.get(&read.feed).filter(|_| read.whole)?;
        let listed = |name: &String| read.objects.iter().any(|(listed, ..)| listed == name);
        if !known.keys().all(listed) {
            return None;
        }
        let is_new = |(name, version, _): &&ObjectUpdate| {
            known.get(name).is_none_or(|(known, _)| known != version)
        };
        Some(read.objects.iter().filter(is_new).cloned().collect())
    }

    fn keep(&mut self, read: &FeedObjects) {
        let feed = self.feeds.entry(read.feed).or_default();
        if read.whole {
            feed.clear();
        }
        for (name, version, value) in &read.objects {
            match value {
                Some(value) => {
                    feed.insert(name.clone(), (*version, value.clone().into_vec()));
                }
                None => {
                    feed.swap_remove(name);
                }
            }
        }
    }

    /// Whether all kinds of objects were read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let all = [Feed::Config, Feed::Targets, Feed::Daemons];
        all.iter().all(|feed| self.feeds.contains_key(feed))
    }

    /// Returns a digest of the names and versions of each feed.
    #[must_use]
    pub fn digests(&self) -> Vec<(Feed, u64)> {
        let feeds = self.feeds.iter();
        feeds
            .map(|(feed, objects)| (*feed, digest(objects)))
            .collect()
    }

    /// Returns the feeds that differ from those of these digests. Members mostly have
    /// what a new hub has; sending all of it to all of them fills a narrow link for a
    /// second, in which the hub's callers are not served and their leaving is not heard.
    #[must_use]
    pub fn missing(&self, known: &[(Feed, u64)]) -> Vec<FeedObjects> {
        let mut all = self.all();
        let digests = self.digests();
        all.retain(|objects| {
            let own = digests.iter().find(|(feed, _)| *feed == objects.feed);
            own.is_none_or(|own| !known.contains(own))
        });
        all
    }

    /// Returns everything.
    #[must_use]
    pub fn all(&self) -> Vec<FeedObjects> {
        let feeds = self.feeds.iter().map(|(feed, objects)| FeedObjects {
            feed: *feed,
            whole: true,
            objects: objects
                .iter()
                .map(|(name, (version, value))| {
                    (name.clone(), *version, Some(ByteBuf::from(value.clone())))
                })
                .collect(),
        });
        feeds.collect()
    }
}

fn digest(objects: &IndexMap<String, (u64, Vec<u8>)>) -> u64 {
    let mut versions: Vec<(&str, u64)> = objects
        .iter()
        .map(|(name, (version, _))| (name.as_str(), *version))
        .collect();
    versions.sort_unstable();
    let mut hasher = Xxh3::new();
    for (name, version) in versions {
        hasher.update(name.as_bytes());
        hasher.update(&version.to_le_bytes());
    }
    hasher.digest()
}

/// Keeps what the control thread read of the store for members that link up.
pub(super) async fn stock_up(gateway: Rc<Gateway>, mut relays: RelayInbox) {
    while let Some(objects) = relays.recv().await {
        gateway.stock_objects(objects);
    }
}

impl Gateway {
    /// Decides from whom this daemon hears of the store, and tells the control thread.
    pub(super) fn update_duty(&self, role: &PeerRole, now: MonoTime) {
        let view = self.view();
        let bounds = self.settings().relay_timeouts();
        let (feeder, silence) = match role {
            PeerRole::Mesh => (None, Duration::ZERO),
            PeerRole::Member(hub) => (Some(hub.clone()), bounds.member_timeout),
            PeerRole::Hub => {
                let feeder = self.hubs.borrow().store_hub(
                    &self.daemon,
                    &view.daemons,
                    &self.peers.borrow(),
                    now,
                );
                (feeder, bounds.hub_timeout)
            }
        };
        let hub_heard = match role {
            PeerRole::Member(hub) => self.peers.borrow().is_heard_directly(hub, now),
            PeerRole::Hub | PeerRole::Mesh => false,
        };
        let hubs = self.hubs.borrow();
        let feeding = feeder.filter(|hub| hubs.is_fed_by(hub, silence, now));
        self.rely_on(feeding.as_ref(), now);
        let mut feed_subscription = self.feed_subscription.borrow_mut();
        feed_subscription.note_heard(feeding.and_then(|hub| hubs.store_heard(&hub)));
        let state = FeedState {
            joined: feed_subscription.is_joined(),
            current: feed_subscription.is_current(silence, now),
            hub_heard,
            starting: self.starting(role, view.daemons.is_empty(), now),
        };
        let duty = choose_watch_mode(role, state);
        if self.watch_mode.replace(duty) != duty {
            log::info!(duty = format!("{duty:?}"), role = role.as_str(); "way of following the store changed");
            // The control thread ends only with the process.
            let _ = self.control_inputs.send(ControlInput::WatchMode(duty));
        }
    }

    // What a daemon does in its first seconds. Before any record is known, it is not known
    // either whether the fleet has hubs.
    fn starting(&self, role: &PeerRole, nobody_known: bool, now: MonoTime) -> Option<WatchMode> {
        let first = self.settings().first_start;
        let patience = match role {
            PeerRole::Member(_) => HUB_PATIENCE,
            _ if first || nobody_known => GATHER_TIME,
            _ => Duration::ZERO,
        };
        let waits = now.since(self.started) < patience;
        waits.then(|| WatchMode::initial(first))
    }

    // Other hubs rely only on one that hears the store itself; members on any that knows
    // when it was heard.
    pub(super) fn store_age_ms(&self, whole: bool, now: MonoTime) -> u32 {
        let age = match self.watch_mode.get() {
            WatchMode::ForOthers => self.store_liveness.age(now),
            WatchMode::Fed if whole => self.feed_subscription.borrow().heard_age(now),
            _ => Duration::MAX,
        };
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    }

    // Keeps objects for daemons that link up, and passes on what they lack that are linked.
    fn stock_objects(&self, objects: FeedObjects) {
        if let Some(news) = self.stock.borrow_mut().take(objects) {
            let feed = news.feed;
            self.feed_changes
                .send(feed, PeerMessage::Objects(news).encode());
        }
    }

    fn rely_on(&self, hub: Option<&DaemonId>, now: MonoTime) {
        let number = self.feed_subscription.borrow_mut().rely_on(hub, now);
        let (Some(hub), Some(number)) = (hub, number) else {
            return;
        };
        let question = PeerMessage::WantStock(SnapshotRequest {
            from: self.daemon.clone(),
            life: self.incarnation,
            number,
            known: self.stock.borrow().digests(),
        });
        // Without a link it is asked again in a second.
        self.placing.borrow().send(hub, &question);
    }

    pub(super) fn answer_stock(&self, question: &SnapshotRequest) {
        let view = self.view();
        let asker = (&question.from, question.life);
        if !view.daemons.iter().any(|d| (&d.id, d.incarnation) == asker) {
            return;
        }
        if !self.stock.borrow().is_complete() {
            // The asker asks again in a second.
            return;
        }
        let answer = PeerMessage::Stock(SnapshotResponse {
            from: self.daemon.clone(),
            number: question.number,
            feeds: self.stock.borrow().missing(&question.known),
        });
        // An asker whose link is not up yet asks again.
        self.placing.borrow().send(&question.from, &answer);
    }

    pub(super) fn take_stock(&self, answer: SnapshotResponse) {
        if !self
            .feed_subscription
            .borrow()
            .awaits(&answer.from, answer.number)
        {
            return;
        }
        for objects in answer.feeds {
            self.pass_on(objects);
        }
        let complete = self.stock.borrow().is_complete();
        self.feed_subscription
            .borrow_mut()
            .take_stock(&answer.from, complete);
    }

    pub(super) fn take_objects(&self, objects: FeedObjects) {
        if self.feed_subscription.borrow().is_joined() {
            self.pass_on(objects);
        }
    }

    fn pass_on(&self, objects: FeedObjects) {
        self.stock_objects(objects.clone());
        // The control thread ends only with the process.
        let _ = self.control_inputs.send(ControlInput::PeerObjects(objects));
    }
}
