//! The client follows a request through lost connections and bad streams.

mod fakes;

use fakes::{
    FakeDaemons, FakeStep, ReceivedCall, accepted, answered, chunk, digest, ended, refused,
};
use pistachiowick::client::error::ClientError;
use pistachiowick::client::{AnswerOutcome, ClientOptions, PistachioClient};
use pistachiowick::pb;
use rstest::rstest;
use tonic::Code;

const ANSWER: &str = "lane four, heat two";

fn repeatable() -> pb::SubmitRequest {
    pb::SubmitRequest {
        class: "lane-summary".to_owned(),
        prompt: b"which lane".to_vec(),
        prompt_tokens: 2,
        ..pb::SubmitRequest::default()
    }
}

fn once_only(key: &str) -> pb::SubmitRequest {
    pb::SubmitRequest {
        key: key.to_owned(),
        first_submission: true,
        class: "fee-receipt".to_owned(),
        ..pb::SubmitRequest::default()
    }
}

fn lost() -> FakeStep {
    FakeStep::Fail(Code::Unavailable)
}

struct WholeCase {
    scripts: Vec<Vec<FakeStep>>,
    resumes_at: &'static [u64],
}

// The caller sees one whole answer. Underneath, streams break, bytes come twice,
// late or of an older attempt, and ends come short. Each time the client resumes
// with the newest token after the bytes it has, so nothing is lost or doubled.
#[rstest]
#[case::undisturbed(WholeCase {
    scripts: vec![vec![accepted("t1", 1), chunk(1, 0, "lane four,"), chunk(1, 10, " heat two"), answered(ANSWER)]],
    resumes_at: &[],
})]
#[case::daemon_dies_mid_stream(WholeCase {
    scripts: vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane four,"), lost()],
        vec![accepted("t2", 1), chunk(1, 10, " heat two"), answered(ANSWER)],
    ],
    resumes_at: &[10],
})]
#[case::stream_ends_without_a_final(WholeCase {
    scripts: vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane four,")],
        vec![accepted("t2", 1), chunk(1, 10, " heat two"), answered(ANSWER)],
    ],
    resumes_at: &[10],
})]
#[case::two_daemons_die(WholeCase {
    scripts: vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane"), lost()],
        vec![accepted("t2", 2), chunk(2, 4, " four,"), lost()],
        vec![accepted("t3", 2), chunk(2, 10, " heat two"), answered(ANSWER)],
    ],
    resumes_at: &[4, 10],
})]
#[case::bytes_twice_after_resume(WholeCase {
    scripts: vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane four,"), lost()],
        vec![accepted("t2", 1), chunk(1, 0, "lane four,"), chunk(1, 5, "four, heat"), chunk(1, 15, " two"), answered(ANSWER)],
    ],
    resumes_at: &[10],
})]
#[case::older_attempt_comes_late(WholeCase {
    scripts: vec![vec![
        accepted("t1", 1), chunk(1, 0, "lane"),
        accepted("t2", 2), chunk(1, 4, " SIX, heat ten"), accepted("t1", 1), chunk(2, 4, " four, heat two"),
        answered(ANSWER),
    ]],
    resumes_at: &[],
})]
#[case::gap_in_the_stream(WholeCase {
    scripts: vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane"), chunk(1, 10, " heat two"), answered(ANSWER)],
        vec![accepted("t2", 1), chunk(1, 4, " four, heat two"), answered(ANSWER)],
    ],
    resumes_at: &[4],
})]
#[case::short_answer_called_whole(WholeCase {
    scripts: vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane four,"), answered(ANSWER)],
        vec![accepted("t2", 1), chunk(1, 10, " heat two"), answered(ANSWER)],
    ],
    resumes_at: &[10],
})]
#[case::end_before_acceptance(WholeCase {
    scripts: vec![vec![lost()], vec![accepted("t1", 1), chunk(1, 0, ANSWER), answered(ANSWER)]],
    resumes_at: &[],
})]
#[tokio::test]
async fn the_answer_arrives_whole(#[case] case: WholeCase) {
    let daemons = FakeDaemons::start(3, case.scripts, Vec::new()).await;
    let client = daemons.client().await;
    let whole = client
        .submit(repeatable())
        .collect()
        .await
        .expect("a final outcome");
    assert_eq!(
        whole.end.outcome,
        AnswerOutcome::Answered,
        "{}",
        whole.end.reason
    );
    assert_eq!(whole.data, ANSWER.as_bytes());
    let resumes: Vec<pb::ResumeRequest> = daemons
        .received_calls()
        .into_iter()
        .filter_map(as_resume)
        .collect();
    let offsets: Vec<u64> = resumes.iter().map(|resume| resume.offset).collect();
    assert_eq!(offsets, case.resumes_at);
    for (index, resume) in resumes.iter().enumerate() {
        assert_eq!(
            resume.resume_token,
            format!("t{}", index + 1),
            "the newest token counts"
        );
        assert!(resume.submit.is_some(), "repeatable work goes along");
    }
}

