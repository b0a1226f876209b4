//! Three processes before model servers; prompts with one part in common crash each server that begins to
//! answer them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::{Engine, EngineTimes};
use crate::fleet::{Deployment, Machine, Node, Record, Scratch};
use crate::json::Json;
use crate::store::Store;

/// Bounds of the site `kr-stores`.
const STABLE: Duration = Duration::from_millis(3_000);
/// Crashes after which such requests must not be sent, and how many may be later than `STABLE`.
const CRASHES: usize = 5;
const MAX_LATER: usize = 3;
/// Part under which servers crash.
const PART: &str = "fa11";
/// Time between two prompts with the part: 4.6 a second, as servers ended in the users' record.
const PART_INTERVAL: Duration = Duration::from_millis(217);
const PART_TIME: Duration = Duration::from_secs(25);
/// Time between two other prompts.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);

fn config() -> Json {
    Json::of(
        r#"{"version":7,
        "routes":[{"name":"ask","host":"shop.example","pathPrefix":"/ask/","type":"streaming","timeoutMs":10000,"sloMs":500,"gapSloMs":300,"priority":0,"service":"llm","attempts":1,"sticky":true,"resumable":false}],
        "services":[{"name":"llm","healthPath":"/healthz","maxConns":620,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":615083}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#,
    )
}

fn deployment() -> Deployment {
    Deployment {
        bounds: r#"{"stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_allowance": 56, "repeat_window_s": 10,
            "directory_keep_s": 5, "config_within_ms": 2000, "departure_within_ms": 2000,
            "target_heartbeat_ms": 1200}"#
            .to_owned(),
        duties: String::new(),
        limits: r#"{"cpu_share": 0.25, "core_speed": 1, "memory_mb": 260, "link_mbps": 1000}"#.to_owned(),
    }
}

// Sends prompts at an even rate to the machines in turn; returns when told to stop.
fn send(
    name: &'static str,
    parts: &'static str,
    every: Duration,
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU32>,
    record: Record,
) {
    thread::spawn(move || {
        let mut number = 0_usize;
        while !stop.load(Ordering::Relaxed) {
            sleep(every);
            number += 1;
            let address = addresses[number % addresses.len()];
            let id = format!("{name}-{number}");
            let body = format!("prompt {id}");
            let head = format!(
                "POST /ask/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\nX-Token-Usage: 1460,29\r\nX-Prompt-Prefix: {parts},{number:x}77:110\r\nConnection: close\r\n"
            );
            let (served, record) = (served.clone(), record.clone());
            thread::spawn(move || {
                record.write(&format!("client sends {id} to {address}"));
                let answer =
                    crate::http::call(address, &head, body.as_bytes(), Duration::from_secs(11));
                if answer.as_ref().is_ok_and(|a| a.status() == 200) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                record.write(&format!(
                    "client gets {} for {id}",
                    answer.map_or_else(|e| e, |a| a.status().to_string())
                ));
            });
        }
    });
}

/// The servers of a run.
pub struct Servers {
    pub count: u32,
    /// Time between two events of a stream.
    pub pause: Duration,
    /// Whether their answers end with their connections.
    pub closes: bool,
}

/// Returns 1 if the rule was broken, and 0 if it held.
pub fn run(servers: &Servers, record: &Record, trouble: bool) -> Result<i32, String> {
    let scratch = Scratch::create();
    let times = EngineTimes {
        first: Duration::from_millis(150),
        pause: servers.pause,
        events: 29,
        crash: Duration::from_millis(30),
        down: Duration::from_millis(3_000),
        closes: servers.closes,
    };
    let store = Store::start();
    store.put("config", "main", &config());
    let zones = ["hall-a", "hall-b", "hall-c"];
    let engines: Vec<Engine> = (0..servers.count)
        .map(|n| Engine::start(n, zones[n as usize % 3], PART, times, &store, record))
        .collect();
    let mut nodes: Vec<Node> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let machine = Machine::new(&format!("frontend-{zone}-1"), zone, index as u16);
            Node::new(machine, &deployment(), store.address, &scratch.0, record)
        })
        .collect();
    for node in &mut nodes {
        node.start(true);
    }
    crate::fleet::wait_all_ready(&mut nodes)?;
    sleep(Duration::from_secs(3));
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.machine.callers).collect();
    let (stop, stop_part) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (served, served_part) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    send(
        "sound",
        "5c1e:350,0b0e:1000",
        SOUND_INTERVAL,
        addresses.clone(),
        stop.clone(),
        served.clone(),
        record.clone(),
    );
    sleep(Duration::from_secs(5));
    if trouble {
        send(
            "part",
            "5c1e:350,fa11:1000",
            PART_INTERVAL,
            addresses,
            stop_part.clone(),
            served_part,
            record.clone(),
        );
    }
    sleep(PART_TIME);
    stop_part.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(1));
    let mut crashes: Vec<Instant> = engines.iter().flat_map(Engine::crashes).collect();
    crashes.sort();
    let bound = crashes.get(CRASHES - 1).map(|fifth| *fifth + STABLE);
    let arrivals: Vec<_> = engines.iter().flat_map(Engine::arrivals).collect();
    let later = arrivals
        .iter()
        .filter(|a| a.has_part && bound.is_some_and(|bound| a.at > bound))
        .count();
    let quarantined: usize = nodes
        .iter()
        .map(|node| {
            node.log()
                .matches("prompts with a part are quarantined")
                .count()
        })
        .sum();
    let summary = format!(
        "{} crashes, {later} requests with the part reached servers later than {} ms after the fifth; quarantined at {quarantined} of {} machines; {} sound requests served",
        crashes.len(),
        STABLE.as_millis(),
        nodes.len(),
        served.load(Ordering::Relaxed)
    );
    record.write(&summary);
    println!("{summary}");
    if !trouble && served.load(Ordering::Relaxed) == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(i32::from(later > MAX_LATER))
}
