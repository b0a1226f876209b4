//! Processes of the system, servers of a plain service, the operator, clients and the record.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reply};
use crate::json::Json;
use crate::store::Store;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Program and variable of the deploy file.
const PROGRAM: &str = "target/release/pistachiowick-node";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Option by which a process gets a signal when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn write(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {line}");
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// Addresses of one machine: all on loopback, the same at every start.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub internal: (u16, u16),
}

impl Machine {
    pub fn new(name: &str, zone: &str, index: u16) -> Self {
        let first = free_range(index);
        let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], first + offset));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: address(0),
            readiness: address(1),
            directory: address(2),
            internal: (first + 4, first + 15),
        }
    }
}

impl Machine {
    /// Address that other machines of the system connect to.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.internal.0))
    }

    /// Address at which other machines hand requests over.
    pub fn handovers(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.internal.0 + 2))
    }
}

// Returns the first of sixteen free ports. Each run begins at another place.
fn free_range(index: u16) -> u16 {
    let seed = (std::process::id() % 200) as u16 * 64;
    for round in 0..200_u16 {
        let first = 18_000 + (seed + index * 20 + round * 160) % 13_000;
        let free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
        if (first..first + 16).all(|port| free(&port)) {
            return first;
        }
    }
    panic!("no free ports");
}

/// Bounds and settings of a deployment, as the deploy file's template gets them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Rendered `bounds` of the template.
    pub bounds: String,
    /// Rendered `duties` of the template with a trailing comma, or nothing.
    pub duties: String,
    pub limits: String,
}

/// A process of the system.
pub struct Node {
    pub machine: Machine,
    deployment: Deployment,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
    starts: u32,
}

impl Node {
    pub fn new(
        machine: Machine,
        deployment: &Deployment,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        Self {
            machine,
            deployment: deployment.clone(),
            store,
            folder: folder.to_owned(),
            child: None,
            record: record.clone(),
            starts: 0,
        }
    }

