//! Polls other agents to find out whether the leader is gone or only unreachable from here.
//!
//! An agent that receives nothing from a leader may itself be the unreachable one: its box was suspended, its process
//! has just started, or a new leader has yet to open its link among a hundred others. A claim would then depose a live
//! leader and cost the group seconds without a map switch.

use std::time::Duration;

use sparscale_wire::{Channel, Frame, LeaderContact, Role, StreamRequest};
use tokio::task::JoinSet;

use crate::claims;
use crate::context::Context;
use crate::engine::EngineState;
use crate::handle::Handle;
use crate::timing::GroupTiming;

/// Number of agents to poll, far apart in the group because the boxes of one hall fail together.
const POLLED_PEERS: usize = 3;
/// Number of answers after which the poll ends.
const SUFFICIENT_ANSWERS: usize = 2;
/// Timeout of a poll: a handshake with a slow box, with one retransmission.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Uptime below which an agent that was never led is taken to have started together with all others, including the last
/// leader.
const RECENT_START: Duration = Duration::from_secs(5);

/// Conclusion from the answers of a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderStatus {
    /// The leader is gone.
    Gone,
    /// The leader is alive: a peer has received a message from it recently.
    Lives {
        /// Claim of that leader.
        claim: u64,
    },
    /// A claimant exists from which no polled peer has received anything yet.
    Coming {
        /// Time to wait for the claimant.
        wait: Duration,
    },
    /// No peer answered: this agent is cut off, or all others have terminated.
    Alone,
}

/// Judges from the answers of a poll whether the leader is gone. `next_claim` is the number of the next claim,
/// known for `known_for`.
pub fn evaluate_poll(
    sightings: &[LeaderContact],
    next_claim: u64,
    known_for: Duration,
    timing: &GroupTiming,
) -> LeaderStatus {
    if sightings.is_empty() {
        return LeaderStatus::Alone;
    }
    let is_recent = |sighting: &&LeaderContact| Duration::from_millis(sighting.heard_ms) < timing.leader_live_age();
    let valid_claim = |sighting: &LeaderContact| sighting.claim.filter(|claim| claims::is_number(*claim));
    let live_claims = sightings.iter().filter(is_recent).filter_map(valid_claim);
    if let Some(claim) = live_claims.max().filter(|claim| claim + 1 >= next_claim) {
        return LeaderStatus::Lives { claim };
    }
    let highest_claim = sightings.iter().filter_map(valid_claim).max();
    let all_started_recently = sightings
        .iter()
        .all(|sighting| sighting.claim.is_none() && Duration::from_millis(sighting.up_ms) < RECENT_START);
    if all_started_recently || highest_claim.is_some_and(|claim| claim + 1 >= next_claim) {
        return LeaderStatus::Gone;
    }
    match timing.takeover_limit().checked_sub(known_for) {
        Some(wait) if !wait.is_zero() => LeaderStatus::Coming { wait },
        _ => LeaderStatus::Gone,
    }
}

/// Polls other agents of the group of the engine in `state` for their observations of the leader.
pub(crate) async fn poll_peers(context: &Context, group: &str, state: &EngineState) -> Vec<LeaderContact> {
    let mut polls = JoinSet::new();
    for poll in 0..POLLED_PEERS.min(state.size.saturating_sub(1)) {
        let rank = (state.rank + 1 + poll * state.size / POLLED_PEERS) % state.size;
        let (context, group) = (context.clone(), group.to_owned());
        polls.spawn(async move { poll_rank(&context, &group, rank).await });
    }
    let mut sightings = Vec::new();
    let collected = async {
        while let Some(answer) = polls.join_next().await {
            sightings.extend(answer.ok().flatten());
            if sightings.len() >= SUFFICIENT_ANSWERS {
                return;
            }
        }
    };
    // The answers that arrived before the timeout must suffice.
    let _elapsed = tokio::time::timeout(POLL_TIMEOUT, collected).await;
    sightings
}

async fn poll_rank(context: &Context, group: &str, rank: usize) -> Option<LeaderContact> {
    let targets = context.board.targets()?.value;
    let engine = *targets.addresses_of_rank(group, rank).first()?;
    let agent = std::net::SocketAddr::new(engine.ip(), context.port);
    let mut channel = context.endpoint.open(agent, Role::Agent).await.ok()?;
    let query = StreamRequest::QueryLeader {
        group: group.to_owned(),
    };
    channel.sender.send(&Frame::Open(query)).await.ok()?;
    match channel.receiver.receive().await.ok()? {
        Frame::LeaderContact(sighting) => Some(sighting),
        _ => None,
    }
}

/// Answers a poll with this agent's observation of the leader of `group`; sends nothing if its engine belongs to
/// another group.
pub(crate) async fn answer_poll(handle: &Handle, group: &str, mut channel: Channel) {
    let is_same_group = handle
        .state
        .borrow()
        .as_ref()
        .is_some_and(|state| state.group.as_deref() == Some(group));
    if !is_same_group {
        return;
    }
    let leader = *handle.leader.borrow();
    let sighting = LeaderContact {
        claim: leader.claim,
        heard_ms: millis(leader.last_seen.elapsed()),
        up_ms: millis(handle.started_at.elapsed()),
    };
    // The polling agent may have stopped waiting, so a failure is ignored.
    let _gone = channel.sender.send(&Frame::LeaderContact(sighting)).await;
    channel.sender.finish();
    channel.sender.stopped().await;
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
