//! Leaving a target on which a request runs for another one.

use std::time::Duration;

use sparscale_catalog::Seat;
use sparscale_telemetry::DECISION;

use super::{Cause, Gateway, Job};
use crate::silences::Verdict;
use crate::tries::Tries;

impl Gateway {
    /// Whether a request may leave `target`, on which it runs, for another one after `sends` sends; if so, the next one is
    /// paid for.
    pub(crate) fn may_leave(&self, job: &Job, target: &str, sends: usize, tries: &Tries) -> bool {
        let elsewhere = job.outbound.may_repeat && sends < job.route().attempts as usize;
        let left = elsewhere && self.spend(job, tries, Cause::LeftSlow);
        log::info!(target: DECISION, decision = "leave_slow", request = job.outbound.head.id_text(), at = target, left; "its target holds the group back");
        left
    }

    /// The same for a target that is silent. It gets no more requests of this entry for a while.
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
            "its target is silent"
        );
        left
    }
}
