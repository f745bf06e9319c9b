//! Callers: each sends requests to one entry, one at a time, and records the outcomes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{AUTHORIZATION, HOST as HOST_HEADER};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use sparscale_gateway::HeaderNames;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::environment::Environment;
use crate::event_log::{Answer, CallerRequest, Outcome, SharedEventLog};
use crate::layout::{CALLER_TIMEOUT, HOST, INITIAL_KEY_COUNT, LATER_KEY_COUNT, Net, ROUTES};
use crate::platform::RouteKind;

/// Time past the deadline announced in the request after which a caller records that no response came.
pub(crate) const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before each request of a caller, in milliseconds.
const REQUEST_DELAY_MS: std::ops::Range<u64> = 20..120;

/// How a caller uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// Keeps a connection open until the entry closes it.
    KeepAlive,
    /// Opens a connection for each request.
    PerRequest,
}

/// A caller of one entry.
pub(crate) struct Caller {
    pub(crate) entry: usize,
    connection_use: ConnectionUse,
    header_names: HeaderNames,
    event_log: Arc<SharedEventLog>,
    random: ChaCha8Rng,
    idle_connection: Option<SendRequest<Full<Bytes>>>,
    /// Body of all its requests; if none, each request gets a body of its own.
    pub(crate) body: Option<&'static str>,
    /// Part of the prompts of all its requests that crashes targets.
    pub(crate) crashing_part: Option<String>,
    net: Net,
    busy_entry: Arc<BusyEntry>,
}

/// The entry that all new connections of callers reach, if the load balancer in front concentrates them.
#[derive(Debug, Default)]
pub(crate) struct BusyEntry(Mutex<Option<usize>>);

impl BusyEntry {
    pub(crate) fn set(&self, entry: Option<usize>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = entry;
    }

    fn get(&self) -> Option<usize> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Caller {
    /// Creates a caller of `entry` that draws random numbers from `random`.
    pub(crate) fn new(
        environment: &Environment,
        entry: usize,
        connection_use: ConnectionUse,
        random: ChaCha8Rng,
    ) -> Self {
        Self {
            entry,
            connection_use,
            header_names: environment.platform.header_names(),
            event_log: Arc::clone(&environment.event_log),
            random,
            idle_connection: None,
            body: None,
            crashing_part: None,
            net: environment.net,
            busy_entry: Arc::clone(&environment.busy_entry),
        }
    }

    /// Sends requests until `stopped` is set.
    pub(crate) async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        while !*stopped.borrow_and_update() {
            let delay = Duration::from_millis(self.random.random_range(REQUEST_DELAY_MS));
            tokio::time::sleep(delay).await;
            let route = self.random.random_range(0..ROUTES.len());
            let key = format!(
                "key-{}",
                self.random.random_range(0..INITIAL_KEY_COUNT + LATER_KEY_COUNT)
            );
            self.send(route, &key).await;
        }
    }

    /// Sends one request to the route with index `route` and records the outcome.
    pub(crate) async fn send(&mut self, route: usize, key: &str) -> Outcome {
        let route = &ROUTES[route];
        let id = format!("{:016x}", self.random.random::<u64>());
        let sent_at = Instant::now();
        let busy_entry = self.busy_entry.get();
        if busy_entry.is_some() {
            // Callers open new connections more often, and the load balancer hands them all to one entry.
            self.idle_connection = None;
        }
        let entry = busy_entry.unwrap_or(self.entry);
        let exchange = self.exchange(entry, route.prefix, &id, key);
        let outcome = tokio::time::timeout(CALLER_TIMEOUT + CALLER_TIMEOUT_MARGIN, exchange)
            .await
            .unwrap_or(Outcome::Nothing);
        if outcome == Outcome::Nothing {
            // Closing the connection shows the entry that the caller no longer waits.
            self.idle_connection = None;
        }
        self.event_log.lock().caller_requests.push(CallerRequest {
            request_id: id,
            entry,
            kind: route.kind,
            key: key.to_owned(),
            is_crashing: self.body.is_some() || self.crashing_part.is_some(),
            sent_at,
            ended_at: Instant::now(),
            outcome: outcome.clone(),
        });
        outcome
    }

    async fn exchange(&mut self, entry: usize, prefix: &str, id: &str, key: &str) -> Outcome {
        let Some(mut connection) = self.connection(entry).await else {
            return Outcome::Unreached;
        };
        let Ok(request) = self.request(prefix, id, key) else {
            return Outcome::Unreached;
        };
        let Ok(response) = connection.send_request(request).await else {
            return Outcome::Closed;
        };
        let response = read_response(response, &self.header_names).await;
        if self.connection_use == ConnectionUse::KeepAlive && response.whole && entry == self.entry {
            self.idle_connection = Some(connection);
        }
        Outcome::Answered(response)
    }

    async fn connection(&mut self, entry: usize) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(mut idle_connection) = self.idle_connection.take()
            && idle_connection.ready().await.is_ok()
        {
            return Some(idle_connection);
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.net.caller_address(entry))).await;
        let stream = connected.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // A connection error shows up in the response.
            let _ended = connection.await;
        });
        Some(sender)
    }

    fn request(&self, prefix: &str, id: &str, key: &str) -> http::Result<Request<Full<Bytes>>> {
        Request::post(format!("{prefix}x"))
            .header(HOST_HEADER, HOST)
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .header(&self.header_names.request_id, id)
            .header(&self.header_names.deadline, CALLER_TIMEOUT.as_millis().to_string())
            .header(
                &self.header_names.prompt_parts,
                prompt_parts(self.crashing_part.as_deref(), id, key),
            )
            .body(Full::new(Bytes::from(
                self.body.map_or_else(|| request_body(id), str::to_owned),
            )))
    }
}

/// Parts of a prompt: one that all requests with `key` share, one that crashes targets, if any, and the request's own.
fn prompt_parts(crashing_part: Option<&str>, id: &str, key: &str) -> String {
    let crashing_part = crashing_part.map(|part| format!("{part}:200,")).unwrap_or_default();
    format!("of-{key}:40,{crashing_part}{id}:100")
}

/// Body of the request with this id.
pub(crate) fn request_body(id: &str) -> String {
    format!("body of {id}")
}

async fn read_response(response: Response<Incoming>, header_names: &HeaderNames) -> Answer {
    let (head, mut content) = response.into_parts();
    let mut bytes = BytesMut::new();
    let mut whole = true;
    while let Some(frame) = content.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let digest = head.headers.get(&header_names.digest);
    Answer {
        status: head.status.as_u16(),
        digest: digest.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body: String::from_utf8_lossy(&bytes).into_owned(),
        whole,
    }
}

/// Whether responses to requests of `kind` are event streams.
pub(crate) fn is_stream(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Stream | RouteKind::Resumable)
}
