//! What members saw of their sends, for the hub that places their requests.
//!
//! A hub places the requests of 40 daemons and sends few of them itself. By its own sends
//! it would see each of 120 engines once in a minute, and would go on placing work on a
//! dark one that its members have long noticed.
//!
//! Members tell no times of engines' work. With them a fleet of 61 daemons and 50 engines
//! served 0.64 to 0.73 of its requests, without them 0.72 to 0.80; remembering them for
//! longer, by engine or by kind of work, gave back less than half of that or nothing.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::SendResult;
use crate::target_incarnation::TargetIncarnation;

/// Most notes in a hint; what is beyond is left out. At 450 requests a second
/// a daemon of a fleet of 195 has one or two to tell, so this leaves room for rushes.
const MOST_NOTES: usize = 128;
/// Silent targets in one hint from which on its daemon is taken for cut off itself. Of
/// engines that turn dark together a daemon meets one or two between two hints.
const CUT_OFF_SILENCES: usize = 3;

/// What became of a send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObservedResult {
    /// The target.
    pub target: TargetIncarnation,
    /// What became of it.
    pub result: SendResult,
}

/// What a daemon saw of its sends since its last hint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObservedResults {
    /// What became of sends.
    pub results: Vec<ObservedResult>,
}

impl ObservedResults {
    /// Keeps what became of a send.
    pub fn note_result(&mut self, target: &TargetIncarnation, result: SendResult) {
        if self.results.len() < MOST_NOTES {
            self.results.push(ObservedResult {
                target: target.clone(),
                result,
            });
        }
    }

    /// Returns the results that say something of their targets. Several silent ones at
    /// once say that the daemon itself is cut off, and one that is silent to a daemon
    /// twice between two hints is silent once.
    pub fn telling_results(&self) -> impl Iterator<Item = &ObservedResult> {
        let silent = |note: &&ObservedResult| note.result == SendResult::Silent;
        let silences: IndexSet<&TargetIncarnation> = self
            .results
            .iter()
            .filter(silent)
            .map(|note| &note.target)
            .collect();
        let cut_off = silences.len() >= CUT_OFF_SILENCES;
        let mut told: IndexSet<&TargetIncarnation> = IndexSet::new();
        self.results.iter().filter(move |note| match note.result {
            SendResult::Silent => !cut_off && told.insert(&note.target),
            SendResult::Answered | SendResult::Failed => true,
        })
    }
}

impl Gateway {
    /// Whether a hub places this daemon's requests and is to know what came of them.
    pub fn uses_remote_placement(&self) -> bool {
        self.placing.borrow().has_placer()
    }

    /// Takes what a member saw, as if this daemon had seen it.
    pub(super) fn take_seen(&self, seen: &ObservedResults) {
        let view = self.view();
        for note in seen.telling_results() {
            if let Some(target) = view.find(&note.target) {
                self.note_result(target, note.result);
            }
        }
    }
}
