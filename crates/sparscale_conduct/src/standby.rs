//! Connections that stand before they are needed.
//!
//! A conductor that takes over has to reach every rank before it can do anything. Each handshake takes both sides some
//! milliseconds of a small box, so reaching 128 ranks took 4 s, in which nobody led the group. The agents that are first in
//! line keep a connection to each of the others instead: a takeover then only opens a stream on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_wire::Role;
use tokio::sync::Semaphore;

use crate::context::Context;

/// Ranks from the first on that keep connections: when the conductor's box is gone, the first in line may be gone with it.
const STANDBYS: usize = 3;
/// Groups up to this size are reached in less time than the agents' patience differs: nobody has to be ready.
const SMALL_GROUP: usize = 24;
/// Pause between two connections that are opened or looked at: nothing is waiting for them, and the box has a rank to serve.
const PAUSE: Duration = Duration::from_millis(60);
/// Connections that are opened at once: those to boxes that are gone take until they are given up.
const AT_ONCE: usize = 4;
/// Pause while there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps connections while this agent is one of the first in line; never ends.
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

/// Agents to keep a connection to; none unless this one is first in line in a large group.
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
