//! Requests that crash the targets that run them.
//!
//! A target may crash while it runs a request, and takes all of its other requests with it.
//! The caller then sends the request again, as a new attempt, to any daemon; or other callers
//! send prompts that share the part that crashes targets. Crashes are therefore tracked per
//! suspect ([`suspect`]): work, identified by a digest that all attempts share, and the parts of
//! prompts, together with the target incarnations that crashed under them ([`tracker`]). Daemons
//! exchange these reports ([`report`]). Suspects that explain the crashes of several targets are
//! quarantined and no longer sent ([`verdict`]).

pub mod connection_losses;
pub mod open_ends;
pub mod record;
pub mod refutations;
pub mod report;
pub mod survivals;
pub mod suspect;
pub mod suspect_digest;
pub mod tracker;
pub mod verdict;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::crashes::tracker::CrashTracker;

/// A crash tracker shared by the threads of a daemon. Clones refer to the same tracker.
#[derive(Clone, Debug, Default)]
pub struct SharedCrashTracker(Arc<Mutex<CrashTracker>>);

impl SharedCrashTracker {
    /// Locks the tracker.
    pub fn lock(&self) -> MutexGuard<'_, CrashTracker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
