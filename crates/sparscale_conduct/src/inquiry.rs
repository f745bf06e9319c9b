//! Whether the conductor is gone, or only this agent does not hear it.
//!
//! An agent that hears no conductor may itself be the one that is not reached: its box stood still, its process has just
//! started, or its link is one of a hundred that a new conductor has yet to open. Claiming then takes the leadership from one that
//! lives, and costs the group seconds without a map. So it asks a few others what they have heard.

use std::time::Duration;

use sparscale_wire::{Ask, Channel, Frame, Role, Sighting};
use tokio::task::JoinSet;

use crate::context::Context;
use crate::engine::EngineState;
use crate::handle::Handle;
use crate::pace::Pace;

/// Agents that are asked, far apart in the group: boxes of one hall are gone together.
const ASKED: usize = 3;
/// Answers that are waited for.
const ENOUGH: usize = 2;
/// Time in which they have to come: a handshake with a slow box, once sent again.
const TIMEOUT: Duration = Duration::from_millis(400);
/// An agent that started this lately and was never led was started together with the others, the conductor among them.
const STARTED_LATELY: Duration = Duration::from_secs(5);

/// What follows from the others' words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The conductor is gone.
    Gone,
    /// It lives: somebody heard it a moment ago.
    Lives {
        /// Its claim.
        claim: u64,
    },
    /// Somebody has claimed whom nobody has heard yet.
    Coming {
        /// How long it is waited for.
        wait: Duration,
    },
    /// Nobody answers: this agent is the one that is cut off, or all others are gone.
    Alone,
}

/// Draws what follows from `words`. `end` is how many claims there are, known for `known`.
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

/// Asks others of the group of the engine in `state` what they have heard of its conductor.
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
    // What has come by then has to do.
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

/// Says what this agent has heard of the conductor of `group`; nothing if its engine is of another one.
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
    // Who asked and does not wait has no use for it.
    let _gone = channel.sender.send(&Frame::Leader(word)).await;
    channel.sender.finish();
    channel.sender.stopped().await;
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
