//! Delivery of lines that are late, out of order, duplicated or truncated.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pistachiowick::requests::answer::{
    AnswerAssembly, BreakCause, DropCause, LineVerdict, ReplyError, accept_reply,
};
use pistachiowick::targets::wire::{ServiceReply, StreamEnd, StreamLine};
use rstest::rstest;
use sha2::{Digest, Sha256};

const WHOLE: &[u8] = b"crew eligible for heat 3";

fn line(attempt: u32, from: usize, to: usize) -> StreamLine {
    StreamLine {
        request_id: "request-1".into(),
        attempt,
        offset: from as u64,
        data: STANDARD.encode(&WHOLE[from..to]),
        tokens: 4,
        end: None,
    }
}

fn end(attempt: u32, length: u64) -> StreamLine {
    StreamLine {
        end: Some(StreamEnd { length }),
        offset: length,
        data: String::new(),
        ..line(attempt, 0, 0)
    }
}

fn of_other_request(line: StreamLine) -> StreamLine {
    StreamLine {
        request_id: "request-2".into(),
        ..line
    }
}

#[derive(Debug, PartialEq)]
enum Observed {
    Bytes(usize, usize),
    Whole(usize),
    Dropped(DropCause),
    Broken(BreakCause),
}

fn observe(verdict: LineVerdict) -> Observed {
    match verdict {
        LineVerdict::Deliver(part) => {
            let from = usize::try_from(part.offset).unwrap();
            let to = from + part.data.len();
            assert_eq!(part.data, WHOLE[from..to]);
            Observed::Bytes(from, to)
        }
        LineVerdict::Finish { summary, .. } => {
            Observed::Whole(usize::try_from(summary.length).unwrap())
        }
        LineVerdict::Drop(cause) => Observed::Dropped(cause),
        LineVerdict::Break(cause) => Observed::Broken(cause),
    }
}

struct LineCase {
    lines: Vec<StreamLine>,
    observed: Vec<Observed>,
}

// While the second attempt streams, lines of the first attempt or of another request,
// duplicated, garbled and truncated lines arrive in between. Only the next bytes of this
// attempt of this request may reach the caller.
#[rstest]
#[case::in_order(LineCase {
    lines: vec![line(2, 0, 10), line(2, 10, 24), end(2, 24)],
    observed: vec![Observed::Bytes(0, 10), Observed::Bytes(10, 24), Observed::Whole(24)],
})]
#[case::former_attempt(LineCase {
    lines: vec![line(1, 0, 10), line(2, 0, 5), line(1, 5, 10), end(1, 5)],
    observed: vec![
        Observed::Dropped(DropCause::OldAttempt),
        Observed::Bytes(0, 5),
        Observed::Dropped(DropCause::OldAttempt),
        Observed::Dropped(DropCause::OldAttempt),
    ],
})]
#[case::other_request(LineCase {
    lines: vec![line(2, 0, 5), of_other_request(line(2, 5, 10)), of_other_request(end(2, 5))],
    observed: vec![
        Observed::Bytes(0, 5),
        Observed::Dropped(DropCause::OtherRequest),
        Observed::Dropped(DropCause::OtherRequest),
    ],
})]
#[case::doubled_and_overlapping(LineCase {
    lines: vec![line(2, 0, 10), line(2, 0, 10), line(2, 4, 12), line(2, 10, 10)],
    observed: vec![
        Observed::Bytes(0, 10),
        Observed::Dropped(DropCause::Duplicate),
        Observed::Bytes(10, 12),
        Observed::Dropped(DropCause::Empty),
    ],
})]
#[case::gap(LineCase {
    lines: vec![line(2, 0, 10), line(2, 12, 24), line(2, 10, 12), end(2, 24)],
    observed: vec![
        Observed::Bytes(0, 10),
        Observed::Broken(BreakCause::Gap),
        Observed::Dropped(DropCause::Broken),
        Observed::Dropped(DropCause::Broken),
    ],
})]
#[case::short(LineCase {
    lines: vec![line(2, 0, 10), StreamLine { offset: 10, ..end(2, 24) }],
    observed: vec![Observed::Bytes(0, 10), Observed::Broken(BreakCause::Short)],
})]
#[case::overlong(LineCase {
    lines: vec![line(2, 0, 10), end(2, 8)],
    observed: vec![Observed::Bytes(0, 10), Observed::Broken(BreakCause::Short)],
})]
#[case::garbled(LineCase {
    lines: vec![StreamLine { data: "*".to_owned(), ..line(2, 0, 5) }],
    observed: vec![Observed::Broken(BreakCause::Garbled)],
})]
#[case::offset_out_of_range(LineCase {
    lines: vec![StreamLine { offset: u64::MAX, ..line(2, 0, 5) }],
    observed: vec![Observed::Broken(BreakCause::Garbled)],
})]
#[case::after_the_end(LineCase {
    lines: vec![line(2, 0, 24), end(2, 24), line(2, 20, 24), end(2, 24)],
    observed: vec![
        Observed::Bytes(0, 24),
        Observed::Whole(24),
        Observed::Dropped(DropCause::Finished),
        Observed::Dropped(DropCause::Finished),
    ],
})]
fn lines_reach_the_caller_once_and_in_order(#[case] case: LineCase) {
    pistachiowick::invariants::make_fatal();
    let mut answer = AnswerAssembly::new("request-1".into());
    answer.begin_attempt(2);
    let observed: Vec<Observed> = case
        .lines
        .iter()
        .map(|l| observe(answer.accept(l)))
        .collect();
    assert_eq!(observed, case.observed);
    let dropped = case
        .observed
        .iter()
        .filter(|s| matches!(s, Observed::Dropped(_)))
        .count();
    assert_eq!(answer.drops().values().sum::<u64>(), dropped as u64);
}

