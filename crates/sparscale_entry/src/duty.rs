//! Decides when an entry claims the placer duty of a group: only when the holder is unresponsive.
//!
//! Safety does not depend on this, because the fence of a replaced holder is outdated. The timeouts only determine how
//! soon an unresponsive holder is replaced, and keep entries from claiming simultaneously.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::time::Duration;

use sparscale_control::{BoxList, Journal, Node};
use sparscale_journal::{Claim, Duty, Holder, RecordBody, Verdict};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Endpoint, Frame, Role, StreamRequest};
use tokio::time::Instant;

/// Time without a response after which the first candidate claims.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);
/// Additional time without a response for each candidate that comes earlier in the order.
const EXTRA_TIMEOUT_PER_CANDIDATE: Duration = Duration::from_secs(2);
/// Most entries that are candidates for a duty.
const MAX_CANDIDATES: usize = 3;
/// Timeout of a ping to the holder.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of appending a claim to the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Tracks one duty, its holder and the time of the holder's last response.
pub(crate) struct DutyWatch {
    duty: Duty,
    node: String,
    incarnation: u64,
    last_seen: Instant,
    last_fence: u64,
}

impl DutyWatch {
    pub(crate) fn new(duty: Duty, node: &str, incarnation: u64) -> Self {
        Self {
            duty,
            node: node.to_owned(),
            incarnation,
            last_seen: Instant::now(),
            last_fence: 0,
        }
    }

    /// Returns the fence under which this entry holds the duty; claims the duty first if the holder has been
    /// unresponsive for long enough.
    pub(crate) async fn hold_or_claim(
        &mut self,
        journal: &Arc<Journal>,
        endpoint: &Endpoint,
        boxes: &BoxList,
    ) -> Option<u64> {
        let holder = journal.with_state(|state| state.holder(&self.duty).cloned());
        if let Some(holder) = holder.as_ref().filter(|holder| self.is_own(holder)) {
            return Some(holder.fence);
        }
        let fence = holder.as_ref().map_or(0, |holder| holder.fence);
        if fence != self.last_fence {
            self.last_fence = fence;
            self.last_seen = Instant::now();
        }
        let live_nodes: Vec<Node> = boxes
            .live_nodes()
            .into_iter()
            .filter(|node| node.role == Role::Entry)
            .collect();
        let candidate_index = self.candidate_index(&live_nodes, holder.as_ref())?;
        if let Some(holder) = &holder
            && self.holder_responds(holder, &live_nodes, endpoint).await
        {
            self.last_seen = Instant::now();
            return None;
        }
        let holder_timeout = if holder.is_some() {
            HOLDER_TIMEOUT
        } else {
            Duration::ZERO
        };
        if self.last_seen.elapsed() < holder_timeout + EXTRA_TIMEOUT_PER_CANDIDATE * candidate_index {
            return None;
        }
        self.claim(journal, fence).await
    }

    fn is_own(&self, holder: &Holder) -> bool {
        holder.node == self.node && holder.incarnation == self.incarnation
    }

    /// Index of this entry among the candidates; none if it is not a candidate.
    fn candidate_index(&self, live_nodes: &[Node], holder: Option<&Holder>) -> Option<u32> {
        let is_own_earlier_run = holder.is_some_and(|holder| holder.node == self.node);
        let candidates = live_nodes
            .iter()
            .filter(|node| is_own_earlier_run || holder.is_none_or(|holder| holder.node != node.name));
        let mut names: Vec<&str> = candidates.map(|node| node.name.as_str()).collect();
        names.sort_by_cached_key(|name| candidate_hash(&self.duty, name));
        let candidate_index = names.iter().position(|name| *name == self.node)?;
        (candidate_index < MAX_CANDIDATES).then_some(candidate_index as u32)
    }

    /// Whether the holder responds and is still the incarnation that claimed.
    async fn holder_responds(&self, holder: &Holder, live_nodes: &[Node], endpoint: &Endpoint) -> bool {
        let Some(node) = live_nodes.iter().find(|node| node.name == holder.node) else {
            return false;
        };
        let ping_result = tokio::time::timeout(PING_TIMEOUT, ping(endpoint, node)).await;
        ping_result.ok().flatten() == Some(holder.incarnation)
    }

    async fn claim(&mut self, journal: &Arc<Journal>, over: u64) -> Option<u64> {
        self.last_seen = Instant::now();
        let claim = Claim {
            duty: self.duty.clone(),
            node: self.node.clone(),
            incarnation: self.incarnation,
            superseded_fence: over,
        };
        let append_result = journal.submit(RecordBody::Claim(claim), CLAIM_TIMEOUT).await;
        log::info!(target: DECISION, decision = "claim", duty:? = self.duty, over, result:? = append_result; "claimed a duty");
        match append_result {
            Ok(receipt) if receipt.verdict == Verdict::Accepted => Some(receipt.offset + 1),
            _ => None,
        }
    }

    /// Claims the duty again with a higher fence, which invalidates orders under the old fence that are still in
    /// flight.
    pub(crate) async fn reclaim(&mut self, journal: &Arc<Journal>, fence: u64) -> Option<u64> {
        self.claim(journal, fence).await
    }
}

async fn ping(endpoint: &Endpoint, node: &Node) -> Option<u64> {
    let mut channel = endpoint.open(node.address, node.role).await.ok()?;
    channel.sender.send(&Frame::Open(StreamRequest::Ping)).await.ok()?;
    match channel.receiver.receive().await.ok()? {
        Frame::Pong(incarnation) => Some(incarnation),
        _ => None,
    }
}

fn candidate_hash(duty: &Duty, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    duty.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
