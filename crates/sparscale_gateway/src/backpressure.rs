//! What the head of an answer asks of those that send to its target.

use http::HeaderMap;
use http::header::HeaderName;
use sparscale_policy::rate_limit::Rate;
use sparscale_telemetry::DECISION;

use crate::dialect::Dialect;

/// What a target asks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Signal {
    /// Requests a second that it takes from all entries together, if it limits them.
    pub(crate) rate: Option<Rate>,
}

/// A target's answer asks something that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unreadable;

impl Signal {
    /// Reads the head of an answer. A header that cannot be read is logged, and says neither that something is asked nor
    /// that nothing is.
    pub(crate) fn read(headers: &HeaderMap, dialect: &Dialect) -> Result<Self, Unreadable> {
        let rate = match headers.get(&dialect.rate_limit) {
            None => None,
            Some(value) => {
                let text = value.to_str().unwrap_or_default();
                Some(Rate::try_from(text).map_err(|_malformed| unreadable(&dialect.rate_limit, text))?)
            }
        };
        Ok(Self { rate })
    }
}

fn unreadable(name: &HeaderName, text: &str) -> Unreadable {
    log::warn!(target: DECISION, decision = "unreadable", header = name.as_str(), text; "a target asks something that cannot be read");
    Unreadable
}
