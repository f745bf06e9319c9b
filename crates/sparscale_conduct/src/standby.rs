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
const STANDBYS: usize = 3;
/// Group size up to which no standby connections are kept: connecting to all ranks takes less time there than the
/// difference between the wait times of two candidates.
const SMALL_GROUP: usize = 24;
/// Time between two connections that are opened or checked. No task waits for them, and the box has a rank to serve.
const PAUSE: Duration = Duration::from_millis(60);
/// Limit of concurrent dials: a dial of an unreachable box lasts until its timeout.
const AT_ONCE: usize = 4;
/// Time between two checks while there are no peers to connect to.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps connections open while this agent is one of the first candidates; never returns.
pub(crate) async fn run(context: Context) {
    let turns = Arc::new(Semaphore::new(AT_ONCE));
    loop {
        let peers = peers(&context);
        if peers.is_empty() {
            tokio::time::sleep(IDLE_PAUSE).await;
        }
        for agent in peers {
            let Ok(turn) = Arc::clone(&turns).acquire_owned().await else {
                return;
            };
            let endpoint = Arc::clone(&context.endpoint);
            tokio::spawn(async move {
                if let Err(error) = endpoint.keep_ready(agent, Role::Agent).await {
                    log::debug!(agent = agent.to_string().as_str(), error = error.to_string().as_str(); "no connection for later");
                }
                drop(turn);
            });
            tokio::time::sleep(PAUSE).await;
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
        .filter(|_| state.rank < STANDBYS && state.size > SMALL_GROUP)
    else {
        return Vec::new();
    };
    let others = (0..state.size).filter(|rank| *rank != state.rank);
    let engine = |rank| targets.value.places(group, rank).first().copied();
    let agent = |engine: SocketAddr| SocketAddr::new(engine.ip(), context.port);
    others.filter_map(engine).map(agent).collect()
}
