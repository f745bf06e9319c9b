//! One attempt: sends a request to one target and classifies the response.
//!
//! The classes separate responses after which the request cannot have run, so that any request may be retried, from
//! those after which it may have run.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use sparscale_backpressure::{BackpressureSignal, ParsedHeader};
use sparscale_belief::Board;
use sparscale_catalog::{Incarnation, Instance, Target};
use sparscale_clock::{Clock, Timestamp};
use sparscale_intake::{Connection, RequestBody, Segments};
use sparscale_policy::framing::Framing;
use sparscale_quarantine::Content;
use tokio::time::Instant;

use crate::head::{Head, without_hop_by_hop};
use crate::header_names::HeaderNames;
use crate::pool::{self, Opening, Pool, connect};
use crate::process_monitor::{OutgoingRequest, PreparedWatch, ProcessMonitor};
use crate::response_body::{RemainingBody, Watch, framing_of, has_unknown_coding};
use crate::response_error::ResponseError;
use crate::response_room::ResponseRoom;
use crate::witness::Preparation;

/// Bytes of a response that are buffered before any of them goes to the caller. A longer response is forwarded as it
/// arrives.
pub(crate) const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Time in which the body of a rejection has to arrive for its connection to be reused. The caller waits meanwhile, and
/// targets send the body together with the head.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which a request uses a kept connection although its response is likely to have no length: a target with a full
/// backlog accepts no new one.
const ESCORTED_CONNECT_TIMEOUT: Duration = Duration::from_millis(30);

/// Statuses that a final response may have. The HTTP client skips interim responses, but returns a 101, after which
/// another protocol follows, and statuses of no class.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A request in the form that is sent to targets.
#[derive(Debug, Clone)]
pub(crate) struct Outbound {
    pub(crate) head: Head,
    pub(crate) body: RequestBody,
    /// The connection of the caller.
    pub(crate) connection: Arc<Connection>,
    /// Identifies the request and the shared parts of its prompt; equal for each retry.
    pub(crate) content: Content,
    pub(crate) workspace: Option<HeaderValue>,
    /// Deadline of the response.
    pub(crate) deadline: Instant,
    /// The same deadline by the clock that counts suspended time, as the caller's wait goes on while this box is
    /// suspended.
    pub(crate) deadline_timestamp: Timestamp,
    /// Whether the request may run more than once.
    pub(crate) retryable: bool,
    /// Whether the route returns event streams.
    pub(crate) is_stream: bool,
    /// Event id after which a resumed stream continues, if it differs from the one that the caller sent.
    pub(crate) last_event_id: Option<u64>,
    /// How soon the target should start the request; 0 is the most urgent.
    pub(crate) urgency: Option<u8>,
}

/// Outcome of sending a request to a target.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The target could not be reached; nothing was sent.
    NotSent,
    /// The target reported that it did not run the request.
    Rejected(Rejection),
    /// A complete response.
    Complete(CompleteResponse),
    /// A response whose head has arrived and whose body is still arriving.
    Partial(Box<PartialResponse>),
    /// The request may have run, but there is no complete response.
    ResponseLost(ResponseError),
}

/// A rejection by a target.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    /// Id or address of the target at fault, if it is another one.
    pub(crate) at_fault: Option<String>,
    /// Backoff requested by the target.
    pub(crate) retry_after: Option<Duration>,
}

impl Rejection {
    /// Whether it shows that `target` no longer exists, because another incarnation has its address.
    pub(crate) fn is_replaced(&self, target: &Target) -> bool {
        let other_at_fault = self.at_fault.as_deref().is_some_and(|name| !is_named(target, name));
        self.status == StatusCode::MISDIRECTED_REQUEST && !other_at_fault
    }
}

/// Whether `name` is the id or the address of `target`.
pub(crate) fn is_named(target: &Target, name: &str) -> bool {
    name == target.id || name.parse() == Ok(target.address)
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Released once the connection of the caller has taken the body, and counts it.
    pub(crate) _room: ResponseRoom,
}

/// A response whose body is still arriving.
#[derive(Debug)]
pub(crate) struct PartialResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Start of the body, buffered so far.
    pub(crate) buffered: Bytes,
    pub(crate) remainder: RemainingBody,
    pub(crate) room: ResponseRoom,
}

/// HTTP client for requests to targets.
#[derive(Debug, Clone)]
pub(crate) struct TargetClient {
    pub(crate) pool: Arc<Pool>,
    pub(crate) processes: Arc<ProcessMonitor>,
    pub(crate) header_names: Arc<HeaderNames>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) board: Arc<Board>,
    /// Maximum idle time of a connection that is reused for a request which may run only once.
    pub(crate) max_idle_run_once: Duration,
}

