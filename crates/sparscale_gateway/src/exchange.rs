//! Takes one request from admission to its answer: waits for headroom, sends attempts, and decides about retries.
//!
//! Retries are paid for from a budget that all entries share, so that failing targets don't cause a flood of retries.

mod choice;
mod leave;
mod throttled;

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
use crate::attempt::{Begun, Caller, Loss, Outbound, Outcome, Rejection, Reply};
use crate::figures::Figures;
use crate::gate::Gates;
use crate::loads::{Loads, Running};
use crate::refusal::{Reason, Refusal};
use crate::relay::Run;
use crate::silences::Silences;
use crate::split::Splits;
use crate::tried::Tried;
use crate::tries::Tries;
use crate::waiting::{Arrival, Permit, Queues};

/// Maximum number of groups of a service that one request considers, sampled anew for each. Of a hundred groups, the
/// best of a few is nearly as good as the best of all, and checking all of them would cost an entry more than the
/// request itself.
const MAX_LOOKED_AT: usize = 8;
/// `Retry-After` of a rejection after targets could not be reached or rejected the request.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(200);
/// `Retry-After` of a rejection because no target is available or the group stays closed.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

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
    /// Latest deadlines by route, from which the time spent on earlier attempts is derived.
    pub(crate) deadlines: Mutex<Deadlines>,
    /// Retry times assigned to callers, by service.
    pub(crate) returns: Mutex<HashMap<String, Returns>>,
}

