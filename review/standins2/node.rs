//! The program under test as separate processes, with the settings of a small deployment.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::read_head;
use std::io::Write;

/// Command of the deploy file.
const PROGRAM: &str = "target/release/pistachiowick-node";

/// A running process; it is killed when dropped.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    ports: [u16; 3],
    internal: u16,
    store: SocketAddr,
    file: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a process and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr, folder: &Path, grace_s: u32) -> Self {
        let ports = [free_port(), free_port(), free_port()];
        let internal = free_range();
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings(name, store, ports, internal, grace_s)).expect("a settings file");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PISTACHIOWICK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the program starts");
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            callers: local(ports[0]),
            readiness: local(ports[1]),
            ports,
            internal,
            store,
            file,
            child,
        }
    }

    /// Replaces the settings file, as the platform does when the settings change.
    pub fn change_grace(&self, grace_s: u32) {
        let text = settings(&self.name, self.store, self.ports, self.internal, grace_s);
        let next = self.file.with_extension("next");
        fs::write(&next, text).expect("a settings file");
        fs::rename(&next, &self.file).expect("a settings file");
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let call = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if stream.write_all(call.as_bytes()).is_err() {
            return false;
        }
        read_head(&mut stream, &mut Vec::new()).is_some_and(|head| head.status() == 200)
    }

    /// Waits until the process is ready; returns whether it became so.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

// Returns the first of three free ports in a row.
fn free_range() -> u16 {
    loop {
        let first = free_port();
        let Some(last) = first.checked_add(2) else {
            continue;
        };
        if (first..=last).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            return first;
        }
    }
}

// The text of deploy/settings.json, filled in.
fn settings(name: &str, store: SocketAddr, ports: [u16; 3], internal: u16, grace_s: u32) -> String {
    let [callers, readiness, directory] = ports;
    format!(
        r#"{{
  "daemon": "{name}",
  "ip": "127.0.0.1",
  "centre": "hala-racice",
  "regions": {{"hala-racice": "stredocechy"}},
  "listen": {{
    "callers": "127.0.0.1:{callers}",
    "readiness": "127.0.0.1:{readiness}",
    "directory": "127.0.0.1:{directory}"
  }},
  "internal_ports": [{internal}, {}],
  "store": "{store}",
  "limits": {{"cpu_share": 0.25, "core_speed": 1, "memory_mb": 260, "link_mbps": 1000.0}},
  "cache_inventory": {{"enabled": true}},
  "placement": {{"crossing_ms_per_kb": 2, "crossing_min_engines": 8}},
  "plain_queue": {{"enabled": true}},
  "first_start": false,
  "bounds": {{
    "stop_grace_s": {grace_s},
    "repeat_ratio": 0.2,
    "repeat_allowance": 54,
    "repeat_window_s": 10,
    "directory_keep_s": 5,
    "config_within_ms": 2000,
    "departure_within_ms": 2000,
    "target_heartbeat_ms": 1200
  }}
}}
"#,
        internal + 2
    )
}
