//! HTTP API for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use bytes::{Bytes, BytesMut};
use dropshot::{ApiDescription, Body, HttpError, Path, RequestContext, StreamingBody, endpoint};
use futures::StreamExt as _;
use http::{HeaderMap, Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sparscale_board::prefix_blocks;
use sparscale_bundle::{Bundle, Workspace};
use sparscale_control::Journal;
use sparscale_route::Request as RouteRequest;
use sparscale_wire::{Call, Settlement};
use tokio::time::Instant;

use crate::completion;
use crate::dispatch::Dispatcher;
use crate::job::{Job, Pool};
use crate::limits::{InFlight, InFlightGuard};
use crate::problem::Problem;
use crate::respond::{json_response, response_text, service_response, stream_response};
use crate::response_stream::ResponseStream;
use crate::ticket::{self, Ticket};

/// Header with the deadline of a request, in milliseconds from its arrival.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the key that all attempts of one request share.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in characters.
const MAX_KEY_CHARS: usize = 255;
/// Retry delay that callers get while the entry has no bundle or their workspace has too many requests in flight.
const SHORT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Expected work of a call to a plain service, in tokens.
const SERVICE_TOKENS: u32 = 1;

/// Shared state of the request handlers.
pub(crate) struct Api {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) in_flight: InFlight,
    pub(crate) max_body_bytes: usize,
    pub(crate) ticket_lifetime: Duration,
    pub(crate) is_stopping: AtomicBool,
}

/// How much of a response is read before the caller receives any of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadExtent {
    /// Only the first chunk.
    FirstChunk,
    /// The complete response.
    Whole,
}

/// An authenticated caller whose request was admitted.
struct Caller {
    bundle: Arc<Bundle>,
    workspace: Arc<Workspace>,
    tier: u8,
    deadline: Instant,
    guard: InFlightGuard,
}

type Context = RequestContext<Arc<Api>>;
type HandlerResult = Result<Response<Body>, HttpError>;

#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    call: String,
}

#[derive(Deserialize, JsonSchema)]
struct TicketPath {
    service: String,
}

#[derive(Deserialize, JsonSchema)]
struct RequestPath {
    id: String,
}

#[derive(Serialize)]
struct TicketResponse {
    ticket: String,
    expires_in_seconds: u64,
}

#[derive(Serialize)]
struct RequestOutcome {
    outcome: &'static str,
}

/// Serves a chat completion, streamed if the caller requests it.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn complete(context: Context, body: StreamingBody) -> HandlerResult {
    let api = context.context();
    into_handler_result(api.complete(context.request.headers(), body).await)
}

/// Calls a plain service.
#[endpoint { method = POST, path = "/v1/services/{service}/{call}" }]
async fn call_service(context: Context, path: Path<ServicePath>, body: StreamingBody) -> HandlerResult {
    let api = context.context();
    into_handler_result(
        api.call_service(context.request.headers(), &path.into_inner(), body)
            .await,
    )
}

/// Issues a ticket for one call that may not be repeated.
#[endpoint { method = POST, path = "/v1/tickets/{service}" }]
async fn issue_ticket(context: Context, path: Path<TicketPath>) -> HandlerResult {
    let api = context.context();
    into_handler_result(api.issue_ticket(context.request.headers(), path.into_inner().service))
}

/// Returns the outcome of a request.
#[endpoint { method = GET, path = "/v1/requests/{id}" }]
async fn ask_about(context: Context, path: Path<RequestPath>) -> HandlerResult {
    let api = context.context();
    into_handler_result(api.ask_about(context.request.headers(), &path.into_inner().id).await)
}

/// Liveness check.
#[endpoint { method = GET, path = "/healthz" }]
async fn health(_context: Context) -> HandlerResult {
    Ok(Response::new(Body::from("alive\n")))
}

