//! Dependencies of the placer tasks.

use std::sync::Arc;

use sparscale_control::{BoxList, Journal};
use sparscale_wire::Endpoint;
use tokio::sync::watch;

use crate::board_control::SharedBoard;

/// Handles that every placer task needs.
pub(crate) struct Context {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) journal: Arc<Journal>,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) board: Arc<SharedBoard>,
    pub(crate) boxes: watch::Receiver<Arc<BoxList>>,
}
