//! Messages between daemons, in CBOR over WebSocket.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::crashes::report::{PartReport, WorkReport};
use crate::membership::departures::TargetDepartureReport;
use crate::names::{DaemonId, ModelName, MonoTime, ProcessIncarnation, WorkspaceName};
use crate::ports::{ObjectName, ObjectVersion, StoredObject};
use crate::roles::mix::{MIX_BINS, WorkAmount, WorkTotals};
use crate::target_limits::report::LimitReport;
use crate::targets::wire::EngineState;

/// Largest message between daemons.
pub const MESSAGE_BYTES: usize = 4 << 20;

/// State of one daemon, sent periodically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerHint {
    /// Daemon that sent the hint.
    pub daemon: Option<DaemonId>,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
    /// Increases with each hint of an incarnation.
    pub sequence: u64,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Work it has accepted since its start.
    pub work: WorkTotals,
    /// Engine seconds used on it by each workspace since its start.
    pub costs: IndexMap<WorkspaceName, f64>,
    /// Versions of the configuration buckets it applied recently.
    pub applied: Vec<(String, ObjectVersion)>,
    /// States of the engines whose leases it holds.
    pub engines: Vec<EngineState>,
    /// Reports of work that crashed targets, sent in rotation
    /// ([`crate::broadcast_schedule`]).
    pub work_reports: Vec<WorkReport>,
    /// Parts of prompts that crashed targets.
    pub part_reports: Vec<PartReport>,
    /// Limits of targets, as due ([`crate::broadcast_schedule`]).
    pub limits: Vec<LimitReport>,
    /// Targets that stated recently that they are leaving.
    pub departures: Vec<TargetDepartureReport>,
    /// Monotonic clock of the daemon.
    pub clock: MonoTime,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A hint; forwarded by watchers.
    Hint(Box<PeerHint>),
    /// Versions of the sender's configuration and order objects; the receiver replies with
    /// newer ones.
    Versions(Vec<(ObjectName, ObjectVersion)>),
    /// Configuration and order objects.
    Objects(Vec<StoredObject>),
    /// A request, see [`crate::peers::requests`].
    Request {
        /// Identifies the reply to this request.
        id: u64,
        /// Encoded request.
        body: Vec<u8>,
    },
    /// The reply to a request.
    Reply {
        /// Identifier of the request.
        id: u64,
        /// Encoded reply, or why the request failed.
        result: Result<Vec<u8>, String>,
    },
}

/// Authentication messages, which precede all others on a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandshakeMessage {
    /// From the listener: bytes that the caller must sign.
    Challenge(Vec<u8>),
    /// From the caller: its identity and proof, and bytes that the listener must sign.
    Hello {
        /// Name of the caller.
        daemon: DaemonId,
        /// Incarnation of its process.
        incarnation: ProcessIncarnation,
        /// Proof that it knows the secret.
        proof: Vec<u8>,
        /// Bytes that the listener must sign.
        challenge: Vec<u8>,
    },
    /// From the listener: its identity and proof.
    Welcome {
        /// Name of the listener.
        daemon: DaemonId,
        /// Incarnation of its process.
        incarnation: ProcessIncarnation,
        /// Proof that it knows the secret.
        proof: Vec<u8>,
    },
}

/// A message that cannot be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a peer's message cannot be decoded ({reason}); run the same version on all daemons")]
pub struct PeerWireError {
    /// What is wrong.
    pub reason: String,
}

#[derive(Deserialize, Serialize)]
struct HintWire {
    daemon: Option<DaemonId>,
    incarnation: ProcessIncarnation,
    sequence: u64,
    leaving: bool,
    work: Vec<(ModelName, Vec<(f64, f64)>)>,
    costs: Vec<(WorkspaceName, f64)>,
    applied: Vec<(String, u64)>,
    engines: Vec<EngineState>,
    #[serde(default, rename = "works")]
    work_reports: Vec<WorkReport>,
    #[serde(default, rename = "parts", skip_serializing_if = "Vec::is_empty")]
    part_reports: Vec<PartReport>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<LimitReport>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    departures: Vec<TargetDepartureReport>,
    #[serde(default)]
    clock: MonoTime,
}

#[derive(Deserialize, Serialize)]
struct ObjectWire {
    kind: String,
    name: String,
    version: u64,
    value: Option<Vec<u8>>,
}

#[derive(Deserialize, Serialize)]
enum MessageWire {
    Hint(HintWire),
    Versions(Vec<(String, String, u64)>),
    Objects(Vec<ObjectWire>),
    Request(u64, Vec<u8>),
    Reply(u64, Result<Vec<u8>, String>),
}

