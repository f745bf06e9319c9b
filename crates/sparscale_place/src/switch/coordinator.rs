//! The placer side of a map switch: turns the ranks' latest reports into the next orders.

use super::{Act, Change, Order, Plan, Report};

/// Steps between the highest reported step and the step that ranks are armed for.
///
/// Large enough that orders reach all ranks before the step begins, small enough to keep a switch short.
const LEAD_STEPS: u64 = 40;

/// Phase of a switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Not every rank has answered under this fence.
    Enlisting,
    /// Some rank has no plan yet.
    Joining,
    /// Ranks are loading weights.
    Staging,
    /// Ranks are being armed.
    Arming,
    /// Ranks are being disarmed before an attempt at a later step.
    Disarming,
    /// The change is decided; ranks are being released.
    Releasing,
    /// Every rank is released; some have not begun the step of the change.
    Switching,
    /// Every rank runs the goal map.
    Done,
    /// A rank has seen a higher fence: another placer has taken over.
    Overtaken,
    /// No rank has a plan, and orders to join with different plans may still arrive under this fence: only a higher
    /// fence helps.
    Stuck,
}

/// Drives all ranks of one group to one map under one fence.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Conductor {
    fence: u64,
    goal: u64,
    reports: Vec<Option<Report>>,
    /// The change that ranks are being armed for. No step is attempted twice.
    attempt: Option<Change>,
    /// Highest step of all attempts under this fence.
    tried: u64,
    /// The change that some rank was ordered to run: it is never undone, whatever late reports show.
    released: Option<Change>,
    /// Plans that ranks were ordered to join with under this fence.
    joined: Vec<Plan>,
    lead: u64,
    overtaken: bool,
}

impl Conductor {
    /// A coordinator that drives `ranks` ranks to map `goal`.
    pub fn new(fence: u64, ranks: usize, goal: u64) -> Self {
        Self::with_lead(fence, ranks, goal, LEAD_STEPS)
    }

    /// Like `new`, with another lead.
    pub fn with_lead(fence: u64, ranks: usize, goal: u64, lead: u64) -> Self {
        Self {
            fence,
            goal,
            reports: vec![None; ranks],
            attempt: None,
            tried: 0,
            released: None,
            joined: Vec::new(),
            lead,
            overtaken: false,
        }
    }

    /// Records a rank's report; reports under a lower fence are ignored.
    pub fn reported(&mut self, rank: usize, report: Report) {
        if report.fence > self.fence {
            self.overtaken = true;
        }
        if report.fence == self.fence {
            self.reports[rank] = Some(report);
        }
    }

    /// Discards the report of a rank that did not answer or was replaced.
    pub fn lost(&mut self, rank: usize) {
        self.reports[rank] = None;
    }

    /// Abandons the attempt to arm, for example because a rank stays unreachable.
    pub fn abandon_attempt(&mut self) {
        self.attempt = None;
    }

    /// Phase of the switch.
    pub fn progress(&self) -> Progress {
        if self.overtaken {
            return Progress::Overtaken;
        }
        let Some(reports) = self.complete() else {
            return Progress::Enlisting;
        };
        if reports.iter().all(|report| report.plan.is_none()) && self.joined.len() > 1 {
            return Progress::Stuck;
        }
        if let Some(change) = self.decided(&reports) {
            return decided_progress(&reports, change);
        }
        if reports.iter().any(|report| report.plan.is_none()) {
            return Progress::Joining;
        }
        if reports.iter().all(|report| self.runs_goal(report)) {
            return Progress::Done;
        }
        if self.all_armed(&reports) {
            return Progress::Releasing;
        }
        if reports.iter().any(|report| self.is_stray(report)) {
            return Progress::Disarming;
        }
        if reports.iter().all(|report| report.staged == Some(self.goal)) {
            return Progress::Arming;
        }
        Progress::Staging
    }

    /// The next order for each rank; a rank with nothing to do is asked for its state.
    pub fn orders(&mut self) -> Vec<Order> {
        let progress = self.progress();
        if progress == Progress::Arming && self.attempt.is_none() {
            self.choose_step();
        }
        let ranks = 0..self.reports.len();
        let orders: Vec<Order> = ranks.map(|rank| self.order(progress, self.reports[rank])).collect();
        for order in &orders {
            self.remember(order.act);
        }
        orders
    }

    fn remember(&mut self, act: Act) {
        match act {
            Act::Release(change) => self.released = Some(change),
            // A rank may carry out an order to disarm late, so this step must never be released.
            Act::Disarm(change) if self.attempt == Some(change) => self.attempt = None,
            Act::Join { plan, .. } if !self.joined.contains(&plan) => self.joined.push(plan),
            _ => {}
        }
    }

    fn order(&self, progress: Progress, report: Option<Report>) -> Order {
        let act = report.map_or(Act::Enlist, |report| self.act(progress, &report));
        Order { fence: self.fence, act }
    }

    fn act(&self, progress: Progress, report: &Report) -> Act {
        let wanted = match progress {
            Progress::Releasing => self.release(report),
            Progress::Disarming => report
                .armed
                .filter(|armed| self.attempt != Some(*armed))
                .map(Act::Disarm),
            Progress::Switching | Progress::Joining => self.join_or_disarm(report),
            Progress::Staging => self.stage(report),
            Progress::Arming => self.arm(report),
            Progress::Enlisting => self.disarm_abandoned(report),
            Progress::Done | Progress::Overtaken | Progress::Stuck => None,
        };
        wanted.unwrap_or(Act::Enlist)
    }

