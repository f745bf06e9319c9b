//! Answers on their way to callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use sparscale_policy::response_timeout::ResponsePart;
use sparscale_policy::response_tracker::PendingResponse;
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::answer::{Answer, CALLER_LEFT};
use crate::attempt::{RemainingBody, ResponseError};
use crate::attempt_history::AttemptHistory;
use crate::body::Body;
use crate::events::Event;
use crate::exchange::{Gateway, Job, longest_pause_of};
use crate::loads::InFlightGuard;
use crate::queues::Permit;
use crate::relay::{Run, join};
use crate::response_monitor::UnresponsiveTarget;

impl Gateway {
    /// Serves a request that has passed all checks.
    pub(crate) async fn serve(self: &Arc<Self>, job: Job) -> Response<Body> {
        self.credit_retry_budgets(&job);
        let mut tries = AttemptHistory::default();
        let served = match self.acquire_permit(&job, &mut tries).await {
            Ok(permit) => self.answer(&job, &mut tries).await.map(|answer| (permit, answer)),
            Err(refusal) => Err(refusal),
        };
        match served {
            Ok((permit, answer)) => respond(self, job, tries, permit, answer),
            Err(refusal) => {
                let status = refusal.reason.status().as_u16();
                self.record_end(&job, refusal.reason.name(), &tries.attempted_targets, status);
                refusal.response(&self.target_client.dialect.request_id, job.outbound.head.id.as_ref())
            }
        }
    }
}

/// The answer as the caller gets it.
fn respond(
    gateway: &Arc<Gateway>,
    job: Job,
    tries: AttemptHistory,
    permit: Option<Permit>,
    answer: Answer,
) -> Response<Body> {
    gateway.metrics.first(job.route().kind, job.arrived_at.elapsed());
    match answer {
        Answer::Complete(whole) => {
            gateway.record_end(&job, "answered", &tries.attempted_targets, whole.status.as_u16());
            let body = Full::new(whole.body).map_err(|never| match never {}).boxed_unsync();
            response(whole.status, whole.headers, body)
        }
        Answer::Long(begun, running) => {
            gateway.record_end(&job, "passed_on", &tries.attempted_targets, begun.status.as_u16());
            let (status, headers) = (begun.status, begun.headers);
            let long = Long {
                gateway: Arc::clone(gateway),
                job,
                tries,
                collected: Some(begun.buffered),
                rest: begun.remainder,
                _running: running,
            };
            response(status, headers, long.into_body())
        }
        Answer::Stream(stream) => {
            if let Some(permit) = &permit {
                permit.record_first_event();
            }
            let (status, headers) = (stream.status, stream.headers);
            let relay = Relay {
                gateway: Arc::clone(gateway),
                job,
                first: stream.first,
                run: stream.run,
                running: stream.running,
                _permit: permit,
                tries,
                pauses: Pauses::begin(),
                stays: false,
                over: false,
            };
            response(status, headers, relay.into_body())
        }
    }
}

/// A stream on its way to the caller.
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    first: Option<Event>,
    run: Run,
    /// Counts as load of the target for as long as it is held.
    running: InFlightGuard,
    _permit: Option<Permit>,
    tries: AttemptHistory,
    pauses: Pauses,
    /// Whether it stays where it is, even if that is slow.
    stays: bool,
    over: bool,
}

/// How evenly events come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pauses {
    began: Instant,
    last: Instant,
    /// Longest time between two events so far.
    pub(crate) longest: Duration,
}

impl Pauses {
    /// The first event is there.
    fn begin() -> Self {
        let now = Instant::now();
        Self {
            began: now,
            last: now,
            longest: Duration::ZERO,
        }
    }

    /// Another event is there.
    fn note(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now.saturating_duration_since(self.last));
        self.last = now;
    }
}

