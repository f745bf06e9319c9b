//! The weight store: hands out bytes at a limited rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{ApiDescription, Body, HttpError, HttpServer, RequestContext, TypedBody, endpoint};
use http::Response;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server;

/// The store's state.
#[derive(Debug)]
pub struct Store {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
    drawn: Mutex<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct Draw {
    bytes: u64,
}

#[derive(Serialize)]
struct Drawn {
    total: u64,
}

type Context = RequestContext<Arc<Store>>;

/// Answers when the bytes have been handed out.
#[endpoint { method = POST, path = "/v1/draws" }]
async fn draw(context: Context, body: TypedBody<Draw>) -> Result<Response<Body>, HttpError> {
    let store = context.context();
    let bytes = body.into_inner().bytes;
    let takes = Duration::from_secs_f64(bytes as f64 / store.bytes_per_second);
    let done = {
        let mut free_at = store.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + takes;
        *free_at
    };
    tokio::time::sleep_until(done).await;
    let mut drawn = store.drawn.lock().unwrap_or_else(PoisonError::into_inner);
    *drawn += bytes;
    server::json(&Drawn { total: *drawn })
}

/// Bytes handed out so far.
#[endpoint { method = GET, path = "/admin/counts" }]
async fn counts(context: Context) -> Result<Response<Body>, HttpError> {
    let total = *context.context().drawn.lock().unwrap_or_else(PoisonError::into_inner);
    server::json(&Drawn { total })
}

/// Starts the store at `address`.
pub fn start(address: SocketAddr, bytes_per_second: f64) -> Result<HttpServer<Arc<Store>>, String> {
    let mut api = ApiDescription::new();
    let registered = api.register(draw).and_then(|()| api.register(counts));
    registered.map_err(|error| error.to_string())?;
    let store = Store {
        bytes_per_second,
        free_at: Mutex::new(Instant::now()),
        drawn: Mutex::new(0),
    };
    server::start(api, Arc::new(store), address)
}
