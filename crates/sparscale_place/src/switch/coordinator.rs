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
pub struct Coordinator {
    fence: u64,
    goal_map: u64,
    reports: Vec<Option<Report>>,
    /// The change that ranks are being armed for. No step is attempted twice.
    attempt: Option<Change>,
    /// Highest step of all attempts under this fence.
    highest_attempted_step: u64,
    /// The change that some rank was ordered to run: it is never undone, whatever late reports show.
    released_change: Option<Change>,
    /// Plans that ranks were ordered to join with under this fence.
    ordered_plans: Vec<Plan>,
    lead_steps: u64,
    overtaken: bool,
}

impl Coordinator {
    /// A coordinator that drives `ranks` ranks to map `goal_map`.
    pub fn new(fence: u64, ranks: usize, goal_map: u64) -> Self {
        Self::with_lead_steps(fence, ranks, goal_map, LEAD_STEPS)
    }

    /// Like `new`, with `lead_steps` instead of the default lead.
    pub fn with_lead_steps(fence: u64, ranks: usize, goal_map: u64, lead_steps: u64) -> Self {
        Self {
            fence,
            goal_map,
            reports: vec![None; ranks],
            attempt: None,
            highest_attempted_step: 0,
            released_change: None,
            ordered_plans: Vec::new(),
            lead_steps,
            overtaken: false,
        }
    }

    /// Records a rank's report; reports under a lower fence are ignored.
    pub fn record_report(&mut self, rank: usize, report: Report) {
        if report.fence > self.fence {
            self.overtaken = true;
        }
        if report.fence == self.fence {
            self.reports[rank] = Some(report);
        }
    }

