//! Sends responses to callers. A stream whose target fails or is abandoned is resumed at another target.

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

use crate::attempt_history::AttemptHistory;
use crate::caller_response::{CALLER_DISCONNECTED, CallerResponse};
use crate::event_stream::{EventStream, join_buffered};
use crate::events::Event;
use crate::exchange::{Gateway, Job, max_pause_of};
use crate::exit::stopping_refusal;
use crate::loads::InFlightGuard;
use crate::queues::Permit;
use crate::refusal::Refusal;
use crate::response_body::RemainingBody;
use crate::response_error::ResponseError;
use crate::response_monitor::UnresponsiveTarget;
use crate::response_room::ResponseRoom;
use sparscale_intake::Body;

impl Gateway {
    /// Serves a request that has passed all checks.
    pub(crate) async fn serve(self: &Arc<Self>, job: Job) -> Response<Body> {
        self.credit_retry_budgets(&job);
        let mut history = AttemptHistory::default();
        let result = tokio::select! {
            biased;
            result = self.obtain_admitted(&job, &mut history) => result,
            () = self.exit.responses_due() => {
                history.interrupted_result(stopping_refusal()).map(|response| (None, response))
            }
        };
        match result {
            Ok((permit, response)) => respond(self, job, history, permit, response),
            Err(refusal) => {
                let status = refusal.reason.status().as_u16();
                self.record_end(&job, refusal.reason.name(), &history.attempted_targets, status);
                refusal.response(
                    &self.target_client.header_names.request_id,
                    job.outbound.head.id.as_ref(),
                )
            }
        }
    }

    /// Waits for admission, and then for a response.
    async fn obtain_admitted(
        &self,
        job: &Job,
        history: &mut AttemptHistory,
    ) -> Result<(Option<Permit>, CallerResponse), Refusal> {
        let permit = self.acquire_permit(job, history).await?;
        // Checked again, as the wait may have used up the time.
        if let Some(refusal) = self.exit.refusal(&job.outbound.head, job.route(), job.arrived_at) {
            return Err(refusal);
        }
        let response = self.obtain_response(job, history).await?;
        Ok((permit, response))
    }
}

/// Builds the HTTP response for the caller.
fn respond(
    gateway: &Arc<Gateway>,
    job: Job,
    history: AttemptHistory,
    permit: Option<Permit>,
    response: CallerResponse,
) -> Response<Body> {
    gateway
        .metrics
        .record_response(job.route().kind, job.arrived_at.elapsed());
    match response {
        CallerResponse::Complete(complete) => {
            gateway.record_end(&job, "answered", &history.attempted_targets, complete.status.as_u16());
            let body = Full::new(complete.body).map_err(|never| match never {}).boxed_unsync();
            build_response(complete.status, complete.headers, body)
        }
        CallerResponse::Partial(partial, in_flight) => {
            gateway.record_end(&job, "passed_on", &history.attempted_targets, partial.status.as_u16());
            let (status, headers) = (partial.status, partial.headers);
            let relay = BodyRelay {
                gateway: Arc::clone(gateway),
                job,
                history,
                buffered: Some(partial.buffered),
                remainder: partial.remainder,
                room: partial.room,
                caller_time: CallerTime::default(),
                _in_flight: in_flight,
            };
            build_response(status, headers, relay.into_body())
        }
        CallerResponse::Stream(stream) => {
            if let Some(permit) = &permit {
                permit.record_first_event();
            }
            let (status, headers) = (stream.status, stream.headers);
            let relay = StreamRelay {
                gateway: Arc::clone(gateway),
                job,
                first_event: stream.first_event,
                events: stream.events,
                in_flight: stream.in_flight,
                _permit: permit,
                history,
                timing: EventTiming::begin(),
                caller_time: CallerTime::default(),
                is_pinned: false,
                is_finished: false,
            };
            build_response(status, headers, relay.into_body())
        }
    }
}

/// Forwards an event stream to the caller.
struct StreamRelay {
    gateway: Arc<Gateway>,
    job: Job,
    first_event: Option<Event>,
    events: EventStream,
    /// Counts the request as load of the target until dropped.
    in_flight: InFlightGuard,
    _permit: Option<Permit>,
    history: AttemptHistory,
    timing: EventTiming,
    caller_time: CallerTime,
    /// Whether the stream stays at its target even if that is slow, because it must not move to another.
    is_pinned: bool,
    is_finished: bool,
}

