//! What a request is, whoever sends it again and through which process.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::Snafu;

/// Bytes of a fingerprint: enough that no two requests share one by chance.
const LENGTH: usize = 16;
/// Digits of a fingerprint that are shown in logs.
const SHOWN: usize = 12;

/// A text is no fingerprint, or names no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("neither digits nor as many as are due"))]
pub struct Unreadable;

/// A digest of a request's method, path, workspace and body. Ids, deadlines and other headers differ each time that a
/// caller sends the same request, so they are not in it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// The fingerprint of a request; `path` with its query, `workspace` if the request has one.
    pub fn of(method: &str, path: &str, workspace: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [
            method.as_bytes(),
            path.as_bytes(),
            workspace.unwrap_or_default().as_bytes(),
            body,
        ] {
            // Lengths keep parts apart: the end of one is not taken for the beginning of the next.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest[..LENGTH]);
        Self(bytes)
    }

    /// The beginning of it, for logs.
    pub fn short(&self) -> String {
        let mut text = self.to_string();
        text.truncate(SHOWN);
        text
    }
}

impl FromStr for Fingerprint {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        let mut bytes = [0; LENGTH];
        hex::decode_to_slice(text, &mut bytes).map_err(|_digits| Unreadable)?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
