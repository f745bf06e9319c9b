//! Reads the event stream of a target. Only complete events are returned, and none that the caller already has.

use bytes::Bytes;
use tokio::time::Instant;

use crate::events::{Event, EventSplitter};
use crate::response_body::RemainingBody;
use crate::response_error::ResponseError;

/// The event stream of one attempt.
#[derive(Debug)]
pub(crate) struct EventStream {
    /// The body; none once the stream was closed.
    remainder: Option<RemainingBody>,
    splitter: EventSplitter,
    /// Id of the last event returned, or that the caller had before.
    last_id: Option<u64>,
}

impl EventStream {
    /// Reads the events of a response whose head has arrived. Events up to the id `last_id` are skipped, as the caller
    /// has them.
    pub(crate) fn new(remainder: RemainingBody, last_id: Option<u64>) -> Self {
        Self {
            remainder: Some(remainder),
            splitter: EventSplitter::default(),
            last_id,
        }
    }

    /// Returns the next event that the caller does not have, or none at the regular end.
    pub(crate) async fn next(&mut self, deadline: Instant) -> Result<Option<Event>, ResponseError> {
        loop {
            while let Some(event) = self.splitter.next() {
                if self.is_new(&event) {
                    return Ok(Some(event));
                }
            }
            let Some(remainder) = &mut self.remainder else {
                return Err(ResponseError::ConnectionLost);
            };
            let arrived = tokio::time::timeout_at(deadline, remainder.next()).await;
            let Some(bytes) = arrived.map_err(|_elapsed| ResponseError::Timeout)?? else {
                // A response that ends inside an event was cut off.
                return if self.splitter.has_partial_event() {
                    Err(ResponseError::ConnectionLost)
                } else {
                    Ok(None)
                };
            };
            self.splitter
                .feed(&bytes)
                .map_err(|_too_long| ResponseError::Malformed)?;
        }
    }

    /// Returns the next event if it has already arrived.
    pub(crate) fn next_buffered(&mut self) -> Option<Event> {
        while let Some(event) = self.splitter.next() {
            if self.is_new(&event) {
                return Some(event);
            }
        }
        None
    }

    /// Closes the stream and its connection, so that the target stops working on it.
    pub(crate) fn close(&mut self) {
        self.remainder = None;
    }

    /// Id of the last event returned, or that the caller had before.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn is_new(&mut self, event: &Event) -> bool {
        let Some(id) = event.id else { return true };
        if self.last_id.is_some_and(|last_id| id <= last_id) {
            return false;
        }
        self.last_id = Some(id);
        true
    }
}

/// Concatenates `event` and the events that have already arrived.
pub(crate) fn join_buffered(event: Event, events: &mut EventStream) -> Bytes {
    let Some(second) = events.next_buffered() else {
        return event.bytes;
    };
    let mut joined = event.bytes.to_vec();
    joined.extend_from_slice(&second.bytes);
    while let Some(more) = events.next_buffered() {
        joined.extend_from_slice(&more.bytes);
    }
    joined.into()
}
