//! Names of the headers that callers, entry and targets speak with.

use http::header::{HeaderName, InvalidHeaderName};
use sparscale_backpressure::Names;

/// The header names of one installation.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Id of a request; targets send it back in the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait for the answer.
    pub deadline: HeaderName,
    /// Workspace of a request; only the entry sets it.
    pub workspace: HeaderName,
    /// Id of the target that a request is meant for; every other one refuses it.
    pub expected_target: HeaderName,
    /// Digest of a target's answer.
    pub digest: HeaderName,
    /// Says that the target has not run the request.
    pub not_run: HeaderName,
    /// How soon a target should begin with a request, 0 first; only the entry sets it.
    pub urgency: HeaderName,
    /// Version of the weights that a request is meant for; only the entry sets it.
    pub expected_weights: HeaderName,
    /// Prompt tokens and the most tokens of an answer, as `PROMPT,ANSWER`.
    pub sizes: HeaderName,
    /// The caller's guess at the tokens of the answer.
    pub answer_guess: HeaderName,
    /// Id of the target at fault, in an answer that was refused because of another target.
    pub at_fault: HeaderName,
    /// What targets ask by.
    pub backpressure: Names,
}

impl Dialect {
    /// The product's own names.
    pub fn own() -> Result<Self, InvalidHeaderName> {
        Ok(Self {
            request_id: HeaderName::from_bytes(b"x-request-id")?,
            deadline: HeaderName::from_bytes(b"x-deadline-ms")?,
            workspace: HeaderName::from_bytes(b"sparscale-workspace")?,
            expected_target: HeaderName::from_bytes(b"sparscale-target")?,
            digest: HeaderName::from_bytes(b"sparscale-digest")?,
            not_run: HeaderName::from_bytes(b"sparscale-not-run")?,
            urgency: HeaderName::from_bytes(b"sparscale-urgency")?,
            expected_weights: HeaderName::from_bytes(b"sparscale-weights")?,
            sizes: HeaderName::from_bytes(b"sparscale-sizes")?,
            answer_guess: HeaderName::from_bytes(b"sparscale-answer-guess")?,
            at_fault: HeaderName::from_bytes(b"sparscale-at-fault")?,
            backpressure: Names::own(),
        })
    }
}
