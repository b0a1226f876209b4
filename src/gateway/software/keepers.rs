//! Which daemons keep the start of a stream.
//!
//! Each daemon works them out from the identifier of the attempt alone, so that those that keep
//! a start are told and asked without knowing which daemon began the stream, whatever the size
//! of the fleet. Lists that differ by a few daemons mostly agree on the first ones.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::members::DaemonRecord;
use crate::gateway::software::starts::AttemptDigest;

/// Daemons that keep a start, besides the one that began the stream.
pub const KEEPERS: usize = 3;
/// Daemons that are asked for a start: one more, as lists of daemons may differ.
pub const ASKED: usize = KEEPERS + 1;

/// Returns the first daemons for an attempt, those of two data centres if there are two.
#[must_use]
pub fn keepers(
    attempt: AttemptDigest,
    daemons: &[DaemonRecord],
    count: usize,
) -> Vec<&DaemonRecord> {
    let keeps = |daemon: &&DaemonRecord| !daemon.leaving && daemon.handovers.is_some();
    let mut ordered: Vec<&DaemonRecord> = daemons.iter().filter(keeps).collect();
    ordered.sort_by_cached_key(|daemon| {
        Reverse(xxh3_64_with_seed(daemon.id.as_str().as_bytes(), attempt.0))
    });
    if let Some(first) = ordered.first() {
        let is_elsewhere = |daemon: &&DaemonRecord| daemon.centre != first.centre;
        if let Some(at) = ordered.iter().position(is_elsewhere) {
            ordered[1..=at].rotate_right(1);
        }
    }
    ordered.truncate(count);
    ordered
}
