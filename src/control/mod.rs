//! The control thread, which owns configuration, membership, leases and roles.

pub mod authority_ports;
mod changes;
pub mod event_loop;
pub mod feeds;
mod gossip;
pub mod peer_exchange;
pub mod snapshot;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};

use crate::config::catalogue::{ItemName, ItemSpec};
use crate::control::snapshot::{SnapshotCell, new_cell};
use crate::crashes::SharedCrashTracker;
use crate::names::{ClassName, ModelName, ProcessIncarnation, TargetId, WorkspaceName};
use crate::peers::link::PeerEvent;
use crate::ports::{EnginePort, PlatformPort};
use crate::requests::journal::DecisionJournal;
use crate::settings::DaemonSettings;
use crate::target_limits::SharedLimitTracker;

/// An operator's change of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemChange {
    /// Item concerned.
    pub item: ItemName,
    /// New content; `None` deletes it.
    pub spec: Option<ItemSpec>,
    /// Revision the change was based on; 0 for a new item.
    pub based_on: u64,
}

/// Result of an accepted change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeReport {
    /// Revision of the item after the change.
    pub revision: u64,
    /// Number of daemons known to have applied the change, including this one.
    pub confirmed: u32,
    /// Daemons, neither leaving nor gone, that did not confirm the change before the timeout.
    pub unconfirmed: Vec<String>,
}

/// Reason why a change was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The item's revision differs from the one the change was based on.
    #[error(
        "the item moved to revision {current} (now {found}); read it again and repeat the change"
    )]
    Conflict {
        /// Current revision; 0 if the item does not exist.
        current: u64,
        /// Current content of the item in JSON.
        found: String,
    },
    /// The item is invalid.
    #[error("{reason}")]
    Invalid {
        /// Field, value found, allowed range and remedy.
        reason: String,
    },
    /// The platform cannot accept the change now; nothing was changed.
    #[error("the change could not be stored ({reason}); nothing was changed, retry later")]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// Whether the change was stored is unknown.
    #[error("whether the change was stored is unknown ({reason}); read the item before retrying")]
    Unknown {
        /// What happened.
        reason: String,
    },
}

/// An event that traffic threads and adapters send to the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// An operator requests a change.
    Change {
        /// Requested change.
        change: ItemChange,
        /// Channel that receives the result.
        reply: oneshot::Sender<Result<ChangeReport, ChangeError>>,
    },
    /// A call to a target succeeded or failed.
    TargetContacted {
        /// Target that was called.
        target: TargetId,
        /// Whether the target answered.
        answered: bool,
    },
    /// A target reported that it is leaving.
    TargetLeaving {
        /// Target that was called.
        target: TargetId,
        /// Address at which it was called.
        address: String,
    },
    /// Work accepted since the last such event, for the forecast of the workload mix.
    WorkAccepted {
        /// Requested model.
        model: ModelName,
        /// Prompt tokens that were not cached.
        prefill_tokens: u64,
        /// Output tokens.
        decode_tokens: u64,
    },
    /// Cost of a workspace's requests on this daemon, for fleet-wide fair shares.
    CostUsed {
        /// Workspace that was served.
        workspace: WorkspaceName,
        /// Class that was served.
        class: ClassName,
        /// Engine time that was used.
        cost: Duration,
    },
    /// A change of a link to a peer, or a message received over it.
    Peer(PeerEvent),
    /// A planned stop begins: the daemon withdraws its address and hands over its leases.
    Stop {
        /// Notified once the leases are handed over.
        done: oneshot::Sender<()>,
    },
}

/// Parameters for starting the control thread.
#[derive(Clone)]
pub struct ControlInputs {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Port to the platform's objects and instance list.
    pub platform: PlatformPort,
    /// Port to the model engines.
    pub engines: EnginePort,
    /// Journal of decisions and their reasons.
    pub journal: DecisionJournal,
    /// Address at which callers reach this daemon.
    pub rpc_address: SocketAddr,
    /// Address at which peers reach this daemon.
    pub peer_address: SocketAddr,
    /// Incarnation of this process.
    pub incarnation: ProcessIncarnation,
    /// Seed for all random choices of the control thread.
    pub seed: u64,
    /// Tracker of work that crashed targets; its reports are sent to peers.
    pub crashes: SharedCrashTracker,
    /// Tracker of targets' limits; its reports are sent to peers.
    pub target_limits: SharedLimitTracker,
}

/// Handle to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    /// Latest published state.
    pub snapshot: SnapshotCell,
    /// Channel for events to the control thread.
    pub events: mpsc::UnboundedSender<ControlEvent>,
    end: Arc<watch::Sender<bool>>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl ControlHandle {
    /// Ends the thread and waits for it. Its leases are left to expire; a planned stop
    /// sends [`ControlEvent::Stop`] first.
    pub fn end(&self) {
        self.end.send_replace(true);
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = thread.take().map(JoinHandle::join);
        if let Some(Err(_)) = ended {
            log::error!("the control thread panicked; restart this daemon");
        }
    }

    /// Returns whether the thread has ended, either on request or by a panic.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

/// Starts the control thread.
///
/// # Panics
///
/// Panics if the operating system cannot provide a thread or an event loop.
#[must_use]
pub fn start_control(inputs: ControlInputs) -> ControlHandle {
    let snapshot = new_cell();
    let (events, inbox) = mpsc::unbounded_channel();
    let (end, ended) = watch::channel(false);
    let cell = snapshot.clone();
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || event_loop::run_thread(inputs, cell, inbox, ended))
        .expect("the control thread starts; raise the limit of threads if it cannot");
    ControlHandle {
        snapshot,
        events,
        end: Arc::new(end),
        thread: Arc::new(Mutex::new(Some(thread))),
    }
}
