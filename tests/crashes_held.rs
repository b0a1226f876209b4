//! Which work is held for the targets that ended under it, in virtual time.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use pistachiowick::access_key::KeyDigest;
use pistachiowick::crashes::broadcasts::CrashReport;
use pistachiowick::crashes::tracker::ExchangeTimes;
use pistachiowick::crashes::tracker::{CrashTracker, WorkStatus};
use pistachiowick::crashes::work_digest::WorkDigest;
use pistachiowick::gateway::call::work_digest;
use pistachiowick::gateway::client::OutgoingRequest;
use pistachiowick::gateway::model::CallerAccess;
use pistachiowick::gateway::quarantine::records::QuarantineRecord;
use pistachiowick::names::{MonoTime, TargetId, UnixTime};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;

fn work(number: u8) -> WorkDigest {
    let text = format!("{number:032x}");
    text.parse().expect("a digest")
}

fn life(number: u64) -> TargetIncarnation {
    TargetIncarnation::from(format!("t{number}"))
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms)
}

fn times(opened: u64, sent: u64) -> ExchangeTimes {
    ExchangeTimes {
        opened: at(opened),
        sent: at(sent),
    }
}

fn ended(book: &mut CrashTracker, ends: u64, from_ms: u64) {
    for number in 0..ends {
        book.note_end(work(1), &life(number), at(from_ms + number * SECOND));
    }
}

fn is_sent(book: &mut CrashTracker, tries: bool, ms: u64) -> bool {
    !matches!(book.standing(work(1), tries, at(ms)), WorkStatus::Held(_))
}

struct HoldCase {
    // Numbers of the targets that ended under the work.
    ends: &'static [u64],
    held: bool,
}

// Guards against work that is sent on though it ended three targets, and against work that is
// refused for one target that ended several of its connections.
#[rstest]
#[case::two(HoldCase { ends: &[1, 2], held: false })]
#[case::three(HoldCase { ends: &[1, 2, 3], held: true })]
#[case::one_target_thrice(HoldCase { ends: &[1, 1, 1], held: false })]
#[case::three_of_two(HoldCase { ends: &[1, 2, 1], held: false })]
fn what_is_held(#[case] case: HoldCase) {
    let mut book = CrashTracker::default();
    let mut became_held = false;
    for (number, target) in case.ends.iter().enumerate() {
        became_held |= book.note_end(work(1), &life(*target), at(number as u64));
    }
    assert_eq!((book.is_held(work(1)), became_held), (case.held, case.held));
    assert!(!book.is_held(work(2)));
}

struct ProofCase {
    born: Option<UnixTime>,
    // When the connection on which the target answers was opened, when the request was sent,
    // and when the answer ended. The end of the other connection is at 1,000.
    opened: u64,
    sent: u64,
    answered: u64,
    refutes: bool,
}

// Guards against work that is held for answers that living targets cut, and against a target
// that started again and is taken for the one that ended.
#[rstest]
#[case::asked_afterwards(ProofCase { born: None, opened: 1_100, sent: 1_200, answered: 1_250, refutes: true })]
#[case::answered_with_the_end(ProofCase { born: None, opened: 500, sent: 900, answered: 1_010, refutes: false })]
#[case::answered_long_after(ProofCase { born: None, opened: 500, sent: 900, answered: 1_400, refutes: true })]
#[case::old_connection(ProofCase { born: Some(UnixTime(7)), opened: 500, sent: 1_200, answered: 1_250, refutes: true })]
#[case::new_life_of_the_name(ProofCase { born: Some(UnixTime(7)), opened: 1_100, sent: 1_200, answered: 9_000, refutes: false })]
fn a_target_that_lives_on_was_not_ended(#[case] case: ProofCase) {
    let mut book = CrashTracker::default();
    let target = TargetIncarnation::new(TargetId::from("t"), case.born);
    book.note_end(work(1), &target, at(1_000));
    book.note_answer(&target, times(case.opened, case.sent), at(case.answered));
    assert_eq!(book.ends(work(1)).is_empty(), case.refutes);
}

