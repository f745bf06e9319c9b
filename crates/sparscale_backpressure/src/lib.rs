//! Parses the backpressure headers of a response: a rate limit, a backoff, or the announcement that the target drains.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName, RETRY_AFTER};
use sparscale_policy::rate_limit::Rate;
use sparscale_telemetry::DECISION;

/// Names of the headers that targets set; a backoff is always requested by `Retry-After`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SignalHeaders {
    /// Rate limit of the responding target in requests per second, as a decimal number; it applies to all senders
    /// together.
    pub rate_limit: HeaderName,
    /// Announces that the responding target drains.
    pub draining: HeaderName,
}

impl SignalHeaders {
    /// Returns the names that sparscale uses by default.
    pub fn defaults() -> Self {
        Self {
            rate_limit: HeaderName::from_static("sparscale-rate-limit"),
            draining: HeaderName::from_static("sparscale-draining"),
        }
    }
}

/// The backpressure that one response requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackpressureSignal {
    /// Rate limit of the target in requests per second; it applies to all senders together.
    pub rate: ParsedHeader<Rate>,
    /// Backoff requested from the receiver of the response.
    pub backoff: Option<Duration>,
    /// Whether the target drains.
    pub is_draining: bool,
}

/// The value of a header that a response may lack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ParsedHeader<T> {
    /// The response has no such header.
    Absent,
    /// The header has this value.
    Value(T),
    /// The header cannot be parsed, so it neither sets nor removes a limit.
    Malformed,
}

impl BackpressureSignal {
    /// Parses the headers of a response; headers that cannot be parsed are logged.
    pub fn read(status: StatusCode, headers: &HeaderMap, names: &SignalHeaders) -> Self {
        let is_rejection = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        Self {
            rate: parse_header(headers, &names.rate_limit, |text| Rate::try_from(text).ok()),
            backoff: is_rejection
                .then(|| parse_header(headers, &RETRY_AFTER, parse_seconds))
                .and_then(ParsedHeader::value),
            is_draining: parse_header(headers, &names.draining, parse_bool).value() == Some(true),
        }
    }
}

impl<T> ParsedHeader<T> {
    /// Returns the value, or `None` if the header is absent or cannot be parsed.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Malformed => None,
        }
    }
}

fn parse_header<T>(headers: &HeaderMap, name: &HeaderName, parse: impl Fn(&str) -> Option<T>) -> ParsedHeader<T> {
    let Some(value) = headers.get(name) else {
        return ParsedHeader::Absent;
    };
    let text = value.to_str().unwrap_or_default().trim();
    if let Some(parsed) = parse(text) {
        return ParsedHeader::Value(parsed);
    }
    log::warn!(target: DECISION, decision = "unreadable", header = name.as_str(), text; "a backpressure header of a target cannot be parsed and is ignored");
    ParsedHeader::Malformed
}

/// Parses a decimal number of seconds; `None` if it is negative, not finite or too large for a [`Duration`].
fn parse_seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

fn parse_bool(text: &str) -> Option<bool> {
    match text {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}
