//! A relay of TCP connections that can be cut or silenced in either direction: a
//! network partition between one process and another.

use std::net::SocketAddr;
use std::sync::Arc;

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
}

impl RelayFault {
    /// Tells whether anything is held back.
    #[must_use]
    pub const fn is_any(self) -> bool {
        self.mutes_calls || self.mutes_answers
    }
}

/// A running relay.
pub struct RunningRelay {
    address: SocketAddr,
    fault: Arc<watch::Sender<RelayFault>>,
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
        let task = tokio::spawn(accept(listener, behind.to_owned(), fault.clone()));
        Ok(Self {
            address,
            fault,
            task,
        })
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

async fn accept(listener: TcpListener, behind: String, fault: Arc<watch::Sender<RelayFault>>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(connect(near, behind.clone(), fault.subscribe()));
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
        if is_muted(&fault.borrow_and_update()) {
            let _ = fault.wait_for(|fault| !is_muted(fault)).await;
            return;
        }
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
