//! Dispatches requests to targets.
//!
//! The outcome of an attempt whose stream broke is settled with the agent first, and the request is retried only where
//! that is safe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::StatusCode;
use sparscale_board::TargetKey;
use sparscale_route::{Rule, choose};
use sparscale_telemetry::{DECISION, Metrics};
use sparscale_wire::{
    AttemptId, Channel, Endpoint, Failure, Frame, Refusal, RefusalReason, Role, Settlement, StreamError, StreamRequest,
};
use tokio::time::Instant;

use crate::assembly::{Assembly, Step};
use crate::board_control::{SharedBoard, board_load, model_pool};
use crate::job::{Job, Pool, SentAttempt};
use crate::limits::RetryBudget;
use crate::problem::Problem;
use crate::quarantine::Quarantine;
use crate::response_stream::ResponseStream;
use crate::route_log::{candidate_lines, log_route};
use crate::ticket::{RequestName, Seal};
use crate::unserved::{failure_problem, key_reused, no_target, unreachable_target};

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Timeout of settling one attempt.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of cancelling an attempt whose caller has disconnected.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of one attempt, up to the beginning of its response.
enum SendOutcome {
    Responding(Box<ResponseStream>),
    Refused(Refusal),
    /// The attempt was provably not forwarded to the target, and not rejected either.
    NotRun,
    Failed(Failure),
    /// Whether the attempt ran is unknown.
    Unknown,
}

/// Routes requests to targets and sends them to the agents.
pub(crate) struct Dispatcher {
    pub(crate) board: Arc<SharedBoard>,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) seal: Seal,
    pub(crate) metrics: Metrics,
    retry_budget: RetryBudget,
    pub(crate) quarantine: Quarantine,
    incarnation: u64,
    next_counter: AtomicU64,
}

impl Dispatcher {
    pub(crate) fn new(
        board: Arc<SharedBoard>,
        endpoint: Arc<Endpoint>,
        seal: Seal,
        metrics: Metrics,
        quarantine: Quarantine,
        incarnation: u64,
    ) -> Self {
        Self {
            board,
            endpoint,
            seal,
            metrics,
            retry_budget: RetryBudget::default(),
            quarantine,
            incarnation,
            next_counter: AtomicU64::new(1),
        }
    }

    /// Dispatches `job` until a response begins or no further attempt is allowed.
    pub(crate) async fn dispatch(self: &Arc<Self>, job: &Arc<Job>) -> Result<ResponseStream, Problem> {
        self.retry_budget.record_request(job.limits.retry_percent);
        let mut attempted_targets = Vec::new();
        let mut last_problem = None;
        for index in 0..MAX_ATTEMPTS {
            // Checked before each attempt, because a target may have ended while it ran this call, here or through
            // another entry.
            if let Some(rejection) = self.quarantine.rejection_of(job) {
                return Err(last_problem.unwrap_or(rejection));
            }
            if index > 0 && !self.retry_budget.try_spend() {
                break;
            }
            let sent = match self.route(job, &attempted_targets) {
                Ok(sent) => sent,
                Err(problem) => return Err(last_problem.unwrap_or(problem)),
            };
            attempted_targets.push(sent.target);
            let request_id = self.request_id(job, &sent);
            let outcome = self.send(job, &sent).await;
            if !matches!(outcome, SendOutcome::Responding(_)) {
                self.record_end(&sent);
            }
            if let SendOutcome::Failed(Failure::TargetEnded { end, .. }) = &outcome {
                self.quarantine.record_end(job, &sent, *end).await;
            }
            let problem = match outcome {
                SendOutcome::Responding(stream) => return Ok(*stream),
                SendOutcome::Refused(refusal) => self.handle_refusal(job, &sent, &refusal)?,
                SendOutcome::NotRun => unreachable_target(),
                // A repeatable request whose response has not begun may be retried, on the same target if no other is
                // left.
                SendOutcome::Failed(failure) if job.repeatable => {
                    if self.has_attempted_all(job, &attempted_targets) {
                        attempted_targets.clear();
                    }
                    failure_problem(job, &failure).request_id(request_id)
                }
                SendOutcome::Failed(failure) => return Err(failure_problem(job, &failure).request_id(request_id)),
                SendOutcome::Unknown if job.repeatable => {
                    self.cancel_in_background(&sent);
                    unreachable_target()
                }
                SendOutcome::Unknown => {
                    let detail = "the target's agent cannot be reached any more; ask about the request id";
                    return Err(Problem::unknown(detail).request_id(request_id));
                }
            };
            if matches!(job.pool, Pool::Bound { .. }) || Instant::now() >= job.deadline {
                return Err(problem);
            }
            last_problem = Some(problem);
        }
        Err(last_problem.unwrap_or_else(unreachable_target))
    }

