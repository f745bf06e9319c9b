//! Delegation of a hold: the agent of another rank places it at the leader's own rank.

use std::time::Duration;

use sparscale_place::barrier::{Act, Answer, Order, Progress};
use sparscale_telemetry::DECISION;
use sparscale_wire::RankOrder;
use tokio::time::Instant;

use crate::leader::Leader;
use crate::member::{Delegation, Proof};

/// Time limit for a helper to place a hold: four times two network hops between halls and a call of the engine.
const DELEGATION_LIMIT: Duration = Duration::from_millis(50);
/// Time after a hold at which the helper must show that it is still running.
const PROOF_PAUSE: Duration = Duration::from_millis(6);
/// Time for which an agent that failed as a helper is not chosen again.
const HELPER_PAUSE: Duration = Duration::from_secs(5);

impl Leader {
    /// Delegates the hold at the leader's own rank to another agent; returns false if the order is no such hold or no
    /// helper is available.
    ///
    /// A box that freezes right after it has placed a hold stalls the group until it resumes. If the leader places its
    /// own hold and its box freezes, no other process knows what it has ordered besides. If the helper's box freezes,
    /// the leader sees the hold at its own rank, knows that no rank was ordered to arm, and releases the group.
    pub(crate) fn send_delegation(&mut self, rank: usize, order: Order) -> bool {
        let hold = matches!(order.act, Act::Hold { .. }) && self.conductor.progress() == Progress::Holding;
        if !hold || rank != self.term.own {
            return false;
        }
        let engine = self.context.engine;
        let Some(helper) = self.helper() else { return false };
        let sent = self.members[helper]
            .orders
            .try_send(RankOrder::Delegation { order, engine });
        if sent.is_ok() {
            self.delegation = Some(Delegation {
                order,
                helper,
                sent: Instant::now(),
                answer: None,
                proof: Proof::Given,
            });
        }
        sent.is_ok()
    }

    /// The next rank after the leader's own whose agent has reported recently.
    fn helper(&self) -> Option<usize> {
        let size = self.members.len();
        let mut others = (1..size).map(|step| (self.term.own + step) % size);
        others.find(|rank| {
            let member = &self.members[*rank];
            let lately = member.load.is_some_and(|(_, at)| at.elapsed() < self.pace.helper_age());
            lately && member.failed_delegation.is_none_or(|at| at.elapsed() > HELPER_PAUSE)
        })
    }

    /// Handles the helper's answer to the hold, then its answer to the later liveness query. A box may freeze right
    /// after it has placed a hold, so no rank is armed before the helper has shown that it is still running.
    pub(crate) fn delegation_answered(&mut self, serial: u64, answer: Answer) {
        let Some(delegation) = self
            .delegation
            .as_mut()
            .filter(|delegation| delegation.order.serial == serial)
        else {
            return;
        };
        match (delegation.answer, delegation.proof) {
            (None, _) => {
                delegation.answer = Some(answer);
                delegation.sent = Instant::now();
                if answer == Answer::Done {
                    delegation.proof = Proof::Due(Instant::now() + PROOF_PAUSE);
                    return;
                }
            }
            (Some(_), Proof::Asked) => delegation.proof = Proof::Given,
            _ => return,
        }
        // Reads the state of the own rank now, to report it with the answer.
        let look = Order {
            act: Act::Look,
            ..delegation.order
        };
        self.send_own(self.term.own, look);
    }

    /// Sends the helper the liveness query when it is due.
    pub(crate) fn ask_for_proof(&mut self) {
        let Some(delegation) = &mut self.delegation else { return };
        let Proof::Due(at) = delegation.proof else { return };
        if Instant::now() < at {
            return;
        }
        delegation.proof = Proof::Asked;
        let order = Order {
            act: Act::Look,
            ..delegation.order
        };
        let engine = self.context.engine;
        // If the queue is full the helper counts as unresponsive.
        let _full = self.members[delegation.helper]
            .orders
            .try_send(RankOrder::Delegation { order, engine });
    }

    /// Drops the map switch if the helper is unresponsive: its box may be frozen, and then its rank cannot be armed.
    /// Nothing is armed yet; the hold is released as soon as the state of the own rank shows it.
    pub(crate) fn check_delegation(&mut self) {
        let silent = |delegation: &mut Delegation| {
            let waits = delegation.answer.is_none() || delegation.proof != Proof::Given;
            waits && delegation.sent.elapsed() > DELEGATION_LIMIT
        };
        let Some(delegation) = self.delegation.take_if(silent) else {
            return;
        };
        log::warn!(target: DECISION, decision = "delegation_lost", group = self.term.group.as_str(), helper = delegation.helper; "a helper did not answer; the map switch is dropped");
        self.members[delegation.helper].failed_delegation = Some(Instant::now());
        self.members[self.term.own].ordered = None;
        self.conductor.abandon();
        self.conductor.lost(self.term.own);
    }
}