    // The template `deploy/settings.json`, filled in.
    fn settings(&self, first_start: bool) -> String {
        let Machine {
            name,
            zone,
            callers,
            readiness,
            directory,
            internal,
        } = &self.machine;
        let Deployment {
            bounds,
            duties,
            limits,
        } = &self.deployment;
        let (store, (first, last)) = (self.store, internal);
        format!(
            r#"{{
  "daemon": "{name}", "ip": "127.0.0.1", "centre": "{zone}",
  "regions": {{"hall-a": "region", "hall-b": "region", "hall-c": "region"}},
  "listen": {{"callers": "{callers}", "readiness": "{readiness}", "directory": "{directory}"}},
  "internal_ports": [{first},{last}],
  "store": "{store}",
  "limits": {limits},
  {duties}
  "cache_inventory": {{"enabled": true}},
  "placement": {{"crossing_ms_per_kb": 2, "crossing_min_engines": 8}},
  "plain_queue": {{"enabled": true}},
  "first_start": {first_start},
  "bounds": {bounds}
}}"#
        )
    }

    pub fn start(&mut self, first_start: bool) {
        self.starts += 1;
        let name = &self.machine.name;
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, self.settings(first_start)).expect("settings can be written");
        let log = self.folder.join(format!("{name}-{}.log", self.starts));
        let output = File::create(log).expect("a log can be written");
        let errors = output.try_clone().expect("a second handle");
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PISTACHIOWICK_BOOT", &settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                command.env(variable, value);
            }
        }
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        // No process is left behind if the case itself is killed.
        // SAFETY: the call between fork and exec allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the deployed program starts"));
        self.record.write(&format!("{name} started"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and is not waited for elsewhere.
            unsafe { kill(child.id() as i32, signal) };
            self.record
                .write(&format!("{} gets signal {signal}", self.machine.name));
        }
    }

    /// Waits until the process has ended; kills it after `grace`.
    pub fn wait_end(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        while Instant::now() < until && !self.has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        if !self.has_ended() {
            self.signal(SIGKILL);
            if let Some(child) = &mut self.child {
                let _ = child.wait();
            }
        }
        self.child = None;
        self.record.write(&format!("{} ended", self.machine.name));
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /-/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n";
        let page = http::call(self.machine.readiness, head, b"", Duration::from_secs(1));
        page.is_ok_and(|page| page.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        wait_for(limit, || self.is_ready())
    }

    /// Returns the answer of the directory.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        resolve(self.machine.directory, &self.machine.zone)
    }

    pub fn log(&self) -> String {
        let name = format!("{}-{}.log", self.machine.name, self.starts);
        fs::read_to_string(self.folder.join(name)).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Asks a directory for the addresses that clients may use.
pub fn resolve(directory: SocketAddr, zone: &str) -> Vec<SocketAddr> {
    let head = format!(
        "GET /-/resolve?name=shop.example&region=region&zone={zone} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n"
    );
    let Ok(page) = http::call(directory, &head, b"", Duration::from_secs(1)) else {
        return Vec::new();
    };
    let body = Json::parse(&page.body_text()).unwrap_or(Json::Null);
    let addresses = body.get("addresses").map_or(&[][..], Json::items);
    addresses
        .iter()
        .filter_map(|a| a.text()?.parse().ok())
        .collect()
}

/// Waits until all machines are ready.
///
/// # Errors
///
/// Returns why the case cannot run: a process that ended may have found its ports taken.
pub fn wait_all_ready(nodes: &mut [Node]) -> Result<(), String> {
    for node in nodes {
        if !node.wait_ready(Duration::from_secs(10)) || node.has_ended() {
            return Err(format!("{} is not ready", node.machine.name));
        }
    }
    Ok(())
}

pub fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// A server of a plain service. Its entry in the store changes every 1,200 ms.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<(Instant, String)>>>,
    draining: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        work: Duration,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            runs: Arc::default(),
            draining: Arc::default(),
            gone: Arc::default(),
            sequence: Arc::default(),
        };
        let (running, log) = (server.clone(), record.clone());
        http::serve(
            listener,
            Arc::new(move |request| running.answer(request, work, &log)),
        );
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            while !beating.gone.load(Ordering::Relaxed) {
                beating.beat(&store);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    fn answer(&self, request: &Message, work: Duration, record: &Record) -> Reply {
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        if request.path() == "/healthz" {
            return Reply::Answer(200, vec![header("X-Instance-Id", &self.id)], Vec::new());
        }
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let headers = vec![
                header("X-Instance-Id", &self.id),
                header("X-Attempt-Id", &attempt),
            ];
            return Reply::Answer(421, headers, Vec::new());
        }
        record.write(&format!(
            "{} runs {attempt} for tenant {}",
            self.id,
            request.header("x-tenant").unwrap_or("-")
        ));
        self.runs
            .lock()
            .unwrap()
            .push((Instant::now(), attempt.clone()));
        thread::sleep(work);
        let headers = vec![
            header("X-Attempt-Id", &attempt),
            header("X-Instance-Stamp", &format!("{}.{attempt}", self.id)),
        ];
        Reply::Answer(200, headers, vec![b'x'; 800])
    }

    /// Writes the entry, as the server does at its start and with each heartbeat.
    pub fn beat(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let Self {
            service,
            zone,
            address,
            ..
        } = self;
        store.put("servers", &self.id, &Json::of(&format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"sequence":{sequence}}}"#
        )));
    }
}

/// One attempt of a client and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent: Instant,
    pub id: String,
    pub status: u16,
}

