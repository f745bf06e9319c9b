//! The platform's append-only log: offsets, limited retention, outages, lost answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseUpdatedNoContent, HttpServer, Query, RequestContext, TypedBody,
    UntypedBody, endpoint,
};
use http::Response;
use hyper::body::Bytes;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::fault::{Fault, Faults};
use crate::server;

/// Longest record, in bytes.
const MAX_RECORD: usize = 16 << 20;

#[derive(Debug, Default)]
struct Kept {
    first: u64,
    records: VecDeque<Bytes>,
    appends: u64,
    reads: u64,
    bytes_read: u64,
}

/// The log's state.
#[derive(Debug, Default)]
pub struct Store {
    kept: Mutex<Kept>,
    appended: Notify,
    faults: Faults,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize, JsonSchema)]
struct Range {
    from: u64,
    limit: usize,
    wait_ms: u64,
}

#[derive(Serialize)]
struct Page {
    earliest: u64,
    next: u64,
    records: Vec<Stored>,
}

#[derive(Serialize)]
struct Stored {
    offset: u64,
    data: String,
}

#[derive(Deserialize, JsonSchema)]
struct Retention {
    /// Records before this offset are dropped.
    earliest: u64,
}

#[derive(Serialize)]
struct Counts {
    appends: u64,
    reads: u64,
    bytes_read: u64,
    earliest: u64,
    next: u64,
}

impl Store {
    fn append(&self, data: Bytes) -> u64 {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.records.push_back(data);
        kept.appends += 1;
        let offset = kept.first + kept.records.len() as u64 - 1;
        drop(kept);
        self.appended.notify_waiters();
        offset
    }

    fn read(&self, range: &Range) -> Page {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.reads += 1;
        let next = kept.first + kept.records.len() as u64;
        let from = range.from.max(kept.first);
        let offsets = from..next.min(from.saturating_add(range.limit as u64));
        let first = kept.first;
        let records: Vec<Stored> = offsets
            .map(|offset| Stored {
                offset,
                data: STANDARD.encode(&kept.records[(offset - first) as usize]),
            })
            .collect();
        kept.bytes_read += records.iter().map(|record| record.data.len() as u64).sum::<u64>();
        Page {
            earliest: first,
            next,
            records,
        }
    }

    async fn wait(&self, range: &Range) -> Page {
        let deadline = Instant::now() + Duration::from_millis(range.wait_ms);
        loop {
            let appended = self.appended.notified();
            let page = self.read(range);
            let nothing_new = page.records.is_empty() && range.from >= page.earliest;
            if !nothing_new || tokio::time::timeout_at(deadline, appended).await.is_err() {
                return page;
            }
        }
    }

    fn drop_before(&self, earliest: u64) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        while kept.first < earliest && kept.records.pop_front().is_some() {
            kept.first += 1;
        }
    }
}

type Context = RequestContext<Arc<Store>>;

/// Appends one record.
#[endpoint { method = POST, path = "/v1/records" }]
async fn append(context: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let store = context.context();
    store.faults.before_effect().await?;
    if body.as_bytes().len() > MAX_RECORD {
        let message = format!("a record has at most {MAX_RECORD} bytes");
        return Err(HttpError::for_bad_request(None, message));
    }
    let offset = store.append(Bytes::copy_from_slice(body.as_bytes()));
    if store.faults.loses_answer() {
        return server::lost();
    }
    server::json(&Appended { offset })
}

/// Reads records in offset order.
#[endpoint { method = GET, path = "/v1/records" }]
async fn read(context: Context, query: Query<Range>) -> Result<Response<Body>, HttpError> {
    let store = context.context();
    store.faults.before_effect().await?;
    let page = store.wait(&query.into_inner()).await;
    // An outage that began while the reader waited cuts it off, too.
    store.faults.before_effect().await?;
    server::json(&page)
}

/// Switches faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Drops old records.
#[endpoint { method = PUT, path = "/admin/retention" }]
async fn put_retention(
    context: Context,
    body: TypedBody<Retention>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().drop_before(body.into_inner().earliest);
    Ok(HttpResponseUpdatedNoContent())
}

/// What the log did.
#[endpoint { method = GET, path = "/admin/counts" }]
async fn counts(context: Context) -> Result<Response<Body>, HttpError> {
    let kept = context.context().kept.lock().unwrap_or_else(PoisonError::into_inner);
    server::json(&Counts {
        appends: kept.appends,
        reads: kept.reads,
        bytes_read: kept.bytes_read,
        earliest: kept.first,
        next: kept.first + kept.records.len() as u64,
    })
}

/// Starts the log at `address`.
pub fn start(address: SocketAddr) -> Result<HttpServer<Arc<Store>>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(append)
        .and_then(|()| api.register(read))
        .and_then(|()| api.register(put_faults))
        .and_then(|()| api.register(put_retention))
        .and_then(|()| api.register(counts));
    registered.map_err(|error| error.to_string())?;
    server::start(api, Arc::default(), address)
}
