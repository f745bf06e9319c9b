//! Takes one request from admission to its answer: waits for headroom, sends attempts, and decides about retries.
//!
//! Retries are paid for from a budget that all entries share, so that failing targets don't cause a flood of retries.

mod abandon;
mod choice;
mod throttling;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use http::header::HeaderValue;
use rand::seq::IteratorRandom as _;
use sparscale_belief::Board;
use sparscale_catalog::{Catalog, Kind, Route, RouteKey, Seat};
use sparscale_clock::Moment;
use sparscale_mesh::Mesh;
use sparscale_policy::budget::{Allowance, Budget, Source};
use sparscale_policy::heard::Wait;
use sparscale_policy::returns::Returns;
use sparscale_policy::silence::Awaited;
use sparscale_policy::spent::Deadlines;
use sparscale_policy::{gate, patience};
use sparscale_quarantine::{End, Fingerprint};
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::answer::{Answer, CALLER_LEFT, Stream};
use crate::attempt::{Begun, Caller, Loss, Outbound, Rejection, Reply, SendOutcome};
use crate::figures::Figures;
use crate::gate::Gates;
use crate::loads::{Loads, Running};
use crate::refusal::{Reason, Refusal};
use crate::relay::Run;
use crate::silences::Silences;
use crate::split::Splits;
use crate::tried::AttemptedTargets;
use crate::tries::Tries;
use crate::waiting::{Arrival, Permit, Queues};

/// Maximum number of groups of a service that one request considers, sampled anew for each. Of a hundred groups, the
/// best of a few is nearly as good as the best of all, and checking all of them would cost an entry more than the
/// request itself.
const MAX_SAMPLED_GROUPS: usize = 8;
/// `Retry-After` of a rejection after targets could not be reached or rejected the request.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// `Retry-After` of a rejection because no target is available or the group stays closed.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(500);

/// State shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) caller: Caller,
    pub(crate) loads: Arc<Loads>,
    /// Response times of the targets that requests wait for.
    pub(crate) silences: Silences,
    pub(crate) hall: String,
    pub(crate) allowance: Allowance,
    pub(crate) budgets: Mutex<HashMap<String, Budget>>,
    pub(crate) splits: Splits,
    pub(crate) figures: Figures,
    /// Number of entries that share the slack of the budgets, including this one; 0 while unknown.
    pub(crate) sharers: AtomicUsize,
    /// Start of this process.
    pub(crate) started: Moment,
    pub(crate) queues: Arc<Queues>,
    /// Whether groups are serving.
    pub(crate) gates: Gates,
    /// Longest recent deadline of each route, from which the time that callers spent on earlier attempts is derived.
    pub(crate) deadlines: Mutex<Deadlines>,
    /// Retry times assigned to callers, by service.
    pub(crate) returns: Mutex<HashMap<String, Returns>>,
}

/// Outcome of an attempt.
enum AttemptOutcome {
    /// There is an answer for the caller.
    Answered(Answer),
    /// The target could not be reached; nothing was sent.
    NotSent,
    /// The target reported that it did not run the request.
    Rejected(Rejection),
    /// The target answered with an error, and the request may run again.
    Failed(Reply),
    /// The request may have run, but there is no complete reply.
    ReplyLost(Loss),
    /// The target was abandoned in favor of another one.
    Abandoned,
}

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryReason {
    /// The target rejected it, failed, or sent no complete reply.
    NotServed,
    /// Another incarnation had the target's address.
    Replaced,
    /// The target was a straggler.
    Straggler,
    /// The target was unresponsive.
    Unresponsive,
}

impl RetryReason {
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
    pub(crate) began: Instant,
}

impl Job {
    pub(crate) fn route(&self) -> &Route {
        self.catalog.route(self.route)
    }

    /// What the target is expected to send first.
    fn first_awaited(&self) -> Awaited {
        if is_stream(self) {
            Awaited::First
        } else {
            Awaited::Complete
        }
    }

    /// The wait for the first response of a target.
    fn first_wait<'a>(&self, instance: &'a Seat) -> Wait<'a> {
        Wait {
            seat: instance,
            awaited: self.first_awaited(),
            allowed: self.route().objective,
            given_up_after: self.given_up_after(),
        }
    }

    /// Time without a response after which the caller gives up.
    pub(crate) fn given_up_after(&self) -> Duration {
        match self.route().kind {
            Kind::Stream { .. } => patience::longest_silence(self.route().objective, pause_of(self)),
            Kind::Once | Kind::Repeatable => self.outbound.until.saturating_duration_since(self.began),
        }
    }
}

