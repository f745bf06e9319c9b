//! One send of one request to one target.

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

/// Bytes of an answer that are collected before any of them goes to the caller. A longer answer is passed on as it
/// comes.
const COLLECTED_BYTES: usize = 256 << 10;

/// A request as it goes to targets.
#[derive(Debug, Clone)]
pub(crate) struct Outbound {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    /// What the request is, however often it comes.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) workspace: Option<HeaderValue>,
    /// When its answer has to be there.
    pub(crate) until: Instant,
    /// The same by the clock that goes on while the machine is suspended: its caller waits no longer for that.
    pub(crate) due: Moment,
    /// Whether it may run more than once.
    pub(crate) may_repeat: bool,
    /// Where a resumed stream goes on, if not where the caller said.
    pub(crate) last_event: Option<u64>,
    /// How soon the target should begin.
    pub(crate) urgency: Option<u8>,
}

/// Why an answer is missing or of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// None came in time.
    Timeout,
    /// The connection broke.
    Broken,
    /// It answers another request.
    Foreign,
    /// It is no proper answer: no digest, or an encoding that nobody asked for.
    Spoiled,
    /// Its status promises that the request has not run, and the target does not say so.
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

/// What became of a send.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The target was not reached: nothing was sent.
    NotSent,
    /// The target says that it has not run the request.
    Refused(Rejection),
    /// A whole answer.
    Complete(Reply),
    /// The head of an answer that goes on.
    Begun(Begun),
    /// It may have run; no whole answer came.
    Lost(Loss),
}

/// A refusal by a target.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    /// Target at fault, if it is another one.
    pub(crate) at_fault: Option<String>,
    /// When the target wants to be asked again.
    pub(crate) retry_after: Option<Duration>,
}

impl Rejection {
    /// Whether it says that `target` is not there any more: another incarnation has its address.
    pub(crate) fn is_gone(&self, target: &Target) -> bool {
        let other = self.at_fault.as_deref().is_some_and(|name| !is_named(target, name));
        self.status == StatusCode::MISDIRECTED_REQUEST && !other
    }
}

/// Whether `name`, an id or an address, is that of `target`.
pub(crate) fn is_named(target: &Target, name: &str) -> bool {
    name == target.id || name.parse() == Ok(target.address)
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer that goes on.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// What was collected already.
    pub(crate) collected: Bytes,
    pub(crate) rest: Rest,
}

/// The rest of an answer, with the connection that it comes on.
#[derive(Debug)]
pub(crate) struct Rest {
    incoming: Incoming,
    connection: Option<Connection>,
    answer: HeaderMap,
    target: Incarnation,
    pool: Arc<Pool>,
}

/// Sends requests to targets.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) pool: Arc<Pool>,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) board: Arc<Board>,
    /// Longest rest of a connection that a request which may run once is sent on.
    pub(crate) max_rest_once: Duration,
}

impl Caller {
    /// Sends `outbound` to `target`. A stream of events is handed over at its head, anything else whole.
    pub(crate) async fn send(&self, seat: &Seat, outbound: &Outbound) -> Outcome {
        let connection = match self.connection(seat, outbound).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(target = seat.target.id.as_str(), error = error.to_string().as_str(); "not reached");
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
            // The idle connection was closed under us and nothing was written: a fresh one takes its place.
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

    /// Notes what the target asks of those that send to it. An answer to another request, or by another target at the same
    /// address, says nothing of it.
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

    /// What the head of an answer says about the request.
    fn judge(&self, parts: &Parts, outbound: &Outbound) -> Verdict {
        if parts.headers.get(&self.dialect.request_id) != outbound.head.id.as_ref() {
            return Verdict::Lost(Loss::Foreign);
        }
        if parts.headers.contains_key(&self.dialect.not_run) || parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Verdict::Refused;
        }
        // Without the target's word that it has not run the request, these would promise to callers what nobody knows.
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

    /// Reads the short body of a refusal, so that its connection can be used again.
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
    /// The next bytes of the answer; none at its proper end. The connection is given back there.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Loss> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                if let Some(connection) = self.connection.take() {
                    self.pool.put(self.target, connection, &self.answer);
                }
                return Ok(None);
            };
            // Trailers are not passed on.
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

/// Headers that go on to the caller; the framing is the entry's own.
fn to_caller(headers: &HeaderMap) -> HeaderMap {
    let mut kept = without_hop_by_hop(headers);
    kept.remove(header::CONTENT_LENGTH);
    kept
}
