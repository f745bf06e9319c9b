//! HTTP client of the target: a model engine with chat completions, or a plain service.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use sparscale_backpressure::{BackpressureSignal, SignalHeaders};
use sparscale_place::switch::{Order, Report};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Attempt, AttemptId, Call};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::custody::{Custody, Framing, Verdict};
use crate::engine::{CallError, Chunks, Engine, EngineLoad, NumberedMap, TargetResponse};
use crate::settings::Kind;

/// Timeout of the check whether the target still listens; short, because the target is on the same box.
const LISTEN_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of the calls that the agent makes itself, for which no caller has a deadline. The placer waits as long for an
/// order.
const OWN_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Statuses that a final response may have. The HTTP client skips interim responses, but returns a 101, after which
/// another protocol follows, and statuses of no class.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Longest response. The agent keeps all of it, so that a broken stream of an entry can be resumed.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Bytes of a failure response that an error message quotes; the message is logged.
const MAX_QUOTED_BYTES: usize = 256;
/// Separator between the events of a streamed response.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of an event's data.
const EVENT_DATA_PREFIX: &[u8] = b"data: ";
/// Data of the event that ends a complete streamed response.
const END_MARKER: &[u8] = b"[DONE]";
/// Bytes and time in which a streamed response ends after its end marker.
const MAX_TRAILING_BYTES: usize = 4 << 10;
const TRAILING_TIMEOUT: Duration = Duration::from_millis(100);
/// Media type of a streamed response.
const EVENT_STREAM: &str = "text/event-stream";

/// Client of one target.
#[derive(Debug)]
pub struct HttpEngine {
    client: Client<HttpConnector, Full<Bytes>>,
    base_url: String,
    kind: Kind,
    header_names: SignalHeaders,
    custody: Arc<Custody>,
}

#[derive(Deserialize)]
struct RunningRequests {
    requests: Vec<String>,
}

#[derive(Deserialize)]
struct LoadResponse {
    prefill_tokens: u32,
    step_micros: u32,
    report: Report,
}

#[derive(Deserialize)]
struct ExpertTokens {
    tokens: Vec<u64>,
}

#[derive(serde::Serialize)]
struct OrderRequest<'a> {
    order: &'a Order,
    maps: Vec<NumberedMap>,
}

#[derive(serde::Serialize)]
struct CancelRequest<'a> {
    request: &'a str,
}

