//! Authentication of requests by the key in their metadata.

use tonic::Status;
use tonic::metadata::MetadataMap;

use crate::control::snapshot::ControlSnapshot;
use crate::names::WorkspaceName;
use crate::requests::access::{self, SecretKey};
use crate::settings::AccessSettings;

/// Returns the workspace whose key a request carries.
///
/// # Errors
///
/// Returns `Unauthenticated` for a missing or unknown key, and `Unavailable` while no
/// configuration is known, since no key can be checked then.
pub fn caller_workspace(
    metadata: &MetadataMap,
    snapshot: &ControlSnapshot,
) -> Result<WorkspaceName, Status> {
    let key = bearer(metadata)?;
    let found = access::workspace_of(&key, &snapshot.config);
    // A daemon that is stopping is no longer ready, but continues to serve callers that
    // still use its address.
    match found {
        Some(workspace) if snapshot.ready || snapshot.stopping => Ok(workspace),
        None if snapshot.ready => Err(Status::unauthenticated(
            "the key belongs to no workspace; check the key",
        )),
        _ => Err(Status::unavailable(
            "this daemon has no configuration yet; use another daemon or retry in a second",
        )),
    }
}

/// Checks that a request carries an operator key.
///
/// # Errors
///
/// Returns `Unauthenticated` for a missing key and `PermissionDenied` for any other.
pub fn check_operator(metadata: &MetadataMap, settings: &AccessSettings) -> Result<(), Status> {
    let key = bearer(metadata)?;
    if access::operator_allowed(&key, settings) {
        return Ok(());
    }
    Err(Status::permission_denied(
        "the key is not an operator key; use one listed in access.operator_key_hashes",
    ))
}

fn bearer(metadata: &MetadataMap) -> Result<SecretKey, Status> {
    let value = metadata.get("authorization");
    let text = value.and_then(|v| v.to_str().ok()).unwrap_or_default();
    access::parse_bearer(text).map_err(|error| Status::unauthenticated(error.to_string()))
}
