//! The entry's own answers: why a request was not served, and when to come back.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Full};

use crate::body::Body;

/// Why a request was not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No catalog is known yet.
    NoCatalog,
    /// The catalog is too old to tell whether the request may run.
    StaleCatalog,
    /// No route fits host and path.
    NoRoute,
    /// The key is unknown.
    NoKey,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body did not arrive in time.
    BodyLate,
    /// The body cannot be read.
    BodyBroken,
    /// No target of the service takes work.
    NoTarget,
    /// All targets have as much as they can serve in time.
    Busy,
    /// The group of targets does not run now.
    GroupClosed,
    /// All targets of the service have asked for less than what comes.
    Throttled,
    /// Targets turned the request away without running it.
    TurnedAway,
    /// No target could be reached.
    Unreachable,
    /// Targets ended under it: it is held back, so that no more do.
    Quarantined,
    /// This process does not know yet which requests are held back.
    Starting,
    /// The time was over before the request was sent.
    TooLate,
    /// It was sent, and no whole answer came in time.
    NoAnswer,
    /// It was sent, and the answer broke off or was not the target's.
    BrokenAnswer,
}

impl Reason {
    /// Name in logs and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::StaleCatalog => "stale_catalog",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::BodyLate => "body_late",
            Self::BodyBroken => "body_broken",
            Self::NoTarget => "no_target",
            Self::Busy => "busy",
            Self::GroupClosed => "group_closed",
            Self::Throttled => "throttled",
            Self::TurnedAway => "turned_away",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
            Self::Starting => "starting",
            Self::TooLate => "too_late",
            Self::NoAnswer => "no_answer",
            Self::BrokenAnswer => "broken_answer",
        }
    }

    /// Status of the answer. 408, 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::Busy => StatusCode::TOO_MANY_REQUESTS,
            Self::NoCatalog
            | Self::StaleCatalog
            | Self::NoTarget
            | Self::GroupClosed
            | Self::Throttled
            | Self::TurnedAway
            | Self::Unreachable
            | Self::Quarantined
            | Self::Starting
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoAnswer => StatusCode::GATEWAY_TIMEOUT,
            Self::BrokenAnswer => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A request that is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that nothing is to be gained from repeating.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request whose own time was over: nothing here speaks against another one right away.
    pub fn at_once(reason: Reason) -> Self {
        Self::retry(reason, Duration::ZERO)
    }

    /// A refusal of a request that may be sent again after `wait`.
    pub fn retry(reason: Reason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(wait),
        }
    }

    /// The answer; it carries the request's id as a target's would.
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
