//! Answers that can go to callers.

use http::{HeaderMap, StatusCode};

use crate::attempt::{PartialResponse, Reply};
use crate::events::Event;
use crate::loads::InFlightGuard;
use crate::relay::Run;

/// Outcome of a request whose caller did not wait for its answer.
pub(crate) const CALLER_LEFT: &str = "caller_left";

/// An answer that can go to the caller.
#[derive(Debug)]
pub(crate) enum Answer {
    /// All of it.
    Complete(Reply),
    /// Longer than what is collected: passed on as it comes.
    Long(Box<PartialResponse>, InFlightGuard),
    /// Events.
    Stream(Box<Stream>),
}

/// A stream of events with its first event.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Option<Event>,
    pub(crate) run: Run,
    pub(crate) running: InFlightGuard,
}
