//! What is heard of the other daemons.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::peers::wire::{CachedPartsUpdate, MemberStatus, PeerHint};
use crate::names::{DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;

/// Silence after which a daemon is taken to be away. In large fleets word of it
/// comes over two hubs, and a hub that goes is replaced within this time.
const SILENCE: Duration = Duration::from_millis(1_300);
const RELAYED_SILENCE: Duration = Duration::from_millis(2_600);
/// How long a daemon's version may stay behind before it is sent the
/// configuration: the store has told most daemons by then.
const CONFIG_PATIENCE: Duration = Duration::from_millis(500);
/// What was last heard of a daemon.
#[derive(Clone, Debug)]
struct HeardState {
    at: MonoTime,
    changing: Vec<TargetIncarnation>,
    rate: WorkRate,
    leaving: bool,
    config_version: u64,
    behind_since: Option<MonoTime>,
    // Whether it was heard over hubs.
    relayed: bool,
    // Whether it spoke for others too, as a hub.
    is_hub: bool,
    confirms_keys: bool,
}

impl HeardState {
    fn is_fresh(&self, now: MonoTime) -> bool {
        let silence = if self.relayed {
            RELAYED_SILENCE
        } else {
            SILENCE
        };
        now.since(self.at) < silence
    }
}

/// Silence after which the record of a daemon is removed; partitions are shorter.
const LONG_SILENCE: Duration = Duration::from_secs(60);
/// Time for a daemon that is new here to be heard. Links are opened both ways
/// within it, unless the daemon is away and only its record was left behind.
const FIRST_WORD: Duration = Duration::from_millis(2_500);

/// What is heard of the other daemons.
#[derive(Debug, Default)]
pub struct PeerTable {
    heard: IndexMap<DaemonId, HeardState>,
    // Since when a daemon's record is known.
    known_since: IndexMap<DaemonId, MonoTime>,
    pending: Vec<CachedPartsUpdate>,
}

impl PeerTable {
    /// Keeps what an engine holds, or was asked to read, for the next hint. The part
    /// of a single request is told too: it takes the place of shared ones.
    pub fn note_cached(&mut self, engine: &TargetIncarnation, parts: &[PromptPart], ready: bool) {
        self.pending.push(CachedPartsUpdate {
            engine: engine.clone(),
            parts: parts.iter().map(|part| (part.key, part.tokens)).collect(),
            ready,
        });
    }

    /// Whether callers may be sent to a daemon: one that was heard lately, or is new
    /// here. Records of daemons that are gone stay in the store, and callers sent
    /// to one lose a second on a connection that nobody answers.
    #[must_use]
    pub fn is_usable(&self, daemon: &DaemonId, now: MonoTime) -> bool {
        let is_new = |since: &MonoTime| now.since(*since) < FIRST_WORD;
        match self.heard.get(daemon) {
            Some(state) => !state.leaving && state.is_fresh(now),
            None => self.known_since.get(daemon).is_some_and(is_new),
        }
    }

    /// Whether a daemon knew which keys are in force when it was heard last; one that was
    /// not heard yet is taken to.
    #[must_use]
    pub fn confirms_keys(&self, daemon: &DaemonId) -> bool {
        self.heard
            .get(daemon)
            .is_none_or(|state| state.confirms_keys)
    }

    /// Takes the daemons with a record beside the own one, in place of those known.
    pub fn set_known(&mut self, own: &DaemonId, daemons: &[DaemonRecord], now: MonoTime) {
        let known = |id: &DaemonId| daemons.iter().any(|daemon| daemon.id == *id);
        self.heard.retain(|id, _| known(id));
        self.known_since.retain(|id, _| known(id));
        for daemon in daemons.iter().filter(|daemon| daemon.id != *own) {
            self.known_since.entry(daemon.id.clone()).or_insert(now);
        }
    }

    /// Daemons with a record that were not heard for long.
    #[must_use]
    pub fn unreachable_daemons(&self, now: MonoTime) -> Vec<DaemonId> {
        let known = self.known_since.iter();
        let silent = known.filter(|(id, since)| {
            let last = self.heard.get(*id).map_or(**since, |state| state.at);
            now.since(last) > LONG_SILENCE
        });
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Engines that other daemons are changing.
    pub fn changing(&self, now: MonoTime) -> impl Iterator<Item = &TargetIncarnation> {
        let alive = self.heard.values();
        let alive = alive.filter(move |state| state.is_fresh(now));
        alive.flat_map(|state| &state.changing)
    }

    /// Work that the other daemons place on engines.
    #[must_use]
    pub fn work_rate(&self, now: MonoTime) -> WorkRate {
        let alive = self.heard.values();
        let alive = alive.filter(|state| state.is_fresh(now));
        alive.fold(WorkRate::default(), |sum, state| WorkRate {
            prefill_tokens: sum.prefill_tokens + state.rate.prefill_tokens,
            decode_tokens: sum.decode_tokens + state.rate.decode_tokens,
        })
    }

    /// Takes what a daemon told; `own_version` is the configuration run here.
    pub fn note_hint(&mut self, hint: &PeerHint, own_version: u64, now: MonoTime) {
        let before = self.heard.get(&hint.from);
        let behind = hint.config_version < own_version;
        let behind_since = behind.then(|| before.and_then(|b| b.behind_since).unwrap_or(now));
        let state = HeardState {
            at: now,
            changing: hint.changing.clone(),
            rate: hint.rate,
            leaving: hint.leaving,
            config_version: hint.config_version,
            behind_since,
            relayed: false,
            is_hub: false,
            confirms_keys: hint.confirms_keys,
        };
        self.heard.insert(hint.from.clone(), state);
    }

    /// Takes what a hub told of a daemon, unless more is known here.
    pub fn note_member(&mut self, note: &MemberStatus, rate: WorkRate, now: MonoTime) {
        let at = MonoTime(now.0.saturating_sub(u64::from(note.age_ms)));
        let known = self.heard.get(&note.id);
        if known.is_some_and(|state| state.at >= at || (!state.relayed && state.is_fresh(now))) {
            return;
        }
        let state = HeardState {
            at,
            changing: note.changing.clone(),
            rate,
            leaving: note.leaving,
            config_version: note.config_version,
            behind_since: None,
            relayed: true,
            is_hub: false,
            confirms_keys: note.confirms_keys,
        };
        self.heard.insert(note.id.clone(), state);
    }

    /// Takes what a hub told of itself over its own link.
    pub fn note_hub(&mut self, note: &MemberStatus, rate: WorkRate, now: MonoTime) {
        let state = HeardState {
            at: now,
            changing: note.changing.clone(),
            rate,
            leaving: note.leaving,
            config_version: note.config_version,
            behind_since: None,
            relayed: false,
            is_hub: true,
            confirms_keys: note.confirms_keys,
        };
        self.heard.insert(note.id.clone(), state);
    }

    /// Daemons that report to this one, as a hub tells of them. Other hubs do not:
    /// passing their sums on would count them again and again.
    #[must_use]
    pub fn direct_notes(&self, now: MonoTime) -> Vec<MemberStatus> {
        let direct = self.heard.iter();
        let reports = |state: &HeardState| !state.relayed && !state.is_hub && state.is_fresh(now);
        let direct = direct.filter(|(_, state)| reports(state));
        direct.map(|(id, state)| note_of(id, state, now)).collect()
    }

    /// All daemons heard, as a hub tells its members.
    pub fn all_notes(&self, now: MonoTime) -> Vec<MemberStatus> {
        let fresh = self.heard.iter().filter(|(_, state)| state.is_fresh(now));
        fresh.map(|(id, state)| note_of(id, state, now)).collect()
    }

    /// Whether a daemon was heard over its own link within a time.
    pub fn was_heard_within(&self, daemon: &DaemonId, time: Duration, now: MonoTime) -> bool {
        let state = self.heard.get(daemon);
        state.is_some_and(|state| !state.relayed && now.since(state.at) < time)
    }

    /// Whether a daemon was heard over its own link lately.
    pub fn is_heard_directly(&self, daemon: &DaemonId, now: MonoTime) -> bool {
        let state = self.heard.get(daemon);
        state.is_some_and(|state| !state.relayed && state.is_fresh(now))
    }

    pub(super) fn needs_config(&self, daemon: &DaemonId, own_version: u64, now: MonoTime) -> bool {
        self.heard.get(daemon).is_some_and(|state| {
            let waited = state.behind_since.map(|since| now.since(since));
            state.config_version < own_version && waited.is_some_and(|w| w > CONFIG_PATIENCE)
        })
    }

    pub(super) fn take_held(&mut self) -> Vec<CachedPartsUpdate> {
        std::mem::take(&mut self.pending)
    }
}

fn note_of(id: &DaemonId, state: &HeardState, now: MonoTime) -> MemberStatus {
    let age = now.since(state.at).as_millis();
    MemberStatus {
        id: id.clone(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        leaving: state.leaving,
        config_version: state.config_version,
        changing: state.changing.clone(),
        confirms_keys: state.confirms_keys,
    }
}
