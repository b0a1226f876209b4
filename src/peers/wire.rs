//! Messages between daemons, in CBOR over WebSocket.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::crashes::broadcasts::CrashReport;
use crate::names::{DaemonId, ModelName, ProcessIncarnation, WorkspaceName};
use crate::ports::{ObjectName, ObjectVersion, StoredObject};
use crate::roles::mix::{MIX_BINS, WorkAmount, WorkTotals};
use crate::targets::wire::EngineState;

/// Largest message between daemons.
pub const MESSAGE_BYTES: usize = 4 << 20;

/// What one daemon says of itself, again and again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerHint {
    /// Daemon that speaks.
    pub daemon: Option<DaemonId>,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
    /// Rises with each hint of a life.
    pub sequence: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Work it has accepted since its start.
    pub work: WorkTotals,
    /// Engine seconds its workspaces have used since its start.
    pub costs: IndexMap<WorkspaceName, f64>,
    /// Versions of configuration buckets it applied lately.
    pub applied: Vec<(String, ObjectVersion)>,
    /// States of engines it leads.
    pub engines: Vec<EngineState>,
    /// Work that ended targets, by turns ([`crate::crashes::broadcasts`]).
    pub works: Vec<CrashReport>,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A hint; forwarded by watchers.
    Hint(Box<PeerHint>),
    /// Versions held of configuration and orders; the other side sends what is newer.
    Versions(Vec<(ObjectName, ObjectVersion)>),
    /// Objects of configuration and orders.
    Objects(Vec<StoredObject>),
    /// A request of another part.
    Request {
        /// Pairs it with its reply.
        id: u64,
        /// Body.
        body: Vec<u8>,
    },
    /// The reply to a request; an error is text.
    Reply {
        /// Number of the request.
        id: u64,
        /// Body or failure.
        result: Result<Vec<u8>, String>,
    },
}

/// First messages of a link, before anything else is believed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandshakeMessage {
    /// From the listener: what the other side must sign.
    Challenge(Vec<u8>),
    /// From the caller: who it is, its proof, and what the listener must sign.
    Hello {
        /// Caller.
        daemon: DaemonId,
        /// Life of its process.
        incarnation: ProcessIncarnation,
        /// Proof that it knows the secret.
        proof: Vec<u8>,
        /// Bytes to sign.
        challenge: Vec<u8>,
    },
    /// From the listener: who it is and its proof.
    Welcome {
        /// Listener.
        daemon: DaemonId,
        /// Life of its process.
        incarnation: ProcessIncarnation,
        /// Proof that it knows the secret.
        proof: Vec<u8>,
    },
}

/// A message that cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a peer's message cannot be read ({reason}); run the same version on all daemons")]
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
    #[serde(default)]
    works: Vec<CrashReport>,
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
            works: hint.works.clone(),
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
                reason: "work has another number of kinds".to_owned(),
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
            works: wire.works,
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

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a message of this version.
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

    /// Reads a message of a handshake.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, PeerWireError> {
        decode(bytes)
    }
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails for no value of these types.
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, PeerWireError> {
    ciborium::from_reader(bytes).map_err(|e| PeerWireError {
        reason: e.to_string(),
    })
}
