//! How far this entry has got with serving callers, and with stopping.

use std::sync::atomic::AtomicUsize;

/// Whether callers are still served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Yes.
    Serving,
    /// The balancer is being told; new requests are served, and answers close their connections.
    Leaving,
    /// Idle connections are closed, and nothing new is accepted.
    Closing,
}

/// Counts connections and requests that are in progress.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) connections: AtomicUsize,
}
