//! Assembles one answer from the stream lines of its attempts, each byte once and in order.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::invariants::{self, Invariant};
use crate::names::{RequestId, RequestKey};
use crate::targets::wire::{ServiceReply, StreamEnd, StreamLine};

/// Bytes to send to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerPart {
    /// Position of the first byte in the complete answer.
    pub offset: u64,
    /// The bytes; never empty.
    pub data: Vec<u8>,
    /// Tokens in these bytes.
    pub tokens: u32,
}

/// Length and digest of a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerSummary {
    /// Bytes in the complete answer.
    pub length: u64,
    /// SHA-256 of the complete answer; `None` when the caller had already received the
    /// beginning elsewhere.
    pub digest: Option<[u8; 32]>,
}

/// What to do with a stream line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LineVerdict {
    /// Send the bytes to the caller.
    Deliver(AnswerPart),
    /// Send the bytes, if any, to the caller: the answer is complete.
    Finish {
        /// Last bytes.
        part: Option<AnswerPart>,
        /// Length and digest.
        summary: AnswerSummary,
    },
    /// Ignore the line.
    Drop(DropCause),
    /// Abandon the attempt and continue from [`AnswerAssembly::delivered`].
    Break(BreakCause),
}

/// Why a line was ignored.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropCause {
    /// The line belongs to another request.
    OtherRequest,
    /// The line belongs to an attempt that is not the current one.
    OldAttempt,
    /// The line has only bytes that were already delivered.
    Duplicate,
    /// The line has no bytes.
    Empty,
    /// The attempt has already been abandoned.
    Broken,
    /// The answer is already complete.
    Finished,
}

impl DropCause {
    /// Returns the cause's name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherRequest => "other_request",
            Self::OldAttempt => "old_attempt",
            Self::Duplicate => "doubled",
            Self::Empty => "empty",
            Self::Broken => "broken",
            Self::Finished => "finished",
        }
    }
}

/// Why an attempt cannot continue.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum BreakCause {
    /// Bytes before this line are missing.
    #[error("bytes before this line are missing; continue after those delivered")]
    Gap,
    /// The length in the end line differs from the number of bytes received.
    #[error("the end line does not match the bytes received; continue after those delivered")]
    Short,
    /// The bytes are not valid base64, or the offset is out of range.
    #[error("the line cannot be decoded; continue after those delivered")]
    Garbled,
}

impl BreakCause {
    /// Returns the cause's name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gap => "gap",
            Self::Short => "short",
            Self::Garbled => "garbled",
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    Open,
    Broken,
    Finished,
}

/// One answer that is being delivered to a caller.
///
/// Accepts a line only if it names this request and the current attempt, and uses only
/// the bytes that directly follow those already delivered. Otherwise, lines of a slow
/// earlier attempt or of another caller could end up inside an answer.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    request: RequestId,
    attempt: u32,
    state: AttemptState,
    start: u64,
    delivered: u64,
    // Attempt that delivered the last bytes; 0 before the first.
    delivered_by: u32,
    digest: Sha256,
    drops: IndexMap<DropCause, u64>,
    breaks: IndexMap<BreakCause, u64>,
}

