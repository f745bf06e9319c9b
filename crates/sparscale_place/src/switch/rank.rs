//! The rank side of a map switch.

use serde::{Deserialize, Serialize};

use super::{Act, Change, Order, Plan, Report};

/// Switch state of one rank. The engine asks it before each step which map to use.
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
    pub fn cold_start(incarnation: u64) -> Self {
        Self {
            plan: Some(Plan { number: 0, next: None }),
            ..Self::joining(incarnation)
        }
    }

    /// A rank that joins a running group: it begins no step before it receives the group's plan.
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

    /// Carries out `order` if its fence is high enough and the state allows it. `loaded` says whether the weights of
    /// the map in an [`Act::Stage`] are already in memory.
    pub fn handle_order(&mut self, order: &Order, loaded: bool) -> Report {
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

    /// Begins `step` and returns the number of the map to run it on, or none if the rank has to wait.
    pub fn begin_step(&mut self, step: u64) -> Option<u64> {
        let plan = self.plan?;
        if self.armed.is_some_and(|armed| step >= armed.at) {
            return None;
        }
        self.step = self.step.max(step);
        let number = plan.map_at(step);
        if number != plan.number {
            self.plan = Some(Plan { number, next: None });
            self.staged = None;
        }
        Some(number)
    }

    /// The number of the map that `step` would run on, without beginning the step.
    pub fn peek_map(&self, step: u64) -> Option<u64> {
        if self.armed.is_some_and(|armed| step >= armed.at) {
            return None;
        }
        self.plan.map(|plan| plan.map_at(step))
    }

    /// The state as a report; `done` says whether the order was carried out.
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
        // Loading overwrites the map that was staged before, so that map must not be armed any more.
        self.staged = loaded.then_some(number);
        loaded
    }

    fn arm(&mut self, change: Change) -> bool {
        let Some(plan) = self.plan else { return false };
        let too_late = self.step >= change.at;
        let not_ready = self.staged != Some(change.number) || plan.next.is_some();
        // A delayed order to arm for an earlier step must not replace a later one.
        let is_outdated = self.armed.is_some_and(|armed| armed.at > change.at);
        if too_late || not_ready || is_outdated {
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
