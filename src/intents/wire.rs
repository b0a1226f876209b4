//! Compact CBOR encoding of a shard's ledger, with its own format version, and of
//! operations sent between daemons.

use std::fmt;

use indexmap::IndexMap;
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use crate::intents::{
    AnswerRecord, ClaimEntry, ClaimId, CloseRecord, EntryId, IntentEntry, IntentKey, IntentState,
    ShardLedger,
};
use crate::names::{RequestKey, TargetId, UnixTime, WorkspaceName};

const LEDGER_VERSION: u8 = 1;

/// Why a stored value cannot be decoded as a ledger.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The value is not a valid encoding.
    #[error(
        "a shard of intents cannot be decoded ({reason}); restore the object, or keep it and \
         wait for intents.retention_ms before you write an empty one in its place"
    )]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The value was written by a newer version of the program.
    #[error(
        "a shard of intents has format {found}, but this program reads format {LEDGER_VERSION}; \
         upgrade it"
    )]
    Version {
        /// Version found.
        found: u8,
    },
}

/// Encodes a ledger for storage.
///
/// # Panics
///
/// Never: every field of a ledger can be encoded as CBOR, and a `Vec` takes any length.
#[must_use]
pub fn encode_ledger(ledger: &ShardLedger) -> Vec<u8> {
    let mut value = Vec::with_capacity(ledger.max_encoded_size());
    ciborium::into_writer(&LedgerWire::from(ledger), &mut value)
        .expect("every field of a ledger can be encoded as CBOR");
    value
}

/// Decodes a stored ledger.
///
/// # Errors
///
/// Returns a [`LedgerError`] when the value is not a ledger of this version.
pub fn decode_ledger(value: &[u8]) -> Result<ShardLedger, LedgerError> {
    let wire: LedgerWire = ciborium::from_reader(value).map_err(|e| LedgerError::Malformed {
        reason: e.to_string(),
    })?;
    ShardLedger::try_from(wire)
}

/// Version, horizon and entries.
#[derive(Deserialize, Serialize)]
struct LedgerWire(u8, u64, Vec<EntryWire>);

/// Entry id, process and number of the claim, fingerprint, creation time of the key, state.
#[derive(Deserialize, Serialize)]
struct EntryWire(
    ByteArray<16>,
    u64,
    u64,
    Option<ByteArray<16>>,
    u64,
    StateWire,
);

#[derive(Deserialize, Serialize)]
enum StateWire {
    #[serde(rename = "i")]
    Intended(String, TargetId),
    #[serde(rename = "n")]
    NotRun,
    #[serde(rename = "a")]
    Answered(u64, ByteArray<32>, Option<ByteString>),
    #[serde(rename = "u")]
    Unknown,
}

impl From<&ShardLedger> for LedgerWire {
    fn from(ledger: &ShardLedger) -> Self {
        let entries = ledger
            .entries
            .iter()
            .map(|(id, entry)| EntryWire::from((id, entry)))
            .collect();
        Self(LEDGER_VERSION, ledger.horizon.0, entries)
    }
}

impl TryFrom<LedgerWire> for ShardLedger {
    type Error = LedgerError;

    fn try_from(wire: LedgerWire) -> Result<Self, LedgerError> {
        let LedgerWire(version, horizon, rows) = wire;
        if version != LEDGER_VERSION {
            return Err(LedgerError::Version { found: version });
        }
        let entries: IndexMap<_, _> = rows.into_iter().map(EntryWire::into_entry).collect();
        Ok(Self::from_parts(UnixTime(horizon), entries))
    }
}

impl From<(&EntryId, &IntentEntry)> for EntryWire {
    fn from((id, entry): (&EntryId, &IntentEntry)) -> Self {
        Self(
            ByteArray(id.0),
            entry.claim.process,
            entry.claim.number,
            entry.fingerprint.map(ByteArray),
            entry.minted_at.0,
            StateWire::from(&entry.state),
        )
    }
}

impl EntryWire {
    fn into_entry(self) -> (EntryId, IntentEntry) {
        let Self(id, process, number, fingerprint, minted_at, state) = self;
        let entry = IntentEntry {
            claim: ClaimId { process, number },
            fingerprint: fingerprint.map(|f| f.0),
            minted_at: UnixTime(minted_at),
            state: state.into(),
        };
        (EntryId(id.0), entry)
    }
}

impl From<&IntentState> for StateWire {
    fn from(state: &IntentState) -> Self {
        match state {
            IntentState::Intended { claimant, target } => {
                Self::Intended(claimant.clone(), target.clone())
            }
            IntentState::NotRun => Self::NotRun,
            IntentState::Answered(answer) => Self::Answered(
                answer.length,
                ByteArray(answer.digest),
                answer.result.clone().map(ByteString),
            ),
            IntentState::Unknown => Self::Unknown,
        }
    }
}

