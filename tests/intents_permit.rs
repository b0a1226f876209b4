//! Which errors of a call to a target prove that the request did not run.

use std::time::Duration;

use pistachiowick::intents::store::UndeliveredProof;
use pistachiowick::names::FenceNumber;
use pistachiowick::ports::TargetError;
use rstest::rstest;

fn reason() -> String {
    "reason".to_owned()
}

// The call of a run-once request fails. The record may say "not run" only if the target
// certainly did not accept the call; a lost answer never proves that.
#[rstest]
#[case::not_delivered(TargetError::NotDelivered { reason: reason() }, true)]
#[case::refused(TargetError::Refused { reason: reason(), retry_after: Duration::ZERO, leaving: false }, true)]
#[case::lost(TargetError::Lost { reason: reason() }, false)]
#[case::silent(TargetError::Silent { reason: reason() }, false)]
#[case::no_stream(TargetError::NoStream, false)]
#[case::fenced(TargetError::Fenced { current: FenceNumber(3) }, false)]
fn only_untaken_calls_prove_that_nothing_ran(#[case] error: TargetError, #[case] proves: bool) {
    assert_eq!(UndeliveredProof::from_error(&error).is_some(), proves);
}
