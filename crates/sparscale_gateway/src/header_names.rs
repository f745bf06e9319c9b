//! Names of the HTTP headers exchanged between callers, entry and targets.

use http::header::{HeaderName, InvalidHeaderName};
use sparscale_backpressure::SignalHeaders;

/// The header names of one installation.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request; targets echo it in the response.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits for the response.
    pub deadline: HeaderName,
    /// Workspace of a request; set by the entry only.
    pub workspace: HeaderName,
    /// Id of the target that a request is addressed to; any other target rejects it.
    pub expected_target: HeaderName,
    /// Digest of a target's response.
    pub digest: HeaderName,
    /// Confirms that the target has not run the request.
    pub not_run: HeaderName,
    /// Priority with which a target starts a request, 0 is the most urgent; set by the entry only.
    pub urgency: HeaderName,
    /// Version of the weights that a request must run on; set by the entry only.
    pub expected_weights: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, as `PROMPT,OUTPUT`.
    pub token_counts: HeaderName,
    /// Number of output tokens that the caller expects.
    pub output_guess: HeaderName,
    /// Parts of the prompt in their order, as `ID:TOKENS` separated by commas. The last one belongs to the request or to
    /// its session; the others are shared with other requests.
    pub prompt_parts: HeaderName,
    /// Id of the target at fault, in a rejection that another target caused.
    pub target_at_fault: HeaderName,
    /// Headers by which targets request a rate limit, a backoff or no further requests.
    pub backpressure: SignalHeaders,
}

impl HeaderNames {
    /// The default names.
    pub fn defaults() -> Result<Self, InvalidHeaderName> {
        Ok(Self {
            request_id: HeaderName::from_bytes(b"x-request-id")?,
            deadline: HeaderName::from_bytes(b"x-deadline-ms")?,
            workspace: HeaderName::from_bytes(b"sparscale-workspace")?,
            expected_target: HeaderName::from_bytes(b"sparscale-target")?,
            digest: HeaderName::from_bytes(b"sparscale-digest")?,
            not_run: HeaderName::from_bytes(b"sparscale-not-run")?,
            urgency: HeaderName::from_bytes(b"sparscale-urgency")?,
            expected_weights: HeaderName::from_bytes(b"sparscale-weights")?,
            token_counts: HeaderName::from_bytes(b"sparscale-sizes")?,
            output_guess: HeaderName::from_bytes(b"sparscale-answer-guess")?,
            prompt_parts: HeaderName::from_bytes(b"sparscale-prompt-parts")?,
            target_at_fault: HeaderName::from_bytes(b"sparscale-at-fault")?,
            backpressure: SignalHeaders::defaults(),
        })
    }
}
