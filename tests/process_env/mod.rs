//! Runs the daemon's binary as a process of its own.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStderr, Command, Stdio};

use serde_json::{Value, json};

pub const SECRET: &str = "token-secret-of-the-test-0123456789abcdef";

pub fn daemon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_pistachiowickd"))
}

pub fn document() -> Value {
    json!({
        "daemon_id": "entry-1",
        "data_centre": "hala-racice",
        "listen": { "rpc": "127.0.0.1:0", "admin": "127.0.0.1:0", "peer": "127.0.0.1:0" },
        // Nobody listens there: the daemon starts, and stays unready.
        "platform": { "address": "http://127.0.0.1:1" },
        "access": { "operator_key_hashes": [], "token_secrets": [SECRET] },
        "shutdown": { "keep_ms": 50 }
    })
}

/// A daemon that is killed when its test ends.
pub struct RunningDaemon {
    child: Child,
    pub addresses: Value,
    stderr: ChildStderr,
}

impl RunningDaemon {
    pub fn start(settings: &Value) -> Self {
        let mut child = daemon()
            .args(["-s", "-"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary is built");
        let mut stdin = child.stdin.take().expect("it is piped");
        stdin
            .write_all(settings.to_string().as_bytes())
            .expect("it reads");
        drop(stdin);
        let mut line = String::new();
        let stdout = child.stdout.take().expect("it is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("it announces itself");
        let addresses = serde_json::from_str(&line).expect("one line of JSON");
        let stderr = child.stderr.take().expect("it is piped");
        Self {
            child,
            addresses,
            stderr,
        }
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill exists").success());
    }

    /// Sends a signal, waits for the end and returns the exit code and the log.
    pub fn stop(mut self, signal: &str) -> (Option<i32>, String) {
        self.signal(signal);
        let code = self.child.wait().expect("it ends").code();
        let mut log = String::new();
        self.stderr
            .read_to_string(&mut log)
            .expect("the log is text");
        (code, log)
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        // Ended already, where the test stopped it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
