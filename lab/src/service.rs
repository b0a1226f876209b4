//! Stand-in for a plain service, some of whose calls may not be repeated.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use eyre::Result;
use indexmap::IndexMap;
use pistachiowick::clock::unix_now;
use pistachiowick::names::{RequestId, millis};
use pistachiowick::ports::PortFuture;
use pistachiowick::targets::wire::{ServiceBody, ServiceReply};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::answers::service_answer;
use crate::chance::ChanceSource;
use crate::http::{HttpAnswer, HttpCall, HttpServer};
use crate::limit_book::{LimitedArrival, NamedLimit};
use crate::statement_book::{StandInStatement, StatedArrival};

/// Time to come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Request that crossed replies name.
const STRANGER: &str = "another-request";

/// How the stand-in is set up.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// IP number and port to listen at; port 0 for any.
    pub address: String,
    /// Time of one run.
    pub work_ms: u64,
    /// Runs at once.
    pub concurrency: usize,
    /// Calls that may wait for a run; more are refused.
    pub queue_limit: usize,
    /// Whether a key that ran is answered without another run.
    pub deduplicates: bool,
    /// Seed of random faults.
    pub seed: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            work_ms: 20,
            concurrency: 16,
            queue_limit: 256,
            deduplicates: false,
            seed: 1,
        }
    }
}

/// Faults in force; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Added to the time of each run.
    pub slow_ms: u64,
    /// Calls from now on that run and whose answer is lost.
    pub lose_next: u32,
    /// Probability of the same.
    pub lose_chance: f64,
    /// Probability that a reply names another request.
    pub crossed_chance: f64,
    /// Requests a second that the service takes from all daemons, named in its answers.
    pub rate_limit: Option<f64>,
    /// What the service states about itself in its answers.
    pub statement: StandInStatement,
    /// One-time fault: end all work without effect, refuse connections, and come
    /// back after this many milliseconds.
    pub crash_ms: Option<u64>,
}

/// One run of one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunBook {
    /// Key, as `WORKSPACE/KEY`.
    pub key: String,
    /// Request that asked for it.
    pub request_id: RequestId,
    /// Unix time in milliseconds at which it took effect.
    pub at_ms: u64,
}

/// What the service has done, over all its lives.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceBooks {
    /// Calls received.
    pub calls: u64,
    /// Calls received while a limit was named.
    pub limited: Vec<LimitedArrival>,
    /// Calls received while something was stated.
    pub stated: Vec<StatedArrival>,
    /// Calls refused without effect.
    pub refused: u64,
    /// Runs by `WORKSPACE/KEY`, each counted when it takes effect.
    pub runs: IndexMap<String, u32>,
    /// The same runs one by one, in order.
    pub run_log: Vec<RunBook>,
    /// Calls answered from an earlier run.
    pub deduplicated: u64,
    /// Answers lost after the run.
    pub answers_lost: u64,
    /// Replies that named another request.
    pub crossed: u64,
    /// Calls ended by a crash before they took effect.
    pub crashed_calls: u64,
    /// Unix time in milliseconds of the word to leave.
    pub left_at_ms: Option<u64>,
    /// Milliseconds after being told to leave, for each call received since.
    pub calls_after_leave: Vec<u64>,
}

struct ServiceState {
    life: u64,
    waiting: usize,
    open: usize,
    left_at: Option<Instant>,
    accepts_leaving: bool,
    faults: ServiceFaults,
    limit: NamedLimit,
    books: ServiceBooks,
}

struct ServiceCore {
    options: ServiceOptions,
    chance: ChanceSource,
    slots: Semaphore,
    state: Mutex<ServiceState>,
}

/// Stand-in for a plain service.
pub struct ServiceStandIn;

/// A running stand-in.
pub struct RunningService {
    core: Arc<ServiceCore>,
    server: Arc<HttpServer>,
}

