//! Interface of the agent beside a rank: orders, subscriptions and the latest state.

use sparscale_wire::{RankNews, RankOrder};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::engine::EngineState;

/// Updates that are queued for a slow leader.
pub(crate) const QUEUE: usize = 64;

/// The rank for which a leader takes an agent, and the claim by which it leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Lead {
    pub(crate) group: String,
    /// Rank that the leader expects the agent's engine to be.
    pub(crate) rank: usize,
    /// Number of the leader's claim.
    pub(crate) claim: u64,
}

/// An order from a leader.
#[derive(Debug)]
pub(crate) struct Command {
    pub(crate) lead: Lead,
    pub(crate) order: RankOrder,
}

/// A leader that subscribes to updates about the rank.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pub(crate) lead: Lead,
    pub(crate) news: mpsc::Sender<RankNews>,
}

/// Handle to the task of a rank's agent.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) subscribers: mpsc::Sender<Subscriber>,
    /// Latest state of the rank.
    pub(crate) state: watch::Receiver<Option<EngineState>>,
    /// Highest claim of any leader of this rank, and when that leader was last seen.
    pub(crate) led: watch::Receiver<Led>,
    /// When this agent started.
    pub(crate) started: Instant,
}

/// What this agent has observed of the rank's leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Led {
    /// The leader's claim; `None` until a leader has been seen.
    pub(crate) claim: Option<u64>,
    /// Time of its latest order, heartbeat or subscription.
    pub(crate) spoke: Instant,
}

impl Handle {
    /// Sends an order to the agent; does nothing if the agent is stopping.
    pub(crate) async fn command(&self, command: Command) {
        let _stopping = self.commands.send(command).await;
    }

    /// Subscribes a leader to updates about the rank.
    pub(crate) async fn subscribe(&self, lead: Lead) -> mpsc::Receiver<RankNews> {
        let (news, receiver) = mpsc::channel(QUEUE);
        let _stopping = self.subscribers.send(Subscriber { lead, news }).await;
        receiver
    }
}
