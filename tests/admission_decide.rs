//! Admission decisions by cases, and the promise made to refused callers.

use std::time::Duration;

use pistachiowick::admission::window::AdmissionWindow;
use pistachiowick::admission::{
    AdmissionDecision, CapacityView, RefusalReason, RequestTerms, decide,
};
use pistachiowick::names::UnixTime;
use rstest::rstest;

const TIME_LEFT: Duration = Duration::from_millis(2_400);
const PERIOD_MS: u64 = 800;
/// A moment at which the leading edge of the window is at phase 0.
const START: UnixTime = UnixTime(1_700_000_000_000 / PERIOD_MS * PERIOD_MS);

fn terms(phase: f64, work_ms: f64) -> RequestTerms {
    RequestTerms {
        rank: 1,
        workspace: None,
        objective_left: Duration::from_millis(500),
        time_left: TIME_LEFT,
        work_ms,
        phase,
    }
}

fn wait(wait_ms: f64) -> CapacityView {
    CapacityView {
        wait_ms,
        ..CapacityView::default()
    }
}

fn later(start: UnixTime, time: Duration) -> AdmissionWindow {
    let at = UnixTime(start.0 + time.as_millis() as u64);
    AdmissionWindow::new(at, TIME_LEFT)
}

fn reason(decision: AdmissionDecision) -> Option<RefusalReason> {
    match decision {
        AdmissionDecision::Admit => None,
        AdmissionDecision::Refuse { reason, .. } => Some(reason),
    }
}

struct DecisionCase {
    capacity: CapacityView,
    work_ms: f64,
    phase: f64,
    refused: Option<RefusalReason>,
}

// Each case guards one rule: no refusal below 0.7 of the time left; late work refused at once,
// whatever its phase; own work not counted as waiting; the corrections of the expected wait;
// the smaller window of a workspace above its share; unusable numbers from peers.
#[rstest]
#[case::idle(wait(0.0), 50.0, 0.99, None)]
#[case::below_pressure(wait(1_679.0), 50.0, 0.01, None)]
#[case::late(wait(2_401.0), 50.0, 0.99, Some(RefusalReason::Late))]
#[case::work_exceeds_time(wait(0.0), 2_401.0, 0.99, Some(RefusalReason::Late))]
#[case::own_work_is_no_wait(wait(1_600.0), 1_000.0, 0.01, None)]
// At 0.95 of the time left, half of the phases behind the edge are admitted.
#[case::inside_window(wait(2_280.0), 50.0, 0.51, None)]
#[case::outside_window(wait(2_280.0), 50.0, 0.49, Some(RefusalReason::Yielded))]
#[case::actual_times_longer(
    CapacityView { delay_ratio: 3.0, ..wait(760.0) }, 50.0, 0.49, Some(RefusalReason::Yielded)
)]
#[case::ratio_is_at_most_8(
    CapacityView { delay_ratio: 100.0, ..wait(200.0) }, 50.0, 0.49, None
)]
#[case::ratio_below_1_is_no_credit(
    CapacityView { delay_ratio: 0.1, ..wait(2_280.0) }, 50.0, 0.49, Some(RefusalReason::Yielded)
)]
#[case::ratio_not_a_number(
    CapacityView { delay_ratio: f64::NAN, ..wait(1_000.0) }, 50.0, 0.01, None
)]
#[case::urgent_ranks_go_first(
    CapacityView { urgent_share: 0.5, ..wait(1_140.0) }, 50.0, 0.49, Some(RefusalReason::Yielded)
)]
#[case::every_rank_keeps_a_tenth(
    CapacityView { urgent_share: 1.0, ..wait(160.0) }, 50.0, 0.01, None
)]
#[case::flooding_workspace(
    CapacityView { workspace_excess: 10.0, ..wait(1_700.0) }, 50.0, 0.5,
    Some(RefusalReason::WorkspaceShare)
)]
#[case::flood_without_pressure(
    CapacityView { workspace_excess: 10.0, ..wait(800.0) }, 50.0, 0.01, None
)]
#[case::workspace_within_share(
    CapacityView { workspace_excess: 0.5, ..wait(1_700.0) }, 50.0, 0.5, None
)]
fn decisions_by_case(
    #[case] capacity: CapacityView,
    #[case] work_ms: f64,
    #[case] phase: f64,
    #[case] refused: Option<RefusalReason>,
) {
    let case = DecisionCase {
        capacity,
        work_ms,
        phase,
        refused,
    };
    let window = later(START, Duration::ZERO);
    let decision = decide(&terms(case.phase, case.work_ms), &case.capacity, &window);
    assert_eq!(reason(decision), case.refused, "{decision:?}");
}

// Guards against a retry time at which the caller is refused again: at the same pressure it is
// admitted then by any daemon, also one whose clock is 50 ms off.
#[rstest]
#[case::slight(1_800.0)]
#[case::medium(2_000.0)]
#[case::strong(2_380.0)]
fn callers_are_admitted_at_the_time_they_were_told(#[case] wait_ms: f64) {
    let mut refused = 0;
    for step in 0..200 {
        let terms = terms(f64::from(step) / 200.0, 50.0);
        for at in (0..PERIOD_MS).step_by(90).map(Duration::from_millis) {
            let decision = decide(&terms, &wait(wait_ms), &later(START, at));
            let AdmissionDecision::Refuse { retry_after, .. } = decision else {
                continue;
            };
            refused += 1;
            assert!(retry_after >= Duration::from_millis(50));
            assert!(retry_after <= TIME_LEFT / 3);
            for clock in [0, 49] {
                let back = at + retry_after + Duration::from_millis(clock);
                let again = decide(&terms, &wait(wait_ms), &later(START, back));
                assert_eq!(again, AdmissionDecision::Admit, "{terms:?} {retry_after:?}");
            }
        }
    }
    assert!(refused > 20, "{refused}");
}

// Guards against a herd: refused callers return spread over the period, not all at once.
#[test]
fn retry_times_are_spread() {
    let mut by_eighth = [0_u32; 8];
    for step in 0..800 {
        let terms = terms(f64::from(step) / 800.0, 50.0);
        let decision = decide(&terms, &wait(2_380.0), &later(START, Duration::ZERO));
        if let AdmissionDecision::Refuse { retry_after, .. } = decision {
            by_eighth[(retry_after.as_millis() as usize / 100).min(7)] += 1;
        }
    }
    assert!(by_eighth.iter().all(|count| *count < 150), "{by_eighth:?}");
}

// Guards against a gain by early or repeated attempts: until the time it was told, a caller is
// refused at the same pressure.
#[test]
fn early_returns_gain_nothing() {
    let terms = terms(0.4, 50.0);
    let decision = decide(&terms, &wait(2_300.0), &later(START, Duration::ZERO));
    let AdmissionDecision::Refuse { retry_after, .. } = decision else {
        panic!("{decision:?}");
    };
    for early in (0..retry_after.as_millis() as u64 - 51).step_by(10) {
        let window = later(START, Duration::from_millis(early));
        assert!(reason(decide(&terms, &wait(2_300.0), &window)).is_some());
    }
}
