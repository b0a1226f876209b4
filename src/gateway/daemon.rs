//! What the traffic thread holds, and the life of the process.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio_tungstenite::tungstenite::Message;

use crate::clock;
use crate::crashes::tracker::CrashTracker;
use crate::gateway::budget::RetryLimiter;
use crate::gateway::control::{self, ControlInput, ControlLink, ControlSetup};
use crate::gateway::deciding::DecisionCore;
use crate::gateway::deciding::load::WorkByTarget;
use crate::gateway::entry::{self, ListenerKind};
use crate::gateway::fleet::{FleetCell, FleetView};
use crate::gateway::fleet_tasks::{self, UsageMeter};
use crate::gateway::members::DaemonRecord;
use crate::gateway::peers::entry_broadcasts::EntryBroadcasts;
use crate::gateway::peers::feeding::{FeedSubscription, StoreSnapshot};
use crate::gateway::peers::freshness::FreshnessTracker;
use crate::gateway::peers::hub::{HubSelector, RelayQueue};
use crate::gateway::peers::link_queue::ChangeSenders;
use crate::gateway::peers::placing::{PlacementClient, PlacementOutbox};
use crate::gateway::peers::seen::ObservedResults;
use crate::gateway::peers::{self, PeerTable};
use crate::gateway::pool::ConnectionPool;
use crate::gateway::port::GatewayPorts;
use crate::gateway::quarantine::{self, QuarantineStore};
use crate::gateway::reload;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::stage_control;
use crate::gateway::store_follow::{StoreLiveness, WatchMode};
use crate::names::{DaemonId, MonoTime};
use crate::ports::ObjectName;
use crate::target_incarnation::TargetIncarnation;
use crate::telemetry;
use crate::timer::TimerService;

/// State of the traffic thread. Each part is borrowed for one step and never
/// across a wait.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Adapter.
    pub ports: GatewayPorts,
    /// What the control thread published.
    pub fleet: FleetCell,
    /// Kept connections.
    pub pool: Rc<RefCell<ConnectionPool>>,
    /// What decisions rest on.
    pub core: RefCell<DecisionCore>,
    /// The other daemons.
    pub peers: RefCell<PeerTable>,
    /// As of when the configuration is known to be the newest one.
    pub freshness: RefCell<FreshnessTracker>,
    /// Usage counted here and heard, and true time.
    pub duties: RefCell<UsageMeter>,
    /// Whom to ask for places on engines.
    pub placement_client: RefCell<PlacementClient>,
    /// What this daemon has placed as a hub.
    pub placements: RefCell<PlacementOutbox>,
    /// Wakes up who tells the other hubs of it.
    pub placements_changed: Notify,
    /// Hubs that are told of it.
    pub other_hubs: RefCell<Vec<DaemonId>>,
    /// Who is whose hub.
    pub hubs: RefCell<HubSelector>,
    /// Whether a hub is relied on for the store's objects.
    pub feed_subscription: RefCell<FeedSubscription>,
    /// What is passed on by a hub: what engines came to hold, whom it tells of when.
    pub relay_queue: RefCell<RelayQueue>,
    /// Which notes on entries were told when.
    pub entry_broadcasts: RefCell<EntryBroadcasts>,
    /// What own sends showed, to be told to the hub.
    pub observed_results: RefCell<ObservedResults>,
    /// Own work as last told.
    pub last_sent_work: RefCell<WorkByTarget>,
    /// The store's objects, to be passed on by a hub.
    pub store_snapshot: RefCell<StoreSnapshot>,
    /// Changes of the store's objects for links to members.
    pub feed_changes: ChangeSenders<Message>,
    /// How this daemon follows the store.
    pub duty: Cell<WatchMode>,
    /// When this daemon started.
    pub started: MonoTime,
    /// When the store was last heard.
    pub pulse: Arc<StoreLiveness>,
    /// Distinguishes this life of the daemon from others under its name.
    pub life: u64,
    /// Engines that this daemon is changing.
    pub local_stage_changes: RefCell<Vec<TargetIncarnation>>,
    /// Work that ended targets.
    pub crashes: RefCell<CrashTracker>,
    /// Held work as the store has it.
    pub held: RefCell<QuarantineStore>,
    /// Wakes up requests that wait for a target, where work is held.
    pub newly_quarantined: Notify,
    /// Repeats.
    pub budget: RefCell<RetryLimiter>,
    /// Draws.
    pub rng: RefCell<SmallRng>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Callers' connections that are open.
    pub serving: Cell<usize>,
    /// Where the control thread hears what traffic noticed.
    pub news: mpsc::UnboundedSender<ControlInput>,
}

