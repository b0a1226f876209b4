//! A daemon's process is killed, frozen or stopped in the middle of an answer.

mod process_env;

use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::client::operator::OperatorClient;
use pistachiowick::client::{
    AnswerFinal, AnswerItem, AnswerOutcome, AnswerStream, ClientOptions, PistachioClient,
};
use pistachiowick::pb;
use pistachiowick::pb::config_item::Item;
use pistachiowick::requests::access::{SecretKey, key_hash};
use pistachiowick::store::wire::{InstanceKind, InstanceRow};
use pistachiowick_lab::answers::expected_answer;
use pistachiowick_lab::fleet::{FleetPlan, LabFleet, OPERATOR_KEY, daemon_settings};
use process_env::RunningDaemon;
use rstest::rstest;

const CALLER_KEY: &str = "caller-key-of-the-test";

/// Looks at a condition before a test gives it up; the pause between them is short.
const MOST_LOOKS: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(20);

/// Stand-ins in this process, and daemons as processes of their own by name.
struct ProcessFleet {
    lab: LabFleet,
    daemons: IndexMap<String, RunningDaemon>,
}

impl ProcessFleet {
    async fn start() -> Self {
        let mut plan = FleetPlan {
            daemons: 0,
            engines: 2,
            services: 1,
            ..FleetPlan::default()
        };
        plan.service.work_ms = 1_500;
        let lab = LabFleet::start(plan).await.expect("the stand-ins start");
        let mut fleet = Self {
            lab,
            daemons: IndexMap::new(),
        };
        for number in 0..2 {
            fleet.add_daemon(number);
        }
        fleet.configure().await;
        fleet
    }

    fn add_daemon(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let settings = daemon_settings(&name, "centre-a", &self.lab.platform.address());
        let settings = serde_json::to_value(settings).expect("settings serialise");
        let daemon = RunningDaemon::start(&settings);
        let address = daemon.addresses["rpc"].as_str().expect("an address");
        let row = self.lab.row(&name, InstanceKind::Entry, address, number);
        self.lab.platform.set_instance(InstanceRow {
            peer_address: daemon.addresses["peer"]
                .as_str()
                .expect("an address")
                .to_owned(),
            ..row
        });
        self.daemons.insert(name, daemon);
    }

    fn options(&self, key: &str) -> ClientOptions {
        let addresses = self.daemons.values().map(|d| d.addresses["rpc"].as_str());
        let addresses = addresses
            .map(|a| a.expect("an address").to_owned())
            .collect();
        ClientOptions {
            seed: 11,
            ..ClientOptions::new(addresses, key.to_owned())
        }
    }

    async fn configure(&self) {
        let all = self.options(OPERATOR_KEY);
        self.wait_at_each(|client| async move {
            client.status().await.is_ok_and(|status| status.ready)
        })
        .await;
        let operator = OperatorClient::connect(&all)
            .await
            .expect("the daemons answer");
        for item in items() {
            let item = pb::ConfigItem { item: Some(item) };
            operator.create(item).await.expect("the items are good");
        }
        self.wait_at_each(|client| async move {
            let classes = client.list(pb::ItemKind::Class).await;
            let status = client.status().await.expect("it answered before");
            let reported = status.targets.iter().filter(|t| !t.role.is_empty()).count();
            reported == 2 && classes.is_ok_and(|classes| classes.len() == 2)
        })
        .await;
    }