/// Time for which a response waited for its caller to read, which does not count towards the deadline: a caller that
/// reads slowly but steadily gets all of it.
#[derive(Debug, Default)]
struct CallerTime {
    total: Duration,
    part_sent_at: Option<Instant>,
}

impl CallerTime {
    /// Records that a part was handed to the connection of the caller, which now writes it.
    fn begin(&mut self) {
        self.part_sent_at = Some(Instant::now());
    }

    /// Records that the connection takes another part.
    fn end(&mut self) {
        if let Some(part_sent_at) = self.part_sent_at.take() {
            self.total += part_sent_at.elapsed();
        }
    }
}

/// When the events of a stream arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EventTiming {
    first_event_at: Instant,
    last_event_at: Instant,
    /// Longest pause between two events so far.
    pub(crate) longest_pause: Duration,
}

impl EventTiming {
    /// Starts with the first event.
    fn begin() -> Self {
        let now = Instant::now();
        Self {
            first_event_at: now,
            last_event_at: now,
            longest_pause: Duration::ZERO,
        }
    }

    /// Records the arrival of another event.
    fn record_event(&mut self) {
        let now = Instant::now();
        self.longest_pause = self
            .longest_pause
            .max(now.saturating_duration_since(self.last_event_at));
        self.last_event_at = now;
    }
}

impl StreamRelay {
    fn into_body(self) -> Body {
        let chunks = stream::unfold(self, |mut relay| async move {
            relay.caller_time.end();
            let chunk = relay.next().await?;
            relay.caller_time.begin();
            Some((chunk.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(chunks))
    }

    /// Returns the next bytes for the caller. An error aborts the connection, so that the response does not look
    /// complete.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.is_finished {
            return None;
        }
        loop {
            if let Some(first_event) = self.first_event.take() {
                self.timing.record_event();
                return Some(Ok(join_buffered(first_event, &mut self.events)));
            }
            let next = tokio::select! {
                biased;
                next = self.events.next(self.job.outbound.deadline + self.caller_time.total) => next,
                () = self.gateway.loads.stragglers.wait_until_straggler(self.in_flight.target), if !self.is_pinned => {
                    self.abandon_straggler().await;
                    continue;
                }
                verdict = wait_until_unresponsive(&self.gateway, &self.job, &self.history), if !self.is_pinned => {
                    self.abandon_unresponsive(verdict).await;
                    continue;
                }
            };
            match next {
                Ok(Some(event)) => {
                    self.record_event();
                    return Some(Ok(join_buffered(event, &mut self.events)));
                }
                Ok(None) => {
                    let content = &self.job.outbound.content;
                    self.gateway.board.quarantine.record_response(content);
                    self.finish("streamed");
                    return None;
                }
                Err(error) => {
                    if !self.resume(error).await {
                        self.finish(error.name());
                        return Some(Err(std::io::Error::other("the event stream was interrupted")));
                    }
                }
            }
        }
    }

    /// Records the arrival of another event.
    fn record_event(&mut self) {
        if let Some(instance) = self.history.attempted_targets.last() {
            self.gateway
                .response_monitor
                .record_response(instance, ResponsePart::NextEvent, self.timing.last_event_at);
        }
        self.timing.record_event();
    }

    /// Abandons a target that is a straggler, if the stream may continue at another one. If no other target serves the
    /// rest, the caller sees an interrupted response.
    async fn abandon_straggler(&mut self) {
        let attempts_made = self.history.attempted_targets.len();
        let target_id = self
            .history
            .attempted_targets
            .last()
            .map_or("", |instance| &instance.target.id);
        let abandoned = self
            .gateway
            .may_abandon_straggler(&self.job, target_id, attempts_made, &self.history);
        self.handle_abandonment(abandoned).await;
    }

    /// Abandons an unresponsive target in the same way.
    async fn abandon_unresponsive(&mut self, verdict: UnresponsiveTarget) {
        let attempts_made = self.history.attempted_targets.len();
        let may_abandon = |instance| {
            self.gateway
                .may_abandon_unresponsive(&self.job, instance, verdict, attempts_made, &self.history)
        };
        let abandoned = self.history.attempted_targets.last().is_some_and(may_abandon);
        self.handle_abandonment(abandoned).await;
    }

    /// Continues elsewhere if the target is abandoned; otherwise pins the stream to its target.
    async fn handle_abandonment(&mut self, abandoned: bool) {
        self.is_pinned = !abandoned;
        if abandoned {
            self.events.close();
            self.continue_elsewhere(ResponseError::ConnectionLost).await;
        }
    }

    /// Resumes the stream at another target after the last event that the caller has, if route and retry budget allow
    /// it.
    async fn resume(&mut self, error: ResponseError) -> bool {
        if let Some(instance) = self.history.attempted_targets.last() {
            self.gateway.investigate_lost_response(&self.job, instance, error).await;
        }
        let is_resumable = self.job.outbound.retryable && error != ResponseError::Timeout;
        is_resumable && self.gateway.may_retry(&self.job, &self.history) && self.continue_elsewhere(error).await
    }

    /// Requests the rest of the stream from another target.
    async fn continue_elsewhere(&mut self, error: ResponseError) -> bool {
        self.job.outbound.last_event_id = self.events.last_id().or(self.job.outbound.last_event_id);
        let Ok(CallerResponse::Stream(stream)) = self.gateway.obtain_response(&self.job, &mut self.history).await
        else {
            return false;
        };
        log::info!(target: DECISION, decision = "resumed", request = self.job.outbound.head.id_text(), after = self.job.outbound.last_event_id, loss = error.name(); "stream resumed at another target");
        self.gateway.metrics.resumed_streams.increment();
        self.first_event = stream.first_event;
        self.events = stream.events;
        self.in_flight = stream.in_flight;
        true
    }

    /// Logs how long the caller waited for the first event, and the longest pause between two events.
    fn log_timing(&self) {
        let first_wait = self
            .timing
            .first_event_at
            .saturating_duration_since(self.job.arrived_at);
        log::info!(target: DECISION, decision = "pauses", request = self.job.outbound.head.id_text(), first_ms = first_wait.as_millis() as u64, longest_pause_ms = self.timing.longest_pause.as_millis() as u64; "pauses of the event stream");
    }

    fn finish(&mut self, outcome: &str) {
        self.is_finished = true;
        self.log_timing();
        self.gateway
            .record_end(&self.job, outcome, &self.history.attempted_targets, 200);
    }
}

/// Returns once the target of a stream has been unresponsive for too long; never if the route limits no pauses.
async fn wait_until_unresponsive(gateway: &Gateway, job: &Job, history: &AttemptHistory) -> UnresponsiveTarget {
    let max_pause = max_pause_of(job);
    let Some(instance) = history.attempted_targets.last().filter(|_| !max_pause.is_zero()) else {
        return std::future::pending().await;
    };
    let wait = PendingResponse {
        instance,
        response_part: ResponsePart::NextEvent,
        due_within: max_pause,
        caller_timeout: job.caller_timeout(),
    };
    gateway.response_monitor.wait_until_unresponsive(wait).await
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_finished {
            self.gateway
                .record_end(&self.job, CALLER_DISCONNECTED, &self.history.attempted_targets, 200);
        }
    }
}

