//! Ports: what the inside asks of the outside, as plain structs of closures.
//!
//! The errors keep apart what certainly had no effect from what may have had
//! one; every truthful refusal rests on that difference.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::BoxStream;
use thiserror::Error;

use crate::names::{FenceNumber, RequestId};
use crate::store::wire::InstanceRow;
use crate::targets::wire::{
    CacheEvent, EngineState, GenerateBody, OrderBody, ServiceBody, ServiceReply, StreamLine,
};

/// A boxed future that can move between threads.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A closure port: takes a request, returns a future.
pub type PortCall<I, O> = Arc<dyn Fn(I) -> PortFuture<O> + Send + Sync>;

/// Names an object of the platform.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectName {
    /// Kind, for example `config`.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
}

/// Version of an object; 0 stands for an object that does not exist.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectVersion(pub u64);

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Its name.
    pub object: ObjectName,
    /// Version read.
    pub version: ObjectVersion,
    /// Value; `None` when the object was deleted.
    pub value: Option<Vec<u8>>,
}

/// A conditional update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConditionalWrite {
    /// Object to write.
    pub object: ObjectName,
    /// Version it must have; 0 requires that it does not exist.
    pub expected: ObjectVersion,
    /// New value.
    pub value: Vec<u8>,
}

/// Objects of a kind, complete up to a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectBatch {
    /// Where the next watch starts.
    pub revision: u64,
    /// Objects.
    pub objects: Vec<StoredObject>,
}

/// A wait for changes of a kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchQuery {
    /// Kind to watch.
    pub kind: String,
    /// Revision already seen.
    pub since: u64,
    /// Longest wait; an empty batch is returned after it.
    pub wait: Duration,
}

/// Failures of the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The object had another version; nothing was written.
    #[error("the object changed (now version {}); read it again and redo the change", current.0)]
    Conflict {
        /// Version found.
        current: ObjectVersion,
    },
    /// The call certainly had no effect.
    #[error("the platform took no call: {reason}; retry after {}", humantime::format_duration(*retry_after))]
    Unavailable {
        /// What happened.
        reason: String,
        /// When to try again.
        retry_after: Duration,
    },
    /// A write may or may not have taken effect.
    #[error("the answer to a platform call was lost: {reason}; read back before concluding")]
    Lost {
        /// What happened.
        reason: String,
    },
    /// The platform refused the call for good.
    #[error("the platform refused the call: {reason}; correct the request")]
    Refused {
        /// What happened.
        reason: String,
    },
}

/// The platform's object service and instance list.
#[derive(Clone)]
pub struct PlatformPort {
    /// Reads one object; `None` when it never existed.
    pub read: PortCall<ObjectName, Result<Option<StoredObject>, PlatformError>>,
    /// Writes one object if its version is as expected.
    pub write: PortCall<ConditionalWrite, Result<ObjectVersion, PlatformError>>,
    /// Lists all objects of a kind.
    pub list: PortCall<String, Result<ObjectBatch, PlatformError>>,
    /// Waits for changes of a kind.
    pub watch: PortCall<WatchQuery, Result<ObjectBatch, PlatformError>>,
    /// Reads the instance list.
    pub instances: PortCall<(), Result<Vec<InstanceRow>, PlatformError>>,
}

/// Failures of a target.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TargetError {
    /// The call certainly never reached the target.
    #[error("the target was not reached: {reason}; use another target")]
    NotDelivered {
        /// What happened.
        reason: String,
    },
    /// The target answered that it did not take the work.
    #[error("the target refused the work: {reason}; retry after {}", humantime::format_duration(*retry_after))]
    Refused {
        /// What happened.
        reason: String,
        /// When to try again.
        retry_after: Duration,
        /// Whether the target says that it is leaving.
        leaving: bool,
    },
    /// An order carried an old fence.
    #[error("the target has seen fence {}; give up the lease", current.0)]
    Fenced {
        /// Fence the target holds.
        current: FenceNumber,
    },
    /// The target knows no such stream.
    #[error("the target has no such stream; start another attempt")]
    NoStream,
    /// The work may or may not have run.
    #[error("the target's answer was lost: {reason}; treat the work as possibly run")]
    Lost {
        /// What happened.
        reason: String,
    },
}

/// A stream of answer lines.
pub type LineStream = BoxStream<'static, Result<StreamLine, TargetError>>;

/// A call to one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCall<B> {
    /// IP number and port.
    pub address: String,
    /// Longest wait for the first byte of the answer.
    pub patience: Duration,
    /// What to send.
    pub body: B,
}

/// Resumes a stream at the engine that runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamPosition {
    /// Request of the stream.
    pub request_id: RequestId,
    /// Attempt of the stream.
    pub attempt: u32,
    /// Answer bytes already received.
    pub offset: u64,
}

/// Model engines.
#[derive(Clone)]
pub struct EnginePort {
    /// Starts a stream.
    pub generate: PortCall<TargetCall<GenerateBody>, Result<LineStream, TargetError>>,
    /// Continues a stream the engine already runs.
    pub resume: PortCall<TargetCall<StreamPosition>, Result<LineStream, TargetError>>,
    /// Stops all attempts of a request; true when one was running.
    pub cancel: PortCall<TargetCall<RequestId>, Result<bool, TargetError>>,
    /// Reads the engine's state.
    pub state: PortCall<TargetCall<()>, Result<EngineState, TargetError>>,
    /// Reads cache events after a number.
    pub cache_events: PortCall<TargetCall<u64>, Result<Vec<CacheEvent>, TargetError>>,
    /// Sends an order.
    pub order: PortCall<TargetCall<OrderBody>, Result<EngineState, TargetError>>,
}

/// Plain services.
#[derive(Clone)]
pub struct ServicePort {
    /// Makes one call.
    pub call: PortCall<TargetCall<ServiceBody>, Result<ServiceReply, TargetError>>,
}
