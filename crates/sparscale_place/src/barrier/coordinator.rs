//! The coordinator side of the barrier protocol: a state machine without clock or socket that turns the ranks' reports
//! into orders.

use super::{Act, Answer, Change, Order, Report, View};

/// Phase of the change under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Not every rank's state has been read yet, or the group is not open.
    Surveying,
    /// Guard holds are being placed before changes of a previous coordinator are undone.
    Recovering,
    /// No change is under way.
    Idle,
    /// Ranks are loading the next map.
    Staging,
    /// A hold is being placed before the step of the change.
    Holding,
    /// Ranks are being armed for the change.
    Arming,
    /// All ranks are armed; the hold is being released.
    Releasing,
    /// The hold is released; some ranks do not use the new map yet.
    Settling,
    /// A change is being undone: ranks are disarmed and holds are released.
    Undoing,
    /// A rank has seen a higher fence: another coordinator has taken over.
    Overtaken,
}

/// A hold that this coordinator places so that no other coordinator can let the group begin `step`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Guard {
    rank: usize,
    step: u64,
    is_placed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Every rank's state has to be read once.
    Survey {
        observed: Vec<bool>,
    },
    /// Guard holds are being placed; then every rank is disarmed and all holds are released.
    Guard {
        guards: Vec<Guard>,
    },
    /// Every rank has to be disarmed under the current fence.
    DisarmAll {
        disarmed: Vec<bool>,
    },
    /// All holds are being released.
    ReleaseAll,
    /// A hold that may have been placed is being released; no rank was armed for it.
    ReleaseStray {
        observed: bool,
    },
    Idle,
    /// Ranks that have not acknowledged the order to load the map are sent it.
    Stage {
        number: u64,
        acknowledged: Vec<bool>,
    },
    Hold {
        number: u64,
        step: u64,
    },
    Arm {
        change: Change,
    },
    Release {
        change: Change,
    },
    Settle {
        change: Change,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Member {
    view: Option<View>,
    /// Order that was sent to the rank and is not answered yet.
    pending: Option<Order>,
}

/// Moves all ranks of one group from one expert map to the next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    /// Rank beside the coordinator; it places the hold of a change.
    own_rank: usize,
    /// Steps between the highest step seen and the step to hold.
    lead_steps: u64,
    epoch: u64,
    fence: u64,
    serial: u64,
    members: Vec<Member>,
    phase: Phase,
    /// Steps of abandoned holds of this coordinator that may still be placed late.
    unconfirmed_holds: Vec<u64>,
    /// Whether the last change was undone, or lost when the group re-formed.
    change_failed: bool,
    overtaken: bool,
    /// Number of surveys begun.
    survey_count: u64,
    /// Whether a rank is unresponsive; a hold placed now might last until it responds.
    has_unresponsive_rank: bool,
}

impl Coordinator {
    /// A coordinator for `ranks` ranks that runs beside rank `own_rank`. `fence` is its first fence: it must exceed the
    /// fences of all earlier coordinators, and the first fence of each later one must leave room for two fences per
    /// change.
    pub fn new(ranks: usize, own_rank: usize, fence: u64) -> Self {
        Self {
            own_rank,
            lead_steps: 1,
            epoch: 0,
            fence,
            serial: 0,
            members: vec![Member::default(); ranks],
            phase: Phase::Survey {
                observed: vec![false; ranks],
            },
            unconfirmed_holds: Vec::new(),
            change_failed: false,
            overtaken: false,
            survey_count: 1,
            has_unresponsive_rank: false,
        }
    }

    /// Phase of the change under way.
    pub fn progress(&self) -> Progress {
        if self.overtaken {
            return Progress::Overtaken;
        }
        match &self.phase {
            Phase::Survey { .. } => Progress::Surveying,
            Phase::Guard { .. } => Progress::Recovering,
            Phase::DisarmAll { .. } | Phase::ReleaseAll | Phase::ReleaseStray { .. } => Progress::Undoing,
            Phase::Idle => Progress::Idle,
            Phase::Stage { .. } => Progress::Staging,
            Phase::Hold { .. } => Progress::Holding,
            Phase::Arm { .. } => Progress::Arming,
            Phase::Release { .. } => Progress::Releasing,
            Phase::Settle { .. } => Progress::Settling,
        }
    }

