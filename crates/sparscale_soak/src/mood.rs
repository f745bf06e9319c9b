//! How stub targets misbehave.

/// Behavior of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mood {
    /// Runs every request.
    Well,
    /// Runs requests and responds with status 500.
    Errors,
    /// Rejects requests without running them, and marks the response so.
    Full,
    /// Runs requests and aborts response bodies.
    BreaksOff,
    /// Runs requests and announces a rate limit for all entries together.
    Limited,
    /// Rejects requests without running them, and asks each entry to back off.
    Tired,
    /// Runs requests and announces that it is draining.
    Leaving,
}
