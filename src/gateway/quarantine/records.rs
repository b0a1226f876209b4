//! Records of quarantined suspects in the store.

use std::num::ParseIntError;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::crashes::report::CrashReport;
use crate::crashes::suspect::SuspectKey;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::target_incarnation::TargetIncarnation;

/// Error in an object of the store that should record a quarantined suspect.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum QuarantineRecordError {
    /// The object's name is not a digest.
    #[error("skipping quarantine record {name:?}: its name is not a digest; delete the object")]
    Name {
        /// Name of the object.
        name: String,
    },
    /// The object's value cannot be read.
    #[error(
        "skipping quarantine record {name:?}: it cannot be read ({reason}); delete or correct the object"
    )]
    Value {
        /// Name of the object.
        name: String,
        /// Why it cannot be read.
        reason: String,
    },
}

/// A record of a quarantined suspect. Its digest is the object's name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// Route on which it was received, for operators; empty if unknown.
    #[serde(default)]
    pub route: String,
    /// Target incarnations that crashed under it.
    #[serde(rename = "ends")]
    pub crashes: Vec<TargetIncarnation>,
    /// Set by an operator to release it.
    #[serde(default)]
    pub released: bool,
    /// Whether it is a part of prompts rather than the work of one caller.
    #[serde(default, skip_serializing_if = "is_false")]
    pub part: bool,
    /// Number of crashes when it was quarantined; 0 if that is unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub quarantined_with: usize,
}

// The signature that `skip_serializing_if` asks for.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(value: &bool) -> bool {
    !value
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(value: &usize) -> bool {
    *value == 0
}

impl QuarantineRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is invalid.
    pub fn decode(name: &str, value: &[u8]) -> Result<Self, QuarantineRecordError> {
        serde_json::from_slice(value).map_err(|error| QuarantineRecordError::Value {
            name: name.to_owned(),
            reason: error.to_string(),
        })
    }

    /// Encodes the record as a value of the store.
    ///
    /// # Panics
    ///
    /// Never panics: plain fields always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields encode")
    }

    /// Decodes a record as a crash report of the suspect that the object is named after.
    ///
    /// # Errors
    ///
    /// Returns an error if the name or the value of the object is invalid.
    pub fn decode_report(name: &str, value: &[u8]) -> Result<CrashReport, QuarantineRecordError> {
        let name_error = |_: ParseIntError| QuarantineRecordError::Name {
            name: name.to_owned(),
        };
        let digest: SuspectDigest = name.parse().map_err(name_error)?;
        let Self {
            crashes,
            released,
            part,
            ..
        } = Self::decode(name, value)?;
        let suspect = if part {
            SuspectKey::Part(digest)
        } else {
            SuspectKey::Work(digest)
        };
        let (crashes, refuted) = if released {
            (Vec::new(), crashes)
        } else {
            (crashes, Vec::new())
        };
        Ok(CrashReport {
            suspect,
            crashes: Vec::new(),
            confirmed: crashes,
            refuted,
            age_ms: 0,
            service: None,
        })
    }

    /// Adds target incarnations that crashed. Returns true if at least one is new.
    pub fn add_crashes(&mut self, crashes: &[TargetIncarnation]) -> bool {
        let before = self.crashes.len();
        let new_crashes: Vec<TargetIncarnation> = crashes
            .iter()
            .filter(|incarnation| !self.crashes.contains(incarnation))
            .cloned()
            .collect();
        self.crashes.extend(new_crashes);
        before != self.crashes.len()
    }
}
