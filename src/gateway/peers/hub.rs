//! Hubs: in large fleets one daemon of each data centre speaks for it.
//!
//! With links from each daemon to each other one, messages grow with the square of
//! the fleet: 90 daemons would exchange 40,000 hints a second. With hubs a daemon
//! has one link, and a hub one to each of its members and to each other hub. Only
//! hubs watch the store and pass on what changes.
//!
//! Nothing is agreed on: each daemon takes the first of its data centre that it
//! hears as its hub. One that others take for their hub acts as one.

use std::time::Duration;

use indexmap::IndexMap;
use serde_bytes::ByteBuf;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::members::DaemonRecord;
use crate::gateway::peers::book::PeerBook;
use crate::gateway::peers::wire::{FeedObjects, HeldNote, MemberNote, PeerHint};
use crate::gateway::store_follow::Feed;
use crate::names::{CentreName, DaemonId, MonoTime};

/// Largest fleet without hubs: below it, links to all cost less than the delay of
/// two further hops.
const MOST_WITHOUT_HUBS: usize = 16;
/// Silence after which another daemon is taken for the hub.
const HUB_SILENCE: Duration = Duration::from_millis(1_200);
/// Silence of the store at a hub after which its members follow the store themselves.
/// A hub that is cut from the store would otherwise keep its whole data centre on an
/// old configuration; with the time to list, this stays below the users' bounds.
const STORE_SILENCE: Duration = Duration::from_millis(1_700);
/// Time for a new hub to be heard.
const HUB_START: Duration = Duration::from_millis(2_500);
/// Time for which a silent hub is passed over.
const PASSED_OVER: Duration = Duration::from_secs(6);
/// Time since a member's last hint for which a daemon acts as its hub.
const ACTING_TIME: Duration = Duration::from_millis(1_500);

/// Where the control thread hands on what it read of the store.
pub type RelayInbox = mpsc::UnboundedReceiver<FeedObjects>;

/// What a daemon is among the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerRole {
    /// Links to all.
    Mesh,
    /// Speaks for its data centre.
    Hub,
    /// Talks to this hub only.
    Member(DaemonId),
}

impl PeerRole {
    /// Returns the role's name in logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Mesh => "mesh",
            Self::Hub => "hub",
            Self::Member(_) => "member",
        }
    }
}

/// What is said on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkKind {
    /// Own hints.
    Hint,
    /// The own data centre's summary.
    OtherHub,
    /// The fleet's summary and the store's objects.
    Member,
}

/// What a daemon keeps to know its hub.
#[derive(Debug, Default)]
pub struct HubBook {
    role: Option<PeerRole>,
    hub_since: Option<(DaemonId, MonoTime)>,
    passed_over: IndexMap<DaemonId, MonoTime>,
    last_hints: IndexMap<DaemonId, MonoTime>,
    // The hub that spoke last, and when it had heard the store.
    store_heard: Option<(DaemonId, MonoTime)>,
}

impl HubBook {
    /// Notes a hint: whoever sends one to a daemon of a large fleet takes it for a hub.
    pub fn note_hint(&mut self, from: &DaemonId, now: MonoTime) {
        self.last_hints.insert(from.clone(), now);
    }

    /// Notes how long ago a hub had heard the store.
    pub fn note_store(&mut self, hub: &DaemonId, age: Duration, now: MonoTime) {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let heard = MonoTime(now.0.saturating_sub(age));
        self.store_heard = Some((hub.clone(), heard));
    }

    /// Whether a hub passes on a store that it hears itself.
    #[must_use]
    pub fn is_fed_by(&self, hub: &DaemonId, now: MonoTime) -> bool {
        let heard = self.store_heard.as_ref();
        heard.is_some_and(|(from, at)| from == hub && now.since(*at) < STORE_SILENCE)
    }

