//! The holder of the duties is restarted as planned, its successor reports usage, and then the
//! store comes back from an older copy.

#[path = "../standins/fleet.rs"]
mod fleet;
#[path = "../standins/http.rs"]
mod http;
#[path = "../standins/json.rs"]
mod json;
#[path = "../standins/store.rs"]
mod store;

use std::net::{SocketAddr, TcpListener};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use fleet::{Clients, Deployment, Machine, Node, Record, SIGTERM, Scratch, Server, wait_for};
use http::{Message, Reply};
use json::Json;
use store::{Mode, Store};

/// Bounds of the site `srp-veslo-now-grown`, in milliseconds.
const STABLE: Duration = Duration::from_millis(4_000);
const LEASE: Duration = Duration::from_millis(3_000);
/// Time for which the store answers nothing in the drill.
const AWAY: Duration = Duration::from_millis(500);
/// Oldest copy that the case uses.
const MAX_COPY_AGE: Duration = Duration::from_secs(9);
/// Time for which the fleet is watched after the drill.
const WATCHED: Duration = Duration::from_secs(30);

/// A usage report as it reached the platform.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    holder: String,
    token: u64,
    window: u64,
    counts: String,
}

type Reports = Arc<Mutex<Vec<Report>>>;

fn start_platform(reports: &Reports, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (reports, record) = (reports.clone(), record.clone());
    let handler = move |request: &Message| {
        let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        let report = Report {
            at: Instant::now(),
            holder: header("x-duty-holder"),
            token: header("x-fencing-token").parse().unwrap_or(0),
            window: body.get("windowId").and_then(Json::number).unwrap_or(0),
            counts: body.get("counts").map_or_else(String::new, Json::to_string),
        };
        record.write(&format!(
            "platform gets {} of window {} from {} with token {}: {}",
            request.path(), report.window, report.holder, report.token, report.counts
        ));
        reports.lock().unwrap().push(report);
        Reply::Answer(200, Vec::new(), b"{}".to_vec())
    };
    http::serve(listener, Arc::new(handler));
    address
}

fn config() -> Json {
    Json::of(
        r#"{"version":7,
        "routes":[{"name":"read","host":"shop.example","pathPrefix":"/read/","type":"safe","timeoutMs":1500,"sloMs":120,"priority":2,"service":"app","attempts":2,"public":false,"resumable":false}],
        "services":[{"name":"app","healthPath":"/healthz","maxConns":470,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"north","apiKeys":["north-key"]}]}"#,
    )
}

fn deployment(platform: SocketAddr) -> Deployment {
    Deployment {
        bounds: r#"{"stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_allowance": 178, "repeat_window_s": 10,
            "directory_keep_s": 5, "config_within_ms": 3000, "departure_within_ms": 3000,
            "target_heartbeat_ms": 1200, "revoked_within_ms": 5000}"#
            .to_owned(),
        duties: format!(
            r#""duties": {{"address": "{platform}", "usage_window_s": 5, "usage_due_s": 10, "turn_ms": 3000}},"#
        ),
        limits: r#"{"cpu_share": 0.5, "core_speed": 1, "memory_mb": 512, "link_mbps": 200}"#.to_owned(),
    }
}

// Returns what breaks the rule among the reports that count.
fn violations(reports: &[Report], excused: Option<(Instant, Instant)>) -> Vec<String> {
    let counts = |report: &&Report| excused.is_none_or(|(from, to)| report.at < from || report.at > to);
    let reports: Vec<&Report> = reports.iter().filter(counts).collect();
    let mut found = Vec::new();
    for (index, later) in reports.iter().enumerate() {
        for earlier in &reports[..index] {
            if earlier.token == later.token && earlier.holder != later.holder {
                found.push(format!(
                    "two holders sent token {}: {} and later {}", later.token, earlier.holder, later.holder
                ));
            }
            if earlier.token > later.token {
                found.push(format!(
                    "token {} of {} came after token {} of {}", later.token, later.holder, earlier.token, earlier.holder
                ));
            }
            if earlier.window == later.window && earlier.counts != later.counts {
                found.push(format!(
                    "window {} was reported as {} and as {}", later.window, earlier.counts, later.counts
                ));
            }
        }
    }
    for three in reports.windows(3) {
        let [a, b, c] = three else { continue };
        if a.holder == c.holder && a.holder != b.holder && c.at - a.at < LEASE {
            found.push(format!("{}, {} and {} acted within a lease", a.holder, b.holder, c.holder));
        }
    }
    found.dedup();
    found
}