impl Gateway {
    /// Chooses a group for a streaming request and waits until it is admitted there. None if no group serves the
    /// request.
    pub(crate) async fn permit(&self, job: &Job, history: &mut Tries) -> Result<Option<Permit>, Refusal> {
        let Some(observation) = self.board.targets() else {
            return Ok(None);
        };
        history.service = self.choose_service(job, &observation.value);
        if let Some(service) = history.service.as_deref()
            && let Some(refusal) = self.throttle_refusal(job, service, &observation.value)
        {
            return Err(refusal);
        }
        let Kind::Stream { longest_pause, .. } = job.route().kind else {
            return Ok(None);
        };
        let Some(service) = history.service.as_deref() else {
            return Ok(None);
        };
        let engine = job.catalog.find_service(service);
        let engine = engine.and_then(|key| job.catalog.service(key).engine.as_ref());
        let (Some(engine), Some(longest_pause)) = (engine, longest_pause) else {
            return Ok(None);
        };
        let time_in_earlier_attempts = self.time_in_earlier_attempts(job);
        let groups = observation.value.groups_of(service);
        let sampled = groups.choose_multiple(&mut rand::rng(), MAX_SAMPLED_GROUPS).into_iter();
        let arrivals = sampled.map(|group| Arrival {
            request_id: job.outbound.head.id_text(),
            group: group.name,
            engine,
            longest_pause,
            objective: job.route().objective,
            tier: job.outbound.urgency.unwrap_or_default(),
            rank_count: group.size,
            open_fraction: self.open_part(&observation.value, group),
            received_at: job.began,
            time_in_earlier_attempts,
            time_left: job.outbound.head.deadline,
        });
        let arrivals: Vec<Arrival<'_>> = arrivals.collect();
        let Some(arrival) = self
            .queues
            .choose_group(&arrivals, |group| !self.gates.is_closed(group))
        else {
            return Ok(None);
        };
        history.group = Some(arrival.group.to_owned());
        self.queues.acquire(arrival).await.map(Some)
    }

    /// Time that the caller spent on attempts before this one.
    fn time_in_earlier_attempts(&self, job: &Job) -> Duration {
        let Some(deadline) = job.outbound.head.deadline else {
            return Duration::ZERO;
        };
        let mut deadlines = self.deadlines.lock().unwrap_or_else(PoisonError::into_inner);
        deadlines.spent(&job.route().name, deadline, job.began.into_std())
    }

    /// Sends attempts until there is an answer or no further attempt is allowed.
    pub(crate) async fn answer(&self, job: &Job, history: &mut Tries) -> Result<Answer, Refusal> {
        loop {
            if self.board.now() >= job.outbound.deadline_timestamp {
                return history.final_result(Refusal::at_once(Reason::TooLate));
            }
            self.switch_from_closed_group(job, history);
            if self.stays_closed(job, history).await {
                return history.final_result(Refusal::with_retry_after(Reason::GroupClosed, NO_TARGET_RETRY_DELAY));
            }
            // Checked before each attempt: since the request arrived, targets may have terminated while running it, here
            // or at other entries.
            if let Some(refusal) = self.quarantine_refusal(job.outbound.fingerprint) {
                return history.final_result(refusal);
            }
            let Some(instance) = self.next_target(job, history) else {
                let throttle_refusal = self.current_throttle_refusal(job, history);
                history.not_run_refusal = throttle_refusal.or(history.not_run_refusal);
                return history.final_result(Refusal::with_retry_after(Reason::NoTarget, NO_TARGET_RETRY_DELAY));
            };
            let outcome = self.attempt(job, &instance, history).await;
            if let Some(answer) = self.handle_outcome(job, instance, outcome, history).await? {
                return Ok(answer);
            }
        }
    }

    /// The refusal to return if no target of the service accepts requests from this entry now.
    fn current_throttle_refusal(&self, job: &Job, history: &Tries) -> Option<Refusal> {
        let targets = self.board.targets()?;
        self.throttle_refusal(job, history.service.as_deref()?, &targets.value)
    }

