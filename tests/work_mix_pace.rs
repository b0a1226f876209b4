//! Mix of prefill and decode work, and the service rate of a queue.

use pistachiowick::decide::placement::PoolSide;
use pistachiowick::names::MonoTime;
use pistachiowick::roles::work_mix::{PlacementRate, WorkMix};
use rstest::rstest;

struct MixCase {
    work: &'static [(PoolSide, f64, u64)],
    share: f64,
}

#[rstest]
#[case::no_work(MixCase { work: &[], share: 0.0 })]
#[case::all_prefill(MixCase { work: &[(PoolSide::Prefill, 2.0, 0)], share: 1.0 })]
#[case::even(
    MixCase { work: &[(PoolSide::Prefill, 1.0, 0), (PoolSide::Decode, 1.0, 0)], share: 0.5 }
)]
#[case::old_work_counts_half(
    MixCase { work: &[(PoolSide::Prefill, 1.0, 0), (PoolSide::Decode, 1.0, 3_000)], share: 1.0 / 3.0 }
)]
#[case::old_work_decays_to_zero(
    MixCase { work: &[(PoolSide::Prefill, 1.0, 0), (PoolSide::Decode, 1.0, 300_000)], share: 0.0 }
)]
fn share_of_prefill_work(#[case] case: MixCase) {
    let mut mix = WorkMix::default();
    for (side, cost, at_ms) in case.work {
        mix.add(*side, *cost, MonoTime(*at_ms));
    }
    let share = mix.prefill_share();
    assert!((share - case.share).abs() < 1e-9, "{share}");
}

// Ten engine-seconds are placed per second while requests are queued. The rate is known
// after requests have been queued for a half-life, and unknown once the queue is empty.
#[test]
fn rate_is_placed_cost_while_requests_are_queued() {
    let mut placement_rate = PlacementRate::default();
    for step in 0..300 {
        let now = MonoTime(step * 100);
        placement_rate.record_waiting(true, now);
        placement_rate.add(1.0, now);
        if now < MonoTime(3_000) {
            assert_eq!(placement_rate.rate(now), None, "at {now:?}");
        }
    }
    let rate = placement_rate
        .rate(MonoTime(30_000))
        .expect("work has waited");
    assert!((9.0..11.0).contains(&rate), "{rate}");
    placement_rate.record_waiting(false, MonoTime(30_000));
    assert_eq!(placement_rate.rate(MonoTime(30_000)), None);
}

struct PartCase {
    prefill: f64,
    decode: f64,
    daemons: usize,
    min: f64,
    max: f64,
}

/// Guards against a batch of long prompts that exceeds the fleet's capacity: by its share
/// of the work it would get nearly all engines, and urgent short requests beside it would
/// be refused. The decode side gets the engines it needs first.
#[rstest]
#[case::no_prefill_work(PartCase { prefill: 0.0, decode: 5.0, daemons: 7, min: 0.0, max: 0.0 })]
#[case::only_prefill(PartCase { prefill: 5.0, decode: 0.0, daemons: 7, min: 1.0, max: 1.0 })]
#[case::light_load_is_split_by_shares(
    PartCase { prefill: 0.3, decode: 0.1, daemons: 1, min: 0.74, max: 0.76 }
)]
#[case::prefill_flood_leaves_what_decode_needs(
    PartCase { prefill: 80.0, decode: 2.0, daemons: 7, min: 0.60, max: 0.70 }
)]
#[case::decode_beyond_the_fleet_leaves_the_minimum(
    PartCase { prefill: 1.0, decode: 50.0, daemons: 7, min: 1e-9, max: 0.01 }
)]
fn part_of_the_prefill_side(#[case] case: PartCase) {
    let mut mix = WorkMix::default();
    let now = MonoTime(1);
    mix.add(PoolSide::Prefill, case.prefill, now);
    mix.add(PoolSide::Decode, case.decode, now);
    let part = mix.prefill_part(12, case.daemons);
    assert!((case.min..=case.max).contains(&part), "{part}");
}
