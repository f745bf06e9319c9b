//! Abandons a target that is a straggler or unresponsive, so that its request can be sent to another one.

use std::time::Duration;

use sparscale_catalog::Seat;
use sparscale_telemetry::DECISION;

use super::{Cause, Gateway, Job};
use crate::silences::Verdict;
use crate::tries::Tries;

impl Gateway {
    /// Whether a request may move from `target`, a straggler, to another target after `sends` attempts. If so, the
    /// retry has been charged to the budget.
    pub(crate) fn may_leave(&self, job: &Job, target: &str, sends: usize, tries: &Tries) -> bool {
        let elsewhere = job.outbound.may_repeat && sends < job.route().attempts as usize;
        let left = elsewhere && self.spend(job, tries, Cause::LeftSlow);
        log::info!(target: DECISION, decision = "leave_slow", request = job.outbound.head.id_text(), at = target, left; "target is a straggler and slows its group down");
        left
    }

    /// Like [`Self::may_leave`], for an unresponsive target, which then gets no requests from this entry for a while.
    pub(crate) fn may_leave_silent(
        &self,
        job: &Job,
        seat: &Seat,
        verdict: Verdict,
        sends: usize,
        tries: &Tries,
    ) -> bool {
        self.loads.note_failure(seat.key);
        let elsewhere = job.outbound.may_repeat && sends < job.route().attempts as usize;
        let left = elsewhere && self.spend(job, tries, Cause::LeftSilent);
        let evidence = verdict.evidence;
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            target: DECISION,
            decision = "leave_silent",
            request = job.outbound.head.id_text(),
            at = seat.target.id.as_str(),
            awaited = evidence.awaited.name(),
            health = evidence.health.name(),
            silence_ms = millis(verdict.silence),
            limit_ms = evidence.limit().map(millis),
            usual_ms = evidence.usual.map(millis),
            others_heard_ms = evidence.others_heard.map(millis),
            others_idle = evidence.others_idle,
            may_repeat = job.outbound.may_repeat,
            left;
            "target does not respond"
        );
        left
    }
}
