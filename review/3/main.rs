//! A machine is cut off from the others at the end of a window, whose usage is reported without its last
//! requests. Once the cut has healed, the store comes back from a copy without the record of that report.

#[path = "../duties.rs"]
mod duties;
#[path = "../fleet.rs"]
mod fleet;
#[path = "../http.rs"]
mod http;
#[path = "../json.rs"]
mod json;
#[path = "../proxy.rs"]
mod proxy;
#[path = "../store.rs"]
mod store;

use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use duties::{Reports, STABLE, WINDOW};
use fleet::{Clients, Machine, Node, Record, Scratch, Server, wait_for};
use proxy::Proxy;
use store::{Mode, Store};

/// Time for which the store answers nothing in the drill.
const AWAY: Duration = Duration::from_millis(500);
/// Oldest copy that the case uses.
const MAX_COPY_AGE: Duration = Duration::from_secs(9);
/// Time for which the machine is cut off, and how long before the end of the window it begins.
const CUT: Duration = Duration::from_millis(5_500);
const BEFORE_END: Duration = Duration::from_millis(3_000);
/// Time after the cut in which the machine's counts reach the others.
const AFTER_CUT: Duration = Duration::from_millis(1_500);
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
        for number in 1..=2 {
            let id = format!("i-{zone}-{number}");
            Server::start(&id, "app", zone, &store, Duration::from_millis(15), record);
        }
    }
    let deployment = duties::deployment(platform);
    let machines: Vec<Machine> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| Machine::new(&format!("frontend-{zone}-1"), zone, index as u16))
        .collect();
    // Links from and to the last machine go through proxies.
    let cut = Arc::new(AtomicBool::new(false));
    let last = machines.len() - 1;
    let replaced = |from: usize| {
        let peers = machines.iter().enumerate();
        let peers = peers.filter(|(to, _)| *to != from && (*to == last || from == last));
        let proxied = peers.flat_map(|(_, machine)| [machine.peers(), machine.handovers()]);
        proxied
            .map(|at| (at.to_string(), Proxy::start(at, &cut).address.to_string()))
            .collect()
    };
    let doors: Vec<SocketAddr> = (0..machines.len())
        .map(|from| store.door(replaced(from)))
        .collect();
    let mut nodes: Vec<Node> = machines
        .iter()
        .zip(doors)
        .map(|(machine, door)| Node::new(machine.clone(), &deployment, door, &scratch.0, record))
        .collect();
    for node in &mut nodes {
        node.start(true);
    }
    fleet::wait_all_ready(&mut nodes)?;
    sleep(Duration::from_secs(2));
    let directories: Vec<SocketAddr> = nodes.iter().map(|node| node.machine.directory).collect();
    let clients: Vec<Clients> = zones
        .iter()
        .map(|zone| {
            Clients::start(
                directories.clone(),
                zone,
                "/read/",
                Some("north-key"),
                10,
                record,
            )
        })
        .collect();

    let count = || reports.lock().unwrap().len();
    if !wait_for(Duration::from_secs(30), || count() >= 2) {
        return Err("no usage was reported".to_owned());
    }
    let holder = reports.lock().unwrap()[0].holder.clone();
    if nodes[last].machine.name == holder {
        return Err("the last machine holds the duties".to_owned());
    }
    // The last machine is cut off from the others; clients, servers and the store reach it.
    sleep_into_window(WINDOW - BEFORE_END);
    let window = now_ms() / WINDOW.as_millis() as u64;
    if trouble {
        cut.store(true, Ordering::Relaxed);
        record.write(&format!(
            "{} is cut off from the other machines",
            nodes[last].machine.name
        ));
    }
    sleep(CUT);
    cut.store(false, Ordering::Relaxed);
    record.write("the cut has healed");
    sleep(AFTER_CUT);
    let is_reported = || reports.lock().unwrap().iter().any(|r| r.window == window);
    if !wait_for(Duration::from_secs(6), is_reported) {
        return Err("the window was not reported".to_owned());
    }

    let mut excused = None;
    if trouble {
        // The newest copy without the record of the window.
        let ledger = store.history("pistachiowick-duties", "usage");
        let key = format!("\"{window}\"");
        let recorded = ledger.iter().find(|(_, spec)| {
            spec.as_ref()
                .is_some_and(|spec| spec.to_string().contains(&key))
        });
        let Some((recorded, _)) = recorded else {
            return Err("the record of the window was not found".to_owned());
        };
        let copy = *recorded - Duration::from_millis(1);
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
    clients.iter().for_each(Clients::stop);
    sleep(Duration::from_millis(500));
    let reports = reports.lock().unwrap().clone();
    // Tokens that are used twice are a matter of their own.
    let found = duties::count_violations(&duties::counted(&reports, excused));
    for line in &found {
        record.write(&format!("broken: {line}"));
        println!("broken: {line}");
    }
    let answered: usize = clients
        .iter()
        .map(|c| {
            c.attempts
                .lock()
                .unwrap()
                .iter()
                .filter(|a| a.status == 200)
                .count()
        })
        .sum();
    println!(
        "{} reports, {answered} requests answered, {} violations",
        reports.len(),
        found.len()
    );
    Ok(i32::from(!found.is_empty()))
}

fn now_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

// Sleeps until the present or the next window has run for `span`.
fn sleep_into_window(span: Duration) {
    let window = WINDOW.as_millis() as u64;
    let into = now_ms() % window;
    let wait = (window + span.as_millis() as u64 - into) % window;
    sleep(Duration::from_millis(wait));
}
