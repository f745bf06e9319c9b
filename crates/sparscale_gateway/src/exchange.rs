//! Takes one request from admission to its response: waits for headroom, sends attempts, and decides about retries.
//!
//! Retries are paid for from a budget that all entries share, so that failing targets don't cause a flood of retries.

mod abandon;
mod choice;
mod quarantine;
mod queueing;
mod throttling;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use http::header::HeaderValue;
use sparscale_belief::Board;
use sparscale_catalog::{Catalog, Instance, RequestKind, Route, RouteKey};
use sparscale_clock::Timestamp;
use sparscale_mesh::Mesh;
use sparscale_policy::budget::{Allowance, Budget, Source};
use sparscale_policy::deadlines::DeadlineTracker;
use sparscale_policy::response_timeout::ResponsePart;
use sparscale_policy::response_tracker::PendingResponse;
use sparscale_policy::retry_schedule::RetrySchedule;
use sparscale_policy::{caller_timeout, gate};
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::attempt::{CompleteResponse, Outbound, PartialResponse, Rejection, SendOutcome, TargetClient};
use crate::attempt_history::AttemptHistory;
use crate::attempted_targets::AttemptedTargets;
use crate::caller_response::{CALLER_DISCONNECTED, CallerResponse, StreamResponse};
use crate::event_stream::EventStream;
use crate::exit::Exit;
use crate::gate::Gates;
use crate::loads::{InFlightGuard, Loads};
use crate::metrics::Metrics;
use crate::queues::Queues;
use crate::refusal::{Reason, Refusal};
use crate::response_error::ResponseError;
use crate::response_monitor::ResponseMonitor;
use crate::traffic_split::TrafficSplit;

/// `Retry-After` of a rejection after targets could not be reached or rejected the request.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// `Retry-After` of a rejection because no target is available or the group stays closed.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(500);

/// State shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) target_client: TargetClient,
    pub(crate) loads: Arc<Loads>,
    /// Response times of the targets that requests wait for.
    pub(crate) response_monitor: ResponseMonitor,
    pub(crate) hall: String,
    pub(crate) allowance: Allowance,
    pub(crate) retry_budgets: Mutex<HashMap<String, Budget>>,
    pub(crate) traffic_split: TrafficSplit,
    pub(crate) metrics: Metrics,
    /// Number of entries that share the slack of the budgets, including this one; 0 while unknown.
    pub(crate) sharers: AtomicUsize,
    /// The planned exit of this process.
    pub(crate) exit: Arc<Exit>,
    /// Start of this process.
    pub(crate) started_at: Timestamp,
    pub(crate) queues: Arc<Queues>,
    /// Whether groups are serving.
    pub(crate) gates: Gates,
    /// Longest recent deadline of each route, from which the time that callers spent on earlier attempts is derived.
    pub(crate) deadlines: Mutex<DeadlineTracker>,
    /// Retry times assigned to callers, by service.
    pub(crate) retry_schedules: Mutex<HashMap<String, RetrySchedule>>,
}

/// Outcome of an attempt.
enum Outcome {
    /// There is a response for the caller.
    Responded(CallerResponse),
    /// The target could not be reached; nothing was sent.
    NotSent,
    /// The target reported that it did not run the request.
    Rejected(Rejection),
    /// The target responded with an error, and the request may run again.
    Failed(CompleteResponse),
    /// The request may have run, but there is no complete response.
    ResponseLost(ResponseError),
    /// The target was abandoned in favor of another one.
    Abandoned,
}

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The target rejected it, failed, or sent no complete response.
    NotServed,
    /// Another incarnation had the target's address.
    Replaced,
    /// The target was a straggler.
    Straggler,
    /// The target was unresponsive.
    Unresponsive,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::NotServed => "unserved",
            Self::Replaced => "gone",
            Self::Straggler => "left_slow",
            Self::Unresponsive => "left_silent",
        }
    }
}

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: RouteKey,
    pub(crate) outbound: Outbound,
    pub(crate) arrived_at: Instant,
}

impl Job {
    pub(crate) fn route(&self) -> &Route {
        self.catalog.route(self.route)
    }

    /// What the target is expected to send first.
    fn first_response_part(&self) -> ResponsePart {
        if is_stream(self) {
            ResponsePart::FirstEvent
        } else {
            ResponsePart::FullResponse
        }
    }

