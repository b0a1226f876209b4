//! Ports: interfaces to external systems, as plain structs of closures.
//!
//! The errors distinguish calls that certainly had no effect from calls that may have had
//! one. Reporting a request as "not run" is correct only because of this distinction.

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

/// A port operation: takes a request and returns a future.
pub type PortCall<I, O> = Arc<dyn Fn(I) -> PortFuture<O> + Send + Sync>;

/// Name of a platform object.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectName {
    /// Kind, for example `config`.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
}

/// Version of an object; 0 for an object that does not exist.
///
/// A store that is restored from an older copy assigns revisions again. It says so by a new era,
/// which the upper bits hold, so that versions of a later era are greater than all before.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectVersion(pub u64);

/// Bits of a version that hold the revision; the era is above them.
const REVISION_BITS: u32 = 48;

impl ObjectVersion {
    /// Creates the version of a revision that the store assigned in an era.
    #[must_use]
    pub const fn in_era(era: u64, revision: u64) -> Self {
        match revision {
            0 => Self(0),
            _ => Self(era << REVISION_BITS | revision),
        }
    }

    /// Returns the era of the store.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision within the era, as the store counts it.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

/// An object as read from the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Name of the object.
    pub object: ObjectName,
    /// Version that was read.
    pub version: ObjectVersion,
    /// Value; `None` when the object was deleted.
    pub value: Option<Vec<u8>>,
}

/// A conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConditionalWrite {
    /// Object to write.
    pub object: ObjectName,
    /// Version that the object must have; 0 requires that it does not exist.
    pub expected: ObjectVersion,
    /// New value.
    pub value: Vec<u8>,
}

/// Objects of a kind, complete up to a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectBatch {
    /// Revision from which the next watch starts, with its era as in [`ObjectVersion`].
    pub revision: u64,
    /// Listed or changed objects.
    pub objects: Vec<StoredObject>,
}

/// A query that waits for changes of a kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchQuery {
    /// Kind to watch.
    pub kind: String,
    /// Revision after which changes are returned, with its era as in [`ObjectVersion`].
    pub since: u64,
    /// Time after which an empty batch is returned if nothing has changed.
    pub wait: Duration,
}

/// Errors of the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The object had a different version; nothing was written.
    #[error("the object has changed (now version {}); read it again and repeat the change", current.0)]
    Conflict {
        /// Current version.
        current: ObjectVersion,
    },
    /// The call certainly had no effect.
    #[error("the platform did not accept the call: {reason}; retry after {}", humantime::format_duration(*retry_after))]
    Unavailable {
        /// What happened.
        reason: String,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// A write may or may not have taken effect.
    #[error("the answer to a platform call was lost: {reason}; read the object before retrying")]
    Lost {
        /// What happened.
        reason: String,
    },
    /// The platform refused the call; a retry would be refused as well.
    #[error("the platform refused the call: {reason}; correct the request")]
    Refused {
        /// What happened.
        reason: String,
    },
}

/// Port to the platform's object service and instance list.
#[derive(Clone)]
pub struct PlatformPort {
    /// Reads one object; `None` if it never existed.
    pub read: PortCall<ObjectName, Result<Option<StoredObject>, PlatformError>>,
    /// Writes one object if it has the expected version.
    pub write: PortCall<ConditionalWrite, Result<ObjectVersion, PlatformError>>,
    /// Lists all objects of a kind.
    pub list: PortCall<String, Result<ObjectBatch, PlatformError>>,
    /// Waits for changes of a kind.
    pub watch: PortCall<WatchQuery, Result<ObjectBatch, PlatformError>>,
    /// Reads the instance list.
    pub instances: PortCall<(), Result<Vec<InstanceRow>, PlatformError>>,
}

/// Errors of a target.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TargetError {
    /// The call certainly never reached the target.
    #[error("the target was not reached: {reason}; send to another target")]
    NotDelivered {
        /// What happened.
        reason: String,
    },
    /// The target answered that it did not accept the work.
    #[error("the target refused the work: {reason}; retry after {}", humantime::format_duration(*retry_after))]
    Refused {
        /// What happened.
        reason: String,
        /// Time after which to retry.
        retry_after: Duration,
        /// Whether the target reports that it is leaving.
        leaving: bool,
    },
    /// An order carried an outdated fencing number.
    #[error("the target has already accepted fencing number {}; give up the lease", current.0)]
    Fenced {
        /// Fencing number known to the target.
        current: FenceNumber,
    },
    /// The target does not know the stream.
    #[error("the target does not know the stream; start another attempt")]
    NoStream,
    /// The target sent no answer in time. It may still be at work.
    #[error("the target is silent: {reason}; assume that the work may have run")]
    Silent {
        /// What happened.
        reason: String,
    },
    /// The work may or may not have run.
    #[error("the target's answer was lost: {reason}; assume that the work may have run")]
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
    /// IP address and port.
    pub address: String,
    /// Timeout for the header of the response.
    pub timeout: Duration,
    /// Request body.
    pub body: B,
}

/// Position from which a stream is resumed at the engine that runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamPosition {
    /// Request of the stream.
    pub request_id: RequestId,
    /// Attempt of the stream.
    pub attempt: u32,
    /// Answer bytes already received.
    pub offset: u64,
}

/// Port to model engines.
#[derive(Clone)]
pub struct EnginePort {
    /// Starts an attempt and streams its answer.
    pub generate: PortCall<TargetCall<GenerateBody>, Result<LineStream, TargetError>>,
    /// Continues a stream that the engine already runs.
    pub resume: PortCall<TargetCall<StreamPosition>, Result<LineStream, TargetError>>,
    /// Cancels all attempts of a request; `true` if one was running.
    pub cancel: PortCall<TargetCall<RequestId>, Result<bool, TargetError>>,
    /// Reads the engine's state.
    pub state: PortCall<TargetCall<()>, Result<EngineState, TargetError>>,
    /// Reads cache events after the given sequence number.
    pub cache_events: PortCall<TargetCall<u64>, Result<Vec<CacheEvent>, TargetError>>,
    /// Sends an order and returns the resulting state.
    pub order: PortCall<TargetCall<OrderBody>, Result<EngineState, TargetError>>,
}

/// Port to plain services.
#[derive(Clone)]
pub struct ServicePort {
    /// Sends one request and reads its reply.
    pub call: PortCall<TargetCall<ServiceBody>, Result<ServiceReply, TargetError>>,
}
