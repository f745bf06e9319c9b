//! The platform's append-only log, with offsets and limited retention; outages and lost responses can be injected.

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

/// Maximum size of a record.
const MAX_RECORD_BYTES: usize = 16 << 20;

#[derive(Debug, Default)]
struct LogContents {
    first_offset: u64,
    records: VecDeque<Bytes>,
    append_count: u64,
    read_count: u64,
    bytes_read: u64,
}

/// State of the log.
#[derive(Debug, Default)]
pub struct LogState {
    contents: Mutex<LogContents>,
    appended: Notify,
    faults: Faults,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize, JsonSchema)]
struct ReadQuery {
    from: u64,
    limit: usize,
    wait_ms: u64,
}

#[derive(Serialize)]
struct Page {
    earliest: u64,
    next: u64,
    records: Vec<StoredRecord>,
}

#[derive(Serialize)]
struct StoredRecord {
    offset: u64,
    data: String,
}

#[derive(Deserialize, JsonSchema)]
struct Retention {
    /// First offset to keep; records before it are dropped.
    earliest: u64,
}

#[derive(Serialize)]
struct LogCounts {
    appends: u64,
    reads: u64,
    bytes_read: u64,
    earliest: u64,
    next: u64,
}

impl LogState {
    fn append(&self, data: Bytes) -> u64 {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.records.push_back(data);
        contents.append_count += 1;
        let offset = contents.first_offset + contents.records.len() as u64 - 1;
        drop(contents);
        self.appended.notify_waiters();
        offset
    }

    fn read(&self, query: &ReadQuery) -> Page {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.read_count += 1;
        let next = contents.first_offset + contents.records.len() as u64;
        let from = query.from.max(contents.first_offset);
        let offsets = from..next.min(from.saturating_add(query.limit as u64));
        let first_offset = contents.first_offset;
        let records: Vec<StoredRecord> = offsets
            .map(|offset| StoredRecord {
                offset,
                data: STANDARD.encode(&contents.records[(offset - first_offset) as usize]),
            })
            .collect();
        contents.bytes_read += records.iter().map(|record| record.data.len() as u64).sum::<u64>();
        Page {
            earliest: first_offset,
            next,
            records,
        }
    }

    async fn read_or_wait(&self, query: &ReadQuery) -> Page {
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
        loop {
            let appended = self.appended.notified();
            let page = self.read(query);
            let is_caught_up = page.records.is_empty() && query.from >= page.earliest;
            if !is_caught_up || tokio::time::timeout_at(deadline, appended).await.is_err() {
                return page;
            }
        }
    }

    fn drop_before(&self, earliest: u64) {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        while contents.first_offset < earliest && contents.records.pop_front().is_some() {
            contents.first_offset += 1;
        }
    }
}

type Context = RequestContext<Arc<LogState>>;

/// Appends one record and returns its offset.
#[endpoint { method = POST, path = "/v1/records" }]
async fn append(context: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    state.faults.delay_or_reject().await?;
    if body.as_bytes().len() > MAX_RECORD_BYTES {
        let message = format!("a record has at most {MAX_RECORD_BYTES} bytes");
        return Err(HttpError::for_bad_request(None, message));
    }
    let offset = state.append(Bytes::copy_from_slice(body.as_bytes()));
    if state.faults.consume_response_loss() {
        return server::broken_response();
    }
    server::json(&AppendResponse { offset })
}

/// Returns records in offset order; waits up to `wait_ms` for a new record if there is none yet.
#[endpoint { method = GET, path = "/v1/records" }]
async fn read(context: Context, query: Query<ReadQuery>) -> Result<Response<Body>, HttpError> {
    let state = context.context();
    state.faults.delay_or_reject().await?;
    let page = state.read_or_wait(&query.into_inner()).await;
    // An outage that began while the reader waited applies to this read, too.
    state.faults.delay_or_reject().await?;
    server::json(&page)
}

/// Sets the active faults.
#[endpoint { method = PUT, path = "/admin/faults" }]
async fn put_faults(context: Context, body: TypedBody<Fault>) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().faults.set(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Drops the records before an offset.
#[endpoint { method = PUT, path = "/admin/retention" }]
async fn put_retention(
    context: Context,
    body: TypedBody<Retention>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().drop_before(body.into_inner().earliest);
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns how many appends and reads the log served, and which offsets it holds.
#[endpoint { method = GET, path = "/admin/counts" }]
async fn counts(context: Context) -> Result<Response<Body>, HttpError> {
    let contents = context
        .context()
        .contents
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    server::json(&LogCounts {
        appends: contents.append_count,
        reads: contents.read_count,
        bytes_read: contents.bytes_read,
        earliest: contents.first_offset,
        next: contents.first_offset + contents.records.len() as u64,
    })
}

/// Starts the log at `address`.
pub fn start(address: SocketAddr) -> Result<HttpServer<Arc<LogState>>, String> {
    let mut api = ApiDescription::new();
    let registration = api
        .register(append)
        .and_then(|()| api.register(read))
        .and_then(|()| api.register(put_faults))
        .and_then(|()| api.register(put_retention))
        .and_then(|()| api.register(counts));
    registration.map_err(|error| error.to_string())?;
    server::start(api, Arc::default(), address)
}
