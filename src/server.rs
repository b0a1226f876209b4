//! One daemon: assembly of its components, startup and graceful shutdown.

use std::future::Future;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use indexmap::IndexMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Identity, Server, ServerTlsConfig};

use crate::admin_http::{self, AdminServer};
use crate::clock;
use crate::control::{ControlEvent, ControlHandle, ControlInputs, start_control};
use crate::crashes::SharedCrashTracker;
use crate::decide::retry_budget::RetryBudget;
use crate::decide::scheduler::{Scheduler, SchedulerInputs};
use crate::decide::turn_gate::TurnGate;
use crate::intents::link::IntentLink;
use crate::intents::store::{IntentStore, StoreInputs};
use crate::names::ProcessIncarnation;
use crate::pb::operations_server::OperationsServer;
use crate::pb::requests_server::RequestsServer;
use crate::peers::handshake::PeerIdentity;
use crate::peers::link::{PeerHandle, PeerInputs, start_peers};
use crate::peers::requests::{TrafficCell, records_link, request_handler};
use crate::ports::PlatformPort;
use crate::requests::dispatch::JobDispatcher;
use crate::requests::journal::DecisionJournal;
use crate::requests::owner_cache::OwnerCache;
use crate::requests::resume_token::TokenSigner;
use crate::requests::statement_watch::StatementWatch;
use crate::requests::traffic::TrafficContext;
use crate::rpc::operations::OperationsService;
use crate::rpc::requests::RequestsService;
use crate::settings::DaemonSettings;
use crate::store::http::platform_port;
use crate::target_limits::SharedLimitTracker;
use crate::target_statements::backoff_tracker::SharedBackoffTracker;
use crate::targets::engine_http::engine_port;
use crate::targets::service_http::service_port;
use crate::telemetry::{self, Telemetry};
use crate::tls;

/// Number of decisions kept for `explain`.
const JOURNAL_CAPACITY: usize = 10_000;
/// Number of connections accepted but not yet handed to the server.
const MAX_PENDING_CONNECTIONS: usize = 64;
/// Timeout of each of these shutdown steps: handing over the leases, closing the server
/// and stopping the scheduler.
const STOP_STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time allowed for recording the results of claims.
const MIN_RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a shutdown checks whether the last request has ended, and pause after a
/// failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon.
pub struct RunningDaemon {
    /// Listen address for callers and operators.
    pub rpc: SocketAddr,
    /// Listen address for health checks and metrics.
    pub admin: SocketAddr,
    /// Listen address for other daemons.
    pub peer: SocketAddr,
    context: Arc<TrafficContext>,
    closing: watch::Sender<bool>,
    ended: watch::Sender<bool>,
    server_task: JoinHandle<()>,
    scheduling: JoinHandle<()>,
    _admin: AdminServer,
}

/// Runs a daemon until `stop` resolves, then shuts it down gracefully.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub async fn run_daemon(
    settings: DaemonSettings,
    started: impl FnOnce(&RunningDaemon),
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let daemon = start_daemon(settings).await?;
    started(&daemon);
    stop.await;
    daemon.stop().await;
    Ok(())
}

