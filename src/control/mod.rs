//! The control thread: owner of configuration, membership, leases and roles.

pub mod authority_ports;
mod changes;
pub mod event_loop;
pub mod feeds;
mod gossip;
pub mod peer_desk;
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

/// What an accepted change brought about.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeReport {
    /// Revision of the item after the change.
    pub revision: u64,
    /// Daemons known to run the change, this one included.
    pub confirmed: u32,
    /// Live daemons that have not confirmed in time.
    pub unconfirmed: Vec<String>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The item has another revision.
    #[error("the item moved to revision {current} (now {found}); read it and redo the change")]
    Conflict {
        /// Revision found; 0 when the item does not exist.
        current: u64,
        /// The item as found, in JSON.
        found: String,
    },
    /// The item does not hold together.
    #[error("{reason}")]
    Invalid {
        /// Field, value found, range and remedy.
        reason: String,
    },
    /// The platform cannot take the change now; nothing was changed.
    #[error("the platform takes no changes now ({reason}); nothing was changed, retry later")]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// Whether the change was taken is not known.
    #[error("the answer to the change was lost ({reason}); read the item before trying again")]
    Unknown {
        /// What happened.
        reason: String,
    },
}

/// What traffic threads and adapters tell the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// An operator asks for a change.
    Change {
        /// The change.
        change: ItemChange,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<ChangeReport, ChangeError>>,
    },
    /// A call to a target failed or worked.
    TargetSeen {
        /// Target called.
        target: TargetId,
        /// Whether it answered.
        answered: bool,
    },
    /// A target said itself that it is leaving.
    TargetLeaving {
        /// Target called.
        target: TargetId,
        /// Where it was called.
        address: String,
    },
    /// Work accepted since the last such event, for the forecast of the mix.
    WorkSeen {
        /// Model asked for.
        model: ModelName,
        /// Prompt tokens that were not cached.
        prefill_tokens: u64,
        /// Output tokens.
        decode_tokens: u64,
    },
    /// Cost spent by workspaces on this daemon, for fleet-wide shares.
    CostSeen {
        /// Workspace served.
        workspace: WorkspaceName,
        /// Class served.
        class: ClassName,
        /// Engine time used.
        cost: Duration,
    },
    /// A link to a peer, or a message over it.
    Peer(PeerEvent),
    /// A planned stop begins: leave the addressing and hand over the leases.
    Stop {
        /// Told once the leases are handed over.
        done: oneshot::Sender<()>,
    },
}

/// What the control thread is started with.
#[derive(Clone)]
pub struct ControlInputs {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// The platform's objects and instance list.
    pub platform: PlatformPort,
    /// Model engines.
    pub engines: EnginePort,
    /// Where decisions and reasons go.
    pub journal: DecisionJournal,
    /// Address that callers reach this daemon at.
    pub rpc_address: SocketAddr,
    /// Address that peers reach this daemon at.
    pub peer_address: SocketAddr,
    /// Life of this process.
    pub incarnation: ProcessIncarnation,
    /// Seed of all random choices of the control thread.
    pub seed: u64,
    /// Work that ended targets, told to peers.
    pub crashes: SharedCrashTracker,
}

/// Handle of the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    /// Newest published state.
    pub snapshot: SnapshotCell,
    /// Where events go.
    pub events: mpsc::UnboundedSender<ControlEvent>,
    end: Arc<watch::Sender<bool>>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl ControlHandle {
    /// Ends the thread and waits for it. Leases held are left to expire; a planned
    /// stop sends [`ControlEvent::Stop`] first.
    pub fn end(&self) {
        self.end.send_replace(true);
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = thread.take().map(JoinHandle::join);
        if let Some(Err(_)) = ended {
            log::error!("the control thread panicked; restart this daemon");
        }
    }

    /// Tells whether the thread has ended, on request or by a panic.
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
/// Panics when the machine gives no thread or no event loop.
#[must_use]
pub fn start_control(inputs: ControlInputs) -> ControlHandle {
    let snapshot = new_cell();
    let (events, inbox) = mpsc::unbounded_channel();
    let (end, ended) = watch::channel(false);
    let cell = snapshot.clone();
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || event_loop::run_thread(inputs, cell, inbox, ended))
        .expect("a thread for control; raise the limit of threads");
    ControlHandle {
        snapshot,
        events,
        end: Arc::new(end),
        thread: Arc::new(Mutex::new(Some(thread))),
    }
}
