//! The mix of reading and writing, and the pace at which a queue is served.

use pistachiowick::names::MonoTime;
use pistachiowick::placement::WorkSide;
use pistachiowick::work_mix::{PlacedPace, WorkMix};
use rstest::rstest;

struct MixCase {
    work: &'static [(WorkSide, f64, u64)],
    share: f64,
}

#[rstest]
#[case::no_work(MixCase { work: &[], share: 0.0 })]
#[case::all_reading(MixCase { work: &[(WorkSide::Reading, 2.0, 0)], share: 1.0 })]
#[case::even(
    MixCase { work: &[(WorkSide::Reading, 1.0, 0), (WorkSide::Writing, 1.0, 0)], share: 0.5 }
)]
#[case::old_work_counts_half(
    MixCase { work: &[(WorkSide::Reading, 1.0, 0), (WorkSide::Writing, 1.0, 3_000)], share: 1.0 / 3.0 }
)]
#[case::long_past_is_forgotten(
    MixCase { work: &[(WorkSide::Reading, 1.0, 0), (WorkSide::Writing, 1.0, 300_000)], share: 0.0 }
)]
fn share_of_reading(#[case] case: MixCase) {
    let mut mix = WorkMix::default();
    for (side, cost, at_ms) in case.work {
        mix.add(*side, *cost, MonoTime(*at_ms));
    }
    let share = mix.reading_share();
    assert!((share - case.share).abs() < 1e-9, "{share}");
}

// Ten engine-seconds are placed every second while work waits; the pace is known once
// work has waited for a while, and is forgotten when nothing waits.
#[test]
fn pace_is_what_was_placed_while_work_waited() {
    let mut pace = PlacedPace::default();
    for step in 0..300 {
        let now = MonoTime(step * 100);
        pace.note_waiting(true, now);
        pace.add(1.0, now);
        if now < MonoTime(3_000) {
            assert_eq!(pace.rate(now), None, "at {now:?}");
        }
    }
    let rate = pace.rate(MonoTime(30_000)).expect("work has waited");
    assert!((9.0..11.0).contains(&rate), "{rate}");
    pace.note_waiting(false, MonoTime(30_000));
    assert_eq!(pace.rate(MonoTime(30_000)), None);
}
