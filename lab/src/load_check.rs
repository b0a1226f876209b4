//! Checks an answer byte by byte while it comes in.

use std::time::{Duration, Instant};

use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::{AnswerEvent, Final, Outcome};

use crate::load_tally::{RequestEnd, RequestReport};

/// What has been received of one answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerCheck {
    /// The answer it must be.
    pub expected: Vec<u8>,
    /// Bytes received without a gap.
    pub position: usize,
    /// Newest resume token.
    pub token: String,
    /// Identity of the newest accepted submission.
    pub request_id: String,
    /// Time to the first byte.
    pub first: Option<Duration>,
    /// Whether bytes differed from the expected ones.
    pub is_wrong: bool,
    /// Whether bytes or finals came twice.
    pub is_doubled: bool,
    /// The final outcome.
    pub last: Option<Final>,
}

impl AnswerCheck {
    /// Creates the check of an answer of which nothing has come yet.
    #[must_use]
    pub fn new(expected: Vec<u8>) -> Self {
        Self {
            expected,
            ..Self::default()
        }
    }

    /// Takes the next event of a stream begun at `since`.
    pub fn take(&mut self, event: AnswerEvent, since: Instant) {
        // Nothing may follow the final answer.
        if self.last.is_some() {
            self.is_doubled = true;
            return;
        }
        match event.event {
            Some(Event::Accepted(accepted)) => {
                self.token = accepted.resume_token;
                self.request_id = accepted.request_id;
            }
            Some(Event::Chunk(chunk)) => {
                self.first.get_or_insert_with(|| since.elapsed());
                self.take_bytes(chunk.offset, &chunk.data);
            }
            Some(Event::Final(last)) => self.last = Some(last),
            None => self.is_wrong = true,
        }
    }

    fn take_bytes(&mut self, offset: u64, data: &[u8]) {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        if offset < self.position {
            self.is_doubled = true;
            return;
        }
        let end = offset.saturating_add(data.len());
        let is_right = offset == self.position && self.expected.get(offset..end) == Some(data);
        self.is_wrong |= !is_right;
        self.position = end;
    }

    /// Sums up what was received.
    #[must_use]
    pub fn report(&self, resumes: u32, total: Duration, deadline: Duration) -> RequestReport {
        let end = self.last.as_ref().map_or(RequestEnd::Lost, end_of);
        let is_answered = end == RequestEnd::Answered;
        let told = self.last.as_ref().map_or(0, |last| last.length);
        let whole = self.expected.len();
        let is_short = is_answered && self.position < whole;
        let has_wrong_length = is_answered && told != whole as u64;
        RequestReport {
            end,
            is_wrong: self.is_wrong || has_wrong_length,
            is_short,
            is_doubled: self.is_doubled,
            resumes,
            first: self.first,
            total,
            deadline,
        }
    }
}

/// Returns how a final outcome ends a request.
#[must_use]
pub fn end_of(last: &Final) -> RequestEnd {
    match last.outcome() {
        Outcome::Answered => RequestEnd::Answered,
        Outcome::RefusedNotRun => RequestEnd::Refused,
        Outcome::Unknown => RequestEnd::Unknown,
        Outcome::Cancelled => RequestEnd::Cancelled,
        Outcome::Expired => RequestEnd::Expired,
        Outcome::Unspecified => RequestEnd::Lost,
    }
}