/// Starts a daemon.
///
/// # Errors
///
/// Returns an error if the daemon cannot start: an address is in use, a certificate is
/// unreadable, or the HTTP client cannot be created.
pub async fn start_daemon(settings: DaemonSettings) -> Result<RunningDaemon> {
    tls::install_provider();
    let settings = Arc::new(settings);
    let metrics = telemetry::install_prometheus().wrap_err("cannot set up metrics")?;
    let (rpc, listener) = bind(settings.listen.rpc, "listen.rpc").await?;
    let peer_listener = StdListener::bind(settings.listen.peer)
        .wrap_err_with(|| format!("cannot listen on listen.peer {}", settings.listen.peer))?;
    let peer = peer_listener.local_addr()?;
    let incarnation = clock::new_incarnation();
    let platform =
        platform_port(&settings.platform).wrap_err("cannot set up the platform client")?;
    let journal = DecisionJournal::new(JOURNAL_CAPACITY);
    let crashes = SharedCrashTracker::default();
    let target_limits = SharedLimitTracker::default();
    let backoffs = SharedBackoffTracker::default();
    let statement_watch = StatementWatch::new(target_limits.clone(), backoffs.clone());
    let control = start_control(ControlInputs {
        settings: Arc::clone(&settings),
        platform: platform.clone(),
        engines: engine_port(statement_watch.observer())?,
        journal: journal.clone(),
        rpc_address: rpc,
        peer_address: peer,
        incarnation,
        seed: incarnation.0,
        crashes: crashes.clone(),
        target_limits: target_limits.clone(),
    });
    statement_watch.connect(control.clone());
    let snapshot = control.snapshot.clone();
    let admin = admin_http::serve_admin(settings.listen.admin, snapshot, metrics)
        .await
        .wrap_err_with(|| format!("cannot listen on listen.admin {}", settings.listen.admin))?;
    let context = build_context(
        &settings,
        platform,
        control,
        journal,
        incarnation,
        peer_listener,
        TargetTrackers {
            crashes,
            limits: target_limits,
            backoffs,
            statement_watch,
        },
    )?;
    let (closing, _) = watch::channel(false);
    let server_task = serve(&context, listener, incarnation, &closing)?;
    let dispatcher = context.dispatcher.clone();
    let (ended, _) = watch::channel(false);
    let scheduling = tokio::spawn(dispatcher.run(until_closed(ended.subscribe())));
    log::info!("daemon {} is serving on {rpc}", settings.daemon_id);
    Ok(RunningDaemon {
        rpc,
        admin: admin.address,
        peer,
        context,
        closing,
        ended,
        server_task,
        scheduling,
        _admin: admin,
    })
}

