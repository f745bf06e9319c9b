//! Delegation of a hold: the agent of another rank places it at the leader's own rank.

use std::time::Duration;

use sparscale_place::barrier::{Act, Answer, Order, Progress};
use sparscale_telemetry::DECISION;
use sparscale_wire::rank;
use tokio::time::Instant;

use crate::leader::Leader;
use crate::member::{Delegation, LivenessCheck};

/// Time limit for a helper to place a hold: four times two network hops between halls and a call of the engine.
const DELEGATION_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after a hold at which the helper must show that it is still running.
const LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(6);
/// Time for which an agent that failed as a helper is not chosen again.
const HELPER_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Leader {
    /// Delegates the hold at the leader's own rank to another agent; returns false if the order is no such hold or no
    /// helper is available.
    ///
    /// A box that freezes right after it has placed a hold stalls the group until it resumes. If the leader places its
    /// own hold and its box freezes, no other process knows what it has ordered besides. If the helper's box freezes,
    /// the leader sees the hold at its own rank, knows that no rank was ordered to arm, and releases the group.
    pub(crate) fn delegate_hold(&mut self, rank: usize, order: Order) -> bool {
        let is_hold = matches!(order.act, Act::Hold { .. }) && self.coordinator.progress() == Progress::Holding;
        if !is_hold || rank != self.term.own_rank {
            return false;
        }
        let engine = self.context.engine_address;
        let Some(helper) = self.choose_helper() else {
            return false;
        };
        let sent = self.members[helper]
            .orders
            .try_send(rank::Order::Delegation { order, engine });
        if sent.is_ok() {
            self.delegation = Some(Delegation {
                order,
                helper,
                sent_at: Instant::now(),
                answer: None,
                liveness: LivenessCheck::Passed,
            });
        }
        sent.is_ok()
    }

    /// The next rank after the leader's own whose agent has reported recently.
    fn choose_helper(&self) -> Option<usize> {
        let size = self.members.len();
        let mut others = (1..size).map(|step| (self.term.own_rank + step) % size);
        others.find(|rank| {
            let member = &self.members[*rank];
            let is_recent = member
                .load
                .is_some_and(|(_, at)| at.elapsed() < self.timing.max_helper_age());
            is_recent
                && member
                    .delegation_failed_at
                    .is_none_or(|at| at.elapsed() > HELPER_RETRY_DELAY)
        })
    }

    /// Handles the helper's answer to the hold, then its answer to the later liveness query. A box may freeze right
    /// after it has placed a hold, so no rank is armed before the helper has shown that it is still running.
    pub(crate) fn handle_delegation_answer(&mut self, serial: u64, answer: Answer) {
        let Some(delegation) = self
            .delegation
            .as_mut()
            .filter(|delegation| delegation.order.serial == serial)
        else {
            return;
        };
        match (delegation.answer, delegation.liveness) {
            (None, _) => {
                delegation.answer = Some(answer);
                delegation.sent_at = Instant::now();
                if answer == Answer::Done {
                    delegation.liveness = LivenessCheck::DueAt(Instant::now() + LIVENESS_CHECK_DELAY);
                    return;
                }
            }
            (Some(_), LivenessCheck::Requested) => delegation.liveness = LivenessCheck::Passed,
            _ => return,
        }
        // Reads the state of the own rank now, to report it with the answer.
        let query = Order {
            act: Act::Look,
            ..delegation.order
        };
        self.send_order(self.term.own_rank, query);
    }

    /// Sends the helper the liveness query when it is due.
    pub(crate) fn query_helper(&mut self) {
        let Some(delegation) = &mut self.delegation else { return };
        let LivenessCheck::DueAt(at) = delegation.liveness else {
            return;
        };
        if Instant::now() < at {
            return;
        }
        delegation.liveness = LivenessCheck::Requested;
        let order = Order {
            act: Act::Look,
            ..delegation.order
        };
        let engine = self.context.engine_address;
        // If the queue is full the helper counts as unresponsive.
        let _full = self.members[delegation.helper]
            .orders
            .try_send(rank::Order::Delegation { order, engine });
    }

    /// Drops the map switch if the helper is unresponsive: its box may be frozen, and then its rank cannot be armed.
    /// Nothing is armed yet; the hold is released as soon as the state of the own rank shows it.
    pub(crate) fn check_delegation_timeout(&mut self) {
        let timed_out = |delegation: &mut Delegation| {
            let is_pending = delegation.answer.is_none() || delegation.liveness != LivenessCheck::Passed;
            is_pending && delegation.sent_at.elapsed() > DELEGATION_TIMEOUT
        };
        let Some(delegation) = self.delegation.take_if(timed_out) else {
            return;
        };
        log::warn!(target: DECISION, decision = "delegation_lost", group = self.term.group.as_str(), helper = delegation.helper; "helper timed out; dropping the map switch");
        self.members[delegation.helper].delegation_failed_at = Some(Instant::now());
        self.members[self.term.own_rank].pending_order = None;
        self.coordinator.abandon_change();
        self.coordinator.record_no_answer(self.term.own_rank);
    }
}
