//! Hubs: in large fleets one daemon of each data centre speaks for it.
//!
//! With links from each daemon to each other one, messages grow with the square of
//! the fleet: 90 daemons would exchange 40,000 hints a second. With hubs a daemon
//! has one link, and a hub one to each of its members and to each other hub. Only
//! hubs watch the store and pass on what changes.
//!
//! One hub follows the store for the others, which take over when they do not hear of
//! it for a part of the time in which a change has to be in force.
//!
//! Nothing is agreed on: each daemon takes the first of its data centre that it
//! hears as its hub. One that others take for their hub acts as one.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::members::{DaemonRecord, InstanceCapacity};
use crate::gateway::peers::book::PeerTable;
use crate::gateway::peers::member_broadcasts::MemberBroadcasts;
use crate::gateway::peers::wire::{CachedPartsUpdate, MemberStatus, PeerHint};
use crate::names::{CentreName, DaemonId, MonoTime};

/// Largest fleet without hubs: below it, links to all cost less than the delay of
/// two further hops.
const MOST_WITHOUT_HUBS: usize = 16;
/// Silence after which another daemon is taken for the hub.
const HUB_SILENCE: Duration = Duration::from_millis(1_200);
/// Time for a new hub to be heard.
const HUB_START: Duration = Duration::from_millis(2_500);
/// Time for which a silent hub is passed over.
const PASSED_OVER: Duration = Duration::from_secs(6);
/// Time since a member's last hint for which a daemon acts as its hub.
const ACTING_TIME: Duration = Duration::from_millis(1_500);

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
pub struct HubSelector {
    role: Option<PeerRole>,
    hub_since: Option<(DaemonId, MonoTime)>,
    passed_over: IndexMap<DaemonId, MonoTime>,
    last_hints: IndexMap<DaemonId, MonoTime>,
    // When hubs had heard the store.
    store_heard: IndexMap<DaemonId, MonoTime>,
}

impl HubSelector {
    /// Notes a hint: whoever sends one to a daemon of a large fleet takes it for a hub.
    pub fn note_hint(&mut self, from: &DaemonId, now: MonoTime) {
        self.last_hints.insert(from.clone(), now);
    }

    /// Notes how long ago a hub had heard the store.
    pub fn note_store(&mut self, hub: &DaemonId, age: Duration, now: MonoTime) {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let heard = MonoTime(now.0.saturating_sub(age));
        self.store_heard.insert(hub.clone(), heard);
    }

    /// Returns when a hub had heard the store, as far as it told.
    #[must_use]
    pub fn store_heard(&self, hub: &DaemonId) -> Option<MonoTime> {
        self.store_heard.get(hub).copied()
    }

    /// Whether a hub passes on a store that was heard within a time. A hub that is cut
    /// from the store would otherwise keep its whole data centre on an old configuration.
    #[must_use]
    pub fn is_fed_by(&self, hub: &DaemonId, within: Duration, now: MonoTime) -> bool {
        let heard = self.store_heard(hub);
        heard.is_some_and(|at| now.since(at) < within)
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
        peers: &PeerTable,
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
        peers: &PeerTable,
        now: MonoTime,
    ) -> PeerRole {
        let known = |id: &DaemonId| daemons.iter().any(|d| d.id == *id);
        self.store_heard.retain(|hub, _| known(hub));
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

    fn pass_over_silent(&mut self, peers: &PeerTable, now: MonoTime) {
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
        first_in_order(there.filter(|d| sound(&d.id)))
    }

    /// Returns the hub that follows the store for this one; `None` where this hub is the
    /// first of those that it hears.
    #[must_use]
    pub fn store_hub(
        &self,
        own: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> Option<DaemonId> {
        let hubs = self.links(&PeerRole::Hub, own, daemons).into_iter();
        let hubs = hubs.filter(|(_, kind)| *kind == LinkKind::OtherHub);
        let heard = hubs.filter(|(d, _)| peers.was_heard_within(&d.id, HUB_SILENCE, now));
        let others: Vec<DaemonRecord> = heard.map(|(d, _)| d).collect();
        let itself = daemons.iter().filter(|d| d.id == *own);
        first_in_order(others.iter().chain(itself)).filter(|first| first != own)
    }

    /// Returns the place of this daemon among those that hear the whole fleet: all where
    /// there are no hubs, else the hubs; `None` for a member.
    #[must_use]
    pub fn full_view_rank(
        &self,
        own: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> Option<usize> {
        let role = self.role.as_ref()?;
        if matches!(role, PeerRole::Member(_)) {
            return None;
        }
        let itself = daemons.iter().find(|d| d.id == *own)?;
        let others = self.links(role, own, daemons).into_iter();
        let speakers = others.filter(|(_, kind)| *kind != LinkKind::Member);
        let heard = speakers.filter(|(d, _)| peers.was_heard_within(&d.id, HUB_SILENCE, now));
        let before = |d: &DaemonRecord| precedence(d) < precedence(itself);
        Some(heard.filter(|(d, _)| before(d)).count())
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

/// The order in which daemons are taken for hubs: those on the strongest instances first,
/// which carry the words of a whole data centre, then by name.
fn precedence(daemon: &DaemonRecord) -> (Reverse<InstanceCapacity>, &DaemonId) {
    (Reverse(daemon.capacity), &daemon.id)
}

fn first_in_order<'a>(daemons: impl Iterator<Item = &'a DaemonRecord>) -> Option<DaemonId> {
    let first = daemons.min_by(|a, b| precedence(a).cmp(&precedence(b)));
    first.map(|daemon| daemon.id.clone())
}

/// What passes through a hub on its way from some daemons to others.
#[derive(Debug, Default)]
pub struct RelayQueue {
    // What engines came to hold: told by members, for other hubs and members.
    members_held: Vec<CachedPartsUpdate>,
    // Told by other hubs, for members.
    hubs_held: Vec<CachedPartsUpdate>,
    hub_turns: MemberBroadcasts,
    member_turns: MemberBroadcasts,
}

/// Most notes that wait for the next word; a daemon that is no hub passes none on.
const MOST_RELAYED: usize = 4_096;

impl RelayQueue {
    /// Keeps notes of a member.
    pub fn keep_member(&mut self, notes: &[CachedPartsUpdate]) {
        keep(&mut self.members_held, notes);
    }

    /// Keeps notes of another hub.
    pub fn keep_hub(&mut self, notes: &[CachedPartsUpdate]) {
        keep(&mut self.hubs_held, notes);
    }

    /// Returns what members and what other hubs told since the last word.
    pub fn take_held(&mut self) -> (Vec<CachedPartsUpdate>, Vec<CachedPartsUpdate>) {
        (
            std::mem::take(&mut self.members_held),
            std::mem::take(&mut self.hubs_held),
        )
    }

    /// Returns the turns of notes for members, who are told of the `whole` fleet, or for
    /// other hubs.
    pub fn turns(&mut self, whole: bool) -> &mut MemberBroadcasts {
        if whole {
            &mut self.member_turns
        } else {
            &mut self.hub_turns
        }
    }
}

fn keep(kept: &mut Vec<CachedPartsUpdate>, notes: &[CachedPartsUpdate]) {
    if kept.len() >= MOST_RELAYED {
        kept.clear();
    }
    kept.extend_from_slice(notes);
}

/// What a hub tells of itself.
#[must_use]
pub fn own_note(hint: &PeerHint) -> MemberStatus {
    MemberStatus {
        id: hint.from.clone(),
        age_ms: 0,
        leaving: hint.leaving,
        config_version: hint.config_version,
        changing: hint.changing.clone(),
        confirms_keys: hint.confirms_keys,
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
