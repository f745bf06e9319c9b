//! How targets start: at first they handle fewer requests than later.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a target handles after its start, or after its hall was empty.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Time for which it is cold.
    pub duration: Duration,
    /// Requests a second that it handles from all entries together while it is cold.
    pub requests_per_second: f64,
}