    /// Chooses a target that was not attempted yet, and logs the decision.
    fn route(&self, job: &Job, attempted_targets: &[TargetKey]) -> Result<SentAttempt, Problem> {
        let now = self.board.now();
        let attempt = AttemptId {
            entry_incarnation: self.incarnation,
            counter: self.next_counter.fetch_add(1, Ordering::Relaxed),
        };
        let mut board = self.board.lock();
        let candidates = self.candidates(&board, job)?;
        let remaining_targets: Vec<TargetKey> = candidates
            .iter()
            .copied()
            .filter(|key| !attempted_targets.contains(key))
            .collect();
        let decision = choose(
            &board,
            &remaining_targets,
            &job.route,
            Rule::GroupCost,
            now,
            &mut rand::rng(),
        );
        let decision = decision.map_err(|error| no_target(error.retry_after))?;
        let key = decision.target;
        let version = board.bundle_version;
        let prefill = job.route.prompt_tokens;
        board.record_sent(key, attempt.counter, prefill, &job.route.block_hashes, now);
        let target = board.target(key).ok_or_else(unreachable_target)?;
        let sent = SentAttempt {
            target: key,
            target_name: target.name.clone(),
            address: target.address.ok_or_else(unreachable_target)?,
            attempt,
            incarnation: target.load.incarnation,
        };
        let map = target.load.map_number;
        let candidates = candidate_lines(&board, &decision);
        drop(board);
        log_route(job, &sent, &decision, &candidates, version, map);
        Ok(sent)
    }

    fn has_attempted_all(&self, job: &Job, attempted_targets: &[TargetKey]) -> bool {
        let now = self.board.now();
        let board = self.board.lock();
        let candidates = self.candidates(&board, job).unwrap_or_default();
        let usable = |key: &TargetKey| board.target(*key).is_some_and(|target| target.accepts_work(now));
        candidates
            .iter()
            .filter(|key| usable(key))
            .all(|key| attempted_targets.contains(key))
    }

    fn candidates(&self, board: &sparscale_board::Board, job: &Job) -> Result<Vec<TargetKey>, Problem> {
        let limit = job.limits.candidates as usize;
        let (pool, all) = match &job.pool {
            Pool::Model(model) => (model_pool(model), board.ranks_of(model)),
            Pool::Service(service) => {
                let targets = board.service(service).map(|service| service.targets.clone());
                (format!("service {service}"), targets.unwrap_or_default())
            }
            Pool::Bound { target, .. } => {
                let target_removed =
                    || Problem::unknown("the target that the key is bound to is gone; it cannot run any more");
                return Ok(vec![board.find(target).ok_or_else(target_removed)?]);
            }
        };
        Ok(self.board.subset(board, &pool, &all, limit).targets)
    }

    /// Chooses the target to which a new idempotency key is bound.
    pub(crate) fn choose_binding_target(&self, job: &Job) -> Result<(String, u64), Problem> {
        let now = self.board.now();
        let board = self.board.lock();
        let candidates = self.candidates(&board, job)?;
        // A key can only be bound to a target whose incarnation has been reported.
        let has_incarnation = |key: &TargetKey| board.target(*key).is_some_and(|target| target.load.incarnation != 0);
        let bindable: Vec<TargetKey> = candidates.into_iter().filter(has_incarnation).collect();
        let decision = choose(&board, &bindable, &job.route, Rule::GroupCost, now, &mut rand::rng());
        let decision = decision.map_err(|error| no_target(error.retry_after))?;
        let target = board.target(decision.target).ok_or_else(unreachable_target)?;
        Ok((target.name.clone(), target.load.incarnation))
    }

    async fn send(self: &Arc<Self>, job: &Arc<Job>, sent: &SentAttempt) -> SendOutcome {
        let mut channel = match self.endpoint.open(sent.address, Role::Agent).await {
            Ok(channel) => channel,
            Err(error) => {
                // The request was not sent.
                self.record_failure(sent, &error);
                return SendOutcome::NotRun;
            }
        };
        let attempt = job.attempt(sent);
        if let Err(error) = channel
            .sender
            .send(&Frame::Open(StreamRequest::Attempt(Box::new(attempt))))
            .await
        {
            self.record_failure(sent, &error);
            return self.settle_before_response(job, sent).await;
        }
        channel.sender.finish();
        self.wait_for_head(job, sent, channel).await
    }

