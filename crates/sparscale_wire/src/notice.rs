//! Limits that targets state, as entries announce them to each other.

use serde::{Deserialize, Serialize};
use sparscale_catalog::StartId;

use crate::observation;

/// Limits that targets state for their senders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notices {
    /// Echo of the receiver's latest clock time, which bounds the age of this message.
    pub echo: observation::Echo,
    /// Limits received since the last message.
    pub notices: Vec<Notice>,
}

/// Limits stated by one target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Start of the target that stated them.
    pub start: StartId,
    /// Requests per second that the target accepts from all entries together; `None` if it no longer has a rate limit.
    pub per_second: Option<f64>,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// Time between the target's statement and this message, in milliseconds.
    pub age_ms: u64,
    /// Random id of the entry that received the statement from the target.
    pub reporter: u64,
    /// Number of the statement among those that this entry received.
    pub sequence: u64,
}
