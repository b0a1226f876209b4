//! Stand-in for the platform's object service and instance list.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use pistachiowick::ports::PortFuture;
use pistachiowick::store::wire::{InstanceRow, ObjectList};
use serde::{Deserialize, Serialize};

use crate::chance::ChanceSource;
use crate::http::{HttpAnswer, HttpCall, HttpServer};
use crate::platform_state::{
    CallBucket, InstanceTable, ObjectTable, PlatformBooks, WriteCondition,
};

/// Largest value.
const VALUE_LIMIT: usize = 1 << 20;

/// Time to come back while the platform is down.
const DOWN_RETRY: Duration = Duration::from_millis(200);

/// How often a watch looks again while reads are stale.
const STALE_POLL: Duration = Duration::from_millis(10);

/// How the stand-in is set up.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// IP number and port to listen at; port 0 for any.
    pub address: String,
    /// Writes a second; 0 for no limit.
    pub writes_per_second: f64,
    /// Reads, listings, watches and instance reads a second; 0 for no limit.
    pub reads_per_second: f64,
    /// Lag of the instance list.
    pub instance_lag_ms: u64,
    /// Instances known from the start.
    pub instances: Vec<InstanceRow>,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            writes_per_second: 0.0,
            reads_per_second: 0.0,
            instance_lag_ms: 0,
            instances: Vec::new(),
            seed: 1,
        }
    }
}

/// Faults in force; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Delay of each call.
    pub slow_ms: u64,
    /// Writes from now on that take effect and whose answer is lost.
    pub lose_next: u32,
    /// Probability of the same.
    pub lose_chance: f64,
    /// A lost answer is a plain 500 instead of a broken connection.
    pub lose_by_status: bool,
    /// Writes from now on whose answer is lost and which take effect later.
    pub delay_next: u32,
    /// Probability of the same.
    pub delay_chance: f64,
    /// How much later those writes are applied, if their condition holds then.
    pub delay_by_ms: u64,
    /// Age of the state that reads, listings and watches see; never older than the
    /// moment at which the fault was set.
    pub stale_ms: u64,
}

/// Changes the instance list: `POST /lab/instances`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceChange {
    /// Rows to add or replace.
    pub set: Vec<InstanceRow>,
    /// Rows to remove, by id.
    pub remove: Vec<String>,
    /// New lag.
    pub lag_ms: Option<u64>,
}

struct PlatformState {
    objects: ObjectTable,
    instances: InstanceTable,
    writes: CallBucket,
    reads: CallBucket,
    books: PlatformBooks,
    faults: PlatformFaults,
    faults_since: Instant,
}

impl PlatformState {
    /// Returns the moment whose state readers see.
    fn cut(&self) -> Instant {
        let now = Instant::now();
        let stale = Duration::from_millis(self.faults.stale_ms);
        now.checked_sub(stale)
            .unwrap_or(self.faults_since)
            .max(self.faults_since.min(now))
    }
}

struct PlatformCore {
    state: Mutex<PlatformState>,
    chance: ChanceSource,
}

impl PlatformCore {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.state();
        if faults.stale_ms != state.faults.stale_ms {
            state.faults_since = Instant::now();
        }
        state.faults = faults;
        state.objects.wake_all();
    }

    fn change_instances(&self, change: InstanceChange) {
        let mut state = self.state();
        if let Some(lag) = change.lag_ms {
            state.instances.set_lag(Duration::from_millis(lag));
        }
        for row in change.set {
            state.instances.set(row);
        }
        for id in &change.remove {
            state.instances.remove(id);
        }
    }
}

/// A running stand-in.
pub struct RunningPlatform {
    core: Arc<PlatformCore>,
    server: HttpServer,
}

/// Stand-in for the platform.
pub struct PlatformStandIn;

impl PlatformStandIn {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: PlatformOptions) -> Result<RunningPlatform> {
        let lag = Duration::from_millis(options.instance_lag_ms);
        let core = Arc::new(PlatformCore {
            state: Mutex::new(PlatformState {
                objects: ObjectTable::default(),
                instances: InstanceTable::new(lag, options.instances),
                writes: CallBucket::new(options.writes_per_second),
                reads: CallBucket::new(options.reads_per_second),
                books: PlatformBooks::default(),
                faults: PlatformFaults::default(),
                faults_since: Instant::now(),
            }),
            chance: ChanceSource::new(options.seed),
        });
        let handled = core.clone();
        let handler = Arc::new(move |call| -> PortFuture<HttpAnswer> {
            Box::pin(handle(handled.clone(), call))
        });
        let server = HttpServer::start(&options.address, handler).await?;
        Ok(RunningPlatform { core, server })
    }
}