fn build_response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Forwards a response longer than the buffer to the caller.
struct BodyRelay {
    gateway: Arc<Gateway>,
    job: Job,
    history: AttemptHistory,
    /// Start of the body, buffered until it exceeded the limit.
    buffered: Option<Bytes>,
    remainder: RemainingBody,
    room: ResponseRoom,
    caller_time: CallerTime,
    /// Counts the request as load of the target until dropped.
    _in_flight: InFlightGuard,
}

impl BodyRelay {
    fn into_body(self) -> Body {
        let chunks = stream::unfold(self, |mut relay| async move {
            relay.caller_time.end();
            let chunk = relay.next().await?;
            relay.caller_time.begin();
            Some((chunk.map(Frame::data), relay))
        });
        BodyExt::boxed_unsync(StreamBody::new(chunks))
    }

    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(bytes) = self.buffered.take() {
            return Some(Ok(bytes));
        }
        let (room, remainder) = (&mut self.room, &mut self.remainder);
        let next = async {
            room.wait_for_relay().await;
            remainder.next().await
        };
        let next = tokio::time::timeout_at(self.job.outbound.deadline + self.caller_time.total, next).await;
        match next.unwrap_or(Err(ResponseError::Timeout)) {
            Ok(Some(bytes)) => Some(Ok(bytes)),
            Ok(None) => None,
            Err(error) => {
                if let Some(instance) = self.history.attempted_targets.last() {
                    self.gateway.investigate_lost_response(&self.job, instance, error).await;
                }
                Some(Err(std::io::Error::other(error.name())))
            }
        }
    }
}

impl Drop for BodyRelay {
    fn drop(&mut self) {
        self.gateway
            .exit
            .record_duration(self.job.route(), self.job.arrived_at.elapsed());
    }
}
