//! The randomised run itself: a clean short run, and checks that can fail.

use std::time::Duration;

use pistachiowick_lab::prove::{run_books, run_prove};
use pistachiowick_lab::prove_books::{BlindBook, RunBooks};
use pistachiowick_lab::prove_plan::{FaultKind, draw_faults};
use pistachiowick_lab::prove_plants::PlantedMistake;
use pistachiowick_lab::prove_setup::ProveOptions;
use pistachiowick_lab::prove_verdict::{ProveReport, judge};
use rstest::rstest;
use tokio::sync::OnceCell;

const SEED: u64 = 20_261_202;

/// A run's books, shared by the tests that plant mistakes into copies of them.
static BOOKS: OnceCell<RunBooks> = OnceCell::const_new();

fn options() -> ProveOptions {
    ProveOptions {
        seed: SEED,
        seconds: 4.0,
        daemons: 3,
        rate: 30.0,
        // A busy machine may be slow; whether service came back is judged all the same.
        recovery_bound: Duration::from_secs(60),
        leave_grace: Duration::from_secs(30),
        prints_faults: false,
        ..ProveOptions::default()
    }
}

async fn books() -> RunBooks {
    let run = || async { run_books(&options()).await.expect("the bench works") };
    BOOKS.get_or_init(run).await.clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_keeps_every_promise() {
    let report = judge(&options(), &books().await);
    assert!(report.is_clean(), "{:#?}", report.findings);
    assert!(report.requests > 0 && report.ends.answered > 0);
    assert!(!report.faults.is_empty());
}

/// A planted mistake and the count that must name it.
struct PlantCase {
    plant: PlantedMistake,
    count: fn(&ProveReport) -> u64,
}

#[rstest]
#[case::conflicting_orders(PlantCase {
    plant: PlantedMistake::ConflictingOrders,
    count: |report| report.conflicting_orders,
})]
#[case::config_reverts(PlantCase {
    plant: PlantedMistake::ConfigReverts,
    count: |report| report.config_reverts,
})]
#[case::cut(PlantCase {
    plant: PlantedMistake::Cut,
    count: |report| report.cut_by_planned_change,
})]
#[case::doubled(PlantCase {
    plant: PlantedMistake::Doubled,
    count: |report| report.doubled,
})]
#[case::false_not_run(PlantCase {
    plant: PlantedMistake::FalseNotRun,
    count: |report| report.false_not_run,
})]
#[case::hung(PlantCase {
    plant: PlantedMistake::Hung,
    count: |report| report.hung,
})]
#[case::late_new_work(PlantCase {
    plant: PlantedMistake::LateNewWork,
    count: |report| report.late_new_work,
})]
#[case::over_limit(PlantCase {
    plant: PlantedMistake::OverLimit,
    count: |report| report.over_limit,
})]
#[case::violation(PlantCase {
    plant: PlantedMistake::Violation,
    count: |report| report.violations,
})]
#[tokio::test(flavor = "multi_thread")]
async fn a_mistake_in_the_books_is_named(#[case] case: PlantCase) {
    let mut books = books().await;
    case.plant.plant_books(&mut books);
    let report = judge(&options(), &books);
    assert!((case.count)(&report) > 0, "{:#?}", report.findings);
    assert!(!report.is_clean());
}

#[rstest]
#[case::short(PlantCase {
    plant: PlantedMistake::Short,
    count: |report| report.short,
})]
#[case::wrong(PlantCase {
    plant: PlantedMistake::Wrong,
    count: |report| report.wrong,
})]
#[tokio::test(flavor = "multi_thread")]
async fn a_mistake_in_an_answer_is_named(#[case] case: PlantCase) {
    let options = ProveOptions {
        plant: Some(case.plant),
        seconds: 2.0,
        ..options()
    };
    let report = run_prove(&options).await.expect("the bench works");
    assert!((case.count)(&report) > 0, "{:#?}", report.findings);
    assert!(!report.is_clean());
}

#[test]
fn a_seed_draws_the_same_faults_again() {
    let stretch = Duration::from_secs(60);
    let drawn = draw_faults(7, stretch, true);
    assert_eq!(drawn, draw_faults(7, stretch, true));
    assert_ne!(drawn, draw_faults(8, stretch, true));
    assert!(drawn.is_sorted_by_key(|fault| fault.at));
}

#[test]
fn a_long_run_draws_every_kind_of_fault() {
    let drawn = draw_faults(SEED, Duration::from_secs(600), true);
    for kind in FaultKind::ALL {
        assert!(drawn.iter().any(|fault| fault.kind == kind), "{kind:?}");
    }
}

#[test]
fn daemons_within_the_process_are_never_frozen() {
    let drawn = draw_faults(SEED, Duration::from_secs(600), false);
    let freezes = drawn.iter().filter(|f| f.kind == FaultKind::DaemonFreeze);
    assert_eq!(freezes.count(), 0);
}

/// Work after the word to leave, with spans in which daemons were blind: late work is a
/// failure all the same, and the outage is named beside it.
struct BlindCase {
    /// Spans in milliseconds after the word to leave.
    blind: &'static [(u64, u64)],
    after_ms: u64,
    is_late: bool,
    /// Whether the outage is named beside the failure.
    is_blind: bool,
}

const TOLD_MS: u64 = 1_000_000;

#[rstest]
#[case::in_time(BlindCase { blind: &[], after_ms: 30_000, is_late: false, is_blind: false })]
#[case::late(BlindCase { blind: &[], after_ms: 30_001, is_late: true, is_blind: false })]
#[case::blind_throughout(BlindCase { blind: &[(0, 40_000)], after_ms: 35_000, is_late: true, is_blind: true })]
#[case::blind_too_little(BlindCase { blind: &[(0, 4_000)], after_ms: 35_000, is_late: true, is_blind: false })]
#[case::blind_before(BlindCase { blind: &[(40_000, 90_000)], after_ms: 35_000, is_late: true, is_blind: false })]
#[case::counted_once(BlindCase {
    blind: &[(0, 3_000), (0, 3_000), (1_000, 4_000)],
    after_ms: 35_000,
    is_late: true,
    is_blind: false,
})]
#[tokio::test(flavor = "multi_thread")]
async fn late_work_is_a_failure_also_in_an_outage(#[case] case: BlindCase) {
    let mut books = books().await;
    books.blind = case
        .blind
        .iter()
        .map(|(from, until)| BlindBook {
            from_ms: TOLD_MS + from,
            until_ms: TOLD_MS + until,
        })
        .collect();
    let engine = books.engines.first_mut().expect("there are engines");
    engine.books.left_at_ms = Some(TOLD_MS);
    engine.books.starts_after_leave = vec![case.after_ms];
    let report = judge(&options(), &books);
    assert_eq!(
        report.late_new_work > 0,
        case.is_late,
        "{:?}",
        report.findings
    );
    assert_eq!(report.late_while_blind > 0, case.is_blind);
    assert!(!case.is_late || !report.is_clean());
}
