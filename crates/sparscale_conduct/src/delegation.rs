//! Holds that another rank's agent places for the conductor.

use std::time::Duration;

use sparscale_place::barrier::{Act, Answer, Order, Progress};
use sparscale_telemetry::DECISION;
use sparscale_wire::RankOrder;
use tokio::time::Instant;

use crate::leader::Leader;
use crate::member::{Delegation, Proof};

/// Time that a helper may take to place a hold: two hops between halls and a call, four times over.
const DELEGATION_LIMIT: Duration = Duration::from_millis(50);
/// Time after a hold at which the helper has to show that it goes on.
const PROOF_PAUSE: Duration = Duration::from_millis(6);
/// Time for which an agent that failed as a helper is passed over.
const HELPER_PAUSE: Duration = Duration::from_secs(5);

impl Leader {
    /// Lets another agent place the hold at this conductor's own rank; false if the order is no hold or nobody can.
    ///
    /// A box that stands still right after it has placed a hold leaves the group standing until it wakes: if it is the
    /// conductor's, nobody knows what it has ordered besides. If it is another one, the conductor sees the hold at its
    /// own rank, knows that no rank was told to arm, and lets the group go.
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

    /// The next rank after the conductor's own whose agent was heard a moment ago.
    fn helper(&self) -> Option<usize> {
        let size = self.members.len();
        let mut others = (1..size).map(|step| (self.term.own + step) % size);
        others.find(|rank| {
            let member = &self.members[*rank];
            let lately = member.load.is_some_and(|(_, at)| at.elapsed() < self.pace.helper_age());
            lately && member.failed_delegation.is_none_or(|at| at.elapsed() > HELPER_PAUSE)
        })
    }

    /// The other agent's word on the hold, then its word that it has gone on since. A box may stand still right after
    /// it has placed a hold; no rank is armed before it is known that this one does not.
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
        // The state of the own rank is read now to go with the answer.
        let look = Order {
            act: Act::Look,
            ..delegation.order
        };
        self.send_own(self.term.own, look);
    }

    /// Asks the helper for the proof when it is due.
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
        // A full queue shows as a helper that does not answer.
        let _full = self.members[delegation.helper]
            .orders
            .try_send(RankOrder::Delegation { order, engine });
    }

    /// A helper that does not answer may stand still, and its rank cannot be armed. Nothing was armed yet: the change
    /// is dropped, and the hold goes as soon as the own rank shows it.
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