impl Gateway {
    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Puts settings in force.
    pub fn set_settings(&self, settings: GatewaySettings) {
        self.core.borrow_mut().weights = settings.placement;
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the newest picture of the fleet.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Tells the control thread that a target is no longer at its address.
    pub fn notify_departed(&self, target: &TargetIncarnation) {
        // The control thread ends only with the process.
        let _ = self.news.send(ControlInput::TargetDeparted(target.clone()));
    }

    /// Daemons that share the fleet's budgets, this one included.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.view().daemons.len().max(1)
    }
}

/// Why a daemon could not run.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A socket or a thread could not be had.
    #[error("{what}: {error}; free the address or raise the limit")]
    Start {
        /// What was tried.
        what: String,
        /// What happened.
        error: io::Error,
    },
    /// The metrics recorder could not be installed.
    #[error("metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Time after the request to stop during which connections are still accepted:
/// callers keep the directory's answer for up to two seconds, and one that finds
/// a closed port loses a try.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);
/// How often idle connections and old counts are swept.
const SWEEP: Duration = Duration::from_millis(500);
/// How often the end of running requests is looked for while stopping.
const END_CHECK: Duration = Duration::from_millis(50);
/// Exit code of a process of which a part panicked.
const EXIT_PART_FAILED: i32 = 70;
/// How often records of daemons that are gone are looked for.
const RECORD_SWEEP: Duration = Duration::from_secs(20);
/// How often recorded samples are compacted.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);

impl Gateway {
    /// Creates the state of the traffic thread.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        ports: GatewayPorts,
        fleet: FleetCell,
        life: u64,
        news: mpsc::UnboundedSender<ControlInput>,
    ) -> Self {
        let window = settings.duties.map(|duties| duties.usage_window());
        let budget = RetryLimiter::new(settings.budget_rule());
        let duty = WatchMode::at_start(settings.first_start);
        Self {
            daemon: settings.daemon.clone(),
            core: RefCell::new(DecisionCore::new(settings.placement)),
            settings: RefCell::new(Rc::new(settings)),
            ports,
            fleet,
            pool: Rc::default(),
            peers: RefCell::default(),
            freshness: RefCell::default(),
            duties: RefCell::new(UsageMeter::new(window.unwrap_or_default())),
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
            duty: Cell::new(duty),
            started: clock::mono_now(),
            pulse: Arc::default(),
            life,
            local_stage_changes: RefCell::default(),
            crashes: RefCell::default(),
            held: RefCell::default(),
            newly_quarantined: Notify::new(),
            budget: RefCell::new(budget),
            rng: RefCell::new(SmallRng::from_os_rng()),
            stopping: Cell::new(false),
            serving: Cell::new(0),
            news,
        }
    }

    /// Whether callers may be sent to a daemon.
    #[must_use]
    pub fn is_usable(&self, daemon: &DaemonId) -> bool {
        if *daemon == self.daemon {
            return !self.stopping.get();
        }
        self.peers.borrow().is_usable(daemon, clock::mono_now())
    }

    /// Whether a daemon knows which keys are in force, as far as heard.
    #[must_use]
    pub fn daemon_confirms_keys(&self, daemon: &DaemonId) -> bool {
        if *daemon == self.daemon {
            return self.confirms_keys(clock::mono_now());
        }
        self.peers.borrow().confirms_keys(daemon)
    }

    // Instances are replaced for good, and nothing in the store expires by itself.
    // One daemon removes the records of those that nobody heard for long; one that
    // lives after all writes its record anew when it sees it gone.
    async fn remove_left_records(&self) {
        if self.rank() != 0 || self.stopping.get() {
            return;
        }
        let view = self.view();
        let silent = self.peers.borrow().unreachable_daemons(clock::mono_now());
        let left = view.daemons.iter().filter(|d| silent.contains(&d.id));
        for record in left {
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
        let same = DaemonRecord::decode(&object.name, &value).is_ok_and(|r| r.life == record.life);
        if same {
            let removed = (self.ports.remove)((object, stored.version)).await;
            log::info!(daemon = record.id.as_str(), removed = removed.is_ok(); "record of a daemon that is gone");
        }
    }

    fn sweep(&self) {
        let now = clock::mono_now();
        if let Some(at) = self.confirmed_at() {
            metrics::gauge!("pistachiowick_config_age_seconds").set(now.since(at).as_secs_f64());
        }
        self.pool.borrow_mut().sweep(tokio::time::Instant::now());
        self.crashes.borrow_mut().sweep(now);
        self.refute_registered_targets(now);
        let view = self.view();
        let mut core = self.core.borrow_mut();
        core.sweep(|target| view.holds(target), now);
        let engines = view.routes.iter().flat_map(|routes| routes.services());
        let tokens = engines
            .filter_map(|s| s.engine.as_ref())
            .map(|e| e.cache_tokens);
        if let Some(tokens) = tokens.max() {
            core.caches.set_capacity(tokens);
        }
    }
}

