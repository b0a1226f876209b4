//! Results of members' sends, reported to the hub that chooses engines for their requests.
//!
//! A hub chooses engines for the requests of 40 daemons and sends few of them itself. By its
//! own sends alone it would observe each of 120 engines once a minute, and would go on
//! choosing an unresponsive engine long after its members have noticed.
//!
//! Members do not report processing times of engines. With them a fleet of 61 daemons and 50
//! engines served 0.64 to 0.73 of its requests, without them 0.72 to 0.80; keeping them for
//! longer, by engine or by kind of work, recovered less than half of the loss or nothing. With
//! learned capacities they report ratios, which change no latency line
//! ([`crate::gateway::deciding::target_capacity`]).

use std::sync::Arc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::health::SendResult;
use crate::gateway::deciding::target_capacity::{CapacityReport, TimeRatio};
use crate::names::{DaemonId, MonoTime};
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
    /// Mean ratios of actual to expected times, at most one per target.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub times: Vec<TimeRatio>,
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

    /// Returns what this daemon has observed since its last hint.
    pub(super) fn take_observed(&self) -> ObservedResults {
        ObservedResults {
            times: self.core.borrow_mut().capacities.take_ratios(),
            ..self.observed_results.take()
        }
    }

    /// Applies the ratios of times that a peer reports, of its own requests or, as a hub, of its
    /// data centre.
    pub(super) fn apply_times(&self, reporter: (&DaemonId, bool), times: &[TimeRatio]) {
        let view = self.view();
        let find = |target: &TargetIncarnation| view.find(target).map(Arc::as_ref);
        let capacities = &mut self.core.borrow_mut().capacities;
        capacities.note_reported(reporter, times, find, clock::mono_now());
    }

    /// Applies a hub's report of the times of targets.
    pub(super) fn apply_capacity_report(&self, hub: &DaemonId, report: &CapacityReport) {
        self.apply_times((hub, false), &report.ratios);
        let capacities = &mut self.core.borrow_mut().capacities;
        capacities.apply_capacities(&report.capacities, clock::mono_now());
    }

    /// Returns what this daemon reports as a hub to its members or to other hubs.
    pub(super) fn take_capacity_report(&self, whole_fleet: bool, now: MonoTime) -> CapacityReport {
        let capacities = &mut self.core.borrow_mut().capacities;
        capacities.take_report(whole_fleet, now)
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
