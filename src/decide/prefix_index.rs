//! Index of the engines expected to have a shared prefix in their KV cache.
//!
//! Cache events arrive late and some are lost, so an entry is only an estimate: a gap in
//! an engine's events halves the confidence in all its entries.

use indexmap::IndexMap;

use crate::names::TargetId;
use crate::targets::wire::CacheEvent;

/// Maximum number of prefixes; the least recently recorded one is evicted.
const MAX_PREFIXES: usize = 4_096;
/// Maximum number of engines per prefix; the least recently recorded one is evicted.
const MAX_HOLDERS: usize = 8;
/// Factor on the confidence of an engine's entries after a gap in its events.
const CONFIDENCE_AFTER_GAP: f64 = 0.5;

/// An engine expected to have a prefix cached.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixHolder {
    /// The engine.
    pub target: TargetId,
    /// Tokens of the prefix that it cached, as last known.
    pub tokens: u32,
    confidence: f64,
}

impl PrefixHolder {
    /// Returns the expected number of cached tokens, weighted by confidence.
    #[must_use]
    pub fn expected_tokens(&self) -> f64 {
        f64::from(self.tokens) * self.confidence
    }
}

/// Engines expected to have each prefix cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    prefixes: IndexMap<String, Vec<PrefixHolder>>,
    sequences: IndexMap<TargetId, u64>,
}

impl PrefixIndex {
    /// Returns the engines expected to have a prefix cached.
    #[must_use]
    pub fn holders(&self, prefix: &str) -> &[PrefixHolder] {
        self.prefixes.get(prefix).map_or(&[], Vec::as_slice)
    }

    /// Returns how many tokens of a prefix an engine is expected to have cached.
    #[must_use]
    pub fn expected_tokens(&self, prefix: &str, target: &TargetId) -> f64 {
        self.holders(prefix)
            .iter()
            .find(|h| h.target == *target)
            .map_or(0.0, PrefixHolder::expected_tokens)
    }

    /// Records that an engine has a prefix cached.
    pub fn record_cached(&mut self, prefix: &str, target: &TargetId, tokens: u32) {
        if prefix.is_empty() || tokens == 0 {
            return;
        }
        self.remove_entry(prefix, target);
        let holders = self.move_to_back(prefix);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(PrefixHolder {
            target: target.clone(),
            tokens,
            confidence: 1.0,
        });
    }

    /// Applies a cache event of an engine; late and duplicate events are ignored.
    pub fn apply_event(&mut self, target: &TargetId, event: &CacheEvent) {
        let last = self.sequences.get(target).copied().unwrap_or(0);
        if event.sequence <= last {
            return;
        }
        if last != 0 && event.sequence > last + 1 {
            self.reduce_confidence(target);
        }
        self.sequences.insert(target.clone(), event.sequence);
        if event.tokens == 0 {
            self.remove_entry(&event.prefix, target);
        } else {
            self.record_cached(&event.prefix, target, event.tokens);
        }
    }

    /// Removes all entries of an engine, for example after a restart.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.sequences.shift_remove(target);
        for holders in self.prefixes.values_mut() {
            holders.retain(|h| h.target != *target);
        }
    }

    fn move_to_back(&mut self, prefix: &str) -> &mut Vec<PrefixHolder> {
        let holders = self.prefixes.shift_remove(prefix).unwrap_or_default();
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
        self.prefixes.entry(prefix.to_owned()).or_insert(holders)
    }

    fn remove_entry(&mut self, prefix: &str, target: &TargetId) {
        if let Some(holders) = self.prefixes.get_mut(prefix) {
            holders.retain(|h| h.target != *target);
        }
    }

    fn reduce_confidence(&mut self, target: &TargetId) {
        let holders = self.prefixes.values_mut().flatten();
        for holder in holders.filter(|h| h.target == *target) {
            holder.confidence *= CONFIDENCE_AFTER_GAP;
        }
    }
}