impl HttpEngine {
    /// Creates a client of the target at `base_url`; opens no connection.
    pub fn new(base_url: &str, kind: Kind) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            custody: Arc::new(Custody::new(address(&base_url))),
            base_url,
            kind,
            header_names: SignalHeaders::defaults(),
        }
    }

    fn request(&self, attempt: &Attempt) -> Result<Request<Full<Bytes>>, CallError> {
        let (path, content_type, body) = match &attempt.call {
            Call::Model { body } => ("/v1/chat/completions".to_owned(), "application/json", body),
            Call::Service {
                name,
                content_type,
                body,
            } => (format!("/calls/{name}"), content_type.as_str(), body),
        };
        Request::post(format!("{}{path}", self.base_url))
            .header(header::CONTENT_TYPE, content_type)
            .header("x-request-id", attempt.id.to_string())
            .header("x-priority", u16::from(attempt.tier))
            .body(Full::new(body.clone()))
            .map_err(not_sent)
    }

    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        let captured = capture_connection(&mut request);
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                not_sent(error)
            } else {
                response_lost(error)
            }
        })?;
        let status = response.status();
        if FINAL_STATUSES.contains(&status.as_u16()) {
            return Ok(response);
        }
        if let Some(connection) = &*captured.connection_metadata() {
            // Otherwise the pool uses the connection again once it has read the body.
            connection.poison();
        }
        Err(response_lost(format!("{status} is not the status of a final response")))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let request = Request::get(format!("{}{path}", self.base_url))
            .body(Full::default())
            .map_err(not_sent)?;
        within_call_timeout(async { decode(self.send(request).await?).await }).await
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Response<Incoming>, CallError> {
        let request = Request::post(format!("{}{path}", self.base_url))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(not_sent)?;
        self.send(request).await
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn call(&self, attempt: &Attempt) -> Result<TargetResponse, CallError> {
        let request = self.request(attempt)?;
        let sent_at = self.custody.prepare().await;
        let response = self.custody.during(sent_at, self.send(request)).await?;
        let signal = BackpressureSignal::read(response.status(), response.headers(), &self.header_names);
        let status = response.status().as_u16();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let is_event_stream = content_type.starts_with(EVENT_STREAM);
        // An event stream has an end marker.
        let framing = if is_event_stream || is_delimited(&response) {
            Framing::Delimited
        } else {
            Framing::Undelimited
        };
        if response.status().is_success() || framing == Framing::Undelimited {
            self.custody.record(framing);
        }
        let body = response.into_body();
        let chunks: Box<dyn Chunks> = if is_event_stream {
            Box::new(EventStream::new(body))
        } else {
            let guard = Guard {
                custody: Arc::clone(&self.custody),
                attempt: attempt.id,
                sent_at,
            };
            Box::new(SingleChunk {
                body: Some(body),
                guard: (framing == Framing::Undelimited).then_some(guard),
            })
        };
        Ok(TargetResponse {
            status,
            content_type,
            signal,
            chunks,
        })
    }

    async fn is_listening(&self) -> bool {
        let connecting = tokio::time::timeout(LISTEN_CHECK_TIMEOUT, TcpStream::connect(address(&self.base_url)));
        match connecting.await {
            Ok(Ok(stream)) => {
                self.custody.offer(stream);
                true
            }
            Ok(Err(error)) => error.kind() != std::io::ErrorKind::ConnectionRefused,
            Err(_elapsed) => true,
        }
    }

    async fn cancel(&self, request: &str) -> Result<(), CallError> {
        if self.kind == Kind::Service {
            return Ok(());
        }
        within_call_timeout(self.post("/v1/cancel", encode(&CancelRequest { request })?)).await?;
        Ok(())
    }

    async fn running_requests(&self) -> Result<Vec<String>, CallError> {
        if self.kind == Kind::Service {
            return Ok(Vec::new());
        }
        let running: RunningRequests = self.get("/v1/running").await?;
        Ok(running.requests)
    }

    async fn load(&self) -> Result<Option<EngineLoad>, CallError> {
        if self.kind == Kind::Service {
            return Ok(None);
        }
        let load: LoadResponse = self.get("/v1/load").await?;
        Ok(Some(EngineLoad {
            prefill_tokens: load.prefill_tokens,
            step_micros: load.step_micros,
            map_number: load.report.plan.map_or(0, |plan| plan.number),
        }))
    }

    async fn send_order(&self, order: &Order, maps: Vec<NumberedMap>) -> Result<Report, CallError> {
        let body = encode(&OrderRequest { order, maps })?;
        within_call_timeout(async { decode(self.post("/v1/orders", body).await?).await }).await
    }

    async fn expert_tokens(&self) -> Result<Vec<u64>, CallError> {
        if self.kind == Kind::Service {
            return Ok(Vec::new());
        }
        let experts: ExpertTokens = self.get("/v1/experts").await?;
        Ok(experts.tokens)
    }
}

/// Body of a streamed response; complete only if it ends with the end marker.
struct EventStream {
    body: Incoming,
    buffer: BytesMut,
    /// Number of leading bytes of the buffer known to contain no end of an event.
    searched_bytes: usize,
    received_bytes: usize,
    ready_events: VecDeque<Bytes>,
    is_done: bool,
}

impl EventStream {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            searched_bytes: 0,
            received_bytes: 0,
            ready_events: VecDeque::new(),
            is_done: false,
        }
    }

    fn split_events(&mut self) {
        while let Some(unsearched_end) = find(&self.buffer[self.searched_bytes..], EVENT_END) {
            let end = self.searched_bytes + unsearched_end;
            self.searched_bytes = 0;
            let event = self.buffer.split_to(end + EVENT_END.len()).freeze();
            let event = event.slice(..end);
            let Some(data) = event.strip_prefix(EVENT_DATA_PREFIX) else {
                continue;
            };
            if data == END_MARKER {
                self.is_done = true;
                return;
            }
            self.ready_events.push_back(event.slice_ref(data));
        }
        // All but the last byte of the separator may have arrived.
        self.searched_bytes = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
    }

    /// Reads the body to its end after the end marker, because only then is the connection reused for the next call. The
    /// caller waits meanwhile; a body with a longer rest is dropped, which closes its connection.
    async fn read_to_end(&mut self) {
        let read = async {
            let mut length = 0;
            while length <= MAX_TRAILING_BYTES
                && let Some(Ok(frame)) = self.body.frame().await
            {
                length += frame.data_ref().map_or(0, Bytes::len);
            }
        };
        let _elapsed = tokio::time::timeout(TRAILING_TIMEOUT, read).await;
    }

    async fn read_more(&mut self) -> Option<Result<(), CallError>> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                    self.received_bytes += data.len();
                }
                if self.received_bytes > MAX_RESPONSE_BYTES {
                    return Some(Err(response_lost("the streamed response is too long")));
                }
                self.split_events();
                Some(Ok(()))
            }
            Some(Err(error)) => Some(Err(response_lost(error))),
            None => Some(Err(response_lost("the answer ended without its end marker"))),
        }
    }
}