// Guards against popular work that is refused because targets ended for other reasons.
#[test]
fn work_that_runs_to_its_end_is_no_suspect() {
    let mut book = CrashTracker::default();
    ended(&mut book, 2, 0);
    book.note_whole(work(1), at(5 * SECOND));
    assert!(!book.note_end(work(1), &life(7), at(6 * SECOND)));
    assert!(!book.is_held(work(1)));
}

// Guards against daemons that each count only what they saw.
#[test]
fn what_daemons_tell_each_other_adds_up() {
    let mut books = [0, 1, 2].map(|_| CrashTracker::default());
    for (number, book) in books.iter_mut().enumerate() {
        book.note_end(work(1), &life(number as u64), at(0));
    }
    for tick in 1..=10 {
        let now = at(tick * 200);
        let words: Vec<Vec<CrashReport>> = books.iter_mut().map(|book| book.pick(now)).collect();
        for book in &mut books {
            for note in words.iter().flatten() {
                book.take_note(note, false, now);
            }
        }
    }
    assert!(books.iter().all(|book| book.is_held(work(1))));
}

// Guards against words that are lost: a daemon that hears nothing of the news has to learn
// of work that ended more than one target.
#[test]
fn old_news_are_told_again() {
    let mut book = CrashTracker::default();
    ended(&mut book, 3, 0);
    for tick in 0..50 {
        book.pick(at(3 * SECOND + tick * 200));
    }
    let later: Vec<CrashReport> = (0..6)
        .flat_map(|tick| book.pick(at(MINUTE + tick * 200)))
        .collect();
    assert!(!later.is_empty());
    let mut other = CrashTracker::default();
    assert!(other.take_note(&later[0], false, at(MINUTE)));
}

// Guards against words full of connections that were cut and mean nothing.
#[test]
fn what_is_refuted_at_once_is_not_told() {
    let mut book = CrashTracker::default();
    book.note_end(work(1), &life(1), at(1_000));
    assert!(book.pick(at(1_050)).is_empty());
    book.note_answer(&life(1), times(900, 1_100), at(1_150));
    assert!(book.pick(at(2_000)).is_empty());
    assert!(book.is_empty());
}

// Guards against a suspicion that stays elsewhere after its target showed that it lives.
#[test]
fn what_was_told_is_taken_back() {
    let (mut book, mut other) = (CrashTracker::default(), CrashTracker::default());
    book.note_end(work(1), &life(1), at(1_000));
    for note in book.pick(at(1_300)) {
        other.take_note(&note, false, at(1_300));
    }
    assert_eq!(other.ends(work(1)), [life(1)]);
    book.note_answer(&life(1), times(900, 1_400), at(1_450));
    for note in book.pick(at(1_500)) {
        other.take_note(&note, false, at(1_500));
    }
    assert!(other.ends(work(1)).is_empty());
}

struct EntryCase {
    has_entry: bool,
    // When the store was heard again after a silence; the ends are at 0 to 2,000.
    heard_since: u64,
    now: u64,
    held: bool,
}

// Guards against work that is held for targets that cut its answers and live, and against an
// entry that could not lapse as the store was away.
#[rstest]
#[case::lives(EntryCase { has_entry: true, heard_since: 0, now: 12 * SECOND, held: false })]
#[case::ended(EntryCase { has_entry: false, heard_since: 0, now: 12 * SECOND, held: true })]
#[case::may_still_lapse(EntryCase { has_entry: true, heard_since: 0, now: 9 * SECOND, held: true })]
#[case::store_was_away(EntryCase { has_entry: true, heard_since: 8 * SECOND, now: 12 * SECOND, held: true })]
#[case::store_is_back(EntryCase { has_entry: true, heard_since: 8 * SECOND, now: 18 * SECOND, held: false })]
fn a_target_that_keeps_its_entry_was_not_ended(#[case] case: EntryCase) {
    let mut book = CrashTracker::default();
    ended(&mut book, 3, 0);
    let lapse = Duration::from_secs(10);
    book.note_entries(
        |_| case.has_entry,
        lapse,
        at(case.heard_since),
        at(case.now),
    );
    assert_eq!(book.is_held(work(1)), case.held);
}

