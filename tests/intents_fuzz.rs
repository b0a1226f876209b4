//! Property test: two or three daemons take random steps on one shard, checked against a
//! simple oracle.
//!
//! `PISTACHIOWICK_FUZZ_CASES` sets the number of runs, `PISTACHIOWICK_FUZZ_SEED`
//! their seed.

mod intents_support;

use intents_support::sim::{CallFate, KEYS, LedgerSim, RunOutcome, SimStep};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const CASES: u32 = 256;
const SEED: u64 = 20_261_202;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> Config {
    let cases = variable("PISTACHIOWICK_FUZZ_CASES").and_then(|c| u32::try_from(c).ok());
    Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        rng_seed: RngSeed::Fixed(variable("PISTACHIOWICK_FUZZ_SEED").unwrap_or(SEED)),
        ..Config::default()
    }
}

/// Generates steps. A step does not depend on the outcome of others: it selects its subject
/// from whatever exists when it is executed.
struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = u64;
    type Transition = SimStep;

    fn init_state() -> BoxedStrategy<u64> {
        (2_u64..=3).boxed()
    }

    fn transitions(_daemons: &u64) -> BoxedStrategy<SimStep> {
        let daemon = || 0_usize..3;
        let index = || 0_usize..4;
        // Most steps use the first two keys, so that daemons compete for the same key.
        let key = || prop_oneof![6 => 0_u64..2, 2 => 0..KEYS];
        prop_oneof![
            10 => (daemon(), key(), prop_oneof![8 => Just(0_u8), 1 => Just(1), 1 => Just(2)])
                .prop_map(|(daemon, key, variation)| SimStep::Claim { daemon, key, variation }),
            3 => (daemon(), key()).prop_map(|(daemon, key)| SimStep::Lookup { daemon, key }),
            3 => (daemon(), key()).prop_map(|(daemon, key)| SimStep::Settle { daemon, key }),
            20 => (daemon(), fates()).prop_map(|(daemon, fate)| SimStep::Deliver { daemon, fate }),
            3 => index().prop_map(|index| SimStep::ApplyDelayed { index }),
            3 => (daemon(), index()).prop_map(|(daemon, index)| SimStep::Abandon { daemon, index }),
            6 => (daemon(), index())
                .prop_map(|(daemon, index)| SimStep::Dispatch { daemon, index }),
            2 => (daemon(), index()).prop_map(|(daemon, index)| SimStep::Release { daemon, index }),
            4 => (daemon(), index(), outcomes(), daemon()).prop_map(
                |(daemon, index, outcome, to)| SimStep::Finish { daemon, index, outcome, to }
            ),
            5 => (daemon(), daemon(), key())
                .prop_map(|(daemon, to, key)| SimStep::ForwardClaim { daemon, to, key }),
            10 => (index(), prop::bool::weighted(0.2))
                .prop_map(|(index, lost)| SimStep::DeliverMessage { index, lost }),
            2 => index().prop_map(|index| SimStep::MessageTimeout { index }),
            2 => daemon().prop_map(|daemon| SimStep::Crash { daemon }),
            6 => prop_oneof![4 => 1_u64..300, 1 => 300_u64..9_000]
                .prop_map(|ms| SimStep::Advance { ms }),
            1 => (daemon(), prop_oneof![2 => -500_i64..500, 1 => -60_000_i64..60_000])
                .prop_map(|(daemon, ms)| SimStep::ShiftClock { daemon, ms }),
        ]
        .boxed()
    }

    fn apply(daemons: u64, _step: &SimStep) -> u64 {
        daemons
    }
}

fn fates() -> impl Strategy<Value = CallFate> {
    prop_oneof![
        12 => Just(CallFate::Ok),
        2 => Just(CallFate::LostAfter),
        2 => Just(CallFate::LostBefore),
        2 => Just(CallFate::Delayed),
        1 => Just(CallFate::Unavailable),
        1 => Just(CallFate::Stale),
    ]
}

fn outcomes() -> impl Strategy<Value = RunOutcome> {
    prop_oneof![
        3 => Just(RunOutcome::Answered),
        1 => Just(RunOutcome::Unknown),
        1 => Just(RunOutcome::LateAnswer),
    ]
}

impl StateMachineTest for StepSource {
    type SystemUnderTest = LedgerSim;
    type Reference = Self;

    fn init_test(daemons: &u64) -> LedgerSim {
        LedgerSim::new(*daemons)
    }

    fn apply(mut sim: LedgerSim, _daemons: &u64, step: SimStep) -> LedgerSim {
        sim.step(step);
        sim
    }

    fn teardown(mut sim: LedgerSim, _daemons: u64) {
        sim.check_recovery();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    // Callers send the same few requests to several daemons while calls to the platform
    // are lost, late or stale, daemons crash and clocks jump. Each key must run at most
    // once, never when "not run" was reported, and every outcome must be recorded.
    #[test]
    fn requests_run_at_most_once(sequential 1..150 => StepSource);
}
