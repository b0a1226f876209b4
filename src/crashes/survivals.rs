//! When targets last survived the parts of prompts, and which services complete prompts at all.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::crashes::suspect_digest::SuspectDigest;
use crate::names::{MonoTime, ServiceName};

/// Time before a crash in which a part that a target survived is not blamed for it. A part that
/// was sound before, as with other weights, is blamed after that time.
const EXCULPATION_TIME: Duration = Duration::from_millis(500);
/// Length of a span, in milliseconds, and number of spans that are kept.
const SPAN_MS: u64 = 50;
const MAX_SPANS: usize = 200;
/// Number of parts after which the older ones are dropped.
const GENERATION_SIZE: usize = 2_048;

/// Parts of prompts that ran to completion a short time ago.
#[derive(Clone, Debug, Default)]
pub struct SurvivalLog {
    // Two generations, of which the older one is dropped as a whole.
    recent: IndexMap<SuspectDigest, MonoTime>,
    older: IndexMap<SuspectDigest, MonoTime>,
    services: IndexMap<ServiceName, ServiceCompletions>,
}

/// When targets of a service ran prompts to completion.
#[derive(Clone, Debug, Default)]
struct ServiceCompletions {
    // Spans with completions, in order.
    spans: IndexSet<u64>,
    last: MonoTime,
}

impl SurvivalLog {
    /// Records that a target of `service` ran a prompt with `parts` to completion.
    pub fn note(&mut self, service: &ServiceName, parts: &[SuspectDigest], now: MonoTime) {
        if self.recent.len() + parts.len() > GENERATION_SIZE {
            self.older = std::mem::take(&mut self.recent);
        }
        for part in parts {
            let last = self.recent.entry(*part).or_insert(now);
            *last = now.max(*last);
        }
        if !self.services.contains_key(service) {
            let completions = ServiceCompletions::default();
            self.services.insert(service.clone(), completions);
        }
        let completions = &mut self.services[service];
        completions.last = now.max(completions.last);
        let spans = &mut completions.spans;
        if spans.insert(now.0 / SPAN_MS) && spans.len() > MAX_SPANS {
            spans.shift_remove_index(0);
        }
    }

    /// Returns whether a target survived a part shortly before `crashed`, or later.
    #[must_use]
    pub fn exculpates(&self, part: SuspectDigest, crashed: MonoTime) -> bool {
        let last = self.recent.get(&part).or_else(|| self.older.get(&part));
        last.is_some_and(|last| last.plus(EXCULPATION_TIME) >= crashed)
    }

    /// Returns whether a target of `service` ran any prompt to completion after `crashed`, and at
    /// most `within` later.
    #[must_use]
    pub fn has_completed(
        &self,
        service: &ServiceName,
        crashed: MonoTime,
        within: Duration,
    ) -> bool {
        let first = crashed.0 / SPAN_MS + 1;
        let last = crashed.plus(within).0 / SPAN_MS;
        self.services.get(service).is_some_and(|completions| {
            let is_last = completions.last > crashed && completions.last <= crashed.plus(within);
            is_last || (first..=last).any(|span| completions.spans.contains(&span))
        })
    }
}