impl ServiceStandIn {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: ServiceOptions) -> Result<RunningService> {
        let address = options.address.clone();
        let core = Arc::new(ServiceCore {
            chance: ChanceSource::new(options.seed),
            slots: Semaphore::new(options.concurrency),
            options,
            state: Mutex::new(ServiceState {
                life: 0,
                waiting: 0,
                open: 0,
                left_at: None,
                accepts_leaving: false,
                faults: ServiceFaults::default(),
                limit: NamedLimit::default(),
                books: ServiceBooks::default(),
            }),
        });
        let (crash, mut crashes) = tokio::sync::mpsc::unbounded_channel();
        let handled = core.clone();
        let handler = Arc::new(move |call| -> PortFuture<HttpAnswer> {
            Box::pin(handle(handled.clone(), call, crash.clone()))
        });
        let server = Arc::new(HttpServer::start(&address, handler).await?);
        let crashed = (core.clone(), server.clone());
        tokio::spawn(async move {
            while let Some(down) = crashes.recv().await {
                crash_for(&crashed.0, &crashed.1, down).await;
            }
        });
        Ok(RunningService { core, server })
    }
}

impl RunningService {
    /// Returns the IP number and port.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address()
    }

    /// Stops the stand-in at once.
    pub fn stop(&self) {
        self.server.close();
        self.core.state().life += 1;
    }

    /// Returns the books.
    #[must_use]
    pub fn books(&self) -> ServiceBooks {
        self.core.state().books.clone()
    }

    /// Returns the number of calls taken and not yet ended.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.core.state().open
    }

    /// Puts faults in force; a crash starts at once.
    pub fn set_faults(&self, faults: ServiceFaults) {
        if let Some(ms) = faults.crash_ms {
            self.crash(ms);
        }
        self.core.set_faults(faults);
    }

    /// Ends all work without effect, refuses connections, and comes back.
    pub fn crash(&self, down_ms: u64) {
        let core = self.core.clone();
        let server = self.server.clone();
        server.close();
        tokio::spawn(async move {
            crash_for(&core, &server, Duration::from_millis(down_ms)).await;
        });
    }

    /// Marks the moment from which on no new work may come.
    pub fn leave(&self) {
        self.core.leave();
    }

    /// Sets whether calls are refused while leaving; they are, unless said otherwise.
    pub fn set_refusing(&self, refuses: bool) {
        self.core.state().accepts_leaving = !refuses;
    }
}

async fn crash_for(core: &ServiceCore, server: &HttpServer, down: Duration) {
    server.close();
    let life = {
        let mut state = core.state();
        state.life += 1;
        state.limit.restart();
        state.life
    };
    tokio::time::sleep(down).await;
    if core.state().life != life {
        // It crashed again meanwhile, or was stopped.
        return;
    }
    if let Err(error) = server.open().await {
        log::error!("a service stand-in did not come back: {error}");
    }
}

