//! Splits a stream of server-sent events into whole events.
//!
//! A target may stop in the middle of an event. What is passed on ends with a
//! whole event, so that a continuation by another target joins without a seam.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one is taken for broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events with the number of the last one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// Number of the last event that bears one.
    pub last_id: Option<u64>,
}

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending)?;
        let whole = self.pending.split_to(end).freeze();
        let last_id = last_event_id(&whole);
        Some(EventBatch {
            bytes: whole,
            last_id,
        })
    }

    /// Whether what is left over is too long for an event.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Takes what is left over after a clean end.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Forgets what is left over.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

// An event ends with an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn last_event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|value| std::str::from_utf8(value).ok())
        .filter_map(|value| value.trim().parse().ok())
        .next_back()
}
