//! Digests by which callers' and operators' keys are known; the keys themselves are
//! kept nowhere.

use std::fmt;

use sha2::{Digest, Sha256};

/// SHA-256 of a key. Keys are compared by it only, so that neither a log nor a dump of
/// memory shows one; what the time of a comparison shows is of a digest that no caller
/// can choose.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

/// Writes all digits in lower-case hexadecimal, as operators' settings hold them.
impl fmt::LowerHex for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
