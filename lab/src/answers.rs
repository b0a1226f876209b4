//! Deterministic answers of the stand-ins, so that a client can check every byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of one token: three letters and a space.
pub const TOKEN_BYTES: usize = 4;

/// Mark at the start of a prompt that fixes the number of output tokens.
const LENGTH_MARK: &[u8] = b"out=";

const LETTERS: u64 = 26;

/// The answer to one prompt, of which any part can be computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerText {
    seed: u64,
    tokens: u32,
}

impl AnswerText {
    /// Derives the answer from everything that defines it.
    #[must_use]
    pub fn new(
        prompt: &[u8],
        model: &str,
        adapter: &str,
        version: &str,
        max_output_tokens: u32,
    ) -> Self {
        let seed = [model, adapter, version]
            .iter()
            .fold(xxh3_64_with_seed(prompt, 0), |seed, part| {
                xxh3_64_with_seed(part.as_bytes(), seed)
            });
        let most = max_output_tokens.max(1);
        let tokens = fixed_length(prompt).map_or_else(
            || 1 + u32::try_from(seed % u64::from(most)).unwrap_or_default(),
            |fixed| fixed.clamp(1, most),
        );
        Self { seed, tokens }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn length(&self) -> usize {
        self.tokens as usize * TOKEN_BYTES
    }

    /// Returns the bytes from `from` up to, not including, `to`.
    #[must_use]
    pub fn slice(&self, from: usize, to: usize) -> Vec<u8> {
        (from..to.min(self.length()))
            .map(|position| self.byte_at(position))
            .collect()
    }

    fn byte_at(&self, position: usize) -> u8 {
        let place = position % TOKEN_BYTES;
        if place == TOKEN_BYTES - 1 {
            return b' ';
        }
        let token = (position / TOKEN_BYTES) as u64;
        let mixed = mix(self.seed.wrapping_add(token)) >> (place * 16);
        b'a' + u8::try_from((mixed & 0xffff) % LETTERS).unwrap_or_default()
    }
}

/// Scrambles a number (the finaliser of `SplitMix64`).
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn fixed_length(prompt: &[u8]) -> Option<u32> {
    let rest = prompt.strip_prefix(LENGTH_MARK)?;
    let end = rest.iter().position(|byte| *byte == b' ')?;
    std::str::from_utf8(&rest[..end]).ok()?.parse().ok()
}

/// Returns the whole answer of an engine. A prompt that starts with `out=N `
/// gets N tokens.
#[must_use]
pub fn expected_answer(
    prompt: &[u8],
    model: &str,
    adapter: &str,
    version: &str,
    max_output_tokens: u32,
) -> Vec<u8> {
    let answer = AnswerText::new(prompt, model, adapter, version, max_output_tokens);
    answer.slice(0, answer.length())
}

/// Returns the whole answer of a plain service.
#[must_use]
pub fn service_answer(workspace: &str, key: &str, data: &[u8]) -> Vec<u8> {
    let digest = xxh3_64_with_seed(data, xxh3_64_with_seed(workspace.as_bytes(), 1));
    format!("done {workspace} {key} {digest:016x}").into_bytes()
}