    async fn wait_at_each<F: Future<Output = bool>>(&self, done: impl Fn(OperatorClient) -> F) {
        let all = self.options(OPERATOR_KEY);
        for address in &all.addresses {
            let options = ClientOptions {
                addresses: vec![address.clone()],
                ..all.clone()
            };
            let mut looks = 0;
            loop {
                let client = OperatorClient::connect(&options).await.expect("it listens");
                if done(client).await {
                    break;
                }
                looks += 1;
                assert!(looks < MOST_LOOKS, "{address} never got there");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn client(&self) -> PistachioClient {
        let options = self.options(CALLER_KEY);
        PistachioClient::connect(options)
            .await
            .expect("the daemons answer")
    }

    /// Returns the daemon that accepted a request: ids begin with its name.
    fn daemon_of(&self, request_id: &str) -> &str {
        let mut names = self.daemons.keys();
        let name = names.find(|name| request_id.starts_with(&format!("{name}-")));
        name.expect("a daemon of this fleet")
    }
}

fn items() -> Vec<Item> {
    let class = pb::WorkloadClass {
        workspace: "labe".to_owned(),
        deadline_ms: 30_000,
        ..pb::WorkloadClass::default()
    };
    vec![
        Item::Model(pb::Model {
            name: "base".to_owned(),
            versions: vec!["1".to_owned()],
            weight_bytes: 1_000,
            least_engines: 1,
            ..pb::Model::default()
        }),
        Item::Workspace(pb::Workspace {
            name: "labe".to_owned(),
            weight: 1,
            key_hashes: vec![key_hash(&SecretKey::new(CALLER_KEY))],
        }),
        Item::Class(pb::WorkloadClass {
            name: "lane-summary".to_owned(),
            repeatable: true,
            models: vec!["base".to_owned()],
            ..class.clone()
        }),
        Item::Class(pb::WorkloadClass {
            name: "fee-receipt".to_owned(),
            service: "ledger".to_owned(),
            // The record of a claimant that is gone is waited for until the deadline.
            deadline_ms: 6_000,
            ..class
        }),
    ]
}

async fn next(stream: &mut AnswerStream) -> AnswerItem {
    let item = stream.next().await.expect("the stream goes on");
    item.expect("no error")
}

async fn rest(stream: &mut AnswerStream, data: &mut Vec<u8>) -> AnswerFinal {
    loop {
        match next(stream).await {
            AnswerItem::Accepted { .. } => {}
            AnswerItem::Chunk { data: more, .. } => data.extend(more),
            AnswerItem::Final(end) => return end,
        }
    }
}

struct DeathCase {
    signal: &'static str,
    /// Whether the answer has to be resumed through another daemon.
    resumed: bool,
}

// A cox reads a summary as it arrives. After its first words the daemon that carries
// it is killed, or freezes without closing a connection, or is stopped as planned.
// The first two break the stream: the client notices (a frozen daemon answers no
// probes), resumes elsewhere at its offset, and the engine's stream goes on there.
// A planned stop breaks nothing. The answer is whole and right, byte by byte.
#[rstest]
#[case::killed(DeathCase { signal: "-KILL", resumed: true })]
#[case::frozen(DeathCase { signal: "-STOP", resumed: true })]
#[case::stopped(DeathCase { signal: "-TERM", resumed: false })]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_outlives_its_daemon(#[case] case: DeathCase) {
    let fleet = ProcessFleet::start().await;
    let client = fleet.client().await;
    let prompt = b"out=200 which lane has crew 7";
    let mut stream = client.submit(pb::SubmitRequest {
        class: "lane-summary".to_owned(),
        prompt: prompt.to_vec(),
        prompt_tokens: 8,
        max_output_tokens: 200,
        ..pb::SubmitRequest::default()
    });
    let mut carrier = String::new();
    let mut data = Vec::new();
    while data.is_empty() {
        match next(&mut stream).await {
            AnswerItem::Accepted { request_id, .. } => carrier = request_id,
            AnswerItem::Chunk { data: first, .. } => data.extend(first),
            AnswerItem::Final(end) => panic!("it ended early: {end:?}"),
        }
    }
    fleet.daemons[fleet.daemon_of(&carrier)].signal(case.signal);
    let end = rest(&mut stream, &mut data).await;
    assert_eq!(end.outcome, AnswerOutcome::Answered, "{}", end.reason);
    assert_eq!(end.resumes > 0, case.resumed, "{} resumes", end.resumes);
    let expected = expected_answer(prompt, "base", "", "", 200);
    assert!(
        data == expected,
        "{} bytes, expected {}",
        data.len(),
        expected.len()
    );
}

// A fee receipt is being written when its daemon is killed. The service may have
// run it, and nobody can ask it. Another daemon must neither run it again nor say
// that it has not run; the caller hears "unknown", or the answer if it was recorded.
#[tokio::test(flavor = "multi_thread")]
async fn a_receipt_is_not_repeated_after_its_daemon_died() {
    let fleet = ProcessFleet::start().await;
    let client = fleet.client().await;
    let mut stream = client.submit(pb::SubmitRequest {
        key: "receipt-1".to_owned(),
        first_submission: true,
        class: "fee-receipt".to_owned(),
        prompt: b"club 7".to_vec(),
        prompt_tokens: 1,
        ..pb::SubmitRequest::default()
    });
    let service = &fleet.lab.services["service-00"];
    let AnswerItem::Accepted { request_id, .. } = next(&mut stream).await else {
        panic!("acceptance comes first");
    };
    let mut looks = 0;
    while service.books().calls == 0 {
        looks += 1;
        assert!(looks < MOST_LOOKS, "the service was never called");
        tokio::time::sleep(PAUSE).await;
    }
    fleet.daemons[fleet.daemon_of(&request_id)].signal("-KILL");
    let end = rest(&mut stream, &mut Vec::new()).await;
    let truths = [AnswerOutcome::Answered, AnswerOutcome::Unknown];
    assert!(truths.contains(&end.outcome), "{end:?}");
    assert_eq!(service.books().calls, 1, "the service was called again");
}
