//! HTTP servers of a simulated group: one server for each rank, and one loop that steps all ranks together.

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

use crate::engine::{Group, NumberedMap, Sequence, Step, StepModel};
use crate::fault::{Fault, Faults};
use crate::server;

/// Message that terminates the process of the group as soon as it is in a prompt.
pub const CRASH_MESSAGE: &str = "this message crashes ranks";
/// Exit code after such a prompt.
const CRASH_EXIT_CODE: i32 = 3;
/// Interval at which a stalled group checks whether it can step.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of a group.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of each rank, in rank order.
    pub addresses: Vec<SocketAddr>,
    /// Dimensions of the group and its expert map.
    pub shape: Shape,
    /// Step time without load.
    pub base_step_time: Duration,
    /// Step time added by each sequence on the most loaded rank.
    pub time_per_sequence: Duration,
    /// Maximum number of sequences that one rank runs at once.
    pub batch_size: usize,
    /// Prompt tokens that one rank prefills in one step.
    pub prefill_per_step: usize,
    /// Whether ranks reject orders with a fence below the highest one that they have seen.
    pub checks_fence: bool,
    /// Size of one expert in one layer, in bytes.
    pub expert_bytes: u64,
    /// Base URL of the weight store; without one, loading takes no time.
    pub weight_store_url: Option<String>,
}

struct Shared {
    group: Mutex<Group>,
    settings: Settings,
}

/// Server context of one rank.
pub struct RankServer {
    shared: Arc<Shared>,
    index: usize,
    faults: Faults,
}

impl std::fmt::Debug for RankServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RankServer")
            .field("index", &self.index)
            .finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Deserialize)]
struct CompletionRequest {
    messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens")]
    max_tokens: usize,
}

fn default_max_tokens() -> usize {
    16
}

#[derive(Deserialize, JsonSchema)]
struct CancelRequest {
    request: String,
}

#[derive(Deserialize)]
struct OrderRequest {
    order: Order,
    maps: Vec<NumberedMap>,
}

#[derive(Serialize)]
struct RankLoad {
    waiting: usize,
    running: usize,
    prefill_tokens: usize,
    step: u64,
    step_micros: u64,
    report: Report,
}

#[derive(Serialize)]
struct RankCounts {
    steps: u64,
    mixed_steps: u64,
    held: u64,
    old_orders: u64,
    mean_skew: f64,
    report: Report,
}

#[derive(Serialize)]
struct RunningRequests {
    requests: Vec<String>,
}

#[derive(Serialize)]
struct ExpertTokens {
    tokens: Vec<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct CacheEventsQuery {
    after: u64,
}

#[derive(Serialize)]
struct CacheEvents {
    first: u64,
    events: Vec<CacheEvent>,
}

#[derive(Serialize)]
struct CacheEvent {
    number: u64,
    block: u64,
    added: bool,
}

/// Change that a test makes to a rank.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
struct RankChange {
    /// Freezes (`true`) or resumes (`false`) the rank.
    frozen: Option<bool>,
    /// Replaces the rank by a new incarnation without state.
    replace: bool,
    /// New popularity of each expert, for the whole group; the sum is 1.
    popularity: Option<Vec<f64>>,
}

type Context = RequestContext<RankServer>;

impl RankServer {
    fn group(&self) -> MutexGuard<'_, Group> {
        self.shared.group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queues a chat completion and streams its tokens.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn complete(context: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    rank.faults.delay_or_reject().await?;
    let request: CompletionRequest = serde_json::from_slice(body.as_bytes())
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
    if prompt.contains(CRASH_MESSAGE) {
        log::warn!("crash requested by a prompt; exiting");
        std::process::exit(CRASH_EXIT_CODE);
    }
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
        Some((token_event(&token), source))
    });
    let with_end_marker = tokens.chain(futures::stream::iter([Bytes::from_static(b"data: [DONE]\n\n")]));
    let frames = with_end_marker.map(|bytes| Ok::<_, std::convert::Infallible>(Frame::data(bytes)));
    let status = StatusCode::from_u16(rank.faults.get().stream_status).unwrap_or(StatusCode::OK);
    server::respond(status, "text/event-stream", Body::wrap(StreamBody::new(frames)))
}

/// Returns a server-sent event with one token, as a chunk of a chat completion.
fn token_event(token: &str) -> Bytes {
    let data = serde_json::json!({ "choices": [{ "index": 0, "delta": { "content": token } }] });
    Bytes::from(format!("data: {data}\n\n"))
}

/// Cancels a request that waits or runs on the rank.
#[endpoint { method = POST, path = "/v1/cancel" }]
async fn cancel(context: Context, body: TypedBody<CancelRequest>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let rank = context.context();
    rank.group().ranks[rank.index].cancel(&body.into_inner().request);
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the ids of the requests that wait or run on the rank.
#[endpoint { method = GET, path = "/v1/running" }]
async fn running(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let group = rank.group();
    let rank_state = &group.ranks[rank.index];
    let sequences = rank_state.waiting.iter().chain(&rank_state.running);
    server::json(&RunningRequests {
        requests: sequences.map(|sequence| sequence.request_id.clone()).collect(),
    })
}

/// Returns the load of the rank and the state of its map switch.
#[endpoint { method = GET, path = "/v1/load" }]
async fn load(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    rank.faults.delay_or_reject().await?;
    let group = rank.group();
    let rank_state = &group.ranks[rank.index];
    server::json(&RankLoad {
        waiting: rank_state.waiting.len(),
        running: rank_state.running.len(),
        prefill_tokens: rank_state.prefill_tokens(),
        step: group.step,
        step_micros: group.last_step_micros,
        report: rank_state.switch.report(true),
    })
}

/// Returns the number of tokens that each expert processed on the rank.
#[endpoint { method = GET, path = "/v1/experts" }]
async fn experts(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let tokens = rank.group().ranks[rank.index].expert_tokens.clone();
    server::json(&ExpertTokens { tokens })
}

/// Returns cache events from number `after` on; a `first` above `after` means that events are missing.
#[endpoint { method = GET, path = "/v1/cache-events" }]
async fn cache_events(context: Context, query: Query<CacheEventsQuery>) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let after = query.into_inner().after;
    let group = rank.group();
    let events = &group.ranks[rank.index].cache_events;
    let first = events.front().map_or(after, |(number, _, _)| *number);
    let new_events = events.iter().filter(|(number, _, _)| *number >= after);
    let events = new_events.map(|(number, block, added)| CacheEvent {
        number: *number,
        block: *block,
        added: *added,
    });
    server::json(&CacheEvents {
        first,
        events: events.collect(),
    })
}

