//! The measurement of requests that run at most once counts what it says.

use pistachiowick::invariants;
use pistachiowick_lab::once_cost::measure;

#[tokio::test(flavor = "multi_thread")]
async fn both_classes_are_answered_and_only_one_is_recorded() {
    invariants::make_fatal();
    let cost = measure(50.0, 1, 7).await.expect("the deployment starts");
    for load in [&cost.once.load, &cost.repeatable.load] {
        assert!(load.counts.submitted > 0);
        assert_eq!(load.counts.answered, load.counts.submitted);
        assert_eq!((load.counts.wrong, load.counts.lost), (0, 0));
    }
    assert!(cost.once.platform.writes > cost.repeatable.platform.writes);
    assert_eq!((cost.doubled_runs, cost.violations), (0, 0));
}
