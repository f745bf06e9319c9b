//! Responses that can be sent to callers.

use http::{HeaderMap, StatusCode};

use crate::attempt::{CompleteResponse, PartialResponse};
use crate::event_stream::EventStream;
use crate::events::Event;
use crate::loads::InFlightGuard;

/// Outcome of a request whose caller closed the connection before the response ended.
pub(crate) const CALLER_DISCONNECTED: &str = "caller_left";

/// A response that can be sent to the caller.
#[derive(Debug)]
pub(crate) enum CallerResponse {
    /// The complete response.
    Complete(CompleteResponse),
    /// A response longer than the buffer, forwarded as it arrives.
    Partial(Box<PartialResponse>, InFlightGuard),
    /// A stream of events.
    Stream(Box<StreamResponse>),
}

/// An event stream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct StreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first_event: Option<Event>,
    pub(crate) events: EventStream,
    pub(crate) in_flight: InFlightGuard,
}
