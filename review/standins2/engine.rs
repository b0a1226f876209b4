//! A stand-in of a model server that streams events at a steady pace.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{answer, read_message};

/// What a server did with one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub events: u32,
    /// Whether all events were written.
    pub is_whole: bool,
}

/// A running engine in the stage `decode`.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Engine {
    /// Starts an engine that makes `events` events, one every `pause`.
    pub fn start(id: &str, events: u32, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let (name, kept) = (id.to_owned(), runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, runs) = (name.clone(), kept.clone());
                thread::spawn(move || serve(stream, &name, &runs, events, pause));
            }
        });
        Self {
            id: id.to_owned(),
            address,
            runs,
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("a lock").clone()
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"hala-racice","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"sequence":1,"stage":"decode"}}"#,
            self.address
        )
    }
}

fn serve(mut stream: TcpStream, name: &str, runs: &Mutex<Vec<Run>>, events: u32, pause: Duration) {
    let _ = stream.set_nodelay(true);
    let mut pending = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut pending) {
        let json = "Content-Type: application/json\r\n";
        let go_on = match request.target() {
            "/-/report" => answer(&mut stream, 200, json, r#"{"stage":"decode","models":[],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":451179,"kvHandles":0}"#),
            "/-/kv-list" => answer(&mut stream, 200, json, r#"{"epoch":1,"next":0,"held":[]}"#),
            "/-/order" => answer(&mut stream, 400, json, "{}"),
            _ if request.header("x-expect-instance").is_some_and(|expected| expected != name) => {
                let head = format!("X-Instance-Id: {name}\r\nX-Not-Executed: 1\r\n");
                answer(&mut stream, 421, &head, "")
            }
            _ => {
                let id = request.header("x-attempt-id").unwrap_or("").to_owned();
                let is_prefill = request.header("x-serving-stage") == Some("prefill");
                if is_prefill {
                    let head = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
                    answer(&mut stream, 421, &head, "")
                } else {
                    run(&mut stream, name, &id, runs, events, pause)
                }
            }
        };
        if !go_on {
            return;
        }
    }
}

fn run(stream: &mut TcpStream, name: &str, id: &str, runs: &Mutex<Vec<Run>>, events: u32, pause: Duration) -> bool {
    let index = {
        let mut runs = runs.lock().expect("a lock");
        runs.push(Run {
            id: id.to_owned(),
            began: Instant::now(),
            ended: None,
            events: 0,
            is_whole: false,
        });
        runs.len() - 1
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Instance-Stamp: {name}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_whole = stream.write_all(head.as_bytes()).is_ok();
    for number in 1..=events {
        sleep(pause);
        let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_whole &= stream.write_all(chunk.as_bytes()).is_ok();
        if !is_whole {
            break;
        }
        runs.lock().expect("a lock")[index].events = number;
    }
    is_whole = is_whole && stream.write_all(b"0\r\n\r\n").is_ok();
    let mut runs = runs.lock().expect("a lock");
    runs[index].ended = Some(Instant::now());
    runs[index].is_whole = is_whole;
    is_whole
}
