//! Status of the daemon process that claimed a request.

use pistachiowick::membership::fleet::{DaemonView, FleetView, UseState};
use pistachiowick::names::{DaemonId, ProcessIncarnation};
use std::time::Duration;

use pistachiowick::requests::claimant::{ClaimantProcess, ClaimantStatus, UNLISTED_TIMEOUT};
use rstest::rstest;

const INCARNATION: u64 = 500;

fn fleet(seen: Option<(UseState, u64)>) -> FleetView {
    let mut fleet = FleetView::default();
    if let Some((state, incarnation)) = seen {
        let id = DaemonId::from("entry-1");
        let view = DaemonView {
            id: id.clone(),
            address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:2".to_owned(),
            data_centre: "centre-a".into(),
            incarnation: ProcessIncarnation(incarnation),
            state,
        };
        fleet.daemons.insert(id, view);
    }
    fleet
}

struct StatusCase {
    claimant: &'static str,
    /// State and incarnation of `entry-1` in the view.
    seen: Option<(UseState, u64)>,
    status: ClaimantStatus,
}

#[rstest]
#[case::live(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Live, INCARNATION)), status: ClaimantStatus::Present })]
#[case::leaving(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Leaving, INCARNATION)), status: ClaimantStatus::Present })]
#[case::suspect(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Suspect, INCARNATION)), status: ClaimantStatus::Present })]
#[case::incarnation_unknown(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Live, 0)), status: ClaimantStatus::Present })]
#[case::incarnation_lags(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Live, INCARNATION - 1)), status: ClaimantStatus::Present })]
#[case::restarted(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Live, INCARNATION + 1)), status: ClaimantStatus::Gone })]
#[case::out_of_use(StatusCase { claimant: "entry-1/500", seen: Some((UseState::Gone, INCARNATION)), status: ClaimantStatus::Gone })]
#[case::not_in_view(StatusCase { claimant: "entry-1/500", seen: None, status: ClaimantStatus::Unlisted })]
fn claimant_status_follows_state_and_incarnation(#[case] case: StatusCase) {
    let claimant = ClaimantProcess::parse(case.claimant).expect("a valid claimant");
    assert_eq!(claimant.to_string(), case.claimant);
    assert_eq!(claimant.status(&fleet(case.seen)), case.status);
}

#[rstest]
#[case::empty("")]
#[case::no_incarnation("entry-1")]
#[case::invalid_incarnation("entry-1/new")]
fn invalid_claimant_is_rejected(#[case] text: &str) {
    assert_eq!(ClaimantProcess::parse(text), None);
}

struct FinalCase {
    status: ClaimantStatus,
    waited: Duration,
    is_final: bool,
}

/// A caller sends a request to two daemons at once, and the second one has not yet read a
/// list that contains the first. It must wait for the claim, but only as long as an
/// up-to-date list can take to arrive.
#[rstest]
#[case::present(FinalCase { status: ClaimantStatus::Present, waited: UNLISTED_TIMEOUT, is_final: false })]
#[case::gone(FinalCase { status: ClaimantStatus::Gone, waited: Duration::ZERO, is_final: true })]
#[case::not_listed_yet(FinalCase { status: ClaimantStatus::Unlisted, waited: Duration::ZERO, is_final: false })]
#[case::not_listed_just_before_the_timeout(FinalCase { status: ClaimantStatus::Unlisted, waited: Duration::from_millis(2_999), is_final: false })]
#[case::never_listed(FinalCase { status: ClaimantStatus::Unlisted, waited: UNLISTED_TIMEOUT, is_final: true })]
fn claimant_is_final_once_it_is_certainly_gone(#[case] case: FinalCase) {
    assert_eq!(case.status.is_final(case.waited), case.is_final);
}
