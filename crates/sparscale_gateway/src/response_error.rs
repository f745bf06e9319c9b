//! Why a response of a target is not used.

/// Why a response is missing or unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseError {
    /// No complete response arrived on time.
    Timeout,
    /// The connection was lost.
    ConnectionLost,
    /// The process of the target terminated before it sent the rest.
    ProcessEnded,
    /// The response carries the id of another request.
    RequestIdMismatch,
    /// The response has no final status, no digest, or an encoding that was not requested.
    Malformed,
    /// The status guarantees that the request has not run, but the target did not confirm it.
    UnconfirmedRejection,
}

impl ResponseError {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::ConnectionLost => "broken",
            Self::ProcessEnded => "process_ended",
            Self::RequestIdMismatch => "foreign",
            Self::Malformed => "spoiled",
            Self::UnconfirmedRejection => "unfounded",
        }
    }
}
