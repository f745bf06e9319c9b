//! A request of a caller and its dispatches to targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_board::TargetKey;
use sparscale_bundle::{Limits, Workspace};
use sparscale_journal::BindingKey;
use sparscale_quarantine::Fingerprint;
use sparscale_route::Request as RouteRequest;
use sparscale_wire::{Attempt, AttemptId, Call};
use tokio::time::Instant;

/// Targets that a request may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Pool {
    /// Any rank that serves this model.
    Model(String),
    /// Any target of this service.
    Service(String),
    /// The agent incarnation that an idempotency key is bound to.
    Bound {
        /// Name of the target.
        target: String,
        /// Incarnation of its agent.
        incarnation: u64,
    },
}

/// A request with all that its dispatches need.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) workspace: Arc<Workspace>,
    pub(crate) tier: u8,
    pub(crate) deadline: Instant,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<BindingKey>,
    pub(crate) retention: Duration,
    pub(crate) call: Call,
    /// Fingerprints of the parts of the prompt that other requests may share.
    pub(crate) shared_parts: Vec<Fingerprint>,
    pub(crate) pool: Pool,
    pub(crate) route: RouteRequest,
    pub(crate) limits: Limits,
}

/// One dispatch of a request to a target.
#[derive(Debug, Clone)]
pub(crate) struct SentAttempt {
    pub(crate) target: TargetKey,
    pub(crate) target_name: String,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Last incarnation that the agent reported before the dispatch; 0 if unknown.
    pub(crate) incarnation: u64,
}

impl Job {
    /// The dispatch in its wire format.
    pub(crate) fn attempt(&self, sent: &SentAttempt) -> Attempt {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let incarnation = match &self.pool {
            Pool::Bound { incarnation, .. } => *incarnation,
            Pool::Model(_) | Pool::Service(_) => 0,
        };
        Attempt {
            id: sent.attempt,
            agent_incarnation: incarnation,
            workspace: self.workspace.name.clone(),
            tier: self.tier,
            weight: self.workspace.weight,
            remaining_ms: remaining.as_millis() as u64,
            retryable: self.repeatable,
            key: self.key,
            retention_secs: self.retention.as_secs(),
            prompt_tokens: self.route.prompt_tokens,
            response_tokens: self.route.response_tokens,
            call: self.call.clone(),
        }
    }
}
