//! How stub targets misbehave.

/// Behavior of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Runs every request.
    Healthy,
    /// Runs requests and responds with status 500.
    ServerErrors,
    /// Rejects requests without running them, and marks the response so.
    Rejecting,
    /// Runs requests and aborts response bodies.
    AbortingBody,
    /// Runs requests and announces a rate limit for all entries together.
    RateLimited,
    /// Rejects requests without running them, and asks each entry to back off.
    RequestingBackoff,
    /// Runs requests and announces that it is draining.
    Draining,
    /// Runs requests and ends its responses with their connections.
    Undelimited,
    /// The same, but resets the connections of most responses midway.
    Resetting,
}
