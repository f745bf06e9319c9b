//! One request from a caller, from its head to its answer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::header::HeaderValue;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use sparscale_belief::Board;
use sparscale_catalog::{Catalog, Kind, Roster, Route, RouteKey, Target};
use sparscale_mesh::Mesh;
use sparscale_telemetry::DECISION;
use sparscale_wire::RankLoad;
use tokio::time::Instant;

use crate::attempt::{Begun, Caller, Loss, Outbound, Outcome, Rest, Turned, Whole};
use crate::budget::{Allowance, Budget};
use crate::events::Event;
use crate::figures::Figures;
use crate::loads::{Loads, Running};
use crate::refusal::{Reason, Refusal};
use crate::relay::{Run, join};
use crate::server::Body;
use crate::split::Splits;

/// Tries that reach no target, at most; they cost a target nothing.
const MAX_UNREACHED: u32 = 3;
/// When a caller is told to come back after a target turned its request away.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(200);
/// Outcome of a request whose caller did not wait for its answer.
const CALLER_LEFT: &str = "caller_left";
/// When a caller is told to come back if no target is there.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// What all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) caller: Caller,
    pub(crate) loads: Arc<Loads>,
    pub(crate) hall: String,
    pub(crate) allowance: Allowance,
    pub(crate) budgets: Mutex<HashMap<String, Budget>>,
    pub(crate) splits: Splits,
    pub(crate) figures: Figures,
    /// Entries that share the budget, this one included.
    pub(crate) entries: AtomicUsize,
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
    fn route(&self) -> &Route {
        self.catalog.route(self.route)
    }
}

/// The sends of one request.
#[derive(Debug, Default)]
struct Tries {
    /// Service that takes the request, once it is chosen.
    service: Option<String>,
    tried: Vec<String>,
    unreached: u32,
    /// Best answer so far, if it is a failure of a target's.
    failure: Option<Whole>,
    refusal: Option<Refusal>,
}

/// An answer that can go to the caller.
enum Answer {
    Whole(Whole),
    /// Longer than what is collected: passed on as it comes.
    Long(Box<Begun>, Running),
    Stream(Box<Stream>),
}

/// A stream of events with its first event.
struct Stream {
    status: StatusCode,
    headers: HeaderMap,
    first: Option<Event>,
    run: Run,
    running: Running,
    tries: Tries,
}

impl Gateway {
    /// Serves a request that has passed all checks.
    pub(crate) async fn serve(self: &Arc<Self>, job: Job) -> Response<Body> {
        self.earn(&job);
        let mut tries = Tries::default();
        match self.answer(&job, &mut tries).await {
            Ok(answer) => self.respond(job, answer),
            Err(refusal) => {
                self.end(
                    &job,
                    refusal.reason.name(),
                    &tries.tried,
                    refusal.reason.status().as_u16(),
                );
                refusal.response(&self.caller.dialect.request_id, job.outbound.head.id.as_ref())
            }
        }
    }

    /// Sends until there is an answer or nothing more may be tried.
    async fn answer(&self, job: &Job, tries: &mut Tries) -> Result<Answer, Refusal> {
        loop {
            if Instant::now() >= job.outbound.until {
                return tries.give_up(Refusal::new(Reason::TooLate));
            }
            let Some(target) = self.next_target(job, tries) else {
                return tries.give_up(Refusal::retry(Reason::NoTarget, NO_TARGET_RETRY));
            };
            let running = self.loads.enter(&target);
            match self.caller.send(&target, &job.outbound).await {
                Outcome::NotSent => {
                    self.loads.note_failure(&target.id);
                    tries.unreached += 1;
                    tries
                        .refusal
                        .get_or_insert(Refusal::retry(Reason::Unreachable, TURNED_AWAY_RETRY));
                    if tries.unreached >= MAX_UNREACHED {
                        return tries.give_up(Refusal::retry(Reason::Unreachable, TURNED_AWAY_RETRY));
                    }
                    continue;
                }
                Outcome::Refused(turned) => {
                    self.note_turned(&target, &turned);
                    let wait = turned.retry_after.unwrap_or(TURNED_AWAY_RETRY);
                    tries.refusal = Some(Refusal::retry(Reason::TurnedAway, wait));
                }
                Outcome::Whole(whole) if is_failure(whole.status) && job.outbound.may_repeat => {
                    tries.failure = Some(whole);
                }
                Outcome::Whole(whole) => {
                    self.loads.note_good(&target.id);
                    return Ok(Answer::Whole(whole));
                }
                Outcome::Begun(begun) => match self.begin(job, begun, running).await {
                    Ok(answer) => {
                        self.loads.note_good(&target.id);
                        tries.tried.push(target.id);
                        return Ok(answer.with_tries(std::mem::take(tries)));
                    }
                    Err(loss) => self.lost(job, &target, loss, tries)?,
                },
                Outcome::Lost(loss) => self.lost(job, &target, loss, tries)?,
            }
            tries.tried.push(target.id);
            if !self.may_send_again(job, tries) {
                return tries.give_up(Refusal::new(Reason::NoAnswer));
            }
        }
    }

