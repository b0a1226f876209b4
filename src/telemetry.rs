//! Counters and histograms of requests per workspace and class, with bounded cardinality.

use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use indexmap::IndexMap;
use metrics::{Histogram, SharedString};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

use crate::names::{ClassName, WorkspaceName};

/// Label of the pairs beyond the tracked ones.
const OTHER: &str = "other";

/// Upper bounds of the histogram buckets in seconds: fine below the 41 ms that
/// tokens may be apart and around the 1.1 s of a first token, coarse above.
const BUCKET_SECONDS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.041, 0.08, 0.15, 0.3, 0.6, 1.1, 2.5, 5.0, 15.0, 60.0, 300.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
static INSTALL: Mutex<()> = Mutex::new(());

/// Times of one request, from its arrival at the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestTimes {
    /// Wait before the first dispatch.
    pub queueing: Duration,
    /// Time to the first token; `None` when none arrived.
    pub first_token: Option<Duration>,
    /// Time to the final outcome.
    pub total: Duration,
    /// Time past the deadline; zero when in time.
    pub lateness: Duration,
}

struct PairMetrics {
    workspace: SharedString,
    class: SharedString,
    queueing: Histogram,
    first_token: Histogram,
    token_gap: Histogram,
    total: Histogram,
    lateness: Histogram,
}

impl PairMetrics {
    fn new(workspace: &str, class: &str) -> Self {
        let workspace = SharedString::from(workspace.to_owned());
        let class = SharedString::from(class.to_owned());
        let histogram = |name: &'static str| metrics::histogram!(name, "workspace" => workspace.clone(), "class" => class.clone());
        Self {
            queueing: histogram("pistachiowick_queueing_seconds"),
            first_token: histogram("pistachiowick_first_token_seconds"),
            token_gap: histogram("pistachiowick_token_gap_seconds"),
            total: histogram("pistachiowick_total_seconds"),
            lateness: histogram("pistachiowick_lateness_seconds"),
            workspace,
            class,
        }
    }
}

type ClassMetrics = IndexMap<ClassName, Arc<PairMetrics>>;

struct PairTable {
    pairs: IndexMap<WorkspaceName, ClassMetrics>,
    tracked: usize,
    other: Option<Arc<PairMetrics>>,
}

/// Recorder of request metrics; clones share their pairs.
///
/// The first pairs seen get labels of their own and the rest share `other`, so
/// that 5,000 workspaces cannot exhaust the daemon's memory. Create it after
/// [`install_prometheus`]: what is recorded before is lost.
#[derive(Clone)]
pub struct Telemetry {
    table: Arc<RwLock<PairTable>>,
    tracked_pairs: usize,
}

impl Telemetry {
    /// Creates a recorder that tells `tracked_pairs` pairs of workspace and class apart.
    #[must_use]
    pub fn new(tracked_pairs: usize) -> Self {
        let table = PairTable {
            pairs: IndexMap::new(),
            tracked: 0,
            other: None,
        };
        Self {
            table: Arc::new(RwLock::new(table)),
            tracked_pairs,
        }
    }

    /// Records the end of a request.
    pub fn request_ended(
        &self,
        workspace: &WorkspaceName,
        class: &ClassName,
        outcome: &'static str,
        times: &RequestTimes,
    ) {
        let pair = self.pair(workspace, class);
        metrics::counter!(
            "pistachiowick_requests_total",
            "workspace" => pair.workspace.clone(),
            "class" => pair.class.clone(),
            "outcome" => outcome
        )
        .increment(1);
        pair.queueing.record(times.queueing);
        pair.total.record(times.total);
        pair.lateness.record(times.lateness);
        if let Some(first_token) = times.first_token {
            pair.first_token.record(first_token);
        }
    }

    /// Records the time between two tokens of one answer.
    pub fn token_gap(&self, workspace: &WorkspaceName, class: &ClassName, gap: Duration) {
        self.pair(workspace, class).token_gap.record(gap);
    }

    fn pair(&self, workspace: &WorkspaceName, class: &ClassName) -> Arc<PairMetrics> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(pair) = table.known_pair(workspace, class) {
            return pair;
        }
        if let Some(other) = table.other.clone().filter(|_| self.is_full(&table)) {
            return other;
        }
        drop(table);
        self.add_pair(workspace, class)
    }

    fn add_pair(&self, workspace: &WorkspaceName, class: &ClassName) -> Arc<PairMetrics> {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(pair) = table.known_pair(workspace, class) {
            return pair;
        }
        if self.is_full(&table) {
            let make = || Arc::new(PairMetrics::new(OTHER, OTHER));
            return Arc::clone(table.other.get_or_insert_with(make));
        }
        let pair = Arc::new(PairMetrics::new(workspace.as_str(), class.as_str()));
        table.tracked += 1;
        let classes = table.pairs.entry(workspace.clone()).or_default();
        classes.insert(class.clone(), Arc::clone(&pair));
        pair
    }

    fn is_full(&self, table: &PairTable) -> bool {
        table.tracked >= self.tracked_pairs
    }
}

impl PairTable {
    fn known_pair(&self, workspace: &WorkspaceName, class: &ClassName) -> Option<Arc<PairMetrics>> {
        self.pairs.get(workspace)?.get(class).cloned()
    }
}

/// Installs the process's Prometheus recorder, or returns the one installed before.
///
/// # Errors
///
/// Returns an error when other code installed a recorder of another kind.
pub fn install_prometheus() -> Result<PrometheusHandle, BuildError> {
    let _guard = INSTALL.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = HANDLE.get() {
        return Ok(handle.clone());
    }
    let handle = PrometheusBuilder::new()
        .set_buckets(&BUCKET_SECONDS)?
        .install_recorder()?;
    describe_metrics();
    Ok(HANDLE.get_or_init(|| handle).clone())
}

fn describe_metrics() {
    use metrics::Unit::Seconds;
    metrics::describe_counter!("pistachiowick_requests_total", "Requests by final outcome");
    metrics::describe_histogram!(
        "pistachiowick_queueing_seconds",
        Seconds,
        "Wait before the first dispatch"
    );
    metrics::describe_histogram!(
        "pistachiowick_first_token_seconds",
        Seconds,
        "Time from arrival to the first token"
    );
    metrics::describe_histogram!(
        "pistachiowick_token_gap_seconds",
        Seconds,
        "Time between two tokens of an answer"
    );
    metrics::describe_histogram!(
        "pistachiowick_total_seconds",
        Seconds,
        "Time from arrival to the final outcome"
    );
    metrics::describe_histogram!(
        "pistachiowick_lateness_seconds",
        Seconds,
        "Time past the deadline; zero when in time"
    );
}