impl RunningPlatform {
    /// Returns the IP number and port.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address()
    }

    /// Stops the stand-in at once.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Refuses connections and breaks open ones; the state stays.
    pub fn unplug(&self) {
        self.server.close();
    }

    /// Takes connections again.
    ///
    /// # Errors
    ///
    /// Returns an error when the port was taken meanwhile.
    pub async fn plug(&self) -> Result<()> {
        self.server.open().await
    }

    /// Puts these faults in force in place of those before.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.core.set_faults(faults);
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.core.state().faults.clone()
    }

    /// Returns the calls counted so far.
    #[must_use]
    pub fn books(&self) -> PlatformBooks {
        self.core.state().books.clone()
    }

    /// Adds or replaces an instance.
    pub fn set_instance(&self, row: InstanceRow) {
        self.core.state().instances.set(row);
    }

    /// Removes an instance.
    pub fn remove_instance(&self, id: &str) {
        self.core.state().instances.remove(id);
    }

    /// Sets the lag of the instance list.
    pub fn set_lag(&self, lag_ms: u64) {
        let lag = Duration::from_millis(lag_ms);
        self.core.state().instances.set_lag(lag);
    }

    /// Reads an object's present version and value past all faults and counts.
    #[must_use]
    pub fn peek(&self, kind: &str, name: &str) -> Option<(u64, Vec<u8>)> {
        let state = self.core.state();
        let record = state.objects.read(kind, name, Instant::now())?;
        Some((record.version, record.value.to_vec()))
    }
}

async fn handle(core: Arc<PlatformCore>, call: HttpCall) -> HttpAnswer {
    if call.segments.first().is_some_and(|part| part == "lab") {
        return handle_lab(&core, &call);
    }
    let slow = core.state().faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    match (call.method.as_str(), call.path().as_slice()) {
        ("GET", ["v1", "objects", kind, name]) => read(&core, kind, name),
        ("PUT", ["v1", "objects", kind, name]) => write(&core, kind, name, &call),
        ("GET", ["v1", "objects", kind]) => list(&core, kind),
        ("GET", ["v1", "watch", kind]) => watch(&core, kind, &call).await,
        ("GET", ["v1", "instances"]) => instances(&core),
        _ => HttpAnswer::text(404, "no such call"),
    }
}

fn handle_lab(core: &PlatformCore, call: &HttpCall) -> HttpAnswer {
    match (call.method.as_str(), call.path().as_slice()) {
        ("GET", ["lab", "books"]) => HttpAnswer::json(200, &core.state().books),
        ("GET", ["lab", "faults"]) => HttpAnswer::json(200, &core.state().faults),
        ("POST", ["lab", "faults"]) => match call.json() {
            Ok(faults) => {
                core.set_faults(faults);
                HttpAnswer::text(200, "")
            }
            Err(answer) => answer,
        },
        ("POST", ["lab", "instances"]) => match call.json() {
            Ok(change) => {
                core.change_instances(change);
                HttpAnswer::text(200, "")
            }
            Err(answer) => answer,
        },
        _ => HttpAnswer::text(404, "no such call"),
    }
}

/// Which budget a call is counted against.
#[derive(Clone, Copy)]
enum CallSort {
    Instances,
    List,
    Read,
    Watch,
    Write,
}

