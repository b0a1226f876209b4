//! Messages between daemons and the platform's object service. See docs/PROTOCOLS.md.

use serde::{Deserialize, Serialize};

use crate::names::{CentreName, ServiceName};

/// Kind of an instance in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Runs a model engine.
    Engine,
    /// Runs a daemon of this system.
    Entry,
    /// Runs a plain service.
    Service,
}

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In use.
    Live,
    /// Told to leave; new work must stop.
    Leaving,
}

/// One row of the instance list: `GET /v1/instances`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRow {
    /// Name of the daemon or target on the instance.
    pub id: String,
    /// What runs there.
    pub kind: InstanceKind,
    /// IP number and port of its main interface.
    pub address: String,
    /// Peer address of an entry instance; empty for others.
    #[serde(default)]
    pub peer_address: String,
    /// Data centre it stands in.
    pub data_centre: CentreName,
    /// Whether it is leaving.
    pub state: InstanceState,
    /// Service offered, for plain services.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// The instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Rows in no order.
    pub instances: Vec<InstanceRow>,
}

/// One object in a listing or watch answer: values in base64.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectRow {
    /// Name within the kind.
    pub name: String,
    /// Version for conditional updates; rises across the whole service.
    pub version: u64,
    /// Value in base64; absent once deleted.
    pub value: Option<String>,
}

/// `GET /v1/objects/KIND` and `GET /v1/watch/KIND?since=REVISION&wait_ms=N`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectList {
    /// Revision up to which the rows are complete; the next watch starts there.
    pub revision: u64,
    /// Objects, or for a watch those changed since.
    pub objects: Vec<ObjectRow>,
}
