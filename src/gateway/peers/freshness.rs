//! As of when a daemon's configuration is known to be the newest one.
//!
//! Only the store can say so, and it answers few daemons. Who it answers tells how old
//! that answer is; the others count from a moment on their own clock that was certainly
//! before: when they sent the word that the teller had heard last. So neither a message
//! that was held up nor a clock that differs makes a confirmation look newer than it is.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::daemon::Gateway;
use crate::gateway::peers::wire::{FreshnessUpdate, PeerMessage};
use crate::names::{DaemonId, MonoTime, millis};

/// A daemon's clock as another one heard it last.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClockEcho {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life; each has a clock of its own.
    pub life: u64,
    /// Its clock when it sent what was heard.
    pub clock: MonoTime,
}

/// What a daemon tells of the age of its configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigFreshness {
    /// The teller's clock.
    pub clock: MonoTime,
    /// Version that it runs.
    pub version: u64,
    /// Milliseconds since that was the newest one; `None` while it does not know.
    pub age_ms: Option<u64>,
    /// The reader's clock, where it was heard.
    pub echo: Option<ClockEcho>,
}

/// What is known of the age of the own configuration by the words of others.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    heard: IndexMap<DaemonId, (u64, MonoTime)>,
    confirmed_at: Option<MonoTime>,
}

impl FreshnessTracker {
    /// Notes the clock that a daemon told.
    pub fn note_clock(&mut self, daemon: &DaemonId, life: u64, clock: MonoTime) {
        self.heard.insert(daemon.clone(), (life, clock));
    }

    /// Forgets the clocks of daemons that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&DaemonId) -> bool) {
        self.heard.retain(|daemon, _| known(daemon));
    }

    /// Returns the clock heard of a daemon.
    #[must_use]
    pub fn echo(&self, daemon: &DaemonId) -> Option<ClockEcho> {
        let (life, clock) = self.heard.get(daemon)?;
        Some(ClockEcho {
            daemon: daemon.clone(),
            life: *life,
            clock: *clock,
        })
    }

    /// Takes a note, where `own_version` is run by the daemon `own` in its life.
    ///
    /// A note on a version that is not here yet proves nothing of the one that is.
    pub fn take(&mut self, note: &ConfigFreshness, own: (&DaemonId, u64), own_version: u64) {
        let Some(age_ms) = note.age_ms.filter(|_| note.version <= own_version) else {
            return;
        };
        let is_own = |echo: &&ClockEcho| (&echo.daemon, echo.life) == own;
        if let Some(echo) = note.echo.as_ref().filter(is_own) {
            let at = MonoTime(echo.clock.0.saturating_sub(age_ms));
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// When the own configuration was the newest one, as far as others proved it.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }
}

impl Gateway {
    /// When the configuration run here was certainly the newest one.
    ///
    /// Read before the configuration itself, it holds for that one too.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        let told = self.proofs.borrow().confirmed_at();
        self.store_liveness.confirmed_at().max(told)
    }

    /// Whether a key that the configuration holds may be taken for one in force.
    ///
    /// A daemon that is cut off goes on with the keys it knows, and so would serve a
    /// caller whose key was taken away for as long as the cut lasts. It stops before the
    /// bound on that, counted from the last moment at which it was certainly up to date.
    #[must_use]
    pub fn confirms_keys(&self, now: MonoTime) -> bool {
        let Some(limit) = self.settings().key_validity() else {
            return true;
        };
        let confirmed = self.confirmed_at();
        confirmed.is_some_and(|at| now.since(at) < limit)
    }

    // What a reader is told; nothing where no key has to be confirmed. Each reader gets its
    // own clock back and no other: all clocks in all words grow with the square of a data
    // centre, to 2.4 MB a second for a hub of 100 daemons.
    pub(super) fn proof_word(&self, reader: &DaemonId, now: MonoTime) -> Option<PeerMessage> {
        // Before the version: a newer one may come between, an older one never.
        let confirmed = self.confirmed_at();
        let view = self.view();
        let routes = view.routes.as_ref().filter(|r| r.requires_keys())?;
        Some(PeerMessage::Proof(FreshnessUpdate {
            from: self.daemon.clone(),
            life: self.incarnation,
            proof: ConfigFreshness {
                clock: now,
                version: routes.version,
                age_ms: confirmed.map(|at| millis(now.since(at))),
                echo: self.proofs.borrow().echo(reader),
            },
        }))
    }

    pub(super) fn take_proof(&self, word: &FreshnessUpdate) {
        let view = self.view();
        let sender = (&word.from, word.life);
        if !view
            .daemons
            .iter()
            .any(|d| (&d.id, d.incarnation) == sender)
        {
            return;
        }
        let version = view.routes.as_ref().map_or(0, |r| r.version);
        let mut proofs = self.proofs.borrow_mut();
        proofs.note_clock(&word.from, word.life, word.proof.clock);
        proofs.take(&word.proof, (&self.daemon, self.incarnation), version);
    }
}
