//! State of the traffic thread, and start and stop of the process.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexSet;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio_tungstenite::tungstenite::Message;

use crate::admission::load_meter::LoadMeter;
use crate::clock;
use crate::crashes::connection_losses::ConnectionLosses;
use crate::crashes::open_ends::OpenEnds;
use crate::crashes::tracker::CrashTracker;
use crate::gateway::budget::RetryLimiter;
use crate::gateway::cache_inventory;
use crate::gateway::client::AnswerMemory;
use crate::gateway::control::{self, ControlInput, ControlSetup, ControlThread};
use crate::gateway::deciding::DecisionCore;
use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::entry::{self, ListenerKind};
use crate::gateway::fleet::{FleetCell, FleetView};
use crate::gateway::fleet_tasks::{self, UsageMeter};
use crate::gateway::handover::PeerRefusals;
use crate::gateway::members::DaemonRecord;
use crate::gateway::peers::entry_broadcasts::EntryBroadcasts;
use crate::gateway::peers::feeding::{FeedSubscription, StoreSnapshot};
use crate::gateway::peers::freshness::FreshnessTracker;
use crate::gateway::peers::hub::{HubSelector, RelayQueue};
use crate::gateway::peers::link_queue::ChangeSenders;
use crate::gateway::peers::placing::{PlacementClient, PlacementOutbox};
use crate::gateway::peers::seen::ObservedResults;
use crate::gateway::peers::{self, PeerTable};
use crate::gateway::plain_queue::exchange::PlainQueues;
use crate::gateway::pool::ConnectionPool;
use crate::gateway::port::GatewayPorts;
use crate::gateway::quarantine::store_records::{self, QuarantineStore};
use crate::gateway::reach::ReachTracker;
use crate::gateway::reach_check::{self, ReachChecks};
use crate::gateway::registry::DepartureSource;
use crate::gateway::reload;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::software::starts::StartTable;
use crate::gateway::software::{exchange, recall, recorder};
use crate::gateway::stage_control;
use crate::gateway::store_follow::{StoreLiveness, WatchMode};
use crate::names::{DaemonId, MonoTime};
use crate::ports::ObjectName;
use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::tracker::LimitTracker;
use crate::target_statements::backoff_tracker::BackoffTracker;
use crate::target_statements::statement_log::StatementLog;
use crate::telemetry;
use crate::timer::TimerService;

