//! The weight store, which serves bytes at a limited rate that all readers share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{ApiDescription, Body, HttpError, HttpServer, RequestContext, TypedBody, endpoint};
use http::Response;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server;

/// State of the weight store.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_second: f64,
    busy_until: Mutex<Instant>,
    drawn_bytes: Mutex<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct Draw {
    bytes: u64,
}

#[derive(Serialize)]
struct DrawnBytes {
    total: u64,
}

type Context = RequestContext<Arc<WeightStore>>;

/// Responds once the requested bytes would have been transferred; draws are served one after the other.
#[endpoint { method = POST, path = "/v1/draws" }]
async fn draw(context: Context, body: TypedBody<Draw>) -> Result<Response<Body>, HttpError> {
    let store = context.context();
    let bytes = body.into_inner().bytes;
    let transfer_time = Duration::from_secs_f64(bytes as f64 / store.bytes_per_second);
    let done_at = {
        let mut busy_until = store.busy_until.lock().unwrap_or_else(PoisonError::into_inner);
        *busy_until = (*busy_until).max(Instant::now()) + transfer_time;
        *busy_until
    };
    tokio::time::sleep_until(done_at).await;
    let mut drawn_bytes = store.drawn_bytes.lock().unwrap_or_else(PoisonError::into_inner);
    *drawn_bytes += bytes;
    server::json(&DrawnBytes { total: *drawn_bytes })
}

/// Returns the number of bytes served so far.
#[endpoint { method = GET, path = "/admin/counts" }]
async fn counts(context: Context) -> Result<Response<Body>, HttpError> {
    let total = *context
        .context()
        .drawn_bytes
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    server::json(&DrawnBytes { total })
}

/// Starts the weight store at `address`.
pub fn start(address: SocketAddr, bytes_per_second: f64) -> Result<HttpServer<Arc<WeightStore>>, String> {
    let mut api = ApiDescription::new();
    let registration = api.register(draw).and_then(|()| api.register(counts));
    registration.map_err(|error| error.to_string())?;
    let store = WeightStore {
        bytes_per_second,
        busy_until: Mutex::new(Instant::now()),
        drawn_bytes: Mutex::new(0),
    };
    server::start(api, Arc::new(store), address)
}
