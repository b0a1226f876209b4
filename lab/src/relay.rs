//! A relay of TCP connections that can be reset, delayed, or silenced in either
//! direction: a bad network between one process and another.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a relay lets through. What is held back is never delivered: a connection that
/// was silenced breaks when the silence ends, as one over a network does that lost
/// packets for too long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RelayFault {
    /// Bytes towards the listener behind the relay are held back.
    pub mutes_calls: bool,
    /// Bytes back are held back: calls have their effect, and no answer comes.
    pub mutes_answers: bool,
    /// Wait before each chunk of bytes is passed on, in either direction.
    pub delay: Duration,
}

impl RelayFault {
    /// Tells whether anything is held back.
    #[must_use]
    pub const fn is_any(self) -> bool {
        self.mutes_calls || self.mutes_answers
    }
}

/// Where a relay leads now.
type BehindCell = Arc<Mutex<String>>;

/// A running relay.
pub struct RunningRelay {
    address: SocketAddr,
    fault: Arc<watch::Sender<RelayFault>>,
    // Raised to break the connections that are open.
    resets: Arc<watch::Sender<u64>>,
    behind: BehindCell,
    task: JoinHandle<()>,
}

impl RunningRelay {
    /// Starts a relay to an address, at any port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error when no port is free.
    pub async fn start(behind: &str) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.wrap_err("no port is free for a relay")?;
        let address = listener.local_addr()?;
        let (fault, _) = watch::channel(RelayFault::default());
        let fault = Arc::new(fault);
        let resets = Arc::new(watch::channel(0).0);
        let behind = Arc::new(Mutex::new(behind.to_owned()));
        let accepting = accept(listener, behind.clone(), fault.clone(), resets.clone());
        Ok(Self {
            address,
            fault,
            resets,
            behind,
            task: tokio::spawn(accepting),
        })
    }

    /// Breaks the connections that are open; new ones go through.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Leads new connections to another address.
    pub fn lead_to(&self, behind: &str) {
        let mut cell = self.behind.lock().unwrap_or_else(PoisonError::into_inner);
        behind.clone_into(&mut cell);
    }

    /// Returns the IP number and port to connect to.
    #[must_use]
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Puts a fault in force in place of the one before.
    pub fn set_fault(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    behind: BehindCell,
    fault: Arc<watch::Sender<RelayFault>>,
    resets: Arc<watch::Sender<u64>>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let target = behind
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (fault, mut reset) = (fault.subscribe(), resets.subscribe());
        tokio::spawn(async move {
            tokio::select! {
                () = connect(near, target, fault) => {}
                _ = reset.changed() => {}
            }
        });
    }
}

async fn connect(near: TcpStream, behind: String, fault: watch::Receiver<RelayFault>) {
    let mut opening = fault.clone();
    if fault.borrow().mutes_calls {
        // A connection begun during the partition comes to nothing when it ends.
        let _ = opening.wait_for(|fault| !fault.mutes_calls).await;
        return;
    }
    // A refusal behind the relay shows as a connection closed at once.
    let Ok(far) = TcpStream::connect(&behind).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let calls = pump(near_read, far_write, fault.clone(), |f| f.mutes_calls);
    let answers = pump(far_read, near_write, fault, |f| f.mutes_answers);
    tokio::select! {
        () = calls => {}
        () = answers => {}
    }
}

/// Moves bytes until an end closes, or a silence that held some back is over.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<RelayFault>,
    is_muted: fn(&RelayFault) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        let now = *fault.borrow_and_update();
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        if is_muted(&now) {
            let _ = fault.wait_for(|fault| !is_muted(fault)).await;
            return;
        }
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