// A daemon that just failed is passed over, so the resume reaches another one.
#[tokio::test]
async fn a_resume_goes_to_another_daemon() {
    let scripts = vec![
        vec![accepted("t1", 1), chunk(1, 0, "lane four,"), lost()],
        vec![
            accepted("t2", 1),
            chunk(1, 10, " heat two"),
            answered(ANSWER),
        ],
    ];
    let daemons = FakeDaemons::start(2, scripts, Vec::new()).await;
    let client = daemons.client().await;
    client
        .submit(repeatable())
        .collect()
        .await
        .expect("a final outcome");
    let places = daemons.receiver_addresses();
    assert_eq!(places.len(), 2);
    assert_ne!(places[0], places[1]);
}

struct DamageCase {
    script: Vec<FakeStep>,
    said: &'static str,
}

#[rstest]
#[case::too_long(DamageCase {
    script: vec![accepted("t1", 1), chunk(1, 0, ANSWER), answered("lane four")],
    said: "19 bytes of an answer of 9",
})]
#[case::other_bytes(DamageCase {
    script: vec![accepted("t1", 1), chunk(1, 0, "lane five, heat two"), answered(ANSWER)],
    said: "digest",
})]
#[tokio::test]
async fn a_damaged_answer_is_an_error_and_never_whole(#[case] case: DamageCase) {
    let daemons = FakeDaemons::start(1, vec![case.script], Vec::new()).await;
    let client = daemons.client().await;
    let error = client
        .submit(repeatable())
        .collect()
        .await
        .expect_err("the answer is damaged");
    assert!(matches!(error, ClientError::Damaged { .. }), "{error}");
    assert!(error.to_string().contains(case.said), "{error}");
}

// The caller asks for a receipt. The daemon dies after it took the message; whether
// it ran is unknown. A second message that called itself the first would make a
// daemon's "not run" a lie, so only the first says so and the record decides.
#[tokio::test]
async fn a_key_is_sent_as_first_submission_once() {
    let scripts = vec![
        vec![lost()],
        vec![accepted("t1", 1), chunk(1, 0, ANSWER), answered(ANSWER)],
        vec![accepted("t2", 1), chunk(1, 0, ANSWER), answered(ANSWER)],
    ];
    let daemons = FakeDaemons::start(2, scripts, Vec::new()).await;
    let client = daemons.client().await;
    for _ in 0..2 {
        let whole = client
            .submit(once_only("receipt-1"))
            .collect()
            .await
            .expect("an outcome");
        assert_eq!(whole.end.outcome, AnswerOutcome::Answered);
    }
    let first: Vec<bool> = daemons.received_calls().iter().map(says_first).collect();
    assert_eq!(first, [true, false, false]);
}

// A key made before this client's start may have been sent by an earlier process.
#[tokio::test]
async fn an_old_key_is_never_a_first_submission() {
    let scripts = vec![vec![
        accepted("t1", 1),
        chunk(1, 0, ANSWER),
        answered(ANSWER),
    ]];
    let daemons = FakeDaemons::start(1, scripts, Vec::new()).await;
    let client = daemons.client().await;
    let old = pb::SubmitRequest {
        key_minted_at_ms: 1,
        ..once_only("receipt-1")
    };
    client.submit(old).collect().await.expect("an outcome");
    let first: Vec<bool> = daemons.received_calls().iter().map(says_first).collect();
    assert_eq!(first, [false]);
}

// Work that may not be repeated is resumed by its token alone: the message itself
// would tempt a daemon to run it again.
#[tokio::test]
async fn a_keyed_request_is_resumed_without_its_message() {
    let scripts = vec![
        vec![accepted("t1", 1), lost()],
        vec![accepted("t2", 1), chunk(1, 0, ANSWER), answered(ANSWER)],
    ];
    let daemons = FakeDaemons::start(2, scripts, Vec::new()).await;
    let client = daemons.client().await;
    client
        .submit(once_only("receipt-1"))
        .collect()
        .await
        .expect("an outcome");
    let resume = daemons
        .received_calls()
        .into_iter()
        .find_map(as_resume)
        .expect("one resume");
    assert!(resume.submit.is_none());
}

struct OutcomeCase {
    replies: Vec<pb::OutcomeReply>,
    outcome: AnswerOutcome,
    data: &'static str,
}

fn reply(state: pb::RecordState) -> pb::OutcomeReply {
    pb::OutcomeReply {
        state: state.into(),
        ..pb::OutcomeReply::default()
    }
}

