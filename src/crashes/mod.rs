//! Work that ends the targets that run it.
//!
//! A target may end under a request, and with it everything that it runs. The caller sends
//! the request again, as a new attempt, to any daemon. So what is remembered is the work,
//! by a digest that its attempts share, with the lives of targets that ended under it
//! ([`book`]). Daemons tell each other ([`news`]); work that ended three targets is held:
//! it is sent no more.

pub mod broadcasts;
pub mod tracker;
pub mod work_digest;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::crashes::tracker::CrashTracker;

/// A book that threads of a daemon share. Clones share one book.
#[derive(Clone, Debug, Default)]
pub struct SharedCrashTracker(Arc<Mutex<CrashTracker>>);

impl SharedCrashTracker {
    /// Takes the book for one step.
    pub fn lock(&self) -> MutexGuard<'_, CrashTracker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