impl From<&PeerHint> for HintWire {
    fn from(hint: &PeerHint) -> Self {
        let work = hint.work.iter().map(|(model, bins)| {
            let bins = bins.iter().map(|work| (work.prefill, work.decode));
            (model.clone(), bins.collect())
        });
        Self {
            daemon: hint.daemon.clone(),
            incarnation: hint.incarnation,
            sequence: hint.sequence,
            leaving: hint.leaving,
            work: work.collect(),
            costs: hint.costs.iter().map(|(w, c)| (w.clone(), *c)).collect(),
            applied: hint.applied.iter().map(|(n, v)| (n.clone(), v.0)).collect(),
            engines: hint.engines.clone(),
            work_reports: hint.work_reports.clone(),
            part_reports: hint.part_reports.clone(),
            limits: hint.limits.clone(),
            departures: hint.departures.clone(),
            clock: hint.clock,
        }
    }
}

impl TryFrom<HintWire> for PeerHint {
    type Error = PeerWireError;

    fn try_from(wire: HintWire) -> Result<Self, Self::Error> {
        let mut work = WorkTotals::new();
        for (model, bins) in wire.work {
            let bins: Vec<WorkAmount> = bins
                .into_iter()
                .map(|(prefill, decode)| WorkAmount { prefill, decode })
                .collect();
            let bins = <[WorkAmount; MIX_BINS]>::try_from(bins).map_err(|_| PeerWireError {
                reason: "the work totals have a wrong number of bins".to_owned(),
            })?;
            work.insert(model, bins);
        }
        let applied = wire.applied.into_iter();
        Ok(Self {
            daemon: wire.daemon,
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            leaving: wire.leaving,
            work,
            costs: wire.costs.into_iter().collect(),
            applied: applied.map(|(n, v)| (n, ObjectVersion(v))).collect(),
            engines: wire.engines,
            work_reports: wire.work_reports,
            part_reports: wire.part_reports,
            limits: wire.limits,
            departures: wire.departures,
            clock: wire.clock,
        })
    }
}

impl From<&StoredObject> for ObjectWire {
    fn from(stored: &StoredObject) -> Self {
        Self {
            kind: stored.object.kind.clone(),
            name: stored.object.name.clone(),
            version: stored.version.0,
            value: stored.value.clone(),
        }
    }
}

impl From<ObjectWire> for StoredObject {
    fn from(wire: ObjectWire) -> Self {
        Self {
            object: ObjectName {
                kind: wire.kind,
                name: wire.name,
            },
            version: ObjectVersion(wire.version),
            value: wire.value,
        }
    }
}

impl From<&PeerMessage> for MessageWire {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hint(hint) => Self::Hint(HintWire::from(&**hint)),
            PeerMessage::Versions(versions) => {
                let rows = versions.iter();
                Self::Versions(
                    rows.map(|(o, v)| (o.kind.clone(), o.name.clone(), v.0))
                        .collect(),
                )
            }
            PeerMessage::Objects(objects) => {
                Self::Objects(objects.iter().map(ObjectWire::from).collect())
            }
            PeerMessage::Request { id, body } => Self::Request(*id, body.clone()),
            PeerMessage::Reply { id, result } => Self::Reply(*id, result.clone()),
        }
    }
}

impl TryFrom<MessageWire> for PeerMessage {
    type Error = PeerWireError;

    fn try_from(wire: MessageWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            MessageWire::Hint(hint) => Self::Hint(Box::new(PeerHint::try_from(hint)?)),
            MessageWire::Versions(rows) => {
                let rows = rows.into_iter();
                Self::Versions(
                    rows.map(|(kind, name, v)| (ObjectName { kind, name }, ObjectVersion(v)))
                        .collect(),
                )
            }
            MessageWire::Objects(rows) => {
                Self::Objects(rows.into_iter().map(StoredObject::from).collect())
            }
            MessageWire::Request(id, body) => Self::Request { id, body },
            MessageWire::Reply(id, result) => Self::Reply { id, result },
        })
    }
}

impl PeerMessage {
    /// Returns the bytes to send.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(&MessageWire::from(self))
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, PeerWireError> {
        Self::try_from(decode::<MessageWire>(bytes)?)
    }
}

impl HandshakeMessage {
    /// Returns the bytes to send.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a handshake message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid handshake message.
    pub fn decode(bytes: &[u8]) -> Result<Self, PeerWireError> {
        decode(bytes)
    }
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Encoding these types into memory cannot fail.
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, PeerWireError> {
    ciborium::from_reader(bytes).map_err(|e| PeerWireError {
        reason: e.to_string(),
    })
}
