//! State of the other daemons, as last received.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::peers::wire::{CachedPartsUpdate, MemberStatus, PeerHint};
use crate::names::{DaemonId, MonoTime, ServiceName};
use crate::target_incarnation::TargetIncarnation;

/// Silence after which a daemon counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The same for a daemon whose state is relayed by hubs: its messages pass two hubs, and a
/// hub that fails has to be replaced within this time.
const RELAYED_PEER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time for which a daemon may run an older configuration before it is sent the newer
/// one: most daemons have read it from the store by then.
const CONFIG_DELAY: Duration = Duration::from_millis(500);
/// Last known state of a daemon.
#[derive(Clone, Debug)]
struct PeerStatus {
    last_contact: MonoTime,
    changing: Vec<TargetIncarnation>,
    rate: WorkRate,
    leaving: bool,
    config_version: u64,
    // Since when it runs an older configuration than this daemon.
    behind_since: Option<MonoTime>,
    // Whether this status was received through a hub.
    relayed: bool,
    // Whether the daemon reported for others too, as a hub.
    is_hub: bool,
    confirms_keys: bool,
    // Services of which it reaches no target.
    unreachable: Vec<ServiceName>,
}

impl PeerStatus {
    fn is_fresh(&self, now: MonoTime) -> bool {
        let timeout = if self.relayed {
            RELAYED_PEER_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        now.since(self.last_contact) < timeout
    }

    // Whether the daemon reports to this one, for itself only.
    fn is_direct(&self, now: MonoTime) -> bool {
        !self.relayed && !self.is_hub && self.is_fresh(now)
    }
}

/// Silence after which the record of a daemon is removed; network partitions are shorter.
const GONE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a daemon that is new here counts as reachable without having sent
/// anything. Links are opened both ways within it, unless the daemon is gone and only its
/// record remains.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// State of the other daemons, as last received.
#[derive(Debug, Default)]
pub struct PeerTable {
    statuses: IndexMap<DaemonId, PeerStatus>,
    // Since when a daemon's record is known.
    known_since: IndexMap<DaemonId, MonoTime>,
    // Newly cached prompt parts for the next hint.
    pending: Vec<CachedPartsUpdate>,
}

impl PeerTable {
    /// Queues prompt parts that an engine has cached, or is prefilling, for the next hint. Parts
    /// of a single request are included, as they evict shared ones from the engine's cache.
    pub fn note_cached(&mut self, engine: &TargetIncarnation, parts: &[PromptPart], ready: bool) {
        self.pending.push(CachedPartsUpdate {
            engine: engine.clone(),
            parts: parts.iter().map(|part| (part.key, part.tokens)).collect(),
            ready,
        });
    }

    /// Whether callers may be directed to a daemon: it was reachable recently or is new
    /// here. Records of daemons that are gone stay in the store, and a caller directed
    /// to one loses a second on a connection that is not answered.
    #[must_use]
    pub fn is_usable(&self, daemon: &DaemonId, now: MonoTime) -> bool {
        let is_new = |since: &MonoTime| now.since(*since) < FIRST_MESSAGE_TIMEOUT;
        match self.statuses.get(daemon) {
            Some(state) => !state.leaving && state.is_fresh(now),
            None => self.known_since.get(daemon).is_some_and(is_new),
        }
    }

    /// Whether a daemon knew which keys are in force as of its last message; assumed of one
    /// that has sent nothing yet.
    #[must_use]
    pub fn confirms_keys(&self, daemon: &DaemonId) -> bool {
        self.statuses
            .get(daemon)
            .is_none_or(|state| state.confirms_keys)
    }

    /// Whether a daemon reached a target of a service as of its last message; assumed of one
    /// that has sent nothing yet, or whose messages arrive through a hub.
    #[must_use]
    pub fn reaches(&self, daemon: &DaemonId, service: &ServiceName) -> bool {
        let status = self.statuses.get(daemon);
        status.is_none_or(|state| !state.unreachable.contains(service))
    }

    /// Whether a daemon reached a target of each service as of its last message; assumed as in
    /// [`PeerTable::reaches`].
    #[must_use]
    pub fn reaches_all(&self, daemon: &DaemonId) -> bool {
        let status = self.statuses.get(daemon);
        status.is_none_or(|state| state.unreachable.is_empty())
    }

    /// Whether a daemon was heard of recently, or has sent nothing yet.
    #[must_use]
    pub fn has_contact(&self, daemon: &DaemonId, now: MonoTime) -> bool {
        let status = self.statuses.get(daemon);
        status.is_none_or(|state| state.is_fresh(now))
    }

    /// Replaces the set of known daemons by those with a record, apart from this one.
    pub fn set_known(&mut self, local: &DaemonId, daemons: &[DaemonRecord], now: MonoTime) {
        let known = |id: &DaemonId| daemons.iter().any(|daemon| daemon.id == *id);
        self.statuses.retain(|id, _| known(id));
        self.known_since.retain(|id, _| known(id));
        for daemon in daemons.iter().filter(|daemon| daemon.id != *local) {
            self.known_since.entry(daemon.id.clone()).or_insert(now);
        }
    }

