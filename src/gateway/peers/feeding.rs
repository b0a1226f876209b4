//! How the objects of the store reach a daemon: from the store, or from a hub that
//! watches it.
//!
//! In a fleet with hubs one hub watches the store, the other hubs rely on it, and the
//! members of a data centre rely on their hub. A daemon watches the store itself when the
//! daemons that it relies on have not reached the store for a fraction of the time within
//! which a change has to be in force. Calls to the store are priced, and all daemons share
//! their quota: with a hub that watches in each data centre, and a start in which all daemons
//! listed everything, a fleet of 195 daemons made 290 calls a second on a day with failures.

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
use crate::ports::ObjectVersion;

/// Time after its start for which a member waits for a hub before it watches the store
/// itself. After a restart of all 195 daemons of a fleet, half of them received objects
/// from a hub within 1.4 s, and the last one after 1.8 s.
const HUB_WAIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after its start for which a daemon waits to learn whether the fleet has hubs: the
/// processes of 195 daemons start within 0.4 s of each other, and each writes its record.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Receives the objects that the control thread read from the store.
pub type RelayReceiver = mpsc::UnboundedReceiver<FeedObjects>;

/// What a daemon's watch mode depends on besides its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedState {
    /// Whether a hub relays the objects that it reads.
    pub subscribed: bool,
    /// Whether a hub relayed them so recently that no change can be overdue.
    pub current: bool,
    /// Whether the hub is reachable, even if it cannot reach the store.
    pub hub_reachable: bool,
    /// Mode of a daemon that has just started, until it is known which daemons watch the
    /// store for others.
    pub starting: Option<WatchMode>,
}

/// Decides how a daemon of a role watches the store.
///
/// A member whose hub fails has the objects that the hub relayed until then, and the next
/// hub takes over within little more than a second. The member watches the store itself
/// only when a change could be overdue: otherwise each failure of a hub would make each of
/// its members list everything, which is 350 calls in a data centre of 40 daemons.
#[must_use]
pub fn choose_watch_mode(role: &PeerRole, state: FeedState) -> WatchMode {
    match role {
        PeerRole::Mesh => state.starting.unwrap_or(WatchMode::Alone),
        PeerRole::Hub | PeerRole::Member(_) if state.subscribed || state.current => WatchMode::Fed,
        // Right after its start, a daemon may know of no other one in its data centre.
        PeerRole::Hub => state.starting.unwrap_or(WatchMode::ForOthers),
        PeerRole::Member(_) => state.starting.unwrap_or(if state.hub_reachable {
            WatchMode::BesideHub
        } else {
            WatchMode::WithoutHub
        }),
    }
}

/// Time after which the request for a hub's store snapshot is sent again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Decides when a daemon may stop watching the store itself and rely on a hub.
///
/// Objects that a hub relayed earlier may have been lost or ignored here, for instance
/// while this daemon was cut off and watched the store itself: a target that announced its
/// departure in that time would get work until it exits. The daemon therefore requests the
/// hub's snapshot, and relies on the hub from the response to its latest request on.
#[derive(Debug, Default)]
pub struct FeedSubscription {
    hub: Option<DaemonId>,
    requested: Option<(DaemonId, MonoTime)>,
    last_number: u64,
    // When the hub that was relied on last had its last response from the store.
    store_contact: Option<MonoTime>,
}

impl FeedSubscription {
    /// Sets the hub that could relay the store to this daemon now, if there is one; returns
    /// the number of a snapshot request to send to it.
    pub fn subscribe(&mut self, hub: Option<&DaemonId>, now: MonoTime) -> Option<u64> {
        let Some(hub) = hub else {
            self.hub = None;
            self.requested = None;
            return None;
        };
        if self.hub.as_ref() == Some(hub) {
            return None;
        }
        self.hub = None;
        let is_pending = |(requested, at): &(DaemonId, MonoTime)| {
            requested == hub && now.since(*at) < REQUEST_INTERVAL
        };
        if self.requested.as_ref().is_some_and(is_pending) {
            return None;
        }
        self.requested = Some((hub.clone(), now));
        self.last_number += 1;
        Some(self.last_number)
    }

    /// Handles a new link from a hub: messages sent on the previous one may be lost.
    pub fn handle_new_link(&mut self, from: &DaemonId) {
        if self.hub.as_ref() == Some(from) {
            self.hub = None;
        }
        self.requested = self.requested.take().filter(|(hub, _)| hub != from);
    }

