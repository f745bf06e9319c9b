//! Avoids requesting the same catalog or roster from several entries.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use sparscale_history::Position;
use tokio::time::Instant;

/// Time after which a catalog or roster that did not arrive is requested from another entry.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// The position that was requested last from any entry, and the time of the request.
#[derive(Debug, Default)]
pub(crate) struct Request(Mutex<Option<(Position, Instant)>>);

impl Request {
    /// Records a request for `position` and returns true, unless this position or a later one was requested within
    /// [`REQUEST_TIMEOUT`].
    pub(crate) fn try_record(&self, position: Position) -> bool {
        let now = Instant::now();
        let mut latest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if latest.is_some_and(|(requested, at)| requested >= position && now < at + REQUEST_TIMEOUT) {
            return false;
        }
        *latest = Some((position, now));
        true
    }
}
