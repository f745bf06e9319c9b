//! What the head of an answer asks of those that send to its target: a rate, rest, or that it be left alone for good.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName, RETRY_AFTER};
use sparscale_policy::rate_limit::Rate;
use sparscale_telemetry::DECISION;

/// Names of the headers by which targets ask. Rest is asked for by `Retry-After`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Names {
    /// Requests a second that the answering target takes from all that send to it together, as a decimal number.
    pub rate_limit: HeaderName,
    /// Says that the answering target leaves.
    pub draining: HeaderName,
}

impl Names {
    /// The product's own names.
    pub fn own() -> Self {
        Self {
            rate_limit: HeaderName::from_static("sparscale-rate-limit"),
            draining: HeaderName::from_static("sparscale-draining"),
        }
    }
}

/// What a target asks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Signal {
    /// Requests a second that it takes from all that send to it together.
    pub rate: Asked<Rate>,
    /// Time for which it wants nothing from whom it answers.
    pub rest: Option<Duration>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// A limit, as far as an answer says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Asked<T> {
    /// There is none.
    Nothing,
    /// There is this one.
    For(T),
    /// It cannot be read: it says neither that there is one nor that there is none.
    Unreadable,
}

impl Signal {
    /// Reads the head of an answer. What cannot be read is logged.
    pub fn read(status: StatusCode, headers: &HeaderMap, names: &Names) -> Self {
        let turns_away = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        Self {
            rate: read(headers, &names.rate_limit, |text| Rate::try_from(text).ok()),
            rest: turns_away
                .then(|| read(headers, &RETRY_AFTER, seconds))
                .and_then(Asked::value),
            leaving: read(headers, &names.draining, flag).value() == Some(true),
        }
    }
}

impl<T> Asked<T> {
    /// What is asked, if that can be read.
    pub fn value(self) -> Option<T> {
        match self {
            Self::For(value) => Some(value),
            Self::Nothing | Self::Unreadable => None,
        }
    }
}

fn read<T>(headers: &HeaderMap, name: &HeaderName, parse: impl Fn(&str) -> Option<T>) -> Asked<T> {
    let Some(value) = headers.get(name) else {
        return Asked::Nothing;
    };
    let text = value.to_str().unwrap_or_default().trim();
    if let Some(asked) = parse(text) {
        return Asked::For(asked);
    }
    log::warn!(target: DECISION, decision = "unreadable", header = name.as_str(), text; "a target asks something that cannot be read");
    Asked::Unreadable
}

/// A number of seconds that is a time.
fn seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}
