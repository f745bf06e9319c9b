//! Keeps requests from targets that they, or parts of their prompts, have crashed, and records such crashes.

use std::sync::Arc;

use sparscale_catalog::Instance;
use sparscale_quarantine::{Content, EndedStart, HoldCause};
use sparscale_telemetry::DECISION;

use super::{Gateway, Job};
use crate::refusal::{Reason, Refusal};
use crate::response_error::ResponseError;

impl Gateway {
    /// The refusal of a request that is quarantined because targets terminated while running it, or others with a part
    /// of its prompt.
    pub(crate) fn quarantine_refusal(&self, content: &Content) -> Option<Refusal> {
        let hold = self.board.quarantine.active_hold(content)?;
        let (cause, fingerprint) = match hold.cause {
            HoldCause::Request(request) => ("request", request),
            HoldCause::Part(part) => ("part", part),
        };
        log::info!(target: DECISION, decision = "held", content = content.request.log_prefix().as_str(), cause, of = fingerprint.log_prefix().as_str(), ends = hold.end_count, left_ms = hold.remaining.as_millis() as u64, retry_ms = hold.retry_after().as_millis() as u64; "request is quarantined because targets terminated while running it or others with a part of its prompt");
        Some(Refusal::with_retry_after(Reason::Quarantined, hold.retry_after()))
    }

    /// Checks whether the target that did not complete its response has terminated or only the connection was lost. A
    /// termination is recorded against the request, which may have caused it.
    pub(crate) async fn investigate_lost_response(&self, job: &Job, instance: &Instance, error: ResponseError) {
        let terminated = match error {
            ResponseError::ProcessEnded => true,
            ResponseError::ConnectionLost => self.target_client.processes.has_terminated(instance).await,
            _ => false,
        };
        if terminated {
            self.board
                .quarantine
                .record_end(&job.outbound.content, EndedStart::from(instance.start));
        } else if error == ResponseError::ConnectionLost {
            self.follow_lost_connection(job, instance);
        }
        log::info!(
            target: DECISION,
            decision = "lost_answer",
            request = job.outbound.head.id_text(),
            content = job.outbound.content.request.log_prefix().as_str(),
            parts:? = job.outbound.head.shared_parts,
            at = instance.target.id.as_str(),
            loss = error.name(),
            ended = terminated;
            "no complete response from the target"
        );
    }

    /// Records a termination once the roster shows it, of a target that listens after it lost a connection.
    fn follow_lost_connection(&self, job: &Job, instance: &Instance) {
        let processes = Arc::clone(&self.target_client.processes);
        let board = Arc::clone(&self.board);
        let (content, instance) = (job.outbound.content.clone(), instance.clone());
        tokio::spawn(async move {
            if processes.wait_replaced(&instance).await {
                board.quarantine.record_end(&content, EndedStart::from(instance.start));
            }
        });
    }
}
