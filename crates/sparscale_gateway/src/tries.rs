//! The sends of one request so far, and the best that can be said of them.

use crate::answer::Answer;
use crate::attempt::Reply;
use crate::refusal::Refusal;
use crate::tried::Tried;

/// Tries that reach no target, at most; they cost a target nothing.
const MAX_UNREACHED: u32 = 3;

/// The sends of one request.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Service that takes the request, once it is chosen.
    pub(crate) service: Option<String>,
    /// Group of ranks that takes the request, if one does.
    pub(crate) group: Option<String>,
    /// Targets that it was sent to.
    pub(crate) tried: Tried,
    /// Targets that were not reached, in a row or not.
    pub(crate) unreached: u32,
    /// A target's own failure.
    pub(crate) failure: Option<Reply>,
    /// What to say after a send without an answer: from then on nobody may say that the request has not run.
    pub(crate) lost: Option<Refusal>,
    /// What to say as long as every target has said that it has not run the request.
    pub(crate) refusal: Option<Refusal>,
}

impl Tries {
    /// The best that can be said now: a target's own failure, that nobody knows, a refusal that was met, or
    /// `otherwise`.
    pub(crate) fn give_up(&mut self, otherwise: Refusal) -> Result<Answer, Refusal> {
        match self.failure.take() {
            Some(failure) => Ok(Answer::Complete(failure)),
            None => Err(self.lost.or(self.refusal).unwrap_or(otherwise)),
        }
    }

    /// Goes on after a target that is not there, which does not count as one that the request was sent to; a few times only,
    /// and if `paid` says so. `refusal` is what to say of it.
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
