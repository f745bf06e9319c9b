//! Phases of a process from serving callers to shutdown.

/// Whether the process accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Callers are served normally.
    Serving,
    /// The load balancer is being notified; new requests are still served, and each response closes its connection.
    Draining,
    /// The same, but new streams are rejected, because they may not end before the process exits.
    Refusing,
    /// Idle connections are closed, and no new ones are accepted.
    Closing,
}