struct TrialCase {
    ends: u64,
    tries: bool,
    after_ms: u64,
    sent: bool,
}

// Guards against work that is refused for ever by itself, and against trials that end one
// target after the other.
#[rstest]
#[case::too_early(TrialCase { ends: 3, tries: true, after_ms: 9 * MINUTE, sent: false })]
#[case::first(TrialCase { ends: 3, tries: true, after_ms: 11 * MINUTE, sent: true })]
#[case::elsewhere(TrialCase { ends: 3, tries: false, after_ms: 11 * MINUTE, sent: false })]
#[case::second_too_early(TrialCase { ends: 4, tries: true, after_ms: 11 * MINUTE, sent: false })]
#[case::second(TrialCase { ends: 4, tries: true, after_ms: 61 * MINUTE, sent: true })]
#[case::no_third(TrialCase { ends: 5, tries: true, after_ms: 20 * 60 * MINUTE, sent: false })]
fn when_held_work_is_tried(#[case] case: TrialCase) {
    let mut book = CrashTracker::default();
    ended(&mut book, case.ends, 0);
    let now = case.ends * SECOND + case.after_ms;
    assert_eq!(is_sent(&mut book, case.tries, now), case.sent);
    assert!(!is_sent(&mut book, case.tries, now + 10), "one at a time");
}

// Guards against a flood of works, each of which ended a connection, that pushes out what is
// held.
#[test]
fn a_flood_does_not_push_out_held_work() {
    let mut book = CrashTracker::default();
    ended(&mut book, 3, 0);
    for number in 0..40_000_u64 {
        let other = format!("{:032x}", number + 100);
        let other = other.parse().expect("a digest");
        book.note_end(other, &life(number + 100), at(10 * SECOND + number));
    }
    assert!(book.is_held(work(1)));
    assert!(book.len() <= 8_192);
}

// Guards against memory that grows for ever.
#[test]
fn what_is_over_is_forgotten() {
    let mut book = CrashTracker::default();
    ended(&mut book, 2, 0);
    book.sweep(at(5 * MINUTE));
    assert_eq!(book.ends(work(1)).len(), 2);
    book.sweep(at(12 * MINUTE));
    assert!(book.is_empty());
}

// Guards against works that daemons tell each other for ever, as each learns them anew from
// another one after it forgot them.
#[test]
fn what_all_have_forgotten_stays_forgotten() {
    let mut books = [0, 1].map(|_| CrashTracker::default());
    ended(&mut books[0], 2, 0);
    for tick in 0..(15 * MINUTE / 200) {
        // The second one hears and forgets a little later.
        let now = [at(tick * 200), at(tick * 200 + 100)];
        for number in [0, 1] {
            let word = books[number].pick(now[number]);
            for note in &word {
                books[1 - number].take_note(note, true, now[number]);
            }
            books[number].sweep(now[number]);
        }
    }
    assert!(books.iter().all(CrashTracker::is_empty));
}

// Guards against popular work that is never held, as it was cut and cleared too often.
#[test]
fn work_that_was_often_cleared_can_be_held() {
    let mut book = CrashTracker::default();
    for number in 100..200 {
        let ms = number * SECOND;
        book.note_end(work(1), &life(number), at(ms));
        book.pick(at(ms + 500));
        book.note_whole(work(1), at(ms + 600));
    }
    ended(&mut book, 3, 300 * SECOND);
    assert!(book.is_held(work(1)));
}

struct DigestCase {
    method: Method,
    host: &'static str,
    path: &'static str,
    workspace: Option<&'static str>,
    body: &'static str,
    same: bool,
}

