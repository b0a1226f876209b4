//! Which addresses callers are told to use.

use std::net::SocketAddr;

use crate::gateway::members::DaemonRecord;
use crate::names::{CentreName, DaemonId};

/// Most addresses in an answer; callers count no more.
pub const MAX_ADDRESSES: usize = 64;
/// Fewest daemons of the caller's data centre that are worth naming alone.
const FEWEST_NEAR: usize = 2;

/// Chooses addresses for a caller in `centre`: the daemons there, or all where
/// these are too few for one to fail. Daemons that leave or for which `usable`
/// is false are left out; so are those that refuse keys while others do not.
#[must_use]
pub fn addresses_for(
    daemons: &[DaemonRecord],
    centre: &CentreName,
    usable: impl Fn(&DaemonId) -> bool,
    confirms_keys: impl Fn(&DaemonId) -> bool,
) -> Vec<SocketAddr> {
    let staying = daemons.iter().filter(|daemon| !daemon.leaving);
    let mut good: Vec<&DaemonRecord> = staying.filter(|d| usable(&d.id)).collect();
    if good.iter().any(|daemon| confirms_keys(&daemon.id)) {
        good.retain(|daemon| confirms_keys(&daemon.id));
    }
    let near: Vec<&DaemonRecord> = good
        .iter()
        .copied()
        .filter(|daemon| daemon.centre == *centre)
        .collect();
    let chosen = if near.len() >= FEWEST_NEAR {
        near
    } else {
        good
    };
    let addresses = chosen.into_iter().map(|daemon| daemon.callers);
    addresses.take(MAX_ADDRESSES).collect()
}
