//! The HTTP face of a group of ranks: one server for each rank, one lock-step loop for all.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseUpdatedNoContent, HttpServer, Query, RequestContext, TypedBody,
    UntypedBody, endpoint,
};
use futures::StreamExt as _;
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Bytes, Frame};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sparscale_place::switch::{Act, Order, Report};
use sparscale_place::{Map, Shape};
use tokio::sync::mpsc;

use crate::engine::{Group, Numbered, Sequence, Speed, Step};
use crate::fault::{Fault, Faults};
use crate::server;

/// Pause before a held group looks again.
const HELD_PAUSE: Duration = Duration::from_millis(1);

/// Settings of a group.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of each rank, in rank order.
    pub addresses: Vec<SocketAddr>,
    /// Dimensions of the group.
    pub shape: Shape,
    /// Step time without load.
    pub base: Duration,
    /// Step time added by each sequence on the most loaded rank.
    pub per_sequence: Duration,
    /// Sequences that one rank decodes at once.
    pub batch: usize,
    /// Prompt tokens that one rank prefills in one step.
    pub prefill_per_step: usize,
    /// Whether ranks refuse orders below the highest fence they have seen.
    pub checks_fence: bool,
    /// Size of one expert in one layer, in bytes.
    pub expert_bytes: u64,
    /// Base URL of the weight store; loading takes no time without one.
    pub weights: Option<String>,
}

struct Shared {
    group: Mutex<Group>,
    settings: Settings,
}

/// One rank's context.
pub struct Rank {
    shared: Arc<Shared>,
    index: usize,
    faults: Faults,
}

impl std::fmt::Debug for Rank {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Rank")
            .field("index", &self.index)
            .finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Completion {
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: usize,
}

fn default_tokens() -> usize {
    16
}

#[derive(Deserialize, JsonSchema)]
struct Cancel {
    request: String,
}

#[derive(Deserialize)]
struct Ordered {
    order: Order,
    maps: Vec<Numbered>,
}

#[derive(Serialize)]
struct Load {
    waiting: usize,
    running: usize,
    prefill_tokens: usize,
    step: u64,
    step_micros: u64,
    report: Report,
}

#[derive(Serialize)]
struct Counts {
    steps: u64,
    mixed_steps: u64,
    held: u64,
    old_orders: u64,
    mean_skew: f64,
    report: Report,
}

#[derive(Serialize)]
struct Running {
    requests: Vec<String>,
}

#[derive(Serialize)]
struct Experts {
    tokens: Vec<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct After {
    after: u64,
}

#[derive(Serialize)]
struct Events {
    first: u64,
    events: Vec<Event>,
}

#[derive(Serialize)]
struct Event {
    number: u64,
    block: u64,
    added: bool,
}

/// What tests change about a rank.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
struct Change {
    /// Stops or resumes the rank.
    frozen: Option<bool>,
    /// Replaces the rank by a new process without state.
    replace: bool,
    /// Popularity of each expert; the sum is 1.
    popularity: Option<Vec<f64>>,
}

type Context = RequestContext<Rank>;

impl Rank {
    fn group(&self) -> MutexGuard<'_, Group> {
        self.shared.group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Streams a model answer.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn complete(context: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    rank.faults.before_effect().await?;
    let request: Completion = serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, format!("chat completion: {error}")))?;
    let header = |name: &str| {
        context
            .request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let (sink, source) = mpsc::unbounded_channel();
    let prompt: String = request
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect();
    let sequence = Sequence::new(
        header("x-request-id").unwrap_or_default().to_owned(),
        header("x-priority").and_then(|value| value.parse().ok()).unwrap_or(0),
        prompt,
        request.max_tokens,
        sink,
    );
    rank.group().ranks[rank.index].waiting.push_back(sequence);
    let tokens = futures::stream::unfold(source, |mut source| async move {
        let token = source.recv().await?;
        Some((event(&token), source))
    });
    let whole = tokens.chain(futures::stream::iter([Bytes::from_static(b"data: [DONE]\n\n")]));
    let frames = whole.map(|bytes| Ok::<_, std::convert::Infallible>(Frame::data(bytes)));
    server::respond(StatusCode::OK, "text/event-stream", Body::wrap(StreamBody::new(frames)))
}

fn event(token: &str) -> Bytes {
    let data = serde_json::json!({ "choices": [{ "index": 0, "delta": { "content": token } }] });
    Bytes::from(format!("data: {data}\n\n"))
}

/// Stops a request.
#[endpoint { method = POST, path = "/v1/cancel" }]
async fn cancel(context: Context, body: TypedBody<Cancel>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let rank = context.context();
    rank.group().ranks[rank.index].cancel(&body.into_inner().request);
    Ok(HttpResponseUpdatedNoContent())
}

/// Requests that wait or run.
#[endpoint { method = GET, path = "/v1/running" }]
async fn running(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let group = rank.group();
    let here = &group.ranks[rank.index];
    let all = here.waiting.iter().chain(&here.running);
    server::json(&Running {
        requests: all.map(|sequence| sequence.request.clone()).collect(),
    })
}

/// Load of the rank.
#[endpoint { method = GET, path = "/v1/load" }]
async fn load(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    rank.faults.before_effect().await?;
    let group = rank.group();
    let here = &group.ranks[rank.index];
    server::json(&Load {
        waiting: here.waiting.len(),
        running: here.running.len(),
        prefill_tokens: here.prefill_tokens(),
        step: group.step,
        step_micros: group.step_micros,
        report: here.switch.report(true),
    })
}

/// Tokens that each expert served here.
#[endpoint { method = GET, path = "/v1/experts" }]
async fn experts(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let tokens = rank.group().ranks[rank.index].expert_tokens.clone();
    server::json(&Experts { tokens })
}

/// Cache events; a first number above the one asked for is a gap.
#[endpoint { method = GET, path = "/v1/cache-events" }]
async fn cache_events(context: Context, query: Query<After>) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let after = query.into_inner().after;
    let group = rank.group();
    let kept = &group.ranks[rank.index].events;
    let first = kept.front().map_or(after, |(number, _, _)| *number);
    let new = kept.iter().filter(|(number, _, _)| *number >= after);
    let events = new.map(|(number, block, added)| Event {
        number: *number,
        block: *block,
        added: *added,
    });
    server::json(&Events {
        first,
        events: events.collect(),
    })
}

/// Takes an order about the expert map.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn order(context: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    rank.faults.before_effect().await?;
    let ordered: Ordered = serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, format!("order: {error}")))?;
    if let (Act::Stage { number }, Some(staged)) = (ordered.order.act, ordered.maps.first()) {
        begin_loading(rank, number, &staged.map);
    }
    let report = rank.group().order(rank.index, &ordered.order, ordered.maps);
    if rank.faults.loses_answer() {
        return server::lost();
    }
    server::json(&report)
}

