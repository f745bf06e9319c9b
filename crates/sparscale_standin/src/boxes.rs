//! The platform's list of live and leaving boxes, which lags behind reality.

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

/// What a box runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Runs a target, with an agent beside it.
    Target,
}

/// Whether a box stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It stays.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One box of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Listed {
    /// Name of the target, or of the entry.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// Hall that it stands in.
    pub hall: String,
    /// Address of the system's process there.
    pub address: String,
    /// Whether it stays.
    pub standing: Standing,
}

/// The whole list.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
pub struct List {
    /// All boxes.
    pub boxes: Vec<Listed>,
    /// How late the list shows changes, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
}

/// The list's state: what is true, and what is shown until when.
#[derive(Debug, Default)]
pub struct Store {
    lists: Mutex<Vec<(Instant, List)>>,
    faults: Faults,
}

impl Store {
    fn put(&self, list: List) {
        let shown_at = Instant::now() + Duration::from_millis(list.lag_ms);
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.push((shown_at, list));
    }

    fn shown(&self) -> List {
        let now = Instant::now();
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let current = lists.iter().rposition(|(shown_at, _)| *shown_at <= now);
        if let Some(current) = current {
            lists.drain(..current);
        }
        lists
            .first()
            .filter(|(shown_at, _)| *shown_at <= now)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

type Context = RequestContext<Arc<Store>>;

/// The list as it is shown now.
#[endpoint { method = GET, path = "/v1/boxes" }]
async fn get_boxes(context: Context) -> Result<Response<Body>, HttpError> {
    context.context().faults.before_effect().await?;
    let list = context.context().shown();
    let text = serde_json::to_vec(&list).map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let tag = format!("\"{}\"", hex::encode(&Sha256::digest(&text)[..8]));
    let known = context.request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return server::respond(StatusCode::NOT_MODIFIED, "application/json", Body::empty());
    }
    let mut response = server::respond(StatusCode::OK, "application/json", Body::from(text))?;
    if let Ok(tag) = header::HeaderValue::from_str(&tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

/// Replaces the list; readers see it after its lag.
#[endpoint { method = PUT, path = "/admin/boxes" }]
async fn put_boxes(context: Context, body: TypedBody<List>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().put(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Switches faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Starts the list at `address`.
pub fn start(address: SocketAddr) -> Result<HttpServer<Arc<Store>>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(get_boxes)
        .and_then(|()| api.register(put_boxes))
        .and_then(|()| api.register(put_faults));
    registered.map_err(|error| error.to_string())?;
    server::start(api, Arc::default(), address)
}
