//! How the objects of the store reach a daemon: from the store, or from a hub that
//! watches it.
//!
//! In a fleet with hubs one hub watches the store, the other hubs rely on it, and the
//! members of a data centre rely on their hub. A daemon watches the store itself when the
//! daemons that it relies on have not reached the store for a part of the time in which a
//! change has to be in force. Calls to the store are priced, and all daemons share their
//! quota: in a fleet of 195 daemons, a watching hub in each data centre and a start in
//! which all daemons listed everything took 290 calls a second on a day with failures.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde_bytes::ByteBuf;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::control::ControlNews;
use crate::gateway::daemon::Gateway;
use crate::gateway::peers::hub::PeerRole;
use crate::gateway::peers::wire::{
    FeedObjects, PeerMessage, StockAnswer, StockQuestion, StoredObjectNote,
};
use crate::gateway::store_follow::{Feed, WatchDuty};
use crate::names::{DaemonId, MonoTime};

/// Time after its start for which a member waits for a hub before it watches the store
/// itself. After a restart of all 195 daemons of a fleet, half of them received objects
/// from a hub within 1.4 s, and the last one after 1.8 s.
const HUB_PATIENCE: Duration = Duration::from_millis(2_500);
/// Time after its start for which a daemon waits to learn whether the fleet has hubs: the
/// processes of 195 daemons start within 0.4 s of each other, and each writes its record.
const GATHER_TIME: Duration = Duration::from_millis(1_500);
/// Receives the objects that the control thread read from the store.
pub type RelayInbox = mpsc::UnboundedReceiver<FeedObjects>;

/// What a daemon's watch mode depends on besides its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedState {
    /// Whether a hub relays the objects that it reads.
    pub joined: bool,
    /// Whether a hub did so until recently enough that no change can be overdue.
    pub current: bool,
    /// Whether the hub is reachable, even if it cannot reach the store.
    pub hub_heard: bool,
    /// Mode of a daemon that has just started, until it is known which daemons watch the
    /// store for others.
    pub starting: Option<WatchDuty>,
}

/// Decides how a daemon of a role watches the store.
///
/// A member whose hub fails has the objects that the hub relayed until then, and the next
/// hub takes over within little more than a second. The member watches the store itself
/// only when a change could be overdue: otherwise each failure of a hub would make each of
/// its members list everything, which is 350 calls in a data centre of 40 daemons.
#[must_use]
pub fn watch_duty(role: &PeerRole, state: FeedState) -> WatchDuty {
    match role {
        PeerRole::Mesh => state.starting.unwrap_or(WatchDuty::Alone),
        PeerRole::Hub | PeerRole::Member(_) if state.joined || state.current => WatchDuty::Fed,
        // Right after its start, a daemon may know of no other one in its data centre.
        PeerRole::Hub => state.starting.unwrap_or(WatchDuty::ForOthers),
        PeerRole::Member(_) => state.starting.unwrap_or(if state.hub_heard {
            WatchDuty::BesideHub
        } else {
            WatchDuty::WithoutHub
        }),
    }
}

/// Time after which the request for a hub's store snapshot is sent again.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);

/// Decides when a member may stop watching the store itself.
///
/// Objects that a hub relayed earlier may have been lost or ignored here, for instance
/// while this daemon was cut off and watched the store itself: a target that announced its
/// departure in that time would get work until it exits. The member therefore requests the
/// hub's snapshot, and relies on the hub from the response to its latest request on.
#[derive(Debug, Default)]
pub struct FeedJoin {
    joined: Option<DaemonId>,
    asked: Option<(DaemonId, MonoTime)>,
    last_number: u64,
    // When the hub that was relied on last had its last response from the store.
    heard_through: Option<MonoTime>,
}

impl FeedJoin {
    /// Sets the hub that could relay the store to this daemon now, if there is one; returns
    /// the number of a snapshot request to send to it.
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

