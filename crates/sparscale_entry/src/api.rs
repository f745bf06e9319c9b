//! HTTP API for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use serde::Serialize;
use sparscale_board::prefix_blocks;
use sparscale_bundle::{Bundle, Workspace};
use sparscale_catalog::Limits;
use sparscale_control::Journal;
use sparscale_intake::{Body, BodyError, BodyReader, Handler, Owner, RequestSpan, STALL_TIME, full_body};
use sparscale_route::Request as RouteRequest;
use sparscale_wire::{Call, Settlement};
use tokio::time::Instant;

use crate::completion;
use crate::dispatch::Dispatcher;
use crate::job::{Job, Pool};
use crate::limits::{InFlight, InFlightGuard};
use crate::problem::Problem;
use crate::respond::{json_response, response_text, service_response, stream_response};
use crate::response_stream::{ReadExtent, ResponseStream};
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
    /// Limits of requests.
    pub(crate) limits: Limits,
    pub(crate) ticket_lifetime: Duration,
    pub(crate) is_stopping: AtomicBool,
}

/// An authenticated caller whose request was admitted.
struct Caller {
    bundle: Arc<Bundle>,
    workspace: Arc<Workspace>,
    tier: u8,
    deadline: Instant,
    guard: InFlightGuard,
}

/// An endpoint, with the parts of its path.
enum Endpoint {
    /// A chat completion, streamed if the caller requests it.
    Complete,
    /// A call to a plain service.
    CallService(ServicePath),
    /// A ticket for one call that may not be repeated, to this service.
    IssueTicket(String),
    /// The outcome of the request with this id.
    AskAbout(String),
    /// Liveness check.
    Health,
    /// Readiness check for the balancer.
    Readiness,
}

struct ServicePath {
    service: String,
    call: String,
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

impl Endpoint {
    /// The endpoint of a request.
    fn of(method: &Method, path: &str) -> Result<Self, Problem> {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let (allowed, endpoint) = match parts.as_slice() {
            ["v1", "chat", "completions"] => (Method::POST, Self::Complete),
            ["v1", "services", service, call] => (
                Method::POST,
                Self::CallService(ServicePath {
                    service: decode(service)?,
                    call: decode(call)?,
                }),
            ),
            ["v1", "tickets", service] => (Method::POST, Self::IssueTicket(decode(service)?)),
            ["v1", "requests", id] => (Method::GET, Self::AskAbout(decode(id)?)),
            ["healthz"] => (Method::GET, Self::Health),
            ["readyz"] => (Method::GET, Self::Readiness),
            _ => return Err(not_found("no such path")),
        };
        if *method != allowed {
            let detail = format!("use {allowed}");
            return Err(Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "Wrong method", detail));
        }
        Ok(endpoint)
    }
}

/// Decodes the percent encoding of one part of a path.
fn decode(part: &str) -> Result<String, Problem> {
    let text = percent_encoding::percent_decode_str(part).decode_utf8();
    let text = text.map_err(|_bytes| bad_request("the path is not valid UTF-8"))?;
    if text.is_empty() {
        return Err(not_found("no such path"));
    }
    Ok(text.into_owned())
}

impl Handler for Api {
    fn limits(&self) -> Limits {
        self.limits
    }

    async fn handle(&self, request: Request<Incoming>, span: &Arc<RequestSpan>) -> Response<Body> {
        let (head, mut incoming) = request.into_parts();
        let result = match Endpoint::of(&head.method, head.uri.path()) {
            Ok(endpoint) => self.respond(endpoint, &head.headers, &mut incoming, span).await,
            Err(problem) => Err(problem),
        };
        // A caller that waits for the decision has not sent the body.
        if !incoming.is_end_stream() && !head.headers.contains_key(header::EXPECT) {
            Arc::clone(span).discard(incoming, self.limits.max_body_bytes);
        }
        result.unwrap_or_else(|problem| problem.to_response())
    }
}

impl Api {
    async fn respond(
        &self,
        endpoint: Endpoint,
        headers: &HeaderMap,
        incoming: &mut Incoming,
        span: &Arc<RequestSpan>,
    ) -> Result<Response<Body>, Problem> {
        match endpoint {
            Endpoint::Complete => self.complete(headers, incoming, span).await,
            Endpoint::CallService(path) => self.call_service(headers, &path, incoming, span).await,
            Endpoint::IssueTicket(service) => self.issue_ticket(headers, service),
            Endpoint::AskAbout(id) => self.ask_about(headers, &id).await,
            Endpoint::Health => Ok(Response::new(full_body("alive\n"))),
            Endpoint::Readiness => Ok(self.readiness()),
        }
    }

    fn readiness(&self) -> Response<Body> {
        let is_ready = !self.is_stopping.load(Ordering::Relaxed) && self.journal.active_certificate().is_some();
        let mut response = Response::new(full_body(if is_ready { "ready\n" } else { "not ready\n" }));
        if !is_ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

impl Api {
    async fn complete(
        &self,
        headers: &HeaderMap,
        incoming: &mut Incoming,
        span: &Arc<RequestSpan>,
    ) -> Result<Response<Body>, Problem> {
        let caller = self.admit_caller(headers)?;
        let body = self.read_body(incoming, &caller, span).await?;
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
            let problem = match stream.read(extent).await {
                Ok(chunks) => return Ok((stream, chunks)),
                Err(problem) => problem,
            };
            if !job.repeatable || stream.is_rejection() || Instant::now() >= job.deadline {
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
        incoming: &mut Incoming,
        span: &Arc<RequestSpan>,
    ) -> Result<Response<Body>, Problem> {
        let caller = self.admit_caller(headers)?;
        let repeatable = is_repeatable(&caller.bundle, path)?;
        let body = self.read_body(incoming, &caller, span).await?;
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

    async fn read_body(
        &self,
        incoming: &mut Incoming,
        caller: &Caller,
        span: &Arc<RequestSpan>,
    ) -> Result<Bytes, Problem> {
        if incoming.is_end_stream() {
            return Ok(Bytes::new());
        }
        let reader = BodyReader {
            connection: span.connection(),
            owner: Owner::of_workspace(&caller.workspace.name),
            limits: &self.limits,
            deadline: caller.deadline,
        };
        let body = reader.read(incoming).await;
        Ok(body.map_err(|error| self.body_problem(error))?.into_contiguous())
    }

    fn body_problem(&self, error: BodyError) -> Problem {
        let late = |detail| Problem::not_run(StatusCode::REQUEST_TIMEOUT, "The body stopped arriving", detail);
        match error {
            BodyError::TooLong => {
                let detail = format!("a body has at most {} bytes", self.limits.max_body_bytes);
                Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "The body is too long", detail)
            }
            BodyError::NoRoom => {
                let detail = "this entry has no room for the body now";
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "No room", detail).retry_after(STALL_TIME)
            }
            BodyError::Stalled => late("others needed its room").retry_after(STALL_TIME),
            BodyError::Late => late("send it without pauses"),
            BodyError::Unreadable => bad_request("the body cannot be read"),
        }
    }
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
