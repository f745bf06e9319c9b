//! Hash that identifies the content of a bundle.

use std::fmt;

use serde::{Deserialize, Serialize};

/// SHA-256 hash of a bundle's content, including its version.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(pub(crate) [u8; 32]);

impl Hash {
    /// Returns the raw digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hash({}..)", hex::encode(&self.0[..4]))
    }
}
