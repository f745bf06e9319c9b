//! Dispatches requests: routes, sends, settles what broke, and tries again only where that is safe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::StatusCode;
use sparscale_board::TargetKey;
use sparscale_route::{Rule, choose};
use sparscale_telemetry::{DECISION, Metrics};
use sparscale_wire::{
    Ask, AttemptId, Channel, Endpoint, Failure, Frame, Refusal, RefusalReason, Role, Settlement, StreamError,
};
use tokio::time::Instant;

use crate::assembly::{Assembly, Step};
use crate::board_control::{SharedBoard, board_load, model_pool};
use crate::job::{Job, Pool, Sent};
use crate::limits::RetryBudget;
use crate::live::Live;
use crate::problem::Problem;
use crate::quarantine::Quarantine;
use crate::route_log::{candidate_lines, log_route};
use crate::ticket::{RequestName, Seal};
use crate::unserved::{failed, key_reused, no_target, unreachable_target};

/// Dispatches of one request at most.
const MAX_TRIES: usize = 4;
/// Time that settling one attempt may take.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a message about a caller that went away may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// How one dispatch began.
enum Began {
    Live(Box<Live>),
    Refused(Refusal),
    /// Proof that it was not handed on, without a refusal.
    NotRun,
    Failed(Failure),
    /// Nobody can tell.
    Unknown,
}

