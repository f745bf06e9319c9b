//! One attempt: sends a request to one target and classifies the reply.
//!
//! The classes separate replies after which the request cannot have run, so that any request may be retried, from those
//! after which it may have run.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use sparscale_backpressure::{Asked, Signal};
use sparscale_belief::Board;
use sparscale_catalog::{Incarnation, Seat, Target};
use sparscale_clock::{Clock, Moment};
use sparscale_quarantine::Fingerprint;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::head::{Head, without_hop_by_hop};
use crate::pool::{Connection, Pool, connect};

/// Bytes of a reply that are buffered before any of them goes to the caller. A longer reply is forwarded as it arrives.
const COLLECTED_BYTES: usize = 256 << 10;

/// A request in the form that is sent to targets.
#[derive(Debug, Clone)]
pub(crate) struct Outbound {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    /// Identifies the content of the request; equal for each retry.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) workspace: Option<HeaderValue>,
    /// Deadline of the reply.
    pub(crate) until: Instant,
    /// The same deadline by the clock that counts suspended time, as the caller's wait goes on while this box is
    /// suspended.
    pub(crate) due: Moment,
    /// Whether the request may run more than once.
    pub(crate) may_repeat: bool,
    /// Event id after which a resumed stream continues, if it differs from the one that the caller sent.
    pub(crate) last_event: Option<u64>,
    /// How soon the target should start the request; 0 is the most urgent.
    pub(crate) urgency: Option<u8>,
}

/// Why a reply is missing or unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// No complete reply arrived in time.
    Timeout,
    /// The connection was lost.
    Broken,
    /// The reply carries the id of another request.
    Foreign,
    /// The reply has no digest, or an encoding that was not requested.
    Spoiled,
    /// The status guarantees that the request has not run, but the target did not confirm it.
    Unfounded,
}

impl Loss {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::Spoiled => "spoiled",
            Self::Unfounded => "unfounded",
        }
    }
}

/// Outcome of sending a request to a target.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The target could not be reached; nothing was sent.
    NotSent,
    /// The target reported that it did not run the request.
    Refused(Rejection),
    /// A complete reply.
    Complete(Reply),
    /// A reply whose head has arrived and whose body is still arriving.
    Begun(Begun),
    /// The request may have run, but there is no complete reply.
    Lost(Loss),
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
    pub(crate) fn is_gone(&self, target: &Target) -> bool {
        let other = self.at_fault.as_deref().is_some_and(|name| !is_named(target, name));
        self.status == StatusCode::MISDIRECTED_REQUEST && !other
    }
}

/// Whether `name` is the id or the address of `target`.
pub(crate) fn is_named(target: &Target, name: &str) -> bool {
    name == target.id || name.parse() == Ok(target.address)
}

/// A complete reply.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A reply whose body is still arriving.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Start of the body, buffered so far.
    pub(crate) collected: Bytes,
    pub(crate) rest: Rest,
}

/// The remaining body of a reply, and the connection that it arrives on.
#[derive(Debug)]
pub(crate) struct Rest {
    incoming: Incoming,
    connection: Option<Connection>,
    answer: HeaderMap,
    target: Incarnation,
    pool: Arc<Pool>,
}

/// HTTP client for requests to targets.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) pool: Arc<Pool>,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) board: Arc<Board>,
    /// Maximum idle time of a connection that is reused for a request which may run only once.
    pub(crate) max_rest_once: Duration,
}