/// Sends requests at an even rate, each on a connection of its own to an address of the directory.
pub struct Clients {
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    pub fn start(
        directories: Vec<SocketAddr>,
        zone: &str,
        path: &str,
        key: Option<&str>,
        per_s: u32,
        record: &Record,
    ) -> Self {
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        let (all, ended, record, zone, path) = (
            attempts.clone(),
            stop.clone(),
            record.clone(),
            zone.to_owned(),
            path.to_owned(),
        );
        let key = key.map_or(String::new(), |key| format!("X-Api-Key: {key}\r\n"));
        thread::spawn(move || {
            let mut number = 0_u64;
            let mut known: Vec<SocketAddr> = Vec::new();
            let mut resolved = None;
            while !ended.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(u64::from(1_000 / per_s.max(1))));
                number += 1;
                if resolved.is_none_or(|at: Instant| at.elapsed() > Duration::from_secs(2)) {
                    let answers = directories.iter().map(|d| resolve(*d, &zone));
                    if let Some(fresh) = answers.into_iter().find(|a| !a.is_empty()) {
                        known = fresh;
                        resolved = Some(Instant::now());
                    }
                }
                if known.is_empty() {
                    continue;
                }
                let address = known[number as usize % known.len()];
                let id = format!("{zone}-{number}");
                let head = format!(
                    "GET {path}{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{key}Connection: close\r\n"
                );
                let (all, record) = (all.clone(), record.clone());
                thread::spawn(move || {
                    let sent = Instant::now();
                    record.write(&format!("client sends {id} to {address}"));
                    let answer = http::call(address, &head, b"", Duration::from_millis(2_500));
                    let status = answer.as_ref().map_or(0, Message::status);
                    let text = answer.map_or_else(|e| e, |a| a.status().to_string());
                    record.write(&format!("client gets {text} for {id}"));
                    all.lock().unwrap().push(Attempt { sent, id, status });
                });
            }
        });
        Self { attempts, stop }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Clients that come and go. Each begins without an address, asks up to three directories, nearest
/// first, keeps the answer for two seconds and longer if it gets no new one, and sends two requests
/// a second, each on a connection of its own, to one of the addresses.
pub struct Visitors {
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
}

impl Visitors {
    pub fn start(
        directories: Vec<SocketAddr>,
        zone: &str,
        path: &str,
        count: u32,
        stay: Duration,
        record: &Record,
    ) -> Self {
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        for place in 0..count {
            let (all, ended, record) = (attempts.clone(), stop.clone(), record.clone());
            let (directories, zone, path) = (directories.clone(), zone.to_owned(), path.to_owned());
            thread::spawn(move || {
                // Clients do not all come at the same moment.
                let mut life = stay * (place + 1) / count;
                let mut number = 0;
                while !ended.load(Ordering::Relaxed) {
                    number += 1;
                    let name = format!("client-{place}-{number}");
                    visit(
                        &name,
                        &directories,
                        &zone,
                        &path,
                        life,
                        &all,
                        &ended,
                        &record,
                    );
                    life = stay;
                }
            });
        }
        Self { attempts, stop }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

#[allow(clippy::too_many_arguments)]
fn visit(
    name: &str,
    directories: &[SocketAddr],
    zone: &str,
    path: &str,
    life: Duration,
    all: &Mutex<Vec<Attempt>>,
    ended: &AtomicBool,
    record: &Record,
) {
    let born = Instant::now();
    let mut known: Vec<SocketAddr> = Vec::new();
    let mut asked: Option<Instant> = None;
    let mut number = 0;
    while born.elapsed() < life && !ended.load(Ordering::Relaxed) {
        if asked.is_none_or(|at| at.elapsed() > Duration::from_secs(2)) {
            let fresh = directories
                .iter()
                .take(3)
                .map(|d| resolve(*d, zone))
                .find(|a| !a.is_empty());
            match fresh {
                Some(fresh) => {
                    known = fresh;
                    asked = Some(Instant::now());
                }
                None => record.write(&format!("{name} gets no address from any directory")),
            }
        }
        number += 1;
        let sent = Instant::now();
        let id = format!("{name}-{number}");
        let status = if known.is_empty() {
            0
        } else {
            let address = known[number % known.len()];
            record.write(&format!("{name} sends {id} to {address}"));
            let head = format!(
                "GET {path}{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n"
            );
            let answer = http::call(address, &head, b"", Duration::from_millis(2_000));
            let whole = answer
                .as_ref()
                .is_ok_and(|a| a.header("x-instance-stamp").is_some() && a.body.len() == 800);
            let status = answer.as_ref().map_or(0, Message::status);
            record.write(&format!(
                "{name} gets {} for {id}",
                answer.map_or_else(|e| e, |a| a.status().to_string())
            ));
            if status == 200 && !whole { 0 } else { status }
        };
        all.lock().unwrap().push(Attempt { sent, id, status });
        thread::sleep(Duration::from_millis(500).saturating_sub(sent.elapsed()));
    }
}

/// The folder of a case, from the first argument, and whether the disruption takes place.
pub fn arguments() -> (PathBuf, bool) {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    (PathBuf::from(folder), trouble)
}

/// A temporary folder that is removed with the process.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self(folder)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
