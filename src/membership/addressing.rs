//! Selects the daemon addresses that callers are given.

use rand::Rng;

use crate::control::snapshot::ControlSnapshot;
use crate::membership::fleet::{DaemonView, UseState};
use crate::names::{CentreName, DaemonId};

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 8;

const LIVE_WEIGHT: u32 = 100;
const SUSPECT_WEIGHT: u32 = 1;

/// One address a caller may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressEntry {
    /// IP address and port.
    pub address: String,
    /// Data centre of the daemon.
    pub data_centre: CentreName,
    /// Share of requests it should get, relative to the others.
    pub weight: u32,
}

/// Answer to a caller that asks where to connect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressAnswer {
    /// Addresses, the best first.
    pub addresses: Vec<AddressEntry>,
    /// How long to keep the answer, in milliseconds.
    pub keep_ms: u32,
}

/// Chooses addresses from the fleet as seen by this daemon.
///
/// Those in the caller's data centre come first; apart from that, the order is random
/// by weight, so that callers who use the first address are spread over the daemons. A
/// daemon that is leaving is never included: a caller may keep the answer for
/// `keep_ms`, and a planned stop waits that long before it refuses callers.
pub fn locate(
    snapshot: &ControlSnapshot,
    daemon_id: &DaemonId,
    centre: Option<&CentreName>,
    keep_ms: u32,
    rng: &mut impl Rng,
) -> AddressAnswer {
    let usable = snapshot.fleet.daemons.values().filter(|daemon| {
        let stopping = snapshot.stopping && daemon.id == *daemon_id;
        weight(daemon) > 0 && !stopping
    });
    let mut candidates: Vec<(bool, f64, &DaemonView)> = usable
        .map(|daemon| {
            let remote = centre.is_some_and(|c| *c != daemon.data_centre);
            (remote, weighted_draw(weight(daemon), rng), daemon)
        })
        .collect();
    candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let addresses = candidates
        .iter()
        .take(MAX_ADDRESSES)
        .map(|(_, _, daemon)| entry(daemon));
    AddressAnswer {
        addresses: addresses.collect(),
        keep_ms,
    }
}

fn weight(daemon: &DaemonView) -> u32 {
    match daemon.state {
        UseState::Live => LIVE_WEIGHT,
        UseState::Suspect => SUSPECT_WEIGHT,
        UseState::Drained | UseState::Leaving | UseState::Gone => 0,
    }
}

// Sorting by these exponential draws amounts to weighted sampling without replacement.
fn weighted_draw(weight: u32, rng: &mut impl Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / f64::from(weight)
}

fn entry(daemon: &DaemonView) -> AddressEntry {
    AddressEntry {
        address: daemon.address.clone(),
        data_centre: daemon.data_centre.clone(),
        weight: weight(daemon),
    }
}
