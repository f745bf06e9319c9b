//! Where a process has a strike from.

/// Where a strike came from, which decides whether this process has to write it to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrikeSource {
    /// Observed by this process, which has to write it to the store.
    Local,
    /// Received from a peer; the process that observed it writes it to the store.
    Peer,
    /// Read from the store, or written to it.
    Store,
}
