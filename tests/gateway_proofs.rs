//! As of when a daemon's configuration is known to be the newest one.

use pistachiowick::gateway::peers::proofs::{ClockEcho, ProofBook, ProofNote};
use pistachiowick::names::{DaemonId, MonoTime};
use proptest::prelude::*;
use rstest::rstest;

const OWN_LIFE: u64 = 7;
const OWN_VERSION: u64 = 20;

struct ProofCase {
    version: u64,
    age_ms: Option<u64>,
    /// Daemon, life and clock that the teller had heard.
    heard: (&'static str, u64, u64),
    confirmed: Option<u64>,
}

// A hub tells how old the store's last word is. A member counts from the clock of its own
// word that the hub had heard: what was told to another daemon, to an earlier life or of
// a version that is not here yet proves nothing.
#[rstest]
#[case::fresh(ProofCase { version: 20, age_ms: Some(300), heard: ("own", 7, 5_000), confirmed: Some(4_700) })]
#[case::older_version(ProofCase { version: 19, age_ms: Some(300), heard: ("own", 7, 5_000), confirmed: Some(4_700) })]
#[case::version_not_here(ProofCase { version: 21, age_ms: Some(300), heard: ("own", 7, 5_000), confirmed: None })]
#[case::hub_does_not_know(ProofCase { version: 20, age_ms: None, heard: ("own", 7, 5_000), confirmed: None })]
#[case::another_daemon(ProofCase { version: 20, age_ms: Some(0), heard: ("other", 7, 5_000), confirmed: None })]
#[case::earlier_life(ProofCase { version: 20, age_ms: Some(0), heard: ("own", 6, 90_000), confirmed: None })]
#[case::older_than_this_life(ProofCase { version: 20, age_ms: Some(9_000), heard: ("own", 7, 5_000), confirmed: Some(0) })]
fn what_a_note_proves(#[case] case: ProofCase) {
    let (daemon, life, clock) = case.heard;
    let note = ProofNote {
        clock: MonoTime(1),
        version: case.version,
        age_ms: case.age_ms,
        echo: Some(ClockEcho {
            daemon: DaemonId::from(daemon),
            life,
            clock: MonoTime(clock),
        }),
    };
    let mut tracker = ProofBook::default();
    tracker.apply(&note, (&DaemonId::from("own"), OWN_LIFE), OWN_VERSION);
    assert_eq!(tracker.confirmed_at(), case.confirmed.map(MonoTime));
}

/// One word on its way: when it was sent and how long it is under way, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Flight {
    sent: u64,
    held: u64,
}

fn flights() -> impl Strategy<Value = Vec<Flight>> {
    let flight = (0..400_u64, 0..9_000_u64).prop_map(|(pause, held)| (pause, held));
    proptest::collection::vec(flight, 1..60).prop_map(|steps| {
        let mut sent = 0;
        steps
            .into_iter()
            .map(|(pause, held)| {
                sent += pause + 1;
                Flight { sent, held }
            })
            .collect()
    })
}

proptest! {
    // A key is taken away at some moment. The store's answer, the hub's word and the
    // member's word are each held up for anything up to nine seconds, and the three clocks
    // differ. Whatever arrives in whatever order, the member's confirmation is never newer
    // than the store's word that it rests on.
    #[test]
    fn no_confirmation_is_newer_than_the_stores_word(
        answers in flights(),
        hints in flights(),
        words in flights(),
        hub_ahead in 0..50_000_u64,
        own_ahead in 0..50_000_u64,
    ) {
        let own = DaemonId::from("own");
        let mut tracker = ProofBook::default();
        for word in &words {
            let by = word.sent;
            // What the hub knows when it sends its word, in true time.
            let asked = answers.iter().filter(|a| a.sent + a.held <= by).map(|a| a.sent).max();
            let heard = hints.iter().filter(|h| h.sent + h.held <= by).map(|h| h.sent).max();
            let mut hub = ProofBook::default();
            if let Some(heard) = heard {
                hub.record_clock(&own, OWN_LIFE, MonoTime(heard + own_ahead));
            }
            let note = ProofNote {
                clock: MonoTime(by + hub_ahead),
                version: OWN_VERSION,
                age_ms: asked.map(|asked| by - asked),
                echo: hub.echo(&own),
            };
            // It may arrive at any time after; the time of arrival counts for nothing.
            tracker.apply(&note, (&own, OWN_LIFE), OWN_VERSION);
            if let (Some(at), Some(asked)) = (tracker.confirmed_at(), asked) {
                let newest = answers.iter().filter(|a| a.sent + a.held <= by).map(|a| a.sent).max();
                prop_assert!(at.0 <= newest.unwrap_or(asked) + own_ahead);
            }
        }
    }
}
