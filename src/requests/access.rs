//! Identifies callers by their keys: operators by operator keys, others by workspace keys.

use std::fmt;

use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

use crate::access_key::KeyDigest;
use crate::control::snapshot::ConfigView;
use crate::names::WorkspaceName;
use crate::settings::AccessSettings;

/// Longest key that is accepted.
const MAX_KEY_BYTES: usize = 512;
const BEARER_SCHEME: &str = "bearer";

/// A key as the caller sent it; never shown in logs or debug output.
#[derive(Clone)]
pub struct SecretKey(String);

impl SecretKey {
    /// Wraps a key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self(key.to_owned())
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(hidden)")
    }
}

/// Why the metadata of a request contains no usable key.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AccessError {
    /// The metadata does not have the expected form.
    #[error("the request carries no key; send the metadata \"authorization: Bearer KEY\"")]
    NoKey,
    /// The key is longer than any key can be.
    #[error("the key has more than {MAX_KEY_BYTES} bytes; send only the key")]
    TooLong,
}

/// Parses the key from the value of the `authorization` metadata.
///
/// # Errors
///
/// Returns an [`AccessError`] when the value isn't `Bearer KEY`.
pub fn parse_bearer(value: &str) -> Result<SecretKey, AccessError> {
    let (scheme, key) = value.trim().split_once(' ').ok_or(AccessError::NoKey)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case(BEARER_SCHEME) || key.is_empty() {
        return Err(AccessError::NoKey);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(AccessError::TooLong);
    }
    Ok(SecretKey::new(key))
}

/// Returns the SHA-256 of a key in lower-case hexadecimal.
#[must_use]
pub fn key_hash(key: &SecretKey) -> String {
    format!("{:x}", KeyDigest::of(key.0.as_bytes()))
}

/// Returns whether the key is an operator key.
///
/// Compares with every hash in constant time, so that response times reveal nothing
/// about the hashes.
#[must_use]
pub fn operator_allowed(key: &SecretKey, settings: &AccessSettings) -> bool {
    let hash = key_hash(key);
    settings
        .operator_key_hashes
        .iter()
        .map(|allowed| same_hash(allowed, &hash))
        .fold(Choice::from(0), |any, same| any | same)
        .into()
}

/// Returns the workspace that the key belongs to.
#[must_use]
pub fn workspace_of(key: &SecretKey, config: &ConfigView) -> Option<WorkspaceName> {
    let hash = key_hash(key);
    let (known, workspace) = config.key_owners.get_key_value(&hash)?;
    bool::from(same_hash(known, &hash)).then(|| workspace.clone())
}

fn same_hash(known: &str, hash: &str) -> Choice {
    known.to_ascii_lowercase().as_bytes().ct_eq(hash.as_bytes())
}
