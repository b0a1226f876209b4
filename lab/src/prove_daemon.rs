//! A daemon under test: within this process on a runtime of its own, or as a process.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, ContextCompat, Result, ensure};
use pistachiowick::requests::traffic::TrafficContext;
use pistachiowick::server::{RunningDaemon, start_daemon};
use pistachiowick::settings::DaemonSettings;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::runtime::{Builder, Runtime};

use crate::prove::note_panic;

/// Threads of a daemon within this process.
const WORKERS: usize = 2;

/// Longest wait for a process to tell its addresses.
const START_WAIT: Duration = Duration::from_secs(10);

/// What a panic says on standard error.
const PANIC_MARK: &str = "panicked at";

/// Addresses a daemon listens on, as its first line of output.
#[derive(Clone, Debug, Deserialize)]
pub struct DaemonAddresses {
    /// Callers and operators.
    pub rpc: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
    /// Other daemons.
    pub peer: SocketAddr,
}

/// A running daemon under test.
pub struct DaemonHost {
    /// Where it listens.
    pub addresses: DaemonAddresses,
    kind: HostKind,
}

enum HostKind {
    Inside(Box<InsideDaemon>),
    Process(Box<Child>),
}

/// A daemon in this process. Its runtime is its own, so that ending the runtime ends
/// every task of the daemon in the middle of what it does, as a kill would.
struct InsideDaemon {
    runtime: Option<Runtime>,
    daemon: Option<RunningDaemon>,
}

impl Drop for InsideDaemon {
    fn drop(&mut self) {
        if let Some(daemon) = self.daemon.take() {
            daemon.kill();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl DaemonHost {
    /// Starts a daemon within this process.
    ///
    /// # Errors
    ///
    /// Returns what kept it from starting.
    pub async fn start_inside(settings: DaemonSettings) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()?;
        let daemon = runtime.spawn(start_daemon(settings)).await;
        let mut inside = InsideDaemon {
            runtime: Some(runtime),
            daemon: None,
        };
        let daemon = daemon.wrap_err("a daemon's start panicked")??;
        let addresses = DaemonAddresses {
            rpc: daemon.rpc,
            admin: daemon.admin,
            peer: daemon.peer,
        };
        inside.daemon = Some(daemon);
        Ok(Self {
            addresses,
            kind: HostKind::Inside(Box::new(inside)),
        })
    }

    /// Starts a daemon as a process.
    ///
    /// # Errors
    ///
    /// Returns what kept it from starting, or from telling its addresses.
    pub async fn start_process(program: &Path, settings: &DaemonSettings) -> Result<Self> {
        let mut child = Command::new(program)
            .args(["--settings", "-"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| {
                format!("cannot start {}; name it with --daemon", program.display())
            })?;
        let mut input = child.stdin.take().wrap_err("no standard input")?;
        input.write_all(&serde_json::to_vec(settings)?).await?;
        drop(input);
        let errors = child.stderr.take().wrap_err("no standard error")?;
        tokio::spawn(pass_on(errors));
        let output = child.stdout.take().wrap_err("no standard output")?;
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(START_WAIT, lines.next_line()).await;
        let line = line.wrap_err("a daemon told no addresses in time")??;
        let line = line.wrap_err("a daemon ended before it told its addresses")?;
        Ok(Self {
            addresses: serde_json::from_str(&line)?,
            kind: HostKind::Process(Box::new(child)),
        })
    }

    /// Returns what the daemon's parts share, for one within this process.
    #[must_use]
    pub fn context(&self) -> Option<&Arc<TrafficContext>> {
        match &self.kind {
            HostKind::Inside(inside) => inside.daemon.as_ref().map(RunningDaemon::context),
            HostKind::Process(_) => None,
        }
    }

    /// Returns the process's number, for one that runs as a process.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        match &self.kind {
            HostKind::Inside(_) => None,
            HostKind::Process(child) => child.id(),
        }
    }

    /// Ends it at once, in the middle of what it does.
    pub async fn kill(self) {
        match self.kind {
            HostKind::Inside(inside) => drop(inside),
            HostKind::Process(mut child) => {
                // An error means that it has ended already.
                let _ = child.kill().await;
            }
        }
    }

    /// Stops it as planned and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not end as asked.
    pub async fn stop(self) -> Result<()> {
        match self.kind {
            HostKind::Inside(mut inside) => {
                let (Some(daemon), Some(runtime)) = (inside.daemon.take(), &inside.runtime) else {
                    return Ok(());
                };
                runtime.spawn(daemon.stop()).await?;
            }
            HostKind::Process(mut child) => {
                send_signal(&child, "TERM").await?;
                let status = child.wait().await?;
                ensure!(status.success(), "a stopped daemon ended with {status}");
            }
        }
        Ok(())
    }

    /// Freezes or thaws a process; one within this process cannot be frozen.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub async fn set_frozen(&self, frozen: bool) -> Result<()> {
        match &self.kind {
            HostKind::Inside(_) => Ok(()),
            HostKind::Process(child) => {
                if !frozen {
                    return send_signal(child, "CONT").await;
                }
                send_signal(child, "STOP").await?;
                until_stopped(child).await
            }
        }
    }
}

/// Passes on what a daemon says, and counts its panics.
async fn pass_on(errors: ChildStderr) {
    let mut lines = BufReader::new(errors).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains(PANIC_MARK) {
            note_panic();
        }
        eprintln!("{line}");
    }
}

/// Time in which all threads of a process stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);
/// Pause between two looks at them.
const STOP_LOOK: Duration = Duration::from_millis(1);

/// Waits until no thread of a process runs. The signal is sent when this is called, but a
/// thread goes on until its processor takes notice: a daemon thought frozen would still
/// answer a request.
async fn until_stopped(child: &Child) -> Result<()> {
    let id = child.id().wrap_err("the process has ended")?;
    let stopped = async {
        while !all_stopped(id)? {
            tokio::time::sleep(STOP_LOOK).await;
        }
        Ok(())
    };
    let limited = tokio::time::timeout(STOP_LIMIT, stopped).await;
    limited.wrap_err_with(|| format!("process {id} does not stop"))?
}

fn all_stopped(id: u32) -> Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        // A thread that ends between the listing and the look runs still.
        let Ok(text) = std::fs::read_to_string(thread?.path().join("stat")) else {
            return Ok(false);
        };
        // The state follows the name, which may hold spaces and brackets.
        let state = text
            .rsplit(')')
            .next()
            .and_then(|rest| rest.trim().chars().next());
        if state != Some('T') {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn send_signal(child: &Child, signal: &str) -> Result<()> {
    let id = child.id().wrap_err("the process has ended")?;
    let status = Command::new("kill")
        .args([format!("-{signal}"), id.to_string()])
        .status()
        .await?;
    ensure!(status.success(), "cannot send {signal} to process {id}");
    Ok(())
}
