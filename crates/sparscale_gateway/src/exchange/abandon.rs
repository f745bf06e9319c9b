//! Abandons a target that is a straggler or unresponsive, so that its request can be sent to another one.

use std::time::Duration;

use sparscale_catalog::Seat;
use sparscale_telemetry::DECISION;

use super::{Gateway, Job, RetryReason};
use crate::silences::Verdict;
use crate::tries::Tries;

impl Gateway {
    /// Whether a request may move away from `target`, a straggler, after `attempts_made` attempts. If so, the retry has
    /// been charged to the budget.
    pub(crate) fn may_leave(&self, job: &Job, target: &str, attempts_made: usize, history: &Tries) -> bool {
        let may_resend = job.outbound.may_repeat && attempts_made < job.route().attempts as usize;
        let leaves = may_resend && self.charge_retry_budget(job, history, RetryReason::Straggler);
        log::info!(target: DECISION, decision = "leave_slow", request = job.outbound.head.id_text(), at = target, left = leaves; "target is a straggler and slows its group down");
        leaves
    }

    /// Whether a request may move away from an unresponsive target, which then gets no requests from this entry for a
    /// while. If so, the retry has been charged to the budget.
    pub(crate) fn may_leave_silent(
        &self,
        job: &Job,
        instance: &Seat,
        verdict: Verdict,
        attempts_made: usize,
        history: &Tries,
    ) -> bool {
        self.loads.record_failure(instance.key);
        let may_resend = job.outbound.may_repeat && attempts_made < job.route().attempts as usize;
        let leaves = may_resend && self.charge_retry_budget(job, history, RetryReason::Unresponsive);
        let evidence = verdict.evidence;
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            target: DECISION,
            decision = "leave_silent",
            request = job.outbound.head.id_text(),
            at = instance.target.id.as_str(),
            awaited = evidence.awaited.name(),
            health = evidence.health.name(),
            silence_ms = millis(verdict.unresponsive_for),
            limit_ms = evidence.limit().map(millis),
            usual_ms = evidence.usual.map(millis),
            others_heard_ms = evidence.others_heard.map(millis),
            others_idle = evidence.others_idle,
            may_repeat = job.outbound.may_repeat,
            left = leaves;
            "target does not respond"
        );
        leaves
    }
}
