//! Cache affinity: which engines cache which prompt parts, and which ones should.
//!
//! Recomputing a long shared part is the most expensive common mistake, so requests
//! that share parts are sent to the same few engines. Rendezvous hashing ranks the
//! engines as homes of each shared part: all daemons compute the same ranking without
//! communication, and an engine that joins or leaves moves only its own parts.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::model::PromptPart;
use crate::names::MonoTime;
use crate::target_incarnation::TargetIncarnation;

/// Time since its last use after which a part is assumed to be evicted. Engines evict
/// the least recently used parts; under load, parts stay cached for tens of seconds.
const CACHED_PART_TTL: Duration = Duration::from_secs(60);

/// Share of an engine's KV cache that the index assumes to be filled with prompt parts: all
/// of it, because the parts of running prompts are counted too; 45 and 140 percent gave
/// worse placements.
const CACHE_SHARE_PERCENT: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used_at: MonoTime,
    // Whether its prefill or copy is complete, so that other engines can copy it.
    ready: bool,
}

/// Estimate of which prompt parts each engine caches.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    engines: IndexMap<TargetIncarnation, IndexMap<u64, CachedPart>>,
    capacity_tokens: u64,
}

impl CacheIndex {
    /// Sets the KV cache capacity that is assumed for each engine; running requests share
    /// it.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity_tokens = tokens * CACHE_SHARE_PERCENT / 100;
    }

    /// Returns the tokens of the leading parts that an engine probably caches, or will
    /// cache by the time that a request sent now is prefilled.
    #[must_use]
    pub fn cached_tokens(
        &self,
        engine: &TargetIncarnation,
        parts: &[PromptPart],
        now: MonoTime,
    ) -> u32 {
        self.leading_tokens(engine, parts, now, |_| true)
    }

    /// Returns the tokens of the leading parts that another engine could copy from this
    /// one.
    #[must_use]
    pub fn copyable_tokens(
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
        let leading = parts.iter().map_while(|part| {
            let cached_part = cached.get(&part.key)?;
            let fresh = now.since(cached_part.used_at) < CACHED_PART_TTL;
            (fresh && counts(cached_part)).then_some(cached_part.tokens)
        });
        leading.sum()
    }

    /// Records that an engine has prefilled a prompt, or received its KV cache.
    pub fn note_cached(&mut self, engine: &TargetIncarnation, parts: &[PromptPart], now: MonoTime) {
        self.note(engine, parts, now, true);
    }

    /// Records that a prompt was sent to an engine for prefill. Requests that share its
    /// parts do better to wait there than to have them recomputed elsewhere.
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
            // Re-inserted at the end, because the map is ordered by last use.
            let before = cached.shift_remove(&part.key);
            let cached_part = CachedPart {
                tokens,
                used_at,
                ready: ready || before.is_some_and(|part| part.ready),
            };
            cached.insert(part.key, cached_part);
        }
        let mut total: u64 = cached.values().map(|part| u64::from(part.tokens)).sum();
        while total > self.capacity_tokens {
            let Some((_, part)) = cached.shift_remove_index(0) else {
                break;
            };
            total -= u64::from(part.tokens);
        }
    }

    /// Removes engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetIncarnation) -> bool) {
        self.engines.retain(|engine, _| keep(engine));
    }
}

/// Returns the key of the prefix that a prompt may share with others: all parts but the
/// last.
#[must_use]
pub fn shared_key(parts: &[PromptPart]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    Some(last.key)
}

/// Returns the tokens of the prefix that a prompt may share with others.
#[must_use]
pub fn shared_tokens(parts: &[PromptPart]) -> u32 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.tokens).sum()
}

/// Returns the weight of an engine as home of a shared part; the highest weight is the
/// first home.
#[must_use]
pub fn home_weight(key: u64, engine: &TargetIncarnation) -> u64 {
    weight(key, engine.as_str())
}

/// Returns the rendezvous hashing weight of a name for a key.
#[must_use]
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the hash of a part's identity as callers write it.
#[must_use]
pub fn part_key(identity: &str) -> u64 {
    xxh3_64(identity.as_bytes())
}