impl ServiceCore {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, mut faults: ServiceFaults) {
        faults.crash_ms = None;
        let mut state = self.state();
        state.limit.set(faults.rate_limit);
        state.faults = faults;
    }

    fn leave(&self) {
        let mut state = self.state();
        state.left_at.get_or_insert_with(Instant::now);
        state.books.left_at_ms.get_or_insert(unix_now().0);
    }

    /// Takes a call; returns the life it belongs to and the time of its run.
    fn admit(&self) -> Result<(u64, Duration), HttpAnswer> {
        let mut state = self.state();
        state.books.calls += 1;
        if let Some(arrival) = state.limit.record_arrival() {
            state.books.limited.push(arrival);
        }
        if let Some(arrival) = state.faults.statement.record_arrival() {
            state.books.stated.push(arrival);
        }
        if let Some(left_at) = state.left_at {
            let since = millis(left_at.elapsed());
            state.books.calls_after_leave.push(since);
        }
        if let Some(refusal) = state.faults.statement.refusal() {
            state.books.refused += 1;
            return Err(refusal);
        }
        let reason = if state.faults.down {
            Some("down")
        } else if state.left_at.is_some() && !state.accepts_leaving {
            Some("leaving")
        } else if state.waiting >= self.options.queue_limit {
            Some("queue full")
        } else {
            None
        };
        if let Some(reason) = reason {
            state.books.refused += 1;
            return Err(HttpAnswer::refusal(503, reason, RETRY_AFTER));
        }
        state.waiting += 1;
        state.open += 1;
        let work = Duration::from_millis(self.options.work_ms + state.faults.slow_ms);
        Ok((state.life, work))
    }

    /// Does the work; `None` when a crash ended it.
    async fn run(&self, body: &ServiceBody, life: u64, work: Duration) -> Option<()> {
        let slot = self.slots.acquire().await;
        self.state().waiting -= 1;
        tokio::time::sleep(work).await;
        drop(slot);
        let mut state = self.state();
        state.open -= 1;
        if state.life != life {
            state.books.crashed_calls += 1;
            return None;
        }
        let deduplicates = self.options.deduplicates;
        let books = &mut state.books;
        let runs = books.runs.entry(run_key(body)).or_default();
        if deduplicates && *runs > 0 {
            books.deduplicated += 1;
        } else {
            *runs += 1;
            books.run_log.push(RunBook {
                key: run_key(body),
                request_id: body.request_id.clone(),
                at_ms: unix_now().0,
            });
        }
        Some(())
    }

    fn answer(&self, body: &ServiceBody, data: &[u8]) -> HttpAnswer {
        let mut state = self.state();
        let ServiceState { faults, books, .. } = &mut *state;
        if self.chance.due(&mut faults.lose_next, faults.lose_chance) {
            books.answers_lost += 1;
            return HttpAnswer::broken();
        }
        let result = service_answer(body.workspace.as_str(), body.key.as_str(), data);
        let mut reply = ServiceReply {
            request_id: body.request_id.clone(),
            key: body.key.clone(),
            length: result.len() as u64,
            data: STANDARD.encode(result),
        };
        if self.chance.happens(faults.crossed_chance) {
            books.crossed += 1;
            reply.request_id = RequestId::from(STRANGER);
        }
        HttpAnswer::json(200, &reply)
    }
}

fn run_key(body: &ServiceBody) -> String {
    format!("{}/{}", body.workspace, body.key)
}

async fn handle(
    core: Arc<ServiceCore>,
    call: HttpCall,
    crash: tokio::sync::mpsc::UnboundedSender<Duration>,
) -> HttpAnswer {
    match (call.method.as_str(), call.path().as_slice()) {
        ("POST", ["v1", "calls"]) => {
            let answer = serve(core.clone(), &call).await;
            let state = core.state();
            state.limit.name_in(state.faults.statement.state_in(answer))
        }
        ("GET", ["lab", "books"]) => HttpAnswer::json(200, &core.state().books),
        ("POST", ["lab", "leave"]) => {
            core.leave();
            HttpAnswer::text(200, "")
        }
        ("POST", ["lab", "faults"]) => match call.json::<ServiceFaults>() {
            Ok(faults) => {
                if let Some(ms) = faults.crash_ms {
                    let _ = crash.send(Duration::from_millis(ms));
                }
                core.set_faults(faults);
                HttpAnswer::text(200, "")
            }
            Err(answer) => answer,
        },
        _ => HttpAnswer::text(404, "no such call"),
    }
}

async fn serve(core: Arc<ServiceCore>, call: &HttpCall) -> HttpAnswer {
    let body: ServiceBody = match call.json() {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let Ok(data) = STANDARD.decode(&body.data) else {
        return HttpAnswer::text(400, "the data is not base64");
    };
    let (life, work) = match core.admit() {
        Ok(admitted) => admitted,
        Err(answer) => return answer,
    };
    // In a task of its own, since the work goes on when the caller hangs up.
    let running = tokio::spawn(async move {
        match core.run(&body, life, work).await {
            Some(()) => core.answer(&body, &data),
            None => HttpAnswer::broken(),
        }
    });
    running.await.unwrap_or_else(|_| HttpAnswer::broken())
}
