//! Record in the store of the versions that have served. It outlasts all daemons.
//!
//! A daemon that knows all versions writes it now and then, with the revision up to which it has
//! read the targets' entries. One that starts adds what the store's history tells since.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::gateway::software::history::ServedVersions;
use crate::names::{ServiceName, SoftwareVersion, millis};
use crate::ports::{ObjectName, ObjectVersion};

/// Kind of the record in the store.
pub const RECORD_KIND: &str = "pistachiowick-versions";
const RECORD_NAME: &str = "served";

/// Versions that have served until a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionRecord {
    /// Revision up to which all entries of targets were read.
    pub through: ObjectVersion,
    /// Time before that revision within which all versions that served are named.
    pub covered: Duration,
    /// Versions by service, with the time since they last served when the record was written.
    pub served: ServedVersions,
}

/// The record as it is stored.
#[derive(Debug, Deserialize, Serialize)]
struct VersionRecordWire {
    // Apart from each other, as together they may exceed the integers that every reader of JSON
    // keeps.
    era: u64,
    revision: u64,
    covered_ms: u64,
    // Milliseconds since each version last served.
    served: IndexMap<ServiceName, IndexMap<SoftwareVersion, u64>>,
}

fn map_ages<A: Copy, B>(
    served: &IndexMap<ServiceName, IndexMap<SoftwareVersion, A>>,
    map: impl Fn(A) -> B,
) -> IndexMap<ServiceName, IndexMap<SoftwareVersion, B>> {
    let services = served.iter().map(|(service, versions)| {
        let ages = versions.iter().map(|(v, age)| (v.clone(), map(*age)));
        (service.clone(), ages.collect())
    });
    services.collect()
}

impl From<&VersionRecord> for VersionRecordWire {
    fn from(record: &VersionRecord) -> Self {
        Self {
            era: record.through.era(),
            revision: record.through.revision(),
            covered_ms: millis(record.covered),
            served: map_ages(&record.served, millis),
        }
    }
}

impl From<VersionRecordWire> for VersionRecord {
    fn from(wire: VersionRecordWire) -> Self {
        Self {
            through: ObjectVersion::in_era(wire.era, wire.revision),
            covered: Duration::from_millis(wire.covered_ms),
            served: map_ages(&wire.served, Duration::from_millis),
        }
    }
}

impl VersionRecord {
    /// Returns the name of the record in the store.
    #[must_use]
    pub fn object() -> ObjectName {
        ObjectName {
            kind: RECORD_KIND.to_owned(),
            name: RECORD_NAME.to_owned(),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid record.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice::<VersionRecordWire>(value).map(Self::from)
    }

    /// Encodes the record as a value of the store.
    ///
    /// # Panics
    ///
    /// Never panics: plain fields always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&VersionRecordWire::from(self)).expect("plain fields encode")
    }
}
