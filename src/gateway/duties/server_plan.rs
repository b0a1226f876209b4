//! How many targets of a service each data centre is to have, and which kind: a pure plan.
//!
//! Reclaimable targets cost a part of the price of firm ones and may go at once, all of a
//! data centre, with seconds of notice. So they are spread, with so many to spare that
//! what is left after the loss of the largest data centre is still what the operator had
//! provided. Firm ones stand in for those that are missing, as long as they are.

use crate::gateway::model::ScalingRule;
use crate::names::CentreName;

/// Targets of a service in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreTargets {
    /// The data centre.
    pub centre: CentreName,
    /// Price of a target there against others.
    pub price: f64,
    /// Firm ones that may get work.
    pub on_demand: u32,
    /// Reclaimable ones that may get work.
    pub reclaimable: u32,
    /// Reclaimable ones that there will be once those ordered lately have started.
    pub expected_reclaimable: u32,
}

/// Most targets of a kind that a data centre exchanges at a time. Each that comes or goes
/// is told to every daemon, in about 300 bytes: with 100 members a hub sends 30 kB for it,
/// so 100 of a kind in the 5 s in which new ones start come to 1.2 MB a second for both
/// kinds, a twentieth of the link of a strong instance. Without a bound 3,000 that went
/// for 4,500 filled that link, and departures were heard 4.4 s late.
const MAX_STEP: u32 = 100;

/// Returns the number to order next of a kind of which `there` are there, `wanted` are
/// wanted and `ordered` were ordered last. What is within a step is ordered at once;
/// else the number stays the same while a step is under way.
#[must_use]
pub fn next_step(current: u32, desired: u32, last_ordered: Option<u32>) -> u32 {
    let fewest = current.saturating_sub(MAX_STEP);
    let most = current.saturating_add(MAX_STEP);
    let next = desired.clamp(fewest, most);
    if next == desired {
        return desired;
    }
    // Between what is there and the furthest that may be ordered now.
    let in_progress =
        |count: &u32| (current < *count && *count <= next) || (next <= *count && *count < current);
    last_ordered.filter(in_progress).unwrap_or(next)
}

/// How many targets of each kind a data centre is to have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredCounts {
    /// The data centre.
    pub centre: CentreName,
    /// Firm ones.
    pub on_demand: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
}

/// Returns how many targets each data centre is to have, where the operator had provided
/// `provided` in all; `None` where nothing is to be gained by other ones.
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
    let minimum = rule.fewest;
    let mut desired: Vec<DesiredCounts> = centres
        .iter()
        .map(|centre| DesiredCounts {
            centre: centre.centre.clone(),
            on_demand: minimum,
            // Both kinds together stay below the most that are allowed.
            reclaimable: per_centre.min(rule.most.saturating_sub(centre.on_demand.max(minimum))),
        })
        .collect();
    substitute_on_demand(rule, provided, centres, &mut desired);
    Some(desired)
}

// Firm ones for those that are missing. Those that run stay until reclaimable ones serve;
// more are ordered, the cheapest first, only for what is not on its way already.
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
        let extra = rule.most.saturating_sub(occupied).min(missing);
        desired.on_demand += extra;
        missing -= extra;
    }
}
