//! Counts what other processes sent to this one.

use std::sync::atomic::AtomicU64;

/// Counters of what other processes sent to this one.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) catalogs: AtomicU64,
    pub(crate) rosters: AtomicU64,
    pub(crate) loads: AtomicU64,
    pub(crate) addresses: AtomicU64,
}

/// Numbers of values that other processes sent to this one since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Complete catalogs.
    pub catalogs: u64,
    /// Complete rosters.
    pub rosters: u64,
    /// Load messages of groups.
    pub loads: u64,
    /// Addresses of entries.
    pub addresses: u64,
}