/// Outcome of an attempt.
enum Attempt {
    /// There is an answer for the caller.
    Answered(Answer),
    /// The target could not be reached; nothing was sent.
    NotSent,
    /// The target reported that it did not run the request.
    Refused(Rejection),
    /// The target answered with an error, and the request may run again.
    Failed(Reply),
    /// The request may have run, but there is no complete reply.
    Lost(Loss),
    /// The target was abandoned in favor of another one.
    Left,
}

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The target rejected it, failed, or sent no complete reply.
    Unserved,
    /// Another incarnation had the target's address.
    Gone,
    /// The target was a straggler.
    LeftSlow,
    /// The target was unresponsive.
    LeftSilent,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::Unserved => "unserved",
            Self::Gone => "gone",
            Self::LeftSlow => "left_slow",
            Self::LeftSilent => "left_silent",
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
    fn awaited(&self) -> Awaited {
        if is_stream(self) {
            Awaited::First
        } else {
            Awaited::Complete
        }
    }

    /// The wait for the first response of a target.
    fn first_wait<'a>(&self, seat: &'a Seat) -> Wait<'a> {
        Wait {
            seat,
            awaited: self.awaited(),
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
    pub(crate) async fn permit(&self, job: &Job, tries: &mut Tries) -> Result<Option<Permit>, Refusal> {
        let Some(belief) = self.board.targets() else {
            return Ok(None);
        };
        tries.service = self.service(job, &belief.value);
        if let Some(service) = tries.service.as_deref()
            && let Some(refusal) = self.throttled(job, service, &belief.value)
        {
            return Err(refusal);
        }
        let Kind::Stream { longest_pause, .. } = job.route().kind else {
            return Ok(None);
        };
        let Some(service) = tries.service.as_deref() else {
            return Ok(None);
        };
        let engine = job.catalog.find_service(service);
        let engine = engine.and_then(|key| job.catalog.service(key).engine.as_ref());
        let (Some(engine), Some(pause)) = (engine, longest_pause) else {
            return Ok(None);
        };
        let spent = self.spent(job);
        let groups = belief.value.groups_of(service);
        let looked_at = groups.choose_multiple(&mut rand::rng(), MAX_LOOKED_AT).into_iter();
        let arrivals = looked_at.map(|group| Arrival {
            request: job.outbound.head.id_text(),
            group: group.name,
            engine,
            pause,
            objective: job.route().objective,
            tier: job.outbound.urgency.unwrap_or_default(),
            ranks: group.size,
            open_part: self.open_part(&belief.value, group),
            began: job.began,
            spent,
            left: job.outbound.head.deadline,
        });
        let arrivals: Vec<Arrival<'_>> = arrivals.collect();
        let Some(arrival) = self.queues.choose(&arrivals, |group| !self.gates.is_closed(group)) else {
            return Ok(None);
        };
        tries.group = Some(arrival.group.to_owned());
        self.queues.enter(arrival).await.map(Some)
    }

    /// Time that the caller spent on attempts before this one.
    fn spent(&self, job: &Job) -> Duration {
        let Some(deadline) = job.outbound.head.deadline else {
            return Duration::ZERO;
        };
        let mut deadlines = self.deadlines.lock().unwrap_or_else(PoisonError::into_inner);
        deadlines.spent(&job.route().name, deadline, job.began.into_std())
    }

    /// Sends attempts until there is an answer or no further attempt is allowed.
    pub(crate) async fn answer(&self, job: &Job, tries: &mut Tries) -> Result<Answer, Refusal> {
        loop {
            if self.board.now() >= job.outbound.due {
                return tries.give_up(Refusal::at_once(Reason::TooLate));
            }
            self.leave_closed_group(job, tries);
            if self.closed(job, tries).await {
                return tries.give_up(Refusal::retry(Reason::GroupClosed, NO_TARGET_RETRY));
            }
            // Checked before each attempt: since the request arrived, targets may have terminated while running it, here
            // or at other entries.
            if let Some(refusal) = self.held(job.outbound.fingerprint) {
                return tries.give_up(refusal);
            }
            let Some(seat) = self.next_target(job, tries) else {
                let throttled = self.throttled_now(job, tries);
                tries.refusal = throttled.or(tries.refusal);
                return tries.give_up(Refusal::retry(Reason::NoTarget, NO_TARGET_RETRY));
            };
            let attempt = self.attempt(job, &seat, tries).await;
            if let Some(answer) = self.settle(job, seat, attempt, tries).await? {
                return Ok(answer);
            }
        }
    }

    /// The refusal to return if no target of the service accepts requests from this entry now.
    fn throttled_now(&self, job: &Job, tries: &Tries) -> Option<Refusal> {
        let targets = self.board.targets()?;
        self.throttled(job, tries.service.as_deref()?, &targets.value)
    }

    /// Handles the outcome of an attempt: returns an answer, none for another attempt, or a refusal.
    async fn settle(
        &self,
        job: &Job,
        seat: Seat,
        attempt: Attempt,
        tries: &mut Tries,
    ) -> Result<Option<Answer>, Refusal> {
        match attempt {
            Attempt::Answered(answer) => {
                self.loads.note_good(seat.key);
                if let Some(place) = &seat.target.membership {
                    self.gates.answered(&place.group);
                }
                if matches!(answer, Answer::Complete(_)) {
                    self.board.quarantine.note_answer(&job.outbound.fingerprint);
                }
                tries.tried.push(seat);
                return Ok(Some(answer));
            }
            // The next attempt was charged to the budget when the target was abandoned.
            Attempt::Left => {
                tries.lost = Some(Refusal::new(Reason::NoAnswer));
                tries.tried.push(seat);
                return Ok(None);
            }
            Attempt::NotSent => {
                self.loads.note_failure(seat.key);
                return tries.pass_over(Refusal::retry(Reason::Unreachable, TURNED_AWAY_RETRY), |_| true);
            }
            Attempt::Refused(rejection) if rejection.is_gone(&seat.target) => {
                self.loads.note_gone(seat.key);
                let paid = |tries: &Tries| self.spend(job, tries, Cause::Gone);
                return tries.pass_over(Refusal::retry(Reason::TurnedAway, TURNED_AWAY_RETRY), paid);
            }
            Attempt::Refused(rejection) => {
                self.note_rejection(job, &seat, &rejection);
                self.leave_group(job, tries);
                tries.refusal = Some(Refusal::retry(Reason::TurnedAway, TURNED_AWAY_RETRY));
            }
            Attempt::Failed(whole) => tries.failure = Some(whole),
            Attempt::Lost(loss) => self.lost(job, &seat, loss, tries).await?,
        }
        tries.tried.push(seat);
        if self.may_send_again(job, tries) {
            return Ok(None);
        }
        if tries.refusal.is_some() {
            tries.refusal = self.throttled_now(job, tries).or(tries.refusal);
        }
        tries.give_up(Refusal::new(Reason::NoAnswer)).map(Some)
    }

    /// Runs one attempt, up to a complete reply or the first event. A target that turns out to be a straggler, or that
    /// is unresponsive while others respond, is abandoned if the request may go elsewhere: with a straggler each pass
    /// of the group would wait for that one rank, and with an unresponsive target the caller would wait in vain.
    async fn attempt(&self, job: &Job, seat: &Seat, tries: &Tries) -> Attempt {
        let mut sending = std::pin::pin!(self.send(job, seat));
        if let Some(place) = &seat.target.membership {
            match tokio::time::timeout(gate::TAKEN_AFTER, &mut sending).await {
                Ok(attempt) => return attempt,
                Err(_elapsed) => self.gates.taken(&place.group),
            }
        }
        let sends = tries.tried.len() + 1;
        let left = tokio::select! {
            attempt = &mut sending => return attempt,
            () = self.loads.slow.becomes(seat.key) => self.may_leave(job, &seat.target.id, sends, tries),
            verdict = self.silences.outlasted(job.first_wait(seat)) => {
                self.may_leave_silent(job, seat, verdict, sends, tries)
            }
        };
        if left { Attempt::Left } else { sending.await }
    }

    async fn send(&self, job: &Job, seat: &Seat) -> Attempt {
        let running = self.loads.enter(seat);
        let since = Instant::now();
        let outcome = self.caller.send(seat, &job.outbound).await;
        if matches!(outcome, Outcome::Complete(_)) {
            self.silences.note(seat, Awaited::Complete, since);
        }
        match outcome {
            Outcome::Begun(begun) => match self.begin(job, begun, running).await {
                Ok(answer) => {
                    self.silences.note(seat, job.awaited(), since);
                    Attempt::Answered(answer)
                }
                Err(loss) => Attempt::Lost(loss),
            },
            Outcome::Complete(whole) if is_failure(whole.status) && job.outbound.may_repeat => Attempt::Failed(whole),
            Outcome::Complete(whole) => Attempt::Answered(Answer::Complete(whole)),
            Outcome::NotSent => Attempt::NotSent,
            Outcome::Refused(rejection) => Attempt::Refused(rejection),
            Outcome::Lost(loss) => Attempt::Lost(loss),
        }
    }

    /// Handles an attempt without a complete reply, which is final unless the request may run again.
    async fn lost(&self, job: &Job, seat: &Seat, loss: Loss, tries: &mut Tries) -> Result<(), Refusal> {
        self.loads.note_failure(seat.key);
        self.look_after(job, seat, loss).await;
        let reason = if loss == Loss::Timeout {
            Reason::NoAnswer
        } else {
            Reason::BrokenAnswer
        };
        tries.lost = Some(Refusal::new(reason));
        if job.outbound.may_repeat {
            return Ok(());
        }
        tries.tried.push(seat.clone());
        Err(Refusal::new(reason))
    }

    /// The refusal of a request that is quarantined because targets terminated while running it.
    pub(crate) fn held(&self, request: Fingerprint) -> Option<Refusal> {
        let hold = self.board.quarantine.held(&request)?;
        log::info!(target: DECISION, decision = "held", content = request.short().as_str(), ends = hold.ends, left_ms = hold.left.as_millis() as u64; "request is quarantined because targets terminated while running it");
        Some(Refusal::retry(Reason::Quarantined, hold.left))
    }

    /// Checks whether the target that did not complete its reply has terminated or only the connection was lost. A
    /// termination is recorded against the request, which may have caused it.
    pub(crate) async fn look_after(&self, job: &Job, seat: &Seat, loss: Loss) {
        let ended = loss == Loss::Broken && self.caller.pool.has_ended(seat).await;
        if ended {
            self.board
                .quarantine
                .note_end(job.outbound.fingerprint, End::from(seat.start));
        }
        log::info!(
            target: DECISION,
            decision = "lost_answer",
            request = job.outbound.head.id_text(),
            content = job.outbound.fingerprint.short().as_str(),
            at = seat.target.id.as_str(),
            loss = loss.name(),
            ended;
            "no complete reply from the target"
        );
    }

    pub(crate) fn may_send_again(&self, job: &Job, tries: &Tries) -> bool {
        if tries.tried.len() >= job.route().attempts as usize {
            return false;
        }
        let paid = self.spend(job, tries, Cause::Unserved);
        let counter = if paid {
            &self.figures.repeats
        } else {
            &self.figures.unpaid_repeats
        };
        counter.add_one();
        paid
    }

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
    fn spend(&self, job: &Job, tries: &Tries, cause: Cause) -> bool {
        let Some(service) = tries.service.as_deref() else {
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
        let life_ms = now.since(self.started).as_millis() as u64;
        log::info!(
            target: DECISION,
            decision = "repeat",
            request = job.outbound.head.id_text(),
            service,
            cause = cause.name(),
            paid = verdict.source.map_or("no", Source::name),
            requests = verdict.requests,
            credit = verdict.credit,
            slack_used = verdict.slack_used,
            share,
            sharers,
            life_ms;
            "retry requested from the budget"
        );
        verdict.source.is_some()
    }

    /// Waits for the first event of a stream. Other long replies are returned as they are.
    async fn begin(&self, job: &Job, begun: Begun, running: Running) -> Result<Answer, Loss> {
        if !is_stream(job) || !begun.status.is_success() {
            return Ok(Answer::Long(Box::new(begun), running));
        }
        let last = job.outbound.last_event.or(job.outbound.head.last_event);
        let mut run = Run::new(begun.rest, last);
        let first = run.next(job.outbound.until).await?;
        Ok(Answer::Stream(Box::new(Stream {
            status: begun.status,
            headers: begun.headers,
            first,
            run,
            running,
        })))
    }

    /// Records the end of a request. Failures are logged as warnings, which the log never drops.
    pub(crate) fn end(&self, job: &Job, outcome: &str, tried: &Tried, status: u16) {
        self.figures.end(job.route().kind, outcome, job.began.elapsed());
        let sound = matches!(outcome, "answered" | "passed_on" | "streamed" | CALLER_LEFT) && status < 500;
        let level = if sound { log::Level::Info } else { log::Level::Warn };
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
            targets:? = tried.ids(),
            prompt_tokens = job.outbound.head.size.prompt,
            took_ms = job.began.elapsed().as_millis() as u64;
            "request finished"
        );
    }
}

/// The workspace as a header value, or none if it is not a valid one; names are validated when they are read.
pub(crate) fn header_of(name: &str) -> Option<HeaderValue> {
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
