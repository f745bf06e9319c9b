//! A plain service beside the models. Every call has an effect, which it counts.

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

/// One effect, for example a printed document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Effect {
    /// Call that had it.
    pub call: String,
    /// Body of the call.
    pub body: String,
    /// Request id under which the agent handed it on.
    pub request: String,
}

/// Body of a call that ends the process which runs it.
pub const DEADLY_BODY: &str = "{\"deadly\":true}";
/// Body of a call whose connection breaks off first, [`LINGER`] before the process that runs it ends.
pub const LINGERING_BODY: &str = "{\"deadly\":\"later\"}";
/// Time for which that process still listens.
pub const LINGER: Duration = Duration::from_millis(100);
/// What the process then ends with.
const DEADLY_STATUS: i32 = 3;

/// The service's state.
#[derive(Debug)]
pub struct Store {
    effects: Mutex<Vec<Effect>>,
    /// Calls that arrived.
    arrivals: AtomicUsize,
    work: Duration,
    faults: Faults,
}

#[derive(Deserialize, JsonSchema)]
struct Call {
    name: String,
}

#[derive(Serialize)]
struct Done<'a> {
    effect: usize,
    call: &'a str,
    body: &'a str,
}

type Context = RequestContext<Arc<Store>>;

/// Runs a call.
#[endpoint { method = POST, path = "/calls/{name}" }]
async fn call(context: Context, path: Path<Call>, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let store = context.context();
    store.arrivals.fetch_add(1, Ordering::Relaxed);
    let fault = store.faults.get();
    if fault.rest_s > 0 {
        return turn_away(fault.rest_s);
    }
    if body.as_bytes() == DEADLY_BODY.as_bytes() {
        log::warn!("a call ends this process");
        std::process::exit(DEADLY_STATUS);
    }
    if body.as_bytes() == LINGERING_BODY.as_bytes() {
        log::warn!("a call ends this process in a moment");
        tokio::spawn(async {
            tokio::time::sleep(LINGER).await;
            std::process::exit(DEADLY_STATUS);
        });
        return server::lost();
    }
    store.faults.before_effect().await?;
    let header = context.request.headers().get("x-request-id");
    let effect = Effect {
        call: path.into_inner().name,
        body: body.as_str()?.to_owned(),
        request: header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
    };
    let number = {
        let mut effects = store.effects.lock().unwrap_or_else(PoisonError::into_inner);
        effects.push(effect.clone());
        effects.len()
    };
    tokio::time::sleep(store.work).await;
    if store.faults.loses_answer() {
        return server::lost();
    }
    let mut answer = server::json(&Done {
        effect: number,
        call: &effect.call,
        body: &effect.body,
    })?;
    if fault.rate_limit > 0 {
        answer
            .headers_mut()
            .insert("sparscale-rate-limit", HeaderValue::from(fault.rate_limit));
    }
    Ok(answer)
}

/// Turns a call away and asks for rest.
fn turn_away(seconds: u32) -> Result<Response<Body>, HttpError> {
    let mut answer = server::respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Body::from("resting"))?;
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    Ok(answer)
}

/// Number of calls that arrived, turned away or not.
#[endpoint { method = GET, path = "/admin/arrivals" }]
async fn count_arrivals(context: Context) -> Result<Response<Body>, HttpError> {
    server::json(&context.context().arrivals.load(Ordering::Relaxed))
}

/// All effects so far.
#[endpoint { method = GET, path = "/admin/effects" }]
async fn list_effects(context: Context) -> Result<Response<Body>, HttpError> {
    let effects = context.context().effects.lock().unwrap_or_else(PoisonError::into_inner);
    server::json(&*effects)
}

/// Switches faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts the service at `address`; each call works for `work` after its effect.
pub fn start(address: SocketAddr, work: Duration) -> Result<HttpServer<Arc<Store>>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(call)
        .and_then(|()| api.register(list_effects))
        .and_then(|()| api.register(count_arrivals))
        .and_then(|()| api.register(put_faults));
    registered.map_err(|error| error.to_string())?;
    let store = Store {
        effects: Mutex::default(),
        arrivals: AtomicUsize::new(0),
        work,
        faults: Faults::default(),
    };
    server::start(api, Arc::new(store), address)
}
