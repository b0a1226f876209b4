//! Which claimants count as gone.

use pistachiowick::membership::fleet::{DaemonView, FleetView, UseState};
use pistachiowick::names::{DaemonId, ProcessIncarnation};
use pistachiowick::requests::claimant::ClaimantLife;
use rstest::rstest;

const LIFE: u64 = 500;

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

struct LifeCase {
    claimant: &'static str,
    /// State and incarnation of `entry-1` in the view.
    seen: Option<(UseState, u64)>,
    gone: bool,
}

#[rstest]
#[case::live(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Live, LIFE)), gone: false })]
#[case::leaving(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Leaving, LIFE)), gone: false })]
#[case::suspect(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Suspect, LIFE)), gone: false })]
#[case::incarnation_unknown(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Live, 0)), gone: false })]
#[case::incarnation_lags(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Live, LIFE - 1)), gone: false })]
#[case::restarted(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Live, LIFE + 1)), gone: true })]
#[case::out_of_use(LifeCase { claimant: "entry-1/500", seen: Some((UseState::Gone, LIFE)), gone: true })]
#[case::not_in_view(LifeCase { claimant: "entry-1/500", seen: None, gone: true })]
fn claimant_is_gone_once_its_life_has_ended(#[case] case: LifeCase) {
    let claimant = ClaimantLife::parse(case.claimant).expect("a claimant's form");
    assert_eq!(claimant.to_string(), case.claimant);
    assert_eq!(claimant.is_gone(&fleet(case.seen)), case.gone);
}

#[rstest]
#[case::empty("")]
#[case::no_incarnation("entry-1")]
#[case::incarnation_out_of_form("entry-1/new")]
fn other_texts_name_no_claimant(#[case] text: &str) {
    assert_eq!(ClaimantLife::parse(text), None);
}
