//! Resume tokens: they identify a request to any daemon, and only daemons can create them.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::intents::IntentKey;
use crate::names::{ClassName, DaemonId, RequestId, RequestKey, TargetId, UnixTime, WorkspaceName};

/// Longest token in characters that is accepted.
pub const MAX_TOKEN_LENGTH: usize = 8_192;

const TOKEN_VERSION: u8 = 1;
const TAG_BYTES: usize = 32;

type TokenMac = Hmac<Sha256>;

/// What any daemon needs to know to resume or cancel a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumeToken {
    /// Workspace of the caller; a token is of no use to another workspace.
    pub workspace: WorkspaceName,
    /// Class of the request.
    pub class: ClassName,
    /// The request.
    pub request_id: RequestId,
    /// Daemon that accepted it.
    pub daemon: DaemonId,
    /// Target that runs it; empty while it waits.
    pub target: TargetId,
    /// Address of that target; empty while it waits.
    pub target_address: String,
    /// Model, version and adapter in use, which a continuation keeps; empty while it waits
    /// and for services.
    pub model: String,
    /// Version of that target's software, which a continuation keeps as well; empty while it
    /// waits and if the target states none.
    pub software: String,
    /// Attempt at that target; 0 while it waits.
    pub attempt: u32,
    /// Wall-clock time of the request's deadline.
    pub deadline: UnixTime,
    /// Identity of a non-repeatable request; `None` for any other.
    pub key: Option<IntentKey>,
}

/// Why a token was rejected or a signer could not be created.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TokenError {
    /// The token does not have the form of a resume token.
    #[error("the resume token is malformed; send it exactly as it was received")]
    Malformed,
    /// No known secret signed the token.
    #[error(
        "the resume token was not signed by this deployment; send it exactly as it was received, \
         or check that access.token_secrets agree on all daemons"
    )]
    Forged,
    /// The token is longer than any that daemons create.
    #[error("the resume token has more than {MAX_TOKEN_LENGTH} characters; send only the token")]
    TooLong,
    /// No secret is configured.
    #[error("access.token_secrets is empty; give at least one secret")]
    NoSecret,
}

/// Signs and verifies tokens.
#[derive(Clone)]
pub struct TokenSigner {
    signing: TokenMac,
    verify_only: Vec<TokenMac>,
}

impl fmt::Debug for TokenSigner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenSigner")
            .field("secrets", &(self.verify_only.len() + 1))
            .finish()
    }
}

impl TokenSigner {
    /// Creates a signer: the first secret signs, and all of them verify.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::NoSecret`] when there is no secret, or an empty one.
    pub fn new(secrets: &[String]) -> Result<Self, TokenError> {
        let mut macs = secrets
            .iter()
            .map(|secret| new_mac(secret))
            .collect::<Result<Vec<_>, _>>()?;
        if macs.is_empty() {
            return Err(TokenError::NoSecret);
        }
        let signing = macs.remove(0);
        Ok(Self {
            signing,
            verify_only: macs,
        })
    }

    /// Returns the signed token in the form that callers receive.
    ///
    /// # Panics
    ///
    /// Never: a token's fields can always be encoded as CBOR, and writing to memory
    /// cannot fail.
    #[must_use]
    pub fn seal(&self, token: &ResumeToken) -> String {
        let mut sealed = vec![TOKEN_VERSION];
        ciborium::into_writer(&TokenWire::from(token), &mut sealed)
            .expect("a token's fields can be encoded as CBOR");
        let tag = self.signing.clone().chain_update(&sealed).finalize();
        sealed.extend_from_slice(&tag.into_bytes());
        URL_SAFE_NO_PAD.encode(sealed)
    }

    /// Verifies the signature of a caller's token and returns its content.
    ///
    /// # Errors
    ///
    /// Returns a [`TokenError`] when the token is too long, malformed, or not signed
    /// with any of the secrets.
    pub fn open(&self, text: &str) -> Result<ResumeToken, TokenError> {
        if text.len() > MAX_TOKEN_LENGTH {
            return Err(TokenError::TooLong);
        }
        let sealed = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        let body_length = sealed
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(TokenError::Malformed)?;
        let (body, tag) = sealed.split_at(body_length);
        if !self.verifies(body, tag) {
            return Err(TokenError::Forged);
        }
        match body.split_first() {
            Some((&TOKEN_VERSION, fields)) => parse_fields(fields),
            _ => Err(TokenError::Malformed),
        }
    }

    /// Compares in constant time, so that response times don't reveal a tag byte by byte.
    fn verifies(&self, body: &[u8], tag: &[u8]) -> bool {
        std::iter::once(&self.signing)
            .chain(&self.verify_only)
            .any(|mac| mac.clone().chain_update(body).verify_slice(tag).is_ok())
    }
}

fn new_mac(secret: &str) -> Result<TokenMac, TokenError> {
    if secret.is_empty() {
        return Err(TokenError::NoSecret);
    }
    TokenMac::new_from_slice(secret.as_bytes()).map_err(|_| TokenError::NoSecret)
}

fn parse_fields(fields: &[u8]) -> Result<ResumeToken, TokenError> {
    let wire: TokenWire = ciborium::from_reader(fields).map_err(|_| TokenError::Malformed)?;
    Ok(wire.into())
}

/// The token's fields as CBOR, with short names.
#[derive(Deserialize, Serialize)]
struct TokenWire {
    #[serde(rename = "w")]
    workspace: WorkspaceName,
    #[serde(rename = "c")]
    class: ClassName,
    #[serde(rename = "r")]
    request_id: RequestId,
    #[serde(rename = "d")]
    daemon: DaemonId,
    #[serde(rename = "t")]
    target: TargetId,
    #[serde(rename = "a")]
    target_address: String,
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    model: String,
    #[serde(rename = "s", default, skip_serializing_if = "String::is_empty")]
    software: String,
    #[serde(rename = "n")]
    attempt: u32,
    #[serde(rename = "e")]
    deadline: UnixTime,
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    key: Option<KeyWire>,
}

/// Key and time of its creation; the workspace is the token's.
#[derive(Deserialize, Serialize)]
struct KeyWire(RequestKey, UnixTime);

impl From<&ResumeToken> for TokenWire {
    fn from(token: &ResumeToken) -> Self {
        Self {
            workspace: token.workspace.clone(),
            class: token.class.clone(),
            request_id: token.request_id.clone(),
            daemon: token.daemon.clone(),
            target: token.target.clone(),
            target_address: token.target_address.clone(),
            model: token.model.clone(),
            software: token.software.clone(),
            attempt: token.attempt,
            deadline: token.deadline,
            key: token
                .key
                .as_ref()
                .map(|key| KeyWire(key.key.clone(), key.minted_at)),
        }
    }
}

impl From<TokenWire> for ResumeToken {
    fn from(wire: TokenWire) -> Self {
        let key = wire.key.map(|KeyWire(key, minted_at)| IntentKey {
            workspace: wire.workspace.clone(),
            key,
            minted_at,
        });
        Self {
            workspace: wire.workspace,
            class: wire.class,
            request_id: wire.request_id,
            daemon: wire.daemon,
            target: wire.target,
            target_address: wire.target_address,
            model: wire.model,
            software: wire.software,
            attempt: wire.attempt,
            deadline: wire.deadline,
            key,
        }
    }
}
