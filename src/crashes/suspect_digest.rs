//! Identity of what may crash targets: the work of a caller across its attempts, or a part of a prompt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use sha2::{Digest, Sha256};

/// Length of a digest: long enough that no caller can construct a collision with a suspect
/// of another.
const DIGEST_BYTES: usize = 16;

/// Digest of what stays the same when a caller sends a request again, or of a part of its prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SuspectDigest(ByteArray<DIGEST_BYTES>);

impl SuspectDigest {
    /// Returns the digest of fields that identify a suspect.
    #[must_use]
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            // The length prefix keeps different sequences of fields from hashing the same bytes.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut truncated = [0; DIGEST_BYTES];
        truncated.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(ByteArray::new(truncated))
    }

    /// Returns a number from 0 to 1, which is evenly distributed over digests.
    #[must_use]
    pub fn phase(&self) -> f64 {
        let leading: [u8; 4] = std::array::from_fn(|index| self.0[index]);
        f64::from(u32::from_be_bytes(leading)) / (f64::from(u32::MAX) + 1.0)
    }
}

impl FromStr for SuspectDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u128::from_str_radix(text, 16)?;
        Ok(Self(ByteArray::new(number.to_be_bytes())))
    }
}

/// Writes all digits in lower-case hexadecimal.
impl fmt::Display for SuspectDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