impl From<StateWire> for IntentState {
    fn from(wire: StateWire) -> Self {
        match wire {
            StateWire::Intended(claimant, target) => Self::Intended { claimant, target },
            StateWire::NotRun => Self::NotRun,
            StateWire::Answered(length, digest, result) => Self::Answered(AnswerRecord {
                length,
                digest: digest.0,
                result: result.map(|r| r.0),
            }),
            StateWire::Unknown => Self::Unknown,
        }
    }
}

/// A claim as sent between daemons: workspace, key, creation time of the key, process and
/// number of the claim, fingerprint, claimant, target.
#[derive(Deserialize, Serialize)]
pub(crate) struct ClaimWire(
    WorkspaceName,
    RequestKey,
    u64,
    u64,
    u64,
    ByteArray<16>,
    String,
    TargetId,
);

/// A close as sent between daemons: workspace, key, creation time of the key, process and
/// number of the claim, outcome.
#[derive(Deserialize, Serialize)]
pub(crate) struct CloseWire(WorkspaceName, RequestKey, u64, u64, u64, OutcomeWire);

#[derive(Deserialize, Serialize)]
enum OutcomeWire {
    #[serde(rename = "n")]
    NotRun,
    #[serde(rename = "a")]
    Answered(u64, ByteArray<32>, Option<ByteString>),
    #[serde(rename = "u")]
    Unknown,
}

impl From<&ClaimEntry> for ClaimWire {
    fn from(entry: &ClaimEntry) -> Self {
        Self(
            entry.key.workspace.clone(),
            entry.key.key.clone(),
            entry.key.minted_at.0,
            entry.claim.process,
            entry.claim.number,
            ByteArray(entry.fingerprint),
            entry.claimant.clone(),
            entry.target.clone(),
        )
    }
}

impl From<ClaimWire> for ClaimEntry {
    fn from(wire: ClaimWire) -> Self {
        let ClaimWire(workspace, key, minted_at, process, number, fingerprint, claimant, target) =
            wire;
        Self {
            key: IntentKey {
                workspace,
                key,
                minted_at: UnixTime(minted_at),
            },
            claim: ClaimId { process, number },
            fingerprint: fingerprint.0,
            claimant,
            target,
        }
    }
}

impl From<(&IntentKey, ClaimId, &CloseRecord)> for CloseWire {
    fn from((key, claim, record): (&IntentKey, ClaimId, &CloseRecord)) -> Self {
        let outcome = match record {
            CloseRecord::NotRun => OutcomeWire::NotRun,
            CloseRecord::Answered(answer) => OutcomeWire::Answered(
                answer.length,
                ByteArray(answer.digest),
                answer.result.clone().map(ByteString),
            ),
            CloseRecord::Unknown => OutcomeWire::Unknown,
        };
        Self(
            key.workspace.clone(),
            key.key.clone(),
            key.minted_at.0,
            claim.process,
            claim.number,
            outcome,
        )
    }
}

impl From<CloseWire> for (IntentKey, ClaimId, CloseRecord) {
    fn from(wire: CloseWire) -> Self {
        let CloseWire(workspace, key, minted_at, process, number, outcome) = wire;
        let record = match outcome {
            OutcomeWire::NotRun => CloseRecord::NotRun,
            OutcomeWire::Answered(length, digest, result) => CloseRecord::Answered(AnswerRecord {
                length,
                digest: digest.0,
                result: result.map(|r| r.0),
            }),
            OutcomeWire::Unknown => CloseRecord::Unknown,
        };
        let key = IntentKey {
            workspace,
            key,
            minted_at: UnixTime(minted_at),
        };
        (key, ClaimId { process, number }, record)
    }
}

/// A byte string of fixed length. Serde would encode an array of integers, about twice as long.
#[derive(Clone, Copy)]
struct ByteArray<const N: usize>([u8; N]);

/// A byte string of any length.
struct ByteString(Vec<u8>);

impl<const N: usize> Serialize for ByteArray<N> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl Serialize for ByteString {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de, const N: usize> Deserialize<'de> for ByteArray<N> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = ByteString::deserialize(deserializer)?;
        let found = bytes.0.len();
        let array = bytes
            .0
            .try_into()
            .map_err(|_| de::Error::invalid_length(found, &"another number of bytes"))?;
        Ok(Self(array))
    }
}

impl<'de> Deserialize<'de> for ByteString {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(ByteVisitor)
    }
}

struct ByteVisitor;

impl Visitor<'_> for ByteVisitor {
    type Value = ByteString;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<ByteString, E> {
        Ok(ByteString(bytes.to_vec()))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<ByteString, E> {
        Ok(ByteString(bytes))
    }
}
