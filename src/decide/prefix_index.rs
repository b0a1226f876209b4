//! Which engines are believed to hold a shared prefix in their cache.
//!
//! Cache events come late and with gaps, so an entry is a belief: a gap in an
//! engine's events halves the trust in all that is believed of it.

use indexmap::IndexMap;

use crate::names::TargetId;
use crate::targets::wire::CacheEvent;

/// Prefixes remembered; the one unused longest falls out.
const PREFIXES_REMEMBERED: usize = 4_096;
/// Engines remembered for one prefix.
const HOLDERS_REMEMBERED: usize = 8;
/// Trust in a belief after a gap in the events of its engine.
const TRUST_AFTER_GAP: f64 = 0.5;

/// An engine believed to hold a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixHolder {
    /// The engine.
    pub target: TargetId,
    /// Tokens it is believed to hold.
    pub tokens: u32,
    trust: f64,
}

impl PrefixHolder {
    /// Returns the tokens to count on.
    #[must_use]
    pub fn expected_tokens(&self) -> f64 {
        f64::from(self.tokens) * self.trust
    }
}

/// Beliefs about the engines' caches.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    prefixes: IndexMap<String, Vec<PrefixHolder>>,
    sequences: IndexMap<TargetId, u64>,
}

impl PrefixIndex {
    /// Returns the engines believed to hold a prefix.
    #[must_use]
    pub fn holders(&self, prefix: &str) -> &[PrefixHolder] {
        self.prefixes.get(prefix).map_or(&[], Vec::as_slice)
    }

    /// Returns the tokens of a prefix that an engine is expected to hold.
    #[must_use]
    pub fn expected_tokens(&self, prefix: &str, target: &TargetId) -> f64 {
        self.holders(prefix)
            .iter()
            .find(|h| h.target == *target)
            .map_or(0.0, PrefixHolder::expected_tokens)
    }

    /// Notes that an engine read a prefix for this daemon.
    pub fn note_read(&mut self, prefix: &str, target: &TargetId, tokens: u32) {
        if prefix.is_empty() || tokens == 0 {
            return;
        }
        self.forget(prefix, target);
        let holders = self.touch(prefix);
        if holders.len() == HOLDERS_REMEMBERED {
            holders.remove(0);
        }
        holders.push(PrefixHolder {
            target: target.clone(),
            tokens,
            trust: 1.0,
        });
    }

    /// Takes in an engine's cache events; late and doubled ones are ignored.
    pub fn note_event(&mut self, target: &TargetId, event: &CacheEvent) {
        let last = self.sequences.get(target).copied().unwrap_or(0);
        if event.sequence <= last {
            return;
        }
        if last != 0 && event.sequence > last + 1 {
            self.doubt(target);
        }
        self.sequences.insert(target.clone(), event.sequence);
        if event.tokens == 0 {
            self.forget(&event.prefix, target);
        } else {
            self.note_read(&event.prefix, target, event.tokens);
        }
    }

    /// Forgets an engine, for example after a restart.
    pub fn forget_target(&mut self, target: &TargetId) {
        self.sequences.shift_remove(target);
        for holders in self.prefixes.values_mut() {
            holders.retain(|h| h.target != *target);
        }
    }

    fn touch(&mut self, prefix: &str) -> &mut Vec<PrefixHolder> {
        let holders = self.prefixes.shift_remove(prefix).unwrap_or_default();
        if self.prefixes.len() >= PREFIXES_REMEMBERED {
            self.prefixes.shift_remove_index(0);
        }
        self.prefixes.entry(prefix.to_owned()).or_insert(holders)
    }

    fn forget(&mut self, prefix: &str, target: &TargetId) {
        if let Some(holders) = self.prefixes.get_mut(prefix) {
            holders.retain(|h| h.target != *target);
        }
    }

    fn doubt(&mut self, target: &TargetId) {
        let held = self.prefixes.values_mut().flatten();
        for holder in held.filter(|h| h.target == *target) {
            holder.trust *= TRUST_AFTER_GAP;
        }
    }
}
