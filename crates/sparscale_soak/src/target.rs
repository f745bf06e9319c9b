//! A stub target: runs requests, records each run, and misbehaves on demand.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt as _;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use sparscale_gateway::HeaderNames;
use tokio::sync::watch;

use crate::behavior::Behavior;
use crate::event_log::{Arrival, Crash, CrashCause, Run, SharedEventLog, TargetStart};
use crate::layout::{BACKOFF, CRASH_BODY, CRASHING_PART_PREFIX, EVENTS_PER_STREAM, RATE_LIMIT_PER_SEC};
use crate::server::{self, Aborted, Content};

/// Time that a plain request runs, in milliseconds.
const RUN_TIME_MS: std::ops::Range<u64> = 5..60;
/// Time of the first starts, in milliseconds; later starts only have to be later.
const FIRST_START_MS: u64 = 1_750_000_000_000;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the responses of a resetting target that it resets.
const RESET_SHARE: f64 = 0.7;
/// Time between the first half of a plain response and its end, in milliseconds.
const RESET_DELAY_MS: std::ops::Range<u64> = 0..20;
/// Events after which a stream is aborted.
const EVENTS_BEFORE_ABORT: u64 = 4;

/// A target; its incarnations succeed each other at one address.
pub(crate) struct Target {
    index: usize,
    event_log: Arc<SharedEventLog>,
    header_names: HeaderNames,
    state: Mutex<State>,
    /// Number of crashes so far.
    pub(crate) crashes: watch::Sender<u64>,
}

#[derive(Debug, Clone)]
struct State {
    incarnation: String,
    /// When the current start began, in milliseconds.
    started_at_ms: u64,
    behavior: Behavior,
}