    /// Current epoch of the group.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Highest fence used so far.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Step of the change under way, once it is chosen.
    pub fn step(&self) -> Option<u64> {
        match &self.phase {
            Phase::Hold { step, .. } => Some(*step),
            Phase::Arm { change } | Phase::Release { change } | Phase::Settle { change } => Some(change.at),
            _ => None,
        }
    }

    /// Number of surveys begun; many in a row mean that the ranks' states do not agree.
    pub fn survey_count(&self) -> u64 {
        self.survey_count
    }

    /// Ranks that the current phase still waits for.
    pub fn awaited_ranks(&self) -> Vec<usize> {
        let ranks_not_done =
            |done: &dyn Fn(usize) -> bool| (0..self.members.len()).filter(|rank| !done(*rank)).collect();
        let ranks_without =
            |test: &dyn Fn(&View) -> bool| ranks_not_done(&|rank| self.view(rank).as_ref().is_some_and(test));
        match &self.phase {
            Phase::Survey { observed } => ranks_not_done(&|rank| observed[rank]),
            Phase::DisarmAll { disarmed } => ranks_not_done(&|rank| disarmed[rank]),
            Phase::Guard { guards } => guards
                .iter()
                .filter(|guard| !guard.is_placed)
                .map(|guard| guard.rank)
                .collect(),
            Phase::ReleaseAll => ranks_without(&|view| view.held.is_none()),
            Phase::Stage { number, .. } => ranks_without(&|view| view.staged == Some(*number)),
            Phase::Arm { change } => ranks_without(&|view| view.armed == Some(*change)),
            Phase::Settle { change } => ranks_without(&|view| view.map == change.number),
            Phase::ReleaseStray { .. } | Phase::Hold { .. } | Phase::Release { .. } => vec![self.own_rank],
            Phase::Idle => Vec::new(),
        }
    }

    /// Action of the unanswered order to a rank, if there is one.
    pub fn pending_act(&self, rank: usize) -> Option<Act> {
        let pending = self.members.get(rank)?.pending;
        pending.map(|order| order.act)
    }

    /// Last reported state of a rank.
    pub fn view(&self, rank: usize) -> Option<View> {
        self.members.get(rank).and_then(|member| member.view)
    }

    /// Whether the last change was undone, or lost when the group re-formed; reading clears the flag.
    pub fn take_failure(&mut self) -> bool {
        std::mem::take(&mut self.change_failed)
    }

    /// Number of the map that all ranks use, if no change is under way.
    pub fn settled_map(&self) -> Option<u64> {
        let first = self.members.first()?.view?.map;
        let same = |member: &Member| member.view.is_some_and(|view| view.map == first);
        (self.phase == Phase::Idle && self.members.iter().all(same)).then_some(first)
    }

    /// Sets the number of steps (at least 1) between the highest step seen and the step to hold.
    pub fn set_lead_steps(&mut self, lead_steps: u64) {
        self.lead_steps = lead_steps.max(1);
    }

    /// Records whether a rank is unresponsive. No hold is begun while one is: a rank that is armed, or may be, and does
    /// not respond keeps the whole group held until it does.
    pub fn set_unresponsive(&mut self, unresponsive: bool) {
        if self.has_unresponsive_rank != unresponsive {
            self.has_unresponsive_rank = unresponsive;
            self.advance();
        }
    }

    /// Starts a change to map `number`, which no rank has staged before in this epoch. Returns false if a change is
    /// under way or a rank holds the group.
    pub fn begin_change(&mut self, number: u64) -> bool {
        if self.phase != Phase::Idle || self.overtaken || self.any_view(|view| view.held.is_some()) {
            return false;
        }
        self.fence += 1;
        let acknowledged = vec![false; self.members.len()];
        self.phase = Phase::Stage { number, acknowledged };
        true
    }

    /// Abandons the change under way, unless it can no longer be undone.
    pub fn abandon_change(&mut self) {
        match &self.phase {
            Phase::Stage { .. } => self.fail_change(Phase::Idle),
            Phase::Hold { step, .. } => {
                // No rank has been ordered to arm yet, so only the hold has to be undone, even if it is placed late.
                self.unconfirmed_holds.push(*step);
                self.fail_change(Phase::ReleaseStray { observed: false });
            }
            Phase::Arm { .. } => self.undo_change(),
            _ => {}
        }
    }

