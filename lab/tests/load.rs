//! The load generator notices whatever is wrong with an answer.

use std::pin::Pin;

use futures_util::Stream;
use futures_util::stream;
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_server::{Requests, RequestsServer};
use pistachiowick::pb::{
    Accepted, AnswerEvent, CancelReply, CancelRequest, Chunk, Final, LocateReply, LocateRequest,
    Outcome, OutcomeReply, OutcomeRequest, ResumeRequest, SubmitRequest,
};
use pistachiowick_lab::answers::expected_answer;
use pistachiowick_lab::load::{LoadClass, LoadConfig, plan_requests, run_load};
use pistachiowick_lab::load_tally::LoadCounts;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

type EventStream = Pin<Box<dyn Stream<Item = Result<AnswerEvent, Status>> + Send>>;
type AnswerMaker = fn(&[u8]) -> Vec<Event>;

/// Answers every request as told.
#[derive(Clone, Copy)]
struct FakeDaemon {
    submit: AnswerMaker,
    resume: AnswerMaker,
}

fn answered(request: &SubmitRequest, make: AnswerMaker) -> Response<EventStream> {
    let whole = expected_answer(
        &request.prompt,
        &request.model,
        &request.adapter,
        &request.version,
        request.max_output_tokens,
    );
    let events: Vec<Result<AnswerEvent, Status>> = make(&whole)
        .into_iter()
        .map(|event| Ok(AnswerEvent { event: Some(event) }))
        .collect();
    Response::new(Box::pin(stream::iter(events)))
}

#[tonic::async_trait]
impl Requests for FakeDaemon {
    type SubmitStream = EventStream;
    type ResumeStream = EventStream;

    async fn submit(
        &self,
        request: Request<SubmitRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let key = request.metadata().get("authorization");
        if key.and_then(|key| key.to_str().ok()) != Some("Bearer secret") {
            return Err(Status::unauthenticated("no key"));
        }
        Ok(answered(request.get_ref(), self.submit))
    }

    async fn resume(
        &self,
        request: Request<ResumeRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let resume = request.into_inner();
        let submit = resume.submit.unwrap_or_default();
        Ok(answered(&submit, self.resume))
    }

    async fn cancel(&self, _: Request<CancelRequest>) -> Result<Response<CancelReply>, Status> {
        Err(Status::unimplemented("not needed"))
    }

    async fn outcome(&self, _: Request<OutcomeRequest>) -> Result<Response<OutcomeReply>, Status> {
        Err(Status::unimplemented("not needed"))
    }

    async fn locate(&self, _: Request<LocateRequest>) -> Result<Response<LocateReply>, Status> {
        Err(Status::unimplemented("not needed"))
    }
}

async fn served(daemon: FakeDaemon) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(
        Server::builder()
            .add_service(RequestsServer::new(daemon))
            .serve_with_incoming(TcpListenerStream::new(listener)),
    );
    address
}

fn config(address: &str) -> LoadConfig {
    LoadConfig {
        addresses: vec![address.to_owned()],
        seed: 7,
        rate: 200.0,
        duration_ms: 100,
        classes: vec![LoadClass {
            key: "secret".to_owned(),
            workspace: "racice".to_owned(),
            class: "check".to_owned(),
            ..LoadClass::default()
        }],
        ..LoadConfig::default()
    }
}

fn accepted() -> Event {
    Event::Accepted(Accepted {
        resume_token: "token".to_owned(),
        ..Accepted::default()
    })
}

fn chunk(offset: usize, data: &[u8]) -> Event {
    Event::Chunk(Chunk {
        offset: offset as u64,
        data: data.to_vec(),
        ..Chunk::default()
    })
}

fn last(outcome: Outcome, length: usize) -> Event {
    Event::Final(Final {
        outcome: outcome.into(),
        length: length as u64,
        ..Final::default()
    })
}

fn whole(answer: &[u8]) -> Vec<Event> {
    vec![
        accepted(),
        chunk(0, &answer[..8]),
        chunk(8, &answer[8..]),
        last(Outcome::Answered, answer.len()),
    ]
}

fn second_half(answer: &[u8]) -> Vec<Event> {
    vec![
        chunk(8, &answer[8..]),
        last(Outcome::Answered, answer.len()),
    ]
}

/// Answers of a daemon, and the count that must equal the number of requests.
struct AnswerCase {
    submit: AnswerMaker,
    resume: AnswerMaker,
    count: fn(&LoadCounts) -> u64,
    clean: bool,
}

#[rstest]
#[case::whole(AnswerCase {
    submit: whole,
    resume: whole,
    count: |counts| counts.answered,
    clean: true,
})]
#[case::resumed(AnswerCase {
    submit: |answer| vec![accepted(), chunk(0, &answer[..8])],
    resume: second_half,
    count: |counts| counts.resumes,
    clean: true,
})]
#[case::wrong_byte(AnswerCase {
    submit: |answer| {
        let mut answer = answer.to_vec();
        answer[5] = b'#';
        whole(&answer)
    },
    resume: whole,
    count: |counts| counts.wrong,
    clean: false,
})]
#[case::gap(AnswerCase {
    submit: |answer| vec![chunk(8, &answer[8..]), last(Outcome::Answered, answer.len())],
    resume: whole,
    count: |counts| counts.wrong,
    clean: false,
})]
#[case::short(AnswerCase {
    submit: |answer| vec![chunk(0, &answer[..8]), last(Outcome::Answered, 8)],
    resume: whole,
    count: |counts| counts.short,
    clean: false,
})]
#[case::chunk_twice(AnswerCase {
    submit: |answer| vec![
        chunk(0, &answer[..8]),
        chunk(0, &answer[..8]),
        chunk(8, &answer[8..]),
        last(Outcome::Answered, answer.len()),
    ],
    resume: whole,
    count: |counts| counts.doubled,
    clean: false,
})]
#[case::final_twice(AnswerCase {
    submit: |answer| {
        let end = last(Outcome::Answered, answer.len());
        [whole(answer), vec![end]].concat()
    },
    resume: whole,
    count: |counts| counts.doubled,
    clean: false,
})]
#[case::refused(AnswerCase {
    submit: |_| vec![last(Outcome::RefusedNotRun, 0)],
    resume: whole,
    count: |counts| counts.refused_not_run,
    clean: false,
})]
#[case::unknown(AnswerCase {
    submit: |_| vec![accepted(), last(Outcome::Unknown, 0)],
    resume: whole,
    count: |counts| counts.unknown,
    clean: false,
})]
#[tokio::test]
async fn answers_are_checked(#[case] case: AnswerCase) {
    let daemon = FakeDaemon {
        submit: case.submit,
        resume: case.resume,
    };
    let config = config(&served(daemon).await);
    let planned = plan_requests(&config).expect("a plan").len() as u64;
    assert!(planned > 5);
    let counts = run_load(&config).await.expect("a run").counts;
    assert_eq!(counts.submitted, planned);
    assert_eq!((case.count)(&counts), planned, "counts: {counts:?}");
    let in_deadline = if case.clean { planned } else { 0 };
    assert_eq!(counts.in_deadline, in_deadline);
}

#[test]
fn a_seed_fixes_the_requests() {
    let config = config("127.0.0.1:1");
    let first = plan_requests(&config).expect("a plan");
    let second = plan_requests(&config).expect("a plan");
    let submits = |plan: Vec<pistachiowick_lab::load::PlannedRequest>| {
        plan.into_iter()
            .map(|request| (request.at, request.submit))
            .collect::<Vec<_>>()
    };
    assert_eq!(submits(first), submits(second));
}
