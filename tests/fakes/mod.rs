//! Scripted daemons: each submit or resume call runs the next script.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use pistachiowick::client::{ClientOptions, PistachioClient};
use pistachiowick::pb;
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::requests_server::{Requests, RequestsServer};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status};

/// One step of a scripted daemon on a stream.
#[derive(Clone, Debug)]
pub enum FakeStep {
    /// Sends an event.
    Send(Event),
    /// Ends the stream with an error status, like a failing connection.
    Fail(tonic::Code),
}

/// A call received by the scripted daemons.
#[derive(Clone, Debug)]
pub enum ReceivedCall {
    Submit(pb::SubmitRequest),
    Resume(pb::ResumeRequest),
    Outcome(pb::OutcomeRequest),
}

#[derive(Default)]
pub struct FakeState {
    scripts: VecDeque<Vec<FakeStep>>,
    outcomes: VecDeque<pb::OutcomeReply>,
    addresses: Vec<String>,
    pub received: Vec<(SocketAddr, ReceivedCall)>,
    pub locate_calls: usize,
}

/// Scripted daemons that share one list of scripts.
pub struct FakeDaemons {
    pub state: Arc<Mutex<FakeState>>,
}

impl FakeDaemons {
    pub async fn start(
        count: usize,
        scripts: Vec<Vec<FakeStep>>,
        outcomes: Vec<pb::OutcomeReply>,
    ) -> Self {
        let state = Arc::new(Mutex::new(FakeState {
            scripts: scripts.into(),
            outcomes: outcomes.into(),
            ..FakeState::default()
        }));
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("the port is bound");
            state
                .lock()
                .expect("no panic")
                .addresses
                .push(address.to_string());
            let daemon = FakeDaemon {
                address,
                state: Arc::clone(&state),
            };
            let serving = tonic::transport::Server::builder()
                .add_service(RequestsServer::new(daemon))
                .serve_with_incoming(TcpListenerStream::new(listener));
            tokio::spawn(serving);
        }
        Self { state }
    }

    pub fn options(&self) -> ClientOptions {
        let addresses = self.state.lock().expect("no panic").addresses.clone();
        ClientOptions {
            seed: 7,
            ..ClientOptions::new(addresses, "key-of-the-test".to_owned())
        }
    }

    pub async fn client(&self) -> PistachioClient {
        PistachioClient::connect(self.options())
            .await
            .expect("the fakes answer")
    }

    pub fn received_calls(&self) -> Vec<ReceivedCall> {
        let state = self.state.lock().expect("no panic");
        state
            .received
            .iter()
            .map(|(_, call)| call.clone())
            .collect()
    }

    pub fn receiver_addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.lock().expect("no panic");
        state.received.iter().map(|(address, _)| *address).collect()
    }
}

struct FakeDaemon {
    address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

type EventStream = ReceiverStream<Result<pb::AnswerEvent, Status>>;

impl FakeDaemon {
    async fn play(&self, call: ReceivedCall) -> Result<Response<EventStream>, Status> {
        let script = {
            let mut state = self.state.lock().expect("no panic");
            state.received.push((self.address, call));
            state.scripts.pop_front()
        };
        let script = script.ok_or_else(|| Status::invalid_argument("no script is left"))?;
        if let Some(FakeStep::Fail(code)) = script.first() {
            return Err(Status::new(*code, "scripted"));
        }
        let (sender, events) = tokio::sync::mpsc::channel(script.len());
        for step in script {
            let item = match step {
                FakeStep::Send(event) => Ok(pb::AnswerEvent { event: Some(event) }),
                FakeStep::Fail(code) => Err(Status::new(code, "scripted")),
            };
            sender.send(item).await.expect("there is room for all");
        }
        Ok(Response::new(ReceiverStream::new(events)))
    }
}

#[tonic::async_trait]
impl Requests for FakeDaemon {
    type SubmitStream = EventStream;
    type ResumeStream = EventStream;

    async fn submit(
        &self,
        request: Request<pb::SubmitRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let bearer = request.metadata().get("authorization").cloned();
        if bearer.is_none_or(|value| value != "Bearer key-of-the-test") {
            return Err(Status::unauthenticated("no such key"));
        }
        self.play(ReceivedCall::Submit(request.into_inner())).await
    }

    async fn resume(
        &self,
        request: Request<pb::ResumeRequest>,
    ) -> Result<Response<EventStream>, Status> {
        self.play(ReceivedCall::Resume(request.into_inner())).await
    }

    async fn cancel(
        &self,
        _: Request<pb::CancelRequest>,
    ) -> Result<Response<pb::CancelReply>, Status> {
        Ok(Response::new(pb::CancelReply { stopped: true }))
    }

    async fn outcome(
        &self,
        request: Request<pb::OutcomeRequest>,
    ) -> Result<Response<pb::OutcomeReply>, Status> {
        let mut state = self.state.lock().expect("no panic");
        let call = ReceivedCall::Outcome(request.into_inner());
        state.received.push((self.address, call));
        let reply = state.outcomes.pop_front();
        reply
            .map(Response::new)
            .ok_or_else(|| Status::invalid_argument("no outcome is left"))
    }

    async fn locate(
        &self,
        _: Request<pb::LocateRequest>,
    ) -> Result<Response<pb::LocateReply>, Status> {
        let mut state = self.state.lock().expect("no panic");
        state.locate_calls += 1;
        let addresses = state.addresses.iter().map(|address| pb::Address {
            address: address.clone(),
            data_centre: "hala-racice".to_owned(),
            weight: 1,
        });
        Ok(Response::new(pb::LocateReply {
            addresses: addresses.collect(),
            keep_ms: 60_000,
        }))
    }
}

pub fn accepted(token: &str, attempt: u32) -> FakeStep {
    FakeStep::Send(Event::Accepted(pb::Accepted {
        request_id: "request-1".to_owned(),
        resume_token: token.to_owned(),
        attempt,
        target: "engine-1".to_owned(),
    }))
}

pub fn chunk(attempt: u32, offset: u64, data: &str) -> FakeStep {
    FakeStep::Send(Event::Chunk(pb::Chunk {
        attempt,
        offset,
        data: data.as_bytes().to_vec(),
        tokens: 1,
    }))
}

pub fn answered(text: &str) -> FakeStep {
    ended(pb::Final {
        outcome: pb::Outcome::Answered.into(),
        length: text.len() as u64,
        digest: digest(text),
        ..pb::Final::default()
    })
}

pub fn refused(retry_after_ms: u32) -> FakeStep {
    ended(pb::Final {
        outcome: pb::Outcome::RefusedNotRun.into(),
        reason: "the queue is full".to_owned(),
        retry_after_ms,
        ..pb::Final::default()
    })
}

pub fn ended(end: pb::Final) -> FakeStep {
    FakeStep::Send(Event::Final(end))
}

pub fn digest(text: &str) -> Vec<u8> {
    Sha256::digest(text.as_bytes()).to_vec()
}