/// Applies a map switch order to the rank and returns the rank's report.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn order(context: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    rank.faults.delay_or_reject().await?;
    let request: OrderRequest = serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, format!("order: {error}")))?;
    if let (Act::Stage { number }, Some(staged)) = (request.order.act, request.maps.first()) {
        begin_loading(rank, number, &staged.map);
    }
    let report = rank.group().handle_order(rank.index, &request.order, request.maps);
    if rank.faults.consume_response_loss() {
        return server::broken_response();
    }
    server::json(&report)
}

/// Marks map `number` as loaded once the weights of the experts that the rank lacks have arrived.
fn begin_loading(rank: &RankServer, number: u64, map: &Map) {
    let bytes = {
        let group = rank.group();
        if group.ranks[rank.index].loaded_maps.contains(&number) {
            return;
        }
        let current_number = group.ranks[rank.index]
            .switch
            .report(true)
            .plan
            .map_or(0, |plan| plan.number);
        let load_count = group
            .maps
            .get(&current_number)
            .map_or(0, |old| count_experts_to_load(old, map, rank.index));
        load_count as u64 * rank.shared.settings.expert_bytes
    };
    let shared = Arc::clone(&rank.shared);
    let index = rank.index;
    tokio::spawn(async move {
        if let Some(weight_store_url) = &shared.settings.weight_store_url {
            wait_for_weights(weight_store_url, bytes).await;
        }
        let mut group = shared.group.lock().unwrap_or_else(PoisonError::into_inner);
        group.ranks[index].loaded_maps.insert(number);
    });
}

/// Returns how many experts, over all layers, `rank` holds in `new` but not in `old`.
fn count_experts_to_load(old: &Map, new: &Map, rank: usize) -> usize {
    let pairs = old.layers.iter().zip(&new.layers);
    let count_missing = |(old, new): (&sparscale_place::Layer, &sparscale_place::Layer)| {
        let old_experts = &old.ranks[rank];
        new.ranks[rank]
            .iter()
            .filter(|expert| !old_experts.contains(expert))
            .count()
    };
    pairs.map(count_missing).sum()
}

/// Waits until the weight store has served `bytes`; logs a warning if it does not respond.
async fn wait_for_weights(weight_store_url: &str, bytes: u64) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = Full::new(Bytes::from(format!("{{\"bytes\":{bytes}}}")));
    let request = http::Request::post(format!("{weight_store_url}/v1/draws"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body);
    let Ok(request) = request else { return };
    match client.request(request).await {
        Ok(response) => drop(response.into_body().collect().await),
        Err(error) => log::warn!(error = error.to_string().as_str(); "weight store unavailable; skipping its delay"),
    }
}

/// Returns counters of the group and of the rank.
#[endpoint { method = GET, path = "/admin/counts" }]
async fn counts(context: Context) -> Result<Response<Body>, HttpError> {
    let rank = context.context();
    let group = rank.group();
    server::json(&RankCounts {
        steps: group.step,
        mixed_steps: group.mixed_step_count,
        held: group.stall_count,
        old_orders: group.ranks[rank.index].stale_order_count,
        mean_skew: group.skew_sum / group.step.max(1) as f64,
        report: group.ranks[rank.index].switch.report(true),
    })
}

/// Freezes, resumes or replaces the rank, or sets the expert popularity.
#[endpoint { method = PUT, path = "/admin/rank" }]
async fn put_rank(context: Context, body: TypedBody<RankChange>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let rank = context.context();
    let change = body.into_inner();
    let mut group = rank.group();
    if change.replace {
        group.replace(rank.index);
    }
    if let Some(frozen) = change.frozen {
        group.ranks[rank.index].is_frozen = frozen;
    }
    if let Some(popularity) = change.popularity {
        group.popularity = popularity;
    }
    Ok(HttpResponseUpdatedNoContent())
}

/// Sets the active faults of the rank.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts the servers of all ranks and the loop that steps them.
pub fn start(settings: Settings) -> Result<Vec<HttpServer<RankServer>>, String> {
    let step_model = StepModel {
        base_step_time: settings.base_step_time,
        time_per_sequence: settings.time_per_sequence,
        prefill_per_step: settings.prefill_per_step,
        batch_size: settings.batch_size,
    };
    let group = Group::new(settings.shape, step_model, settings.checks_fence);
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

fn start_rank(shared: Arc<Shared>, index: usize, address: SocketAddr) -> Result<HttpServer<RankServer>, String> {
    let mut api = ApiDescription::new();
    let registration = api
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
    registration.map_err(|error| error.to_string())?;
    let rank = RankServer {
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
            Step::Stalled => tokio::time::sleep(STALL_POLL_INTERVAL).await,
            Step::Advanced(duration) => tokio::time::sleep(duration).await,
        }
    }
}
