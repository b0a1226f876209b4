//! Plans how many targets of each kind, on-demand and reclaimable, a service should have per
//! data centre. Free of side effects.
//!
//! Reclaimable targets cost a fraction of the price of on-demand ones, but all of those in a
//! data centre may be reclaimed at once, with seconds of notice. They are therefore spread
//! over the data centres, with enough spare ones that the loss of the largest data centre
//! leaves as many as the operator had provided. On-demand targets replace missing ones for
//! as long as they are missing.

use crate::gateway::model::ScalingRule;
use crate::names::CentreName;

/// Targets of a service in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreTargets {
    /// The data centre.
    pub centre: CentreName,
    /// Price of a target there relative to the other data centres.
    pub price: f64,
    /// On-demand targets that may get work.
    pub on_demand: u32,
    /// Reclaimable targets that may get work.
    pub reclaimable: u32,
    /// Reclaimable targets that will exist once the recently ordered ones have started; 0
    /// without a recent order.
    pub expected_reclaimable: u32,
}

/// Maximum number of targets of a kind by which a data centre changes at a time. Each target
/// that starts or stops is announced to every daemon in about 300 bytes; a hub with 100
/// members sends 30 kB for it. 100 of each kind in the 5 s in which new ones start amount to
/// 1.2 MB/s, a twentieth of the link of a strong instance. Without a limit, replacing 3,000
/// targets by 4,500 filled that link, and departures were received 4.4 s late.
const MAX_STEP: u32 = 100;

/// Returns the number of targets of a kind to order next, given the `current` and `desired`
/// numbers and the one ordered last. A change within one step is ordered at once; for a
/// larger one, the number stays the same while a step is in progress.
#[must_use]
pub fn next_step(current: u32, desired: u32, last_ordered: Option<u32>) -> u32 {
    let min = current.saturating_sub(MAX_STEP);
    let max = current.saturating_add(MAX_STEP);
    let next = desired.clamp(min, max);
    if next == desired {
        return desired;
    }
    // An order is in progress if it lies between the current number and the limit of the step.
    let in_progress =
        |count: &u32| (current < *count && *count <= next) || (next <= *count && *count < current);
    last_ordered.filter(in_progress).unwrap_or(next)
}

/// Desired numbers of targets of each kind in a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredCounts {
    /// The data centre.
    pub centre: CentreName,
    /// On-demand targets.
    pub on_demand: u32,
    /// Reclaimable targets.
    pub reclaimable: u32,
}

/// Returns the desired numbers of each data centre, given that the operator had provided
/// `provided` targets in total; `None` if reclaimable targets bring no advantage.
#[must_use]
pub fn plan(
    rule: &ScalingRule,
    provided: u32,
    centres: &[CentreTargets],
) -> Option<Vec<DesiredCounts>> {
    let count = u32::try_from(centres.len()).ok().filter(|n| *n > 1)?;
    let price = rule.reclaimable_price?;
    let per_centre = (provided * count).div_ceil(count - 1).div_ceil(count);
    if f64::from(per_centre * count) * price >= f64::from(provided) {
        return None;
    }
    let minimum = rule.min_per_centre;
    let mut desired: Vec<DesiredCounts> = centres
        .iter()
        .map(|centre| DesiredCounts {
            centre: centre.centre.clone(),
            on_demand: minimum,
            // Both kinds together stay within the maximum that is allowed.
            reclaimable: per_centre.min(
                rule.max_per_centre
                    .saturating_sub(centre.on_demand.max(minimum)),
            ),
        })
        .collect();
    substitute_on_demand(rule, provided, centres, &mut desired);
    Some(desired)
}

// Adds on-demand targets for missing ones. Running ones stay until reclaimable ones serve;
// more are ordered, the cheapest first, only for targets that are not already starting.
fn substitute_on_demand(
    rule: &ScalingRule,
    provided: u32,
    centres: &[CentreTargets],
    desired: &mut [DesiredCounts],
) {
    let serving: u32 = centres.iter().map(|centre| centre.reclaimable).sum();
    let expected: u32 = centres
        .iter()
        .map(|centre| centre.expected_reclaimable.max(centre.reclaimable))
        .sum();
    let minimum: u32 = desired.iter().map(|desired| desired.on_demand).sum();
    let mut still_needed = provided.saturating_sub(serving + minimum);
    for (centre, desired) in centres.iter().zip(desired.iter_mut()) {
        let retained = centre
            .on_demand
            .saturating_sub(desired.on_demand)
            .min(still_needed);
        desired.on_demand += retained;
        still_needed -= retained;
    }
    let on_demand: u32 = desired.iter().map(|desired| desired.on_demand).sum();
    let mut missing = provided.saturating_sub(expected + on_demand);
    let mut cheapest: Vec<usize> = (0..centres.len()).collect();
    cheapest.sort_by(|a, b| centres[*a].price.total_cmp(&centres[*b].price));
    for index in cheapest {
        let (centre, desired) = (&centres[index], &mut desired[index]);
        let occupied = desired.on_demand + desired.reclaimable.max(centre.reclaimable);
        let extra = rule.max_per_centre.saturating_sub(occupied).min(missing);
        desired.on_demand += extra;
        missing -= extra;
    }
}
