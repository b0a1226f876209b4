//! HTTP/1.1 for the stand-ins: a server with one thread a connection, and a client call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Vec<(String, String)>, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
    /// Leaves the connection open and never answers on it.
    Silence,
}

pub type Handler = Arc<dyn Fn(&Message) -> Reply + Send + Sync>;

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || connection(stream, &handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut pending = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut pending, true) {
        match handler(&request) {
            Reply::Close => return,
            Reply::Silence => {
                let mut rest = [0; 512];
                while matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
                return;
            }
            Reply::Answer(status, headers, body) => {
                let mut head = format!("HTTP/1.1 {status} X\r\n");
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads one message; `None` if the connection ends before its end.
pub fn read_message(
    stream: &mut TcpStream,
    pending: &mut Vec<u8>,
    request: bool,
) -> Option<Message> {
    let end = loop {
        if let Some(at) = find(pending, b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, pending) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&pending[..end]).into_owned();
    pending.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    let length = message
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    if chunked {
        message.body = read_chunks(stream, pending)?;
    } else if let Some(length) = length {
        while pending.len() < length {
            if !fill(stream, pending) {
                return None;
            }
        }
        message.body = pending.drain(..length).collect();
    } else if !request {
        while fill(stream, pending) {}
        message.body = std::mem::take(pending);
    }
    Some(message)
}

fn read_chunks(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let at = loop {
            if let Some(at) = find(pending, b"\r\n") {
                break at;
            }
            if !fill(stream, pending) {
                return None;
            }
        };
        let size = String::from_utf8_lossy(&pending[..at]).into_owned();
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16).ok()?;
        while pending.len() < at + 2 + size + 2 {
            if !fill(stream, pending) {
                return None;
            }
        }
        body.extend_from_slice(&pending[at + 2..at + 2 + size]);
        pending.drain(..at + 2 + size + 2);
        if size == 0 {
            return Some(body);
        }
    }
}

fn fill(stream: &mut TcpStream, pending: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 16 * 1024];
    match stream.read(&mut buffer) {
        Ok(read) if read > 0 => {
            pending.extend_from_slice(&buffer[..read]);
            true
        }
        _ => false,
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream
        .write_all(&bytes)
        .map_err(|error| format!("not written: {error}"))?;
    let answer = read_message(&mut stream, &mut Vec::new(), false);
    answer.ok_or_else(|| "closed without an answer".to_owned())
}