// Guards against a caller that gets another one's work held, and against attempts of a work
// that are not known for it.
#[rstest]
#[case::again(DigestCase { method: Method::POST, host: "a.example", path: "/p/1?q=2", workspace: Some("w"), body: "b", same: true })]
#[case::method(DigestCase { method: Method::PUT, host: "a.example", path: "/p/1?q=2", workspace: Some("w"), body: "b", same: false })]
#[case::host(DigestCase { method: Method::POST, host: "b.example", path: "/p/1?q=2", workspace: Some("w"), body: "b", same: false })]
#[case::query(DigestCase { method: Method::POST, host: "a.example", path: "/p/1?q=3", workspace: Some("w"), body: "b", same: false })]
#[case::workspace(DigestCase { method: Method::POST, host: "a.example", path: "/p/1?q=2", workspace: Some("v"), body: "b", same: false })]
#[case::no_workspace(DigestCase { method: Method::POST, host: "a.example", path: "/p/1?q=2", workspace: None, body: "b", same: false })]
#[case::body(DigestCase { method: Method::POST, host: "a.example", path: "/p/1?q=2", workspace: Some("w"), body: "c", same: false })]
#[case::moved_bytes(DigestCase { method: Method::POST, host: "a.example", path: "/p/1?q=2", workspace: None, body: "wb", same: false })]
fn which_work_is_the_same(#[case] case: DigestCase) {
    let digest = |id: &str, case: &DigestCase| {
        let mut headers = HeaderMap::new();
        headers.insert("attempt", id.parse().expect("a value"));
        let request = OutgoingRequest {
            method: case.method.clone(),
            uri: case.path.parse().expect("a path"),
            headers,
            body: Bytes::from_static(case.body.as_bytes()),
        };
        let access = case
            .workspace
            .map_or(CallerAccess::Open, |name| CallerAccess::Workspace {
                name: name.into(),
                key: KeyDigest::of(id.as_bytes()),
            });
        work_digest(case.host, &request, &access)
    };
    let first = DigestCase {
        method: Method::POST,
        host: "a.example",
        path: "/p/1?q=2",
        workspace: Some("w"),
        body: "b",
        same: true,
    };
    assert_eq!(digest("1", &first) == digest("2", &case), case.same);
}

struct RecordCase {
    name: &'static str,
    value: &'static str,
    // Lives that ended and lives that were let go, or what the fault says.
    read: Result<(usize, usize), &'static str>,
}

const NAME: &str = "000102030405060708090a0b0c0d0e0f";

// Guards against a store's object, written by anybody, that stops a daemon or holds work for
// nothing.
#[rstest]
#[case::held(RecordCase { name: NAME, value: r#"{"ends":[["t1",null],["t2",null],["t3",5]]}"#, read: Ok((3, 0)) })]
#[case::let_go(RecordCase { name: NAME, value: r#"{"ends":[["t1",null]],"released":true}"#, read: Ok((0, 1)) })]
#[case::unknown_field(RecordCase { name: NAME, value: r#"{"ends":[],"note":"seen"}"#, read: Ok((0, 0)) })]
#[case::no_digest(RecordCase { name: "work", value: r#"{"ends":[]}"#, read: Err("no digest") })]
#[case::no_json(RecordCase { name: NAME, value: "{", read: Err("cannot be read") })]
#[case::no_ends(RecordCase { name: NAME, value: "{}", read: Err("cannot be read") })]
fn what_the_store_keeps(#[case] case: RecordCase) {
    let read = QuarantineRecord::note(case.name, case.value.as_bytes());
    match (read, case.read) {
        (Ok(note), Ok(counts)) => {
            assert_eq!((note.ends.len(), note.refuted.len()), counts);
            assert_eq!(note.work.to_string(), case.name);
        }
        (Err(fault), Err(text)) => assert!(fault.to_string().contains(text), "{fault}"),
        (read, _) => panic!("{read:?}"),
    }
}

// Guards against a record that forgets what it was kept for.
#[test]
fn a_record_is_read_as_it_was_written() {
    let mut record = QuarantineRecord::default();
    assert!(record.add(&[life(1), life(2)]));
    assert!(!record.add(&[life(2)]));
    let read = QuarantineRecord::decode(NAME, &record.encode());
    assert_eq!(read, Ok(record));
}