impl TargetClient {
    /// Sends `outbound` to the target. Returns an event stream once its head has arrived, other responses once complete
    /// or longer than [`MAX_BUFFERED_BYTES`].
    pub(crate) async fn send(&self, instance: &Instance, outbound: &Outbound) -> SendOutcome {
        let (connection, preceding) = match self.prepared_connection(instance, outbound).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(target = instance.target.id.as_str(), error = error.to_string().as_str(); "connecting to the target failed");
                return SendOutcome::NotSent;
            }
        };
        let response = tokio::time::timeout_at(
            outbound.deadline,
            self.exchange(instance, outbound, connection, preceding),
        );
        response
            .await
            .unwrap_or(SendOutcome::ResponseLost(ResponseError::Timeout))
    }

    /// A connection for a request, and one that was requested right before if its response may have no length.
    async fn prepared_connection(
        &self,
        instance: &Instance,
        outbound: &Outbound,
    ) -> Result<(pool::Connection, Option<Opening>), pool::Error> {
        let preparation = self.processes.preparation(instance, outbound);
        if preparation == Preparation::None {
            return Ok((self.connection(instance, outbound).await?, None));
        }
        let preceding = Opening::start(instance.target.address, &*self.clock);
        if preparation == Preparation::Escorts {
            let connecting = tokio::time::timeout(ESCORTED_CONNECT_TIMEOUT, connect(instance.target.address));
            if let Ok(connection) = connecting.await {
                return Ok((connection?, Some(preceding)));
            }
        }
        Ok((self.connection(instance, outbound).await?, Some(preceding)))
    }

    async fn connection(&self, instance: &Instance, outbound: &Outbound) -> Result<pool::Connection, pool::Error> {
        let max_idle = if outbound.retryable {
            Duration::MAX
        } else {
            self.max_idle_run_once
        };
        match self.pool.take(instance.key, max_idle) {
            Some(connection) => Ok(connection),
            None => connect(instance.target.address).await,
        }
    }

    async fn exchange(
        &self,
        instance: &Instance,
        outbound: &Outbound,
        connection: pool::Connection,
        preceding: Option<Opening>,
    ) -> SendOutcome {
        let target = &instance.target;
        let mut connection = connection;
        let outgoing = OutgoingRequest {
            connection: &connection.stream,
            preceding,
            is_stream: outbound.is_stream,
        };
        let mut prepared = self.processes.prepare(instance, outgoing).await;
        let request = self.request(target, outbound);
        let mut result = connection.sender.try_send_request(request).await;
        if !connection.is_new && matches!(&result, Err(error) if error.message().is_some()) {
            // The target closed the idle connection before anything was written: retry on a new one.
            connection = match connect(target.address).await {
                Ok(connection) => connection,
                Err(_) => return SendOutcome::NotSent,
            };
            prepared.carry(&connection.stream);
            result = connection.sender.try_send_request(self.request(target, outbound)).await;
        }
        let (parts, incoming) = match result {
            Ok(response) => response.into_parts(),
            Err(error) if error.message().is_some() => return SendOutcome::NotSent,
            Err(_) => return SendOutcome::ResponseLost(ResponseError::ConnectionLost),
        };
        let signal = self.record_signal(instance, &parts, outbound);
        match self.classify(&parts, outbound) {
            ResponseClass::Unusable(error) => SendOutcome::ResponseLost(error),
            ResponseClass::Rejected => {
                let rejection = self.rejection(&parts, signal);
                self.return_connection(instance.key, connection, incoming, &parts.headers)
                    .await;
                SendOutcome::Rejected(rejection)
            }
            ResponseClass::Usable => {
                let room = ResponseRoom::new(Arc::clone(&outbound.connection));
                self.collect(instance, parts, incoming, connection, prepared, room)
                    .await
            }
        }
    }

    fn request(&self, target: &Target, outbound: &Outbound) -> Request<Segments> {
        let mut request = Request::new(outbound.body.segments());
        *request.method_mut() = outbound.head.method.clone();
        *request.uri_mut() = http::Uri::from(outbound.head.path.clone());
        let mut headers = outbound.head.headers.clone();
        let dialect = &self.header_names;
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(dialect.expected_target.clone(), id);
        }
        let remaining = outbound.deadline_timestamp.since(self.clock.now());
        headers.insert(
            dialect.deadline.clone(),
            HeaderValue::from(remaining.as_millis() as u64),
        );
        if let Some(workspace) = &outbound.workspace {
            headers.insert(dialect.workspace.clone(), workspace.clone());
        }
        if let Some(urgency) = outbound.urgency {
            headers.insert(dialect.urgency.clone(), HeaderValue::from(u16::from(urgency)));
        }
        if let Some(last_event_id) = outbound.last_event_id {
            headers.insert(
                header::HeaderName::from_static("last-event-id"),
                HeaderValue::from(last_event_id),
            );
        }
        *request.headers_mut() = headers;
        request
    }

    /// Records the rate limit or backoff requested by the target. A response to another request, or from another target
    /// at the same address, is ignored.
    fn record_signal(&self, instance: &Instance, parts: &Parts, outbound: &Outbound) -> BackpressureSignal {
        let signal = BackpressureSignal::read(parts.status, &parts.headers, &self.header_names.backpressure);
        let is_own_response = parts.headers.get(&self.header_names.request_id) == outbound.head.id.as_ref();
        if !is_own_response || parts.status == StatusCode::MISDIRECTED_REQUEST {
            return signal;
        }
        match signal.rate {
            ParsedHeader::Absent => self.board.throttle.record_notice(instance, None, signal.is_draining),
            ParsedHeader::Value(rate) => self
                .board
                .throttle
                .record_notice(instance, Some(rate), signal.is_draining),
            ParsedHeader::Malformed => {}
        }
        if let Some(backoff) = signal.backoff {
            self.board.throttle.record_backoff(instance, backoff);
        }
        signal
    }

    /// Classifies a response by its head.
    fn classify(&self, parts: &Parts, outbound: &Outbound) -> ResponseClass {
        if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
            return ResponseClass::Unusable(ResponseError::Malformed);
        }
        if parts.headers.get(&self.header_names.request_id) != outbound.head.id.as_ref() {
            return ResponseClass::Unusable(ResponseError::RequestIdMismatch);
        }
        if parts.headers.contains_key(&self.header_names.not_run) || parts.status == StatusCode::MISDIRECTED_REQUEST {
            return ResponseClass::Rejected;
        }
        // Unless the target confirms that the request has not run, forwarding these would give callers a guarantee that
        // may be false.
        let not_run_statuses = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if not_run_statuses.contains(&parts.status) {
            return ResponseClass::Unusable(ResponseError::UnconfirmedRejection);
        }
        let has_digest = parts.headers.contains_key(&self.header_names.digest);
        let is_encoded = parts.headers.contains_key(header::CONTENT_ENCODING) || has_unknown_coding(&parts.headers);
        if is_encoded || (parts.status.is_success() && !has_digest) {
            return ResponseClass::Unusable(ResponseError::Malformed);
        }
        ResponseClass::Usable
    }

    fn rejection(&self, parts: &Parts, signal: BackpressureSignal) -> Rejection {
        let text_of = |name: &header::HeaderName| parts.headers.get(name).and_then(|value| value.to_str().ok());
        Rejection {
            status: parts.status,
            at_fault: text_of(&self.header_names.target_at_fault).map(str::to_owned),
            retry_after: signal.backoff,
        }
    }

    async fn collect(
        &self,
        instance: &Instance,
        parts: Parts,
        incoming: Incoming,
        connection: pool::Connection,
        prepared: PreparedWatch,
        mut room: ResponseRoom,
    ) -> SendOutcome {
        let mut remainder = self.remaining_body(instance, &parts, incoming, connection, prepared);
        let headers = caller_headers(&parts.headers);
        let status = parts.status;
        if is_event_stream(&parts.headers) {
            let buffered = Bytes::new();
            return SendOutcome::Partial(Box::new(PartialResponse {
                status,
                headers,
                buffered,
                remainder,
                room,
            }));
        }
        let mut buffered = BytesMut::new();
        loop {
            match remainder.next().await {
                Ok(Some(bytes)) => buffered.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(error) => return SendOutcome::ResponseLost(error),
            }
            // Without room, the rest is read only as fast as the caller reads.
            if buffered.len() > MAX_BUFFERED_BYTES || !room.reserve(buffered.len()) {
                let buffered = buffered.freeze();
                return SendOutcome::Partial(Box::new(PartialResponse {
                    status,
                    headers,
                    buffered,
                    remainder,
                    room,
                }));
            }
        }
        let body = buffered.freeze();
        SendOutcome::Complete(CompleteResponse {
            status,
            headers,
            body,
            _room: room,
        })
    }

    fn remaining_body(
        &self,
        instance: &Instance,
        parts: &Parts,
        incoming: Incoming,
        connection: pool::Connection,
        prepared: PreparedWatch,
    ) -> RemainingBody {
        let watch = |prepared: PreparedWatch| Watch {
            sent_at: prepared.sent_at,
            process: self.processes.watch(instance, connection.stream.clone(), prepared),
            monitor: Arc::clone(&self.processes),
            request_id: parts.headers.get(&self.header_names.request_id).cloned(),
            received_bytes: 0,
        };
        let framing = framing_of(&parts.headers, &incoming);
        self.processes.record_framing(instance, &prepared, framing);
        RemainingBody {
            watch: (framing == Framing::Undelimited).then(|| watch(prepared)),
            incoming,
            connection: Some(connection),
            headers: parts.headers.clone(),
            instance: instance.clone(),
            pool: Arc::clone(&self.pool),
        }
    }

    /// Reads the short body of a rejection, so that its connection can be reused.
    async fn return_connection(
        &self,
        target: Incarnation,
        connection: pool::Connection,
        incoming: Incoming,
        headers: &HeaderMap,
    ) {
        let max_length = incoming.size_hint().upper();
        if max_length.is_none_or(|length| length > MAX_BUFFERED_BYTES as u64) {
            return;
        }
        let body = tokio::time::timeout(REJECTION_BODY_TIMEOUT, incoming.collect()).await;
        if matches!(body, Ok(Ok(_))) {
            self.pool.put(target, connection, headers);
        }
    }
}

enum ResponseClass {
    Usable,
    Rejected,
    Unusable(ResponseError),
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Headers to forward to the caller, without those for message framing, which the entry sets itself.
fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = without_hop_by_hop(headers);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded
}
