//! Share of prefill engines by measured work, in virtual time.

use std::f64::consts::TAU;

use pistachiowick::gateway::deciding::stage_plan::{ServiceTime, StageShare, prefill_engine_count};
use pistachiowick::gateway::deciding::work_meter::WorkMeter;
use pistachiowick::names::{MonoTime, ServiceName};
use rstest::rstest;

/// Interval between updates of the plan.
const TICK: u64 = 250;
const ENGINES: usize = 57;

/// Runs for a time with the work `work(now)`, in busy engines of prefill and decode; returns
/// the times at which the share changed and the shares.
fn run(
    share: &mut StageShare,
    (from, until): (u64, u64),
    work: impl Fn(u64) -> (f64, f64),
) -> Vec<(u64, f64)> {
    let mut changes = Vec::new();
    for now in (from..until).step_by(TICK as usize) {
        let (prefill, decode) = work(now);
        let time = ServiceTime {
            service: ServiceName::from("chat"),
            prefill,
            decode,
        };
        let before = share.share();
        let after = share.update(&time, ENGINES, MonoTime(now));
        if (after - before).abs() > 1e-9 {
            changes.push((now, after));
        }
    }
    changes
}

/// Work with a mean of `mean`, of which the prefill part alternates every 2.8 s between 1.9 and
/// 0.4 times its size, and the decode part the other way round.
fn swing(mean: (f64, f64)) -> impl Fn(u64) -> (f64, f64) {
    move |now| {
        let (prefill, decode) = match (now / 2_800) % 2 {
            0 => (1.9, 0.4),
            _ => (0.4, 1.9),
        };
        (mean.0 * prefill, mean.1 * decode)
    }
}

fn wave(mean: (f64, f64), period_ms: f64, amplitude: f64) -> impl Fn(u64) -> (f64, f64) {
    move |now| {
        let factor = 1.0 + amplitude * (now as f64 / period_ms * TAU).sin();
        (mean.0 * factor, mean.1 * factor)
    }
}

// Loads that pass before a change pays off: each change takes an engine out of service for 3 s.
// With 24 prefill engines, 13.2 busy ones are the most before more are needed.
#[rstest]
#[case::swing(swing((11.0, 7.0)))]
#[case::slow_wave(wave((11.0, 7.0), 17_000.0, 0.55))]
#[case::fast_wave(wave((12.0, 8.0), 11_000.0, 0.27))]
#[case::burst(|now| (if now % 60_000 < 2_800 { 30.0 } else { 8.0 }, 5.0))]
#[case::enough_engines_for_an_uneven_mix(|_| (12.0, 1.0))]
#[case::both_stages_lack_engines(|_| (30.0, 20.0))]
#[case::no_work(|_| (0.0, 0.0))]
fn share_stays(#[case] work: impl Fn(u64) -> (f64, f64)) {
    let mut share = StageShare::new(0.42);
    assert_eq!(run(&mut share, (0, 240_000), work), []);
}

struct ShiftCase {
    /// Engines kept busy by prefill and decode after the shift.
    work: (f64, f64),
    /// Prefill engines of 57 in the end.
    prefill_engines: (usize, usize),
}

// The mix of the work shifts for good: the stage that lacks engines gets them step by step, as
// far as the other one can spare them and the bounds allow.
#[rstest]
#[case::more_prefill(ShiftCase { work: (18.0, 4.0), prefill_engines: (31, 34) })]
#[case::more_decode(ShiftCase { work: (5.0, 13.0), prefill_engines: (12, 15) })]
#[case::upper_bound(ShiftCase { work: (60.0, 0.5), prefill_engines: (38, 40) })]
#[case::lower_bound(ShiftCase { work: (0.5, 30.0), prefill_engines: (11, 12) })]
fn lasting_shift_is_followed(#[case] case: ShiftCase) {
    let mut share = StageShare::new(0.42);
    run(&mut share, (0, 60_000), |_| (10.0, 6.0));
    let changes = run(&mut share, (60_000, 300_000), |_| case.work);
    let (least, most) = case.prefill_engines;
    let count = prefill_engine_count(ENGINES, share.share());
    assert!((least..=most).contains(&count), "{count}: {changes:?}");
    for pair in changes.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 12_000, "{changes:?}");
        assert!((pair[1].1 - pair[0].1).abs() <= 0.051, "{changes:?}");
    }
    let later = run(&mut share, (300_000, 600_000), |_| case.work);
    assert_eq!(later, [], "steady work gives no order");
}

// A small fleet changes one engine at a time: 5% of four engines are none.
#[test]
fn small_fleet_changes_one_engine() {
    let mut share = StageShare::new(0.42);
    let time = ServiceTime {
        service: ServiceName::from("chat"),
        prefill: 1.5,
        decode: 0.3,
    };
    for now in (0..60_000).step_by(TICK as usize) {
        share.update(&time, 5, MonoTime(now));
    }
    assert_eq!(prefill_engine_count(5, share.share()), 3);
}

// Engine times of requests add up to busy engines, by service, and are forgotten within
// seconds. Without measured times, the rate is encoded as before.
#[test]
fn engine_times_are_measured_by_service() {
    let (chat, tags) = (ServiceName::from("chat"), ServiceName::from("tags"));
    let mut meter = WorkMeter::default();
    for now in (0..20_000).step_by(100) {
        meter.note_prefill_time(&chat, 250.0, MonoTime(now));
        meter.note_decode_time(&tags, 50.0, MonoTime(now));
    }
    let rate = meter.rate(MonoTime(20_000));
    let prefill = rate.service(&chat).map_or(0.0, |time| time.prefill);
    assert!((prefill - 2.5).abs() < 0.2, "{prefill}");
    let decode = rate.service(&tags).map_or(0.0, |time| time.decode);
    assert!((decode - 0.5).abs() < 0.05, "{decode}");
    let later = meter.rate(MonoTime(60_000));
    assert!(later.services.is_empty());
    let encoded = serde_json::to_value(&later).unwrap();
    assert_eq!(encoded.as_object().map(serde_json::Map::len), Some(2));
}