    /// Discards the report of a rank that did not answer or was replaced.
    pub fn discard_report(&mut self, rank: usize) {
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
        let Some(reports) = self.all_reports() else {
            return Progress::Enlisting;
        };
        if reports.iter().all(|report| report.plan.is_none()) && self.ordered_plans.len() > 1 {
            return Progress::Stuck;
        }
        if let Some(change) = self.decided_change(&reports) {
            return decided_progress(&reports, change);
        }
        if reports.iter().any(|report| report.plan.is_none()) {
            return Progress::Joining;
        }
        if reports.iter().all(|report| self.runs_goal_map(report)) {
            return Progress::Done;
        }
        if self.all_armed(&reports) {
            return Progress::Releasing;
        }
        if reports.iter().any(|report| self.is_armed_for_other(report)) {
            return Progress::Disarming;
        }
        if reports.iter().all(|report| report.staged == Some(self.goal_map)) {
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
        let orders: Vec<Order> = ranks
            .map(|rank| self.next_order(progress, self.reports[rank]))
            .collect();
        for order in &orders {
            self.record_order(order.act);
        }
        orders
    }

    fn record_order(&mut self, act: Act) {
        match act {
            Act::Release(change) => self.released_change = Some(change),
            // A rank may carry out an order to disarm late, so this step must never be released.
            Act::Disarm(change) if self.attempt == Some(change) => self.attempt = None,
            Act::Join { plan, .. } if !self.ordered_plans.contains(&plan) => self.ordered_plans.push(plan),
            _ => {}
        }
    }

    fn next_order(&self, progress: Progress, report: Option<Report>) -> Order {
        let act = report.map_or(Act::Enlist, |report| self.next_act(progress, &report));
        Order { fence: self.fence, act }
    }

    fn next_act(&self, progress: Progress, report: &Report) -> Act {
        let act = match progress {
            Progress::Releasing => self.release_act(report),
            Progress::Disarming => report
                .armed
                .filter(|armed| self.attempt != Some(*armed))
                .map(Act::Disarm),
            Progress::Switching | Progress::Joining => self.join_or_disarm(report),
            Progress::Staging => self.stage_act(report),
            Progress::Arming => self.arm_act(report),
            Progress::Enlisting => self.disarm_abandoned(report),
            Progress::Done | Progress::Overtaken | Progress::Stuck => None,
        };
        act.unwrap_or(Act::Enlist)
    }

    /// Disarms ranks of an abandoned attempt, so that they do not stay held while another rank is unreachable.
    ///
    /// This coordinator begins an attempt only after all ranks have answered under its fence and none was released. So
    /// if it has released no rank, none is released, and cancelling its own attempts is safe.
    fn disarm_abandoned(&self, report: &Report) -> Option<Act> {
        let armed = report.armed?;
        let is_own = armed.at <= self.highest_attempted_step && armed.number == self.goal_map;
        let is_abandoned = self.attempt != Some(armed) && self.released_change.is_none();
        (is_own && is_abandoned).then_some(Act::Disarm(armed))
    }

    fn release_act(&self, report: &Report) -> Option<Act> {
        let reports = self.all_reports()?;
        let change = self.decided_change(&reports).or(self.attempt)?;
        (report.armed == Some(change)).then_some(Act::Release(change))
    }

    fn stage_act(&self, report: &Report) -> Option<Act> {
        (report.staged != Some(self.goal_map)).then_some(Act::Stage { number: self.goal_map })
    }

    fn arm_act(&self, report: &Report) -> Option<Act> {
        let attempt = self.attempt?;
        (report.armed != Some(attempt)).then_some(Act::Arm(attempt))
    }

    /// Gives a new rank the plan of the others. While no change is decided, armed ranks are disarmed first, so that the
    /// others follow the plan that the new rank is given.
    fn join_or_disarm(&self, report: &Report) -> Option<Act> {
        let reports = self.all_reports()?;
        let is_undecided = self.decided_change(&reports).is_none();
        if is_undecided && reports.iter().any(|other| other.armed.is_some()) {
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
        let pending_plan = plans().find(|plan| plan.next.is_some());
        let common_plan = pending_plan
            .or_else(|| plans().next())
            .or_else(|| self.ordered_plans.first().copied());
        common_plan.unwrap_or(Plan {
            number: self.goal_map,
            next: None,
        })
    }

    /// The change that some rank was released for; every rank must then be released for it.
    fn decided_change(&self, reports: &[Report]) -> Option<Change> {
        // Until every rank runs an ordered change, that change stays decided, whatever a late report shows.
        let has_completed = |report: &Report, change: Change| {
            report
                .plan
                .is_some_and(|plan| plan.number == change.number && plan.next.is_none())
        };
        let ordered_change = self
            .released_change
            .filter(|change| !reports.iter().all(|report| has_completed(report, *change)));
        ordered_change.or_else(|| released_change_in(reports))
    }

    fn all_reports(&self) -> Option<Vec<Report>> {
        self.reports.iter().copied().collect()
    }

    fn runs_goal_map(&self, report: &Report) -> bool {
        report.plan
            == Some(Plan {
                number: self.goal_map,
                next: None,
            })
    }

    fn all_armed(&self, reports: &[Report]) -> bool {
        let is_armed = |report: &Report| self.attempt.is_some() && report.armed == self.attempt;
        reports.iter().all(is_armed)
    }

    /// Whether a rank is armed for a change other than the current attempt.
    fn is_armed_for_other(&self, report: &Report) -> bool {
        match (report.armed, self.attempt) {
            (Some(armed), Some(attempt)) => armed != attempt,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    fn choose_step(&mut self) {
        let Some(reports) = self.all_reports() else { return };
        let highest = reports.iter().map(|report| report.step).max().unwrap_or(0);
        let at = highest.max(self.highest_attempted_step) + self.lead_steps;
        self.highest_attempted_step = at;
        self.attempt = Some(Change {
            number: self.goal_map,
            at,
        });
    }

    /// Abandons the attempt if a rank has reached its step unarmed: that rank would refuse to be armed.
    pub fn abandon_missed_attempt(&mut self) {
        let Some(attempt) = self.attempt else { return };
        let missed_step = |report: &Report| report.armed != Some(attempt) && report.step >= attempt.at;
        let is_decided = self
            .all_reports()
            .is_some_and(|reports| self.decided_change(&reports).is_some());
        if !is_decided && self.reports.iter().flatten().any(missed_step) {
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
fn released_change_in(reports: &[Report]) -> Option<Change> {
    let pending_change = reports.iter().find_map(|report| report.plan.and_then(|plan| plan.next));
    if pending_change.is_some() {
        return pending_change;
    }
    // A rank that already runs the map has no pending change, while another may still be armed for it.
    let armed = reports.iter().find_map(|report| report.armed)?;
    let runs_map = |report: &Report| report.plan.is_some_and(|plan| plan.number == armed.number);
    reports.iter().any(runs_map).then_some(armed)
}