    /// Orders to send now. Each rank has at most one unanswered order.
    pub fn orders(&mut self) -> Vec<(usize, Order)> {
        let mut orders = Vec::new();
        if self.overtaken {
            return orders;
        }
        for rank in 0..self.members.len() {
            if self.members[rank].pending.is_some() {
                continue;
            }
            let Some(act) = self.next_act(rank) else { continue };
            self.serial += 1;
            let order = Order {
                serial: self.serial,
                fence: self.fence,
                epoch: self.epoch,
                act,
            };
            self.members[rank].pending = Some(order);
            orders.push((rank, order));
        }
        orders
    }

    /// An order that queries the state of `rank`, for a rank whose state is not reported without a query. None while
    /// another order to the rank is unanswered.
    pub fn query_rank(&mut self, rank: usize) -> Option<Order> {
        let member = self.members.get_mut(rank).filter(|member| member.pending.is_none())?;
        self.serial += 1;
        let order = Order {
            serial: self.serial,
            fence: self.fence,
            epoch: self.epoch,
            act: Act::Look,
        };
        member.pending = Some(order);
        (!self.overtaken).then_some(order)
    }

    /// Records the report of a rank's agent and advances the change.
    pub fn record_report(&mut self, rank: usize, report: Report) {
        let Some(member) = self.members.get_mut(rank) else {
            return;
        };
        if let Some(view) = report.view {
            member.view = Some(view);
        }
        let pending = member.pending.filter(|order| order.serial == report.serial);
        if let (Some(order), Some(answer)) = (pending, report.answer) {
            member.pending = None;
            self.handle_answer(rank, order, answer, report.view);
        }
        self.advance();
    }

    /// Records that the unanswered order to a rank, if there is one, will not be answered.
    pub fn record_no_answer(&mut self, rank: usize) {
        let Some(order) = self.members.get_mut(rank).and_then(|member| member.pending.take()) else {
            return;
        };
        self.handle_answer(rank, order, Answer::Silent, None);
        self.advance();
    }

    fn next_act(&self, rank: usize) -> Option<Act> {
        let view = self.members[rank].view;
        match &self.phase {
            Phase::Survey { observed } => (!observed[rank]).then_some(Act::Look),
            Phase::Guard { guards } => guards
                .iter()
                .find(|guard| guard.rank == rank && !guard.is_placed)
                .map(|guard| Act::Hold { step: guard.step }),
            Phase::DisarmAll { disarmed } => (!disarmed[rank]).then(|| Act::Disarm {
                number: view
                    .and_then(|view| view.armed)
                    .map_or(self.fence, |armed| armed.number),
            }),
            Phase::ReleaseAll => view?.held.map(|step| Act::Release { step }),
            Phase::ReleaseStray { observed } if rank == self.own_rank => {
                if *observed {
                    self.release_stray_hold(view)
                } else {
                    Some(Act::Look)
                }
            }
            Phase::Idle | Phase::Settle { .. } => self.release_stray_hold(view),
            Phase::Stage { number, acknowledged } => {
                let needs_order = !acknowledged[rank] && view?.staged != Some(*number);
                let stage = needs_order.then_some(Act::Stage { number: *number });
                self.release_stray_hold(view).or(stage)
            }
            Phase::Hold { step, .. } if rank == self.own_rank => match view?.held {
                Some(held_step) if held_step != *step => Some(Act::Release { step: held_step }),
                _ => Some(Act::Hold { step: *step }),
            },
            Phase::Hold { .. } | Phase::ReleaseStray { .. } => None,
            Phase::Arm { change } => (view?.armed != Some(*change)).then_some(Act::Arm(*change)),
            Phase::Release { change } => (rank == self.own_rank).then_some(Act::Release { step: change.at }),
        }
    }

    /// Releases a late hold of an earlier attempt once the rank's state shows it.
    fn release_stray_hold(&self, view: Option<View>) -> Option<Act> {
        let held_step = view?.held.filter(|step| self.unconfirmed_holds.contains(step))?;
        Some(Act::Release { step: held_step })
    }

