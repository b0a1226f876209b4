//! Puts an answer together from chunks and refuses one that is not whole. Pure; no sockets.

use sha2::{Digest, Sha256};

use crate::pb;

/// What became of a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkFate {
    /// Its bytes, or those not yet received, continue the answer.
    Taken(Vec<u8>),
    /// Doubled, late or of another attempt; nothing to deliver.
    Dropped,
    /// Bytes before it are missing: the stream must be resumed.
    Gap,
}

/// Whether a final event fits the bytes received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FinalCheck {
    /// Length and digest agree.
    Whole,
    /// The stream ended before the whole answer; it must be resumed.
    Short,
    /// The bytes received are not the answer.
    Damaged(String),
}

/// Position and digest of the answer received so far.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    attempt: Option<u32>,
    received: u64,
    hasher: Option<Sha256>,
}

impl AnswerAssembly {
    /// Creates an assembly that continues after `offset` bytes.
    ///
    /// The digest can only be checked when every byte passes through, from 0.
    #[must_use]
    pub fn new(offset: u64) -> Self {
        Self {
            attempt: None,
            received: offset,
            hasher: (offset == 0).then(Sha256::new),
        }
    }

    /// Returns the number of answer bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Forgets the attempt: the next stream names its own.
    pub fn begin_stream(&mut self) {
        self.attempt = None;
    }

    /// Takes the attempt whose chunks count from now on.
    pub fn accept(&mut self, attempt: u32) {
        // An acceptance that arrives late must not bring an older attempt back.
        self.attempt = Some(self.attempt.map_or(attempt, |newest| newest.max(attempt)));
    }

    /// Takes a chunk.
    pub fn take(&mut self, chunk: &pb::Chunk) -> ChunkFate {
        if self.attempt != Some(chunk.attempt) {
            return ChunkFate::Dropped;
        }
        if chunk.offset > self.received {
            return ChunkFate::Gap;
        }
        let doubled = usize::try_from(self.received - chunk.offset).unwrap_or(usize::MAX);
        match chunk.data.get(doubled..) {
            None | Some([]) => ChunkFate::Dropped,
            Some(fresh) => {
                self.extend(fresh);
                ChunkFate::Taken(fresh.to_vec())
            }
        }
    }

    /// Adds bytes that continue the answer.
    pub fn extend(&mut self, fresh: &[u8]) {
        self.received += fresh.len() as u64;
        if let Some(hasher) = &mut self.hasher {
            hasher.update(fresh);
        }
    }

    /// Checks length and digest of the whole answer; an empty digest is not compared.
    #[must_use]
    pub fn check(&self, length: u64, digest: &[u8]) -> FinalCheck {
        if self.received < length {
            return FinalCheck::Short;
        }
        if self.received > length {
            return FinalCheck::Damaged(format!(
                "received {} bytes of an answer of {length}",
                self.received
            ));
        }
        let Some(hasher) = &self.hasher else {
            return FinalCheck::Whole;
        };
        let own = hasher.clone().finalize();
        if digest.is_empty() || own.as_slice() == digest {
            return FinalCheck::Whole;
        }
        FinalCheck::Damaged(format!("the digest of {length} bytes does not agree"))
    }
}