    /// Handles the outcome of an attempt: returns an answer, none for another attempt, or a refusal.
    async fn handle_outcome(
        &self,
        job: &Job,
        instance: Seat,
        outcome: AttemptOutcome,
        history: &mut Tries,
    ) -> Result<Option<Answer>, Refusal> {
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.loads.record_success(instance.key);
                if let Some(membership) = &instance.target.membership {
                    self.gates.record_answer(&membership.group);
                }
                if matches!(answer, Answer::Complete(_)) {
                    self.board.quarantine.note_answer(&job.outbound.fingerprint);
                }
                history.tried.push(instance);
                return Ok(Some(answer));
            }
            // The next attempt was charged to the budget when the target was abandoned.
            AttemptOutcome::Abandoned => {
                history.unknown_outcome_refusal = Some(Refusal::new(Reason::NoAnswer));
                history.tried.push(instance);
                return Ok(None);
            }
            AttemptOutcome::NotSent => {
                self.loads.record_failure(instance.key);
                return history.skip_unavailable(
                    Refusal::with_retry_after(Reason::Unreachable, REJECTED_RETRY_DELAY),
                    |_| true,
                );
            }
            AttemptOutcome::Rejected(rejection) if rejection.is_replaced(&instance.target) => {
                self.loads.record_replaced(instance.key);
                let may_retry = |history: &Tries| self.charge_retry_budget(job, history, RetryReason::Replaced);
                return history.skip_unavailable(
                    Refusal::with_retry_after(Reason::Rejected, REJECTED_RETRY_DELAY),
                    may_retry,
                );
            }
            AttemptOutcome::Rejected(rejection) => {
                self.record_rejection(job, &instance, &rejection);
                self.switch_group(job, history);
                history.not_run_refusal = Some(Refusal::with_retry_after(Reason::Rejected, REJECTED_RETRY_DELAY));
            }
            AttemptOutcome::Failed(reply) => history.error_reply = Some(reply),
            AttemptOutcome::ReplyLost(error) => self.record_lost_reply(job, &instance, error, history).await?,
        }
        history.tried.push(instance);
        if self.may_send_again(job, history) {
            return Ok(None);
        }
        if history.not_run_refusal.is_some() {
            history.not_run_refusal = self.current_throttle_refusal(job, history).or(history.not_run_refusal);
        }
        history.final_result(Refusal::new(Reason::NoAnswer)).map(Some)
    }

    /// Runs one attempt, up to a complete reply or the first event. A target that turns out to be a straggler, or that
    /// is unresponsive while others respond, is abandoned if the request may go elsewhere: with a straggler each pass
    /// of the group would wait for that one rank, and with an unresponsive target the caller would wait in vain.
    async fn attempt(&self, job: &Job, instance: &Seat, history: &Tries) -> AttemptOutcome {
        let mut sending = std::pin::pin!(self.send(job, instance));
        if let Some(membership) = &instance.target.membership {
            match tokio::time::timeout(gate::TAKEN_AFTER, &mut sending).await {
                Ok(outcome) => return outcome,
                Err(_elapsed) => self.gates.record_accepted(&membership.group),
            }
        }
        let attempts_made = history.tried.len() + 1;
        let abandoned = tokio::select! {
            outcome = &mut sending => return outcome,
            () = self.loads.slow.becomes(instance.key) => self.may_leave(job, &instance.target.id, attempts_made, history),
            verdict = self.silences.outlasted(job.first_wait(instance)) => {
                self.may_leave_silent(job, instance, verdict, attempts_made, history)
            }
        };
        if abandoned {
            AttemptOutcome::Abandoned
        } else {
            sending.await
        }
    }

    async fn send(&self, job: &Job, instance: &Seat) -> AttemptOutcome {
        let in_flight = self.loads.begin_request(instance);
        let since = Instant::now();
        let outcome = self.caller.send(instance, &job.outbound).await;
        if matches!(outcome, SendOutcome::Complete(_)) {
            self.silences.note(instance, Awaited::Complete, since);
        }
        match outcome {
            SendOutcome::Partial(partial) => match self.begin_reply(job, partial, in_flight).await {
                Ok(answer) => {
                    self.silences.note(instance, job.first_awaited(), since);
                    AttemptOutcome::Answered(answer)
                }
                Err(error) => AttemptOutcome::ReplyLost(error),
            },
            SendOutcome::Complete(reply) if is_failure(reply.status) && job.outbound.may_repeat => {
                AttemptOutcome::Failed(reply)
            }
            SendOutcome::Complete(reply) => AttemptOutcome::Answered(Answer::Complete(reply)),
            SendOutcome::NotSent => AttemptOutcome::NotSent,
            SendOutcome::Rejected(rejection) => AttemptOutcome::Rejected(rejection),
            SendOutcome::ReplyLost(error) => AttemptOutcome::ReplyLost(error),
        }
    }

    /// Handles an attempt without a complete reply, which is final unless the request may run again.
    async fn record_lost_reply(
        &self,
        job: &Job,
        instance: &Seat,
        error: Loss,
        history: &mut Tries,
    ) -> Result<(), Refusal> {
        self.loads.record_failure(instance.key);
        self.look_after(job, instance, error).await;
        let reason = if error == Loss::Timeout {
            Reason::NoAnswer
        } else {
            Reason::BrokenAnswer
        };
        history.unknown_outcome_refusal = Some(Refusal::new(reason));
        if job.outbound.may_repeat {
            return Ok(());
        }
        history.tried.push(instance.clone());
        Err(Refusal::new(reason))
    }

    /// The refusal of a request that is quarantined because targets terminated while running it.
    pub(crate) fn quarantine_refusal(&self, request: Fingerprint) -> Option<Refusal> {
        let quarantine = self.board.quarantine.held(&request)?;
        log::info!(target: DECISION, decision = "held", content = request.short().as_str(), ends = quarantine.ends, left_ms = quarantine.left.as_millis() as u64; "request is quarantined because targets terminated while running it");
        Some(Refusal::with_retry_after(Reason::Quarantined, quarantine.left))
    }

    /// Checks whether the target that did not complete its reply has terminated or only the connection was lost. A
    /// termination is recorded against the request, which may have caused it.
    pub(crate) async fn look_after(&self, job: &Job, instance: &Seat, error: Loss) {
        let terminated = error == Loss::Broken && self.caller.pool.has_ended(instance).await;
        if terminated {
            self.board
                .quarantine
                .note_end(job.outbound.fingerprint, End::from(instance.start));
        }
        log::info!(
            target: DECISION,
            decision = "lost_answer",
            request = job.outbound.head.id_text(),
            content = job.outbound.fingerprint.short().as_str(),
            at = instance.target.id.as_str(),
            loss = error.name(),
            ended = terminated;
            "no complete reply from the target"
        );
    }

    /// Whether the route and the retry budget allow another attempt, which is then charged to the budget.
    pub(crate) fn may_send_again(&self, job: &Job, history: &Tries) -> bool {
        if history.tried.len() >= job.route().attempts as usize {
            return false;
        }
        let allowed = self.charge_retry_budget(job, history, RetryReason::NotServed);
        let counter = if allowed {
            &self.figures.repeats
        } else {
            &self.figures.unpaid_repeats
        };
        counter.add_one();
        allowed
    }

    /// Credits one request to the retry budgets of the services of its route.
    pub(crate) fn earn(&self, job: &Job) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.board.now();
        for share in &job.route().shares {
            let budget = budgets
                .entry(share.service.clone())
                .or_insert_with(|| Budget::new(self.allowance, self.started));
            budget.earn(now);
        }
    }

    /// Charges one more attempt to the budget of the service; returns whether the budget allows it.
    fn charge_retry_budget(&self, job: &Job, history: &Tries, reason: RetryReason) -> bool {
        let Some(service) = history.service.as_deref() else {
            return false;
        };
        let sharers = self.sharers.load(Ordering::Relaxed);
        let share = self.allowance.share((sharers > 0).then_some(sharers));
        let now = self.board.now();
        let verdict = {
            let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
            budgets.get_mut(service).map(|budget| budget.spend(share, now))
        };
        let Some(verdict) = verdict else { return false };
        let uptime_ms = now.since(self.started).as_millis() as u64;
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

    /// Waits for the first event of a stream. Other long replies are returned as they are.
    async fn begin_reply(&self, job: &Job, partial: Begun, in_flight: Running) -> Result<Answer, Loss> {
        if !is_stream(job) || !partial.status.is_success() {
            return Ok(Answer::Long(Box::new(partial), in_flight));
        }
        let last_event = job.outbound.last_event.or(job.outbound.head.last_event);
        let mut run = Run::new(partial.rest, last_event);
        let first = run.next(job.outbound.until).await?;
        Ok(Answer::Stream(Box::new(Stream {
            status: partial.status,
            headers: partial.headers,
            first,
            run,
            running: in_flight,
        })))
    }

    /// Records the end of a request. Failures are logged as warnings, which the log never drops.
    pub(crate) fn end(&self, job: &Job, outcome: &str, attempted: &AttemptedTargets, status: u16) {
        self.figures.end(job.route().kind, outcome, job.began.elapsed());
        let is_success = matches!(outcome, "answered" | "passed_on" | "streamed" | CALLER_LEFT) && status < 500;
        let level = if is_success { log::Level::Info } else { log::Level::Warn };
        log::log!(
            target: DECISION,
            level,
            decision = "end",
            request = job.outbound.head.id_text(),
            content = job.outbound.fingerprint.short().as_str(),
            route = job.route().name.as_str(),
            version = job.catalog.version(),
            outcome,
            status,
            targets:? = attempted.ids(),
            prompt_tokens = job.outbound.head.size.prompt,
            took_ms = job.began.elapsed().as_millis() as u64;
            "request finished"
        );
    }
}

/// The workspace as a header value, or none if it is not a valid one; names are validated when they are read.
pub(crate) fn workspace_header(name: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(name).ok()
}

/// Longest pause between events that the route of the request allows.
pub(crate) fn pause_of(job: &Job) -> Duration {
    match job.route().kind {
        Kind::Stream { longest_pause, .. } => longest_pause.unwrap_or_default(),
        Kind::Once | Kind::Repeatable => Duration::ZERO,
    }
}

fn is_stream(job: &Job) -> bool {
    job.route().kind.is_stream()
}

fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
