//! Held work as the store keeps it.

use std::num::ParseIntError;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::crashes::broadcasts::CrashReport;
use crate::crashes::work_digest::WorkDigest;
use crate::target_incarnation::TargetIncarnation;

/// An object of the store that names no held work.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum QuarantineRecordError {
    /// The object's name is no digest.
    #[error("held work {name:?} has no digest for its name; it is left out, delete it")]
    Name {
        /// Name of the object.
        name: String,
    },
    /// The object's value cannot be read.
    #[error("held work {name:?} cannot be read ({reason}); it is left out, delete or correct it")]
    Value {
        /// Name of the object.
        name: String,
        /// What is wrong.
        reason: String,
    },
}

/// A held work. Its digest is the object's name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// Route that it came by, for operators.
    #[serde(default)]
    pub route: String,
    /// Lives of targets that ended under it.
    pub ends: Vec<TargetIncarnation>,
    /// Set by an operator to let it go.
    #[serde(default)]
    pub released: bool,
}

impl QuarantineRecord {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    pub fn decode(name: &str, value: &[u8]) -> Result<Self, QuarantineRecordError> {
        serde_json::from_slice(value).map_err(|error| QuarantineRecordError::Value {
            name: name.to_owned(),
            reason: error.to_string(),
        })
    }

    /// Writes the record as a value of the store.
    ///
    /// # Panics
    ///
    /// Never: plain fields always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode")
    }

    /// Reads a record as word of a work, under the name of its object.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    pub fn note(name: &str, value: &[u8]) -> Result<CrashReport, QuarantineRecordError> {
        let fault = |_: ParseIntError| QuarantineRecordError::Name {
            name: name.to_owned(),
        };
        let work: WorkDigest = name.parse().map_err(fault)?;
        let Self { ends, released, .. } = Self::decode(name, value)?;
        let (ends, refuted) = if released {
            (Vec::new(), ends)
        } else {
            (ends, Vec::new())
        };
        Ok(CrashReport {
            work,
            ends,
            refuted,
            age_ms: 0,
        })
    }

    /// Adds lives that ended; true when one is new.
    pub fn add(&mut self, ends: &[TargetIncarnation]) -> bool {
        let before = self.ends.len();
        let unknown: Vec<TargetIncarnation> = ends
            .iter()
            .filter(|life| !self.ends.contains(life))
            .cloned()
            .collect();
        self.ends.extend(unknown);
        before != self.ends.len()
    }
}