// An engine crashes after ten bytes. The next attempt continues from there and repeats a
// few of them; the digest of the answer covers all bytes once.
#[test]
fn next_attempt_continues_after_the_bytes_delivered() {
    let mut answer = AnswerAssembly::new("request-1".into());
    answer.begin_attempt(1);
    assert_eq!(
        observe(answer.accept(&line(1, 0, 10))),
        Observed::Bytes(0, 10)
    );
    answer.begin_attempt(2);
    assert_eq!(
        observe(answer.accept(&line(2, 6, 20))),
        Observed::Bytes(10, 20)
    );
    let last = StreamLine {
        end: Some(StreamEnd { length: 24 }),
        ..line(2, 20, 24)
    };
    match answer.accept(&last) {
        LineVerdict::Finish { part, summary } => {
            assert_eq!(part.unwrap().data, WHOLE[20..]);
            assert_eq!(summary.digest, Some(Sha256::digest(WHOLE).into()));
        }
        other => panic!("{other:?}"),
    }
}

// A caller with sixteen bytes resumes through another daemon. It gets the rest and the
// length; that daemon never had the beginning, so it gives no digest.
#[test]
fn resumed_answer_has_a_length_and_no_digest() {
    let mut answer = AnswerAssembly::resume_from("request-1".into(), 16);
    answer.begin_attempt(3);
    assert_eq!(
        observe(answer.accept(&line(3, 10, 24))),
        Observed::Bytes(16, 24)
    );
    match answer.accept(&end(3, 24)) {
        LineVerdict::Finish {
            part: None,
            summary,
        } => {
            assert_eq!((summary.length, summary.digest), (24, None));
        }
        other => panic!("{other:?}"),
    }
}

struct ReplyCase {
    request: &'static str,
    key: &'static str,
    data: &'static str,
    length: u64,
    accepted: Result<Vec<u8>, ReplyError>,
}

// A service replies with another request's id or key, or with a truncated answer. The
// answer to another request must never reach the caller.
#[rstest]
#[case::whole(ReplyCase {
    request: "request-1", key: "receipt", data: "cGFpZA==", length: 4,
    accepted: Ok(b"paid".to_vec()),
})]
#[case::other_request(ReplyCase {
    request: "request-2", key: "receipt", data: "cGFpZA==", length: 4,
    accepted: Err(ReplyError::OtherRequest),
})]
#[case::other_key(ReplyCase {
    request: "request-1", key: "refund", data: "cGFpZA==", length: 4,
    accepted: Err(ReplyError::OtherRequest),
})]
#[case::short(ReplyCase {
    request: "request-1", key: "receipt", data: "cGFp", length: 4,
    accepted: Err(ReplyError::Short),
})]
#[case::garbled(ReplyCase {
    request: "request-1", key: "receipt", data: "?", length: 4,
    accepted: Err(ReplyError::Garbled),
})]
fn reply_of_a_service_answers_its_own_call(#[case] case: ReplyCase) {
    let reply = ServiceReply {
        request_id: case.request.into(),
        key: case.key.into(),
        data: case.data.to_owned(),
        length: case.length,
    };
    let accepted = accept_reply(&reply, &"request-1".into(), &"receipt".into());
    assert_eq!(accepted, case.accepted);
}
