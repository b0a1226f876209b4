//! Tells a daemon that is cut off from a service from targets that do not answer.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use pistachiowick::gateway::handover::HandoverOrigin;
use pistachiowick::gateway::reach::{ReachChange, ReachTracker};
use pistachiowick::names::{DaemonId, MonoTime, ServiceName};
use pistachiowick::target_incarnation::TargetIncarnation;
use rstest::rstest;

#[derive(Clone, Copy)]
enum ReachStep {
    // A connection to a target, and when it began and failed.
    Fails(&'static str, u64, u64),
    // A connection to a target, and when it began and was opened.
    Opens(&'static str, u64, u64),
    // An answer of a target, and when its request was sent and it arrived.
    Answers(&'static str, u64, u64),
}

struct ReachCase {
    targets: usize,
    steps: &'static [ReachStep],
    cut_off: bool,
}

fn service() -> ServiceName {
    ServiceName::from("ledger")
}

fn apply(tracker: &mut ReachTracker, targets: usize, step: ReachStep) -> Option<ReachChange> {
    let service = service();
    let id = |name: &str| TargetIncarnation::from(name);
    let times = |began, now| (MonoTime(began), MonoTime(now));
    match step {
        ReachStep::Fails(name, began, now) => {
            tracker.note_failure(&service, &id(name), targets, times(began, now))
        }
        ReachStep::Opens(name, began, now) => {
            tracker.note_connection(&service, &id(name), times(began, now))
        }
        ReachStep::Answers(name, began, now) => {
            tracker.note_answer(&service, &id(name), times(began, now));
            None
        }
    }
}

// Guards against taking one silent target for a partition of the daemon, and a partition of the
// daemon for silent targets.
#[rstest]
#[case::nothing_known(ReachCase { targets: 3, steps: &[], cut_off: false })]
#[case::one_target_fails(ReachCase { targets: 3, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("a", 20, 20)], cut_off: false })]
#[case::two_targets_fail(ReachCase { targets: 3, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 11, 11)], cut_off: false })]
#[case::two_of_two_targets_fail(ReachCase { targets: 2, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 11, 11)], cut_off: true })]
#[case::three_of_twelve_targets_fail(ReachCase { targets: 12, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 11, 11), ReachStep::Fails("c", 11, 11)], cut_off: false })]
#[case::six_of_twelve_targets_fail(ReachCase { targets: 12, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 11, 11), ReachStep::Fails("c", 11, 11), ReachStep::Fails("d", 11, 11), ReachStep::Fails("e", 11, 11), ReachStep::Fails("f", 11, 11)], cut_off: true })]
#[case::the_only_target_fails(ReachCase { targets: 1, steps: &[ReachStep::Fails("a", 10, 10)], cut_off: true })]
#[case::another_answers_between(ReachCase { targets: 2, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Answers("c", 12, 15), ReachStep::Fails("b", 16, 16)], cut_off: false })]
#[case::an_answer_to_an_earlier_request(ReachCase { targets: 2, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Answers("c", 5, 15), ReachStep::Fails("b", 16, 16)], cut_off: true })]
#[case::another_answers_while_connections_time_out(ReachCase { targets: 2, steps: &[ReachStep::Answers("c", 200, 205), ReachStep::Fails("a", 100, 400), ReachStep::Fails("b", 110, 410)], cut_off: false })]
#[case::failures_long_ago(ReachCase { targets: 2, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 6_000, 6_000)], cut_off: false })]
#[case::a_connection_opens(ReachCase { targets: 2, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 11, 11), ReachStep::Opens("a", 300, 301)], cut_off: false })]
#[case::a_late_answer(ReachCase { targets: 2, steps: &[ReachStep::Fails("a", 10, 10), ReachStep::Fails("b", 11, 11), ReachStep::Answers("c", 5, 20)], cut_off: true })]
fn a_daemon_is_cut_off_when_several_targets_fail_and_none_answers(#[case] case: ReachCase) {
    let mut tracker = ReachTracker::default();
    for step in case.steps {
        apply(&mut tracker, case.targets, *step);
    }
    assert_eq!(tracker.is_cut_off(&service()), case.cut_off);
}

#[test]
fn the_beginning_and_the_end_of_a_partition_are_reported_once() {
    let mut tracker = ReachTracker::default();
    let steps = [
        ReachStep::Fails("a", 10, 10),
        ReachStep::Fails("b", 20, 20),
        ReachStep::Fails("c", 30, 30),
        ReachStep::Opens("a", 1_000, 1_020),
        ReachStep::Opens("b", 1_030, 1_040),
    ];
    let changes: Vec<_> = steps.map(|step| apply(&mut tracker, 2, step)).into();
    let regained = ReachChange::Regained(Duration::from_secs(1));
    let expected = [None, Some(ReachChange::CutOff), None, Some(regained), None];
    assert_eq!(changes, expected);
    assert!(!tracker.is_cut_off_from(&service(), &TargetIncarnation::from("c")));
    assert!(tracker.was_cut_off_since(&service(), MonoTime(900)));
    assert!(!tracker.was_cut_off_since(&service(), MonoTime(1_100)));
}

struct OriginCase {
    value: &'static str,
    sends: Option<u32>,
}

// Guards against taking a caller's request for one that another daemon hands over.
#[rstest]
#[case::whole(OriginCase { value: "17 2 node-1", sends: Some(2) })]
#[case::name_with_a_space(OriginCase { value: "17 0 node 1", sends: Some(0) })]
#[case::no_incarnation(OriginCase { value: "node-1", sends: None })]
#[case::no_name(OriginCase { value: "17 2", sends: None })]
#[case::negative(OriginCase { value: "17 -2 node-1", sends: None })]
#[case::empty(OriginCase { value: "", sends: None })]
fn an_origin_is_whole_or_an_error(#[case] case: OriginCase) {
    let mut headers = HeaderMap::new();
    let name = HeaderName::from_static("pistachiowick-origin");
    headers.insert(name, HeaderValue::from_static(case.value));
    let origin = HandoverOrigin::try_from(&headers);
    assert_eq!(origin.as_ref().ok().map(|origin| origin.sends), case.sends);
    let back = origin
        .as_ref()
        .ok()
        .map(|o| HeaderValue::try_from(o).expect("a value"));
    assert!(back.is_none_or(|back| back == case.value));
}

#[test]
fn an_origin_keeps_its_parts() {
    let origin = HandoverOrigin {
        daemon: DaemonId::from("node-3"),
        incarnation: u64::MAX,
        sends: 1,
        software: None,
    };
    let value = HeaderValue::try_from(&origin).expect("a value");
    assert_eq!(value, "18446744073709551615 1 node-3");
}
