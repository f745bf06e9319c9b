//! Polls other agents to find out whether the leader is gone or only unreachable from here.
//!
//! An agent that receives nothing from a leader may itself be the unreachable one: its box was suspended, its process
//! has just started, or a new leader has yet to open its link among a hundred others. A claim would then depose a live
//! leader and cost the group seconds without a map switch.

use std::time::Duration;

use sparscale_wire::{Ask, Channel, Frame, Role, Sighting};
use tokio::task::JoinSet;

use crate::context::Context;
use crate::engine::EngineState;
use crate::handle::Handle;
use crate::pace::Pace;

/// Number of agents to poll, far apart in the group because the boxes of one hall fail together.
const ASKED: usize = 3;
/// Number of answers after which the poll ends.
const ENOUGH: usize = 2;
/// Timeout of a poll: a handshake with a slow box, with one retransmission.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Uptime below which an agent that was never led is taken to have started together with all others, including the last
/// leader.
const STARTED_LATELY: Duration = Duration::from_secs(5);

/// Conclusion from the answers of a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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

/// Judges from the answers of a poll whether the leader is gone. `end` is the number of the next claim, known for
/// `known`.
pub fn verdict(words: &[Sighting], end: u64, known: Duration, pace: &Pace) -> Verdict {
    if words.is_empty() {
        return Verdict::Alone;
    }
    let lately = |word: &&Sighting| Duration::from_millis(word.heard_ms) < pace.lives();
    let lives = words.iter().filter(lately).filter_map(|word| word.claim);
    if let Some(claim) = lives.max().filter(|claim| claim + 1 >= end) {
        return Verdict::Lives { claim };
    }
    let heard = words.iter().filter_map(|word| word.claim).max();
    let all_new = words
        .iter()
        .all(|word| word.claim.is_none() && Duration::from_millis(word.up_ms) < STARTED_LATELY);
    if all_new || heard.is_some_and(|claim| claim + 1 >= end) {
        return Verdict::Gone;
    }
    match pace.reach().checked_sub(known) {
        Some(wait) if !wait.is_zero() => Verdict::Coming { wait },
        _ => Verdict::Gone,
    }
}

/// Polls other agents of the group of the engine in `state` for their observations of the leader.
pub(crate) async fn ask(context: &Context, group: &str, state: &EngineState) -> Vec<Sighting> {
    let mut asking = JoinSet::new();
    for part in 0..ASKED.min(state.size.saturating_sub(1)) {
        let rank = (state.rank + 1 + part * state.size / ASKED) % state.size;
        let (context, group) = (context.clone(), group.to_owned());
        asking.spawn(async move { ask_rank(&context, &group, rank).await });
    }
    let mut words = Vec::new();
    let gathered = async {
        while let Some(answer) = asking.join_next().await {
            words.extend(answer.ok().flatten());
            if words.len() >= ENOUGH {
                return;
            }
        }
    };
    // The answers that arrived before the timeout must suffice.
    let _elapsed = tokio::time::timeout(TIMEOUT, gathered).await;
    words
}

async fn ask_rank(context: &Context, group: &str, rank: usize) -> Option<Sighting> {
    let targets = context.board.targets()?.value;
    let engine = *targets.places(group, rank).first()?;
    let agent = std::net::SocketAddr::new(engine.ip(), context.port);
    let mut channel = context.endpoint.open(agent, Role::Agent).await.ok()?;
    let ask = Ask::Leader {
        group: group.to_owned(),
    };
    channel.sender.send(&Frame::Ask(ask)).await.ok()?;
    match channel.receiver.receive().await.ok()? {
        Frame::Leader(word) => Some(word),
        _ => None,
    }
}

/// Answers a poll with this agent's observation of the leader of `group`; sends nothing if its engine belongs to
/// another group.
pub(crate) async fn answer(handle: &Handle, group: &str, mut channel: Channel) {
    let ours = handle
        .state
        .borrow()
        .as_ref()
        .is_some_and(|state| state.group.as_deref() == Some(group));
    if !ours {
        return;
    }
    let led = *handle.led.borrow();
    let word = Sighting {
        claim: led.claim,
        heard_ms: millis(led.spoke.elapsed()),
        up_ms: millis(handle.started.elapsed()),
    };
    // The polling agent may have stopped waiting, so a failure is ignored.
    let _gone = channel.sender.send(&Frame::Leader(word)).await;
    channel.sender.finish();
    channel.sender.stopped().await;
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
