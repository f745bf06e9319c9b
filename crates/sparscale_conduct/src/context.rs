//! What leading a group, and standing ready to, work with.

use std::net::SocketAddr;
use std::sync::Arc;

use sparscale_belief::Board;
use sparscale_mesh::Mesh;
use sparscale_wire::Endpoint;

use crate::bandwidth::Bandwidth;
use crate::engine::Engines;
use crate::figures::Figures;
use crate::handle::Handle;

/// What a leader works with, and who may become one.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) engines: Arc<dyn Engines>,
    pub(crate) handle: Handle,
    /// The engine beside this process.
    pub(crate) engine: SocketAddr,
    /// Port at which every agent takes connections.
    pub(crate) port: u16,
    /// Link of this box.
    pub(crate) bandwidth: Bandwidth,
    pub(crate) figures: Figures,
}

/// One term of leadership: the group that is led, and the claim by which it is.
#[derive(Debug, Clone)]
pub(crate) struct Term {
    pub(crate) group: String,
    pub(crate) service: String,
    pub(crate) own: usize,
    pub(crate) size: usize,
    /// Number of the claim.
    pub(crate) claim: u64,
}