/// What a daemon is told from outside while it runs.
pub struct DaemonSignals<S> {
    /// Completes when the daemon is to stop.
    pub stop: S,
    /// Asks for a look at the settings.
    pub reload: mpsc::UnboundedReceiver<()>,
    /// Where the settings are.
    pub settings_path: String,
}

/// Runs a gateway until its stop is asked for and its requests have ended.
///
/// # Errors
///
/// Returns what kept it from starting.
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
    let life = rand::rng().random();
    let record = own_record(&settings, &listeners, &peer_listener, life);
    let pulse = Arc::new(StoreLiveness::default());
    let duty = WatchMode::at_start(settings.first_start);
    let setup = ControlSetup {
        ports: ports.clone(),
        cell: fleet.clone(),
        pulse: pulse.clone(),
        record,
        duty,
        pace: settings.follow_pace(),
    };
    let control = start_control(setup)?;
    let mut gateway = Gateway::new(settings, ports, fleet, life, control.news);
    gateway.pulse = pulse;
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
    let linking = peers::run(gateway.clone(), peer_listener, control.relays);
    supervise("peers", linking);
    supervise("held work", quarantine::run(gateway.clone()));
    supervise("stages", stage_control::run(gateway.clone()));
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

// Callers that still hold this address are served and told to close; the others
// have a new answer of the directory by the time the port closes.
// A part that panics would leave a daemon that looks alive and decides without it,
// for instance without knowing the other daemons' work. Ending the process is
// enough: it is started again within seconds and keeps nothing that could be lost.
fn supervise(part: &'static str, task: impl Future<Output = ()> + 'static) {
    let running = spawn_local(task);
    spawn_local(async move {
        if let Err(error) = running.await {
            eprintln!("{part} ended ({error}); ending the process, to be started again");
            std::process::exit(EXIT_PART_FAILED);
        }
    });
}

async fn stop_gracefully(gateway: &Gateway, close: &watch::Sender<bool>, grace: Duration) {
    let began = tokio::time::Instant::now();
    log::info!(grace_ms = grace.as_millis() as u64; "stopping: running requests end first");
    gateway.stopping.set(true);
    // The control thread ends only with the process.
    let _ = gateway.news.send(ControlInput::Stopping);
    let latest = began + grace.saturating_sub(END_MARGIN);
    tokio::time::sleep_until((began + ACCEPT_AFTER_STOP).min(latest)).await;
    close.send_replace(true);
    while gateway.serving.get() > 0 && tokio::time::Instant::now() < latest {
        tokio::time::sleep(END_CHECK).await;
    }
    let left = gateway.serving.get();
    log::info!(unfinished = left, took_ms = began.elapsed().as_millis() as u64; "stopped");
}

fn start_control(setup: ControlSetup) -> Result<ControlLink, DaemonError> {
    control::start(setup).map_err(|error| DaemonError::Start {
        what: "the control thread".to_owned(),
        error,
    })
}

fn own_record(
    settings: &GatewaySettings,
    listeners: &[OpenListener],
    peers: &TcpListener,
    life: u64,
) -> DaemonRecord {
    let bound = |listener: &TcpListener| listener.local_addr().ok();
    let callers = listeners
        .iter()
        .find(|open| matches!(open.kind, ListenerKind::Callers));
    let callers = callers.and_then(|open| bound(&open.listener));
    let peers = bound(peers).unwrap_or_else(|| settings.peer_address());
    DaemonRecord {
        id: settings.daemon.clone(),
        life,
        callers: callers.unwrap_or(peers),
        peers,
        centre: settings.centre.clone(),
        leaving: false,
        strength: settings.limits.strength(),
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
    let wanted = [
        ("metrics", Some(settings.metrics_address()), pages()),
        ("callers", addresses.callers, ListenerKind::Callers),
        ("readiness", addresses.readiness, pages()),
        ("directory", addresses.directory, pages()),
    ];
    let mut listeners = Vec::new();
    for (name, address, kind) in wanted {
        if let Some(address) = address {
            let listener = listen(name, address).await?;
            listeners.push(OpenListener { listener, kind });
        }
    }
    Ok(listeners)
}

async fn listen(name: &str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let fault = |error| DaemonError::Start {
        what: format!("listening on {address}"),
        error,
    };
    let listener = TcpListener::bind(address).await.map_err(fault)?;
    let bound = listener.local_addr().map_err(fault)?;
    log::info!(pages = name, address = bound.to_string(); "listening");
    Ok(listener)
}

async fn upkeep(gateway: Rc<Gateway>, metrics: PrometheusHandle) {
    let timer = TimerService::start();
    let mut removals = timer.every(RECORD_SWEEP);
    let mut sweeps = timer.every(SWEEP);
    let mut compactions = timer.every(METRICS_UPKEEP);
    loop {
        tokio::select! {
            _ = sweeps.next() => gateway.sweep(),
            _ = compactions.next() => metrics.run_upkeep(),
            _ = removals.next() => gateway.remove_left_records().await,
        }
    }
}
