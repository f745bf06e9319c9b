//! What a request contains that may crash targets: the request itself, and the parts of its prompt.

use crate::fingerprint::Fingerprint;

/// Most shared parts of a prompt that are considered, so that one request adds a bounded number of strikes.
pub const MAX_SHARED_PARTS: usize = 32;

/// The fingerprints of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// Fingerprint of the whole request; equal for each retry.
    pub request: Fingerprint,
    /// Fingerprints of the prompt parts that other requests share with this one.
    pub shared_parts: Vec<Fingerprint>,
}

impl Content {
    /// The fingerprints of a request whose prompt has these shared parts, in their order; parts beyond
    /// [`MAX_SHARED_PARTS`] are left out.
    pub fn new(request: Fingerprint, shared_parts: impl IntoIterator<Item = Fingerprint>) -> Self {
        Self {
            request,
            shared_parts: shared_parts.into_iter().take(MAX_SHARED_PARTS).collect(),
        }
    }

    /// The request, then its shared parts.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.shared_parts.iter().copied())
    }
}
