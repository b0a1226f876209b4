//! Mix of prefill and decode work, and the service rate of a queue.

use pistachiowick::decide::placement::WorkSide;
use pistachiowick::names::MonoTime;
use pistachiowick::roles::work_mix::{PlacedPace, WorkMix};
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

// Ten engine-seconds are placed per second while requests are queued. The rate is known
// after requests have been queued for a half-life, and unknown once the queue is empty.
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

struct PartCase {
    reading: f64,
    writing: f64,
    daemons: usize,
    least: f64,
    most: f64,
}

/// Guards against a batch of long prompts that exceeds the fleet's capacity: by its share
/// of the work it would get nearly all engines, and urgent short requests beside it would
/// be refused. The decode side gets the engines it needs first.
#[rstest]
#[case::nothing_to_read(PartCase { reading: 0.0, writing: 5.0, daemons: 7, least: 0.0, most: 0.0 })]
#[case::only_reading(PartCase { reading: 5.0, writing: 0.0, daemons: 7, least: 1.0, most: 1.0 })]
#[case::light_work_goes_by_shares(
    PartCase { reading: 0.3, writing: 0.1, daemons: 1, least: 0.74, most: 0.76 }
)]
#[case::flood_of_reading_leaves_what_writing_needs(
    PartCase { reading: 80.0, writing: 2.0, daemons: 7, least: 0.60, most: 0.70 }
)]
#[case::writing_beyond_the_fleet_leaves_the_least(
    PartCase { reading: 1.0, writing: 50.0, daemons: 7, least: 1e-9, most: 0.01 }
)]
fn part_that_reads(#[case] case: PartCase) {
    let mut mix = WorkMix::default();
    let now = MonoTime(1);
    mix.add(WorkSide::Reading, case.reading, now);
    mix.add(WorkSide::Writing, case.writing, now);
    let part = mix.reading_part(12, case.daemons);
    assert!((case.least..=case.most).contains(&part), "{part}");
}
