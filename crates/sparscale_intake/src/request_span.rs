//! The time from the head of a request until nothing of it is left on its connection.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use sparscale_policy::intake::Activity;

use crate::connection::Connection;
use crate::wait_tracker::{Wait, WaitTracker};

/// Time for which the rest of a refused body is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A request in progress on a connection, from its head until the response has been taken by the connection and the body
/// was read or given up.
#[derive(Debug)]
pub struct RequestSpan {
    connection: Arc<Connection>,
    tracker: Arc<WaitTracker>,
}

impl RequestSpan {
    /// Begins with a complete head.
    pub(crate) fn begin(connection: Arc<Connection>, tracker: Arc<WaitTracker>) -> Arc<Self> {
        tracker.set(Wait::Response);
        connection.set_activity(Activity::Exchange);
        Arc::new(Self { connection, tracker })
    }

    /// The connection of the request.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// Discards the rest of a refused body, up to `max_bytes`: closing a connection with unread bytes resets it, and the
    /// caller may lose the refusal. Nothing of the rest can be taken for another request, as the connection closes if it
    /// is not read to its end.
    pub fn discard(self: Arc<Self>, mut rest: Incoming, max_bytes: usize) {
        self.connection.set_activity(Activity::Discard);
        tokio::spawn(async move {
            let discarding = async {
                let mut discarded = 0;
                while let Some(Ok(frame)) = rest.frame().await {
                    discarded += frame.data_ref().map_or(0, bytes::Bytes::len);
                    if discarded > max_bytes {
                        return;
                    }
                }
            };
            tokio::select! {
                _finished = tokio::time::timeout(DISCARD_TIMEOUT, discarding) => {}
                () = self.connection.replaced() => {}
            }
        });
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        self.tracker.set(Wait::Request);
        self.connection.set_activity(Activity::Idle);
    }
}
