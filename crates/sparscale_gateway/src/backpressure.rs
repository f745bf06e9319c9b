//! What the head of an answer asks of those that send to its target.

use std::time::Duration;

use http::StatusCode;
use http::header::{self, HeaderName};
use http::response::Parts;
use sparscale_policy::rate_limit::Rate;
use sparscale_telemetry::DECISION;

use crate::dialect::Dialect;

/// What a target asks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Signal {
    /// Requests a second that it takes from all entries together, if it limits them.
    pub(crate) rate: Asked<Rate>,
    /// Time for which it wants nothing from this entry.
    pub(crate) rest: Asked<Duration>,
    /// That it leaves.
    pub(crate) leaving: Asked<()>,
}

/// One thing that a target may ask.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Asked<T> {
    /// It does not.
    Nothing,
    /// It asks this.
    For(T),
    /// What it asks cannot be read: it says neither that something is asked nor that nothing is.
    Unreadable,
}

impl Signal {
    /// Reads the head of an answer. What cannot be read is logged.
    pub(crate) fn read(head: &Parts, dialect: &Dialect) -> Self {
        let turns_away = matches!(
            head.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let rest = read(head, &header::RETRY_AFTER, |text| seconds(text).ok_or(Unreadable));
        Self {
            rate: read(head, &dialect.rate_limit, |text| {
                Rate::try_from(text).map_err(|_malformed| Unreadable)
            }),
            rest: if turns_away { rest } else { Asked::Nothing },
            leaving: match read(head, &dialect.draining, flag) {
                Asked::For(false) | Asked::Nothing => Asked::Nothing,
                Asked::For(true) => Asked::For(()),
                Asked::Unreadable => Asked::Unreadable,
            },
        }
    }
}

/// A text that cannot be read.
struct Unreadable;

fn read<T>(head: &Parts, name: &HeaderName, parse: impl Fn(&str) -> Result<T, Unreadable>) -> Asked<T> {
    let Some(value) = head.headers.get(name) else {
        return Asked::Nothing;
    };
    let text = value.to_str().unwrap_or_default();
    if let Ok(asked) = parse(text) {
        return Asked::For(asked);
    }
    log::warn!(target: DECISION, decision = "unreadable", header = name.as_str(), text; "a target asks something that cannot be read");
    Asked::Unreadable
}

/// A number of seconds that is a time.
fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn flag(text: &str) -> Result<bool, Unreadable> {
    match text.trim() {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => Err(Unreadable),
    }
}
