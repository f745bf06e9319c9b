//! Interface of the agent beside a rank: orders, subscriptions and the latest state.

use sparscale_wire::rank;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::engine::EngineState;

/// Updates that are queued for a slow leader.
pub(crate) const UPDATE_QUEUE_LEN: usize = 64;

/// Rank that a leader assigns to an agent, and the claim by which it leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) group: String,
    /// Rank that the leader expects the agent's engine to be.
    pub(crate) rank: usize,
    /// Number of the leader's claim.
    pub(crate) claim: u64,
}

/// An order from a leader.
#[derive(Debug)]
pub(crate) struct Command {
    pub(crate) assignment: Assignment,
    pub(crate) order: rank::Order,
}

/// A leader that subscribes to updates about the rank.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pub(crate) assignment: Assignment,
    pub(crate) updates: mpsc::Sender<rank::Update>,
}

/// Handle to the task of a rank's agent.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) subscribers: mpsc::Sender<Subscriber>,
    /// Latest state of the rank.
    pub(crate) state: watch::Receiver<Option<EngineState>>,
    /// Highest claim of any leader of this rank, and when that leader was last seen.
    pub(crate) leader: watch::Receiver<LeaderObservation>,
    /// When this agent started.
    pub(crate) started_at: Instant,
}

/// What this agent has observed of the rank's leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaderObservation {
    /// The leader's claim; `None` until a leader has been seen.
    pub(crate) claim: Option<u64>,
    /// Time of its latest order, heartbeat or subscription; before the first one, the start of this agent.
    pub(crate) last_seen: Instant,
}

impl Handle {
    /// Sends an order to the agent; does nothing if the agent is stopping.
    pub(crate) async fn send_command(&self, command: Command) {
        let _stopping = self.commands.send(command).await;
    }

    /// Subscribes a leader to updates about the rank.
    pub(crate) async fn subscribe(&self, assignment: Assignment) -> mpsc::Receiver<rank::Update> {
        let (updates, receiver) = mpsc::channel(UPDATE_QUEUE_LEN);
        let _stopping = self.subscribers.send(Subscriber { assignment, updates }).await;
        receiver
    }
}