    fn handle_answer(&mut self, rank: usize, order: Order, answer: Answer, view: Option<View>) {
        if answer == Answer::Fenced {
            self.overtaken = true;
            return;
        }
        let was_answered = answer != Answer::Silent;
        let is_own = rank == self.own_rank;
        let is_armed = view.is_some_and(|view| view.armed.is_some());
        match (&mut self.phase, order.act) {
            (Phase::Survey { observed }, Act::Look) => observed[rank] = view.is_some(),
            (Phase::ReleaseStray { observed }, Act::Look) => *observed = view.is_some(),
            (Phase::Guard { guards }, Act::Hold { step }) => {
                let guard = guards.iter_mut().find(|guard| guard.rank == rank && guard.step == step);
                match (guard, answer) {
                    (Some(guard), Answer::Done) => guard.is_placed = true,
                    (_, Answer::Refused) => self.start_survey(),
                    _ => {}
                }
            }
            // Only an answer under the current fence counts, and the state must show that the rank is not armed.
            (Phase::DisarmAll { disarmed }, Act::Disarm { .. }) if order.fence == self.fence => {
                disarmed[rank] = was_answered && view.is_some() && !is_armed;
            }
            // An answer to an order of an abandoned change says nothing about the current one.
            (Phase::Stage { number, acknowledged }, Act::Stage { number: ordered_number })
                if ordered_number == *number =>
            {
                if answer == Answer::Refused {
                    self.fail_change(Phase::Idle);
                } else {
                    acknowledged[rank] = was_answered;
                }
            }
            (Phase::Hold { number, step }, Act::Hold { step: ordered_step }) if is_own && ordered_step == *step => {
                let change = Change {
                    number: *number,
                    at: *step,
                };
                self.handle_hold_answer(change, answer, view);
            }
            (Phase::Arm { change }, Act::Arm(ordered_change))
                if ordered_change == *change && answer == Answer::Refused =>
            {
                self.undo_change();
            }
            (Phase::Release { change }, Act::Release { step }) if is_own && step == change.at => {
                let is_released = view.is_some_and(|view| view.held != Some(step));
                if was_answered && is_released {
                    self.phase = Phase::Settle { change: *change };
                }
            }
            _ => {}
        }
    }

    /// Handles the answer to the order to hold the group before the step of a change.
    fn handle_hold_answer(&mut self, change: Change, answer: Answer, view: Option<View>) {
        let in_place = view.is_some_and(|view| view.held == Some(change.at));
        if in_place || answer == Answer::Done {
            self.phase = Phase::Arm { change };
            return;
        }
        if answer == Answer::Silent {
            self.unconfirmed_holds.push(change.at);
        }
        // The step has begun, or the hold may be placed late: try a later step.
        if let Some(step) = self.next_hold_step() {
            self.phase = Phase::Hold {
                number: change.number,
                step: step.max(change.at + 1),
            };
        }
    }

    /// Advances through the phases as far as the ranks' states allow.
    fn advance(&mut self) {
        if self.overtaken {
            return;
        }
        if self.epoch_changed() {
            self.change_failed |= !matches!(self.phase, Phase::Idle | Phase::Survey { .. });
            self.start_survey();
        }
        loop {
            let previous = self.phase.clone();
            self.advance_once();
            if self.phase == previous {
                return;
            }
        }
    }

    fn advance_once(&mut self) {
        match &self.phase {
            Phase::Survey { observed } if observed.iter().all(|observed| *observed) => self.evaluate_survey(),
            Phase::Guard { guards } if guards.iter().all(|guard| guard.is_placed) => self.undo_change(),
            Phase::DisarmAll { disarmed } if disarmed.iter().all(|done| *done) => self.phase = Phase::ReleaseAll,
            Phase::ReleaseAll if self.all_views(|view| view.held.is_none()) => self.start_survey(),
            Phase::ReleaseStray { observed: true }
                if self.release_stray_hold(self.members[self.own_rank].view).is_none() =>
            {
                self.phase = Phase::Idle;
            }
            Phase::Idle if self.any_view(|view| self.is_leftover(view)) => self.start_survey(),
            Phase::Stage { number, .. } => {
                let number = *number;
                if !self.has_unresponsive_rank
                    && self.all_views(|view| view.staged == Some(number))
                    && let Some(step) = self.next_hold_step()
                {
                    self.phase = Phase::Hold { number, step };
                }
            }
            Phase::Arm { change } => {
                let change = *change;
                if self.all_views(|view| view.armed == Some(change)) {
                    self.phase = Phase::Release { change };
                }
            }
            Phase::Settle { change } => {
                let change = *change;
                if self.all_views(|view| view.map == change.number) {
                    self.phase = Phase::Idle;
                }
            }
            _ => {}
        }
    }

