//! Makes keys. Only a key's hash ever goes into the configuration.

use std::io;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::json;

use crate::requests::access::{SecretKey, key_hash};
use crate::tool::flags::ToolCall;
use crate::tool::run::{ToolError, print_json, print_text};

/// Random bytes of a key.
const KEY_BYTES: usize = 32;

/// Random bytes of a request key.
const REQUEST_KEY_BYTES: usize = 16;

/// Prints a new key and its hash.
///
/// # Errors
///
/// Returns an error when the system gives no randomness or the result cannot be printed.
pub fn print_key(call: &ToolCall) -> Result<(), ToolError> {
    let key = random_text(KEY_BYTES)?;
    let hash = key_hash(&SecretKey::new(&key));
    if call.has("json") {
        print_json(&json!({ "key": key, "hash": hash }))?;
    } else {
        print_text(&format!("key   {key}\nhash  {hash}\n"))?;
    }
    Ok(())
}

/// Returns a key for one request that may not be repeated.
///
/// # Errors
///
/// Returns an error when the system gives no randomness.
pub fn new_request_key() -> Result<String, ToolError> {
    random_text(REQUEST_KEY_BYTES)
}

fn random_text(length: usize) -> Result<String, ToolError> {
    let mut bytes = vec![0; length];
    let filled = OsRng.try_fill_bytes(&mut bytes);
    filled.map_err(|error| ToolError::Output(io::Error::other(error)))?;
    Ok(URL_SAFE_NO_PAD.encode(bytes))
}
