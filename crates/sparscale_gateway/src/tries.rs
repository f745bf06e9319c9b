//! State of one request over its attempts, and the answer or refusal to return when no further attempt is made.

use crate::answer::Answer;
use crate::attempt::Reply;
use crate::refusal::Refusal;
use crate::tried::Tried;

/// Maximum number of unavailable targets per request. They don't count as attempts, as they received no work.
const MAX_UNREACHED: u32 = 3;

/// The attempts made so far for one request.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Service that takes the request, once chosen.
    pub(crate) service: Option<String>,
    /// Group of ranks that takes the request, if the service has groups.
    pub(crate) group: Option<String>,
    /// Targets that the request was sent to.
    pub(crate) tried: Tried,
    /// Number of targets that were unreachable or replaced, consecutive or not.
    pub(crate) unreached: u32,
    /// Error answer of a target, kept in case no later attempt succeeds.
    pub(crate) failure: Option<Reply>,
    /// Refusal to return after an attempt without a complete answer: the request may have run, so no later refusal may
    /// claim that it has not.
    pub(crate) lost: Option<Refusal>,
    /// Refusal to return as long as every target has reported that it did not run the request.
    pub(crate) refusal: Option<Refusal>,
}

impl Tries {
    /// The final result in order of preference: a target's error answer, the refusal for an unknown outcome, the
    /// refusal for a request that did not run, or `otherwise`.
    pub(crate) fn give_up(&mut self, otherwise: Refusal) -> Result<Answer, Refusal> {
        match self.failure.take() {
            Some(failure) => Ok(Answer::Complete(failure)),
            None => Err(self.lost.or(self.refusal).unwrap_or(otherwise)),
        }
    }

    /// Continues after an unavailable target, which does not count as an attempt, if the limit is not reached and
    /// `paid` allows it. Otherwise returns the final result; `refusal` describes the failure.
    pub(crate) fn pass_over(
        &mut self,
        refusal: Refusal,
        paid: impl FnOnce(&Self) -> bool,
    ) -> Result<Option<Answer>, Refusal> {
        self.unreached += 1;
        self.refusal.get_or_insert(refusal);
        if self.unreached < MAX_UNREACHED && paid(self) {
            return Ok(None);
        }
        self.give_up(refusal).map(Some)
    }
}