    async fn wait_for_head(self: &Arc<Self>, job: &Arc<Job>, sent: &SentAttempt, mut channel: Channel) -> SendOutcome {
        let mut assembly = Assembly::new(sent.attempt);
        // Until the response begins, this future is dropped only if the caller disconnects.
        let guard = CancelGuard::new(self, sent);
        loop {
            let receive_result = tokio::time::timeout_at(job.deadline, channel.receiver.receive()).await;
            let frame = match receive_result {
                Ok(Ok(frame)) => frame,
                Ok(Err(error)) => {
                    self.record_failure(sent, &error);
                    guard.disarm();
                    return self.settle_before_response(job, sent).await;
                }
                Err(_elapsed) => {
                    guard.disarm();
                    return self.settle_before_response(job, sent).await;
                }
            };
            let Frame::Response(answer) = frame else { continue };
            match assembly.accept(answer) {
                Step::Head(head) => {
                    self.board.lock().record_response(sent.target);
                    self.record_load(sent, &head.load);
                    guard.disarm();
                    let stream =
                        ResponseStream::new(Arc::clone(self), Arc::clone(job), sent.clone(), assembly, channel, head);
                    return SendOutcome::Responding(Box::new(stream));
                }
                Step::Refused(refusal) => {
                    self.record_load(sent, &refusal.load);
                    guard.disarm();
                    return SendOutcome::Refused(refusal);
                }
                Step::Failed(failure) => {
                    guard.disarm();
                    return SendOutcome::Failed(failure);
                }
                // Chunks arrive before the head only if the stream is broken; settling determines the outcome.
                Step::Chunks(_) | Step::End { .. } | Step::Broken(_) => {
                    guard.disarm();
                    return self.settle_before_response(job, sent).await;
                }
                Step::Nothing => {}
            }
        }
    }

    /// Settles an attempt whose stream broke before the response began.
    async fn settle_before_response(self: &Arc<Self>, job: &Arc<Job>, sent: &SentAttempt) -> SendOutcome {
        let settlement = self.settle(sent.address, sent.attempt, sent.incarnation).await;
        log::info!(target: DECISION, decision = "settle", attempt = sent.attempt.to_string().as_str(), agent = sent.target_name.as_str(), settlement:? = settlement; "settled an attempt whose stream broke");
        match settlement {
            Settlement::NotRun => SendOutcome::NotRun,
            Settlement::Running | Settlement::Ended if Instant::now() < job.deadline => {
                self.read_from_start(job, sent).await
            }
            _ => SendOutcome::Unknown,
        }
    }

    /// Reads the response of an attempt that ran, from its first chunk.
    async fn read_from_start(self: &Arc<Self>, job: &Arc<Job>, sent: &SentAttempt) -> SendOutcome {
        let Ok(channel) = self.resume(sent, 0).await else {
            return SendOutcome::Unknown;
        };
        Box::pin(self.wait_for_head(job, sent, channel)).await
    }

    /// Opens a stream that repeats the response from chunk `from` on.
    pub(crate) async fn resume(&self, sent: &SentAttempt, from: u64) -> Result<Channel, StreamError> {
        let open_result = self.endpoint.open(sent.address, Role::Agent).await;
        let mut channel = open_result.map_err(|_unreachable| StreamError::Ended)?;
        let attempt = sent.attempt;
        channel
            .sender
            .send(&Frame::Open(StreamRequest::Resume { attempt, from }))
            .await?;
        channel.sender.finish();
        Ok(channel)
    }

    /// Queries the agent at `address` for the outcome of `attempt`, which was sent to its incarnation `incarnation`.
    pub(crate) async fn settle(&self, address: SocketAddr, attempt: AttemptId, incarnation: u64) -> Settlement {
        let query_result = tokio::time::timeout(
            SETTLE_TIMEOUT,
            self.query_settlement(address, StreamRequest::Settle { attempt, incarnation }),
        )
        .await;
        query_result.ok().flatten().unwrap_or(Settlement::Unknown)
    }