/// Sends requests to agents.
pub(crate) struct Dispatcher {
    pub(crate) board: Arc<SharedBoard>,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) seal: Seal,
    pub(crate) metrics: Metrics,
    retries: RetryBudget,
    pub(crate) quarantine: Quarantine,
    incarnation: u64,
    counter: AtomicU64,
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
            retries: RetryBudget::default(),
            quarantine,
            incarnation,
            counter: AtomicU64::new(1),
        }
    }

    /// Dispatches `job` until an answer begins or nothing more may be tried.
    pub(crate) async fn begin(self: &Arc<Self>, job: &Arc<Job>) -> Result<Live, Problem> {
        self.retries.earn(job.limits.retry_percent);
        let mut tried = Vec::new();
        let mut last = None;
        for index in 0..MAX_TRIES {
            // Before each send: a target may have ended under it here or at another entry.
            if let Some(held) = self.quarantine.held(job) {
                return Err(last.unwrap_or(held));
            }
            if index > 0 && !self.retries.spend() {
                break;
            }
            let sent = match self.route(job, &tried) {
                Ok(sent) => sent,
                Err(problem) => return Err(last.unwrap_or(problem)),
            };
            tried.push(sent.target);
            let request_id = self.request_id(job, &sent);
            let began = self.send(job, &sent).await;
            if !matches!(began, Began::Live(_)) {
                self.note_ended(&sent);
            }
            if matches!(&began, Began::Failed(Failure::Ended { .. })) {
                self.quarantine.note_end(job, &sent).await;
            }
            let problem = match began {
                Began::Live(live) => return Ok(*live),
                Began::Refused(refusal) => self.refused(job, &sent, &refusal)?,
                Began::NotRun => unreachable_target(),
                // A repeatable request whose answer has not begun may start again, on the same target if need be.
                Began::Failed(failure) if job.repeatable => {
                    if self.has_tried_all(job, &tried) {
                        tried.clear();
                    }
                    failed(job, &failure).request_id(request_id)
                }
                Began::Failed(failure) => return Err(failed(job, &failure).request_id(request_id)),
                Began::Unknown if job.repeatable => {
                    self.cancel_in_background(&sent);
                    unreachable_target()
                }
                Began::Unknown => {
                    let detail = "the target's agent cannot be reached any more; ask about the request id";
                    return Err(Problem::unknown(detail).request_id(request_id));
                }
            };
            if matches!(job.pool, Pool::Bound { .. }) || Instant::now() >= job.deadline {
                return Err(problem);
            }
            last = Some(problem);
        }
        Err(last.unwrap_or_else(unreachable_target))
    }

    /// Chooses a target that was not tried yet and logs the decision.
    fn route(&self, job: &Job, tried: &[TargetKey]) -> Result<Sent, Problem> {
        let now = self.board.now();
        let attempt = AttemptId {
            entry: self.incarnation,
            counter: self.counter.fetch_add(1, Ordering::Relaxed),
        };
        let mut board = self.board.lock();
        let candidates = self.candidates(&board, job)?;
        let untried: Vec<TargetKey> = candidates.iter().copied().filter(|key| !tried.contains(key)).collect();
        let decision = choose(&board, &untried, &job.route, Rule::GroupCost, now, &mut rand::rng());
        let decision = decision.map_err(|error| no_target(error.retry_after))?;
        let key = decision.target;
        let version = board.version;
        let prefill = job.route.prompt_tokens;
        board.note_sent(key, attempt.counter, prefill, &job.route.blocks, now);
        let target = board.target(key).ok_or_else(unreachable_target)?;
        let sent = Sent {
            target: key,
            name: target.name.clone(),
            address: target.address.ok_or_else(unreachable_target)?,
            attempt,
            incarnation: target.load.incarnation,
        };
        let map = target.load.map;
        let candidates = candidate_lines(&board, &decision);
        drop(board);
        log_route(job, &sent, &decision, &candidates, version, map);
        Ok(sent)
    }

    fn has_tried_all(&self, job: &Job, tried: &[TargetKey]) -> bool {
        let now = self.board.now();
        let board = self.board.lock();
        let candidates = self.candidates(&board, job).unwrap_or_default();
        let usable = |key: &TargetKey| board.target(*key).is_some_and(|target| target.takes_work(now));
        candidates
            .iter()
            .filter(|key| usable(key))
            .all(|key| tried.contains(key))
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
                let gone = || Problem::unknown("the target that the key is bound to is gone; it cannot run any more");
                return Ok(vec![board.find(target).ok_or_else(gone)?]);
            }
        };
        Ok(self.board.subset(board, &pool, &all, limit).targets)
    }

    /// Chooses the target that a new idempotency key is bound to.
    pub(crate) fn choose_home(&self, job: &Job) -> Result<(String, u64), Problem> {
        let now = self.board.now();
        let board = self.board.lock();
        let candidates = self.candidates(&board, job)?;
        // Only a target that has reported its incarnation can be bound to.
        let reported = |key: &TargetKey| board.target(*key).is_some_and(|target| target.load.incarnation != 0);
        let reported: Vec<TargetKey> = candidates.into_iter().filter(reported).collect();
        let decision = choose(&board, &reported, &job.route, Rule::GroupCost, now, &mut rand::rng());
        let decision = decision.map_err(|error| no_target(error.retry_after))?;
        let target = board.target(decision.target).ok_or_else(unreachable_target)?;
        Ok((target.name.clone(), target.load.incarnation))
    }

    async fn send(self: &Arc<Self>, job: &Arc<Job>, sent: &Sent) -> Began {
        let mut channel = match self.endpoint.open(sent.address, Role::Agent).await {
            Ok(channel) => channel,
            Err(error) => {
                // Nothing was sent.
                self.note_failure(sent, &error);
                return Began::NotRun;
            }
        };
        let attempt = job.attempt(sent);
        if let Err(error) = channel.sender.send(&Frame::Ask(Ask::Attempt(Box::new(attempt)))).await {
            self.note_failure(sent, &error);
            return self.settle_begin(job, sent).await;
        }
        channel.sender.finish();
        self.wait_for_head(job, sent, channel).await
    }

    async fn wait_for_head(self: &Arc<Self>, job: &Arc<Job>, sent: &Sent, mut channel: Channel) -> Began {
        let mut assembly = Assembly::new(sent.attempt);
        // Until the answer begins, dropping this future means that the caller went away.
        let guard = CancelGuard::new(self, sent);
        loop {
            let received = tokio::time::timeout_at(job.deadline, channel.receiver.receive()).await;
            let frame = match received {
                Ok(Ok(frame)) => frame,
                Ok(Err(error)) => {
                    self.note_failure(sent, &error);
                    guard.disarm();
                    return self.settle_begin(job, sent).await;
                }
                Err(_elapsed) => {
                    guard.disarm();
                    return self.settle_begin(job, sent).await;
                }
            };
            let Frame::Answer(answer) = frame else { continue };
            match assembly.accept(answer) {
                Step::Head(head) => {
                    self.board.lock().note_answer(sent.target);
                    self.note_load(sent, &head.load);
                    guard.disarm();
                    let live = Live::new(Arc::clone(self), Arc::clone(job), sent.clone(), assembly, channel, head);
                    return Began::Live(Box::new(live));
                }
                Step::Refused(refusal) => {
                    self.note_load(sent, &refusal.load);
                    guard.disarm();
                    return Began::Refused(refusal);
                }
                Step::Failed(failure) => {
                    guard.disarm();
                    return Began::Failed(failure);
                }
                // Chunks may overtake the head only in a broken stream; settling finds out.
                Step::Chunks(_) | Step::End { .. } | Step::Broken(_) => {
                    guard.disarm();
                    return self.settle_begin(job, sent).await;
                }
                Step::Nothing => {}
            }
        }
    }

    /// Finds out what became of an attempt whose stream broke before the answer began.
    async fn settle_begin(self: &Arc<Self>, job: &Arc<Job>, sent: &Sent) -> Began {
        let settlement = self.settle(sent.address, sent.attempt, sent.incarnation).await;
        log::info!(target: DECISION, decision = "settle", attempt = sent.attempt.to_string().as_str(), agent = sent.name.as_str(), settlement:? = settlement; "settled a broken attempt");
        match settlement {
            Settlement::NotRun => Began::NotRun,
            Settlement::Running | Settlement::Ended if Instant::now() < job.deadline => {
                self.begin_again(job, sent).await
            }
            _ => Began::Unknown,
        }
    }

    /// Reads the answer of an attempt that runs from its start.
    async fn begin_again(self: &Arc<Self>, job: &Arc<Job>, sent: &Sent) -> Began {
        let Ok(channel) = self.resume(sent, 0).await else {
            return Began::Unknown;
        };
        Box::pin(self.wait_for_head(job, sent, channel)).await
    }

    /// Opens a stream that repeats the answer from chunk `from` on.
    pub(crate) async fn resume(&self, sent: &Sent, from: u64) -> Result<Channel, StreamError> {
        let opened = self.endpoint.open(sent.address, Role::Agent).await;
        let mut channel = opened.map_err(|_unreachable| StreamError::Ended)?;
        let attempt = sent.attempt;
        channel.sender.send(&Frame::Ask(Ask::Resume { attempt, from })).await?;
        channel.sender.finish();
        Ok(channel)
    }

    /// Asks the agent at `address` what became of `attempt`, which was sent to its incarnation `incarnation`.
    pub(crate) async fn settle(&self, address: SocketAddr, attempt: AttemptId, incarnation: u64) -> Settlement {
        let asked = tokio::time::timeout(
            SETTLE_TIMEOUT,
            self.ask_settlement(address, Ask::Settle { attempt, incarnation }),
        )
        .await;
        asked.ok().flatten().unwrap_or(Settlement::Unknown)
    }

    async fn ask_settlement(&self, address: SocketAddr, ask: Ask) -> Option<Settlement> {
        let mut channel = self.endpoint.open(address, Role::Agent).await.ok()?;
        channel.sender.send(&Frame::Ask(ask)).await.ok()?;
        match channel.receiver.receive().await.ok()? {
            Frame::Settlement(settlement) => Some(settlement),
            _ => None,
        }
    }

    /// Tells the agent that the caller went away.
    pub(crate) fn cancel_in_background(self: &Arc<Self>, sent: &Sent) {
        let dispatcher = Arc::clone(self);
        let sent = sent.clone();
        tokio::spawn(async move {
            let cancelled = tokio::time::timeout(CANCEL_TIMEOUT, dispatcher.cancel(&sent)).await;
            if cancelled.is_err() {
                log::info!(attempt = sent.attempt.to_string().as_str(); "the agent could not be told of a caller that went away");
            }
        });
    }

    async fn cancel(&self, sent: &Sent) {
        let Ok(mut channel) = self.endpoint.open(sent.address, Role::Agent).await else {
            return;
        };
        // An agent that cannot be told finds out by itself that nobody reads.
        let _sent = channel.sender.send(&Frame::Ask(Ask::Cancel(sent.attempt))).await;
        channel.sender.finish();
        channel.sender.stopped().await;
    }

    pub(crate) fn request_id(&self, job: &Job, sent: &Sent) -> String {
        self.seal.issue_request_id(&RequestName {
            workspace: job.workspace.name.clone(),
            target: sent.name.clone(),
            attempt: sent.attempt,
            incarnation: sent.incarnation,
        })
    }

    pub(crate) fn note_load(&self, sent: &Sent, load: &sparscale_wire::Load) {
        let now = self.board.now();
        self.board.lock().apply_load(sent.target, board_load(load), now);
    }

    /// Notes that a dispatch is over, however it ended.
    pub(crate) fn note_ended(&self, sent: &Sent) {
        let now = self.board.now();
        self.board.lock().note_ended(sent.target, sent.attempt.counter, now);
    }

    /// Avoids the target of a broken answer for a while.
    pub(crate) fn avoid(&self, live: &Live) {
        let now = self.board.now();
        self.board.lock().note_failure(live.target(), now);
    }

    fn note_failure(&self, sent: &Sent, error: &dyn std::error::Error) {
        log::warn!(agent = sent.name.as_str(), error = error.to_string().as_str(); "an agent cannot be reached");
        let now = self.board.now();
        self.board.lock().note_failure(sent.target, now);
    }

    /// The problem that a refusal leads to if no other target takes the request; an error if none may be asked.
    fn refused(&self, job: &Job, sent: &Sent, refusal: &Refusal) -> Result<Problem, Problem> {
        self.metrics.count("attempt.refused");
        let after = Duration::from_millis(refusal.retry_after_ms);
        let busy =
            |title, detail: &str| Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, title, detail).retry_after(after);
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
                // Else the nearest targets are chosen again and again while they are down, and none further away.
                let now = self.board.now();
                self.board.lock().note_refusal(sent.target, after, now);
                Ok(busy("No target takes the request", "it was not handed on"))
            }
        }
    }
}

/// Tells the agent of a caller that went away, unless it is disarmed first.
struct CancelGuard<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    sent: &'a Sent,
    armed: bool,
}

impl<'a> CancelGuard<'a> {
    fn new(dispatcher: &'a Arc<Dispatcher>, sent: &'a Sent) -> Self {
        Self {
            dispatcher,
            sent,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.dispatcher.cancel_in_background(self.sent);
        }
    }
}
