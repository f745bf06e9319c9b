//! State shared by the leader of a group and by the agents that may succeed it.

use std::net::SocketAddr;
use std::sync::Arc;

use sparscale_belief::Board;
use sparscale_mesh::Mesh;
use sparscale_wire::Endpoint;

use crate::bandwidth::Bandwidth;
use crate::engine::Engines;
use crate::handle::Handle;
use crate::metrics::Metrics;

/// Handles that a leader, or a candidate for leadership, needs.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) board: Arc<Board>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) engines: Arc<dyn Engines>,
    pub(crate) handle: Handle,
    /// Address of the engine beside this process.
    pub(crate) engine_address: SocketAddr,
    /// Port on which every agent listens.
    pub(crate) port: u16,
    /// Bandwidth of this box's link.
    pub(crate) bandwidth: Bandwidth,
    pub(crate) metrics: Metrics,
}

/// One term of leadership: the group, and the claim that grants its leadership.
#[derive(Debug, Clone)]
pub(crate) struct Term {
    pub(crate) group: String,
    pub(crate) service: String,
    pub(crate) own_rank: usize,
    pub(crate) size: usize,
    /// Number of the claim.
    pub(crate) claim: u64,
}