fn main() {
    let (folder, trouble) = fleet::arguments();
    let record = Record::create(&folder);
    // All processes are ended when `run` returns.
    exit(run(&record, trouble).unwrap_or_else(|reason| {
        record.write(&format!("could not run: {reason}"));
        println!("could not run: {reason}");
        2
    }));
}

fn run(record: &Record, trouble: bool) -> Result<i32, String> {
    let scratch = Scratch::create();
    let reports = Reports::default();
    let platform = start_platform(&reports, record);
    let store = Store::start();
    store.put("config", "main", &config());
    let zones = ["hall-a", "hall-b", "hall-c"];
    for zone in zones {
        let id = format!("i-{zone}");
        Server::start(&id, "app", zone, &store, Duration::from_millis(15), record);
    }
    let deployment = deployment(platform);
    let mut nodes: Vec<Node> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let machine = Machine::new(&format!("frontend-{zone}-1"), zone, index as u16);
            Node::new(machine, &deployment, store.address, &scratch.0, record)
        })
        .collect();
    for node in &mut nodes {
        node.start(true);
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(10))) {
        return Err("the processes are not ready".to_owned());
    }
    sleep(Duration::from_secs(2));
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.machine.directory).collect();
    let clients = Clients::start(directories, "hall-b", "/read/", Some("north-key"), 10, record);

    let count = || reports.lock().unwrap().len();
    if !wait_for(Duration::from_secs(30), || count() >= 2) {
        return Err("no usage was reported".to_owned());
    }
    let holder = reports.lock().unwrap()[0].holder.clone();
    // Planned work: the holder is stopped and started again.
    let at = nodes.iter().position(|node| node.machine.name == holder);
    let Some(at) = at else { return Err("the holder is unknown".to_owned()) };
    let stopped = Instant::now();
    nodes[at].signal(SIGTERM);
    nodes[at].wait_end(Duration::from_secs(8));
    sleep(Duration::from_millis(300));
    nodes[at].start(false);

    let by_successor = || {
        let reports = reports.lock().unwrap();
        reports.iter().find(|r| r.holder != holder && r.at > stopped).cloned()
    };
    if !wait_for(Duration::from_secs(25), || by_successor().is_some()) {
        return Err("no successor reported usage".to_owned());
    }
    let first = by_successor().expect("a report of the successor");
    record.write(&format!("{} has taken over with token {}", first.holder, first.token));

    let mut excused = None;
    if trouble {
        // The newest copy without the successor's lease.
        let leases = store.history("leases", "duties");
        let held = leases.iter().find(|(_, spec)| {
            spec.as_ref().is_some_and(|spec| spec.to_string().contains(&format!("\"{}\"", first.holder)))
        });
        let Some((taken, _)) = held else { return Err("the successor's lease was not found".to_owned()) };
        let copy = *taken - Duration::from_millis(1);
        let began = Instant::now();
        store.set_mode(Mode::Busy);
        sleep(AWAY);
        let age = copy.elapsed();
        if age > MAX_COPY_AGE {
            return Err(format!("the copy would be {age:?} old"));
        }
        store.restore(copy);
        // The operator writes its configuration again, the servers their entries.
        store.put("config", "main", &config());
        store.set_mode(Mode::Sound);
        let back = Instant::now();
        record.write(&format!("the store is back from a copy that is {:.1} s old", age.as_secs_f64()));
        excused = Some((began, back + STABLE));
    } else {
        sleep(AWAY);
    }
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        sleep(Duration::from_millis(200));
    }
    clients.stop();
    sleep(Duration::from_millis(500));
    let reports = reports.lock().unwrap().clone();
    let found = violations(&reports, excused);
    for line in &found {
        record.write(&format!("broken: {line}"));
        println!("broken: {line}");
    }
    let answered = clients.attempts.lock().unwrap().iter().filter(|a| a.status == 200).count();
    println!("{} reports, {answered} requests answered, {} violations", reports.len(), found.len());
    Ok(i32::from(!found.is_empty()))
}
