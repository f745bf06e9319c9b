//! The platform's list of live and draining boxes.
//!
//! Readers see a change only after a configurable lag, as the real list also lags behind the state of the boxes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseUpdatedNoContent, HttpServer, RequestContext, TypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use tokio::time::Instant;

use crate::fault::{Fault, Faults};
use crate::server;

/// Kind of process that a box runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry, which accepts requests from callers.
    Entry,
    /// A target, with an agent beside it.
    Target,
}

/// Whether a box stays in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It stays in service.
    Live,
    /// It will be removed soon, so its work must be drained.
    #[serde(rename = "leaving")]
    Draining,
}

/// One box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ListedBox {
    /// Name of the target or of the entry.
    pub name: String,
    /// Kind of process that it runs.
    pub role: Role,
    /// Hall (zone) of the box.
    pub hall: String,
    /// Address of the entry or agent on the box.
    pub address: String,
    /// Whether it stays in service.
    pub standing: Standing,
}

/// List of all boxes.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
pub struct BoxList {
    /// All boxes.
    pub boxes: Vec<ListedBox>,
    /// Time in milliseconds after which this list becomes visible to readers.
    #[serde(default)]
    pub lag_ms: u64,
}

/// Versions of the list, each with the time from which readers see it, in the order in which they were put.
#[derive(Debug, Default)]
pub struct BoxListState {
    versions: Mutex<Vec<(Instant, BoxList)>>,
    faults: Faults,
}

impl BoxListState {
    fn put(&self, list: BoxList) {
        let visible_from = Instant::now() + Duration::from_millis(list.lag_ms);
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.push((visible_from, list));
    }

    fn visible(&self) -> BoxList {
        let now = Instant::now();
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let current = versions.iter().rposition(|(visible_from, _)| *visible_from <= now);
        if let Some(current) = current {
            versions.drain(..current);
        }
        versions
            .first()
            .filter(|(visible_from, _)| *visible_from <= now)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

type Context = RequestContext<Arc<BoxListState>>;

/// Returns the list that is visible now, with an `ETag` header.
#[endpoint { method = GET, path = "/v1/boxes" }]
async fn get_boxes(context: Context) -> Result<Response<Body>, HttpError> {
    context.context().faults.delay_or_reject().await?;
    let list = context.context().visible();
    let text = serde_json::to_vec(&list).map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let etag = format!("\"{}\"", hex::encode(&Sha256::digest(&text)[..8]));
    let if_none_match = context.request.headers().get(header::IF_NONE_MATCH);
    if if_none_match.is_some_and(|if_none_match| if_none_match.as_bytes() == etag.as_bytes()) {
        return server::respond(StatusCode::NOT_MODIFIED, "application/json", Body::empty());
    }
    let mut response = server::respond(StatusCode::OK, "application/json", Body::from(text))?;
    if let Ok(etag) = header::HeaderValue::from_str(&etag) {
        response.headers_mut().insert(header::ETAG, etag);
    }
    Ok(response)
}

/// Replaces the list; readers see the new one after its lag.
#[endpoint { method = PUT, path = "/admin/boxes" }]
async fn put_boxes(context: Context, body: TypedBody<BoxList>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().put(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Sets the active faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts the server of the box list at `address`.
pub fn start(address: SocketAddr) -> Result<HttpServer<Arc<BoxListState>>, String> {
    let mut api = ApiDescription::new();
    let registration = api
        .register(get_boxes)
        .and_then(|()| api.register(put_boxes))
        .and_then(|()| api.register(put_faults));
    registration.map_err(|error| error.to_string())?;
    server::start(api, Arc::default(), address)
}
