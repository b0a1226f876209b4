//! Messages between daemons and the platform's object service. See docs/PROTOCOLS.md.

use serde::{Deserialize, Serialize};

use crate::names::{CentreName, ServiceName};

/// Kind of an instance in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// The instance runs a model engine.
    Engine,
    /// The instance runs a daemon of this system.
    Entry,
    /// The instance runs a plain service.
    Service,
}

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In use.
    Live,
    /// Leaving; it must receive no new work.
    Leaving,
}

/// One row of the instance list: `GET /v1/instances`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRow {
    /// Name of the daemon or target that runs on the instance.
    pub id: String,
    /// Kind of program that runs on the instance.
    pub kind: InstanceKind,
    /// IP address and port of its main interface.
    pub address: String,
    /// Peer address of an entry instance; empty for others.
    #[serde(default)]
    pub peer_address: String,
    /// Data centre of the instance.
    pub data_centre: CentreName,
    /// Whether the instance is in use or leaving.
    pub state: InstanceState,
    /// Offered service, for plain services.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// The instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Rows in no particular order.
    pub instances: Vec<InstanceRow>,
}

/// One object in the answer to a listing or watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectRow {
    /// Name within the kind.
    pub name: String,
    /// Version for conditional updates; increases across all objects of the service.
    pub version: u64,
    /// Value in base64; absent once deleted.
    pub value: Option<String>,
}

/// Answer to `GET /v1/objects/KIND` and `GET /v1/watch/KIND?since=REVISION&wait_ms=N`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectList {
    /// Revision up to which the rows are complete; the next watch starts from it.
    pub revision: u64,
    /// All objects of the kind; in a watch answer, those changed since the given revision.
    pub objects: Vec<ObjectRow>,
}
