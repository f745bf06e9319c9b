//! The rank's side of a switch.

use serde::{Deserialize, Serialize};

use super::{Act, Change, Order, Plan, Report};

/// State of one rank. The engine asks it before each step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rank {
    incarnation: u64,
    fence: u64,
    step: u64,
    plan: Option<Plan>,
    staged: Option<u64>,
    armed: Option<Change>,
}

impl Rank {
    /// A rank of a group that has never run a step: it starts on the initial map, number 0.
    pub fn cold(incarnation: u64) -> Self {
        Self {
            plan: Some(Plan { number: 0, next: None }),
            ..Self::joining(incarnation)
        }
    }

    /// A rank that is new in a group that runs already: it begins no step before it is told the group's plan.
    pub fn joining(incarnation: u64) -> Self {
        Self {
            incarnation,
            fence: 0,
            step: 0,
            plan: None,
            staged: None,
            armed: None,
        }
    }

    /// Refuses orders below `fence` from now on.
    pub fn raise_fence(&mut self, fence: u64) {
        self.fence = self.fence.max(fence);
    }

    /// Carries out `order` if its fence holds and the state allows it. `loaded` tells whether the weights of the
    /// map that a [`Act::Stage`] names are in memory already.
    pub fn order(&mut self, order: &Order, loaded: bool) -> Report {
        if order.fence < self.fence {
            return self.report(false);
        }
        self.fence = order.fence;
        let done = match order.act {
            Act::Enlist => true,
            Act::Stage { number } => self.stage(number, loaded),
            Act::Arm(change) => self.arm(change),
            Act::Release(change) => self.release(change),
            Act::Disarm(change) => self.disarm(change),
            Act::Join { plan, incarnation } => incarnation == self.incarnation && self.join(plan),
        };
        self.report(done)
    }

    /// Asks to begin `step`: the number of the map to run it on, or none if the rank has to hold.
    pub fn begin(&mut self, step: u64) -> Option<u64> {
        let plan = self.plan?;
        if self.armed.is_some_and(|armed| step >= armed.at) {
            return None;
        }
        self.step = self.step.max(step);
        let number = plan.at(step);
        if number != plan.number {
            self.plan = Some(Plan { number, next: None });
            self.staged = None;
        }
        Some(number)
    }

    /// The map that [`Rank::begin`] would give for `step`, without beginning it.
    pub fn peek(&self, step: u64) -> Option<u64> {
        if self.armed.is_some_and(|armed| step >= armed.at) {
            return None;
        }
        self.plan.map(|plan| plan.at(step))
    }

    /// The state as reported.
    pub fn report(&self, done: bool) -> Report {
        Report {
            incarnation: self.incarnation,
            fence: self.fence,
            done,
            step: self.step,
            plan: self.plan,
            staged: self.staged,
            armed: self.armed,
        }
    }

    fn stage(&mut self, number: u64, loaded: bool) -> bool {
        let in_use = self
            .plan
            .is_some_and(|plan| plan.number == number || plan.next.is_some());
        if in_use || self.armed.is_some() {
            return false;
        }
        // While weights load, what was staged before is overwritten and must not be armed.
        self.staged = loaded.then_some(number);
        loaded
    }

    fn arm(&mut self, change: Change) -> bool {
        let Some(plan) = self.plan else { return false };
        let too_late = self.step >= change.at;
        let not_ready = self.staged != Some(change.number) || plan.next.is_some();
        // An order that was overtaken by a later one must not bring the older step back.
        let overtaken = self.armed.is_some_and(|armed| armed.at > change.at);
        if too_late || not_ready || overtaken {
            return false;
        }
        self.armed = Some(change);
        true
    }

    fn release(&mut self, change: Change) -> bool {
        let Some(plan) = self.plan else { return false };
        if self.armed == Some(change) {
            self.armed = None;
            self.plan = Some(Plan {
                next: Some(change),
                ..plan
            });
            return true;
        }
        plan.next == Some(change) || plan.number == change.number
    }

    fn disarm(&mut self, change: Change) -> bool {
        if self.armed == Some(change) {
            self.armed = None;
        }
        self.armed.is_none()
    }

    fn join(&mut self, plan: Plan) -> bool {
        if self.plan.is_none() {
            self.plan = Some(plan);
        }
        self.plan == Some(plan)
    }
}