fn admit(state: &mut PlatformState, sort: CallSort) -> Result<(), HttpAnswer> {
    if state.faults.down {
        state.books.refused += 1;
        return Err(HttpAnswer::refusal(503, "down", DOWN_RETRY));
    }
    let bucket = match sort {
        CallSort::Write => &mut state.writes,
        _ => &mut state.reads,
    };
    if let Err(wait) = bucket.take() {
        state.books.refused += 1;
        let wait = wait.max(Duration::from_millis(1));
        return Err(HttpAnswer::refusal(429, "too many calls", wait));
    }
    let count = match sort {
        CallSort::Instances => &mut state.books.instances,
        CallSort::List => &mut state.books.list,
        CallSort::Read => &mut state.books.read,
        CallSort::Watch => &mut state.books.watch,
        CallSort::Write => &mut state.books.write,
    };
    *count += 1;
    Ok(())
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

fn read(core: &PlatformCore, kind: &str, name: &str) -> HttpAnswer {
    let mut state = core.state();
    if let Err(answer) = admit(&mut state, CallSort::Read) {
        return answer;
    }
    let cut = state.cut();
    match state.objects.read(kind, name, cut) {
        Some(record) => {
            HttpAnswer::bytes(200, record.value.to_vec()).with("etag", etag(record.version))
        }
        None => HttpAnswer::text(404, "never written"),
    }
}

fn condition_of(call: &HttpCall) -> Option<WriteCondition> {
    if call.header("if-none-match") == Some("*") {
        return Some(WriteCondition::Absent);
    }
    let text = call.header("if-match")?.trim_matches('"');
    text.parse().ok().map(WriteCondition::Version)
}

fn write(core: &Arc<PlatformCore>, kind: &str, name: &str, call: &HttpCall) -> HttpAnswer {
    if call.body.len() > VALUE_LIMIT {
        return HttpAnswer::text(413, "a value holds at most 1 MiB");
    }
    let Some(condition) = condition_of(call) else {
        return HttpAnswer::text(428, "send if-match or if-none-match");
    };
    let mut state = core.state();
    if let Err(answer) = admit(&mut state, CallSort::Write) {
        return answer;
    }
    let faults = &mut state.faults;
    let by_status = faults.lose_by_status;
    if core.chance.due(&mut faults.delay_next, faults.delay_chance) {
        let delay = Duration::from_millis(faults.delay_by_ms);
        state.books.answers_lost += 1;
        drop(state);
        apply_later(
            core.clone(),
            kind,
            name,
            condition,
            call.body.clone(),
            delay,
        );
        return lost_answer(by_status);
    }
    let is_lost = core.chance.due(&mut faults.lose_next, faults.lose_chance);
    let keep_since = state.cut();
    let written = state
        .objects
        .write(kind, name, condition, call.body.clone(), keep_since);
    if is_lost {
        state.books.answers_lost += 1;
        return lost_answer(by_status);
    }
    match written {
        Ok(version) => HttpAnswer::text(200, "").with("etag", etag(version)),
        Err(present) => {
            state.books.conflicts += 1;
            conflict_answer(present)
        }
    }
}

fn conflict_answer(present: Option<u64>) -> HttpAnswer {
    let answer = HttpAnswer::text(412, "the condition does not hold");
    match present {
        Some(version) => answer.with("etag", etag(version)),
        None => answer,
    }
}

fn lost_answer(by_status: bool) -> HttpAnswer {
    if by_status {
        HttpAnswer::text(500, "lost on purpose")
    } else {
        HttpAnswer::broken()
    }
}

fn apply_later(
    core: Arc<PlatformCore>,
    kind: &str,
    name: &str,
    condition: WriteCondition,
    value: Vec<u8>,
    delay: Duration,
) {
    let kind = kind.to_owned();
    let name = name.to_owned();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let mut state = core.state();
        let keep_since = state.cut();
        let written = state
            .objects
            .write(&kind, &name, condition, value, keep_since);
        match written {
            Ok(_) => state.books.delayed_done += 1,
            Err(_) => state.books.delayed_dropped += 1,
        }
    });
}

fn list(core: &PlatformCore, kind: &str) -> HttpAnswer {
    let mut state = core.state();
    if let Err(answer) = admit(&mut state, CallSort::List) {
        return answer;
    }
    let cut = state.cut();
    HttpAnswer::json(200, &state.objects.changed_since(kind, 0, cut))
}

async fn watch(core: &PlatformCore, kind: &str, call: &HttpCall) -> HttpAnswer {
    let since = call.number("since");
    let deadline = Instant::now() + Duration::from_millis(call.number("wait_ms"));
    let changed = {
        let mut state = core.state();
        if let Err(answer) = admit(&mut state, CallSort::Watch) {
            return answer;
        }
        state.objects.changed(kind)
    };
    loop {
        // Registered before the look, so that no write falls between the two.
        let mut woken = std::pin::pin!(changed.notified());
        woken.as_mut().enable();
        let list = match look(core, kind, since) {
            Ok(list) => list,
            Err(answer) => return answer,
        };
        let is_over = Instant::now() >= deadline;
        if is_over || !list.objects.is_empty() {
            return HttpAnswer::json(200, &list);
        }
        let pause = watch_pause(core, deadline);
        let _ = tokio::time::timeout(pause, woken).await;
    }
}

fn look(core: &PlatformCore, kind: &str, since: u64) -> Result<ObjectList, HttpAnswer> {
    let state = core.state();
    if state.faults.down {
        return Err(HttpAnswer::refusal(503, "down", DOWN_RETRY));
    }
    Ok(state.objects.changed_since(kind, since, state.cut()))
}

fn watch_pause(core: &PlatformCore, deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    if core.state().faults.stale_ms > 0 {
        left.min(STALE_POLL)
    } else {
        left
    }
}

fn instances(core: &PlatformCore) -> HttpAnswer {
    let mut state = core.state();
    if let Err(answer) = admit(&mut state, CallSort::Instances) {
        return answer;
    }
    HttpAnswer::json(200, &state.instances.list())
}