impl Target {
    /// Starts target `index` at `address`.
    pub(crate) async fn start(
        index: usize,
        address: SocketAddr,
        incarnation: String,
        header_names: HeaderNames,
        event_log: Arc<SharedEventLog>,
    ) -> std::io::Result<Arc<Self>> {
        let behavior = Behavior::Healthy;
        let target = Arc::new(Self {
            index,
            event_log,
            header_names,
            state: Mutex::new(State {
                incarnation,
                started_at_ms: FIRST_START_MS,
                behavior,
            }),
            crashes: watch::Sender::new(0),
        });
        let server_target = Arc::clone(&target);
        server::serve(address, move |request| {
            let target = Arc::clone(&server_target);
            async move { target.handle(request).await }
        })
        .await?;
        Ok(target)
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Replaces the incarnation.
    pub(crate) fn set_incarnation(&self, incarnation: String) {
        self.state().incarnation = incarnation;
    }

    /// Restarts under the same id.
    pub(crate) fn restart(&self) {
        self.state().started_at_ms += 1_000;
    }

    /// When the current start began, in milliseconds.
    pub(crate) fn started_at_ms(&self) -> u64 {
        self.state().started_at_ms
    }

    /// Name of the current incarnation.
    pub(crate) fn incarnation(&self) -> String {
        self.state().incarnation.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Content> {
        let state = self.state().clone();
        let (head, body) = request.into_parts();
        let id = header_text(&head.headers, &self.header_names.request_id);
        // An incomplete request is not run.
        let Ok(body) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            return self.rejection(StatusCode::BAD_REQUEST, &id);
        };
        let crash_cause = self.crash_cause(&head, &body);
        self.event_log.lock().arrivals.push(Arrival {
            request_id: id.clone(),
            crash_cause: crash_cause.clone(),
            arrived_at: Instant::now(),
            target_start: TargetStart {
                target: self.index,
                incarnation: state.incarnation.clone(),
                started_at_ms: state.started_at_ms,
            },
            behavior: state.behavior,
        });
        if header_text(&head.headers, &self.header_names.expected_target) != state.incarnation {
            return self.rejection(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        if matches!(state.behavior, Behavior::Rejecting | Behavior::RequestingBackoff) {
            let mut rejection = self.rejection(StatusCode::SERVICE_UNAVAILABLE, &id);
            if state.behavior == Behavior::RequestingBackoff {
                insert_header(&mut rejection, &RETRY_AFTER, &BACKOFF.as_secs().to_string());
            }
            return rejection;
        }
        self.event_log.lock().runs.push(Run {
            request_id: id.clone(),
            incarnation: state.incarnation.clone(),
            workspace: header_text(&head.headers, &self.header_names.workspace),
            started_at: Instant::now(),
        });
        if let Some(cause) = crash_cause {
            let crashed_at = Instant::now();
            self.event_log.lock().crashes.push(Crash { cause, crashed_at });
            self.crashes.send_modify(|crashes| *crashes += 1);
            // The proxy in front of the target resets its connections.
            return std::future::pending().await;
        }
        let last_event_id = header_text(&head.headers, &HeaderName::from_static("last-event-id"));
        let is_stream = matches!(head.uri.path().split('/').nth(1), Some("stream" | "resume"));
        let content = if is_stream {
            event_body(last_event_id.parse().unwrap_or(0), state.behavior)
        } else {
            plain_body(&id, &body, state.behavior).await
        };
        let status = match state.behavior {
            Behavior::ServerErrors => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::OK,
        };
        let mut response = self.response(status, &id, content);
        insert_header(&mut response, &self.header_names.digest, &state.incarnation);
        match state.behavior {
            Behavior::RateLimited => insert_header(
                &mut response,
                &self.header_names.backpressure.rate_limit,
                &RATE_LIMIT_PER_SEC.to_string(),
            ),
            Behavior::Draining => insert_header(&mut response, &self.header_names.backpressure.draining, "1"),
            _ => {}
        }
        if is_stream {
            insert_header(&mut response, &CONTENT_TYPE, "text/event-stream");
        }
        if matches!(state.behavior, Behavior::Undelimited | Behavior::Resetting) {
            // In this version, a body without a length ends with its connection.
            *response.version_mut() = Version::HTTP_10;
            response = response.map(without_length);
        }
        response
    }

    /// Why a request crashes this target, if it does.
    fn crash_cause(&self, head: &Parts, body: &[u8]) -> Option<CrashCause> {
        if body == CRASH_BODY.as_bytes() {
            return Some(CrashCause::Request(head.uri.path().to_owned()));
        }
        let parts = header_text(&head.headers, &self.header_names.prompt_parts);
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        let crashing_part = ids.find(|id| id.starts_with(CRASHING_PART_PREFIX))?;
        Some(CrashCause::Part(crashing_part.to_owned()))
    }

    fn rejection(&self, status: StatusCode, id: &str) -> Response<Content> {
        let mut response = self.response(status, id, full_body(Bytes::new()));
        insert_header(&mut response, &self.header_names.not_run, "1");
        response
    }

    fn response(&self, status: StatusCode, id: &str, content: Content) -> Response<Content> {
        let mut response = Response::new(content);
        *response.status_mut() = status;
        insert_header(&mut response, &self.header_names.request_id, id);
        response
    }
}

/// Body of a plain response: the id and the body of its request.
pub(crate) fn expected_body(id: &str, body: &str) -> String {
    format!("{id} {body}")
}

/// Text of one event of a stream.
pub(crate) fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

async fn plain_body(id: &str, body: &[u8], behavior: Behavior) -> Content {
    let run_time_ms = rand::random_range(RUN_TIME_MS);
    tokio::time::sleep(Duration::from_millis(run_time_ms)).await;
    let text = expected_body(id, &String::from_utf8_lossy(body));
    let (aborted, delay_ms) = match behavior {
        Behavior::AbortingBody => (Aborted::Closed, 0),
        Behavior::Resetting if rand::random_bool(RESET_SHARE) => (Aborted::Reset, rand::random_range(RESET_DELAY_MS)),
        _ => return full_body(Bytes::from(text)),
    };
    let half = Frame::data(Bytes::from(text[..text.len() / 2].to_owned()));
    let rest = futures::stream::once(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        Err(aborted)
    });
    let frames = futures::stream::once(async { Ok(half) }).chain(rest);
    StreamBody::new(frames).boxed_unsync()
}

fn event_body(last_event_id: u64, behavior: Behavior) -> Content {
    let is_reset = behavior == Behavior::Resetting && rand::random_bool(RESET_SHARE);
    // In place of this event, the connection is reset.
    let reset_id = if is_reset {
        rand::random_range(2..=EVENTS_PER_STREAM)
    } else {
        0
    };
    let is_cut_inside = rand::random_bool(0.5);
    let frames = futures::stream::iter(last_event_id + 1..=EVENTS_PER_STREAM).then(move |id| async move {
        tokio::time::sleep(EVENT_INTERVAL).await;
        if behavior == Behavior::AbortingBody && id > EVENTS_BEFORE_ABORT {
            return Err(Aborted::Closed);
        }
        if id == reset_id {
            return Err(Aborted::Reset);
        }
        let text = event_text(id);
        let sent_bytes = if id + 1 == reset_id && is_cut_inside {
            text.len() / 2
        } else {
            text.len()
        };
        Ok(Frame::data(Bytes::from(text[..sent_bytes].to_owned())))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// The same body, whose length is not known beforehand.
fn without_length(body: Content) -> Content {
    StreamBody::new(body.into_data_stream().map(|data| data.map(Frame::data))).boxed_unsync()
}

fn full_body(bytes: Bytes) -> Content {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Sets a header; leaves it out if the value is invalid, so that the checks miss it.
fn insert_header(response: &mut Response<Content>, name: &HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name.clone(), value);
    }
}
