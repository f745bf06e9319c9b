//! A plain service whose calls have side effects. It records them, so that tests can check how often each call ran.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseUpdatedNoContent, HttpServer, Path, RequestContext, TypedBody,
    UntypedBody, endpoint,
};
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::fault::{Fault, Faults};
use crate::server;

/// Side effect of one call, for example a printed document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Effect {
    /// Name of the call.
    pub call: String,
    /// Body of the call.
    pub body: String,
    /// Request id with which the agent forwarded the call.
    pub request: String,
}

/// Body of a call that terminates the service's process at once.
pub const CRASH_BODY: &str = "{\"deadly\":true}";
/// Body of a call whose response breaks off at once, and that terminates the service's process [`CRASH_DELAY`] later.
pub const DELAYED_CRASH_BODY: &str = "{\"deadly\":\"later\"}";
/// Time for which the process still listens after a [`DELAYED_CRASH_BODY`].
pub const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Exit code after either of these calls.
const CRASH_EXIT_CODE: i32 = 3;

/// State of the service.
#[derive(Debug)]
pub struct ServiceState {
    effects: Mutex<Vec<Effect>>,
    /// Number of calls that arrived, rejected ones included.
    arrival_count: AtomicUsize,
    work_time: Duration,
    faults: Faults,
}

#[derive(Deserialize, JsonSchema)]
struct CallPath {
    name: String,
}

#[derive(Serialize)]
struct CallResponse<'a> {
    effect: usize,
    call: &'a str,
    body: &'a str,
}

type Context = RequestContext<Arc<ServiceState>>;

/// Runs a call and records its effect.
#[endpoint { method = POST, path = "/calls/{name}" }]
async fn call(context: Context, path: Path<CallPath>, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    state.arrival_count.fetch_add(1, Ordering::Relaxed);
    let fault = state.faults.get();
    if fault.rest_s > 0 {
        return reject_with_backoff(fault.rest_s);
    }
    if body.as_bytes() == CRASH_BODY.as_bytes() {
        log::warn!("crash requested by a call; exiting");
        std::process::exit(CRASH_EXIT_CODE);
    }
    if body.as_bytes() == DELAYED_CRASH_BODY.as_bytes() {
        log::warn!("delayed crash requested by a call; exiting soon");
        tokio::spawn(async {
            tokio::time::sleep(CRASH_DELAY).await;
            std::process::exit(CRASH_EXIT_CODE);
        });
        return server::broken_response();
    }
    state.faults.delay_or_reject().await?;
    let header = context.request.headers().get("x-request-id");
    let effect = Effect {
        call: path.into_inner().name,
        body: body.as_str()?.to_owned(),
        request: header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
    };
    let effect_number = {
        let mut effects = state.effects.lock().unwrap_or_else(PoisonError::into_inner);
        effects.push(effect.clone());
        effects.len()
    };
    tokio::time::sleep(state.work_time).await;
    if state.faults.consume_response_loss() {
        return server::broken_response();
    }
    let mut response = server::json(&CallResponse {
        effect: effect_number,
        call: &effect.call,
        body: &effect.body,
    })?;
    if fault.rate_limit > 0 {
        response
            .headers_mut()
            .insert("sparscale-rate-limit", HeaderValue::from(fault.rate_limit));
    }
    Ok(response)
}

/// Rejects a call with status 503 and requests a backoff in `Retry-After`.
fn reject_with_backoff(backoff_secs: u32) -> Result<Response<Body>, HttpError> {
    let mut response = server::respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Body::from("resting"))?;
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(backoff_secs));
    Ok(response)
}

/// Returns the number of calls that arrived, rejected ones included.
#[endpoint { method = GET, path = "/admin/arrivals" }]
async fn count_arrivals(context: Context) -> Result<Response<Body>, HttpError> {
    server::json(&context.context().arrival_count.load(Ordering::Relaxed))
}

/// Returns all effects so far.
#[endpoint { method = GET, path = "/admin/effects" }]
async fn list_effects(context: Context) -> Result<Response<Body>, HttpError> {
    let effects = context.context().effects.lock().unwrap_or_else(PoisonError::into_inner);
    server::json(&*effects)
}

/// Sets the active faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts the service at `address`; each call takes `work_time` after its effect.
pub fn start(address: SocketAddr, work_time: Duration) -> Result<HttpServer<Arc<ServiceState>>, String> {
    let mut api = ApiDescription::new();
    let registration = api
        .register(call)
        .and_then(|()| api.register(list_effects))
        .and_then(|()| api.register(count_arrivals))
        .and_then(|()| api.register(put_faults));
    registration.map_err(|error| error.to_string())?;
    let state = ServiceState {
        effects: Mutex::default(),
        arrival_count: AtomicUsize::new(0),
        work_time,
        faults: Faults::default(),
    };
    server::start(api, Arc::new(state), address)
}
