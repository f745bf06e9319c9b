//! What the placer's tasks need.

use std::sync::Arc;

use sparscale_control::{Journal, Listing};
use sparscale_wire::Endpoint;
use tokio::sync::watch;

use crate::board_control::SharedBoard;

/// What every task of the placer needs.
pub(crate) struct Context {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) journal: Arc<Journal>,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) board: Arc<SharedBoard>,
    pub(crate) boxes: watch::Receiver<Arc<Listing>>,
}