fn recorded(result: &str) -> pb::OutcomeReply {
    pb::OutcomeReply {
        result: result.as_bytes().to_vec(),
        length: ANSWER.len() as u64,
        digest: digest(ANSWER),
        ..reply(pb::RecordState::Answered)
    }
}

// Every connection is lost and the retry budget is spent. The record says what
// became of the request; the client passes on that and nothing kinder.
#[rstest]
#[case::not_run(OutcomeCase { replies: vec![reply(pb::RecordState::NotRun)], outcome: AnswerOutcome::RefusedNotRun, data: "" })]
#[case::unknown(OutcomeCase { replies: vec![reply(pb::RecordState::Unknown)], outcome: AnswerOutcome::Unknown, data: "" })]
#[case::answered(OutcomeCase { replies: vec![recorded(ANSWER)], outcome: AnswerOutcome::Answered, data: ANSWER })]
#[case::answered_not_kept(OutcomeCase { replies: vec![recorded("")], outcome: AnswerOutcome::Unknown, data: "" })]
#[case::settles_later(OutcomeCase { replies: vec![reply(pb::RecordState::Intended), reply(pb::RecordState::NotRun)], outcome: AnswerOutcome::RefusedNotRun, data: "" })]
#[case::no_record_to_ask(OutcomeCase { replies: Vec::new(), outcome: AnswerOutcome::Unknown, data: "" })]
#[tokio::test]
async fn a_lost_keyed_request_ends_as_recorded(#[case] case: OutcomeCase) {
    let scripts = vec![vec![lost()], vec![lost()], vec![lost()], vec![lost()]];
    let daemons = FakeDaemons::start(2, scripts, case.replies).await;
    let options = ClientOptions {
        losses_in_a_row: 1,
        ..daemons.options()
    };
    let client = PistachioClient::connect(options)
        .await
        .expect("the fakes answer");
    let whole = client
        .submit(once_only("receipt-1"))
        .collect()
        .await
        .expect("an outcome");
    assert_eq!(whole.end.outcome, case.outcome, "{}", whole.end.reason);
    assert_eq!(whole.data, case.data.as_bytes());
    let questions = daemons.received_calls().into_iter().filter_map(as_question);
    assert!(questions.clone().count() > 0, "the record was not asked");
    for question in questions {
        assert_eq!(question.key, "receipt-1");
        assert!(
            question.settle,
            "an unused key must be closed before it counts as not run"
        );
    }
}

// Retries are a share of first attempts: when every submission is lost, the
// daemons see little more than the first attempts.
#[tokio::test]
async fn retries_keep_to_their_budget() {
    let requests = 40;
    let scripts = vec![vec![lost()]; 400];
    let daemons = FakeDaemons::start(2, scripts, Vec::new()).await;
    let client = daemons.client().await;
    for _ in 0..requests {
        let whole = client
            .submit(repeatable())
            .collect()
            .await
            .expect("an outcome");
        assert_eq!(whole.end.outcome, AnswerOutcome::Unknown);
    }
    let submissions = daemons.received_calls().len();
    assert!(
        submissions <= requests + 10,
        "{submissions} submissions of {requests} requests"
    );
}

#[tokio::test]
async fn a_refusal_is_retried_after_the_time_it_names() {
    let scripts = vec![
        vec![refused(300)],
        vec![accepted("t1", 1), chunk(1, 0, ANSWER), answered(ANSWER)],
    ];
    let daemons = FakeDaemons::start(1, scripts, Vec::new()).await;
    let client = daemons.client().await;
    let started = std::time::Instant::now();
    let whole = client
        .submit(repeatable())
        .collect()
        .await
        .expect("an outcome");
    assert_eq!(whole.end.outcome, AnswerOutcome::Answered);
    assert_eq!(whole.end.resubmissions, 1);
    assert!(
        started.elapsed().as_millis() >= 300,
        "it came back too early"
    );
}

struct RefusalCase {
    retry_refused: bool,
    retry_after_ms: u32,
    deadline_ms: u32,
}

#[rstest]
#[case::switched_off(RefusalCase { retry_refused: false, retry_after_ms: 10, deadline_ms: 0 })]
#[case::no_time_named(RefusalCase { retry_refused: true, retry_after_ms: 0, deadline_ms: 0 })]
#[case::past_the_deadline(RefusalCase { retry_refused: true, retry_after_ms: 60_000, deadline_ms: 1_000 })]
#[tokio::test]
async fn a_refusal_is_passed_on_when_a_retry_has_no_use(#[case] case: RefusalCase) {
    let daemons = FakeDaemons::start(1, vec![vec![refused(case.retry_after_ms)]], Vec::new()).await;
    let options = ClientOptions {
        retry_refused: case.retry_refused,
        ..daemons.options()
    };
    let client = PistachioClient::connect(options)
        .await
        .expect("the fakes answer");
    let submit = pb::SubmitRequest {
        deadline_ms: case.deadline_ms,
        ..repeatable()
    };
    let whole = client.submit(submit).collect().await.expect("an outcome");
    assert_eq!(whole.end.outcome, AnswerOutcome::RefusedNotRun);
    assert_eq!(daemons.received_calls().len(), 1);
}