impl Caller {
    /// Sends `outbound` to the target. Returns an event stream once its head has arrived, other replies once complete
    /// or longer than [`COLLECTED_BYTES`].
    pub(crate) async fn send(&self, seat: &Seat, outbound: &Outbound) -> Outcome {
        let connection = match self.connection(seat, outbound).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(target = seat.target.id.as_str(), error = error.to_string().as_str(); "connecting to the target failed");
                return Outcome::NotSent;
            }
        };
        let answered = tokio::time::timeout_at(outbound.until, self.exchange(seat, outbound, connection));
        answered.await.unwrap_or(Outcome::Lost(Loss::Timeout))
    }

    async fn connection(&self, seat: &Seat, outbound: &Outbound) -> Result<Connection, crate::pool::Error> {
        let max_rest = if outbound.may_repeat {
            Duration::MAX
        } else {
            self.max_rest_once
        };
        match self.pool.take(seat.key, max_rest) {
            Some(connection) => Ok(connection),
            None => connect(seat.target.address).await,
        }
    }

    async fn exchange(&self, chosen: &Seat, outbound: &Outbound, connection: Connection) -> Outcome {
        let target = &chosen.target;
        let mut connection = connection;
        let request = self.request(target, outbound);
        let mut sent = connection.sender.try_send_request(request).await;
        if !connection.fresh && matches!(&sent, Err(error) if error.message().is_some()) {
            // The target closed the idle connection before anything was written: retry on a new one.
            connection = match connect(target.address).await {
                Ok(connection) => connection,
                Err(_) => return Outcome::NotSent,
            };
            sent = connection.sender.try_send_request(self.request(target, outbound)).await;
        }
        let (parts, incoming) = match sent {
            Ok(response) => response.into_parts(),
            Err(error) if error.message().is_some() => return Outcome::NotSent,
            Err(_) => return Outcome::Lost(Loss::Broken),
        };
        let signal = self.note_signal(chosen, &parts, outbound);
        match self.judge(&parts, outbound) {
            Verdict::Lost(loss) => Outcome::Lost(loss),
            Verdict::Refused => {
                let rejection = self.rejection(&parts, signal);
                self.give_back(chosen.key, connection, incoming, &parts.headers).await;
                Outcome::Refused(rejection)
            }
            Verdict::Answered => self.collect(chosen.key, parts, incoming, connection).await,
        }
    }

    fn request(&self, target: &Target, outbound: &Outbound) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(outbound.body.clone()));
        *request.method_mut() = outbound.head.method.clone();
        *request.uri_mut() = http::Uri::from(outbound.head.path.clone());
        let mut headers = outbound.head.headers.clone();
        let dialect = &self.dialect;
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(dialect.expected_target.clone(), id);
        }
        let left = outbound.due.since(self.clock.now());
        headers.insert(dialect.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
        if let Some(workspace) = &outbound.workspace {
            headers.insert(dialect.workspace.clone(), workspace.clone());
        }
        if let Some(urgency) = outbound.urgency {
            headers.insert(dialect.urgency.clone(), HeaderValue::from(u16::from(urgency)));
        }
        if let Some(last) = outbound.last_event {
            headers.insert(
                header::HeaderName::from_static("last-event-id"),
                HeaderValue::from(last),
            );
        }
        *request.headers_mut() = headers;
        request
    }

    /// Records the rate limit or backoff requested by the target. A reply to another request, or from another target at
    /// the same address, is ignored.
    fn note_signal(&self, chosen: &Seat, parts: &Parts, outbound: &Outbound) -> Signal {
        let signal = Signal::read(parts.status, &parts.headers, &self.dialect.backpressure);
        let own = parts.headers.get(&self.dialect.request_id) == outbound.head.id.as_ref();
        if !own || parts.status == StatusCode::MISDIRECTED_REQUEST {
            return signal;
        }
        match signal.rate {
            Asked::Nothing => self.board.throttle.note(chosen, None, signal.leaving),
            Asked::For(rate) => self.board.throttle.note(chosen, Some(rate), signal.leaving),
            Asked::Unreadable => {}
        }
        if let Some(rest) = signal.rest {
            self.board.throttle.rest(chosen, rest);
        }
        signal
    }

    /// Classifies a reply by its head.
    fn judge(&self, parts: &Parts, outbound: &Outbound) -> Verdict {
        if parts.headers.get(&self.dialect.request_id) != outbound.head.id.as_ref() {
            return Verdict::Lost(Loss::Foreign);
        }
        if parts.headers.contains_key(&self.dialect.not_run) || parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Verdict::Refused;
        }
        // Unless the target confirms that the request has not run, forwarding these would give callers a guarantee that
        // may be false.
        let promises = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if promises.contains(&parts.status) {
            return Verdict::Lost(Loss::Unfounded);
        }
        let digest = parts.headers.contains_key(&self.dialect.digest);
        if parts.headers.contains_key(header::CONTENT_ENCODING) || (parts.status.is_success() && !digest) {
            return Verdict::Lost(Loss::Spoiled);
        }
        Verdict::Answered
    }

    fn rejection(&self, parts: &Parts, signal: Signal) -> Rejection {
        let text = |name: &header::HeaderName| parts.headers.get(name).and_then(|value| value.to_str().ok());
        Rejection {
            status: parts.status,
            at_fault: text(&self.dialect.at_fault).map(str::to_owned),
            retry_after: signal.rest,
        }
    }

    async fn collect(&self, target: Incarnation, parts: Parts, incoming: Incoming, connection: Connection) -> Outcome {
        let mut rest = Rest {
            incoming,
            connection: Some(connection),
            answer: parts.headers.clone(),
            target,
            pool: Arc::clone(&self.pool),
        };
        let headers = to_caller(&parts.headers);
        let status = parts.status;
        if is_event_stream(&parts.headers) {
            let collected = Bytes::new();
            return Outcome::Begun(Begun {
                status,
                headers,
                collected,
                rest,
            });
        }
        let mut collected = BytesMut::new();
        loop {
            match rest.next().await {
                Ok(Some(bytes)) => collected.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(loss) => return Outcome::Lost(loss),
            }
            if collected.len() > COLLECTED_BYTES {
                let collected = collected.freeze();
                return Outcome::Begun(Begun {
                    status,
                    headers,
                    collected,
                    rest,
                });
            }
        }
        let body = collected.freeze();
        Outcome::Complete(Reply { status, headers, body })
    }

    /// Reads the short body of a rejection, so that its connection can be reused.
    async fn give_back(&self, target: Incarnation, connection: Connection, incoming: Incoming, answer: &HeaderMap) {
        if incoming
            .size_hint()
            .upper()
            .is_some_and(|length| length <= COLLECTED_BYTES as u64)
            && incoming.collect().await.is_ok()
        {
            self.pool.put(target, connection, answer);
        }
    }
}

enum Verdict {
    Answered,
    Refused,
    Lost(Loss),
}

impl Rest {
    /// The next bytes of the body, or none at its regular end, where the connection goes back to the pool.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Loss> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                if let Some(connection) = self.connection.take() {
                    self.pool.put(self.target, connection, &self.answer);
                }
                return Ok(None);
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.map_err(|_broken| Loss::Broken)?.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Headers to forward to the caller, without those for message framing, which the entry sets itself.
fn to_caller(headers: &HeaderMap) -> HeaderMap {
    let mut kept = without_hop_by_hop(headers);
    kept.remove(header::CONTENT_LENGTH);
    kept
}
