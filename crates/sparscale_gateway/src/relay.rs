//! Passes a stream of events on as they arrive, whole events only.

use bytes::Bytes;
use tokio::time::Instant;

use crate::attempt::{RemainingBody, ResponseError};
use crate::events::{Event, Splitter};

/// The events of one run of a request.
#[derive(Debug)]
pub(crate) struct Run {
    /// None once it was left.
    rest: Option<RemainingBody>,
    splitter: Splitter,
    /// Last event that was handed out.
    last: Option<u64>,
}

impl Run {
    /// The events of an answer whose head has arrived. Events up to `last` are known to the caller already.
    pub(crate) fn new(rest: RemainingBody, last: Option<u64>) -> Self {
        Self {
            rest: Some(rest),
            splitter: Splitter::default(),
            last,
        }
    }

    /// The next event that the caller does not have; none at the proper end.
    pub(crate) async fn next(&mut self, until: Instant) -> Result<Option<Event>, ResponseError> {
        loop {
            while let Some(event) = self.splitter.next() {
                if self.is_new(&event) {
                    return Ok(Some(event));
                }
            }
            let Some(rest) = &mut self.rest else {
                return Err(ResponseError::ConnectionLost);
            };
            let arrived = tokio::time::timeout_at(until, rest.next()).await;
            let Some(bytes) = arrived.map_err(|_elapsed| ResponseError::Timeout)?? else {
                // An answer that ends inside an event has lost its end.
                return if self.splitter.is_torn() {
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

    /// Whether the next event is here already.
    pub(crate) fn ready(&mut self) -> Option<Event> {
        while let Some(event) = self.splitter.next() {
            if self.is_new(&event) {
                return Some(event);
            }
        }
        None
    }

    /// Leaves the run: its target has nothing more to do for it.
    pub(crate) fn leave(&mut self) {
        self.rest = None;
    }

    /// Last event that was handed out.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    fn is_new(&mut self, event: &Event) -> bool {
        let Some(id) = event.id else { return true };
        if self.last.is_some_and(|last| id <= last) {
            return false;
        }
        self.last = Some(id);
        true
    }
}

/// The bytes of `event` and of those that are here already, in one piece.
pub(crate) fn join(event: Event, run: &mut Run) -> Bytes {
    let Some(second) = run.ready() else {
        return event.bytes;
    };
    let mut joined = event.bytes.to_vec();
    joined.extend_from_slice(&second.bytes);
    while let Some(more) = run.ready() {
        joined.extend_from_slice(&more.bytes);
    }
    joined.into()
}