#[async_trait]
impl Chunks for EventStream {
    async fn next(&mut self) -> Option<Result<Bytes, CallError>> {
        loop {
            if let Some(event) = self.ready_events.pop_front() {
                return Some(Ok(event));
            }
            if self.is_done {
                self.read_to_end().await;
                return None;
            }
            if let Err(error) = self.read_more().await? {
                self.is_done = true;
                return Some(Err(error));
            }
        }
    }
}

/// Body of a response that isn't streamed; returned as a single chunk.
struct SingleChunk {
    body: Option<Incoming>,
    /// Only for a response that ends with its connection.
    guard: Option<Guard>,
}

#[async_trait]
impl Chunks for SingleChunk {
    async fn next(&mut self) -> Option<Result<Bytes, CallError>> {
        let body = Limited::new(self.body.take()?, MAX_RESPONSE_BYTES);
        let reading = async { body.collect().await.map_err(response_lost) };
        let collected = match &self.guard {
            Some(guard) => guard.read(reading).await,
            None => reading.await,
        };
        Some(collected.map(http_body_util::Collected::to_bytes))
    }
}

/// Passes a response that ends with its connection on only if its process is known to run after its end.
struct Guard {
    custody: Arc<Custody>,
    attempt: AttemptId,
    sent_at: Instant,
}

impl Guard {
    async fn read<T>(&self, reading: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
        let body = self.custody.during(self.sent_at, reading).await?;
        let judgement = self.custody.judge(self.sent_at).await;
        log::info!(
            target: DECISION,
            decision = "unframed_end",
            attempt = self.attempt.to_string().as_str(),
            sent_before_ms = self.sent_at.elapsed().as_millis() as u64,
            check = judgement.check.name(),
            witnesses = judgement.witnesses.as_str(),
            verdict = judgement.verdict.name();
            "a response without a length ended with its connection"
        );
        match judgement.verdict {
            Verdict::Running => Ok(body),
            Verdict::Unknown => Err(response_lost(
                "the response has no length, and it is not known whether the target's process still ran at its end",
            )),
        }
    }
}

/// Returns the host and port of a URL.
fn address(base_url: &str) -> &str {
    base_url.strip_prefix("http://").unwrap_or(base_url)
}

/// Whether the HTTP client notices that a response ends early. As in RFC 9112, section 6.3, a transfer coding takes
/// precedence over a length, and shows the end only if the last one is `chunked`.
fn is_delimited(response: &Response<Incoming>) -> bool {
    let codings = response.headers().get_all(header::TRANSFER_ENCODING);
    let Some(codings) = codings.iter().next_back() else {
        return response.body().size_hint().exact().is_some();
    };
    let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
    let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || response.body().is_end_stream()
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(value).map_err(not_sent)
}

async fn decode<T: DeserializeOwned>(response: Response<Incoming>) -> Result<T, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(response_lost)?
        .to_bytes();
    if !status.is_success() {
        let quoted = &body[..body.len().min(MAX_QUOTED_BYTES)];
        return Err(response_lost(format!("{status}: {}", String::from_utf8_lossy(quoted))));
    }
    serde_json::from_slice(&body).map_err(response_lost)
}

async fn within_call_timeout<T>(call: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    let result = tokio::time::timeout(OWN_CALL_TIMEOUT, call).await;
    result.unwrap_or_else(|_elapsed| Err(response_lost("no complete response on time")))
}

fn not_sent(error: impl std::fmt::Display) -> CallError {
    CallError::NotSent {
        message: error.to_string(),
    }
}

fn response_lost(error: impl std::fmt::Display) -> CallError {
    CallError::Lost {
        message: error.to_string(),
    }
}
