//! What a hub tells in a word, and how large words are in a large fleet.

use indexmap::IndexSet;
use pistachiowick::gateway::deciding::load::TargetWork;
use pistachiowick::gateway::deciding::stage_plan::WorkRate;
use pistachiowick::gateway::peers::note_turns::NoteTurns;
use pistachiowick::gateway::peers::wire::{MemberNote, PeerMessage, PeerSummary};
use pistachiowick::names::{DaemonId, TargetId, UnixTime};
use pistachiowick::target_life::TargetLife;
use rstest::rstest;

/// Daemons of a large fleet, in three data centres.
const DAEMONS: usize = 300;
/// Targets with work at a time.
const WORKING: usize = 300;
/// Most bytes of a word: a hub with 100 members and a link of 25 MB a second sends five
/// words a second to each, and half of the link is for callers.
const MOST_BYTES: usize = 25_000;

fn note(index: usize) -> MemberNote {
    MemberNote {
        id: DaemonId::from(format!("gateway-{index:03}").as_str()),
        age_ms: 180,
        leaving: false,
        config_version: 1_204,
        changing: Vec::new(),
        confirms_keys: true,
    }
}

fn fleet(count: usize) -> Vec<MemberNote> {
    (0..count).map(note).collect()
}

fn work(index: usize) -> (TargetLife, TargetWork) {
    let born = UnixTime(1_790_000_000_000 + index as u64);
    let life = TargetLife::new(
        TargetId::from(format!("llm-pool-{index:04}").as_str()),
        Some(born),
    );
    let mut work = TargetWork {
        running: 12,
        ..TargetWork::default()
    };
    work.unread[1] = 9_800;
    work.unread[3] = 15_200;
    (life, work)
}

fn word(broadcasts: &mut NoteTurns) -> PeerMessage {
    let mut members = broadcasts.due_members(fleet(DAEMONS - 1));
    members.push(note(DAEMONS));
    PeerMessage::Summary(PeerSummary {
        from: DaemonId::from("gateway-300"),
        life: 1_790_000_000_000,
        whole: true,
        members,
        work: (0..WORKING).map(work).collect(),
        held: Vec::new(),
        departed: Vec::new(),
        entries: Vec::new(),
        works: Vec::new(),
        rate: WorkRate::default(),
        store_age_ms: 40,
        placed_through: 9_000,
        true_time: Some(UnixTime(1_790_000_000_000)),
        usage: Vec::new(),
    })
}

// A hub of a large fleet sends its words to a hundred members. When a word tells each of
// them of each daemon, by field names, the hub's link is full; departures and changes of
// configuration then wait behind words, and callers wait behind both.
#[test]
fn a_word_of_a_large_fleet_leaves_half_of_the_hubs_link() {
    let mut broadcasts = NoteTurns::default();
    // Whoever links up first is told of all; from then on it goes by turns.
    let _ = word(&mut broadcasts);
    for _ in 0..4 {
        let bytes = word(&mut broadcasts).encode().into_data().len();
        assert!(bytes <= MOST_BYTES, "{bytes} bytes");
    }
}

#[test]
fn each_daemon_is_told_of_within_two_words() {
    let mut broadcasts = NoteTurns::default();
    let _ = broadcasts.due_members(fleet(DAEMONS));
    for _ in 0..3 {
        let words = [
            broadcasts.due_members(fleet(DAEMONS)),
            broadcasts.due_members(fleet(DAEMONS)),
        ];
        let told: IndexSet<DaemonId> = words.into_iter().flatten().map(|note| note.id).collect();
        assert_eq!(told.len(), DAEMONS);
    }
}

struct ChangeCase {
    change: fn(&mut MemberNote),
    at_once: bool,
}

// A daemon leaves, orders an engine or loses track of the keys: readers send it no more
// callers and leave that engine alone, so they hear of it with the next word and not at
// the daemon's turn. That it was heard again is nothing to act on.
#[rstest]
#[case::leaving(ChangeCase { change: |note| note.leaving = true, at_once: true })]
#[case::keys_not_confirmed(ChangeCase { change: |note| note.confirms_keys = false, at_once: true })]
#[case::ordering(ChangeCase { change: |note| note.changing = vec![TargetLife::from("engine")], at_once: true })]
#[case::heard_again(ChangeCase { change: |note| note.age_ms = 20, at_once: false })]
fn what_is_told_at_once(#[case] case: ChangeCase) {
    for words in 0..2 {
        let mut broadcasts = NoteTurns::default();
        for _ in 0..=words {
            let _ = broadcasts.due_members(fleet(DAEMONS));
        }
        let mut changed = fleet(DAEMONS);
        changed.iter_mut().for_each(|note| (case.change)(note));
        let told = broadcasts.due_members(changed).len();
        assert_eq!(told == DAEMONS, case.at_once, "{told} of {DAEMONS}");
    }
}

#[test]
fn a_daemon_that_comes_back_is_told_of_at_once() {
    for words in 0..2 {
        let mut broadcasts = NoteTurns::default();
        for _ in 0..=words {
            let _ = broadcasts.due_members(fleet(DAEMONS));
        }
        let _ = broadcasts.due_members(Vec::new());
        assert_eq!(broadcasts.due_members(fleet(DAEMONS)).len(), DAEMONS);
    }
}

#[test]
fn work_at_a_rank_that_engines_do_not_tell_apart_is_refused() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&(3_u32, vec![(10_u8, 700_u32)]), &mut bytes).expect("it encodes");
    let read: Result<TargetWork, _> = ciborium::from_reader(&bytes[..]);
    assert!(read.is_err());
}
