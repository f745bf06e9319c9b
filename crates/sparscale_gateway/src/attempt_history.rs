//! State of one request over its attempts, and the response or refusal to return when no further attempt is made.

use sparscale_catalog::Instance;

use crate::attempt::CompleteResponse;
use crate::attempted_targets::AttemptedTargets;
use crate::caller_response::CallerResponse;
use crate::refusal::{Reason, Refusal};

/// Maximum number of unavailable targets per request. They don't count as attempts, as they received no work.
const MAX_UNAVAILABLE_TARGETS: u32 = 3;

/// The attempts made so far for one request.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Service that takes the request, once chosen.
    pub(crate) service: Option<String>,
    /// Group of ranks that takes the request, if the service has groups.
    pub(crate) group: Option<String>,
    /// Targets that the request was sent to.
    pub(crate) attempted_targets: AttemptedTargets,
    /// Target of the attempt in progress, which may have the request.
    pub(crate) current_target: Option<Instance>,
    /// Number of targets that were unreachable or replaced, consecutive or not.
    pub(crate) unavailable_targets: u32,
    /// Error response of a target, kept in case no later attempt succeeds.
    pub(crate) error_response: Option<CompleteResponse>,
    /// Refusal to return after an attempt without a complete response: the request may have run, so no later refusal
    /// may claim that it has not.
    pub(crate) unknown_outcome_refusal: Option<Refusal>,
    /// Refusal to return as long as every target has reported that it did not run the request.
    pub(crate) not_run_refusal: Option<Refusal>,
}

impl AttemptHistory {
    /// The final result in order of preference: a target's error response, the refusal for an unknown outcome, the
    /// refusal for a request that did not run, or `fallback`.
    pub(crate) fn final_result(&mut self, fallback: Refusal) -> Result<CallerResponse, Refusal> {
        match self.error_response.take() {
            Some(response) => Ok(CallerResponse::Complete(response)),
            None => Err(self
                .unknown_outcome_refusal
                .or(self.not_run_refusal)
                .unwrap_or(fallback)),
        }
    }

    /// The final result of a request that is given up at any point; `fallback` if no target may have it.
    pub(crate) fn interrupted_result(&mut self, fallback: Refusal) -> Result<CallerResponse, Refusal> {
        if let Some(instance) = self.current_target.take() {
            self.attempted_targets.push(instance);
            self.unknown_outcome_refusal
                .get_or_insert(Refusal::new(Reason::NoAnswer));
        }
        self.final_result(fallback)
    }

    /// Continues after an unavailable target, which does not count as an attempt, if the limit is not reached and
    /// `may_retry` allows it. Otherwise returns the final result; `refusal` describes the failure.
    pub(crate) fn skip_unavailable(
        &mut self,
        refusal: Refusal,
        may_retry: impl FnOnce(&Self) -> bool,
    ) -> Result<Option<CallerResponse>, Refusal> {
        self.unavailable_targets += 1;
        self.not_run_refusal.get_or_insert(refusal);
        if self.unavailable_targets < MAX_UNAVAILABLE_TARGETS && may_retry(self) {
            return Ok(None);
        }
        self.final_result(refusal).map(Some)
    }
}