    fn next_target(&self, job: &Job, tries: &mut Tries) -> Option<Target> {
        let roster = self.board.roster()?.value;
        if tries.service.is_none() {
            tries.service = self.service(job, &roster);
        }
        let service = tries.service.clone()?;
        let reported = |target: &Target| self.reported(target);
        let choose = |tried: &[String]| self.loads.choose(&roster, &service, tried, &self.hall, reported);
        let untried = choose(&tries.tried);
        // All were tried: what may run more than once may go to one of them again.
        untried.or_else(|| job.outbound.may_repeat.then(|| choose(&[])).flatten())
    }

    /// Load of a rank as its group's conductor told it.
    fn reported(&self, target: &Target) -> Option<RankLoad> {
        let place = target.membership.as_ref()?;
        let group = self.mesh.group(&place.group)?;
        group.ranks.get(place.rank).copied().flatten()
    }

    /// The service whose turn it is on the route; one without targets is passed over.
    fn service(&self, job: &Job, roster: &Roster) -> Option<String> {
        let shares = &job.route().shares;
        let there = |service: &str| roster.of_service(service).next().is_some();
        self.splits.next(&job.route().name, shares, there)
    }

    fn note_turned(&self, target: &Target, turned: &Turned) {
        // The target at fault may be another one, on which this one waited.
        let at_fault = turned.at_fault.as_deref().unwrap_or(&target.id);
        if turned.status == StatusCode::MISDIRECTED_REQUEST || at_fault != target.id {
            self.loads.note_failure(at_fault);
        }
    }

    /// A send without a whole answer: final unless the request may run again.
    fn lost(&self, job: &Job, target: &Target, loss: Loss, tries: &mut Tries) -> Result<(), Refusal> {
        self.loads.note_failure(&target.id);
        log::info!(target: DECISION, decision = "lost_answer", request = job.outbound.head.id_text(), at = target.id.as_str(), loss = loss.name(); "no whole answer");
        let reason = if loss == Loss::Timeout {
            Reason::NoAnswer
        } else {
            Reason::BrokenAnswer
        };
        tries.refusal = Some(Refusal::new(reason));
        if job.outbound.may_repeat {
            return Ok(());
        }
        tries.tried.push(target.id.clone());
        Err(Refusal::new(reason))
    }

    fn may_send_again(&self, job: &Job, tries: &Tries) -> bool {
        if tries.tried.len() >= job.route().attempts as usize {
            return false;
        }
        let paid = self.spend(tries);
        let counter = if paid {
            &self.figures.repeats
        } else {
            &self.figures.unpaid_repeats
        };
        counter.add_one();
        paid
    }

    fn earn(&self, job: &Job) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        for share in &job.route().shares {
            let budget = budgets
                .entry(share.service.clone())
                .or_insert_with(|| Budget::new(self.allowance));
            budget.earn(now);
        }
    }

    /// Whether the budget of the service allows one more send.
    fn spend(&self, tries: &Tries) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = tries.service.as_ref().and_then(|service| budgets.get_mut(service));
        let entries = self.entries.load(Ordering::Relaxed);
        budget.is_some_and(|budget| budget.spend(entries, Instant::now()))
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
            tries: Tries::default(),
        })))
    }

    fn respond(self: &Arc<Self>, job: Job, answer: Answer) -> Response<Body> {
        match answer {
            Answer::Whole(whole) => {
                self.figures.first(job.route().kind, job.began.elapsed());
                self.end(&job, "answered", &[], whole.status.as_u16());
                let body = Full::new(whole.body).map_err(|never| match never {}).boxed_unsync();
                response(whole.status, whole.headers, body)
            }
            Answer::Long(begun, running) => {
                self.figures.first(job.route().kind, job.began.elapsed());
                self.end(&job, "passed_on", &[], begun.status.as_u16());
                response(
                    begun.status,
                    begun.headers,
                    long_body(begun.collected, begun.rest, job.outbound.until, running),
                )
            }
            Answer::Stream(stream) => {
                self.figures.first(job.route().kind, job.began.elapsed());
                let (status, headers) = (stream.status, stream.headers.clone());
                response(status, headers, self.stream_body(job, *stream))
            }
        }
    }

    /// Notes that a request is over; a failure is worth a warning, which the log never leaves out.
    fn end(&self, job: &Job, outcome: &str, targets: &[String], status: u16) {
        self.figures.end(job.route().kind, outcome, job.began.elapsed());
        let sound = matches!(outcome, "answered" | "passed_on" | "streamed" | CALLER_LEFT) && status < 500;
        let level = if sound { log::Level::Info } else { log::Level::Warn };
        log::log!(
            target: DECISION,
            level,
            decision = "end",
            request = job.outbound.head.id_text(),
            route = job.route().name.as_str(),
            version = job.catalog.version(),
            outcome,
            status,
            targets:? = targets,
            prompt_tokens = job.outbound.head.size.prompt,
            took_ms = job.began.elapsed().as_millis() as u64;
            "request"
        );
    }

    fn stream_body(self: &Arc<Self>, job: Job, stream: Stream) -> Body {
        let relay = Relay {
            gateway: Arc::clone(self),
            job,
            first: stream.first,
            run: stream.run,
            running: stream.running,
            tries: stream.tries,
            over: false,
            events: 0,
        };
        let pieces = stream::unfold(relay, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(pieces))
    }
}

