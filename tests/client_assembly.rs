//! Whatever order chunks come in, what the caller gets is a prefix of the answer.

use pistachiowick::client::answer::{AnswerAssembly, ChunkFate, FinalCheck};
use pistachiowick::pb;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sha2::{Digest, Sha256};

const WHOLE: &[u8] = b"lane four, heat two, start at ten past nine from the north bank";
const ATTEMPT: u32 = 3;

/// What a stream may bring.
#[derive(Clone, Debug)]
enum StreamPart {
    /// Bytes of the answer from one position to another.
    Right(usize, usize),
    /// Bytes that some other attempt generated.
    Foreign(u32, usize),
    /// A late acceptance of an older attempt.
    Old(u32),
}

fn part() -> impl Strategy<Value = StreamPart> {
    let position = 0..=WHOLE.len();
    prop_oneof![
        4 => (position.clone(), position.clone()).prop_map(|(a, b)| StreamPart::Right(a.min(b), a.max(b))),
        1 => (0..ATTEMPT, position).prop_map(|(attempt, at)| StreamPart::Foreign(attempt, at)),
        1 => (0..ATTEMPT).prop_map(StreamPart::Old),
    ]
}

fn chunk(attempt: u32, offset: usize, data: &[u8]) -> pb::Chunk {
    pb::Chunk {
        attempt,
        offset: offset as u64,
        data: data.to_vec(),
        tokens: 1,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    // Chunks come late, doubled, overlapping, with gaps and of other attempts. The
    // bytes delivered are the answer from its start, and only all of them are whole.
    #[test]
    fn delivered_bytes_are_a_prefix_and_only_all_are_whole(
        parts in prop::collection::vec(part(), 0..40),
    ) {
        let digest = Sha256::digest(WHOLE);
        let mut assembly = AnswerAssembly::new(0);
        assembly.accept(ATTEMPT);
        let mut delivered = Vec::new();
        for part in parts {
            let fate = match part {
                StreamPart::Right(from, to) => assembly.take(&chunk(ATTEMPT, from, &WHOLE[from..to])),
                StreamPart::Foreign(attempt, at) => assembly.take(&chunk(attempt, at, b"SIX SEVEN")),
                StreamPart::Old(attempt) => {
                    assembly.accept(attempt);
                    continue;
                }
            };
            if let ChunkFate::Taken(data) = fate {
                delivered.extend(data);
            }
            prop_assert_eq!(delivered.as_slice(), &WHOLE[..delivered.len()]);
            prop_assert_eq!(assembly.received(), delivered.len() as u64);
        }
        let expected = if delivered.len() == WHOLE.len() { FinalCheck::Whole } else { FinalCheck::Short };
        prop_assert_eq!(assembly.check(WHOLE.len() as u64, &digest), expected);
    }

    // A single wrong byte anywhere is found.
    #[test]
    fn a_wrong_byte_is_never_whole(position in 0..WHOLE.len(), flip in 1..=255u8) {
        let mut wrong = WHOLE.to_vec();
        wrong[position] ^= flip;
        let mut assembly = AnswerAssembly::new(0);
        assembly.extend(&wrong);
        let check = assembly.check(WHOLE.len() as u64, &Sha256::digest(WHOLE));
        prop_assert!(matches!(check, FinalCheck::Damaged(_)));
    }
}
