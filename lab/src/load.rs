//! Load generator over the callers' interface. It checks every byte it gets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::{Context, Result, ensure};
use futures_util::future::join_all;
use pistachiowick::clock::unix_now;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick::pb::{AnswerEvent, ResumeRequest, SubmitRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Streaming};

use crate::answers::{expected_answer, service_answer};
use crate::load_check::AnswerCheck;
use crate::load_tally::{LoadTally, RequestReport};

/// Added to a deadline before a request counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// Pause before a broken stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(2);

/// A range of numbers, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRange {
    /// Least.
    pub least: u32,
    /// Most.
    pub most: u32,
}

impl LoadRange {
    fn draw(self, random: &mut SmallRng) -> u32 {
        random.random_range(self.least..=self.most.max(self.least))
    }
}

/// Requests of one class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadClass {
    /// Workspace.
    pub workspace: String,
    /// Key of the workspace.
    pub key: String,
    /// Class.
    pub class: String,
    /// Share of the requests relative to other classes.
    pub weight: f64,
    /// Model; the daemon's answer depends on it, so it is always named.
    pub model: String,
    /// Adapter.
    pub adapter: String,
    /// Version.
    pub version: String,
    /// Whether the class calls a plain service.
    pub is_service: bool,
    /// Prompt lengths in tokens.
    pub prompt_tokens: LoadRange,
    /// Output lengths in tokens.
    pub output_tokens: LoadRange,
    /// Deadline.
    pub deadline_ms: u32,
    /// Number of shared prefixes; 0 for none.
    pub shared_prefixes: u32,
    /// Length of each in tokens.
    pub shared_prefix_tokens: u32,
}

impl Default for LoadClass {
    fn default() -> Self {
        Self {
            workspace: String::new(),
            key: String::new(),
            class: String::new(),
            weight: 1.0,
            model: "base".to_owned(),
            adapter: String::new(),
            version: String::new(),
            is_service: false,
            prompt_tokens: LoadRange {
                least: 100,
                most: 400,
            },
            output_tokens: LoadRange {
                least: 10,
                most: 60,
            },
            deadline_ms: 10_000,
            shared_prefixes: 0,
            shared_prefix_tokens: 0,
        }
    }
}

/// One run of the generator.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadConfig {
    /// Daemons' addresses for callers.
    pub addresses: Vec<String>,
    /// Seed.
    pub seed: u64,
    /// Requests a second on average, arriving independently of one another.
    pub rate: f64,
    /// Length of the run.
    pub duration_ms: u64,
    /// Requests open at once, at most.
    pub most_open: usize,
    /// Classes.
    pub classes: Vec<LoadClass>,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            seed: 1,
            rate: 20.0,
            duration_ms: 5_000,
            most_open: 2_000,
            classes: Vec::new(),
        }
    }
}

/// One request drawn from the seed.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When to send it, after the start.
    pub at: Duration,
    /// Place of its class in the plan.
    pub class: usize,
    /// Key of the workspace.
    pub key: String,
    /// What to send.
    pub submit: SubmitRequest,
    /// The answer it must get.
    pub expected: Vec<u8>,
}

/// Draws all requests of a run, in order of time.
///
/// # Errors
///
/// Returns an error for a run without addresses, classes or a rate.
pub fn plan_requests(config: &LoadConfig) -> Result<Vec<PlannedRequest>> {
    ensure!(!config.addresses.is_empty(), "name at least one address");
    ensure!(!config.classes.is_empty(), "name at least one class");
    ensure!(config.rate > 0.0, "set a rate above 0");
    let mut random = SmallRng::seed_from_u64(config.seed);
    let end = Duration::from_millis(config.duration_ms);
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / config.rate);
        if at >= end {
            return Ok(planned);
        }
        let class = draw_class(&config.classes, &mut random);
        let name = format!("{}-{}", config.seed, planned.len());
        let request = plan_request(&config.classes[class], &name, at, &mut random);
        planned.push(PlannedRequest { class, ..request });
    }
}

fn draw_class(classes: &[LoadClass], random: &mut SmallRng) -> usize {
    let total: f64 = classes.iter().map(|class| class.weight).sum();
    let mut place = random.random::<f64>() * total;
    for (index, class) in classes.iter().enumerate() {
        place -= class.weight;
        if place < 0.0 {
            return index;
        }
    }
    classes.len() - 1
}

/// Draws one request of a class, to be sent at a time after the start.
pub fn plan_request(
    class: &LoadClass,
    name: &str,
    at: Duration,
    random: &mut SmallRng,
) -> PlannedRequest {
    let tokens = class.output_tokens.draw(random);
    let prompt = format!("out={tokens} {name}").into_bytes();
    let prefix = (class.shared_prefixes > 0).then(|| {
        let number = random.random_range(0..class.shared_prefixes);
        format!("{}-{}-{number}", class.workspace, class.class)
    });
    let shared = if prefix.is_some() {
        class.shared_prefix_tokens
    } else {
        0
    };
    let expected = if class.is_service {
        service_answer(&class.workspace, name, &prompt)
    } else {
        expected_answer(
            &prompt,
            &class.model,
            &class.adapter,
            &class.version,
            tokens,
        )
    };
    let submit = SubmitRequest {
        key: name.to_owned(),
        first_submission: true,
        class: class.class.clone(),
        model: class.model.clone(),
        adapter: class.adapter.clone(),
        version: class.version.clone(),
        prompt,
        prompt_tokens: class.prompt_tokens.draw(random).max(shared),
        max_output_tokens: tokens,
        deadline_ms: class.deadline_ms,
        shared_prefix_tokens: shared,
        shared_prefix: prefix.unwrap_or_default(),
        ..SubmitRequest::default()
    };
    PlannedRequest {
        at,
        class: 0,
        key: class.key.clone(),
        submit,
        expected,
    }
}