/// State of the traffic thread. Each `RefCell` is borrowed for one step and never
/// across an `await`.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Ports of the adapter.
    pub ports: GatewayPorts,
    /// Fleet view published by the control thread.
    pub fleet: FleetCell,
    /// Idle connections to targets.
    pub pool: Rc<RefCell<ConnectionPool>>,
    /// State that decisions are based on.
    pub core: RefCell<DecisionCore>,
    /// Delays and rates of work that admission control is based on.
    pub admission_load: RefCell<LoadMeter>,
    /// Status of the other daemons.
    pub peers: RefCell<PeerTable>,
    /// Time at which the configuration was last confirmed to be the newest one.
    pub freshness: RefCell<FreshnessTracker>,
    /// Usage counted locally and by peers, and fleet time.
    pub fleet_tasks: RefCell<UsageMeter>,
    /// Client for placement requests to the hub, with the queues of all links.
    pub placement_client: RefCell<PlacementClient>,
    /// Placements that this daemon has made as a hub.
    pub placements: RefCell<PlacementOutbox>,
    /// Wakes up the task that announces new placements to the other hubs.
    pub placements_changed: Notify,
    /// Hubs that placements are announced to.
    pub other_hubs: RefCell<Vec<DaemonId>>,
    /// Selects the hub of this data centre and decides this daemon's role.
    pub hubs: RefCell<HubSelector>,
    /// Whether this daemon relies on a hub for the store's objects, and on which.
    pub feed_subscription: RefCell<FeedSubscription>,
    /// Newly cached prompt parts that a hub relays, and their broadcast schedule.
    pub relay_queue: RefCell<RelayQueue>,
    /// Broadcast schedule of entry changes.
    pub entry_broadcasts: RefCell<EntryBroadcasts>,
    /// Results of local sends, to be reported to the hub.
    pub observed_results: RefCell<ObservedResults>,
    /// Local work as last sent to other daemons.
    pub last_sent_work: RefCell<WorkByTarget>,
    /// Objects of the store as last read or received, for a hub to relay.
    pub store_snapshot: RefCell<StoreSnapshot>,
    /// Senders of the store's changes to a hub's links to members and other hubs.
    pub feed_changes: ChangeSenders<Message>,
    /// How this daemon follows the store.
    pub watch_mode: Cell<WatchMode>,
    /// When this daemon started.
    pub started: MonoTime,
    /// When the store last answered and last confirmed the configuration.
    pub store_liveness: Arc<StoreLiveness>,
    /// Identifies this run of the daemon among all runs under its name.
    pub incarnation: u64,
    /// Engines whose stage this daemon is changing.
    pub local_stage_changes: RefCell<Vec<TargetIncarnation>>,
    /// Limits that targets put on the rate of their requests.
    pub limits: RefCell<LimitTracker>,
    /// Targets that stated their departure and are still in the view.
    pub stated_departures: RefCell<IndexSet<TargetIncarnation>>,
    /// Targets that refuse requests of this daemon for a time.
    pub backoffs: RefCell<BackoffTracker>,
    /// Statements of targets that have been logged.
    pub statement_log: RefCell<StatementLog>,
    /// Memory for answers that are still arriving.
    pub answer_memory: AnswerMemory,
    /// Connections lost under requests that may have ended with their link.
    pub losses: RefCell<ConnectionLosses>,
    /// Answers that ended with their connection, and perhaps with their target.
    pub open_ends: RefCell<OpenEnds>,
    /// Suspects that crashed targets.
    pub crashes: RefCell<CrashTracker>,
    /// Quarantined work as recorded in the store.
    pub quarantine: RefCell<QuarantineStore>,
    /// Wakes up requests that wait for a target when work is newly quarantined.
    pub newly_quarantined: Notify,
    /// Budget of retries.
    pub budget: RefCell<RetryLimiter>,
    /// Which services this daemon can reach.
    pub reach: RefCell<ReachTracker>,
    /// Services whose targets are to be checked soon.
    pub reach_checks: RefCell<ReachChecks>,
    /// Wakes up the task that checks targets.
    pub reach_check_requested: Notify,
    /// Idle connections to other daemons, for requests that are handed over.
    pub peer_pool: RefCell<ConnectionPool>,
    /// Daemons that could not serve a request that was handed over to them.
    pub peer_refusals: RefCell<PeerRefusals>,
    /// Tickets of plain services, and the queues that this daemon owns.
    pub plain_queues: RefCell<PlainQueues>,
    /// Versions at which streams began.
    pub starts: RefCell<StartTable>,
    /// Wakes up the task that tells other daemons of starts.
    pub stream_begun: Notify,
    /// Random number generator.
    pub rng: RefCell<SmallRng>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Number of open connections from callers.
    pub open_connections: Cell<usize>,
    /// Sends messages to the control thread.
    pub control_inputs: mpsc::UnboundedSender<ControlInput>,
}

impl Gateway {
    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Puts settings in force.
    pub fn set_settings(&self, settings: GatewaySettings) {
        let mut core = self.core.borrow_mut();
        core.weights = settings.placement;
        core.capacities
            .set_enabled(settings.target_capacity.enabled);
        drop(core);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the newest snapshot of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Notifies the control thread that a target is leaving or gone.
    pub fn notify_departed(&self, target: &TargetIncarnation, source: DepartureSource) {
        // The control thread runs until the process ends.
        let _ = self
            .control_inputs
            .send(ControlInput::TargetDeparted(target.clone(), source));
    }

    /// Returns the number of listed daemons, this one included.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.view().daemons.len().max(1)
    }

