//! Chooses the daemon addresses that callers receive from the directory.

use std::net::SocketAddr;

use crate::gateway::members::DaemonRecord;
use crate::names::{CentreName, DaemonId};

/// Most addresses in a response; callers ignore any beyond these.
pub const MAX_ADDRESSES: usize = 64;
/// Minimum number of daemons in the caller's data centre for daemons elsewhere to be left
/// out.
const MIN_LOCAL_DAEMONS: usize = 2;

/// Returns the addresses for a caller in `centre`: those of the daemons there, or of all
/// daemons where there are too few to survive the failure of one. Leaves out daemons that
/// are leaving or not `usable`, and, while others can, those that cannot confirm workspace
/// keys or reach no target of some service.
#[must_use]
pub fn addresses_for(
    daemons: &[DaemonRecord],
    centre: &CentreName,
    usable: impl Fn(&DaemonId) -> bool,
    confirms_keys: impl Fn(&DaemonId) -> bool,
    reaches_targets: impl Fn(&DaemonId) -> bool,
) -> Vec<SocketAddr> {
    let staying = daemons.iter().filter(|daemon| !daemon.leaving);
    let mut eligible: Vec<&DaemonRecord> = staying.filter(|d| usable(&d.id)).collect();
    if eligible.iter().any(|daemon| confirms_keys(&daemon.id)) {
        eligible.retain(|daemon| confirms_keys(&daemon.id));
    }
    if eligible.iter().any(|daemon| reaches_targets(&daemon.id)) {
        eligible.retain(|daemon| reaches_targets(&daemon.id));
    }
    let local: Vec<&DaemonRecord> = eligible
        .iter()
        .copied()
        .filter(|daemon| daemon.centre == *centre)
        .collect();
    let chosen = if local.len() >= MIN_LOCAL_DAEMONS {
        local
    } else {
        eligible
    };
    let addresses = chosen.into_iter().map(|daemon| daemon.callers);
    addresses.take(MAX_ADDRESSES).collect()
}