    /// The wait for the first response of a target.
    fn first_wait<'a>(&self, instance: &'a Instance) -> PendingResponse<'a> {
        PendingResponse {
            instance,
            response_part: self.first_response_part(),
            due_within: self.route().latency_objective,
            caller_timeout: self.caller_timeout(),
        }
    }

    /// Time without a response after which the caller gives up.
    pub(crate) fn caller_timeout(&self) -> Duration {
        match self.route().kind {
            RequestKind::Stream { .. } => {
                caller_timeout::stream_timeout(self.route().latency_objective, max_pause_of(self))
            }
            RequestKind::AtMostOnce | RequestKind::Idempotent => {
                self.outbound.deadline.saturating_duration_since(self.arrived_at)
            }
        }
    }
}

impl Gateway {
    /// Sends attempts until there is a response or no further attempt is allowed.
    pub(crate) async fn obtain_response(
        &self,
        job: &Job,
        history: &mut AttemptHistory,
    ) -> Result<CallerResponse, Refusal> {
        loop {
            if self.board.now() >= job.outbound.deadline_timestamp {
                return history.final_result(Refusal::retry_immediately(Reason::TooLate));
            }
            self.switch_from_closed_group(job, history);
            if self.stays_closed(job, history).await {
                return history.final_result(Refusal::with_retry_after(Reason::GroupClosed, NO_TARGET_RETRY_DELAY));
            }
            // Checked before each attempt: since the request arrived, targets may have terminated while running it,
            // here or at other entries.
            if let Some(refusal) = self.quarantine_refusal(&job.outbound.content) {
                return history.final_result(refusal);
            }
            let Some(instance) = self.next_target(job, history) else {
                let closed_refusal = self.current_closed_refusal(job, history);
                history.not_run_refusal = closed_refusal.or(history.not_run_refusal);
                return history.final_result(Refusal::with_retry_after(Reason::NoTarget, NO_TARGET_RETRY_DELAY));
            };
            history.current_target = Some(instance.clone());
            let outcome = self.attempt(job, &instance, history).await;
            history.current_target = None;
            if let Some(response) = self.handle_outcome(job, instance, outcome, history).await? {
                return Ok(response);
            }
        }
    }

    /// The refusal to return if no target of the service accepts requests from this entry now.
    fn current_closed_refusal(&self, job: &Job, history: &AttemptHistory) -> Option<Refusal> {
        let targets = self.board.targets()?;
        let service = history.service.as_deref()?;
        Self::evacuation_refusal(service, &targets.value)
            .or_else(|| self.throttle_refusal(job, service, &targets.value))
    }

    /// Handles the outcome of an attempt: returns a response, none for another attempt, or a refusal.
    async fn handle_outcome(
        &self,
        job: &Job,
        instance: Instance,
        outcome: Outcome,
        history: &mut AttemptHistory,
    ) -> Result<Option<CallerResponse>, Refusal> {
        match outcome {
            Outcome::Responded(response) => {
                self.loads.record_success(instance.key);
                if let Some(membership) = &instance.target.membership {
                    self.gates.record_response(&membership.group);
                }
                if matches!(&response, CallerResponse::Complete(complete) if complete.status.is_success()) {
                    self.board.quarantine.record_response(&job.outbound.content);
                }
                history.attempted_targets.push(instance);
                return Ok(Some(response));
            }
            // The next attempt was charged to the budget when the target was abandoned.
            Outcome::Abandoned => {
                history.unknown_outcome_refusal = Some(Refusal::new(Reason::NoAnswer));
                history.attempted_targets.push(instance);
                return Ok(None);
            }
            Outcome::NotSent => {
                self.loads.record_failure(instance.key);
                return history.skip_unavailable(
                    Refusal::with_retry_after(Reason::Unreachable, REJECTED_RETRY_DELAY),
                    |_| true,
                );
            }
            Outcome::Rejected(rejection) if rejection.is_replaced(&instance.target) => {
                self.loads.record_replaced(instance.key);
                let may_retry = |history: &AttemptHistory| self.charge_retry_budget(job, history, Cause::Replaced);
                return history.skip_unavailable(
                    Refusal::with_retry_after(Reason::Rejected, REJECTED_RETRY_DELAY),
                    may_retry,
                );
            }
            Outcome::Rejected(rejection) => {
                self.record_rejection(job, &instance, &rejection);
                self.switch_group(job, history);
                history.not_run_refusal = Some(Refusal::with_retry_after(Reason::Rejected, REJECTED_RETRY_DELAY));
            }
            Outcome::Failed(response) => history.error_response = Some(response),
            Outcome::ResponseLost(error) => self.record_lost_response(job, &instance, error, history).await?,
        }
        history.attempted_targets.push(instance);
        if self.may_retry(job, history) {
            return Ok(None);
        }
        if history.not_run_refusal.is_some() {
            history.not_run_refusal = self.current_closed_refusal(job, history).or(history.not_run_refusal);
        }
        history.final_result(Refusal::new(Reason::NoAnswer)).map(Some)
    }

