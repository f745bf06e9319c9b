//! What a conductor, and others of the group, may ask of the agent beside a rank.

use sparscale_wire::{RankNews, RankOrder};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::engine::EngineState;

/// News that wait for a slow conductor.
pub(crate) const QUEUE: usize = 64;

/// What a conductor leads an agent as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Lead {
    pub(crate) group: String,
    /// Rank that the conductor takes the agent's engine for.
    pub(crate) rank: usize,
    /// Number of the claim by which it leads.
    pub(crate) claim: u64,
}

/// An order from a conductor.
#[derive(Debug)]
pub(crate) struct Command {
    pub(crate) lead: Lead,
    pub(crate) order: RankOrder,
}

/// A conductor that wants to hear of the rank.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pub(crate) lead: Lead,
    pub(crate) news: mpsc::Sender<RankNews>,
}

/// What others may ask of the rank's agent.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) subscribers: mpsc::Sender<Subscriber>,
    /// Latest state of the rank.
    pub(crate) state: watch::Receiver<Option<EngineState>>,
    /// Highest claim by which a conductor led this rank, and when it last spoke.
    pub(crate) led: watch::Receiver<Led>,
    /// When this agent started.
    pub(crate) started: Instant,
}

/// Who leads the rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Led {
    /// Its claim; none if nobody has spoken yet.
    pub(crate) claim: Option<u64>,
    /// When it last spoke.
    pub(crate) spoke: Instant,
}

impl Handle {
    /// Hands an order over; nothing happens if the agent is stopping.
    pub(crate) async fn command(&self, command: Command) {
        let _stopping = self.commands.send(command).await;
    }

    /// Lets a conductor hear of the rank, and gives what it hears.
    pub(crate) async fn subscribe(&self, lead: Lead) -> mpsc::Receiver<RankNews> {
        let (news, receiver) = mpsc::channel(QUEUE);
        let _stopping = self.subscribers.send(Subscriber { lead, news }).await;
        receiver
    }
}
