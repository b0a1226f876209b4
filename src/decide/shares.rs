//! Fleet-wide fair shares, from the costs observed locally and those reported by peers.
//!
//! Each daemon divides only its own capacity by weight. Of two workspaces with equal
//! weights, one that is active on every daemon would then get more than one that is
//! active on a single daemon. The local weights are therefore corrected by how far each
//! workspace is from its fair share of the fleet.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{MonoTime, WorkspaceName};

/// Window over which the rates of cost are averaged.
const RATE_WINDOW_S: f64 = 30.0;
/// Maximum factor by which a weight is raised or lowered.
const MAX_CORRECTION: f64 = 8.0;
/// Rate in engine-seconds per second below which a workspace counts as inactive.
const MIN_RATE: f64 = 1e-4;
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Corrections of the workspaces' weights on this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightCorrections {
    /// Factor on a workspace's weight; workspaces not listed have 1.
    pub factors: IndexMap<WorkspaceName, f64>,
}

impl WeightCorrections {
    /// Returns the factor on a workspace's weight.
    #[must_use]
    pub fn factor(&self, workspace: &WorkspaceName) -> f64 {
        self.factors.get(workspace).copied().unwrap_or(1.0)
    }
}

/// Tracks the rate of cost per workspace across the fleet.
#[derive(Clone, Debug, Default)]
pub struct ShareTracker {
    pending: IndexMap<WorkspaceName, f64>,
    rates: IndexMap<WorkspaceName, f64>,
    updated_at: Option<MonoTime>,
}

impl ShareTracker {
    /// Adds cost in engine-seconds, used locally or reported by a peer.
    pub fn add_cost(&mut self, workspace: &WorkspaceName, cost: f64) {
        *self.pending.entry(workspace.clone()).or_default() += cost;
    }

    /// Updates the rates once per interval; returns whether they were updated.
    pub fn tick(&mut self, now: MonoTime) -> bool {
        let last_update = *self.updated_at.get_or_insert(now);
        let elapsed = now.since(last_update);
        if elapsed < UPDATE_INTERVAL {
            return false;
        }
        self.updated_at = Some(now);
        let seconds = elapsed.as_secs_f64();
        let new_weight = (seconds / RATE_WINDOW_S).min(1.0);
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - new_weight;
        }
        for (workspace, cost) in self.pending.drain(..) {
            *self.rates.entry(workspace).or_default() += cost / seconds * new_weight;
        }
        self.rates.retain(|_, rate| *rate >= MIN_RATE);
        true
    }

    /// Returns the corrections of the configured weights.
    #[must_use]
    pub fn view(&self, weight: impl Fn(&WorkspaceName) -> u32) -> WeightCorrections {
        let total_rate: f64 = self.rates.values().sum();
        let total_weight: f64 = self.rates.keys().map(|w| f64::from(weight(w))).sum();
        if total_rate <= 0.0 || total_weight <= 0.0 {
            return WeightCorrections::default();
        }
        let factors = self.rates.iter().map(|(workspace, rate)| {
            let fair_rate = total_rate * f64::from(weight(workspace)) / total_weight;
            let factor = (fair_rate / rate).clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION);
            (workspace.clone(), factor)
        });
        WeightCorrections {
            factors: factors.collect(),
        }
    }
}