fn begin_loading(rank: &Rank, number: u64, map: &Map) {
    let bytes = {
        let group = rank.group();
        if group.ranks[rank.index].loaded.contains(&number) {
            return;
        }
        let present = group.ranks[rank.index]
            .switch
            .report(true)
            .plan
            .map_or(0, |plan| plan.number);
        let loads = group
            .maps
            .get(&present)
            .map_or(0, |old| loads_of_rank(old, map, rank.index));
        loads as u64 * rank.shared.settings.expert_bytes
    };
    let shared = Arc::clone(&rank.shared);
    let index = rank.index;
    tokio::spawn(async move {
        if let Some(weights) = &shared.settings.weights {
            draw(weights, bytes).await;
        }
        let mut group = shared.group.lock().unwrap_or_else(PoisonError::into_inner);
        group.ranks[index].loaded.insert(number);
    });
}

fn loads_of_rank(old: &Map, new: &Map, rank: usize) -> usize {
    let pairs = old.layers.iter().zip(&new.layers);
    let loads = |(old, new): (&sparscale_place::Layer, &sparscale_place::Layer)| {
        let held = &old.ranks[rank];
        new.ranks[rank].iter().filter(|expert| !held.contains(expert)).count()
    };
    pairs.map(loads).sum()
}

async fn draw(weights: &str, bytes: u64) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = Full::new(Bytes::from(format!("{{\"bytes\":{bytes}}}")));
    let request = http::Request::post(format!("{weights}/v1/draws"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body);
    let Ok(request) = request else { return };
    match client.request(request).await {
        Ok(response) => drop(response.into_body().collect().await),
        Err(error) => log::warn!(error = error.to_string().as_str(); "the weight store does not answer"),
    }
}

/// What the rank did.
#[endpoint { method = GET, path = "/admin/counts" }]
async fn counts(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let group = rank.group();
    server::json(&Counts {
        steps: group.step,
        mixed_steps: group.mixed_steps,
        held: group.held,
        old_orders: group.ranks[rank.index].old_orders,
        mean_skew: group.skew_sum / group.step.max(1) as f64,
        report: group.ranks[rank.index].switch.report(true),
    })
}

/// Changes the rank for a test.
#[endpoint { method = PUT, path = "/admin/rank" }]
async fn put_rank(context: Context, body: TypedBody<Change>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let rank = context.context();
    let change = body.into_inner();
    let mut group = rank.group();
    if change.replace {
        group.replace(rank.index);
    }
    if let Some(frozen) = change.frozen {
        group.ranks[rank.index].frozen = frozen;
    }
    if let Some(popularity) = change.popularity {
        group.popularity = popularity;
    }
    Ok(HttpResponseUpdatedNoContent())
}

/// Switches faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts all ranks of a group.
pub fn start(settings: Settings) -> Result<Vec<HttpServer<Rank>>, String> {
    let speed = Speed {
        base: settings.base,
        per_sequence: settings.per_sequence,
        prefill_per_step: settings.prefill_per_step,
        batch: settings.batch,
    };
    let group = Group::new(settings.shape, speed, settings.checks_fence);
    let shared = Arc::new(Shared {
        group: Mutex::new(group),
        settings: settings.clone(),
    });
    let addresses = settings.addresses.into_iter().enumerate();
    let servers: Result<Vec<_>, String> = addresses
        .map(|(index, address)| start_rank(Arc::clone(&shared), index, address))
        .collect();
    tokio::spawn(run_steps(shared));
    servers
}

fn start_rank(shared: Arc<Shared>, index: usize, address: SocketAddr) -> Result<HttpServer<Rank>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(complete)
        .and_then(|()| api.register(cancel))
        .and_then(|()| api.register(running))
        .and_then(|()| api.register(load))
        .and_then(|()| api.register(experts))
        .and_then(|()| api.register(cache_events))
        .and_then(|()| api.register(order))
        .and_then(|()| api.register(counts))
        .and_then(|()| api.register(put_rank))
        .and_then(|()| api.register(put_faults));
    registered.map_err(|error| error.to_string())?;
    let rank = Rank {
        shared,
        index,
        faults: Faults::default(),
    };
    server::start(api, rank, address)
}

async fn run_steps(shared: Arc<Shared>) {
    loop {
        let step = shared.group.lock().unwrap_or_else(PoisonError::into_inner).step();
        match step {
            Step::Held => tokio::time::sleep(HELD_PAUSE).await,
            Step::Ran(took) => tokio::time::sleep(took).await,
        }
    }
}