    /// Runs one attempt, up to a complete response or the first event. A target that turns out to be a straggler, or
    /// that is unresponsive while others respond, is abandoned if the request may go elsewhere: with a straggler each
    /// pass of the group would wait for that one rank, and with an unresponsive target the caller would wait in vain.
    async fn attempt(&self, job: &Job, instance: &Instance, history: &AttemptHistory) -> Outcome {
        let mut sending = std::pin::pin!(self.send(job, instance));
        if let Some(membership) = &instance.target.membership {
            match tokio::time::timeout(gate::ACCEPTED_AFTER, &mut sending).await {
                Ok(outcome) => return outcome,
                Err(_elapsed) => self.gates.record_accepted(&membership.group),
            }
        }
        let attempts_made = history.attempted_targets.len() + 1;
        let abandoned = tokio::select! {
            outcome = &mut sending => return outcome,
            () = self.loads.stragglers.wait_until_straggler(instance.key) => self.may_abandon_straggler(job, &instance.target.id, attempts_made, history),
            verdict = self.response_monitor.wait_until_unresponsive(job.first_wait(instance)) => {
                self.may_abandon_unresponsive(job, instance, verdict, attempts_made, history)
            }
        };
        if abandoned { Outcome::Abandoned } else { sending.await }
    }

    async fn send(&self, job: &Job, instance: &Instance) -> Outcome {
        let in_flight = self.loads.begin_request(instance);
        let since = Instant::now();
        let outcome = self.target_client.send(instance, &job.outbound).await;
        if matches!(outcome, SendOutcome::Complete(_)) {
            self.response_monitor
                .record_response(instance, ResponsePart::FullResponse, since);
        }
        match outcome {
            SendOutcome::Partial(partial) => match self.begin_response(job, partial, in_flight).await {
                Ok(response) => {
                    self.response_monitor
                        .record_response(instance, job.first_response_part(), since);
                    Outcome::Responded(response)
                }
                Err(error) => Outcome::ResponseLost(error),
            },
            SendOutcome::Complete(response) if is_failure(response.status) && job.outbound.retryable => {
                Outcome::Failed(response)
            }
            SendOutcome::Complete(response) => Outcome::Responded(CallerResponse::Complete(response)),
            SendOutcome::NotSent => Outcome::NotSent,
            SendOutcome::Rejected(rejection) => Outcome::Rejected(rejection),
            SendOutcome::ResponseLost(error) => Outcome::ResponseLost(error),
        }
    }

    /// Handles an attempt without a complete response, which is final unless the request may run again.
    async fn record_lost_response(
        &self,
        job: &Job,
        instance: &Instance,
        error: ResponseError,
        history: &mut AttemptHistory,
    ) -> Result<(), Refusal> {
        self.loads.record_failure(instance.key);
        self.investigate_lost_response(job, instance, error).await;
        let reason = if error == ResponseError::Timeout {
            Reason::NoAnswer
        } else {
            Reason::BrokenAnswer
        };
        history.unknown_outcome_refusal = Some(Refusal::new(reason));
        if job.outbound.retryable {
            return Ok(());
        }
        history.attempted_targets.push(instance.clone());
        Err(Refusal::new(reason))
    }

    /// Whether the route and the retry budget allow another attempt, which is then charged to the budget.
    pub(crate) fn may_retry(&self, job: &Job, history: &AttemptHistory) -> bool {
        if history.attempted_targets.len() >= job.route().max_attempts as usize {
            return false;
        }
        let allowed = self.charge_retry_budget(job, history, Cause::NotServed);
        let counter = if allowed {
            &self.metrics.retries
        } else {
            &self.metrics.denied_retries
        };
        counter.increment();
        allowed
    }

