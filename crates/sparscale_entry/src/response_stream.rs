//! Forwards a response to the caller; a broken stream is resumed at the first missing chunk.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use sparscale_board::TargetKey;
use sparscale_telemetry::DECISION;
use sparscale_wire::{Call, Channel, Failure, Frame, Head};
use tokio::time::Instant;

use crate::assembly::{Assembly, Step};
use crate::dispatch::Dispatcher;
use crate::job::{Job, SentAttempt};
use crate::problem::Problem;
use crate::unserved::failure_problem;

/// Most consecutive resumptions without a new chunk before the response is abandoned.
const MAX_RESUMES: u32 = 3;
/// Delay between two resumptions.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// How much of a response is read before the caller receives any of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadExtent {
    /// Only the first chunk.
    FirstChunk,
    /// The complete response.
    Whole,
}

/// A response that has begun.
pub(crate) struct ResponseStream {
    dispatcher: Arc<Dispatcher>,
    job: Arc<Job>,
    sent: SentAttempt,
    assembly: Assembly,
    channel: Channel,
    ready_chunks: VecDeque<Bytes>,
    resume_count: u32,
    is_over: bool,
    pub(crate) head: Head,
}

impl ResponseStream {
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        job: Arc<Job>,
        sent: SentAttempt,
        assembly: Assembly,
        channel: Channel,
        head: Head,
    ) -> Self {
        Self {
            dispatcher,
            job,
            sent,
            assembly,
            channel,
            ready_chunks: VecDeque::new(),
            resume_count: 0,
            is_over: false,
            head,
        }
    }

    /// The target that sends the response.
    pub(crate) fn target(&self) -> TargetKey {
        self.sent.target
    }

    /// Id with which the caller can query the outcome of the request.
    pub(crate) fn request_id(&self) -> String {
        self.dispatcher.request_id(&self.job, &self.sent)
    }

    /// The next chunk; none after the last one or after an error.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Problem>> {
        loop {
            if let Some(chunk) = self.ready_chunks.pop_front() {
                return Some(Ok(chunk));
            }
            if self.is_over {
                return None;
            }
            if let Err(problem) = self.receive().await {
                self.is_over = true;
                return Some(Err(problem.request_id(self.request_id())));
            }
        }
    }

    /// Whether the target rejected the request for what it holds, as any other would.
    pub(crate) fn is_rejection(&self) -> bool {
        StatusCode::from_u16(self.head.status).is_ok_and(|status| status.is_client_error())
    }

    /// Reads the response as far as `extent`.
    pub(crate) async fn read(&mut self, extent: ReadExtent) -> Result<Vec<Bytes>, Problem> {
        self.check_status()?;
        let mut chunks = Vec::new();
        while let Some(chunk) = self.next().await {
            chunks.push(chunk?);
            if extent == ReadExtent::FirstChunk {
                return Ok(chunks);
            }
        }
        Ok(chunks)
    }

    /// Fails if the engine answered a model call with another status than that of a success: its body is no completion.
    /// Responses of services are forwarded with their status.
    fn check_status(&self) -> Result<(), Problem> {
        let status = self.head.status;
        let is_success = StatusCode::from_u16(status).is_ok_and(|status| status.is_success());
        if is_success || matches!(self.job.call, Call::Service { .. }) {
            return Ok(());
        }
        let id = self.request_id();
        log::warn!(target: DECISION, decision = "engine_failure", request = id.as_str(), status; "the engine answered with a failure");
        Err(Problem::failed(format!("the engine answered with status {status}")).request_id(id))
    }

    async fn receive(&mut self) -> Result<(), Problem> {
        let receive_result = tokio::time::timeout_at(self.job.deadline, self.channel.receiver.receive()).await;
        match receive_result {
            Ok(Ok(Frame::Response(answer))) => self.accept(answer).await,
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => self.resume(&error.to_string()).await,
            Err(_elapsed) => Err(self.abandon_problem("the deadline passed")),
        }
    }

    async fn accept(&mut self, answer: sparscale_wire::ResponseFrame) -> Result<(), Problem> {
        match self.assembly.accept(answer) {
            Step::Nothing | Step::Head(_) => Ok(()),
            Step::Chunks(chunks) => {
                self.resume_count = 0;
                self.ready_chunks.extend(chunks);
                Ok(())
            }
            Step::End { chunks, load } => {
                self.ready_chunks.extend(chunks);
                self.is_over = true;
                self.dispatcher.record_load(&self.sent, &load);
                self.dispatcher.quarantine.record_response(&self.job);
                Ok(())
            }
            Step::Failed(failure) => {
                if let Failure::TargetEnded { end, .. } = &failure {
                    self.dispatcher.quarantine.record_end(&self.job, &self.sent, *end).await;
                }
                Err(failure_problem(&self.job, &failure))
            }
            Step::Refused(_) => self.resume("refused after the answer began").await,
            Step::Broken(reason) => self.resume(reason).await,
        }
    }

    async fn resume(&mut self, reason: &str) -> Result<(), Problem> {
        loop {
            if self.resume_count >= MAX_RESUMES || Instant::now() >= self.job.deadline {
                return Err(self.abandon_problem("the target's agent cannot be reached any more"));
            }
            self.resume_count += 1;
            let from = self.assembly.next_sequence();
            log::info!(target: DECISION, decision = "resume", attempt = self.sent.attempt.to_string().as_str(), from, reason; "resuming a broken stream");
            if let Ok(channel) = self.dispatcher.resume(&self.sent, from).await {
                self.channel = channel;
                return Ok(());
            }
            tokio::time::sleep(RESUME_DELAY).await;
        }
    }

    fn abandon_problem(&self, detail: &str) -> Problem {
        if self.job.repeatable {
            Problem::failed(detail)
        } else {
            Problem::unknown(detail)
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.dispatcher.record_end(&self.sent);
        if !self.assembly.is_complete() {
            self.dispatcher.cancel_in_background(&self.sent);
        }
    }
}
