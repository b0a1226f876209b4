//! Compares answer assembly with a simple byte-vector model, on random lines of several
//! attempts and requests.
//!
//! `PISTACHIOWICK_FUZZ_CASES` sets the number of cases, `PISTACHIOWICK_FUZZ_SEED`
//! their seed.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pistachiowick::requests::answer::{AnswerAssembly, AnswerPart, LineVerdict};
use pistachiowick::targets::wire::{StreamEnd, StreamLine};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sha2::{Digest, Sha256};

const CASES: u32 = 1_024;
const SEED: u64 = 20_261_202;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> Config {
    let cases = env_number("PISTACHIOWICK_FUZZ_CASES").and_then(|c| u32::try_from(c).ok());
    Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(env_number("PISTACHIOWICK_FUZZ_SEED").unwrap_or(SEED)),
        ..Config::default()
    }
}

/// Whether a line ends the answer, and whether that end is correct.
#[derive(Clone, Copy, Debug)]
enum EndKind {
    None,
    True,
    Early,
}

#[derive(Clone, Copy, Debug)]
enum LineStep {
    /// A line of the attempt `back` attempts ago, or of another request.
    Line {
        back: usize,
        other_request: bool,
        /// Offset of the first byte relative to the bytes delivered.
        shift: i64,
        length: usize,
        end: EndKind,
    },
    /// The engine crashed: another one continues with this many more bytes.
    NextAttempt { more: usize },
    /// The stream broke: the same attempt is resumed.
    SameAttempt,
}

fn steps() -> impl Strategy<Value = Vec<LineStep>> {
    let end =
        prop_oneof![4 => Just(EndKind::None), 1 => Just(EndKind::True), 1 => Just(EndKind::Early)];
    let back = prop_oneof![8 => Just(0_usize), 1 => 1_usize..3];
    let shift = prop_oneof![6 => Just(0_i64), 2 => -6_i64..0, 1 => 1_i64..4];
    let line = (back, prop::bool::weighted(0.1), shift, 0_usize..8, end).prop_map(
        |(back, other_request, shift, length, end)| LineStep::Line {
            back,
            other_request,
            shift,
            length,
            end,
        },
    );
    let step = prop_oneof![
        12 => line,
        1 => (0_usize..40).prop_map(|more| LineStep::NextAttempt { more }),
        1 => Just(LineStep::SameAttempt),
    ];
    prop::collection::vec(step, 1..60)
}

/// Model of the answer. `attempts` has the complete answer of each attempt: the bytes
/// delivered before it, then its own.
struct AnswerSim {
    answer: AnswerAssembly,
    attempts: Vec<Vec<u8>>,
    delivered: Vec<u8>,
    finished: bool,
}

impl AnswerSim {
    fn new() -> Self {
        pistachiowick::invariants::make_fatal();
        let mut sim = Self {
            answer: AnswerAssembly::new("request-1".into()),
            attempts: Vec::new(),
            delivered: Vec::new(),
            finished: false,
        };
        sim.next_attempt(30);
        sim
    }

    fn next_attempt(&mut self, more: usize) {
        if self.finished {
            return;
        }
        let number = self.attempts.len() as u32 + 1;
        let mut whole = self.delivered.clone();
        whole.extend((0..more).map(|at| (number as usize * 41 + at) as u8));
        self.attempts.push(whole);
        self.answer.begin_attempt(number);
    }

    fn step(&mut self, step: LineStep) {
        match step {
            LineStep::NextAttempt { more } => self.next_attempt(more),
            LineStep::SameAttempt if self.finished => {}
            LineStep::SameAttempt => self.answer.begin_attempt(self.attempts.len() as u32),
            LineStep::Line {
                back,
                other_request,
                shift,
                length,
                end,
            } => {
                let line = self.line(back, other_request, shift, length, end);
                let verdict = self.answer.accept(&line);
                self.check(&line, verdict);
            }
        }
    }

    fn line(
        &self,
        back: usize,
        other_request: bool,
        shift: i64,
        length: usize,
        end: EndKind,
    ) -> StreamLine {
        let at = self.attempts.len().saturating_sub(back + 1);
        let whole = &self.attempts[at];
        let from = (self.delivered.len() as i64 + shift).max(0) as usize;
        let from = from.min(whole.len());
        let to = (from + length).min(whole.len());
        let mut data = whole[from..to].to_vec();
        if other_request {
            data.fill(b'?');
        }
        // A correct end comes with the last bytes; an early one comes before them.
        let end = match end {
            EndKind::None => None,
            EndKind::True if to == whole.len() => Some(whole.len() as u64),
            EndKind::True => None,
            EndKind::Early => Some(whole.len() as u64),
        };
        StreamLine {
            request_id: if other_request {
                "request-2"
            } else {
                "request-1"
            }
            .into(),
            attempt: at as u32 + 1,
            offset: from as u64,
            data: STANDARD.encode(data),
            tokens: length as u32,
            end: end.map(|length| StreamEnd { length }),
        }
    }

    fn check(&mut self, line: &StreamLine, verdict: LineVerdict) {
        match verdict {
            LineVerdict::Deliver(part) => self.check_part(line, &part),
            LineVerdict::Finish { part, summary } => {
                if let Some(part) = &part {
                    self.check_part(line, part);
                }
                let whole = self.attempts.last().unwrap();
                assert_eq!(&self.delivered, whole, "the answer is not complete");
                assert_eq!(summary.length, whole.len() as u64);
                assert_eq!(summary.digest, Some(Sha256::digest(whole).into()));
                self.finished = true;
            }
            LineVerdict::Drop(_) | LineVerdict::Break(_) => {}
        }
        assert_eq!(self.answer.delivered(), self.delivered.len() as u64);
    }

    fn check_part(&mut self, line: &StreamLine, part: &AnswerPart) {
        assert!(!self.finished, "bytes after the end");
        assert_eq!(line.request_id.as_str(), "request-1");
        assert_eq!(line.attempt as usize, self.attempts.len(), "an old attempt");
        assert_eq!(part.offset, self.delivered.len() as u64);
        assert!(!part.data.is_empty());
        self.delivered.extend(&part.data);
        let whole = self.attempts.last().unwrap();
        assert!(whole.starts_with(&self.delivered), "wrong bytes");
    }

    /// Checks that an undisturbed stream after the delivered bytes completes the answer.
    fn finish(&mut self) {
        if self.finished {
            return;
        }
        self.next_attempt(3);
        let line = self.line(0, false, 0, 3, EndKind::True);
        let verdict = self.answer.accept(&line);
        self.check(&line, verdict);
        assert!(
            self.finished,
            "an undisturbed stream did not complete the answer"
        );
    }
}

proptest! {
    #![proptest_config(config())]

    // Lines arrive late, out of order, duplicated, truncated or from other requests, while
    // engines crash and streams are resumed. The caller's bytes are always a prefix of the
    // current attempt's answer, and only a complete answer is reported as complete.
    #[test]
    fn caller_gets_the_whole_answer_to_the_own_request(steps in steps()) {
        let mut sim = AnswerSim::new();
        for step in steps {
            sim.step(step);
        }
        sim.finish();
    }
}