impl AnswerAssembly {
    /// Creates an empty answer to a request.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self::resume_from(request, 0)
    }

    /// Creates an answer whose first `offset` bytes the caller has already received.
    #[must_use]
    pub fn resume_from(request: RequestId, offset: u64) -> Self {
        Self {
            request,
            attempt: 0,
            // Lines are ignored until the first attempt begins.
            state: AttemptState::Broken,
            start: offset,
            delivered: offset,
            delivered_by: 0,
            digest: Sha256::new(),
            drops: IndexMap::new(),
            breaks: IndexMap::new(),
        }
    }

    /// Returns how many bytes the caller has received; the next attempt starts there.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns the number of the current attempt; 0 before the first.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns whether the complete answer was delivered.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.state == AttemptState::Finished
    }

    /// Returns how many lines were ignored, by cause.
    #[must_use]
    pub fn drops(&self) -> &IndexMap<DropCause, u64> {
        &self.drops
    }

    /// Returns how many attempts broke, by cause.
    #[must_use]
    pub fn breaks(&self) -> &IndexMap<BreakCause, u64> {
        &self.breaks
    }

    /// Accepts lines of `attempt` from now on, and of no other.
    ///
    /// The number may stay the same when a broken stream is resumed at the engine that
    /// runs it. It never decreases, and a complete answer has no further attempts.
    ///
    /// # Panics
    ///
    /// Panics on a violation of this rule if invariants are fatal.
    pub fn begin_attempt(&mut self, attempt: u32) {
        let valid = attempt > 0 && attempt >= self.attempt;
        invariants::check(valid && !self.is_finished(), Invariant::WholeAnswer, || {
            format!(
                "request {}: attempt {attempt} after attempt {} ({:?})",
                self.request, self.attempt, self.state
            )
        });
        if valid && !self.is_finished() {
            self.attempt = attempt;
            self.state = AttemptState::Open;
        }
    }

    /// Accepts lines of an earlier attempt again, after later ones that delivered nothing.
    ///
    /// # Panics
    ///
    /// Panics if a later attempt has delivered bytes or the answer is complete, and invariants
    /// are fatal.
    pub fn return_to_attempt(&mut self, attempt: u32) {
        let valid = attempt > 0 && attempt >= self.delivered_by && !self.is_finished();
        invariants::check(valid, Invariant::WholeAnswer, || {
            format!(
                "request {}: back to attempt {attempt} after bytes of attempt {} ({:?})",
                self.request, self.delivered_by, self.state
            )
        });
        if valid {
            self.attempt = attempt;
            self.state = AttemptState::Open;
        }
    }

    /// Decides what to do with a line.
    ///
    /// # Panics
    ///
    /// Panics on a violation of [`Invariant::WholeAnswer`] if invariants are fatal.
    pub fn accept(&mut self, line: &StreamLine) -> LineVerdict {
        if let Some(cause) = self.drop_cause(line) {
            return self.drop_line(cause);
        }
        let Ok(data) = STANDARD.decode(&line.data) else {
            return self.break_attempt(BreakCause::Garbled);
        };
        let Some(end_offset) = line.offset.checked_add(data.len() as u64) else {
            return self.break_attempt(BreakCause::Garbled);
        };
        if line.offset > self.delivered {
            return self.break_attempt(BreakCause::Gap);
        }
        match &line.end {
            Some(end) => self.accept_end(line, &data, end_offset, end),
            None => self.accept_data(line, &data, end_offset),
        }
    }

    fn drop_cause(&self, line: &StreamLine) -> Option<DropCause> {
        if line.request_id != self.request {
            return Some(DropCause::OtherRequest);
        }
        if line.attempt != self.attempt {
            return Some(DropCause::OldAttempt);
        }
        match self.state {
            AttemptState::Open => None,
            AttemptState::Broken => Some(DropCause::Broken),
            AttemptState::Finished => Some(DropCause::Finished),
        }
    }

    fn accept_data(&mut self, line: &StreamLine, data: &[u8], end_offset: u64) -> LineVerdict {
        if data.is_empty() {
            return self.drop_line(DropCause::Empty);
        }
        if end_offset <= self.delivered {
            return self.drop_line(DropCause::Duplicate);
        }
        LineVerdict::Deliver(self.accept_new(line, data))
    }

    /// Accepts the end only if its length equals the number of delivered bytes: otherwise
    /// a truncated answer of an engine that stops early would count as complete.
    fn accept_end(
        &mut self,
        line: &StreamLine,
        data: &[u8],
        end_offset: u64,
        end: &StreamEnd,
    ) -> LineVerdict {
        if end.length != end_offset.max(self.delivered) {
            return self.break_attempt(BreakCause::Short);
        }
        let part = (end_offset > self.delivered).then(|| self.accept_new(line, data));
        self.state = AttemptState::Finished;
        invariants::check(self.delivered == end.length, Invariant::WholeAnswer, || {
            format!(
                "request {}: {} bytes delivered of {}",
                self.request, self.delivered, end.length
            )
        });
        let summary = AnswerSummary {
            length: end.length,
            digest: (self.start == 0).then(|| self.digest.clone().finalize().into()),
        };
        LineVerdict::Finish { part, summary }
    }

    /// Skips the bytes that were already delivered; the line extends beyond them.
    fn accept_new(&mut self, line: &StreamLine, data: &[u8]) -> AnswerPart {
        let skip = usize::try_from(self.delivered - line.offset).unwrap_or(data.len());
        let new_data = data.get(skip..).unwrap_or_default();
        let part = AnswerPart {
            offset: self.delivered,
            data: new_data.to_vec(),
            tokens: tokens_of_part(line.tokens, new_data.len(), data.len()),
        };
        self.digest.update(new_data);
        self.delivered += new_data.len() as u64;
        self.delivered_by = self.attempt;
        part
    }

    fn drop_line(&mut self, cause: DropCause) -> LineVerdict {
        *self.drops.entry(cause).or_default() += 1;
        metrics::counter!("pistachiowick_answer_lines_dropped_total", "cause" => cause.as_str())
            .increment(1);
        LineVerdict::Drop(cause)
    }

    fn break_attempt(&mut self, cause: BreakCause) -> LineVerdict {
        self.state = AttemptState::Broken;
        *self.breaks.entry(cause).or_default() += 1;
        metrics::counter!("pistachiowick_answer_attempts_broken_total", "cause" => cause.as_str())
            .increment(1);
        LineVerdict::Break(cause)
    }
}

fn tokens_of_part(tokens: u32, new_data: usize, all: usize) -> u32 {
    let share = u64::from(tokens) * new_data as u64 / all.max(1) as u64;
    u32::try_from(share).unwrap_or(tokens)
}

/// Why a service's reply is not the answer to a request.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum ReplyError {
    /// The reply names another request or key.
    #[error("the service replied to another request; treat this request as possibly run")]
    OtherRequest,
    /// The data does not have the announced length.
    #[error(
        "the service's reply does not have the announced length; treat the request as possibly run"
    )]
    Short,
    /// The data is not valid base64.
    #[error("the service's reply is not valid base64; treat the request as possibly run")]
    Garbled,
}

/// Returns the bytes of a service's reply after checking that it is the complete answer
/// to this request.
///
/// # Errors
///
/// Returns a [`ReplyError`] when it is not. The request may have run nevertheless.
pub fn accept_reply(
    reply: &ServiceReply,
    request: &RequestId,
    key: &RequestKey,
) -> Result<Vec<u8>, ReplyError> {
    if reply.request_id != *request || reply.key != *key {
        return Err(ReplyError::OtherRequest);
    }
    let data = STANDARD
        .decode(&reply.data)
        .map_err(|_| ReplyError::Garbled)?;
    if data.len() as u64 != reply.length {
        return Err(ReplyError::Short);
    }
    Ok(data)
}
