//! Hubs: in large fleets one daemon of each data centre relays messages for the others.
//!
//! In a full mesh, the number of messages grows with the square of the fleet: 90 daemons
//! would exchange 40,000 hints a second. With hubs, a member has one link, and a hub has one
//! to each of its members and to each other hub. Only hubs watch the store and relay its
//! changes.
//!
//! One hub watches the store for the others. Another hub watches the store itself when the
//! first one had no response from it for a fraction of the time within which a change has to
//! be in force (`RelayTimeouts`).
//!
//! There is no consensus: each daemon selects the first reachable daemon of its data centre
//! as its hub. A daemon that others have selected acts as a hub.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::deciding::affinity;
use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::members::{DaemonRecord, InstanceCapacity};
use crate::gateway::peers::member_broadcasts::MemberBroadcasts;
use crate::gateway::peers::peer_table::PeerTable;
use crate::gateway::peers::wire::{CachedPartsUpdate, MemberStatus, PeerHint};
use crate::names::{CentreName, DaemonId, MonoTime};

/// Largest fleet without hubs: up to this size, a full mesh costs less than the delay of
/// two more hops.
const MAX_MESH_SIZE: usize = 16;
/// Silence after which another daemon is selected as the hub.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a new hub has to send its first message.
const HUB_START_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Members that keep the usage counts of a hub, for its successor: with half of the daemons killed
/// at once, all three and the hub are among them in one case of 16.
const USAGE_KEEPERS: usize = 3;
/// Time for which a silent hub is not selected again.
const SKIP_TIME: Duration = Duration::from_secs(6);
/// Time after the last hint of a member for which a daemon goes on acting as its hub.
const ACTING_TIME: Duration = Duration::from_millis(1_500);

/// Role of a daemon in the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerRole {
    /// Has links to all other daemons.
    Mesh,
    /// Relays messages for its data centre.
    Hub,
    /// Exchanges messages with this hub only.
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

/// Kind of the messages that are sent on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkKind {
    /// Hints of this daemon.
    Hint,
    /// Summaries of the local data centre, to another hub.
    OtherHub,
    /// Summaries of the fleet and objects of the store, to a member.
    Member,
}

/// Selects the hub of this daemon's data centre.
#[derive(Debug, Default)]
pub struct HubSelector {
    role: Option<PeerRole>,
    hub_since: Option<(DaemonId, MonoTime)>,
    // Until when daemons are not selected as hub, as they did not respond.
    skipped: IndexMap<DaemonId, MonoTime>,
    // When daemons last sent a hint here, which they do if they selected this one as hub.
    last_hints: IndexMap<DaemonId, MonoTime>,
    // When hubs had their last response from the store.
    store_contact: IndexMap<DaemonId, MonoTime>,
}

impl HubSelector {
    /// Records a hint: in a large fleet, daemons send hints only to the hub they selected.
    pub fn record_hint(&mut self, from: &DaemonId, now: MonoTime) {
        self.last_hints.insert(from.clone(), now);
    }

    /// Records how long ago a hub had its last response from the store.
    pub fn record_store_age(&mut self, hub: &DaemonId, age: Duration, now: MonoTime) {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let contact = MonoTime(now.0.saturating_sub(age));
        self.store_contact.insert(hub.clone(), contact);
    }

    /// Returns when a hub had its last response from the store, by its own report.
    #[must_use]
    pub fn store_contact(&self, hub: &DaemonId) -> Option<MonoTime> {
        self.store_contact.get(hub).copied()
    }

    /// Whether a hub had a response from the store within a time. Otherwise a hub that is
    /// cut off from the store would keep its whole data centre on an old configuration.
    #[must_use]
    pub fn has_recent_store(&self, hub: &DaemonId, within: Duration, now: MonoTime) -> bool {
        let contact = self.store_contact(hub);
        contact.is_some_and(|at| now.since(at) < within)
    }

    /// Returns whether daemons have links to hubs only, which relay their reports.
    #[must_use]
    pub fn relays_reports(&self) -> bool {
        matches!(self.role, Some(PeerRole::Hub | PeerRole::Member(_)))
    }

