//! Settings with a longer grace of stops come into force; then a machine is stopped.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::read_head;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// Grace of the settings at the start, and `graceS` of the sheet, in force at the stop.
const EARLIER_GRACE_S: u32 = 5;
const GRACE_S: u32 = 8;
const STABLE: Duration = Duration::from_millis(3_000);
/// Times of the requests, from the SIGTERM.
const SENT_AFTER: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(800),
    Duration::from_millis(1_100),
];
/// A `lane-summary` has 24.6 events on average; a pause of 300 ms between two is in time.
const EVENTS: u32 = 24;
const PAUSE: Duration = Duration::from_millis(200);
/// Deadline of the callers and `timeoutMs` of the route.
const DEADLINE_MS: u64 = 8_000;

struct Answer {
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    is_whole: bool,
}

/// Plays the case; returns whether the rule was broken.
pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::new(folder);
    let store = Store::start();
    let engines: Vec<Engine> = (0..4).map(|number| Engine::start(&format!("i-{number}"), EVENTS, PAUSE)).collect();
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry("jazyk-pool"));
    }
    store.put("config", "main", &configuration());
    let work = std::env::temp_dir().join(format!("review2-grace-{}", std::process::id()));
    std::fs::create_dir_all(&work).map_err(|error| error.to_string())?;
    let first_grace = if has_trouble { EARLIER_GRACE_S } else { GRACE_S };
    let mut nodes: Vec<Node> = (1..=3)
        .map(|number| Node::start(&format!("frontend-{number}"), store.address, &work, first_grace))
        .collect();
    if !nodes.iter().all(Node::await_ready) {
        return Err("a process did not become ready".to_owned());
    }
    record.note(&format!("3 processes are ready; graceS in their settings is {first_grace}"));
    sleep(STABLE + Duration::from_secs(1));
    if has_trouble {
        for node in &nodes {
            node.change_grace(GRACE_S);
            node.signal("-HUP");
        }
        record.note(&format!("settings files changed to graceS {GRACE_S}, SIGHUP sent to all"));
    }
    sleep(STABLE + Duration::from_secs(2));
    let callers = nodes[0].callers;
    let stopped = Instant::now();
    nodes[0].signal("-TERM");
    record.note("SIGTERM sent to frontend-1");
    let requests: Vec<_> = SENT_AFTER
        .iter()
        .enumerate()
        .map(|(number, after)| {
            let (id, at) = (format!("a{number:015x}"), stopped + *after);
            thread::spawn(move || {
                sleep(at.saturating_duration_since(Instant::now()));
                ask(callers, &id)
            })
        })
        .collect();
    // The platform kills a process that has not ended after the grace.
    let kill_at = stopped + Duration::from_secs(u64::from(GRACE_S));
    while Instant::now() < kill_at && !nodes[0].has_ended() {
        sleep(Duration::from_millis(5));
    }
    let ended = Instant::now();
    if nodes[0].has_ended() {
        record.note(&format!("frontend-1 ended by itself, {:.2} s after the SIGTERM", (ended - stopped).as_secs_f64()));
    } else {
        nodes[0].signal("-KILL");
        record.note("SIGKILL sent to frontend-1");
    }
    let answers: Vec<Answer> = requests.into_iter().map(|request| request.join().expect("a client")).collect();
    sleep(Duration::from_millis(500));
    let last_sixth = stopped + Duration::from_millis(u64::from(GRACE_S) * 1_000 * 5 / 6);
    let mut broken = 0;
    for answer in &answers {
        record.note_at(answer.sent, &format!("{} sent to frontend-1", answer.id));
        let whole = if answer.is_whole { "whole" } else { "cut" };
        record.note_at(answer.ended, &format!("{} answered {}, {whole}", answer.id, answer.status));
        let run = engines.iter().flat_map(Engine::runs).find(|run| run.id == answer.id);
        if let Some(run) = &run {
            record.note_at(run.began, &format!("{} reaches a server", answer.id));
            let at = run.ended.unwrap_or(run.began);
            record.note_at(at, &format!("{} ends at its server after {} of {EVENTS} events, whole: {}", answer.id, run.events, run.is_whole));
        }
        // A refusal is an answer; a cut in the last sixth of the grace is excused.
        let is_cut = !answer.is_whole && answer.ended < last_sixth;
        if is_cut && run.is_some() {
            broken += 1;
        }
    }
    record.note(&format!("{broken} of {} requests were passed on and cut before the last sixth of graceS", answers.len()));
    if answers.iter().all(|answer| answer.status == 0) {
        return Err("no request was read".to_owned());
    }
    drop(nodes);
    let _ = std::fs::remove_dir_all(&work);
    Ok(broken > 0)
}

fn ask(address: SocketAddr, id: &str) -> Answer {
    let sent = Instant::now();
    let (status, is_whole) = exchange(address, id).unwrap_or((0, false));
    Answer {
        id: id.to_owned(),
        sent,
        ended: Instant::now(),
        status,
        is_whole,
    }
}

fn exchange(address: SocketAddr, id: &str) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
    let body = "lane 4, heat 2";
    let request = format!(
        "POST /lane/1 HTTP/1.1\r\nHost: regata.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 1460,{EVENTS}\r\nX-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,{id}:1110\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut pending = Vec::new();
    let head = read_head(&mut stream, &mut pending)?;
    if head.header("transfer-encoding") != Some("chunked") {
        return Some((head.status(), true));
    }
    loop {
        if pending.ends_with(b"\r\n0\r\n\r\n") {
            return Some((head.status(), true));
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return Some((head.status(), false)),
            Ok(count) => pending.extend_from_slice(&buffer[..count]),
        }
    }
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"lane-summary","host":"regata.example","pathPrefix":"/lane/","type":"streaming","timeoutMs":{DEADLINE_MS},"sloMs":500,"gapSloMs":300,"priority":0,"service":"jazyk-pool","attempts":1,"sticky":true}}],"services":[{{"name":"jazyk-pool","maxConns":360,"engine":{{"slots":64,"kvCapacity":451179}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}
