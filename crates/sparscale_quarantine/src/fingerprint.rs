//! Identifies a request, or a part of its prompt, by content, independent of the caller that sends it and the process
//! that receives it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::Snafu;

/// Length of a fingerprint: enough to rule out collisions between requests by chance.
const LENGTH_BYTES: usize = 16;
/// Hexadecimal digits of a fingerprint that are shown in logs.
const LOG_DIGITS: usize = 12;

/// A text is not the hexadecimal form of a [`Fingerprint`] or of an [`EndedStart`](crate::EndedStart).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not a hexadecimal number of the expected length"))]
pub struct ParseError;

/// Ends the fingerprint of each prompt part; the digest of a request ends this way only by rare chance.
const PART_MARK: &[u8; 4] = b"part";

/// A digest of a request's method, path, workspace and body, or of the id of a prompt part.
///
/// Ids, deadlines and other headers of requests are excluded, because they differ each time a caller sends the same
/// request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH_BYTES]);

impl Fingerprint {
    /// Reserved value that identifies no request. A strike with it records a loss of strikes.
    pub(crate) const HISTORY_LOSS: Self = Self([0; LENGTH_BYTES]);

    /// Computes the fingerprint of a request; `path` includes the query, `workspace` is `None` for a request without
    /// one.
    pub fn of(method: &str, path: &str, workspace: Option<&str>, body: &[u8]) -> Self {
        Self::of_segments(method, path, workspace, &[body])
    }

    /// Computes the same fingerprint for a body in several segments.
    pub fn of_segments(method: &str, path: &str, workspace: Option<&str>, body: &[impl AsRef<[u8]>]) -> Self {
        let mut hasher = Sha256::new();
        for field in [method, path, workspace.unwrap_or_default()] {
            update_field(&mut hasher, &[field]);
        }
        update_field(&mut hasher, body);
        Self::truncate(hasher)
    }

    /// Computes the fingerprint of a prompt part, which is the same for all requests that share the part.
    pub fn of_part(id: &[u8]) -> Self {
        let mut fingerprint = Self::of_fields(&[PART_MARK, id]);
        fingerprint.0[LENGTH_BYTES - PART_MARK.len()..].copy_from_slice(PART_MARK);
        fingerprint
    }

    /// Whether it identifies a prompt part.
    pub(crate) fn is_part(&self) -> bool {
        self.0.ends_with(PART_MARK)
    }

    fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            update_field(&mut hasher, &[field]);
        }
        Self::truncate(hasher)
    }

    fn truncate(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let mut bytes = [0; LENGTH_BYTES];
        bytes.copy_from_slice(&digest[..LENGTH_BYTES]);
        Self(bytes)
    }

    /// Returns the first digits of the fingerprint, for logs.
    pub fn log_prefix(&self) -> String {
        let mut text = self.to_string();
        text.truncate(LOG_DIGITS);
        text
    }
}

/// Adds a field to the digest. The length prefix makes the encoding unambiguous: bytes cannot move from one field to the
/// next.
fn update_field(hasher: &mut Sha256, segments: &[impl AsRef<[u8]>]) {
    let length: usize = segments.iter().map(|segment| segment.as_ref().len()).sum();
    hasher.update((length as u64).to_be_bytes());
    for segment in segments {
        hasher.update(segment);
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut bytes = [0; LENGTH_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_digits| ParseError)?;
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
