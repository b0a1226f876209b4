//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head from `stream`; bytes that follow it stay in `pending`.
pub fn read_head(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        let found = pending.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(at) = found {
            break at + 4;
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => pending.extend_from_slice(&buffer[..count]),
        }
    };
    let head: Vec<u8> = pending.drain(..end).collect();
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first_line = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    let headers = headers.collect();
    Some(Message {
        first_line,
        headers,
        body: Vec::new(),
    })
}

/// Reads a head and a body of a stated length.
pub fn read_message(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, pending)?;
    let length: usize = message.header("content-length").map_or(Some(0), |text| text.parse().ok())?;
    while pending.len() < length {
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => pending.extend_from_slice(&buffer[..count]),
        }
    }
    message.body = pending.drain(..length).collect();
    Some(message)
}

/// Writes an answer with a body of a stated length; returns whether that succeeded.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}
