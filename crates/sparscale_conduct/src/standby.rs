//! Standby connections to the agents of a large group.
//!
//! A new leader must connect to every rank before it can act. Each handshake costs a small box some milliseconds on
//! both sides, so connecting to 128 ranks took 4 s, during which the group had no leader. The first candidates for
//! leadership therefore keep a connection to each of the other agents; a takeover then only opens a stream on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_wire::Role;
use tokio::sync::Semaphore;

use crate::context::Context;

/// Number of ranks, from rank 0, that keep connections: the first candidates may fail together with the leader's box.
const STANDBY_RANKS: usize = 3;
/// Group size up to which no standby connections are kept: connecting to all ranks takes less time there than the
/// difference between the wait times of two candidates.
const SMALL_GROUP_RANKS: usize = 24;
/// Time between two connections that are opened or checked. No task waits for them, and the box has a rank to serve.
const DIAL_INTERVAL: Duration = Duration::from_millis(60);
/// Limit of concurrent dials: a dial of an unreachable box lasts until its timeout.
const MAX_DIALS: usize = 4;
/// Time between two checks while there are no peers to connect to.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps connections open while this agent is one of the first candidates; never returns.
pub(crate) async fn run(context: Context) {
    let permits = Arc::new(Semaphore::new(MAX_DIALS));
    loop {
        let peers = peers(&context);
        if peers.is_empty() {
            tokio::time::sleep(IDLE_INTERVAL).await;
        }
        for agent in peers {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let endpoint = Arc::clone(&context.endpoint);
            tokio::spawn(async move {
                if let Err(error) = endpoint.ensure_connected(agent, Role::Agent).await {
                    log::debug!(agent = agent.to_string().as_str(), error = error.to_string().as_str(); "failed to open a standby connection");
                }
                drop(permit);
            });
            tokio::time::sleep(DIAL_INTERVAL).await;
        }
    }
}

/// Agents to keep connected; empty unless this agent is one of the first candidates in a large group.
fn peers(context: &Context) -> Vec<SocketAddr> {
    let state = context.handle.state.borrow().clone();
    let Some((state, targets)) = state.zip(context.board.targets()) else {
        return Vec::new();
    };
    let Some(group) = state
        .group
        .as_deref()
        .filter(|_| state.rank < STANDBY_RANKS && state.size > SMALL_GROUP_RANKS)
    else {
        return Vec::new();
    };
    let others = (0..state.size).filter(|rank| *rank != state.rank);
    let engine_of = |rank| targets.value.addresses_of_rank(group, rank).first().copied();
    let agent_of = |engine: SocketAddr| SocketAddr::new(engine.ip(), context.port);
    others.filter_map(engine_of).map(agent_of).collect()
}
