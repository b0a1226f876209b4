//! Results of members' sends, reported to the hub that chooses engines for their requests.
//!
//! A hub chooses engines for the requests of 40 daemons and sends few of them itself. By its
//! own sends alone it would observe each of 120 engines once a minute, and would go on
//! choosing an unresponsive engine long after its members have noticed.
//!
//! Members do not report processing times of engines. With them a fleet of 61 daemons and 50
//! engines served 0.64 to 0.73 of its requests, without them 0.72 to 0.80; keeping them for
//! longer, by engine or by kind of work, recovered less than half of the loss or nothing.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::SendResult;
use crate::target_incarnation::TargetIncarnation;

/// Most results in a hint; the rest is dropped. At 450 requests a second a daemon in a
/// fleet of 195 reports one or two, so this leaves room for bursts.
const MAX_RESULTS: usize = 128;
/// Number of unresponsive targets in one hint from which on the sender itself counts as cut
/// off. When several engines fail together, a daemon sends to one or two of them between
/// two hints.
const CUT_OFF_TARGETS: usize = 3;

/// Result of a send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObservedResult {
    /// The target.
    pub target: TargetIncarnation,
    /// The result.
    pub result: SendResult,
}

/// Results of a daemon's sends since its last hint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObservedResults {
    /// One result per send, oldest first.
    pub results: Vec<ObservedResult>,
}

impl ObservedResults {
    /// Adds the result of a send.
    pub fn note_result(&mut self, target: &TargetIncarnation, result: SendResult) {
        if self.results.len() < MAX_RESULTS {
            self.results.push(ObservedResult {
                target: target.clone(),
                result,
            });
        }
    }

    /// Drops failures of the given targets, which say nothing about them.
    pub fn forget_failures(&mut self, is_given: impl Fn(&TargetIncarnation) -> bool) {
        self.results.retain(|observed| {
            observed.result == SendResult::Answered || !is_given(&observed.target)
        });
    }

    /// Returns the results that say something about their targets. Several unresponsive
    /// targets at once mean that the sender itself is cut off, and repeated silence of one
    /// target between two hints counts once.
    pub fn conclusive_results(&self) -> impl Iterator<Item = &ObservedResult> {
        let is_silent = |observed: &&ObservedResult| observed.result == SendResult::Silent;
        let unresponsive: IndexSet<&TargetIncarnation> = self
            .results
            .iter()
            .filter(is_silent)
            .map(|observed| &observed.target)
            .collect();
        let cut_off = unresponsive.len() >= CUT_OFF_TARGETS;
        let mut counted: IndexSet<&TargetIncarnation> = IndexSet::new();
        self.results
            .iter()
            .filter(move |observed| match observed.result {
                SendResult::Silent => !cut_off && counted.insert(&observed.target),
                SendResult::Answered | SendResult::Failed => true,
            })
    }
}

impl Gateway {
    /// Whether a hub chooses engines for this daemon's requests, and needs their results.
    pub fn uses_remote_placement(&self) -> bool {
        self.placement_client.borrow().has_placement_hub()
    }

    /// Applies a member's results as if they were those of this daemon.
    pub(super) fn apply_results(&self, results: &ObservedResults) {
        let view = self.view();
        for observed in results.conclusive_results() {
            if let Some(target) = view.find(&observed.target) {
                self.note_result(target, observed.result);
            }
        }
    }
}
