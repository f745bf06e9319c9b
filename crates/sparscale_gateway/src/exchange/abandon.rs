//! Abandons a target that is a straggler or unresponsive, so that its request can be sent to another one.

use std::time::Duration;

use sparscale_catalog::Instance;
use sparscale_telemetry::DECISION;

use super::{Cause, Gateway, Job};
use crate::attempt_history::AttemptHistory;
use crate::response_monitor::UnresponsiveTarget;

impl Gateway {
    /// Whether a request may move away from `target`, a straggler, after `attempts_made` attempts. If so, the retry has
    /// been charged to the budget.
    pub(crate) fn may_abandon_straggler(
        &self,
        job: &Job,
        target: &str,
        attempts_made: usize,
        history: &AttemptHistory,
    ) -> bool {
        let may_resend = job.outbound.retryable && attempts_made < job.route().max_attempts as usize;
        let may_abandon = may_resend && self.charge_retry_budget(job, history, Cause::Straggler);
        log::info!(target: DECISION, decision = "leave_slow", request = job.outbound.head.id_text(), at = target, left = may_abandon; "target is a straggler and slows its group down");
        may_abandon
    }

    /// Whether a request may move away from an unresponsive target, which then gets no requests from this entry for a
    /// while. If so, the retry has been charged to the budget.
    pub(crate) fn may_abandon_unresponsive(
        &self,
        job: &Job,
        instance: &Instance,
        verdict: UnresponsiveTarget,
        attempts_made: usize,
        history: &AttemptHistory,
    ) -> bool {
        self.loads.record_failure(instance.key);
        let may_resend = job.outbound.retryable && attempts_made < job.route().max_attempts as usize;
        let may_abandon = may_resend && self.charge_retry_budget(job, history, Cause::Unresponsive);
        let evidence = verdict.evidence;
        let millis = |time: Duration| time.as_millis() as u64;
        log::info!(
            target: DECISION,
            decision = "leave_silent",
            request = job.outbound.head.id_text(),
            at = instance.target.id.as_str(),
            awaited = evidence.response_part.name(),
            health = evidence.health.name(),
            silence_ms = millis(verdict.unresponsive_for),
            limit_ms = evidence.timeout().map(millis),
            usual_ms = evidence.mean_time.map(millis),
            others_heard_ms = evidence.since_others_active.map(millis),
            others_idle = evidence.are_others_idle,
            may_repeat = job.outbound.retryable,
            left = may_abandon;
            "target does not respond"
        );
        may_abandon
    }
}
