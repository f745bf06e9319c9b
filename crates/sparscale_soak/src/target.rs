//! A stub target: runs requests, records each run, and misbehaves on demand.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt as _;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use sparscale_gateway::Dialect;
use tokio::sync::watch;

use crate::ledger::{Arrival, Book, End, Run, Start};
use crate::mood::Mood;
use crate::places::{DEADLY, EVENTS, RATE, REST};
use crate::server::{self, Broken, Content};

/// Time that a plain request runs, in milliseconds.
const RUN: std::ops::Range<u64> = 5..60;
/// Time of the first starts, in milliseconds; later starts only have to be later.
const BORN_MS: u64 = 1_750_000_000_000;
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// Events after which a stream is aborted.
const BROKEN_AFTER: u64 = 4;

/// A target; its incarnations succeed each other at one address.
pub(crate) struct Target {
    index: usize,
    book: Arc<Book>,
    dialect: Dialect,
    state: Mutex<State>,
    /// Number of crashes so far.
    pub(crate) crashes: watch::Sender<u64>,
}

#[derive(Debug, Clone)]
struct State {
    incarnation: String,
    /// When the current start began, in milliseconds.
    born_ms: u64,
    mood: Mood,
}

impl Target {
    /// Starts target `index` at `address`.
    pub(crate) async fn start(
        index: usize,
        address: SocketAddr,
        incarnation: String,
        dialect: Dialect,
        book: Arc<Book>,
    ) -> std::io::Result<Arc<Self>> {
        let mood = Mood::Well;
        let target = Arc::new(Self {
            index,
            book,
            dialect,
            state: Mutex::new(State {
                incarnation,
                born_ms: BORN_MS,
                mood,
            }),
            crashes: watch::Sender::new(0),
        });
        let serving = Arc::clone(&target);
        server::serve(address, move |request| {
            let target = Arc::clone(&serving);
            async move { target.answer(request).await }
        })
        .await?;
        Ok(target)
    }

    pub(crate) fn set_mood(&self, mood: Mood) {
        self.state().mood = mood;
    }

    /// Replaces the incarnation.
    pub(crate) fn become_new(&self, incarnation: String) {
        self.state().incarnation = incarnation;
    }

    /// Restarts under the same id.
    pub(crate) fn start_again(&self) {
        self.state().born_ms += 1_000;
    }

    /// When the current start began, in milliseconds.
    pub(crate) fn born_ms(&self) -> u64 {
        self.state().born_ms
    }

    /// Name of the current incarnation.
    pub(crate) fn incarnation(&self) -> String {
        self.state().incarnation.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Content> {
        let state = self.state().clone();
        let (head, body) = request.into_parts();
        let id = text(&head.headers, &self.dialect.request_id);
        // An incomplete request is not run.
        let Ok(body) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            return self.refusal(StatusCode::BAD_REQUEST, &id);
        };
        let deadly = (body == DEADLY).then(|| head.uri.path().to_owned());
        self.book.open().arrivals.push(Arrival {
            request: id.clone(),
            deadly: deadly.clone(),
            at: Instant::now(),
            start: Start {
                target: self.index,
                incarnation: state.incarnation.clone(),
                born_ms: state.born_ms,
            },
            mood: state.mood,
        });
        if text(&head.headers, &self.dialect.expected_target) != state.incarnation {
            return self.refusal(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        if matches!(state.mood, Mood::Full | Mood::Tired) {
            let mut refusal = self.refusal(StatusCode::SERVICE_UNAVAILABLE, &id);
            if state.mood == Mood::Tired {
                insert(&mut refusal, &RETRY_AFTER, &REST.as_secs().to_string());
            }
            return refusal;
        }
        self.book.open().runs.push(Run {
            request: id.clone(),
            target: state.incarnation.clone(),
            workspace: text(&head.headers, &self.dialect.workspace),
            at: Instant::now(),
        });
        if let Some(path) = deadly {
            let at = Instant::now();
            self.book.open().ends.push(End { path, at });
            self.crashes.send_modify(|crashes| *crashes += 1);
            // The proxy in front of the target resets its connections.
            return std::future::pending().await;
        }
        let after = text(&head.headers, &HeaderName::from_static("last-event-id"));
        let streams = matches!(head.uri.path().split('/').nth(1), Some("stream" | "resume"));
        let content = if streams {
            stream(after.parse().unwrap_or(0), state.mood)
        } else {
            plain(&id, &body, state.mood).await
        };
        let status = match state.mood {
            Mood::Errors => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::OK,
        };
        let mut answer = self.head(status, &id, content);
        insert(&mut answer, &self.dialect.digest, &state.incarnation);
        match state.mood {
            Mood::Limited => insert(&mut answer, &self.dialect.backpressure.rate_limit, &RATE.to_string()),
            Mood::Leaving => insert(&mut answer, &self.dialect.backpressure.draining, "1"),
            _ => {}
        }
        if streams {
            insert(&mut answer, &CONTENT_TYPE, "text/event-stream");
        }
        answer
    }

    fn refusal(&self, status: StatusCode, id: &str) -> Response<Content> {
        let mut answer = self.head(status, id, whole(Bytes::new()));
        insert(&mut answer, &self.dialect.not_run, "1");
        answer
    }

    fn head(&self, status: StatusCode, id: &str, content: Content) -> Response<Content> {
        let mut answer = Response::new(content);
        *answer.status_mut() = status;
        insert(&mut answer, &self.dialect.request_id, id);
        answer
    }
}

/// Body of a plain response: the id and the body of its request.
pub(crate) fn expected(id: &str, body: &str) -> String {
    format!("{id} {body}")
}

/// Text of one event of a stream.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

async fn plain(id: &str, body: &[u8], mood: Mood) -> Content {
    let time = rand::random_range(RUN);
    tokio::time::sleep(Duration::from_millis(time)).await;
    let text = expected(id, &String::from_utf8_lossy(body));
    if mood != Mood::BreaksOff {
        return whole(Bytes::from(text));
    }
    let half = text.len() / 2;
    let pieces = [Ok(Frame::data(Bytes::from(text[..half].to_owned()))), Err(Broken)];
    StreamBody::new(futures::stream::iter(pieces)).boxed_unsync()
}

fn stream(after: u64, mood: Mood) -> Content {
    let pieces = futures::stream::iter(after + 1..=EVENTS).then(move |id| async move {
        tokio::time::sleep(EVENT_PAUSE).await;
        if mood == Mood::BreaksOff && id > BROKEN_AFTER {
            return Err(Broken);
        }
        Ok(Frame::data(Bytes::from(event(id))))
    });
    StreamBody::new(pieces).boxed_unsync()
}

fn whole(bytes: Bytes) -> Content {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Sets a header; leaves it out if the value is invalid, so that the checks miss it.
fn insert(answer: &mut Response<Content>, name: &HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name.clone(), value);
    }
}
