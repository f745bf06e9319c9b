//! Bounds what the process holds for callers that read slowly or not at all.
//!
//! The HTTP library takes the next part of a response only once the parts before it have been written. But a response
//! whose caller reads nothing would stay forever, with its work elsewhere. So a connection is cut off when its caller
//! accepts nothing for a time, and after a shorter one when the process holds too much for all of them.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;

use crate::connection::Connection;

/// Send buffer that is requested for the socket of a caller; the kernel doubles it. It reports progress only once about
/// a third of it is free, which a caller that reads 2 KiB a second achieves within 20 s.
pub(crate) const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Time without progress after which a connection is cut off when the process holds too much for all callers.
const SHORT_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without progress after which `connection` is cut off, where `usual` applies while there is enough room.
pub(crate) fn stall_timeout(connection: &Connection, usual: Duration) -> Duration {
    if connection.intake().is_pressed() {
        usual.min(SHORT_STALL_TIMEOUT)
    } else {
        usual
    }
}

/// What is held for the caller of one connection, and whether it accepts it.
#[derive(Debug)]
pub(crate) struct Progress {
    connection: Arc<Connection>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    /// Since when the socket has accepted nothing; none while it accepts all that is written.
    blocked_since: Option<Instant>,
}

impl Progress {
    /// The state of a new connection.
    pub(crate) fn new(connection: Arc<Connection>) -> Self {
        Self {
            connection,
            state: Mutex::default(),
        }
    }

    /// Records a part of a response that the connection has taken.
    pub(crate) fn record_taken(&self, bytes: usize) {
        self.lock().held += bytes;
        self.connection.record_response(bytes);
    }

    /// Records the result of a write to the socket. Heads and framing count as parts of the responses, which they are
    /// short compared with.
    pub(crate) fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let mut state = self.lock();
        match written {
            Poll::Pending => {
                if state.blocked_since.is_none() {
                    state.blocked_since = Some(Instant::now());
                    self.connection.set_unread(true);
                }
            }
            Poll::Ready(Ok(bytes)) => {
                let released = state.held.min(*bytes);
                state.held -= released;
                self.connection.release_response(released);
                if state.blocked_since.take().is_some() {
                    self.connection.set_unread(false);
                }
            }
            Poll::Ready(Err(_)) => {}
        }
    }

    /// Since when the caller has accepted nothing although the connection has something to send.
    pub(crate) fn blocked_since(&self) -> Option<Instant> {
        self.lock().blocked_since
    }

    /// Bytes that are held for the caller.
    pub(crate) fn held(&self) -> usize {
        self.lock().held
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