    /// Whether this daemon acts as a hub.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        self.role == Some(PeerRole::Hub)
    }

    /// Returns the role that was decided last; `None` before the first time.
    #[must_use]
    pub fn current_role(&self) -> Option<&PeerRole> {
        self.role.as_ref()
    }

    /// Decides the current role of this daemon.
    pub fn role(
        &mut self,
        local: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> PeerRole {
        let role = self.select_role(local, daemons, peers, now);
        self.role = Some(role.clone());
        role
    }

    fn select_role(
        &mut self,
        local: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> PeerRole {
        let known = |id: &DaemonId| daemons.iter().any(|d| d.id == *id);
        self.store_contact.retain(|hub, _| known(hub));
        let staying = daemons.iter().filter(|d| !d.leaving).count();
        if staying <= MAX_MESH_SIZE {
            return PeerRole::Mesh;
        }
        self.skipped.retain(|_, until| now < *until);
        self.last_hints.retain(|_, at| now.since(*at) < ACTING_TIME);
        self.skip_unresponsive(peers, now);
        let centre = daemons.iter().find(|d| d.id == *local).map(|d| &d.centre);
        let hub = centre.and_then(|centre| self.first_in_centre(centre, local, daemons));
        let acting = !self.last_hints.is_empty();
        match hub {
            Some(hub) if hub != *local && !acting => {
                let since = self.hub_since.take().filter(|(known, _)| *known == hub);
                self.hub_since = Some(since.unwrap_or((hub.clone(), now)));
                PeerRole::Member(hub)
            }
            _ => PeerRole::Hub,
        }
    }

    fn skip_unresponsive(&mut self, peers: &PeerTable, now: MonoTime) {
        let Some((hub, since)) = &self.hub_since else {
            return;
        };
        let started = now.since(*since) > HUB_START_TIMEOUT;
        if started && !peers.was_reachable_within(hub, HUB_TIMEOUT, now) {
            log::warn!(hub = hub.as_str(); "hub does not respond; selecting the next daemon as hub");
            self.skipped.insert(hub.clone(), now.plus(SKIP_TIME));
            self.hub_since = None;
        }
    }

    fn first_in_centre(
        &self,
        centre: &CentreName,
        local: &DaemonId,
        daemons: &[DaemonRecord],
    ) -> Option<DaemonId> {
        let candidates = daemons.iter().filter(|d| d.centre == *centre && !d.leaving);
        let eligible = |id: &DaemonId| id == local || !self.skipped.contains_key(id);
        first_in_order(candidates.filter(|d| eligible(&d.id)))
    }

    /// Returns the hub that watches the store for this one; `None` if this hub is the first
    /// of those that are reachable.
    #[must_use]
    pub fn store_hub(
        &self,
        local: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> Option<DaemonId> {
        let hubs = self.links(&PeerRole::Hub, local, daemons).into_iter();
        let hubs = hubs.filter(|(_, kind)| *kind == LinkKind::OtherHub);
        let reachable = hubs.filter(|(d, _)| peers.was_reachable_within(&d.id, HUB_TIMEOUT, now));
        let others: Vec<DaemonRecord> = reachable.map(|(d, _)| d).collect();
        let local_record = daemons.iter().filter(|d| d.id == *local);
        first_in_order(others.iter().chain(local_record)).filter(|first| first != local)
    }

    /// Returns the rank of this daemon among those that receive the state of the whole
    /// fleet: all daemons of a fleet without hubs, else the hubs; `None` for a member.
    #[must_use]
    pub fn full_view_rank(
        &self,
        local: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> Option<usize> {
        if matches!(self.role.as_ref()?, PeerRole::Member(_)) {
            return None;
        }
        let local_record = daemons.iter().find(|d| d.id == *local)?;
        let reachable = self.full_view_peers(local, daemons, peers, now);
        let before = |d: &&DaemonRecord| precedence(d) < precedence(local_record);
        Some(reachable.iter().filter(before).count())
    }

    /// Returns the other daemons that receive the state of the whole fleet and are reachable.
    #[must_use]
    pub fn full_view_peers(
        &self,
        local: &DaemonId,
        daemons: &[DaemonRecord],
        peers: &PeerTable,
        now: MonoTime,
    ) -> Vec<DaemonRecord> {
        let Some(role) = &self.role else {
            return Vec::new();
        };
        let others = self.links(role, local, daemons).into_iter();
        let full_view_peers = others.filter(|(_, kind)| *kind != LinkKind::Member);
        let reachable =
            full_view_peers.filter(|(d, _)| peers.was_reachable_within(&d.id, HUB_TIMEOUT, now));
        reachable.map(|(daemon, _)| daemon).collect()
    }

    /// Returns the links that a role needs.
    #[must_use]
    pub fn links(
        &self,
        role: &PeerRole,
        local: &DaemonId,
        daemons: &[DaemonRecord],
    ) -> Vec<(DaemonRecord, LinkKind)> {
        let others = daemons.iter().filter(|d| d.id != *local);
        match role {
            PeerRole::Mesh => others.map(|d| (d.clone(), LinkKind::Hint)).collect(),
            PeerRole::Member(hub) => others
                .filter(|d| d.id == *hub)
                .map(|d| (d.clone(), LinkKind::Hint))
                .collect(),
            PeerRole::Hub => self.hub_links(local, daemons),
        }
    }

    fn hub_links(
        &self,
        local: &DaemonId,
        daemons: &[DaemonRecord],
    ) -> Vec<(DaemonRecord, LinkKind)> {
        let centre = daemons.iter().find(|d| d.id == *local).map(|d| &d.centre);
        let kind = |daemon: &DaemonRecord| {
            if self.last_hints.contains_key(&daemon.id) {
                return Some(LinkKind::Member);
            }
            let first = self.first_in_centre(&daemon.centre, local, daemons);
            let is_hub = first.is_some_and(|first| first == daemon.id);
            if Some(&daemon.centre) != centre {
                return is_hub.then_some(LinkKind::OtherHub);
            }
            // If another daemon acts as hub, the first of the data centre gets its summaries.
            Some(if is_hub {
                LinkKind::OtherHub
            } else {
                LinkKind::Member
            })
        };
        let others = daemons.iter().filter(|d| d.id != *local);
        others.filter_map(|d| Some((d.clone(), kind(d)?))).collect()
    }
}

/// Order in which daemons are selected as hubs: those on the strongest instances first, as a
/// hub carries the messages of a whole data centre, then by name.
fn precedence(daemon: &DaemonRecord) -> (Reverse<InstanceCapacity>, &DaemonId) {
    (Reverse(daemon.capacity), &daemon.id)
}

/// Returns the reachable members that keep the usage counts of a hub with these links: the one
/// that becomes the hub if this one dies, and others by rendezvous hashing of the hub's name.
#[must_use]
pub fn usage_keepers(
    hub: &DaemonId,
    links: &[(DaemonRecord, LinkKind)],
    is_reachable: impl Fn(&DaemonId) -> bool,
) -> Vec<DaemonId> {
    let members = links.iter().filter(|(_, kind)| *kind == LinkKind::Member);
    let mut keepers: Vec<&DaemonRecord> = members.map(|(daemon, _)| daemon).collect();
    keepers.retain(|daemon| !daemon.leaving && is_reachable(&daemon.id));
    let key = affinity::part_key(hub.as_str());
    keepers.sort_by_cached_key(|d| Reverse(affinity::weight(key, d.id.as_str())));
    if let Some(next) = first_in_order(keepers.iter().copied())
        && let Some(at) = keepers.iter().position(|d| d.id == next)
    {
        keepers[..=at].rotate_right(1);
    }
    let keepers = keepers.into_iter().take(USAGE_KEEPERS);
    keepers.map(|daemon| daemon.id.clone()).collect()
}

fn first_in_order<'a>(daemons: impl Iterator<Item = &'a DaemonRecord>) -> Option<DaemonId> {
    let first = daemons.min_by(|a, b| precedence(a).cmp(&precedence(b)));
    first.map(|daemon| daemon.id.clone())
}

/// Updates that a hub relays between its members and other hubs.
#[derive(Debug, Default)]
pub struct RelayQueue {
    // Newly cached prompt parts reported by members, for other hubs and members.
    from_members: Vec<CachedPartsUpdate>,
    // The same, reported by other hubs, for members.
    from_hubs: Vec<CachedPartsUpdate>,
    // Schedule of the status of members, for other hubs.
    hub_broadcasts: MemberBroadcasts,
    // Schedule of the status of all daemons, for members.
    fleet_broadcasts: MemberBroadcasts,
}

/// Most updates that wait for the next message; beyond that, all that wait are dropped. A
/// daemon that is no hub queues updates too, but sends none.
const MAX_RELAYED: usize = 4_096;

impl RelayQueue {
    /// Queues updates from a member.
    pub fn queue_from_member(&mut self, updates: &[CachedPartsUpdate]) {
        queue_updates(&mut self.from_members, updates);
    }

    /// Queues updates from another hub.
    pub fn queue_from_hub(&mut self, updates: &[CachedPartsUpdate]) {
        queue_updates(&mut self.from_hubs, updates);
    }

    /// Takes the updates from members and those from other hubs since the last message.
    pub fn take_cached_updates(&mut self) -> (Vec<CachedPartsUpdate>, Vec<CachedPartsUpdate>) {
        (
            std::mem::take(&mut self.from_members),
            std::mem::take(&mut self.from_hubs),
        )
    }

    /// Returns the broadcast schedule for members, which get the status of the whole fleet,
    /// or the one for other hubs.
    pub fn broadcasts(&mut self, whole_fleet: bool) -> &mut MemberBroadcasts {
        if whole_fleet {
            &mut self.fleet_broadcasts
        } else {
            &mut self.hub_broadcasts
        }
    }
}

fn queue_updates(queue: &mut Vec<CachedPartsUpdate>, updates: &[CachedPartsUpdate]) {
    if queue.len() >= MAX_RELAYED {
        queue.clear();
    }
    queue.extend_from_slice(updates);
}

/// Returns the status that a hub reports about itself.
#[must_use]
pub fn local_status(hint: &PeerHint) -> MemberStatus {
    MemberStatus {
        id: hint.from.clone(),
        age_ms: 0,
        leaving: hint.leaving,
        config_version: hint.config_version,
        changing: hint.changing.clone(),
        confirms_keys: hint.confirms_keys,
    }
}

/// Subtracts the local work, as last sent to the hub, from a sum that contains it.
pub fn subtract(sum: &mut WorkByTarget, local: &WorkByTarget) {
    for (target, work) in local {
        if let Some(total) = sum.get_mut(target) {
            total.subtract(work);
        }
    }
}
