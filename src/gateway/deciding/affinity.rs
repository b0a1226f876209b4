//! Where shared parts of prompts are cached, and where they should be.
//!
//! Reading a long shared part again is the dearest everyday mistake, so requests
//! that share parts go to the same few engines. Each shared part has an order of
//! homes by rendezvous hashing: every daemon computes the same one without a
//! message, and an engine that comes or goes moves only its own parts.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::model::PromptPart;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Age from which a part is no longer believed to be cached. Engines drop what was
/// least recently used; at the loads met so far parts lived for tens of seconds.
const BELIEF_TIME: Duration = Duration::from_secs(60);

/// Tokens that an engine is believed to cache, in percent of its memory. Beliefs
/// count running prompts too, so this is all of it; 45 and 140 were worse.
const CACHE_SHARE_PERCENT: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used_at: MonoTime,
    // Whether it was read or copied whole; until then it is on its way.
    ready: bool,
}

/// Beliefs about the caches of engines.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    engines: IndexMap<TargetIncarnation, IndexMap<u64, CachedPart>>,
    most_tokens: u64,
}

impl CacheIndex {
    /// Sets how many tokens an engine's memory holds. Running requests share it.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.most_tokens = tokens * CACHE_SHARE_PERCENT / 100;
    }

    /// Tokens of the leading parts that an engine is believed to have, or to have
    /// by the time that a request sent now is read.
    #[must_use]
    pub fn cached_tokens(
        &self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        now: MonoTime,
    ) -> u32 {
        self.leading_tokens(engine, parts, now, |_| true)
    }

    /// Tokens of the leading parts that another engine could copy from this one.
    #[must_use]
    pub fn ready_tokens(
        &self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        now: MonoTime,
    ) -> u32 {
        self.leading_tokens(engine, parts, now, |part| part.ready)
    }

    fn leading_tokens(
        &self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        now: MonoTime,
        counts: impl Fn(&CachedPart) -> bool,
    ) -> u32 {
        let Some(cached) = self.engines.get(engine) else {
            return 0;
        };
        let held = parts.iter().map_while(|part| {
            let found = cached.get(&part.key)?;
            let fresh = now.since(found.used_at) < BELIEF_TIME;
            (fresh && counts(found)).then_some(found.tokens)
        });
        held.sum()
    }

    /// Notes that an engine has read, or was given, a prompt.
    pub fn note_cached(&mut self, engine: &TargetIncarnation, parts: &[PromptPart], now: MonoTime) {
        self.note(engine, parts, now, true);
    }

    /// Notes that an engine was asked to read a prompt. Requests that share its
    /// parts had better wait there than have them read a second time elsewhere.
    pub fn note_prefilling(
        &mut self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        now: MonoTime,
    ) {
        self.note(engine, parts, now, false);
    }

    fn note(
        &mut self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        now: MonoTime,
        ready: bool,
    ) {
        let cached = self.engines.entry(engine.clone()).or_default();
        for part in parts {
            let tokens = part.tokens;
            let used_at = now;
            // Re-inserted at the end: the map's order is the order of last use.
            let before = cached.shift_remove(&part.key);
            let cached_part = CachedPart {
                tokens,
                used_at,
                ready: ready || before.is_some_and(|part| part.ready),
            };
            cached.insert(part.key, cached_part);
        }
        let mut total: u64 = cached.values().map(|part| u64::from(part.tokens)).sum();
        while total > self.most_tokens {
            let Some((_, part)) = cached.shift_remove_index(0) else {
                break;
            };
            total -= u64::from(part.tokens);
        }
    }

    /// Forgets engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetIncarnation) -> bool) {
        self.engines.retain(|engine, _| keep(engine));
    }
}

/// Key of what a prompt shares with others: all parts but the last.
#[must_use]
pub fn shared_key(parts: &[PromptPart]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    Some(last.key)
}

/// Tokens of what a prompt shares with others.
#[must_use]
pub fn shared_tokens(parts: &[PromptPart]) -> u32 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.tokens).sum()
}

/// Weight of an engine as the home of a shared part; the highest is the first home.
#[must_use]
pub fn home_weight(key: u64, engine: &TargetIncarnation) -> u64 {
    weight(key, engine.as_str())
}

/// Weight of a name for a key in rendezvous hashing.
#[must_use]
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Hash of a part's identity as callers write it.
#[must_use]
pub fn part_key(identity: &str) -> u64 {
    xxh3_64(identity.as_bytes())
}
