//! Responses of the entry itself to requests that are not served: the reason, and when to retry.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Full};

use sparscale_intake::Body;

/// Why a request was not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No catalog is known yet.
    NoCatalog,
    /// The catalog is too old to decide whether the request may run.
    StaleCatalog,
    /// No route matches host and path.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body did not arrive on time.
    BodyTimeout,
    /// The body stopped arriving, and others needed its room.
    BodyStalled,
    /// The body could not be read.
    BodyUnreadable,
    /// The process has no room for the body.
    NoRoom,
    /// No target of the service accepts requests.
    NoTarget,
    /// The operators evacuate the halls of all targets of the service.
    Evacuated,
    /// All targets already have as many requests as they can serve on time.
    Busy,
    /// The group of targets does not serve now.
    GroupClosed,
    /// All targets of the service limit their request rate or have requested a backoff.
    Throttled,
    /// Targets rejected the request without running it.
    Rejected,
    /// No target could be reached.
    Unreachable,
    /// Targets terminated while running the request, so it is quarantined to protect the others.
    Quarantined,
    /// This process stops, and a stream that begins now may not end before it exits.
    Stopping,
    /// This process has not read the list of quarantined requests yet.
    Starting,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The request was sent, and no complete response arrived on time.
    NoAnswer,
    /// The request was sent, and the response was interrupted or did not come from the target.
    BrokenAnswer,
}

impl Reason {
    /// Name of the reason in log lines and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::StaleCatalog => "stale_catalog",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "no_key",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTimeout => "body_late",
            Self::BodyStalled => "body_stalled",
            Self::BodyUnreadable => "body_broken",
            Self::NoRoom => "no_room",
            Self::NoTarget => "no_target",
            Self::Evacuated => "evacuated",
            Self::Busy => "busy",
            Self::GroupClosed => "group_closed",
            Self::Throttled => "throttled",
            Self::Rejected => "turned_away",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::Starting => "starting",
            Self::TooLate => "too_late",
            Self::NoAnswer => "no_answer",
            Self::BrokenAnswer => "broken_answer",
        }
    }

    /// HTTP status of the response. 408, 429 and 503 guarantee that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout | Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::BodyUnreadable => StatusCode::BAD_REQUEST,
            Self::Busy => StatusCode::TOO_MANY_REQUESTS,
            Self::NoCatalog
            | Self::NoRoom
            | Self::StaleCatalog
            | Self::NoTarget
            | Self::Evacuated
            | Self::GroupClosed
            | Self::Throttled
            | Self::Rejected
            | Self::Unreachable
            | Self::Quarantined
            | Self::Stopping
            | Self::Starting
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoAnswer => StatusCode::GATEWAY_TIMEOUT,
            Self::BrokenAnswer => StatusCode::BAD_GATEWAY,
        }
    }
}

/// The response to a request that is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is not served.
    pub reason: Reason,
    /// Time to wait before a retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that a retry would not change.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request whose time ran out; a new request may be sent immediately.
    pub fn retry_immediately(reason: Reason) -> Self {
        Self::with_retry_after(reason, Duration::ZERO)
    }

    /// A refusal of a request that may be retried after `wait`.
    pub fn with_retry_after(reason: Reason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(wait),
        }
    }

    /// The HTTP response, with the request id echoed as a target would.
    pub(crate) fn response(self, request_id: &HeaderName, id: Option<&HeaderValue>) -> Response<Body> {
        let text = format!("{{\"error\":\"{}\"}}\n", self.reason.name());
        let body = Full::new(Bytes::from(text))
            .map_err(|never| match never {})
            .boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(id) = id {
            headers.insert(request_id.clone(), id.clone());
        }
        if let Some(wait) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}
