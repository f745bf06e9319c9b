//! The placer's side of a switch: from the ranks' latest reports to the next orders.

use super::{Act, Change, Order, Plan, Report};

/// Steps between the highest step reported and the step that ranks are armed for.
///
/// Large enough that orders reach all ranks before the step comes up, small enough to keep a switch short.
const LEAD_STEPS: u64 = 40;

/// How far a switch has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Not every rank has answered under this fence.
    Enlisting,
    /// Some rank has no plan yet.
    Joining,
    /// Weights are loading.
    Staging,
    /// Ranks are being armed.
    Arming,
    /// Ranks are being disarmed, to try again at a later step.
    Disarming,
    /// The change is decided; ranks are being released.
    Releasing,
    /// Every rank is released; the step has not come up everywhere.
    Switching,
    /// Every rank runs the goal.
    Done,
    /// A rank has seen a higher fence: another placer has taken over.
    Overtaken,
}

/// Drives the ranks of one group to one map under one fence.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Conductor {
    fence: u64,
    goal: u64,
    reports: Vec<Option<Report>>,
    /// The change that ranks are being armed for; a step is never tried twice.
    attempt: Option<Change>,
    /// Highest step that was ever tried under this fence.
    tried: u64,
    overtaken: bool,
}

impl Conductor {
    /// A conductor of `ranks` ranks towards map `goal`.
    pub fn new(fence: u64, ranks: usize, goal: u64) -> Self {
        Self {
            fence,
            goal,
            reports: vec![None; ranks],
            attempt: None,
            tried: 0,
            overtaken: false,
        }
    }

    /// Number of the map that the ranks are driven to.
    pub fn goal(&self) -> u64 {
        self.goal
    }

    /// Fence under which orders are given.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Takes in a rank's answer.
    pub fn reported(&mut self, rank: usize, report: Report) {
        if report.fence > self.fence {
            self.overtaken = true;
        }
        if report.fence == self.fence {
            self.reports[rank] = Some(report);
        }
    }

    /// Takes in that a rank did not answer or was replaced: what it said before counts no more.
    pub fn lost(&mut self, rank: usize) {
        self.reports[rank] = None;
    }

    /// Gives up the attempt to arm, for example because a rank stays unreachable.
    pub fn abandon_attempt(&mut self) {
        self.attempt = None;
    }

    /// How far the switch has come.
    pub fn progress(&self) -> Progress {
        if self.overtaken {
            return Progress::Overtaken;
        }
        let Some(reports) = self.complete() else {
            return Progress::Enlisting;
        };
        if let Some(change) = decided(&reports) {
            let armed = reports.iter().any(|report| report.armed == Some(change));
            return if armed {
                Progress::Releasing
            } else {
                Progress::Switching
            };
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

    /// The next order for each rank; ranks that have nothing to do are asked to report.
    pub fn orders(&mut self) -> Vec<Order> {
        let progress = self.progress();
        if progress == Progress::Arming && self.attempt.is_none() {
            self.choose_step();
        }
        let ranks = 0..self.reports.len();
        ranks.map(|rank| self.order(progress, self.reports[rank])).collect()
    }

    fn order(&self, progress: Progress, report: Option<Report>) -> Order {
        let act = report.map_or(Act::Enlist, |report| self.act(progress, &report));
        Order { fence: self.fence, act }
    }

    fn act(&self, progress: Progress, report: &Report) -> Act {
        let wanted = match progress {
            Progress::Releasing => report.armed.map(Act::Release),
            Progress::Disarming => report.armed.map(Act::Disarm),
            Progress::Switching | Progress::Joining => self.join_or_disarm(report),
            Progress::Staging => self.stage(report),
            Progress::Arming => self.arm(report),
            Progress::Enlisting | Progress::Done | Progress::Overtaken => None,
        };
        wanted.unwrap_or(Act::Enlist)
    }

    fn stage(&self, report: &Report) -> Option<Act> {
        (report.staged != Some(self.goal)).then_some(Act::Stage { number: self.goal })
    }

    fn arm(&self, report: &Report) -> Option<Act> {
        let attempt = self.attempt?;
        (report.armed != Some(attempt)).then_some(Act::Arm(attempt))
    }

    /// A new rank is given the plan of the others. While nothing is decided, armed ranks are disarmed first, so
    /// that the plan it is given is the one that the others will follow.
    fn join_or_disarm(&self, report: &Report) -> Option<Act> {
        let reports = self.complete()?;
        if decided(&reports).is_none() && reports.iter().any(|other| other.armed.is_some()) {
            return report.armed.map(Act::Disarm);
        }
        let plan = common_plan(&reports)?;
        report.plan.is_none().then_some(Act::Join(plan))
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

    /// Whether a rank is armed for something else than the present attempt, or cannot be armed for it any more.
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
        let at = highest.max(self.tried) + LEAD_STEPS;
        self.tried = at;
        self.attempt = Some(Change { number: self.goal, at });
    }

    /// Drops the attempt if a rank has reached its step unarmed: it would refuse to be armed.
    pub fn drop_missed_attempt(&mut self) {
        let Some(attempt) = self.attempt else { return };
        let missed = |report: &Report| report.armed != Some(attempt) && report.step >= attempt.at;
        let decided = self.complete().is_some_and(|reports| decided(&reports).is_some());
        if !decided && self.reports.iter().flatten().any(missed) {
            self.attempt = None;
        }
    }
}

/// The change that some rank was released for: from then on every rank must be.
fn decided(reports: &[Report]) -> Option<Change> {
    let pending = reports.iter().find_map(|report| report.plan.and_then(|plan| plan.next));
    if pending.is_some() {
        return pending;
    }
    // A rank that runs the map already has no change pending; another may still be armed for it.
    let armed = reports.iter().find_map(|report| report.armed)?;
    let runs = |report: &Report| report.plan.is_some_and(|plan| plan.number == armed.number);
    reports.iter().any(runs).then_some(armed)
}

/// The plan that a new rank has to follow to run every coming step like the others.
fn common_plan(reports: &[Report]) -> Option<Plan> {
    let plans = || reports.iter().filter_map(|report| report.plan);
    plans().find(|plan| plan.next.is_some()).or_else(|| plans().next())
}