impl Relay {
    fn into_body(self) -> Body {
        let pieces = stream::unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(pieces))
    }

    /// The next bytes for the caller; an error breaks the connection, so that the answer does not look whole.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.over {
            return None;
        }
        loop {
            if let Some(first) = self.first.take() {
                self.pauses.note();
                return Some(Ok(join(first, &mut self.run)));
            }
            let next = tokio::select! {
                biased;
                next = self.run.next(self.job.outbound.deadline) => next,
                () = self.gateway.loads.stragglers.wait_until_straggler(self.running.target), if !self.stays => {
                    self.leave_slow().await;
                    continue;
                }
                verdict = silence(&self.gateway, &self.job, &self.tries), if !self.stays => {
                    self.leave_silent(verdict).await;
                    continue;
                }
            };
            match next {
                Ok(Some(event)) => {
                    self.note_event();
                    return Some(Ok(join(event, &mut self.run)));
                }
                Ok(None) => {
                    let request = &self.job.outbound.fingerprint;
                    self.gateway.board.quarantine.record_answer(request);
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

    /// Another event is there.
    fn note_event(&mut self) {
        if let Some(seat) = self.tries.attempted_targets.last() {
            self.gateway
                .response_monitor
                .record_response(seat, ResponsePart::NextEvent, self.pauses.last);
        }
        self.pauses.note();
    }

    /// Leaves a target that holds its group back, if the stream can go on elsewhere. If that fails in the end, the run that
    /// was left shows as broken.
    async fn leave_slow(&mut self) {
        let sends = self.tries.attempted_targets.len();
        let at = self.tries.attempted_targets.last().map_or("", |seat| &seat.target.id);
        let left = self.gateway.may_abandon_straggler(&self.job, at, sends, &self.tries);
        self.leave(left).await;
    }

    /// The same for one that is silent.
    async fn leave_silent(&mut self, verdict: UnresponsiveTarget) {
        let sends = self.tries.attempted_targets.len();
        let may_leave = |seat| {
            self.gateway
                .may_abandon_unresponsive(&self.job, seat, verdict, sends, &self.tries)
        };
        let left = self.tries.attempted_targets.last().is_some_and(may_leave);
        self.leave(left).await;
    }

    async fn leave(&mut self, left: bool) {
        self.stays = !left;
        if left {
            self.run.leave();
            self.go_on(ResponseError::ConnectionLost).await;
        }
    }

    /// Goes on elsewhere after the last event that the caller has, if that may be.
    async fn resume(&mut self, loss: ResponseError) -> bool {
        if let Some(seat) = self.tries.attempted_targets.last() {
            self.gateway.investigate_lost_response(&self.job, seat, loss).await;
        }
        let resumable = self.job.outbound.retryable && loss != ResponseError::Timeout;
        resumable && self.gateway.may_retry(&self.job, &self.tries) && self.go_on(loss).await
    }

    /// Sends the rest of the stream elsewhere.
    async fn go_on(&mut self, loss: ResponseError) -> bool {
        self.job.outbound.last_event_id = self.run.last().or(self.job.outbound.last_event_id);
        let Ok(Answer::Stream(stream)) = self.gateway.answer(&self.job, &mut self.tries).await else {
            return false;
        };
        log::info!(target: DECISION, decision = "resumed", request = self.job.outbound.head.id_text(), after = self.job.outbound.last_event_id, loss = loss.name(); "stream goes on elsewhere");
        self.gateway.metrics.resumed.add_one();
        self.first = stream.first;
        self.run = stream.run;
        self.running = stream.running;
        true
    }

    /// Says of a stream that its caller had to wait for events how long, and for which.
    fn log_pauses(&self) {
        let first = self.pauses.began.saturating_duration_since(self.job.arrived_at);
        log::info!(target: DECISION, decision = "pauses", request = self.job.outbound.head.id_text(), first_ms = first.as_millis() as u64, longest_pause_ms = self.pauses.longest.as_millis() as u64; "stream");
    }

    fn end(&mut self, outcome: &str) {
        self.over = true;
        self.log_pauses();
        self.gateway
            .record_end(&self.job, outcome, &self.tries.attempted_targets, 200);
    }
}

/// Returns once the target of a stream has been silent for too long.
async fn silence(gateway: &Gateway, job: &Job, tries: &AttemptHistory) -> UnresponsiveTarget {
    let pause = longest_pause_of(job);
    let Some(seat) = tries.attempted_targets.last().filter(|_| !pause.is_zero()) else {
        return std::future::pending().await;
    };
    let wait = PendingResponse {
        instance: seat,
        response_part: ResponsePart::NextEvent,
        due_within: pause,
        caller_timeout: job.given_up_after(),
    };
    gateway.response_monitor.wait_until_unresponsive(wait).await
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.over {
            self.gateway
                .record_end(&self.job, CALLER_LEFT, &self.tries.attempted_targets, 200);
        }
    }
}

fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A long answer on its way to the caller.
struct Long {
    gateway: Arc<Gateway>,
    job: Job,
    tries: AttemptHistory,
    /// What was collected before it was found to be long.
    collected: Option<Bytes>,
    rest: RemainingBody,
    /// Counts as load of the target for as long as it is held.
    _running: InFlightGuard,
}

impl Long {
    fn into_body(self) -> Body {
        let pieces = stream::unfold(self, |mut long| async move {
            let piece = long.next().await?;
            Some((piece.map(Frame::data), long))
        });
        BodyExt::boxed_unsync(StreamBody::new(pieces))
    }

    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(bytes) = self.collected.take() {
            return Some(Ok(bytes));
        }
        let next = tokio::time::timeout_at(self.job.outbound.deadline, self.rest.next()).await;
        match next.unwrap_or(Err(ResponseError::Timeout)) {
            Ok(Some(bytes)) => Some(Ok(bytes)),
            Ok(None) => None,
            Err(loss) => {
                if let Some(seat) = self.tries.attempted_targets.last() {
                    self.gateway.investigate_lost_response(&self.job, seat, loss).await;
                }
                Some(Err(std::io::Error::other(loss.name())))
            }
        }
    }
}