    /// Whether this daemon acts as a hub.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        self.role == Some(PeerRole::Hub)
    }

    /// Decides what this daemon is now.
    pub fn role(
        &mut self,
        own: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerBook,
        now: MonoTime,
    ) -> PeerRole {
        let role = self.decide(own, daemons, peers, now);
        self.role = Some(role.clone());
        role
    }

    fn decide(
        &mut self,
        own: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerBook,
        now: MonoTime,
    ) -> PeerRole {
        let staying = daemons.iter().filter(|d| !d.leaving).count();
        if staying <= MOST_WITHOUT_HUBS {
            return PeerRole::Mesh;
        }
        self.passed_over.retain(|_, until| now < *until);
        self.last_hints.retain(|_, at| now.since(*at) < ACTING_TIME);
        self.pass_over_silent(peers, now);
        let centre = daemons.iter().find(|d| d.id == *own).map(|d| &d.centre);
        let hub = centre.and_then(|centre| self.first_of(centre, own, daemons));
        let acting = !self.last_hints.is_empty();
        match hub {
            Some(hub) if hub != *own && !acting => {
                let since = self.hub_since.take().filter(|(known, _)| *known == hub);
                self.hub_since = Some(since.unwrap_or((hub.clone(), now)));
                PeerRole::Member(hub)
            }
            _ => PeerRole::Hub,
        }
    }

    fn pass_over_silent(&mut self, peers: &PeerBook, now: MonoTime) {
        let Some((hub, since)) = &self.hub_since else {
            return;
        };
        let started = now.since(*since) > HUB_START;
        if started && !peers.was_heard_within(hub, HUB_SILENCE, now) {
            log::warn!(hub = hub.as_str(); "hub is silent; the next daemon is taken");
            self.passed_over.insert(hub.clone(), now.plus(PASSED_OVER));
            self.hub_since = None;
        }
    }

    fn first_of(
        &self,
        centre: &CentreName,
        own: &DaemonId,
        daemons: &[DaemonRecord],
    ) -> Option<DaemonId> {
        let there = daemons.iter().filter(|d| d.centre == *centre && !d.leaving);
        let sound = |id: &DaemonId| id == own || !self.passed_over.contains_key(id);
        there.map(|d| &d.id).find(|id| sound(id)).cloned()
    }

    /// Links that a role asks for.
    #[must_use]
    pub fn links(
        &self,
        role: &PeerRole,
        own: &DaemonId,
        daemons: &[DaemonRecord],
    ) -> Vec<(DaemonRecord, LinkKind)> {
        let others = daemons.iter().filter(|d| d.id != *own);
        match role {
            PeerRole::Mesh => others.map(|d| (d.clone(), LinkKind::Hint)).collect(),
            PeerRole::Member(hub) => others
                .filter(|d| d.id == *hub)
                .map(|d| (d.clone(), LinkKind::Hint))
                .collect(),
            PeerRole::Hub => self.hub_links(own, daemons),
        }
    }

    fn hub_links(&self, own: &DaemonId, daemons: &[DaemonRecord]) -> Vec<(DaemonRecord, LinkKind)> {
        let centre = daemons.iter().find(|d| d.id == *own).map(|d| &d.centre);
        let kind = |daemon: &DaemonRecord| {
            if self.last_hints.contains_key(&daemon.id) {
                return Some(LinkKind::Member);
            }
            let first = self.first_of(&daemon.centre, own, daemons);
            let is_hub = first.is_some_and(|first| first == daemon.id);
            if Some(&daemon.centre) != centre {
                return is_hub.then_some(LinkKind::OtherHub);
            }
            // The first of the own data centre learns what its stand-in knows.
            Some(if is_hub {
                LinkKind::OtherHub
            } else {
                LinkKind::Member
            })
        };
        let others = daemons.iter().filter(|d| d.id != *own);
        others.filter_map(|d| Some((d.clone(), kind(d)?))).collect()
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
pub struct FeedJoin {
    joined: Option<DaemonId>,
    asked: Option<(DaemonId, MonoTime)>,
    last_number: u64,
}

impl FeedJoin {
    /// Takes the hub that could feed this daemon now, if one could; returns the number
    /// of a question to send to it.
    pub fn rely_on(&mut self, hub: Option<&DaemonId>, now: MonoTime) -> Option<u64> {
        let Some(hub) = hub else {
            *self = Self {
                last_number: self.last_number,
                ..Self::default()
            };
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

    /// Takes an answer; true when it is the one that is waited for.
    pub fn take_stock(&mut self, from: &DaemonId, number: u64) -> bool {
        let asked = self.asked.as_ref().is_some_and(|(hub, _)| hub == from);
        let counts = asked && number == self.last_number;
        if counts {
            self.joined = Some(from.clone());
            self.asked = None;
        }
        counts
    }

    /// Whether what a hub passes on counts.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined.is_some()
    }
}

/// What engines came to hold, on its way through a hub.
#[derive(Debug, Default)]
pub struct RelayedHeld {
    /// Told by members; goes to other hubs and to members.
    pub members: Vec<HeldNote>,
    /// Told by other hubs; goes to members.
    pub hubs: Vec<HeldNote>,
}

/// Most notes that wait for the next word; a daemon that is no hub passes none on.
const MOST_RELAYED: usize = 4_096;

impl RelayedHeld {
    /// Keeps notes of a member.
    pub fn keep_member(&mut self, notes: &[HeldNote]) {
        keep(&mut self.members, notes);
    }

    /// Keeps notes of another hub.
    pub fn keep_hub(&mut self, notes: &[HeldNote]) {
        keep(&mut self.hubs, notes);
    }
}

fn keep(kept: &mut Vec<HeldNote>, notes: &[HeldNote]) {
    if kept.len() >= MOST_RELAYED {
        kept.clear();
    }
    kept.extend_from_slice(notes);
}

/// Objects of the store as this daemon last read them, for members that link up.
#[derive(Debug, Default)]
pub struct FeedStock {
    feeds: IndexMap<Feed, IndexMap<String, (u64, Vec<u8>)>>,
}

impl FeedStock {
    /// Takes objects that were read.
    pub fn take(&mut self, read: &FeedObjects) {
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

/// What a hub tells of itself.
#[must_use]
pub fn own_note(hint: &PeerHint) -> MemberNote {
    MemberNote {
        id: hint.from.clone(),
        age_ms: 0,
        leaving: hint.leaving,
        config_version: hint.config_version,
        changing: hint.changing.clone(),
    }
}

/// Takes a daemon's own work, as it told it last, out of a sum that contains it.
pub fn subtract(sum: &mut WorkByTarget, own: &WorkByTarget) {
    for (target, work) in own {
        if let Some(total) = sum.get_mut(target) {
            total.subtract(work);
        }
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