    async fn query_settlement(&self, address: SocketAddr, ask: StreamRequest) -> Option<Settlement> {
        let mut channel = self.endpoint.open(address, Role::Agent).await.ok()?;
        channel.sender.send(&Frame::Open(ask)).await.ok()?;
        match channel.receiver.receive().await.ok()? {
            Frame::Settlement(settlement) => Some(settlement),
            _ => None,
        }
    }

    /// Cancels an attempt at its agent because the caller disconnected.
    pub(crate) fn cancel_in_background(self: &Arc<Self>, sent: &SentAttempt) {
        let dispatcher = Arc::clone(self);
        let sent = sent.clone();
        tokio::spawn(async move {
            let cancel_result = tokio::time::timeout(CANCEL_TIMEOUT, dispatcher.cancel(&sent)).await;
            if cancel_result.is_err() {
                log::info!(attempt = sent.attempt.to_string().as_str(); "cancelling the attempt of a disconnected caller timed out");
            }
        });
    }

    async fn cancel(&self, sent: &SentAttempt) {
        let Ok(mut channel) = self.endpoint.open(sent.address, Role::Agent).await else {
            return;
        };
        // If this fails, the agent notices by itself that the response is not read.
        let _sent = channel
            .sender
            .send(&Frame::Open(StreamRequest::Cancel(sent.attempt)))
            .await;
        channel.sender.finish();
        channel.sender.stopped().await;
    }

    pub(crate) fn request_id(&self, job: &Job, sent: &SentAttempt) -> String {
        self.seal.issue_request_id(&RequestName {
            workspace: job.workspace.name.clone(),
            target: sent.target_name.clone(),
            attempt: sent.attempt,
            incarnation: sent.incarnation,
        })
    }

    pub(crate) fn record_load(&self, sent: &SentAttempt, load: &sparscale_wire::TargetLoad) {
        let now = self.board.now();
        self.board.lock().apply_load(sent.target, board_load(load), now);
    }

    /// Records the end of a dispatch, whatever its outcome.
    pub(crate) fn record_end(&self, sent: &SentAttempt) {
        let now = self.board.now();
        self.board.lock().record_end(sent.target, sent.attempt.counter, now);
    }

    /// Avoids the target of a broken response for a while.
    pub(crate) fn avoid(&self, stream: &ResponseStream) {
        let now = self.board.now();
        self.board.lock().record_failure(stream.target(), now);
    }

    fn record_failure(&self, sent: &SentAttempt, error: &dyn std::error::Error) {
        log::warn!(agent = sent.target_name.as_str(), error = error.to_string().as_str(); "an agent could not be reached");
        let now = self.board.now();
        self.board.lock().record_failure(sent.target, now);
    }

    /// Handles a rejection by an agent. Returns the problem for the caller, as an error if no other target may be
    /// attempted.
    fn handle_refusal(&self, job: &Job, sent: &SentAttempt, refusal: &Refusal) -> Result<Problem, Problem> {
        self.metrics.count("attempt.refused");
        let retry_after = Duration::from_millis(refusal.retry_after_ms);
        let busy = |title, detail: &str| {
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, title, detail).retry_after(retry_after)
        };
        match refusal.reason {
            RefusalReason::OtherIncarnation => {
                let detail = "the agent that the key was bound to is gone; nothing can run under this key any more";
                Err(Problem::unknown(detail).request_id(self.request_id(job, sent)))
            }
            RefusalReason::KeyReused => Err(key_reused()),
            RefusalReason::QueueFull | RefusalReason::TooLate => Ok(busy(
                "Too much waits",
                "the targets of this request have no room before its deadline",
            )),
            RefusalReason::Draining
            | RefusalReason::LedgerFull
            | RefusalReason::Tombstone
            | RefusalReason::TargetDown
            | RefusalReason::Closed
            | RefusalReason::NotReady => {
                // Without this, the nearest targets would be chosen again and again while they are unavailable.
                let now = self.board.now();
                self.board.lock().record_rejection(sent.target, retry_after, now);
                Ok(busy("No target takes the request", "it was not handed on"))
            }
        }
    }
}

/// Cancels the attempt at its agent when dropped, unless it was disarmed.
struct CancelGuard<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    sent: &'a SentAttempt,
    is_armed: bool,
}

impl<'a> CancelGuard<'a> {
    fn new(dispatcher: &'a Arc<Dispatcher>, sent: &'a SentAttempt) -> Self {
        Self {
            dispatcher,
            sent,
            is_armed: true,
        }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.dispatcher.cancel_in_background(self.sent);
        }
    }
}
