//! A target that speaks HTTP: a model engine with chat completions, or a plain service.

use std::collections::VecDeque;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use sparscale_backpressure::{Names, Signal};
use sparscale_place::switch::{Order, Report};
use sparscale_wire::{Attempt, Call};
use tokio::net::TcpStream;

use crate::engine::{CallError, Chunks, Engine, EngineLoad, Numbered, Started};
use crate::settings::Kind;

/// Time that a look at whether the target still listens may take; it is on the same box.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest answer of a plain service, and longest piece of a model answer, in bytes.
const MAX_ANSWER: usize = 8 << 20;
/// Ends a piece of a streamed answer.
const EVENT_END: &[u8] = b"\n\n";
/// Starts the data of a piece.
const EVENT_DATA: &[u8] = b"data: ";
/// Marks a streamed answer as whole.
const DONE: &[u8] = b"[DONE]";
/// Media type of a streamed answer.
const EVENT_STREAM: &str = "text/event-stream";

/// Client of one target.
#[derive(Debug)]
pub(crate) struct HttpEngine {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    kind: Kind,
    names: Names,
}

#[derive(Deserialize)]
struct Running {
    requests: Vec<String>,
}

#[derive(Deserialize)]
struct Load {
    prefill_tokens: u32,
    step_micros: u32,
    report: Report,
}

#[derive(Deserialize)]
struct Experts {
    tokens: Vec<u64>,
}

#[derive(serde::Serialize)]
struct Ordered<'a> {
    order: &'a Order,
    maps: Vec<Numbered>,
}

#[derive(serde::Serialize)]
struct Cancel<'a> {
    request: &'a str,
}

impl HttpEngine {
    pub(crate) fn new(base: &str, kind: Kind) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            base: base.trim_end_matches('/').to_owned(),
            kind,
            names: Names::own(),
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
        Request::post(format!("{}{path}", self.base))
            .header(header::CONTENT_TYPE, content_type)
            .header("x-request-id", attempt.id.to_string())
            .header("x-priority", u16::from(attempt.tier))
            .body(Full::new(body.clone()))
            .map_err(not_sent)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                not_sent(error)
            } else {
                lost(error)
            }
        })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let request = Request::get(format!("{}{path}", self.base))
            .body(Full::default())
            .map_err(not_sent)?;
        decode(self.exchange(request).await?).await
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Response<Incoming>, CallError> {
        let request = Request::post(format!("{}{path}", self.base))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(not_sent)?;
        self.exchange(request).await
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn call(&self, attempt: &Attempt) -> Result<Started, CallError> {
        let response = self.exchange(self.request(attempt)?).await?;
        let signal = Signal::read(response.status(), response.headers(), &self.names);
        let status = response.status().as_u16();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = response.into_body();
        let chunks: Box<dyn Chunks> = if content_type.starts_with(EVENT_STREAM) {
            Box::new(Events::new(body))
        } else {
            Box::new(Whole { body: Some(body) })
        };
        Ok(Started {
            status,
            content_type,
            signal,
            chunks,
        })
    }

    async fn listens(&self) -> bool {
        let address = self.base.strip_prefix("http://").unwrap_or(&self.base);
        let connecting = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address));
        !matches!(connecting.await, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    async fn cancel(&self, request: &str) -> Result<(), CallError> {
        if self.kind == Kind::Service {
            return Ok(());
        }
        self.post("/v1/cancel", encode(&Cancel { request })?).await?;
        Ok(())
    }

    async fn running(&self) -> Result<Vec<String>, CallError> {
        if self.kind == Kind::Service {
            return Ok(Vec::new());
        }
        let running: Running = self.get("/v1/running").await?;
        Ok(running.requests)
    }

    async fn load(&self) -> Result<Option<EngineLoad>, CallError> {
        if self.kind == Kind::Service {
            return Ok(None);
        }
        let load: Load = self.get("/v1/load").await?;
        Ok(Some(EngineLoad {
            prefill_tokens: load.prefill_tokens,
            step_micros: load.step_micros,
            map: load.report.plan.map_or(0, |plan| plan.number),
        }))
    }

    async fn order(&self, order: &Order, maps: Vec<Numbered>) -> Result<Report, CallError> {
        let response = self.post("/v1/orders", encode(&Ordered { order, maps })?).await?;
        decode(response).await
    }

    async fn expert_tokens(&self) -> Result<Vec<u64>, CallError> {
        if self.kind == Kind::Service {
            return Ok(Vec::new());
        }
        let experts: Experts = self.get("/v1/experts").await?;
        Ok(experts.tokens)
    }
}

/// A streamed answer; whole only if it ends with the marker.
struct Events {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<Bytes>,
    done: bool,
}

impl Events {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            ready: VecDeque::new(),
            done: false,
        }
    }

    fn split(&mut self) {
        while let Some(end) = find(&self.buffer, EVENT_END) {
            let event = self.buffer.split_to(end + EVENT_END.len()).freeze();
            let event = event.slice(..end);
            let Some(data) = event.strip_prefix(EVENT_DATA) else {
                continue;
            };
            if data == DONE {
                self.done = true;
                return;
            }
            self.ready.push_back(event.slice_ref(data));
        }
    }

    /// Reads what follows the end marker: only a body that was read to its end leaves its connection for the next call.
    async fn read_to_end(&mut self) {
        while let Some(Ok(_)) = self.body.frame().await {}
    }

    async fn read_more(&mut self) -> Option<Result<(), CallError>> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                }
                if self.buffer.len() > MAX_ANSWER {
                    return Some(Err(lost("a piece of the answer is too long")));
                }
                self.split();
                Some(Ok(()))
            }
            Some(Err(error)) => Some(Err(lost(error))),
            None => Some(Err(lost("the answer ended without its end marker"))),
        }
    }
}

#[async_trait]
impl Chunks for Events {
    async fn next(&mut self) -> Option<Result<Bytes, CallError>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event));
            }
            if self.done {
                self.read_to_end().await;
                return None;
            }
            if let Err(error) = self.read_more().await? {
                self.done = true;
                return Some(Err(error));
            }
        }
    }
}

/// An answer that comes in one piece.
struct Whole {
    body: Option<Incoming>,
}

#[async_trait]
impl Chunks for Whole {
    async fn next(&mut self) -> Option<Result<Bytes, CallError>> {
        let body = self.body.take()?;
        let collected = Limited::new(body, MAX_ANSWER).collect().await;
        Some(collected.map(http_body_util::Collected::to_bytes).map_err(lost))
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(value).map_err(not_sent)
}

async fn decode<T: DeserializeOwned>(response: Response<Incoming>) -> Result<T, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER)
        .collect()
        .await
        .map_err(lost)?
        .to_bytes();
    if !status.is_success() {
        return Err(lost(format!("{status}: {}", String::from_utf8_lossy(&body))));
    }
    serde_json::from_slice(&body).map_err(lost)
}

fn not_sent(error: impl std::fmt::Display) -> CallError {
    CallError::NotSent {
        message: error.to_string(),
    }
}

fn lost(error: impl std::fmt::Display) -> CallError {
    CallError::Lost {
        message: error.to_string(),
    }
}