    /// Credits one request to the retry budgets of the services of its route.
    pub(crate) fn credit_retry_budgets(&self, job: &Job) {
        let mut budgets = self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.board.now();
        for share in &job.route().shares {
            let budget = budgets
                .entry(share.service.clone())
                .or_insert_with(|| Budget::new(self.allowance, self.started_at));
            budget.record_request(now);
        }
    }

    /// Charges one more attempt to the budget of the service; returns whether the budget allows it.
    fn charge_retry_budget(&self, job: &Job, history: &AttemptHistory, reason: Cause) -> bool {
        let Some(service) = history.service.as_deref() else {
            return false;
        };
        let sharers = self.sharers.load(Ordering::Relaxed);
        let share = self.allowance.slack_share((sharers > 0).then_some(sharers));
        let now = self.board.now();
        let verdict = {
            let mut budgets = self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
            budgets.get_mut(service).map(|budget| budget.try_spend(share, now))
        };
        let Some(verdict) = verdict else { return false };
        let uptime_ms = now.since(self.started_at).as_millis() as u64;
        log::info!(
            target: DECISION,
            decision = "repeat",
            request = job.outbound.head.id_text(),
            service,
            cause = reason.name(),
            paid = verdict.source.map_or("no", Source::name),
            requests = verdict.requests,
            credit = verdict.credit,
            slack_used = verdict.slack_used,
            share,
            sharers,
            life_ms = uptime_ms;
            "retry requested from the budget"
        );
        verdict.source.is_some()
    }

    /// Waits for the first event of a stream. Other long responses are returned as they are.
    async fn begin_response(
        &self,
        job: &Job,
        partial: Box<PartialResponse>,
        in_flight: InFlightGuard,
    ) -> Result<CallerResponse, ResponseError> {
        if !is_stream(job) || !partial.status.is_success() {
            return Ok(CallerResponse::Partial(partial, in_flight));
        }
        let last_event_id = job.outbound.last_event_id.or(job.outbound.head.last_event_id);
        let mut events = EventStream::new(partial.remainder, last_event_id);
        let first_event = events.next(job.outbound.deadline).await?;
        Ok(CallerResponse::Stream(Box::new(StreamResponse {
            status: partial.status,
            headers: partial.headers,
            first_event,
            events,
            in_flight,
        })))
    }

    /// Records the end of a request. Failures are logged as warnings, which the log never drops.
    pub(crate) fn record_end(&self, job: &Job, outcome: &str, attempted: &AttemptedTargets, status: u16) {
        self.metrics
            .record_end(job.route().kind, outcome, job.arrived_at.elapsed());
        // A response that is passed on has not ended yet.
        if attempted.len() > 0 && outcome != "passed_on" {
            self.exit.record_duration(job.route(), job.arrived_at.elapsed());
        }
        let is_success = matches!(outcome, "answered" | "passed_on" | "streamed" | CALLER_DISCONNECTED) && status < 500;
        let level = if is_success { log::Level::Info } else { log::Level::Warn };
        log::log!(
            target: DECISION,
            level,
            decision = "end",
            request = job.outbound.head.id_text(),
            content = job.outbound.content.request.log_prefix().as_str(),
            parts:? = job.outbound.head.shared_parts,
            route = job.route().name.as_str(),
            version = job.catalog.version(),
            outcome,
            status,
            targets:? = attempted.ids(),
            prompt_tokens = job.outbound.head.token_counts.prompt,
            took_ms = job.arrived_at.elapsed().as_millis() as u64;
            "request finished"
        );
    }
}

/// The workspace as a header value, or none if it is not a valid one; names are validated when they are read.
pub(crate) fn workspace_header(name: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(name).ok()
}

/// Maximum pause between events that the route of the request allows.
pub(crate) fn max_pause_of(job: &Job) -> Duration {
    match job.route().kind {
        RequestKind::Stream {
            max_pause: longest_pause,
            ..
        } => longest_pause.unwrap_or_default(),
        RequestKind::AtMostOnce | RequestKind::Idempotent => Duration::ZERO,
    }
}

fn is_stream(job: &Job) -> bool {
    job.route().kind.is_stream()
}

fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
