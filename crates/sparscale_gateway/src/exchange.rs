//! One request from a caller, from its head to its answer.

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

/// Groups of a service that one request looks at, drawn anew for each: of a hundred, the best of a few is nearly as good as the
/// best, and looking at all would cost an entry more than the request itself.
const MAX_LOOKED_AT: usize = 8;
/// When a caller is told to come back after a target turned its request away.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(200);
/// When a caller is told to come back if no target is there.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// What all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) caller: Caller,
    pub(crate) loads: Arc<Loads>,
    /// Targets that owe answers.
    pub(crate) silences: Silences,
    pub(crate) hall: String,
    pub(crate) allowance: Allowance,
    pub(crate) budgets: Mutex<HashMap<String, Budget>>,
    pub(crate) splits: Splits,
    pub(crate) figures: Figures,
    /// Entries that share the slack of the budgets, this one included; 0 while that is not known.
    pub(crate) sharers: AtomicUsize,
    /// Start of this process.
    pub(crate) started: Moment,
    pub(crate) queues: Arc<Queues>,
    /// Whether groups run.
    pub(crate) gates: Gates,
    /// What callers spent on earlier tries.
    pub(crate) deadlines: Mutex<Deadlines>,
    /// When callers of each service were told to come back.
    pub(crate) returns: Mutex<HashMap<String, Returns>>,
}

/// How a send went.
enum Attempt {
    /// An answer for the caller.
    Answered(Answer),
    /// The target was not reached: nothing was sent.
    NotSent,
    /// The target says that it has not run the request.
    Refused(Rejection),
    /// The target failed, and the request may run again.
    Failed(Reply),
    /// It may have run; no whole answer came.
    Lost(Loss),
    /// Its target was left for another one.
    Left,
}

/// Why a request is to be sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Its target turned it away, failed, or gave no whole answer.
    Unserved,
    /// Another incarnation had its target's address.
    Gone,
    /// Its target held the group back.
    LeftSlow,
    /// Its target was silent.
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

/// A request that may be sent.
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

    /// What its target owes first.
    fn awaited(&self) -> Awaited {
        if is_stream(self) {
            Awaited::First
        } else {
            Awaited::Complete
        }
    }

    /// What it waits for once it is sent.
    fn first_wait<'a>(&self, seat: &'a Seat) -> Wait<'a> {
        Wait {
            seat,
            awaited: self.awaited(),
            allowed: self.route().objective,
            given_up_after: self.given_up_after(),
        }
    }

    /// Silence after which its caller gives up.
    pub(crate) fn given_up_after(&self) -> Duration {
        match self.route().kind {
            Kind::Stream { .. } => patience::longest_silence(self.route().objective, pause_of(self)),
            Kind::Once | Kind::Repeatable => self.outbound.until.saturating_duration_since(self.began),
        }
    }
}

impl Gateway {
    /// Waits at the queue of the group that is to serve the request, if a group does.
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

    /// Time that the caller spent on tries before this one.
    fn spent(&self, job: &Job) -> Duration {
        let Some(deadline) = job.outbound.head.deadline else {
            return Duration::ZERO;
        };
        let mut deadlines = self.deadlines.lock().unwrap_or_else(PoisonError::into_inner);
        deadlines.spent(&job.route().name, deadline, job.began.into_std())
    }

    /// Sends until there is an answer or nothing more may be tried.
    pub(crate) async fn answer(&self, job: &Job, tries: &mut Tries) -> Result<Answer, Refusal> {
        loop {
            if self.board.now() >= job.outbound.due {
                return tries.give_up(Refusal::at_once(Reason::TooLate));
            }
            self.leave_closed_group(job, tries);
            if self.closed(job, tries).await {
                return tries.give_up(Refusal::retry(Reason::GroupClosed, NO_TARGET_RETRY));
            }
            // Looked at before each send: targets may have ended under it elsewhere since it came, or under it here.
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

    /// The refusal of a request whose service takes nothing from this entry now.
    fn throttled_now(&self, job: &Job, tries: &Tries) -> Option<Refusal> {
        let targets = self.board.targets()?;
        self.throttled(job, tries.service.as_deref()?, &targets.value)
    }

    /// Draws what follows from a send: an answer, another send (none), or a refusal.
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
            // Its next send was paid for when it left.
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

    /// Sends once, up to a whole answer or the first event. A target that turns out to hold its group back, or that is
    /// silent while others are heard, is left if the request may go elsewhere: each pass of the group would wait for
    /// the one, and the caller in vain for the other.
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

    /// A send without a whole answer: final unless the request may run again.
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

    /// The refusal of a request that is held back, because targets ended under it.
    pub(crate) fn held(&self, request: Fingerprint) -> Option<Refusal> {
        let hold = self.board.quarantine.held(&request)?;
        log::info!(target: DECISION, decision = "held", content = request.short().as_str(), ends = hold.ends, left_ms = hold.left.as_millis() as u64; "targets ended under the request");
        Some(Refusal::retry(Reason::Quarantined, hold.left))
    }

    /// Looks whether the target at which an answer was lost has ended, or only the connection to it. The end of a target
    /// speaks against what it ran.
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
            "no whole answer"
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

    /// Whether the budget of the service allows one more send of a request.
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
            "one more send"
        );
        verdict.source.is_some()
    }

    /// Waits for the first event of a stream; any other long answer is taken as it is.
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

    /// Notes that a request is over; a failure is worth a warning, which the log never leaves out.
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
            "request"
        );
    }
}

/// The workspace as a header value; names are checked where they come in.
pub(crate) fn header_of(name: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(name).ok()
}

/// Longest pause that the request's route allows between events.
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
