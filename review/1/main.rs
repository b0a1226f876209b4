//! The holder of the duties is restarted as planned, its successor reports usage, and then the
//! store comes back from an older copy.

#[path = "../duties.rs"]
mod duties;
#[path = "../fleet.rs"]
mod fleet;
#[path = "../http.rs"]
mod http;
#[path = "../json.rs"]
mod json;
#[path = "../store.rs"]
mod store;

use std::net::SocketAddr;
use std::process::exit;
use std::thread::sleep;
use std::time::{Duration, Instant};

use duties::{Reports, STABLE};
use fleet::{Clients, Machine, Node, Record, SIGTERM, Scratch, Server, wait_for};
use store::{Mode, Store};

/// Time for which the store answers nothing in the drill.
const AWAY: Duration = Duration::from_millis(500);
/// Oldest copy that the case uses.
const MAX_COPY_AGE: Duration = Duration::from_secs(9);
/// Time for which the fleet is watched after the drill.
const WATCHED: Duration = Duration::from_secs(30);

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
    let platform = duties::start_platform(&reports, record);
    let store = Store::start();
    store.put("config", "main", &duties::config());
    let zones = ["hall-a", "hall-b", "hall-c"];
    for zone in zones {
        let id = format!("i-{zone}");
        Server::start(&id, "app", zone, &store, Duration::from_millis(15), record);
    }
    let deployment = duties::deployment(platform);
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
    fleet::wait_all_ready(&mut nodes)?;
    sleep(Duration::from_secs(2));
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.machine.directory).collect();
    let clients = Clients::start(
        directories,
        "hall-b",
        "/read/",
        Some("north-key"),
        10,
        record,
    );

    let count = || reports.lock().unwrap().len();
    if !wait_for(Duration::from_secs(30), || count() >= 2) {
        return Err("no usage was reported".to_owned());
    }
    let holder = reports.lock().unwrap()[0].holder.clone();
    // Planned work: the holder is stopped and started again.
    let at = nodes.iter().position(|node| node.machine.name == holder);
    let Some(at) = at else {
        return Err("the holder is unknown".to_owned());
    };
    let stopped = Instant::now();
    nodes[at].signal(SIGTERM);
    nodes[at].wait_end(Duration::from_secs(8));
    sleep(Duration::from_millis(300));
    nodes[at].start(false);

    let by_successor = || {
        let reports = reports.lock().unwrap();
        reports
            .iter()
            .find(|r| r.holder != holder && r.at > stopped)
            .cloned()
    };
    if !wait_for(Duration::from_secs(25), || by_successor().is_some()) {
        return Err("no successor reported usage".to_owned());
    }
    let first = by_successor().expect("a report of the successor");
    record.write(&format!(
        "{} has taken over with token {}",
        first.holder, first.token
    ));

    let mut excused = None;
    if trouble {
        // The newest copy without the successor's lease.
        let leases = store.history("leases", "duties");
        let held = leases.iter().find(|(_, spec)| {
            spec.as_ref()
                .is_some_and(|spec| spec.to_string().contains(&format!("\"{}\"", first.holder)))
        });
        let Some((taken, _)) = held else {
            return Err("the successor's lease was not found".to_owned());
        };
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
        store.put("config", "main", &duties::config());
        store.set_mode(Mode::Sound);
        let back = Instant::now();
        record.write(&format!(
            "the store is back from a copy that is {:.1} s old",
            age.as_secs_f64()
        ));
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
    // A window that was counted twice is a matter of its own.
    let found = duties::token_violations(&duties::counted(&reports, excused));
    for line in &found {
        record.write(&format!("broken: {line}"));
        println!("broken: {line}");
    }
    let answered = clients
        .attempts
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.status == 200)
        .count();
    println!(
        "{} reports, {answered} requests answered, {} violations",
        reports.len(),
        found.len()
    );
    Ok(i32::from(!found.is_empty()))
}