    /// Decides from the state of every rank whether anything has to be undone.
    fn evaluate_survey(&mut self) {
        let Some(epoch) = self.common_epoch() else {
            self.start_survey();
            return;
        };
        self.epoch = epoch;
        let views = self.views();
        let change = views.iter().find_map(|view| view.armed);
        let any_held = views.iter().any(|view| view.held.is_some());
        // All ranks are armed for the same change and none holds the group: the hold was released and the step is about
        // to begin. Nothing may be undone now.
        if let Some(change) = change
            && !any_held
            && views.iter().all(|view| view.armed == Some(change))
        {
            self.phase = Phase::Settle { change };
            return;
        }
        let guards = self.plan_guards(&views);
        if !guards.is_empty() {
            self.phase = Phase::Guard { guards };
        } else if views.iter().all(|view| view.map == views[0].map) {
            self.phase = Phase::Idle;
        } else {
            // The states were read while a step began: some show the old map, others the new one.
            self.start_survey();
        }
    }

    /// One guard for each step that a rank is armed or held for, on a rank that already holds that step or else on one
    /// without a hold.
    fn plan_guards(&self, views: &[View]) -> Vec<Guard> {
        let armed = views.iter().filter_map(|view| view.armed.map(|armed| armed.at));
        let mut steps: Vec<u64> = armed.chain(views.iter().filter_map(|view| view.held)).collect();
        steps.sort_unstable();
        steps.dedup();
        let mut guards: Vec<Guard> = Vec::new();
        for step in steps {
            let ranks = std::iter::once(self.own_rank).chain(0..views.len());
            let mut available = ranks.filter(|rank| guards.iter().all(|guard| guard.rank != *rank));
            let holder = (0..views.len()).find(|rank| views[*rank].held == Some(step));
            let rank = holder.or_else(|| available.find(|rank| views[*rank].held.is_none()));
            if let Some(rank) = rank {
                let is_placed = false;
                guards.push(Guard { rank, step, is_placed });
            }
        }
        guards
    }

    /// Whether a state shows an armed change or a hold that this coordinator did not leave there.
    fn is_leftover(&self, view: &View) -> bool {
        let unexpected_hold = view.held.is_some_and(|step| !self.unconfirmed_holds.contains(&step));
        view.armed.is_some() || unexpected_hold
    }

    fn start_survey(&mut self) {
        self.survey_count += 1;
        let observed = vec![false; self.members.len()];
        self.phase = Phase::Survey { observed };
    }

    fn undo_change(&mut self) {
        self.fence += 1;
        let disarmed = vec![false; self.members.len()];
        self.fail_change(Phase::DisarmAll { disarmed });
    }

    fn fail_change(&mut self, next: Phase) {
        self.change_failed = true;
        self.phase = next;
    }

    fn epoch_changed(&self) -> bool {
        self.any_view(|view| view.epoch != self.epoch || !view.open) && !matches!(self.phase, Phase::Survey { .. })
    }

    fn common_epoch(&self) -> Option<u64> {
        let views = self.views();
        let first = views.first()?.epoch;
        let is_common = views.len() == self.members.len() && views.iter().all(|view| view.epoch == first && view.open);
        is_common.then_some(first)
    }

    fn next_hold_step(&self) -> Option<u64> {
        let highest = self.views().iter().map(|view| view.step).max()?;
        Some(highest + self.lead_steps)
    }

    fn views(&self) -> Vec<View> {
        self.members.iter().filter_map(|member| member.view).collect()
    }

    fn all_views(&self, test: impl Fn(&View) -> bool) -> bool {
        self.members
            .iter()
            .all(|member| member.view.as_ref().is_some_and(&test))
    }

    fn any_view(&self, test: impl Fn(&View) -> bool) -> bool {
        self.members.iter().filter_map(|member| member.view.as_ref()).any(test)
    }
}
