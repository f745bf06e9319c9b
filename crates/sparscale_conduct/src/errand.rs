//! Holds that another rank's agent places for the conductor.

use std::time::Duration;

use sparscale_place::barrier::{Act, Answer, Order, Progress};
use sparscale_telemetry::DECISION;
use sparscale_wire::RankOrder;
use tokio::time::Instant;

use crate::leader::Leader;
use crate::member::{Errand, Proof};

/// Time that a helper may take to place a hold: two hops between halls and a call, four times over.
const ERRAND_LIMIT: Duration = Duration::from_millis(50);
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
    pub(crate) fn send_errand(&mut self, rank: usize, order: Order) -> bool {
        let hold = matches!(order.act, Act::Hold { .. }) && self.conductor.progress() == Progress::Holding;
        if !hold || rank != self.charge.own {
            return false;
        }
        let engine = self.context.engine;
        let Some(helper) = self.helper() else { return false };
        let sent = self.members[helper]
            .orders
            .try_send(RankOrder::Errand { order, engine });
        if sent.is_ok() {
            self.errand = Some(Errand {
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
        let mut others = (1..size).map(|step| (self.charge.own + step) % size);
        others.find(|rank| {
            let member = &self.members[*rank];
            let lately = member.load.is_some_and(|(_, at)| at.elapsed() < self.pace.helper_age());
            lately && member.failed_errand.is_none_or(|at| at.elapsed() > HELPER_PAUSE)
        })
    }

    /// The other agent's word on the hold, then its word that it has gone on since. A box may stand still right after
    /// it has placed a hold; no rank is armed before it is known that this one does not.
    pub(crate) fn errand_answered(&mut self, serial: u64, answer: Answer) {
        let Some(errand) = self.errand.as_mut().filter(|errand| errand.order.serial == serial) else {
            return;
        };
        match (errand.answer, errand.proof) {
            (None, _) => {
                errand.answer = Some(answer);
                errand.sent = Instant::now();
                if answer == Answer::Done {
                    errand.proof = Proof::Due(Instant::now() + PROOF_PAUSE);
                    return;
                }
            }
            (Some(_), Proof::Asked) => errand.proof = Proof::Given,
            _ => return,
        }
        // The state of the own rank is read now to go with the answer.
        let look = Order {
            act: Act::Look,
            ..errand.order
        };
        self.send_own(self.charge.own, look);
    }

    /// Asks the helper for the proof when it is due.
    pub(crate) fn ask_for_proof(&mut self) {
        let Some(errand) = &mut self.errand else { return };
        let Proof::Due(at) = errand.proof else { return };
        if Instant::now() < at {
            return;
        }
        errand.proof = Proof::Asked;
        let order = Order {
            act: Act::Look,
            ..errand.order
        };
        let engine = self.context.engine;
        // A full queue shows as a helper that does not answer.
        let _full = self.members[errand.helper]
            .orders
            .try_send(RankOrder::Errand { order, engine });
    }

    /// A helper that does not answer may stand still, and its rank cannot be armed. Nothing was armed yet: the change
    /// is dropped, and the hold goes as soon as the own rank shows it.
    pub(crate) fn check_errand(&mut self) {
        let silent = |errand: &mut Errand| {
            let waits = errand.answer.is_none() || errand.proof != Proof::Given;
            waits && errand.sent.elapsed() > ERRAND_LIMIT
        };
        let Some(errand) = self.errand.take_if(silent) else {
            return;
        };
        log::warn!(target: DECISION, decision = "errand_lost", group = self.charge.group.as_str(), helper = errand.helper; "a helper did not answer; the map switch is dropped");
        self.members[errand.helper].failed_errand = Some(Instant::now());
        self.members[self.charge.own].ordered = None;
        self.conductor.abandon();
        self.conductor.lost(self.charge.own);
    }
}
