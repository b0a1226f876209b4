//! A model server that streams events and crashes under prompts with a marked part: it begins to write
//! the answer, ends with all its connections, and is back later at its address under a new id.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::Record;
use crate::http::{Message, read_message};
use crate::json::Json;
use crate::store::Store;

/// Times of an answer, and of a crash.
#[derive(Clone, Copy, Debug)]
pub struct EngineTimes {
    /// From the arrival to the first event.
    pub first: Duration,
    /// Between two events.
    pub pause: Duration,
    pub events: u32,
    /// From the first event to the crash.
    pub crash: Duration,
    /// Until the server is back.
    pub down: Duration,
    /// Whether answers have neither a length nor chunks and end with their connection.
    pub closes: bool,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub has_part: bool,
}

struct State {
    number: u32,
    zone: String,
    part: String,
    times: EngineTimes,
    store: Store,
    record: Record,
    address: SocketAddr,
    incarnation: AtomicU32,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    crashes: Mutex<Vec<Instant>>,
}

#[derive(Clone)]
pub struct Engine(Arc<State>);

impl Engine {
    pub fn start(
        number: u32,
        zone: &str,
        part: &str,
        times: EngineTimes,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let engine = Self(Arc::new(State {
            number,
            zone: zone.to_owned(),
            part: part.to_owned(),
            times,
            store: store.clone(),
            record: record.clone(),
            address,
            incarnation: AtomicU32::new(1),
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
        }));
        engine.register();
        let running = engine.clone();
        thread::spawn(move || running.run(listener));
        engine
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.0.crashes.lock().unwrap().clone()
    }

    fn id(&self) -> String {
        format!(
            "i-{}-{}",
            self.0.number,
            self.0.incarnation.load(Ordering::SeqCst)
        )
    }

    fn register(&self) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let State {
            zone,
            address,
            store,
            ..
        } = &*self.0;
        store.put("servers", &self.id(), &Json::of(&format!(
            r#"{{"service":"llm","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"sequence":1,"born":{born}}}"#
        )));
    }

    // Serves until a crash, then closes the port for a time.
    fn run(&self, first: TcpListener) {
        let mut listener = first;
        loop {
            listener
                .set_nonblocking(true)
                .expect("a listener without blocking");
            while !self.0.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let engine = self.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1))
                    }
                    Err(_) => {}
                }
            }
            drop(listener);
            let gone = self.id();
            // Its entry lapses after three heartbeats of silence.
            let store = self.0.store.clone();
            thread::spawn(move || {
                sleep(Duration::from_millis(3_600));
                store.delete("servers", &gone);
            });
            sleep(self.0.times.down);
            listener = TcpListener::bind(self.0.address).expect("the port is free again");
            self.0.incarnation.fetch_add(1, Ordering::SeqCst);
            self.0.streams.lock().unwrap().clear();
            self.0.is_down.store(false, Ordering::SeqCst);
            self.register();
            self.0.record.write(&format!("{} starts", self.id()));
        }
    }

    fn crash(&self) {
        if self.0.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.0.crashes.lock().unwrap().push(Instant::now());
        self.0.record.write(&format!("{} crashes", self.id()));
        for stream in self.0.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.0.streams.lock().unwrap().push(copy);
        }
        let mut pending = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut pending, true) {
            if self.0.is_down.load(Ordering::SeqCst) || !self.answer(&request, &mut stream) {
                return;
            }
        }
    }

    // Returns whether the connection stays open.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (id, attempt) = (
            self.id(),
            request.header("x-attempt-id").unwrap_or("").to_owned(),
        );
        if request.path().starts_with("/-/") {
            let head =
                format!("HTTP/1.1 404 X\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(head.as_bytes()).is_ok();
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let head = format!(
                "HTTP/1.1 421 X\r\nX-Instance-Id: {id}\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).is_ok();
        }
        let parts: Vec<&str> = request
            .header("x-prompt-prefix")
            .unwrap_or("")
            .split(',')
            .collect();
        let names = parts
            .iter()
            .take(parts.len().saturating_sub(1))
            .map(|p| p.split(':').next().unwrap_or(""));
        let has_part = names.into_iter().any(|name| name.trim() == self.0.part);
        self.0.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            id: attempt.clone(),
            has_part,
        });
        self.0.record.write(&format!(
            "{attempt} reaches {id}{}",
            if has_part { " with the part" } else { "" }
        ));
        let EngineTimes {
            first,
            pause,
            events,
            crash,
            closes,
            ..
        } = self.0.times;
        sleep(first);
        let framing = if closes {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Stamp: {id}.{attempt}\r\n{framing}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=events {
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = if closes {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            if self.0.is_down.load(Ordering::SeqCst) || stream.write_all(chunk.as_bytes()).is_err()
            {
                return false;
            }
            if has_part {
                sleep(crash);
                self.crash();
                return false;
            }
            sleep(pause);
        }
        self.0.record.write(&format!("{id} completes {attempt}"));
        if closes {
            let _ = stream.shutdown(Shutdown::Write);
            return false;
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
