//! Room for the part of a response that is buffered.

use std::sync::Arc;
use std::time::Duration;

use sparscale_intake::Connection;

/// Bytes of a response that need no room of their own: each connection has them.
const UNRESERVED_BYTES: usize = 16 << 10;
/// Bytes by which the room grows.
const STEP_BYTES: usize = 64 << 10;
/// Bytes that a long response holds while its caller reads nothing: two reads, and what its target has sent meanwhile.
const RELAY_BYTES: usize = 128 << 10;
/// Time between two attempts to get room for a long response.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Room for a response, released when it is dropped.
#[derive(Debug)]
pub(crate) struct ResponseRoom {
    connection: Arc<Connection>,
    reserved: usize,
}

impl ResponseRoom {
    /// The room that each response has.
    pub(crate) fn new(connection: Arc<Connection>) -> Self {
        Self {
            connection,
            reserved: 0,
        }
    }

    /// Reserves room for `total` bytes; returns whether there is room.
    pub(crate) fn reserve(&mut self, total: usize) -> bool {
        while total > UNRESERVED_BYTES + self.reserved {
            if !self.connection.reserve_response(STEP_BYTES) {
                return false;
            }
            self.reserved += STEP_BYTES;
        }
        true
    }

    /// Waits until there is room to forward a long response as it arrives.
    ///
    /// Cancel safe.
    pub(crate) async fn wait_for_relay(&mut self) {
        while self.reserved < RELAY_BYTES {
            if self.connection.reserve_response(RELAY_BYTES - self.reserved) {
                self.reserved = RELAY_BYTES;
            } else {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl Drop for ResponseRoom {
    fn drop(&mut self) {
        self.connection.release_response(self.reserved);
    }
}