impl Answer {
    fn with_tries(self, tries: Tries) -> Self {
        match self {
            Self::Stream(stream) => Self::Stream(Box::new(Stream { tries, ..*stream })),
            other => other,
        }
    }
}

impl Tries {
    /// The best that can be said now: a target's own failure, a refusal that was met, or `otherwise`.
    fn give_up(&mut self, otherwise: Refusal) -> Result<Answer, Refusal> {
        match self.failure.take() {
            Some(failure) => Ok(Answer::Whole(failure)),
            None => Err(self.refusal.unwrap_or(otherwise)),
        }
    }
}

/// A stream on its way to the caller.
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    first: Option<Event>,
    run: Run,
    running: Running,
    tries: Tries,
    over: bool,
    events: u64,
}

impl Relay {
    /// The next bytes for the caller; an error breaks the connection, so that the answer does not look whole.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.over {
            return None;
        }
        loop {
            if let Some(first) = self.first.take() {
                return Some(Ok(self.pass(first)));
            }
            match self.run.next(self.job.outbound.until).await {
                Ok(Some(event)) => return Some(Ok(self.pass(event))),
                Ok(None) => {
                    self.end("streamed");
                    return None;
                }
                Err(loss) => {
                    if !self.resume(loss).await {
                        self.end(loss.name());
                        return Some(Err(std::io::Error::other("the answer broke off")));
                    }
                }
            }
        }
    }

    fn pass(&mut self, event: Event) -> Bytes {
        self.events += 1;
        join(event, &mut self.run)
    }

    /// Goes on elsewhere after the last event that the caller has.
    async fn resume(&mut self, loss: Loss) -> bool {
        let resumable = self.job.outbound.may_repeat && loss != Loss::Timeout;
        if !resumable || !self.gateway.may_send_again(&self.job, &self.tries) {
            return false;
        }
        self.job.outbound.last_event = self.run.last().or(self.job.outbound.last_event);
        let mut tries = std::mem::take(&mut self.tries);
        let resumed = self.gateway.answer(&self.job, &mut tries).await;
        self.tries = tries;
        let Ok(Answer::Stream(stream)) = resumed else {
            return false;
        };
        log::info!(target: DECISION, decision = "resumed", request = self.job.outbound.head.id_text(), after = self.job.outbound.last_event, loss = loss.name(); "stream goes on elsewhere");
        self.gateway.figures.resumed.add_one();
        self.tries = stream.tries;
        self.first = stream.first;
        self.run = stream.run;
        self.running = stream.running;
        true
    }

    fn end(&mut self, outcome: &str) {
        self.over = true;
        self.gateway.end(&self.job, outcome, &self.tries.tried, 200);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.over {
            self.gateway.end(&self.job, CALLER_LEFT, &self.tries.tried, 200);
        }
    }
}

fn is_stream(job: &Job) -> bool {
    matches!(job.route().kind, Kind::Stream { .. })
}

fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The rest of a long answer as it comes.
fn long_body(collected: Bytes, rest: Rest, until: Instant, running: Running) -> Body {
    let state = (Some(collected), rest, running);
    let pieces = stream::unfold(state, move |(collected, mut rest, running)| async move {
        if let Some(bytes) = collected {
            return Some((Ok(Frame::data(bytes)), (None, rest, running)));
        }
        let next = tokio::time::timeout_at(until, rest.next()).await;
        let piece = match next.unwrap_or(Err(Loss::Timeout)) {
            Ok(Some(bytes)) => Ok(Frame::data(bytes)),
            Ok(None) => return None,
            Err(loss) => Err(std::io::Error::other(loss.name())),
        };
        Some((piece, (None, rest, running)))
    });
    BodyExt::boxed_unsync(StreamBody::new(pieces))
}

/// The workspace as a header value; names are checked where they come in.
pub(crate) fn header_of(name: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(name).ok()
}
