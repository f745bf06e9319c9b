//! The requests that were let through although a part of them is held.

use std::collections::VecDeque;

use crate::fingerprint::Fingerprint;

/// Most requests that are remembered as probes of one part: those of some seconds, in which a response arrives.
const MAX_PROBE_REQUESTS: usize = 8;

/// The requests that were last let through to find out whether a part is the cause.
#[derive(Debug, Clone, Default)]
pub(crate) struct Probes {
    requests: VecDeque<Fingerprint>,
    /// Time at which the last one was let through, in milliseconds since 1970.
    pub(crate) last_sent_at_ms: u64,
    /// Version of the tracker when the last one was let through.
    pub(crate) version: u64,
}

impl Probes {
    /// Whether a request was let through.
    pub(crate) fn contains(&self, request: &Fingerprint) -> bool {
        self.requests.contains(request)
    }

    /// Records a request that is let through; forgets the oldest one if there are too many.
    pub(crate) fn push(&mut self, request: Fingerprint, now_ms: u64, version: u64) {
        if self.requests.len() >= MAX_PROBE_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
        self.last_sent_at_ms = now_ms;
        self.version = version;
    }
}