    /// Returns the daemons with a record that have been silent for longer than network
    /// partitions last.
    #[must_use]
    pub fn unreachable_daemons(&self, now: MonoTime) -> Vec<DaemonId> {
        let known = self.known_since.iter();
        let silent = known.filter(|(id, since)| {
            let last = self
                .statuses
                .get(*id)
                .map_or(**since, |state| state.last_contact);
            now.since(last) > GONE_TIMEOUT
        });
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the engines whose stage other daemons are changing.
    pub fn changing(&self, now: MonoTime) -> impl Iterator<Item = &TargetIncarnation> {
        let reachable = self.statuses.values();
        let reachable = reachable.filter(move |state| state.is_fresh(now));
        reachable.flat_map(|state| &state.changing)
    }

    /// Returns the rate of work that the other reachable daemons place on engines.
    #[must_use]
    pub fn work_rate(&self, now: MonoTime) -> WorkRate {
        let reachable = self.statuses.values();
        let reachable = reachable.filter(|state| state.is_fresh(now));
        reachable.fold(WorkRate::default(), |mut sum, state| {
            sum.add(&state.rate);
            sum
        })
    }

    /// Adds the engine times of the daemons that report to this one, without other hubs.
    pub fn add_direct_times(&self, rate: &mut WorkRate, now: MonoTime) {
        let direct = self.statuses.values();
        for state in direct.filter(|state| state.is_direct(now)) {
            rate.add_services(&state.rate.services);
        }
    }

    /// Applies a daemon's hint; `local_version` is the version of the configuration run here.
    pub fn record_hint(&mut self, hint: &PeerHint, local_version: u64, now: MonoTime) {
        let before = self.statuses.get(&hint.from);
        let behind = hint.config_version < local_version;
        let behind_since = behind.then(|| before.and_then(|b| b.behind_since).unwrap_or(now));
        let state = PeerStatus {
            last_contact: now,
            changing: hint.changing.clone(),
            rate: hint.rate.clone(),
            leaving: hint.leaving,
            config_version: hint.config_version,
            behind_since,
            relayed: false,
            is_hub: false,
            confirms_keys: hint.confirms_keys,
            unreachable: hint.unreachable.clone(),
        };
        self.statuses.insert(hint.from.clone(), state);
    }

    /// Applies what a hub reported about a daemon, unless newer or direct state is known here.
    pub fn record_member(&mut self, status: &MemberStatus, rate: WorkRate, now: MonoTime) {
        let last_contact = MonoTime(now.0.saturating_sub(u64::from(status.age_ms)));
        let known = self.statuses.get(&status.id);
        if known.is_some_and(|state| {
            state.last_contact >= last_contact || (!state.relayed && state.is_fresh(now))
        }) {
            return;
        }
        let state = PeerStatus {
            last_contact,
            changing: status.changing.clone(),
            rate,
            leaving: status.leaving,
            config_version: status.config_version,
            behind_since: None,
            relayed: true,
            is_hub: false,
            confirms_keys: status.confirms_keys,
            unreachable: Vec::new(),
        };
        self.statuses.insert(status.id.clone(), state);
    }

    /// Applies what a hub reported about itself over its own link.
    pub fn record_hub(&mut self, status: &MemberStatus, rate: WorkRate, now: MonoTime) {
        let state = PeerStatus {
            last_contact: now,
            changing: status.changing.clone(),
            rate,
            leaving: status.leaving,
            config_version: status.config_version,
            behind_since: None,
            relayed: false,
            is_hub: true,
            confirms_keys: status.confirms_keys,
            unreachable: Vec::new(),
        };
        self.statuses.insert(status.id.clone(), state);
    }

    /// Returns the status of the daemons that report to this one, for other hubs. Other
    /// hubs are left out: if their sums were passed on, they would be counted repeatedly.
    #[must_use]
    pub fn direct_status(&self, now: MonoTime) -> Vec<MemberStatus> {
        let direct = self.statuses.iter();
        let direct = direct.filter(|(_, state)| state.is_direct(now));
        direct
            .map(|(id, state)| member_status(id, state, now))
            .collect()
    }

    /// Returns the status of all reachable daemons, for the members of this hub.
    pub fn all_status(&self, now: MonoTime) -> Vec<MemberStatus> {
        let fresh = self
            .statuses
            .iter()
            .filter(|(_, state)| state.is_fresh(now));
        fresh
            .map(|(id, state)| member_status(id, state, now))
            .collect()
    }

    /// Whether a daemon sent something over its own link within a time.
    pub fn was_reachable_within(&self, daemon: &DaemonId, time: Duration, now: MonoTime) -> bool {
        let state = self.statuses.get(daemon);
        state.is_some_and(|state| !state.relayed && now.since(state.last_contact) < time)
    }

    /// Whether a daemon is reachable over its own link.
    pub fn is_directly_reachable(&self, daemon: &DaemonId, now: MonoTime) -> bool {
        let state = self.statuses.get(daemon);
        state.is_some_and(|state| !state.relayed && state.is_fresh(now))
    }

    pub(super) fn needs_config(
        &self,
        daemon: &DaemonId,
        local_version: u64,
        now: MonoTime,
    ) -> bool {
        self.statuses.get(daemon).is_some_and(|state| {
            let waited = state.behind_since.map(|since| now.since(since));
            state.config_version < local_version && waited.is_some_and(|w| w > CONFIG_DELAY)
        })
    }

    pub(super) fn take_cached_updates(&mut self) -> Vec<CachedPartsUpdate> {
        std::mem::take(&mut self.pending)
    }
}

fn member_status(id: &DaemonId, state: &PeerStatus, now: MonoTime) -> MemberStatus {
    let age = now.since(state.last_contact).as_millis();
    MemberStatus {
        id: id.clone(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        leaving: state.leaving,
        config_version: state.config_version,
        changing: state.changing.clone(),
        confirms_keys: state.confirms_keys,
    }
}