#[rstest]
#[case::cancelled(pb::Outcome::Cancelled, AnswerOutcome::Cancelled)]
#[case::expired(pb::Outcome::Expired, AnswerOutcome::Expired)]
#[case::unknown(pb::Outcome::Unknown, AnswerOutcome::Unknown)]
#[case::unspecified(pb::Outcome::Unspecified, AnswerOutcome::Unknown)]
#[tokio::test]
async fn other_outcomes_are_passed_on(#[case] sent: pb::Outcome, #[case] expected: AnswerOutcome) {
    let end = ended(pb::Final {
        outcome: sent.into(),
        ..pb::Final::default()
    });
    let daemons = FakeDaemons::start(1, vec![vec![accepted("t1", 1), end]], Vec::new()).await;
    let client = daemons.client().await;
    let whole = client
        .submit(repeatable())
        .collect()
        .await
        .expect("an outcome");
    assert_eq!(whole.end.outcome, expected);
}

#[tokio::test]
async fn a_call_refused_for_good_is_not_repeated() {
    let scripts = vec![vec![FakeStep::Fail(Code::InvalidArgument)]];
    let daemons = FakeDaemons::start(2, scripts, Vec::new()).await;
    let client = daemons.client().await;
    let error = client
        .submit(repeatable())
        .collect()
        .await
        .expect_err("it is refused");
    assert!(
        matches!(
            error,
            ClientError::Rejected {
                code: Code::InvalidArgument,
                ..
            }
        ),
        "{error}"
    );
    assert_eq!(daemons.received_calls().len(), 1);
}

#[tokio::test]
async fn addresses_are_kept_and_requests_spread_over_them() {
    let whole = || vec![accepted("t1", 1), chunk(1, 0, ANSWER), answered(ANSWER)];
    let scripts = (0..60).map(|_| whole()).collect();
    let daemons = FakeDaemons::start(3, scripts, Vec::new()).await;
    let client = daemons.client().await;
    for _ in 0..60 {
        client
            .submit(repeatable())
            .collect()
            .await
            .expect("an outcome");
    }
    let places = daemons.receiver_addresses();
    let used: indexmap::IndexSet<_> = places.iter().collect();
    assert_eq!(used.len(), 3);
    assert_eq!(daemons.state.lock().expect("no panic").locate_calls, 1);
}

struct ConnectCase {
    addresses: &'static [&'static str],
    key: &'static str,
    ca_pem: Option<&'static str>,
    said: &'static str,
}

#[rstest]
#[case::none(ConnectCase { addresses: &[], key: "k", ca_pem: None, said: "no address given" })]
#[case::host_name(ConnectCase { addresses: &["localhost:1"], key: "k", ca_pem: None, said: "IP number and port" })]
#[case::key(ConnectCase { addresses: &["127.0.0.1:1"], key: "k\n", ca_pem: None, said: "cannot be sent" })]
#[case::nobody_there(ConnectCase { addresses: &["127.0.0.1:1"], key: "k", ca_pem: None, said: "nothing was sent" })]
#[case::authority(ConnectCase { addresses: &["127.0.0.1:1"], key: "k", ca_pem: Some("not PEM"), said: "certificate authority" })]
#[tokio::test]
async fn options_that_cannot_work_are_refused(#[case] case: ConnectCase) {
    let addresses = case.addresses.iter().map(ToString::to_string).collect();
    let options = ClientOptions {
        ca_pem: case.ca_pem.map(str::to_owned),
        ..ClientOptions::new(addresses, case.key.to_owned())
    };
    assert!(!format!("{options:?}").contains("\"k"), "the key is shown");
    let error = PistachioClient::connect(options)
        .await
        .err()
        .expect("it cannot work");
    assert!(error.to_string().contains(case.said), "{error}");
}

fn as_resume(call: ReceivedCall) -> Option<pb::ResumeRequest> {
    match call {
        ReceivedCall::Resume(resume) => Some(resume),
        _ => None,
    }
}

fn as_question(call: ReceivedCall) -> Option<pb::OutcomeRequest> {
    match call {
        ReceivedCall::Outcome(question) => Some(question),
        _ => None,
    }
}

fn says_first(call: &ReceivedCall) -> bool {
    matches!(call, ReceivedCall::Submit(submit) if submit.first_submission)
}
