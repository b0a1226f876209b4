//! Splits a byte stream into whole server-sent events.
//!
//! A target may stop in the middle of an event. Only whole events are forwarded, so that
//! another target can continue the stream exactly after the last one.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Largest event, in bytes; a longer one counts as malformed. An event holds a few tokens, of
/// some bytes each.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Most bytes of events for each token that a request allows, and in addition.
const MAX_TOKEN_BYTES: usize = 4 * 1024;
const MAX_EXTRA_BYTES: usize = MAX_EVENT_BYTES;

/// Most events in a row without an id.
const MAX_UNNUMBERED: u32 = 64;
/// Length of the longest separator of events.
const MAX_SEPARATOR_BYTES: usize = 4;

/// Why bytes are not the events of an answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event exceeds the size limit.
    #[error("the engine sent an event of more than {MAX_EVENT_BYTES} bytes; check its software")]
    TooLong,
    /// The events exceed the size that the request allows.
    #[error("the engine sent more than the request's tokens can take; check its software")]
    TooMany,
    /// An event does not have a higher id than the one before it, or too many have none.
    #[error("the engine sent events without increasing ids; check its software")]
    Id,
    /// A line is no field of an event.
    #[error("the engine sent a line that is no field of an event; check its software")]
    Field,
}

/// Whole events and the id of the last one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
}

/// Buffers the bytes of an incomplete event.
#[derive(Debug)]
pub struct EventSplitter {
    pending: BytesMut,
    // Bytes of it that hold no end of an event.
    searched: usize,
    last_id: Option<u64>,
    // Events in a row without an id.
    unnumbered: u32,
    // Bytes that may still come.
    allowed: usize,
}

impl EventSplitter {
    /// Creates a splitter for a stream of at most `tokens` tokens that goes on after the event
    /// `last_id`.
    #[must_use]
    pub fn new(tokens: u32, last_id: Option<u64>) -> Self {
        let tokens = usize::try_from(tokens).unwrap_or(usize::MAX);
        Self {
            pending: BytesMut::new(),
            searched: 0,
            last_id,
            unnumbered: 0,
            allowed: tokens
                .saturating_mul(MAX_TOKEN_BYTES)
                .saturating_add(MAX_EXTRA_BYTES),
        }
    }

    /// Returns a splitter of another answer that goes on after the last whole event.
    #[must_use]
    pub fn resumed(&self) -> Self {
        Self {
            pending: BytesMut::new(),
            searched: 0,
            ..*self
        }
    }

    /// Appends `bytes` and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not the events of an answer.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventError> {
        self.allowed = self
            .allowed
            .checked_sub(bytes.len())
            .ok_or(EventError::TooMany)?;
        self.pending.extend_from_slice(bytes);
        let from = self.searched.saturating_sub(MAX_SEPARATOR_BYTES - 1);
        let Some(end) = last_event_end(&self.pending[from..]) else {
            self.searched = self.pending.len();
            return match self.pending.len() {
                length if length > MAX_EVENT_BYTES => Err(EventError::TooLong),
                _ => Ok(None),
            };
        };
        let whole = self.pending.split_to(from + end).freeze();
        self.searched = self.pending.len();
        let before = self.last_id;
        self.check_events(&whole)?;
        Ok(Some(EventBatch {
            bytes: whole,
            last_id: self.last_id.filter(|id| Some(*id) != before),
        }))
    }

    fn check_events(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        let mut event_id = None;
        let mut has_fields = false;
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if std::mem::take(&mut has_fields) {
                    self.check_id(event_id.take())?;
                }
            } else if line[0] != b':' {
                has_fields = true;
                if !line.contains(&b':') && line != b"data" {
                    return Err(EventError::Field);
                }
                if let Some(value) = line.strip_prefix(b"id:") {
                    let text = str::from_utf8(value).ok();
                    event_id = text.and_then(|text| text.trim().parse().ok());
                }
            }
        }
        Ok(())
    }

    fn check_id(&mut self, id: Option<u64>) -> Result<(), EventError> {
        let Some(id) = id else {
            self.unnumbered += 1;
            return if self.unnumbered > MAX_UNNUMBERED {
                Err(EventError::Id)
            } else {
                Ok(())
            };
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(EventError::Id);
        }
        self.unnumbered = 0;
        self.last_id = Some(id);
        Ok(())
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
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
