//! Prefix index: cache events arrive late, twice or not at all.

use pistachiowick::decide::prefix_index::PrefixIndex;
use pistachiowick::names::TargetId;
use pistachiowick::targets::wire::CacheEvent;
use rstest::rstest;

fn event(sequence: u64, prefix: &str, tokens: u32) -> CacheEvent {
    CacheEvent {
        sequence,
        prefix: prefix.to_owned(),
        tokens,
    }
}

struct EventCase {
    events: &'static [(u64, &'static str, u32)],
    expected: f64,
}

// Tokens of the prefix "rules" expected to be cached on one engine after its events.
#[rstest]
#[case::no_events(EventCase { events: &[], expected: 0.0 })]
#[case::cached(EventCase { events: &[(1, "rules", 100)], expected: 100.0 })]
#[case::first_event_is_no_gap(EventCase { events: &[(7, "rules", 100)], expected: 100.0 })]
#[case::evicted(EventCase { events: &[(1, "rules", 100), (2, "rules", 0)], expected: 0.0 })]
#[case::shortened(EventCase { events: &[(1, "rules", 100), (2, "rules", 40)], expected: 40.0 })]
#[case::other_in_order(EventCase { events: &[(1, "rules", 100), (2, "other", 9)], expected: 100.0 })]
#[case::gap_halves(EventCase { events: &[(1, "rules", 100), (3, "other", 9)], expected: 50.0 })]
#[case::two_gaps_quarter(
    EventCase { events: &[(1, "rules", 100), (3, "other", 9), (9, "other", 9)], expected: 25.0 }
)]
#[case::renewed_after_gap(
    EventCase { events: &[(1, "rules", 100), (3, "other", 9), (4, "rules", 100)], expected: 100.0 }
)]
#[case::gap_before_same_prefix(EventCase { events: &[(1, "rules", 100), (3, "rules", 80)], expected: 80.0 })]
#[case::late_event_ignored(
    EventCase { events: &[(5, "rules", 100), (4, "rules", 0)], expected: 100.0 }
)]
#[case::duplicate_event_ignored(
    EventCase { events: &[(5, "rules", 100), (5, "rules", 0)], expected: 100.0 }
)]
fn events_update_expected_tokens(#[case] case: EventCase) {
    let mut index = PrefixIndex::default();
    let target = TargetId::from("engine");
    for (sequence, prefix, tokens) in case.events {
        index.apply_event(&target, &event(*sequence, prefix, *tokens));
    }
    let found = index.expected_tokens("rules", &target);
    assert!((found - case.expected).abs() < 1e-9, "{found}");
}

#[test]
fn gap_of_one_engine_leaves_others_alone() {
    let mut index = PrefixIndex::default();
    let (lossy, lossless) = (TargetId::from("gappy"), TargetId::from("steady"));
    for target in [&lossy, &lossless] {
        index.apply_event(target, &event(1, "rules", 100));
    }
    index.apply_event(&lossy, &event(5, "other", 10));
    assert!((index.expected_tokens("rules", &lossy) - 50.0).abs() < 1e-9);
    assert!((index.expected_tokens("rules", &lossless) - 100.0).abs() < 1e-9);
}

// A restarted engine has an empty cache and numbers its events from the start again.
#[test]
fn restarted_engine_has_no_entries() {
    let mut index = PrefixIndex::default();
    let target = TargetId::from("engine");
    index.apply_event(&target, &event(90, "rules", 100));
    index.remove_target(&target);
    assert!(index.holders("rules").is_empty());
    index.apply_event(&target, &event(1, "rules", 30));
    assert!((index.expected_tokens("rules", &target) - 30.0).abs() < 1e-9);
}

#[rstest]
#[case::no_prefix("", 100)]
#[case::no_tokens("rules", 0)]
fn nothing_is_recorded_without_prefix_or_tokens(#[case] prefix: &str, #[case] tokens: u32) {
    let mut index = PrefixIndex::default();
    index.record_cached(prefix, &"engine".into(), tokens);
    assert!(index.holders(prefix).is_empty());
}

#[test]
fn holders_are_bounded_and_the_oldest_is_evicted() {
    let mut index = PrefixIndex::default();
    for number in 0..20 {
        index.record_cached("rules", &format!("engine-{number}").into(), 10);
    }
    let holders: Vec<&str> = index
        .holders("rules")
        .iter()
        .map(|h| h.target.as_str())
        .collect();
    assert_eq!(holders.len(), 8);
    assert_eq!(holders.last(), Some(&"engine-19"));
    assert!(!holders.contains(&"engine-0"));
}

#[test]
fn prefixes_are_bounded_and_the_least_recent_is_evicted() {
    let mut index = PrefixIndex::default();
    let target = TargetId::from("engine");
    for number in 0..4_096 {
        index.record_cached(&format!("prefix-{number}"), &target, 10);
    }
    index.record_cached("prefix-0", &target, 10);
    index.record_cached("one-more", &target, 10);
    assert_eq!(index.holders("prefix-0").len(), 1);
    assert_eq!(index.holders("one-more").len(), 1);
    assert!(index.holders("prefix-1").is_empty());
}