    /// Returns whether the list of daemons contains this process. Callers and other daemons do
    /// not know one that is not listed.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        let view = self.view();
        let mut daemons = view.daemons.iter();
        daemons.any(|d| d.id == self.daemon && d.incarnation == self.incarnation)
    }

    /// Brings the retry budget up to date with the list of daemons. A process whose record is
    /// another one's, or is missing, is not counted by the others and holds no share.
    pub fn update_budget(&self) {
        let view = self.view();
        let is_listed = self.is_listed();
        let now = clock::mono_now();
        let mut budget = self.budget.borrow_mut();
        budget.note_fleet(is_listed.then_some(view.daemons.len()), now);
        metrics::gauge!("pistachiowick_retry_share").set(budget.share(now));
    }
}

/// Error that kept a daemon from starting.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A socket or a thread could not be created.
    #[error(
        "cannot start {what}: {error}; free the address or name one of this instance, or raise the limit of threads and open files"
    )]
    Start {
        /// What could not be started.
        what: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The metrics recorder could not be installed.
    #[error("metrics recorder could not be installed: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Time after the request to stop during which connections are still accepted:
/// callers cache the directory's answer for up to two seconds, and one that finds
/// a closed port wastes an attempt.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which idle connections and old counts are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a stopping daemon checks whether its running requests have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code of a process in which a task panicked.
const EXIT_TASK_PANICKED: i32 = 70;
/// Interval at which records of daemons that are gone are removed.
const RECORD_SWEEP_INTERVAL: Duration = Duration::from_secs(20);
/// Interval at which recorded metric samples are compacted.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

impl Gateway {
    /// Creates the state of the traffic thread.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        ports: GatewayPorts,
        fleet: FleetCell,
        incarnation: u64,
        control_inputs: mpsc::UnboundedSender<ControlInput>,
    ) -> Self {
        let window = settings.duties.map(|duties| duties.usage_window());
        let started = clock::mono_now();
        let budget = RetryLimiter::new(settings.budget_rule(), started);
        let watch_mode = WatchMode::initial(settings.first_start);
        let mut core = DecisionCore::new(settings.placement);
        core.centre = Some(settings.centre.clone());
        core.capacities
            .set_enabled(settings.target_capacity.enabled);
        Self {
            daemon: settings.daemon.clone(),
            core: RefCell::new(core),
            settings: RefCell::new(Rc::new(settings)),
            ports,
            fleet,
            pool: Rc::default(),
            admission_load: RefCell::default(),
            peers: RefCell::default(),
            freshness: RefCell::default(),
            fleet_tasks: RefCell::new(UsageMeter::new(window.unwrap_or_default())),
            placement_client: RefCell::default(),
            placements: RefCell::default(),
            placements_changed: Notify::new(),
            other_hubs: RefCell::default(),
            hubs: RefCell::default(),
            feed_subscription: RefCell::default(),
            relay_queue: RefCell::default(),
            entry_broadcasts: RefCell::default(),
            observed_results: RefCell::default(),
            last_sent_work: RefCell::default(),
            store_snapshot: RefCell::default(),
            feed_changes: ChangeSenders::default(),
            watch_mode: Cell::new(watch_mode),
            started,
            store_liveness: Arc::default(),
            incarnation,
            local_stage_changes: RefCell::default(),
            limits: RefCell::default(),
            stated_departures: RefCell::default(),
            backoffs: RefCell::default(),
            statement_log: RefCell::default(),
            answer_memory: AnswerMemory::default(),
            losses: RefCell::default(),
            open_ends: RefCell::default(),
            crashes: RefCell::default(),
            quarantine: RefCell::default(),
            newly_quarantined: Notify::new(),
            budget: RefCell::new(budget),
            reach: RefCell::default(),
            reach_checks: RefCell::default(),
            reach_check_requested: Notify::new(),
            peer_pool: RefCell::default(),
            peer_refusals: RefCell::default(),
            plain_queues: RefCell::default(),
            starts: RefCell::default(),
            stream_begun: Notify::new(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            stopping: Cell::new(false),
            open_connections: Cell::new(0),
            control_inputs,
        }
    }

    /// Returns whether callers may be directed to a daemon.
    #[must_use]
    pub fn is_usable(&self, daemon: &DaemonId) -> bool {
        if *daemon == self.daemon {
            return !self.stopping.get();
        }
        self.peers.borrow().is_usable(daemon, clock::mono_now())
    }

    /// Returns whether a daemon knows which keys are in force, by its last report.
    #[must_use]
    pub fn daemon_confirms_keys(&self, daemon: &DaemonId) -> bool {
        if *daemon == self.daemon {
            return self.confirms_keys(clock::mono_now());
        }
        self.peers.borrow().confirms_keys(daemon)
    }

    /// Returns whether a daemon reaches targets of each service, by its last report.
    #[must_use]
    pub fn daemon_reaches_targets(&self, daemon: &DaemonId) -> bool {
        if *daemon == self.daemon {
            return self.unreachable_services().is_empty();
        }
        self.peers.borrow().reaches_all(daemon)
    }

    // Replaced instances never return, and nothing in the store expires by itself. One
    // daemon removes the records of daemons that have been unreachable for long. A daemon
    // that is alive after all writes its record again when it finds it gone.
    async fn remove_stale_records(&self) {
        if self.rank() != 0 || self.stopping.get() {
            return;
        }
        let view = self.view();
        let unreachable = self.peers.borrow().unreachable_daemons(clock::mono_now());
        let stale = view.daemons.iter().filter(|d| unreachable.contains(&d.id));
        for record in stale {
            self.remove_record(record).await;
        }
    }

    async fn remove_record(&self, record: &DaemonRecord) {
        let object = ObjectName {
            kind: self.ports.schema.daemon_kind.clone(),
            name: record.id.to_string(),
        };
        let Ok(Some(stored)) = (self.ports.store.read)(object.clone()).await else {
            return;
        };
        let value = stored.value.unwrap_or_default();
        let same_incarnation = DaemonRecord::decode(&object.name, &value)
            .is_ok_and(|r| r.incarnation == record.incarnation);
        if same_incarnation {
            let removed = (self.ports.remove)((object, stored.version)).await;
            log::info!(daemon = record.id.as_str(), removed = removed.is_ok(); "tried to remove the record of a daemon that is gone");
        }
    }

    fn sweep(&self) {
        let now = clock::mono_now();
        if let Some(at) = self.confirmed_at() {
            metrics::gauge!("pistachiowick_config_age_seconds").set(now.since(at).as_secs_f64());
        }
        self.update_budget();
        self.pool.borrow_mut().sweep(tokio::time::Instant::now());
        self.peer_pool
            .borrow_mut()
            .sweep(tokio::time::Instant::now());
        self.crashes.borrow_mut().sweep(now);
        self.refute_registered_targets(now);
        let view = self.view();
        let is_known = |id: &DaemonId| view.daemons.iter().any(|daemon| daemon.id == *id);
        let mut limits = self.limits.borrow_mut();
        limits.sweep(|target| view.has_target(target), is_known, now);
        metrics::gauge!("pistachiowick_limited_targets").set(limits.count() as f64);
        drop(limits);
        self.sweep_backoffs();
        self.sweep_admission();
        self.sweep_starts(now);
        self.sweep_plain_queues();
        let mut stated_departures = self.stated_departures.borrow_mut();
        stated_departures.retain(|target| view.has_target(target));
        let mut core = self.core.borrow_mut();
        core.sweep(|target| view.has_target(target), now);
        let engines = view.routes.iter().flat_map(|routes| routes.services());
        let tokens = engines
            .filter_map(|s| s.engine.as_ref())
            .map(|e| e.cache_tokens);
        if let Some(tokens) = tokens.max() {
            core.caches.set_capacity(tokens);
        }
    }
}

/// Signals from outside to a running daemon.
pub struct DaemonSignals<S> {
    /// Completes when the daemon is to stop.
    pub stop: S,
    /// Requests a reload of the settings.
    pub reload: mpsc::UnboundedReceiver<()>,
    /// Path of the settings file.
    pub settings_path: String,
}

/// Runs a gateway until it is signalled to stop and its requests have ended.
///
/// # Errors
///
/// Returns an error when the gateway cannot start.
pub async fn run(
    settings: GatewaySettings,
    ports: GatewayPorts,
    signals: DaemonSignals<impl Future<Output = ()>>,
) -> Result<(), DaemonError> {
    let metrics = telemetry::install_prometheus()?;
    let fleet: FleetCell = Arc::new(ArcSwap::from_pointee(FleetView::default()));
    let centre = settings.centre.clone();
    let grace = Duration::from_secs_f64(settings.bounds.stop_grace_s);
    let listeners = open_listeners(&settings, &metrics).await?;
    let peer_listener = listen("peers", settings.peer_address()).await?;
    let incarnation = rand::rng().random();
    let record = build_record(&settings, &listeners, &peer_listener, incarnation);
    let store_liveness = Arc::new(StoreLiveness::default());
    let watch_mode = WatchMode::initial(settings.first_start);
    let setup = ControlSetup {
        ports: ports.clone(),
        cell: fleet.clone(),
        store_liveness: store_liveness.clone(),
        record,
        watch_mode,
        config_waits: settings.config_watch_waits(),
        is_new_fleet: settings.first_start,
    };
    let control = start_control(setup)?;
    let mut gateway = Gateway::new(settings, ports, fleet, incarnation, control.messages);
    gateway.store_liveness = store_liveness;
    let gateway = Rc::new(gateway);
    let (close, closing) = watch::channel(false);
    for open in listeners {
        let (gateway, closing) = (gateway.clone(), closing.clone());
        spawn_local(entry::accept_loop(
            gateway,
            open.listener,
            open.kind,
            closing,
        ));
    }
    let peer_links = peers::run(gateway.clone(), peer_listener, control.relays);
    supervise("peers", peer_links);
    supervise("reach", reach_check::run(gateway.clone()));
    supervise(
        "starts of streams",
        exchange::tell_regularly(gateway.clone()),
    );
    supervise(
        "record of versions",
        recorder::record_regularly(gateway.clone()),
    );
    supervise(
        "recall of versions",
        recall::recall_after_lists(gateway.clone()),
    );
    supervise("quarantined work", store_records::run(gateway.clone()));
    supervise("stages", stage_control::run(gateway.clone()));
    let inventory = gateway.settings().cache_inventory;
    if inventory.enabled && !gateway.settings().first_start {
        supervise("cache inventory", cache_inventory::run(gateway.clone()));
    }
    if let Some(duties) = gateway.settings().duties {
        supervise("duties", fleet_tasks::run(gateway.clone(), duties));
    }
    let reloading = reload::run(gateway.clone(), signals.settings_path, signals.reload);
    supervise("settings", reloading);
    supervise("upkeep", upkeep(gateway.clone(), metrics));
    log::info!(daemon = gateway.daemon.as_str(), centre = centre.as_str(); "started");
    signals.stop.await;
    stop_gracefully(&gateway, &close, grace).await;
    Ok(())
}

// Without this, a daemon in which a task has panicked would look alive and decide
// without that task's state, for instance without the other daemons' work. Exiting is
// safe: the process is restarted within seconds and has no state that could be lost.
fn supervise(task_name: &'static str, task: impl Future<Output = ()> + 'static) {
    let running = spawn_local(task);
    spawn_local(async move {
        if let Err(error) = running.await {
            eprintln!("task {task_name} ended unexpectedly ({error}); exiting to be restarted");
            std::process::exit(EXIT_TASK_PANICKED);
        }
    });
}

// Callers that still use this address are served, with `Connection: close`; the others
// have received a new directory answer by the time the port closes.
async fn stop_gracefully(gateway: &Gateway, close: &watch::Sender<bool>, grace: Duration) {
    let stop_started = tokio::time::Instant::now();
    log::info!(grace_ms = grace.as_millis() as u64; "stopping after running requests have ended");
    gateway.stopping.set(true);
    // The control thread runs until the process ends.
    let _ = gateway.control_inputs.send(ControlInput::Stopping);
    let latest = stop_started + grace.saturating_sub(EXIT_MARGIN);
    tokio::time::sleep_until((stop_started + ACCEPT_AFTER_STOP).min(latest)).await;
    close.send_replace(true);
    while gateway.open_connections.get() > 0 && tokio::time::Instant::now() < latest {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    let unfinished = gateway.open_connections.get();
    log::info!(unfinished = unfinished, took_ms = stop_started.elapsed().as_millis() as u64; "stopped");
}

fn start_control(setup: ControlSetup) -> Result<ControlThread, DaemonError> {
    control::start(setup).map_err(|error| DaemonError::Start {
        what: "the control thread".to_owned(),
        error,
    })
}

fn build_record(
    settings: &GatewaySettings,
    listeners: &[OpenListener],
    peers: &TcpListener,
    incarnation: u64,
) -> DaemonRecord {
    let bound = |listener: &TcpListener| listener.local_addr().ok();
    let find = |matches: fn(&ListenerKind) -> bool| {
        let open = listeners.iter().find(|open| matches(&open.kind));
        open.and_then(|open| bound(&open.listener))
    };
    let callers = find(|kind| matches!(kind, ListenerKind::Callers));
    let handovers = find(|kind| matches!(kind, ListenerKind::Handovers));
    let peers = bound(peers).unwrap_or_else(|| settings.peer_address());
    DaemonRecord {
        id: settings.daemon.clone(),
        incarnation,
        callers: callers.unwrap_or(peers),
        peers,
        handovers,
        centre: settings.centre.clone(),
        leaving: false,
        capacity: settings.limits.capacity(),
    }
}

struct OpenListener {
    listener: TcpListener,
    kind: ListenerKind,
}

async fn open_listeners(
    settings: &GatewaySettings,
    metrics: &PrometheusHandle,
) -> Result<Vec<OpenListener>, DaemonError> {
    let addresses = &settings.listen;
    let pages = || ListenerKind::Pages(metrics.clone());
    let configured = [
        ("metrics", Some(settings.metrics_address()), pages()),
        ("callers", addresses.callers, ListenerKind::Callers),
        ("readiness", addresses.readiness, pages()),
        ("directory", addresses.directory, pages()),
        (
            "handovers",
            settings.handover_address(),
            ListenerKind::Handovers,
        ),
    ];
    let mut listeners = Vec::new();
    for (name, address, kind) in configured {
        if let Some(address) = address {
            let listener = listen(name, address).await?;
            listeners.push(OpenListener { listener, kind });
        }
    }
    Ok(listeners)
}

async fn listen(name: &str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let start_error = |error| DaemonError::Start {
        what: format!("the listener on {address}"),
        error,
    };
    let listener = TcpListener::bind(address).await.map_err(start_error)?;
    let bound = listener.local_addr().map_err(start_error)?;
    log::info!(pages = name, address = bound.to_string(); "listening");
    Ok(listener)
}

async fn upkeep(gateway: Rc<Gateway>, metrics: PrometheusHandle) {
    let timer = TimerService::start();
    let mut removals = timer.every(RECORD_SWEEP_INTERVAL);
    let mut sweeps = timer.every(SWEEP_INTERVAL);
    let mut compactions = timer.every(METRICS_UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = sweeps.next() => gateway.sweep(),
            _ = compactions.next() => metrics.run_upkeep(),
            _ = removals.next() => gateway.remove_stale_records().await,
        }
    }
}