    /// Handles a new link from a hub: messages sent on the previous one may be lost.
    pub fn note_new_link(&mut self, from: &DaemonId) {
        if self.joined.as_ref() == Some(from) {
            self.joined = None;
        }
        self.asked = self.asked.take().filter(|(hub, _)| hub != from);
    }

    /// Whether a response is the one to the latest request.
    #[must_use]
    pub fn awaits(&self, from: &DaemonId, number: u64) -> bool {
        let asked = self.asked.as_ref().is_some_and(|(hub, _)| hub == from);
        asked && number == self.last_number
    }

    /// Applies the awaited response; `complete` tells whether this daemon then has objects
    /// of all kinds. If not, the request is repeated: when a hub relied on another one that
    /// had only begun to list, its data centre had no configuration and refused all callers
    /// until the next change of the configuration.
    pub fn take_stock(&mut self, from: &DaemonId, complete: bool) {
        self.asked = None;
        self.joined = complete.then(|| from.clone());
    }

    /// Records when the hub that is relied on had its last response from the store.
    pub fn note_heard(&mut self, heard: Option<MonoTime>) {
        if self.joined.is_some() {
            self.heard_through = heard.max(self.heard_through);
        }
    }

    /// Whether the objects relayed by a hub were up to date less than `within` ago.
    #[must_use]
    pub fn is_current(&self, within: Duration, now: MonoTime) -> bool {
        self.heard_age(now) < within
    }

    /// Returns the time since the last response of the store to the hub that is relied on.
    #[must_use]
    pub fn heard_age(&self, now: MonoTime) -> Duration {
        let heard = self.heard_through;
        heard.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether this daemon relies on a hub and applies the objects that it relays.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined.is_some()
    }
}

/// Objects of the store as this daemon last read them, for members that connect.
#[derive(Debug, Default)]
pub struct FeedStock {
    feeds: IndexMap<Feed, IndexMap<String, (u64, Vec<u8>)>>,
}

impl FeedStock {
    /// Applies objects that were read; returns those to relay to daemons that had the same
    /// objects before.
    ///
    /// A listing in which nothing is missing is relayed as the objects that changed: a
    /// complete one fills a slow link for a part of a second, once for each member.
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