/// Readiness check for the balancer.
#[endpoint { method = GET, path = "/readyz" }]
async fn readiness(context: Context) -> HandlerResult {
    let api = context.context();
    let mut response = Response::new(Body::from("ready\n"));
    if api.is_stopping.load(Ordering::Relaxed) || api.journal.active_certificate().is_none() {
        response = Response::new(Body::from("not ready\n"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

/// Description of all endpoints.
pub(crate) fn description() -> Result<ApiDescription<Arc<Api>>, String> {
    let mut api = ApiDescription::new();
    let registration = api
        .register(complete)
        .and_then(|()| api.register(call_service))
        .and_then(|()| api.register(issue_ticket))
        .and_then(|()| api.register(ask_about))
        .and_then(|()| api.register(health))
        .and_then(|()| api.register(readiness));
    registration.map_err(|error| error.to_string())?;
    Ok(api)
}

#[expect(clippy::unnecessary_wraps, reason = "the type that dropshot's handlers return")]
fn into_handler_result(result: Result<Response<Body>, Problem>) -> HandlerResult {
    Ok(result.unwrap_or_else(|problem| problem.to_response()))
}

impl Api {
    async fn complete(&self, headers: &HeaderMap, body: StreamingBody) -> Result<Response<Body>, Problem> {
        let caller = self.admit_caller(headers)?;
        let body = self.read_body(body).await?;
        let request = completion::Request::parse(&body).map_err(|error| bad_request(&error.to_string()))?;
        let is_known = caller
            .bundle
            .fleet()
            .models
            .iter()
            .any(|model| model.name == request.model);
        if !is_known {
            return Err(not_found(&format!("no model is called {}", request.model)));
        }
        let prompt = request.prompt();
        let job = Arc::new(Job {
            workspace: Arc::clone(&caller.workspace),
            tier: caller.tier,
            deadline: caller.deadline,
            repeatable: true,
            key: None,
            retention: Duration::ZERO,
            call: Call::Model { body },
            shared_parts: request.shared_parts(),
            pool: Pool::Model(request.model.clone()),
            route: RouteRequest {
                prompt_tokens: completion::prompt_tokens(&prompt),
                response_tokens: request.answer_tokens(),
                block_hashes: prefix_blocks(&prompt),
            },
            limits: caller.bundle.fleet().limits.clone(),
        });
        if request.stream {
            // The headers are sent with the first token; until then a broken response can be restarted on another
            // target.
            let (stream, first_chunks) = self.read_response(&job, ReadExtent::FirstChunk).await?;
            return Ok(stream_response(stream, &first_chunks, caller.guard));
        }
        let (stream, chunks) = self.read_response(&job, ReadExtent::Whole).await?;
        let text = response_text(&chunks)?;
        Ok(json_response(completion::full_completion(
            &stream.request_id(),
            &request.model,
            &text,
        )))
    }

    /// Reads a response up to its first chunk, or completely. A broken response is restarted if the request is
    /// repeatable, because the caller has not received any of it.
    async fn read_response(&self, job: &Arc<Job>, extent: ReadExtent) -> Result<(ResponseStream, Vec<Bytes>), Problem> {
        const MAX_STARTS: usize = 3;
        let mut last_problem = None;
        for _ in 0..MAX_STARTS {
            let started = self.dispatcher.dispatch(job).await;
            let mut stream = match started {
                Ok(stream) => stream,
                Err(problem) => return Err(last_problem.unwrap_or(problem)),
            };
            let problem = match read_chunks(&mut stream, extent).await {
                Ok(chunks) => return Ok((stream, chunks)),
                Err(problem) => problem,
            };
            if !job.repeatable || Instant::now() >= job.deadline {
                return Err(problem);
            }
            self.dispatcher.avoid(&stream);
            last_problem = Some(problem);
        }
        Err(last_problem.unwrap_or_else(|| Problem::failed("no whole answer")))
    }

    async fn call_service(
        &self,
        headers: &HeaderMap,
        path: &ServicePath,
        body: StreamingBody,
    ) -> Result<Response<Body>, Problem> {
        let caller = self.admit_caller(headers)?;
        let body = self.read_body(body).await?;
        let repeatable = is_repeatable(&caller.bundle, path)?;
        let content_type = header_text(headers, header::CONTENT_TYPE.as_str()).unwrap_or("application/octet-stream");
        let mut job = Job {
            workspace: Arc::clone(&caller.workspace),
            tier: caller.tier,
            deadline: caller.deadline,
            repeatable,
            key: None,
            retention: Duration::ZERO,
            call: Call::Service {
                name: path.call.clone(),
                content_type: content_type.to_owned(),
                body,
            },
            shared_parts: Vec::new(),
            pool: Pool::Service(path.service.clone()),
            route: RouteRequest {
                response_tokens: SERVICE_TOKENS,
                ..RouteRequest::default()
            },
            limits: caller.bundle.fleet().limits.clone(),
        };
        if let Some(key) = idempotency_key(headers)?
            && !repeatable
        {
            self.bind(&mut job, &path.service, key).await?;
        }
        let (stream, chunks) = self.read_response(&Arc::new(job), ReadExtent::Whole).await?;
        service_response(&stream, Bytes::from(chunks.concat()))
    }

    fn issue_ticket(&self, headers: &HeaderMap, service: String) -> Result<Response<Body>, Problem> {
        let caller = self.admit_caller(headers)?;
        if !caller.bundle.fleet().services.iter().any(|known| known.name == service) {
            return Err(not_found(&format!("no service is called {service}")));
        }
        let job = Job {
            workspace: Arc::clone(&caller.workspace),
            tier: caller.tier,
            deadline: caller.deadline,
            repeatable: false,
            key: None,
            retention: Duration::ZERO,
            call: Call::Model { body: Bytes::new() },
            shared_parts: Vec::new(),
            pool: Pool::Service(service.clone()),
            route: RouteRequest::default(),
            limits: caller.bundle.fleet().limits.clone(),
        };
        let (target, incarnation) = self.dispatcher.choose_binding_target(&job)?;
        let lifetime = self.ticket_lifetime.as_secs();
        let ticket = Ticket {
            workspace: caller.workspace.name.clone(),
            service,
            target,
            incarnation,
            expires: ticket::unix_seconds(SystemTime::now()) + lifetime,
            nonce: rand::random(),
        };
        let response = TicketResponse {
            ticket: self.dispatcher.seal.issue_ticket(&ticket),
            expires_in_seconds: lifetime,
        };
        // Serializing plain data into memory cannot fail.
        Ok(json_response(serde_json::to_string(&response).unwrap_or_default()))
    }

    async fn ask_about(&self, headers: &HeaderMap, id: &str) -> Result<Response<Body>, Problem> {
        let caller = self.admit_caller(headers)?;
        let name = self
            .dispatcher
            .seal
            .open_request_id(id)
            .map_err(|error| bad_request(&error.to_string()))?;
        if name.workspace != caller.workspace.name {
            return Err(not_found("no such request in this workspace"));
        }
        let address = {
            let board = self.dispatcher.board.lock();
            let target = board.find(&name.target).and_then(|key| board.target(key));
            target.and_then(|target| target.address)
        };
        let settlement = match address {
            Some(address) => self.dispatcher.settle(address, name.attempt, name.incarnation).await,
            None => Settlement::Unknown,
        };
        let outcome = match settlement {
            Settlement::NotRun => "not_run",
            Settlement::Running => "running",
            Settlement::Ended => "ended",
            Settlement::Unknown => "unknown",
        };
        Ok(json_response(
            serde_json::to_string(&RequestOutcome { outcome }).unwrap_or_default(),
        ))
    }

    /// Authenticates the caller and counts its request as in flight.
    fn admit_caller(&self, headers: &HeaderMap) -> Result<Caller, Problem> {
        let Some(certificate) = self.journal.active_certificate() else {
            let detail = "this entry has no configuration yet";
            let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "Not ready", detail);
            return Err(problem.retry_after(SHORT_RETRY_DELAY));
        };
        let bundle = Arc::clone(&certificate.bundle);
        let key = header_text(headers, header::AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix("Bearer "));
        let workspace = key.and_then(|key| bundle.authenticate(key)).ok_or_else(unauthorized)?;
        let fleet = bundle.fleet();
        let tier = fleet
            .tiers
            .iter()
            .position(|tier| tier.name == workspace.tier)
            .unwrap_or_default();
        let deadline = Instant::now() + deadline_of(headers, fleet.limits.deadline_ms)?;
        let guard = self
            .in_flight
            .try_enter(&workspace.name, workspace.in_flight)
            .ok_or_else(|| {
                let detail = format!("the workspace has {} requests in progress", workspace.in_flight);
                Problem::not_run(StatusCode::TOO_MANY_REQUESTS, "Too many requests in progress", detail)
                    .retry_after(SHORT_RETRY_DELAY)
            })?;
        Ok(Caller {
            bundle,
            workspace,
            tier: tier as u8,
            deadline,
            guard,
        })
    }

    async fn read_body(&self, body: StreamingBody) -> Result<Bytes, Problem> {
        let mut buffered = BytesMut::new();
        let mut body_chunks = std::pin::pin!(body.into_stream());
        while let Some(chunk) = body_chunks.next().await {
            let chunk = chunk.map_err(|error| bad_request(&error.external_message))?;
            buffered.extend_from_slice(&chunk);
            if buffered.len() > self.max_body_bytes {
                let detail = format!("a body has at most {} bytes", self.max_body_bytes);
                return Err(Problem::not_run(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "The body is too long",
                    detail,
                ));
            }
        }
        Ok(buffered.freeze())
    }
}

async fn read_chunks(stream: &mut ResponseStream, extent: ReadExtent) -> Result<Vec<Bytes>, Problem> {
    let mut chunks = Vec::new();
    while let Some(chunk) = stream.next().await {
        chunks.push(chunk?);
        if extent == ReadExtent::FirstChunk {
            return Ok(chunks);
        }
    }
    Ok(chunks)
}

fn is_repeatable(bundle: &Bundle, path: &ServicePath) -> Result<bool, Problem> {
    let service = bundle
        .fleet()
        .services
        .iter()
        .find(|service| service.name == path.service);
    let service = service.ok_or_else(|| not_found(&format!("no service is called {}", path.service)))?;
    let call = service.calls.iter().find(|call| call.name == path.call);
    let call = call.ok_or_else(|| not_found(&format!("service {} has no call {}", path.service, path.call)))?;
    Ok(call.repeatable)
}

fn deadline_of(headers: &HeaderMap, default_ms: u64) -> Result<Duration, Problem> {
    let Some(text) = header_text(headers, DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(default_ms));
    };
    let parsed: Option<u64> = text.parse().ok();
    match parsed {
        Some(milliseconds @ 1..=3_600_000) => Ok(Duration::from_millis(milliseconds)),
        _ => Err(bad_request(&format!(
            "{DEADLINE_HEADER} is a number of milliseconds from 1 to 3600000"
        ))),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Problem> {
    if !headers.contains_key(KEY_HEADER) {
        return Ok(None);
    }
    let key = header_text(headers, KEY_HEADER).filter(|key| (1..=MAX_KEY_CHARS).contains(&key.len()));
    let wrong = || bad_request(&format!("{KEY_HEADER} has 1 to {MAX_KEY_CHARS} ASCII characters"));
    key.map(Some).ok_or_else(wrong)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

pub(crate) fn bad_request(detail: &str) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "The request is not valid", detail)
}

fn not_found(detail: &str) -> Problem {
    Problem::not_run(StatusCode::NOT_FOUND, "No such thing", detail)
}

fn unauthorized() -> Problem {
    let detail = "send `Authorization: Bearer KEY` with a key of a workspace";
    Problem::not_run(StatusCode::UNAUTHORIZED, "The key is not known", detail)
}