    /// Disarms ranks of an abandoned attempt, so that they do not stay held while another rank is unreachable.
    ///
    /// This coordinator begins an attempt only after all ranks have answered under its fence and none was released. So
    /// if it has released no rank, none is released, and cancelling its own attempts is safe.
    fn disarm_abandoned(&self, report: &Report) -> Option<Act> {
        let armed = report.armed?;
        let own = armed.at <= self.tried && armed.number == self.goal;
        let given_up = self.attempt != Some(armed) && self.released.is_none();
        (own && given_up).then_some(Act::Disarm(armed))
    }

    fn release(&self, report: &Report) -> Option<Act> {
        let reports = self.complete()?;
        let change = self.decided(&reports).or(self.attempt)?;
        (report.armed == Some(change)).then_some(Act::Release(change))
    }

    fn stage(&self, report: &Report) -> Option<Act> {
        (report.staged != Some(self.goal)).then_some(Act::Stage { number: self.goal })
    }

    fn arm(&self, report: &Report) -> Option<Act> {
        let attempt = self.attempt?;
        (report.armed != Some(attempt)).then_some(Act::Arm(attempt))
    }

    /// Gives a new rank the plan of the others. While no change is decided, armed ranks are disarmed first, so that the
    /// others follow the plan that the new rank is given.
    fn join_or_disarm(&self, report: &Report) -> Option<Act> {
        let reports = self.complete()?;
        let undecided = self.decided(&reports).is_none();
        if undecided && reports.iter().any(|other| other.armed.is_some()) {
            return report.armed.map(Act::Disarm);
        }
        let plan = self.common_plan(&reports);
        let incarnation = report.incarnation;
        report.plan.is_none().then_some(Act::Join { plan, incarnation })
    }

    /// The plan under which a new rank runs every coming step on the same map as the others.
    ///
    /// If every rank is new, any plan will do, but an earlier order to join may still arrive, so its plan is used.
    fn common_plan(&self, reports: &[Report]) -> Plan {
        let plans = || reports.iter().filter_map(|report| report.plan);
        let pending = plans().find(|plan| plan.next.is_some());
        let common = pending
            .or_else(|| plans().next())
            .or_else(|| self.joined.first().copied());
        common.unwrap_or(Plan {
            number: self.goal,
            next: None,
        })
    }

    /// The change that some rank was released for; every rank must then be released for it.
    fn decided(&self, reports: &[Report]) -> Option<Change> {
        // Until every rank runs an ordered change, that change stays decided, whatever a late report shows.
        let arrived = |report: &Report, change: Change| {
            report
                .plan
                .is_some_and(|plan| plan.number == change.number && plan.next.is_none())
        };
        let ordered = self
            .released
            .filter(|change| !reports.iter().all(|report| arrived(report, *change)));
        ordered.or_else(|| decided_by(reports))
    }

    fn complete(&self) -> Option<Vec<Report>> {
        self.reports.iter().copied().collect()
    }

    fn runs_goal(&self, report: &Report) -> bool {
        report.plan
            == Some(Plan {
                number: self.goal,
                next: None,
            })
    }

    fn all_armed(&self, reports: &[Report]) -> bool {
        let armed = |report: &Report| self.attempt.is_some() && report.armed == self.attempt;
        reports.iter().all(armed)
    }

    /// Whether a rank is armed for a change other than the current attempt.
    fn is_stray(&self, report: &Report) -> bool {
        match (report.armed, self.attempt) {
            (Some(armed), Some(attempt)) => armed != attempt,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    fn choose_step(&mut self) {
        let Some(reports) = self.complete() else { return };
        let highest = reports.iter().map(|report| report.step).max().unwrap_or(0);
        let at = highest.max(self.tried) + self.lead;
        self.tried = at;
        self.attempt = Some(Change { number: self.goal, at });
    }

    /// Abandons the attempt if a rank has reached its step unarmed: that rank would refuse to be armed.
    pub fn drop_missed_attempt(&mut self) {
        let Some(attempt) = self.attempt else { return };
        let missed = |report: &Report| report.armed != Some(attempt) && report.step >= attempt.at;
        let decided = self.complete().is_some_and(|reports| self.decided(&reports).is_some());
        if !decided && self.reports.iter().flatten().any(missed) {
            self.attempt = None;
        }
    }
}

fn decided_progress(reports: &[Report], change: Change) -> Progress {
    if reports.iter().any(|report| report.armed == Some(change)) {
        return Progress::Releasing;
    }
    if reports.iter().any(|report| report.plan.is_none()) {
        return Progress::Joining;
    }
    Progress::Switching
}

/// The change that the reports show as released.
fn decided_by(reports: &[Report]) -> Option<Change> {
    let pending = reports.iter().find_map(|report| report.plan.and_then(|plan| plan.next));
    if pending.is_some() {
        return pending;
    }
    // A rank that already runs the map has no pending change, while another may still be armed for it.
    let armed = reports.iter().find_map(|report| report.armed)?;
    let runs = |report: &Report| report.plan.is_some_and(|plan| plan.number == armed.number);
    reports.iter().any(runs).then_some(armed)
}