    // Returns the objects of a listing that changed; `None` if all of it has to be relayed.
    fn news_in(&self, read: &FeedObjects) -> Option<Vec<StoredObjectNote>> {
        let known = self.feeds.get(&read.feed).filter(|_| read.whole)?;
        let listed = |name: &String| read.objects.iter().any(|(listed, ..)| listed == name);
        if !known.keys().all(listed) {
            return None;
        }
        let is_new = |(name, version, _): &&StoredObjectNote| {
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

    /// Whether objects of all kinds were read.
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

    /// Returns the feeds that differ from those of these digests. Members mostly have the
    /// same objects as a new hub; sending everything to all members fills a slow link for a
    /// second, in which the hub serves no callers and does not notice their disconnects.
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

    /// Returns all objects of all feeds.
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

/// Stores the objects that the control thread reads, for members that connect.
pub(super) async fn stock_up(gateway: Rc<Gateway>, mut relays: RelayInbox) {
    while let Some(objects) = relays.recv().await {
        gateway.stock_objects(objects);
    }
}

impl Gateway {
    /// Decides from where this daemon gets the store's objects, and notifies the control
    /// thread of a change.
    pub(super) fn update_duty(&self, role: &PeerRole, now: MonoTime) {
        let view = self.view();
        let bounds = self.settings().relay_bounds();
        let (feeder, silence) = match role {
            PeerRole::Mesh => (None, Duration::ZERO),
            PeerRole::Member(hub) => (Some(hub.clone()), bounds.member_silence),
            PeerRole::Hub => {
                let feeder = self.hubs.borrow().store_hub(
                    &self.daemon,
                    &view.daemons,
                    &self.peers.borrow(),
                    now,
                );
                (feeder, bounds.hub_silence)
            }
        };
        let hub_heard = match role {
            PeerRole::Member(hub) => self.peers.borrow().is_heard_directly(hub, now),
            PeerRole::Hub | PeerRole::Mesh => false,
        };
        let hubs = self.hubs.borrow();
        let feeding = feeder.filter(|hub| hubs.is_fed_by(hub, silence, now));
        self.rely_on(feeding.as_ref(), now);
        let mut joins = self.joins.borrow_mut();
        joins.note_heard(feeding.and_then(|hub| hubs.store_heard(&hub)));
        let state = FeedState {
            joined: joins.is_joined(),
            current: joins.is_current(silence, now),
            hub_heard,
            starting: self.starting(role, view.daemons.is_empty(), now),
        };
        let duty = watch_duty(role, state);
        if self.duty.replace(duty) != duty {
            log::info!(duty = format!("{duty:?}"), role = role.as_str(); "way of following the store changed");
            // The control thread runs until the process ends.
            let _ = self.news.send(ControlNews::Duty(duty));
        }
    }

    // Returns the watch mode of the first seconds. As long as no record is known, it is not
    // known either whether the fleet has hubs.
    fn starting(&self, role: &PeerRole, nobody_known: bool, now: MonoTime) -> Option<WatchDuty> {
        let first = self.settings().first_start;
        let patience = match role {
            PeerRole::Member(_) => HUB_PATIENCE,
            _ if first || nobody_known => GATHER_TIME,
            _ => Duration::ZERO,
        };
        let waits = now.since(self.started) < patience;
        waits.then(|| WatchDuty::at_start(first))
    }

    // Other hubs rely only on a hub that watches the store itself; members rely on any hub
    // that knows when the store last responded.
    pub(super) fn store_age_ms(&self, whole: bool, now: MonoTime) -> u32 {
        let age = match self.duty.get() {
            WatchDuty::ForOthers => self.pulse.age(now),
            WatchDuty::Fed if whole => self.joins.borrow().heard_age(now),
            _ => Duration::MAX,
        };
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    }

    // Stores objects for daemons that connect, and relays the changes to connected ones.
    fn stock_objects(&self, objects: FeedObjects) {
        if let Some(news) = self.stock.borrow_mut().take(objects) {
            let feed = news.feed;
            self.feed_changes
                .send(feed, PeerMessage::Objects(news).encode());
        }
    }

    fn rely_on(&self, hub: Option<&DaemonId>, now: MonoTime) {
        let number = self.joins.borrow_mut().rely_on(hub, now);
        let (Some(hub), Some(number)) = (hub, number) else {
            return;
        };
        let question = PeerMessage::WantStock(StockQuestion {
            from: self.daemon.clone(),
            life: self.life,
            number,
            known: self.stock.borrow().digests(),
        });
        // Without a link, the request is sent again a second later.
        self.placing.borrow().send(hub, &question);
    }

    pub(super) fn answer_stock(&self, question: &StockQuestion) {
        let view = self.view();
        let asker = (&question.from, question.life);
        if !view.daemons.iter().any(|d| (&d.id, d.life) == asker) {
            return;
        }
        if !self.stock.borrow().is_complete() {
            // The requester asks again a second later.
            return;
        }
        let answer = PeerMessage::Stock(StockAnswer {
            from: self.daemon.clone(),
            number: question.number,
            feeds: self.stock.borrow().missing(&question.known),
        });
        // A requester whose link is not up yet asks again.
        self.placing.borrow().send(&question.from, &answer);
    }

    pub(super) fn take_stock(&self, answer: StockAnswer) {
        if !self.joins.borrow().awaits(&answer.from, answer.number) {
            return;
        }
        for objects in answer.feeds {
            self.pass_on(objects);
        }
        let complete = self.stock.borrow().is_complete();
        self.joins.borrow_mut().take_stock(&answer.from, complete);
    }

    pub(super) fn take_objects(&self, objects: FeedObjects) {
        if self.joins.borrow().is_joined() {
            self.pass_on(objects);
        }
    }

    fn pass_on(&self, objects: FeedObjects) {
        self.stock_objects(objects.clone());
        // The control thread runs until the process ends.
        let _ = self.news.send(ControlNews::PeerObjects(objects));
    }
}
