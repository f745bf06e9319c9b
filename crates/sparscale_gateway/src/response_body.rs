//! Reads the body of a response, and distinguishes its regular end from a response that was cut off.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use sparscale_catalog::Instance;
use sparscale_clock::Timestamp;
use sparscale_policy::framing::Framing;
use sparscale_policy::termination::Verdict;

use crate::pool::{Connection, Pool};
use crate::process_monitor::{EndedResponse, ProcessMonitor};
use crate::response_error::ResponseError;
use crate::witness::ProcessWatch;

/// The remaining body of a response, and the connection that it arrives on.
#[derive(Debug)]
pub(crate) struct RemainingBody {
    pub(crate) incoming: Incoming,
    /// None once the body has ended.
    pub(crate) connection: Option<Connection>,
    pub(crate) headers: HeaderMap,
    pub(crate) instance: Instance,
    pub(crate) pool: Arc<Pool>,
    /// Watches the process of the target if only the end of the connection ends the body.
    pub(crate) watch: Option<Watch>,
}

/// Watches the process that sends a response without a length.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) process: ProcessWatch,
    pub(crate) monitor: Arc<ProcessMonitor>,
    /// When the request was sent.
    pub(crate) sent_at: Timestamp,
    /// Id of the request.
    pub(crate) request_id: Option<HeaderValue>,
    /// Bytes of the body so far.
    pub(crate) received_bytes: u64,
}

impl RemainingBody {
    /// The next bytes of the body, or none at its regular end, where the connection goes back to the pool. The end of the
    /// connection is no regular end if the target's process ended with it: the rest of the body may be missing.
    ///
    /// Cancel safe: if the future is dropped, the next call continues.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                return self.finish().await.map(|()| None);
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.map_err(|_broken| ResponseError::ConnectionLost)?.into_data() {
                if let Some(watch) = &mut self.watch {
                    watch.received_bytes += data.len() as u64;
                }
                return Ok(Some(data));
            }
        }
    }

    async fn finish(&mut self) -> Result<(), ResponseError> {
        if let (Some(connection), Some(watch)) = (&self.connection, &self.watch) {
            let ended = EndedResponse {
                instance: &self.instance,
                request_id: watch.request_id.as_ref(),
                process: &watch.process,
                stream: &connection.stream,
                sent_at: watch.sent_at,
                received_bytes: watch.received_bytes,
            };
            match watch.monitor.verdict(&ended).await {
                Verdict::Running => {}
                Verdict::Terminated => return Err(ResponseError::ProcessEnded),
                Verdict::Unknown => return Err(ResponseError::ConnectionLost),
            }
        }
        if let Some(connection) = self.connection.take() {
            self.pool.put(self.instance.key, connection, &self.headers);
        }
        Ok(())
    }
}

/// How the response shows where it ends, as the HTTP client understands it.
pub(crate) fn framing_of(headers: &HeaderMap, body: &Incoming) -> Framing {
    if body.is_end_stream() || body.size_hint().exact().is_some() || is_chunked(headers) {
        Framing::Delimited
    } else {
        Framing::Undelimited
    }
}

/// Whether the body has a transfer coding that is not decoded, so that its bytes are not those of the response.
pub(crate) fn has_unknown_coding(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) && !is_chunked(headers)
}

/// Whether `chunked` is the only transfer coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let only = codings.next().filter(|_| codings.next().is_none());
    only.is_some_and(|coding| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
