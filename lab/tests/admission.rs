//! Requests that arrive just after the first target for them became known.

use pistachiowick::clock;
use pistachiowick::decide::candidates::CandidateIndex;
use pistachiowick::decide::placement::PoolKey;
use pistachiowick::names::RequestId;
use pistachiowick_lab::fleet::{FleetPlan, LabFleet};
use pistachiowick_lab::quickstart::{MODEL, quickstart_plan};
use pistachiowick_lab::samples;
use tokio::task::yield_now;

/// Attempts: a request comes at the same time as the daemon's regular check in few of them.
const ATTEMPTS: usize = 4;

// Guards against a request that is refused for want of a target which its daemon knows already.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_admitted_once_a_target_is_known() {
    for attempt in 0..ATTEMPTS {
        let plan = FleetPlan {
            engines: 0,
            daemons: 1,
            ..quickstart_plan()
        };
        let mut fleet = LabFleet::start(plan).await.expect("a fleet");
        let context = fleet.daemons.first().expect("a daemon").1.context().clone();
        fleet.add_engine(0).await.expect("an engine");
        let pool = PoolKey::Model(MODEL.into());
        let is_known = || {
            let snapshot = context.control.snapshot.load();
            CandidateIndex::build(&snapshot.fleet).is_usable(&pool)
        };
        while !is_known() {
            yield_now().await;
        }
        let mut spec = samples::job_spec(0, 300.0, clock::mono_now());
        spec.need.pool = pool.clone();
        let id = RequestId::from(format!("r{attempt}").as_str());
        let refusal = context.dispatcher.admit(&id, spec).err();
        assert_eq!(refusal, None, "attempt {attempt}");
        fleet.stop().await;
    }
}
