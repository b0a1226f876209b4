//! One stream of the engine stand-in: its progress and the lines that readers get.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_util::stream::{self, BoxStream, StreamExt};
use pistachiowick::names::RequestId;
use pistachiowick::targets::wire::{StreamEnd, StreamLine};
use tokio::sync::watch;

use crate::answers::{AnswerText, TOKEN_BYTES};
use crate::engine::EngineCore;

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamProgress {
    /// Cancelled or dropped; readers end without an end line.
    Stopped,
    /// Tokens of the whole answer available.
    Tokens(u32),
}

/// A stream that readers can attach to at any offset.
#[derive(Debug)]
pub struct StreamCell {
    /// Request.
    pub request_id: RequestId,
    /// Attempt.
    pub attempt: u32,
    /// The whole answer.
    pub answer: AnswerText,
    /// Prompt length, for KV export.
    pub prompt_tokens: u32,
    /// Progress.
    pub progress: watch::Sender<StreamProgress>,
}

impl StreamCell {
    /// Tells whether the stream is still being generated.
    #[must_use]
    pub fn is_running(&self) -> bool {
        match *self.progress.borrow() {
            StreamProgress::Stopped => false,
            StreamProgress::Tokens(tokens) => tokens < self.answer.tokens(),
        }
    }

    fn line(&self, from: usize, to: usize, is_end: bool) -> StreamLine {
        let data = self.answer.slice(from, to);
        StreamLine {
            request_id: self.request_id.clone(),
            attempt: self.attempt,
            offset: from as u64,
            tokens: u32::try_from(to / TOKEN_BYTES - from / TOKEN_BYTES).unwrap_or_default(),
            data: STANDARD.encode(data),
            end: is_end.then(|| StreamEnd {
                length: self.answer.length() as u64,
            }),
        }
    }
}

/// One reader of a stream.
struct LineReader {
    core: Arc<EngineCore>,
    cell: Arc<StreamCell>,
    progress: watch::Receiver<StreamProgress>,
    position: usize,
    is_over: bool,
}

/// Returns the lines of a stream from an offset on, with the faults in force.
pub fn read_lines(
    core: Arc<EngineCore>,
    cell: Arc<StreamCell>,
    offset: u64,
) -> BoxStream<'static, io::Result<Vec<u8>>> {
    let length = cell.answer.length();
    let reader = LineReader {
        progress: cell.progress.subscribe(),
        position: usize::try_from(offset).unwrap_or(usize::MAX).min(length),
        core,
        cell,
        is_over: false,
    };
    stream::unfold(reader, |mut reader| async move {
        let bytes = reader.next().await?;
        Some((Ok(bytes), reader))
    })
    .boxed()
}

impl LineReader {
    async fn next(&mut self) -> Option<Vec<u8>> {
        if self.is_over {
            return None;
        }
        let available = self.wait_for_bytes().await?;
        self.core.thawed().await;
        let length = self.cell.answer.length();
        let is_end = available == length;
        let line = self.cell.line(self.position, available, is_end);
        let sent = (available - self.position) as u64;
        let bytes = self.with_faults(line, sent).await;
        self.position = available;
        self.is_over = self.is_over || is_end;
        bytes
    }

    /// Waits for bytes after the position, or for the end of the answer.
    async fn wait_for_bytes(&mut self) -> Option<usize> {
        loop {
            let progress = *self.progress.borrow_and_update();
            let StreamProgress::Tokens(tokens) = progress else {
                return None;
            };
            let available = tokens as usize * TOKEN_BYTES;
            if available > self.position || tokens >= self.cell.answer.tokens() {
                return Some(available);
            }
            self.progress.changed().await.ok()?;
        }
    }

    async fn with_faults(&mut self, line: StreamLine, sent: u64) -> Option<Vec<u8>> {
        let faults = self.core.faults();
        let chance = &self.core.chance;
        if chance.happens(faults.late_chance) {
            self.core.book(|books| books.late_lines += 1);
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
        }
        if chance.happens(faults.cut_chance) {
            self.core.book(|books| books.cut_answers += 1);
            self.is_over = true;
            return None;
        }
        let mut bytes = Vec::new();
        if chance.happens(faults.crossed_chance) {
            self.core.book(|books| books.crossed_lines += 1);
            write_line(&mut bytes, &self.core.line_of_another(&line));
        }
        if line.end.is_none() && chance.happens(faults.short_chance) {
            self.core.book(|books| books.short_answers += 1);
            self.is_over = true;
            write_line(&mut bytes, &self.early_end(&line));
            return Some(bytes);
        }
        write_line(&mut bytes, &line);
        if chance.happens(faults.doubled_chance) {
            self.core.book(|books| books.doubled_lines += 1);
            write_line(&mut bytes, &line);
        }
        self.core.book_sent(&self.cell, sent);
        Some(bytes)
    }

    fn early_end(&self, line: &StreamLine) -> StreamLine {
        StreamLine {
            data: String::new(),
            tokens: 0,
            end: Some(StreamEnd {
                length: self.cell.answer.length() as u64,
            }),
            ..line.clone()
        }
    }
}

fn write_line(bytes: &mut Vec<u8>, line: &StreamLine) {
    serde_json::to_writer(&mut *bytes, line).expect("wire types serialise");
    bytes.push(b'\n');
}