impl RunningDaemon {
    /// Returns whether a complete configuration and instance list have been received.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.context.control.snapshot.load().ready
    }

    /// Returns the shared state of the daemon's components, for embedding and tests.
    #[must_use]
    pub fn context(&self) -> &Arc<TrafficContext> {
        &self.context
    }

    /// Shuts down gracefully, without interrupting any request that ends within
    /// `shutdown.finish_ms`.
    ///
    /// The daemon first withdraws its address and continues to serve for as long as
    /// callers may cache it; only then does it refuse new work. It exits once the last
    /// request has ended and all results are recorded, or the time for this has passed.
    pub async fn stop(mut self) {
        let settings = Arc::clone(&self.context.settings);
        let (done, handed_over) = oneshot::channel();
        // A control thread that has ended holds no leases and publishes no addresses.
        let _ = self
            .context
            .control
            .events
            .send(ControlEvent::Stop { done });
        let _ = tokio::time::timeout(STOP_STEP_TIMEOUT, handed_over).await;
        let keep = Duration::from_millis(u64::from(settings.shutdown.keep_ms));
        tokio::time::sleep(keep).await;
        self.context.closing.store(true, Ordering::Relaxed);
        let finish = Duration::from_millis(settings.shutdown.finish_ms);
        let started = Instant::now();
        if tokio::time::timeout(finish, self.finish()).await.is_err() {
            let left = self.context.running_count();
            log::warn!("stopping with {left} requests running; raise shutdown.finish_ms");
        }
        // The result of a claim is recorded after its caller has the answer. If it were
        // lost, a later query for the key would be answered that the outcome is unknown.
        let rest = finish
            .saturating_sub(started.elapsed())
            .max(MIN_RECORD_TIMEOUT);
        if !self.context.intents.drain(rest).await {
            log::warn!(
                "stopping before the result of every claim is recorded; raise shutdown.finish_ms"
            );
        }
        self.ended.send_replace(true);
        let _ = tokio::time::timeout(STOP_STEP_TIMEOUT, &mut self.scheduling).await;
        self.context.control.end();
        log::info!("daemon {} stopped", settings.daemon_id);
    }

    /// Stops immediately, like a crash: running requests are cut off, leases left to expire.
    pub fn kill(self) {
        self.server_task.abort();
        self.scheduling.abort();
        self.context.control.end();
    }

    /// Waits for the last request, closes the listener and its connections, and waits
    /// for requests that arrived meanwhile.
    ///
    /// Resumed requests are served while others still run. Without the second wait, one
    /// that arrived just before the close would lose its answer when the process exits.
    async fn finish(&mut self) {
        self.wait_until_idle().await;
        self.closing.send_replace(true);
        // A caller that no longer reads must not delay the shutdown.
        let _ = tokio::time::timeout(STOP_STEP_TIMEOUT, &mut self.server_task).await;
        self.wait_until_idle().await;
    }

    async fn wait_until_idle(&self) {
        while self.context.running_count() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// What is tracked about targets across the threads of the daemon.
struct TargetTrackers {
    crashes: SharedCrashTracker,
    limits: SharedLimitTracker,
    backoffs: SharedBackoffTracker,
    statement_watch: StatementWatch,
}

fn build_context(
    settings: &Arc<DaemonSettings>,
    platform: PlatformPort,
    control: ControlHandle,
    journal: DecisionJournal,
    incarnation: ProcessIncarnation,
    peer_listener: StdListener,
    trackers: TargetTrackers,
) -> Result<Arc<TrafficContext>> {
    let observer = trackers.statement_watch.observer();
    let scheduler = Scheduler::new(SchedulerInputs {
        turns: TurnGate::new(
            settings.daemon_id.clone(),
            trackers.limits,
            trackers.backoffs,
        ),
        policy: settings.policy.clone(),
        limits: settings.limits.clone(),
        speeds: settings.policy.speeds.clone(),
        seed: incarnation.0,
    });
    let traffic = TrafficCell::default();
    let peers = start_peers(PeerInputs {
        listener: peer_listener,
        identity: PeerIdentity {
            daemon: settings.daemon_id.clone(),
            incarnation,
            secret: settings.peers.secret.clone(),
        },
        link_timeout: Duration::from_millis(settings.peers.silence_ms),
        control: control.clone(),
        handler: request_handler(&traffic),
    })
    .wrap_err("cannot listen for other daemons")?;
    let inputs = StoreInputs {
        settings: &settings.intents,
        platform,
        daemon: settings.daemon_id.clone(),
        incarnation,
        unix_now: Arc::new(clock::unix_now),
    };
    let link = intent_link(settings, &control, &peers);
    let intents = IntentStore::with_link(&inputs, &link);
    let dispatcher = JobDispatcher::new(scheduler, control.clone(), journal.clone());
    let context = Arc::new(TrafficContext {
        daemon: settings.daemon_id.clone(),
        dispatcher,
        engines: engine_port(observer.clone())?,
        services: service_port(observer)?,
        control,
        signer: TokenSigner::new(&settings.access.token_secrets)?,
        intents,
        peers,
        telemetry: Telemetry::new(settings.metrics.tracked_pairs),
        journal,
        crashes: trackers.crashes,
        budget: Mutex::new(RetryBudget::new(settings.policy.retry_share)),
        running: Mutex::new(IndexMap::new()),
        closing: AtomicBool::new(false),
        settings: Arc::clone(settings),
    });
    // Set only here; a failure would mean that this line ran twice.
    let _ = traffic.set(Arc::downgrade(&context));
    Ok(context)
}

/// Creates the link that finds the owner of a shard among the live daemons and calls it
/// over the links between daemons.
fn intent_link(
    settings: &Arc<DaemonSettings>,
    control: &ControlHandle,
    peers: &PeerHandle,
) -> IntentLink {
    let local = settings.daemon_id.clone();
    let snapshot = control.snapshot.clone();
    let owners = OwnerCache::default();
    IntentLink {
        owner: Arc::new(move |shard| {
            let owner = owners.owner(shard, &snapshot.load().fleet);
            owner.filter(|daemon| *daemon != local)
        }),
        call: records_link(peers),
    }
}

fn serve(
    context: &Arc<TrafficContext>,
    listener: TcpListener,
    incarnation: ProcessIncarnation,
    closing: &watch::Sender<bool>,
) -> Result<JoinHandle<()>> {
    let limits = &context.settings.limits;
    let requests = RequestsService::new(Arc::clone(context), incarnation);
    let operations = OperationsService::new(Arc::clone(context));
    // After a pause of this process, submissions that callers have abandoned meanwhile
    // are read all at once, each with its HTTP/2 stream reset. Above the library's default of 20 this
    // counts as an attack, and closing the connection would cut off every other answer
    // on it. This still happens if more requests are abandoned during a pause than a
    // connection has streams.
    let max_resets = usize::try_from(limits.streams_per_connection).ok();
    let mut server = Server::builder()
        .max_concurrent_streams(limits.streams_per_connection)
        .http2_max_pending_accept_reset_streams(max_resets);
    if let Some(tls) = &context.settings.listen.tls {
        let identity = Identity::from_pem(&tls.certificate_pem, &tls.key_pem);
        server = server
            .tls_config(ServerTlsConfig::new().identity(identity))
            .wrap_err("listen.tls cannot be used; check certificate_pem and key_pem")?;
    }
    let router = server
        .add_service(RequestsServer::new(requests).max_decoding_message_size(limits.message_bytes))
        .add_service(
            OperationsServer::new(operations).max_decoding_message_size(limits.message_bytes),
        );
    let first_byte_timeout = Duration::from_millis(limits.header_ms);
    let connections = accept_connections(listener, first_byte_timeout, closing.subscribe());
    let closed = until_closed(closing.subscribe());
    Ok(tokio::spawn(async move {
        let served = router.serve_with_incoming_shutdown(connections, closed);
        if let Err(error) = served.await {
            log::error!("the server for callers and operators failed: {error}");
        }
    }))
}

/// Accepts connections and forwards those that send a first byte in time.
///
/// Without waiting for the first byte, each idle connection would hold a server task
/// indefinitely.
fn accept_connections(
    listener: TcpListener,
    first_byte_timeout: Duration,
    closing: watch::Receiver<bool>,
) -> ReceiverStream<std::io::Result<TcpStream>> {
    let (ready, connections) = mpsc::channel(MAX_PENDING_CONNECTIONS);
    tokio::spawn(async move {
        let closed = until_closed(closing);
        tokio::pin!(closed);
        loop {
            let accepted = tokio::select! {
                () = &mut closed => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                // Most likely out of file descriptors: wait for some to be freed.
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            tokio::spawn(forward_connection(
                stream,
                first_byte_timeout,
                ready.clone(),
            ));
        }
    });
    ReceiverStream::new(connections)
}

async fn forward_connection(
    stream: TcpStream,
    first_byte_timeout: Duration,
    ready: mpsc::Sender<std::io::Result<TcpStream>>,
) {
    let _ = stream.set_nodelay(true);
    let peeked = tokio::time::timeout(first_byte_timeout, stream.peek(&mut [0])).await;
    if matches!(peeked, Ok(Ok(read)) if read > 0) {
        // A closed channel means that the server is shutting down.
        let _ = ready.send(Ok(stream)).await;
    }
}

async fn bind(address: SocketAddr, field: &str) -> Result<(SocketAddr, TcpListener)> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {field} {address}"))?;
    Ok((listener.local_addr()?, listener))
}

async fn until_closed(mut closing: watch::Receiver<bool>) {
    // A dropped sender means that the daemon is gone, which counts as closed.
    let _ = closing.wait_for(|closing| *closing).await;
}