/// Runs the whole load and returns the tally once every request has ended.
///
/// # Errors
///
/// Returns an error when the config is not usable.
pub async fn run_load(config: &LoadConfig) -> Result<LoadTally> {
    let planned = plan_requests(config)?;
    let tally = Arc::new(Mutex::new(LoadTally::default()));
    let reports = tally.clone();
    let on_report = Arc::new(move |_: usize, report: &RequestReport| {
        locked(&reports).add(report);
    });
    let not_sent = run_planned(&config.addresses, config.most_open, planned, on_report).await?;
    let mut tally = locked(&tally).clone();
    tally.counts.not_sent += not_sent;
    Ok(tally)
}

/// Told of each request that ended, with the place of its class.
pub type ReportSink = Arc<dyn Fn(usize, &RequestReport) + Send + Sync>;

/// Sends planned requests at their times, waits for their ends and returns how many
/// were not sent because `most_open` were open.
///
/// # Errors
///
/// Returns an error for an address that cannot be used.
pub async fn run_planned(
    addresses: &[String],
    most_open: usize,
    planned: Vec<PlannedRequest>,
    on_report: ReportSink,
) -> Result<u64> {
    let clients = Arc::new(connect_all(addresses)?);
    let open = Arc::new(Semaphore::new(most_open));
    let start = Instant::now();
    let mut not_sent = 0;
    let mut tasks = Vec::with_capacity(planned.len());
    for (index, request) in planned.into_iter().enumerate() {
        tokio::time::sleep_until((start + request.at).into()).await;
        let Ok(permit) = open.clone().try_acquire_owned() else {
            not_sent += 1;
            continue;
        };
        let clients = clients.clone();
        let on_report = on_report.clone();
        tasks.push(tokio::spawn(async move {
            let class = request.class;
            let report = run_request(&clients, index, request).await;
            on_report(class, &report);
            drop(permit);
        }));
    }
    join_all(tasks).await;
    Ok(not_sent)
}

fn locked(tally: &Mutex<LoadTally>) -> std::sync::MutexGuard<'_, LoadTally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

fn connect_all(addresses: &[String]) -> Result<Vec<RequestsClient<Channel>>> {
    addresses
        .iter()
        .map(|address| {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))
                .wrap_err_with(|| format!("{address} is no address; write IP:PORT"))?
                .connect_timeout(CONNECT_WAIT);
            Ok(RequestsClient::new(endpoint.connect_lazy()))
        })
        .collect()
}

async fn run_request(
    clients: &[RequestsClient<Channel>],
    index: usize,
    request: PlannedRequest,
) -> RequestReport {
    let begun = Instant::now();
    let deadline = Duration::from_millis(u64::from(request.submit.deadline_ms));
    let mut check = AnswerCheck::new(request.expected);
    let mut resumes = 0;
    let mut submit = request.submit;
    submit.key_minted_at_ms = unix_now().0;
    let attempts = follow(
        clients,
        index,
        &request.key,
        &submit,
        &mut check,
        &mut resumes,
        begun,
    );
    let _ = tokio::time::timeout(deadline + LOST_AFTER, attempts).await;
    check.report(resumes, begun.elapsed(), deadline)
}

/// Submits, and resumes through the next daemon until the final answer comes.
async fn follow(
    clients: &[RequestsClient<Channel>],
    index: usize,
    key: &str,
    submit: &SubmitRequest,
    check: &mut AnswerCheck,
    resumes: &mut u32,
    begun: Instant,
) {
    let mut next = index;
    loop {
        let mut client = clients[next % clients.len()].clone();
        next += 1;
        let stream = if check.token.is_empty() {
            // Without a token nothing is known of the first submission.
            let first_submission = next == index + 1;
            let submit = SubmitRequest {
                first_submission,
                ..submit.clone()
            };
            client.submit(with_key(submit, key)).await
        } else {
            *resumes += 1;
            let resume = ResumeRequest {
                resume_token: check.token.clone(),
                offset: check.position as u64,
                submit: Some(submit.clone()),
            };
            client.resume(with_key(resume, key)).await
        };
        if let Ok(stream) = stream {
            drain(stream.into_inner(), check, begun).await;
        }
        if check.last.is_some() {
            return;
        }
        tokio::time::sleep(RESUME_PAUSE).await;
    }
}

async fn drain(mut stream: Streaming<AnswerEvent>, check: &mut AnswerCheck, begun: Instant) {
    while let Ok(Some(event)) = stream.message().await {
        check.take(event, begun);
    }
}

fn with_key<T>(message: T, key: &str) -> Request<T> {
    let mut request = Request::new(message);
    if let Ok(value) = MetadataValue::try_from(format!("Bearer {key}")) {
        request.metadata_mut().insert("authorization", value);
    }
    request
}
