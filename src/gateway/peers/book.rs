//! State of the other daemons, as last received.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::deciding::stage_plan::WorkRate;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::PromptPart;
use crate::gateway::peers::wire::{HeldNote, MemberNote, PeerHint};
use crate::names::{DaemonId, MonoTime};
use crate::target_life::TargetLife;

/// Silence after which a daemon counts as unreachable.
const SILENCE: Duration = Duration::from_millis(1_300);
/// The same for a daemon whose state is relayed by hubs: its messages pass two hubs, and a
/// hub that fails has to be replaced within this time.
const RELAYED_SILENCE: Duration = Duration::from_millis(2_600);
/// Time for which a daemon may run an older configuration before it is sent the newer
/// one: most daemons have read it from the store by then.
const CONFIG_PATIENCE: Duration = Duration::from_millis(500);
/// Last known state of a daemon.
#[derive(Clone, Debug)]
struct HeardState {
    at: MonoTime,
    changing: Vec<TargetLife>,
    rate: WorkRate,
    leaving: bool,
    config_version: u64,
    behind_since: Option<MonoTime>,
    // Whether it was received through a hub.
    relayed: bool,
    // Whether the daemon reported for others too, as a hub.
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

/// Silence after which the record of a daemon is removed; network partitions are shorter.
const LONG_SILENCE: Duration = Duration::from_secs(60);
/// Time in which a daemon that is new here counts as reachable without having sent
/// anything. Links are opened both ways within it, unless the daemon is gone and only its
/// record remains.
const FIRST_WORD: Duration = Duration::from_millis(2_500);

/// State of the other daemons, as last received.
#[derive(Debug, Default)]
pub struct PeerBook {
    heard: IndexMap<DaemonId, HeardState>,
    // Since when a daemon's record is known.
    known_since: IndexMap<DaemonId, MonoTime>,
    pending: Vec<HeldNote>,
}

impl PeerBook {
    /// Queues prompt parts that an engine has cached, or prefills, for the next hint. Parts
    /// of a single request are included, as they evict shared ones from the engine's cache.
    pub fn note_held(&mut self, engine: &TargetLife, parts: &[PromptPart], ready: bool) {
        self.pending.push(HeldNote {
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
        let is_new = |since: &MonoTime| now.since(*since) < FIRST_WORD;
        match self.heard.get(daemon) {
            Some(state) => !state.leaving && state.is_fresh(now),
            None => self.known_since.get(daemon).is_some_and(is_new),
        }
    }

    /// Whether a daemon knew which keys are in force as of its last message; assumed of one
    /// that has sent nothing yet.
    #[must_use]
    pub fn confirms_keys(&self, daemon: &DaemonId) -> bool {
        self.heard
            .get(daemon)
            .is_none_or(|state| state.confirms_keys)
    }

    /// Replaces the set of known daemons by those with a record, apart from this one.
    pub fn set_known(&mut self, own: &DaemonId, daemons: &[DaemonRecord], now: MonoTime) {
        let known = |id: &DaemonId| daemons.iter().any(|daemon| daemon.id == *id);
        self.heard.retain(|id, _| known(id));
        self.known_since.retain(|id, _| known(id));
        for daemon in daemons.iter().filter(|daemon| daemon.id != *own) {
            self.known_since.entry(daemon.id.clone()).or_insert(now);
        }
    }

    /// Returns the daemons with a record that have been silent for longer than network
    /// partitions last.
    #[must_use]
    pub fn long_silent(&self, now: MonoTime) -> Vec<DaemonId> {
        let known = self.known_since.iter();
        let silent = known.filter(|(id, since)| {
            let last = self.heard.get(*id).map_or(**since, |state| state.at);
            now.since(last) > LONG_SILENCE
        });
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the engines whose stage other daemons are changing.
    pub fn changing(&self, now: MonoTime) -> impl Iterator<Item = &TargetLife> {
        let alive = self.heard.values();
        let alive = alive.filter(move |state| state.is_fresh(now));
        alive.flat_map(|state| &state.changing)
    }

    /// Returns the rate of work that the other reachable daemons place on engines.
    #[must_use]
    pub fn work_rate(&self, now: MonoTime) -> WorkRate {
        let alive = self.heard.values();
        let alive = alive.filter(|state| state.is_fresh(now));
        alive.fold(WorkRate::default(), |sum, state| WorkRate {
            read_tokens: sum.read_tokens + state.rate.read_tokens,
            written_tokens: sum.written_tokens + state.rate.written_tokens,
        })
    }

    /// Applies a daemon's hint; `own_version` is the version of the configuration run here.
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

    /// Applies what a hub reported about a daemon, unless newer or direct state is known here.
    pub fn note_member(&mut self, note: &MemberNote, rate: WorkRate, now: MonoTime) {
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

    /// Applies what a hub reported about itself over its own link.
    pub fn note_hub(&mut self, note: &MemberNote, rate: WorkRate, now: MonoTime) {
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

    /// Returns the status of the daemons that report to this one, for other hubs. Other
    /// hubs are left out: if their sums were passed on, they would be counted repeatedly.
    #[must_use]
    pub fn direct_notes(&self, now: MonoTime) -> Vec<MemberNote> {
        let direct = self.heard.iter();
        let reports = |state: &HeardState| !state.relayed && !state.is_hub && state.is_fresh(now);
        let direct = direct.filter(|(_, state)| reports(state));
        direct.map(|(id, state)| note_of(id, state, now)).collect()
    }

    /// Returns the status of all reachable daemons, for the members of this hub.
    pub fn all_notes(&self, now: MonoTime) -> Vec<MemberNote> {
        let fresh = self.heard.iter().filter(|(_, state)| state.is_fresh(now));
        fresh.map(|(id, state)| note_of(id, state, now)).collect()
    }

    /// Whether a daemon sent something over its own link within a time.
    pub fn was_heard_within(&self, daemon: &DaemonId, time: Duration, now: MonoTime) -> bool {
        let state = self.heard.get(daemon);
        state.is_some_and(|state| !state.relayed && now.since(state.at) < time)
    }

    /// Whether a daemon is reachable over its own link.
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

    pub(super) fn take_held(&mut self) -> Vec<HeldNote> {
        std::mem::take(&mut self.pending)
    }
}

fn note_of(id: &DaemonId, state: &HeardState, now: MonoTime) -> MemberNote {
    let age = now.since(state.at).as_millis();
    MemberNote {
        id: id.clone(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        leaving: state.leaving,
        config_version: state.config_version,
        changing: state.changing.clone(),
        confirms_keys: state.confirms_keys,
    }
}