    /// Whether a response is the one to the latest request.
    #[must_use]
    pub fn awaits(&self, from: &DaemonId, number: u64) -> bool {
        let requested = self.requested.as_ref().is_some_and(|(hub, _)| hub == from);
        requested && number == self.last_number
    }

    /// Applies the awaited response; `complete` tells whether this daemon then has objects
    /// of all kinds. If not, the request is repeated: when a hub relied on another one that
    /// had only begun to list, its data centre had no configuration and refused all callers
    /// until the next change of the configuration.
    pub fn apply_snapshot(&mut self, from: &DaemonId, complete: bool) {
        self.requested = None;
        self.hub = complete.then(|| from.clone());
    }

    /// Records when the hub that is relied on had its last response from the store.
    pub fn record_store_contact(&mut self, contact: Option<MonoTime>) {
        if self.hub.is_some() {
            self.store_contact = contact.max(self.store_contact);
        }
    }

    /// Whether the objects relayed by a hub were up to date less than `within` ago.
    #[must_use]
    pub fn is_current(&self, within: Duration, now: MonoTime) -> bool {
        self.store_age(now) < within
    }

    /// Returns the time since the last response of the store to the hub that is relied on.
    #[must_use]
    pub fn store_age(&self, now: MonoTime) -> Duration {
        let contact = self.store_contact;
        contact.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Returns the hub that this daemon relies on.
    #[must_use]
    pub fn hub(&self) -> Option<&DaemonId> {
        self.hub.as_ref()
    }

    /// Whether this daemon relies on a hub and applies the objects that it relays.
    #[must_use]
    pub fn is_subscribed(&self) -> bool {
        self.hub.is_some()
    }
}

/// Objects of the store as this daemon last read them or received them from a hub, for daemons
/// that connect.
#[derive(Debug, Default)]
pub struct StoreSnapshot {
    feeds: IndexMap<Feed, IndexMap<String, (u64, Vec<u8>)>>,
}

impl StoreSnapshot {
    /// Applies objects that were read or received; returns those to relay to daemons that had
    /// the same objects before.
    ///
    /// A listing in which nothing is missing is relayed as the objects that changed: a
    /// complete one fills a slow link for a part of a second, once for each member.
    pub fn update(&mut self, read: FeedObjects) -> Option<FeedObjects> {
        let changes = self.changed_objects(&read);
        self.record(&read);
        match changes {
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
    fn changed_objects(&self, read: &FeedObjects) -> Option<Vec<ObjectUpdate>> {
        let known = self.feeds.get(&read.feed).filter(|_| read.whole)?;
        let listed = |name: &String| read.objects.iter().any(|(listed, ..)| listed == name);
        // Members treat a listing of a restored store otherwise than changes.
        if !known.keys().all(listed) || begins_era(known, &read.objects) {
            return None;
        }
        let is_new = |(name, version, _): &&ObjectUpdate| {
            known.get(name).is_none_or(|(known, _)| known != version)
        };
        Some(read.objects.iter().filter(is_new).cloned().collect())
    }

    fn record(&mut self, read: &FeedObjects) {
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

    /// Whether it has objects of all kinds.
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
            let local = digests.iter().find(|(feed, _)| *feed == objects.feed);
            local.is_none_or(|local| !known.contains(local))
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

fn begins_era(known: &IndexMap<String, (u64, Vec<u8>)>, listed: &[ObjectUpdate]) -> bool {
    let era_of = |version: u64| ObjectVersion(version).era();
    let newest = known.values().map(|(version, _)| era_of(*version)).max();
    let listed = listed.iter().map(|(_, version, _)| era_of(*version)).max();
    newest.is_some_and(|newest| listed > Some(newest))
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
pub(super) async fn maintain_snapshot(gateway: Rc<Gateway>, mut relays: RelayReceiver) {
    while let Some(objects) = relays.recv().await {
        gateway.update_snapshot(objects);
    }
}

impl Gateway {
    /// Decides from where this daemon gets the store's objects, and notifies the control
    /// thread of a change.
    pub(super) fn update_watch_mode(&self, role: &PeerRole, now: MonoTime) {
        let view = self.view();
        let timeouts = self.settings().relay_timeouts();
        let (candidate, timeout) = match role {
            PeerRole::Mesh => (None, Duration::ZERO),
            PeerRole::Member(hub) => (Some(hub.clone()), timeouts.member_timeout),
            PeerRole::Hub => {
                let candidate = self.hubs.borrow().store_hub(
                    &self.daemon,
                    &view.daemons,
                    &self.peers.borrow(),
                    now,
                );
                (candidate, timeouts.hub_timeout)
            }
        };
        let hub_reachable = match role {
            PeerRole::Member(hub) => self.peers.borrow().is_directly_reachable(hub, now),
            PeerRole::Hub | PeerRole::Mesh => false,
        };
        let hubs = self.hubs.borrow();
        let source = candidate.filter(|hub| hubs.has_recent_store(hub, timeout, now));
        self.subscribe(source.as_ref(), now);
        let mut feed_subscription = self.feed_subscription.borrow_mut();
        feed_subscription.record_store_contact(source.and_then(|hub| hubs.store_contact(&hub)));
        let state = FeedState {
            subscribed: feed_subscription.is_subscribed(),
            current: feed_subscription.is_current(timeout, now),
            hub_reachable,
            starting: self.startup_mode(role, view.daemons.is_empty(), now),
        };
        let mode = choose_watch_mode(role, state);
        if self.watch_mode.replace(mode) != mode {
            log::info!(duty = format!("{mode:?}"), role = role.as_str(); "store watch mode changed");
            // The control thread runs until the process ends.
            let _ = self.control_inputs.send(ControlInput::WatchMode(mode));
        }
    }

    // Returns the watch mode of the first seconds. As long as no record is known, it is not
    // known either whether the fleet has hubs.
    fn startup_mode(
        &self,
        role: &PeerRole,
        no_daemon_known: bool,
        now: MonoTime,
    ) -> Option<WatchMode> {
        let first = self.settings().first_start;
        let timeout = match role {
            PeerRole::Member(_) => HUB_WAIT_TIMEOUT,
            _ if first || no_daemon_known => DISCOVERY_TIME,
            _ => Duration::ZERO,
        };
        let is_starting = now.since(self.started) < timeout;
        is_starting.then(|| WatchMode::initial(first))
    }

    // Other hubs rely only on a hub that watches the store itself; members rely on any hub
    // that knows when the store last responded.
    pub(super) fn store_age_ms(&self, whole_fleet: bool, now: MonoTime) -> u32 {
        let age = match self.watch_mode.get() {
            WatchMode::ForOthers => self.store_liveness.age(now),
            WatchMode::Fed if whole_fleet => self.feed_subscription.borrow().store_age(now),
            _ => Duration::MAX,
        };
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    }

    // Stores objects for daemons that connect, and relays the changes to connected ones.
    fn update_snapshot(&self, objects: FeedObjects) {
        if let Some(changes) = self.store_snapshot.borrow_mut().update(objects) {
            let feed = changes.feed;
            self.feed_changes
                .send(feed, PeerMessage::Objects(changes).encode());
        }
    }

    fn subscribe(&self, hub: Option<&DaemonId>, now: MonoTime) {
        let number = self.feed_subscription.borrow_mut().subscribe(hub, now);
        let (Some(hub), Some(number)) = (hub, number) else {
            return;
        };
        let request = PeerMessage::SnapshotRequest(SnapshotRequest {
            from: self.daemon.clone(),
            incarnation: self.incarnation,
            number,
            known: self.store_snapshot.borrow().digests(),
        });
        // Without a link, the request is sent again a second later.
        self.placement_client.borrow().send(hub, &request);
    }

    pub(super) fn answer_snapshot_request(&self, request: &SnapshotRequest) {
        let view = self.view();
        let requester = (&request.from, request.incarnation);
        if !view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == requester)
        {
            return;
        }
        if !self.store_snapshot.borrow().is_complete() {
            // The requester asks again a second later.
            return;
        }
        let response = PeerMessage::SnapshotResponse(SnapshotResponse {
            from: self.daemon.clone(),
            number: request.number,
            feeds: self.store_snapshot.borrow().missing(&request.known),
        });
        // A requester whose link is not up yet asks again.
        self.placement_client
            .borrow()
            .send(&request.from, &response);
    }

    pub(super) fn apply_snapshot(&self, response: SnapshotResponse) {
        if !self
            .feed_subscription
            .borrow()
            .awaits(&response.from, response.number)
        {
            return;
        }
        for objects in response.feeds {
            self.apply_objects(objects);
        }
        let complete = self.store_snapshot.borrow().is_complete();
        self.feed_subscription
            .borrow_mut()
            .apply_snapshot(&response.from, complete);
    }

    pub(super) fn handle_objects(&self, objects: FeedObjects) {
        if self.feed_subscription.borrow().is_subscribed() {
            self.apply_objects(objects);
        }
    }

    fn apply_objects(&self, objects: FeedObjects) {
        self.update_snapshot(objects.clone());
        // The control thread runs until the process ends.
        let _ = self.control_inputs.send(ControlInput::PeerObjects(objects));
    }
}
