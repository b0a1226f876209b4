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
    pub firm: u32,
    /// Reclaimable ones that may get work.
    pub reclaimable: u32,
    /// Reclaimable ones that there will be once those ordered lately have started.
    pub coming: u32,
}

/// Most targets of a kind that a data centre exchanges at a time. Each that comes or goes
/// is told to every daemon, in about 300 bytes: with 100 members a hub sends 30 kB for it,
/// so 100 of a kind in the 5 s in which new ones start come to 1.2 MB a second for both
/// kinds, a twentieth of the link of a strong instance. Without a bound 3,000 that went
/// for 4,500 filled that link, and departures were heard 4.4 s late.
const MOST_AT_ONCE: u32 = 100;

/// Returns the number to order next of a kind of which `there` are there, `wanted` are
/// wanted and `ordered` were ordered last. What is within a step is ordered at once;
/// else the number stays the same while a step is under way.
#[must_use]
pub fn next_step(there: u32, wanted: u32, ordered: Option<u32>) -> u32 {
    let fewest = there.saturating_sub(MOST_AT_ONCE);
    let most = there.saturating_add(MOST_AT_ONCE);
    let next = wanted.clamp(fewest, most);
    if next == wanted {
        return wanted;
    }
    // Between what is there and the furthest that may be ordered now.
    let under_way =
        |count: &u32| (there < *count && *count <= next) || (next <= *count && *count < there);
    ordered.filter(under_way).unwrap_or(next)
}

/// How many targets of each kind a data centre is to have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CentreWish {
    /// The data centre.
    pub centre: CentreName,
    /// Firm ones.
    pub firm: u32,
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
) -> Option<Vec<CentreWish>> {
    let count = u32::try_from(centres.len()).ok().filter(|n| *n > 1)?;
    let price = rule.reclaimable_price?;
    let each = (provided * count).div_ceil(count - 1).div_ceil(count);
    if f64::from(each * count) * price >= f64::from(provided) {
        return None;
    }
    let base = rule.fewest;
    let mut wishes: Vec<CentreWish> = centres
        .iter()
        .map(|at| CentreWish {
            centre: at.centre.clone(),
            firm: base,
            // Both kinds together stay below the most that are allowed.
            reclaimable: each.min(rule.most.saturating_sub(at.firm.max(base))),
        })
        .collect();
    stand_in(rule, provided, centres, &mut wishes);
    Some(wishes)
}

// Firm ones for those that are missing. Those that run stay until reclaimable ones serve;
// more are ordered, the cheapest first, only for what is not on its way already.
fn stand_in(
    rule: &ScalingRule,
    provided: u32,
    centres: &[CentreTargets],
    wishes: &mut [CentreWish],
) {
    let serving: u32 = centres.iter().map(|at| at.reclaimable).sum();
    let expected: u32 = centres.iter().map(|at| at.coming.max(at.reclaimable)).sum();
    let base: u32 = wishes.iter().map(|wish| wish.firm).sum();
    let mut staying = provided.saturating_sub(serving + base);
    for (at, wish) in centres.iter().zip(wishes.iter_mut()) {
        let kept = at.firm.saturating_sub(wish.firm).min(staying);
        wish.firm += kept;
        staying -= kept;
    }
    let firm: u32 = wishes.iter().map(|wish| wish.firm).sum();
    let mut missing = provided.saturating_sub(expected + firm);
    let mut cheapest: Vec<usize> = (0..centres.len()).collect();
    cheapest.sort_by(|a, b| centres[*a].price.total_cmp(&centres[*b].price));
    for index in cheapest {
        let (at, wish) = (&centres[index], &mut wishes[index]);
        let taken = wish.firm + wish.reclaimable.max(at.reclaimable);
        let more = rule.most.saturating_sub(taken).min(missing);
        wish.firm += more;
        missing -= more;
    }
}
