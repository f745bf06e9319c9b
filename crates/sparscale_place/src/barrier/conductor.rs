//! The conductor's side, as a state machine without clock or socket.

use super::{Act, Answer, Change, Order, Report, View};

/// How far a conductor is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// It has not heard from every rank yet, or the group is not open.
    Surveying,
    /// It takes back what a predecessor left.
    Recovering,
    /// Nothing is under way.
    Idle,
    /// Ranks load the next map.
    Staging,
    /// The group is being held.
    Holding,
    /// Ranks are being armed.
    Arming,
    /// All are armed; the group is let go.
    Releasing,
    /// The group runs up to the step.
    Settling,
    /// A try is taken back.
    Undoing,
    /// Another conductor has taken over.
    Overtaken,
}

/// A hold that this conductor places so that nobody else can let the group begin a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Guard {
    rank: usize,
    step: u64,
    placed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Every rank has to be looked at once.
    Survey {
        looked: Vec<bool>,
    },
    /// Guards are being placed; then everything is taken back.
    Guard {
        guards: Vec<Guard>,
    },
    /// Every rank has to be disarmed under the present fence.
    Undo {
        fenced: Vec<bool>,
    },
    /// All holds are being released.
    Open,
    /// A hold that may stand is being released; nothing was armed for it.
    Lift {
        looked: bool,
    },
    Idle,
    /// Ranks that have not `begun` to load are told to.
    Stage {
        number: u64,
        begun: Vec<bool>,
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
    /// Order on its way.
    pending: Option<Order>,
}

/// Leads one group from map to map.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Conductor {
    /// Rank that holds the group in a change: the one beside the conductor.
    own: usize,
    /// Steps between the last one seen and the one that is held.
    lead: u64,
    epoch: u64,
    fence: u64,
    serial: u64,
    members: Vec<Member>,
    phase: Phase,
    /// Steps of holds of this conductor that may still be placed late.
    strays: Vec<u64>,
    /// Whether the last change under way was taken back or lost.
    failed: bool,
    overtaken: bool,
    /// Surveys that it began.
    surveys: u64,
    /// Whether some rank is silent, so that a hold now might last until it speaks again.
    silent: bool,
}

impl Conductor {
    /// A conductor of `ranks` ranks, beside rank `own`, whose fences start at `fence`: above those of all before it,
    /// with room for two fences a change below those of all after it.
    pub fn new(ranks: usize, own: usize, fence: u64) -> Self {
        Self {
            own,
            lead: 1,
            epoch: 0,
            fence,
            serial: 0,
            members: vec![Member::default(); ranks],
            phase: Phase::Survey {
                looked: vec![false; ranks],
            },
            strays: Vec::new(),
            failed: false,
            overtaken: false,
            surveys: 1,
            silent: false,
        }
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        if self.overtaken {
            return Progress::Overtaken;
        }
        match &self.phase {
            Phase::Survey { .. } => Progress::Surveying,
            Phase::Guard { .. } => Progress::Recovering,
            Phase::Undo { .. } | Phase::Open | Phase::Lift { .. } => Progress::Undoing,
            Phase::Idle => Progress::Idle,
            Phase::Stage { .. } => Progress::Staging,
            Phase::Hold { .. } => Progress::Holding,
            Phase::Arm { .. } => Progress::Arming,
            Phase::Release { .. } => Progress::Releasing,
            Phase::Settle { .. } => Progress::Settling,
        }
    }

    /// Epoch of the group.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Highest fence used so far.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Step that the change under way is for.
    pub fn step(&self) -> Option<u64> {
        match &self.phase {
            Phase::Hold { step, .. } => Some(*step),
            Phase::Arm { change } | Phase::Release { change } | Phase::Settle { change } => Some(change.at),
            _ => None,
        }
    }

    /// How often it began to look at all ranks; many in a row say that what they tell does not agree.
    pub fn surveys(&self) -> u64 {
        self.surveys
    }

    /// Ranks that the next step waits for.
    pub fn awaited(&self) -> Vec<usize> {
        let missing = |done: &dyn Fn(usize) -> bool| (0..self.members.len()).filter(|rank| !done(*rank)).collect();
        let shows = |test: &dyn Fn(&View) -> bool| missing(&|rank| self.view(rank).as_ref().is_some_and(test));
        match &self.phase {
            Phase::Survey { looked } => missing(&|rank| looked[rank]),
            Phase::Undo { fenced } => missing(&|rank| fenced[rank]),
            Phase::Guard { guards } => guards
                .iter()
                .filter(|guard| !guard.placed)
                .map(|guard| guard.rank)
                .collect(),
            Phase::Open => shows(&|view| view.held.is_none()),
            Phase::Stage { number, .. } => shows(&|view| view.staged == Some(*number)),
            Phase::Arm { change } => shows(&|view| view.armed == Some(*change)),
            Phase::Settle { change } => shows(&|view| view.map == change.number),
            Phase::Lift { .. } | Phase::Hold { .. } | Phase::Release { .. } => vec![self.own],
            Phase::Idle => Vec::new(),
        }
    }

    /// What an order that is on its way to a rank is for.
    pub fn pending(&self, rank: usize) -> Option<Act> {
        let pending = self.members.get(rank)?.pending;
        pending.map(|order| order.act)
    }

    /// State of a rank as last told.
    pub fn view(&self, rank: usize) -> Option<View> {
        self.members.get(rank).and_then(|member| member.view)
    }

    /// Whether the last change was taken back or lost with its epoch; asking clears it.
    pub fn take_failure(&mut self) -> bool {
        std::mem::take(&mut self.failed)
    }

    /// Number of the map that all ranks use, while nothing is under way.
    pub fn settled_map(&self) -> Option<u64> {
        let first = self.members.first()?.view?.map;
        let same = |member: &Member| member.view.is_some_and(|view| view.map == first);
        (self.phase == Phase::Idle && self.members.iter().all(same)).then_some(first)
    }

    /// Sets the steps between the last one seen and the one that is held.
    pub fn set_lead(&mut self, lead: u64) {
        self.lead = lead.max(1);
    }

    /// Says whether some rank is silent. No hold is begun then: a rank that has been armed, or may have been, and says nothing
    /// keeps the whole group held until it does.
    pub fn set_silent(&mut self, silent: bool) {
        if self.silent != silent {
            self.silent = silent;
            self.advance();
        }
    }

    /// Starts a change to map `number`, which no rank has had before in this epoch; only while idle and nothing is held.
    pub fn begin(&mut self, number: u64) -> bool {
        if self.phase != Phase::Idle || self.overtaken || self.any(|view| view.held.is_some()) {
            return false;
        }
        self.fence += 1;
        let begun = vec![false; self.members.len()];
        self.phase = Phase::Stage { number, begun };
        true
    }

    /// Gives the change under way up, unless it is past taking back.
    pub fn abandon(&mut self) {
        match &self.phase {
            Phase::Stage { .. } => self.fail(Phase::Idle),
            Phase::Hold { step, .. } => {
                // No rank was told to arm yet: there is nothing to take back but the hold, whenever it stands.
                self.strays.push(*step);
                self.fail(Phase::Lift { looked: false });
            }
            Phase::Arm { .. } => self.undo(),
            _ => {}
        }
    }

    /// Orders to be sent now; at most one is on its way to each rank.
    pub fn orders(&mut self) -> Vec<(usize, Order)> {
        let mut orders = Vec::new();
        if self.overtaken {
            return orders;
        }
        for rank in 0..self.members.len() {
            if self.members[rank].pending.is_some() {
                continue;
            }
            let Some(act) = self.wanted(rank) else { continue };
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

    /// An order to `rank` that only asks for its state, for a rank that nobody tells of unasked; none while another order is on
    /// its way to it.
    pub fn look_at(&mut self, rank: usize) -> Option<Order> {
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

    /// Takes in what a rank's agent told.
    pub fn report(&mut self, rank: usize, report: Report) {
        let Some(member) = self.members.get_mut(rank) else {
            return;
        };
        if let Some(view) = report.view {
            member.view = Some(view);
        }
        let pending = member.pending.filter(|order| order.serial == report.serial);
        if let (Some(order), Some(answer)) = (pending, report.answer) {
            member.pending = None;
            self.answered(rank, order, answer, report.view);
        }
        self.advance();
    }

    /// The order on its way to a rank, if there is one, will not be answered any more.
    pub fn lost(&mut self, rank: usize) {
        let Some(order) = self.members.get_mut(rank).and_then(|member| member.pending.take()) else {
            return;
        };
        self.answered(rank, order, Answer::Silent, None);
        self.advance();
    }

    fn wanted(&self, rank: usize) -> Option<Act> {
        let view = self.members[rank].view;
        match &self.phase {
            Phase::Survey { looked } => (!looked[rank]).then_some(Act::Look),
            Phase::Guard { guards } => guards
                .iter()
                .find(|guard| guard.rank == rank && !guard.placed)
                .map(|guard| Act::Hold { step: guard.step }),
            Phase::Undo { fenced } => (!fenced[rank]).then(|| Act::Disarm {
                number: view
                    .and_then(|view| view.armed)
                    .map_or(self.fence, |armed| armed.number),
            }),
            Phase::Open => view?.held.map(|step| Act::Release { step }),
            Phase::Lift { looked } if rank == self.own => {
                if *looked {
                    self.lift(view)
                } else {
                    Some(Act::Look)
                }
            }
            Phase::Idle | Phase::Settle { .. } => self.lift(view),
            Phase::Stage { number, begun } => {
                let wanted = !begun[rank] && view?.staged != Some(*number);
                let stage = wanted.then_some(Act::Stage { number: *number });
                self.lift(view).or(stage)
            }
            Phase::Hold { step, .. } if rank == self.own => match view?.held {
                Some(held) if held != *step => Some(Act::Release { step: held }),
                _ => Some(Act::Hold { step: *step }),
            },
            Phase::Hold { .. } | Phase::Lift { .. } => None,
            Phase::Arm { change } => (view?.armed != Some(*change)).then_some(Act::Arm(*change)),
            Phase::Release { change } => (rank == self.own).then_some(Act::Release { step: change.at }),
        }
    }

    /// Releases a hold of an earlier try, whenever it shows.
    fn lift(&self, view: Option<View>) -> Option<Act> {
        let held = view?.held.filter(|step| self.strays.contains(step))?;
        Some(Act::Release { step: held })
    }

    fn answered(&mut self, rank: usize, order: Order, answer: Answer, view: Option<View>) {
        if answer == Answer::Fenced {
            self.overtaken = true;
            return;
        }
        let certain = answer != Answer::Silent;
        let own = rank == self.own;
        let armed = view.is_some_and(|view| view.armed.is_some());
        match (&mut self.phase, order.act) {
            (Phase::Survey { looked }, Act::Look) => looked[rank] = view.is_some(),
            (Phase::Lift { looked }, Act::Look) => *looked = view.is_some(),
            (Phase::Guard { guards }, Act::Hold { step }) => {
                let guard = guards.iter_mut().find(|guard| guard.rank == rank && guard.step == step);
                match (guard, answer) {
                    (Some(guard), Answer::Done) => guard.placed = true,
                    (_, Answer::Refused) => self.survey(),
                    _ => {}
                }
            }
            // The rank has to say under which fence it stands, and show that it is not armed.
            (Phase::Undo { fenced }, Act::Disarm { .. }) if order.fence == self.fence => {
                fenced[rank] = certain && view.is_some() && !armed;
            }
            // An answer for a change that was given up says nothing of this one.
            (Phase::Stage { number, begun }, Act::Stage { number: ordered }) if ordered == *number => {
                if answer == Answer::Refused {
                    self.fail(Phase::Idle);
                } else {
                    begun[rank] = certain;
                }
            }
            (Phase::Hold { number, step }, Act::Hold { step: ordered }) if own && ordered == *step => {
                let change = Change {
                    number: *number,
                    at: *step,
                };
                self.held(change, answer, view);
            }
            (Phase::Arm { change }, Act::Arm(ordered)) if ordered == *change && answer == Answer::Refused => {
                self.undo();
            }
            (Phase::Release { change }, Act::Release { step }) if own && step == change.at => {
                let released = view.is_some_and(|view| view.held != Some(step));
                if certain && released {
                    self.phase = Phase::Settle { change: *change };
                }
            }
            _ => {}
        }
    }

    /// What became of the hold before the step of a change.
    fn held(&mut self, change: Change, answer: Answer, view: Option<View>) {
        let stands = view.is_some_and(|view| view.held == Some(change.at));
        if stands || answer == Answer::Done {
            self.phase = Phase::Arm { change };
            return;
        }
        if answer == Answer::Silent {
            self.strays.push(change.at);
        }
        // The step has begun, or the hold may come late: another step is tried.
        if let Some(step) = self.next_step() {
            self.phase = Phase::Hold {
                number: change.number,
                step: step.max(change.at + 1),
            };
        }
    }

    /// Moves on as far as the ranks' states allow.
    fn advance(&mut self) {
        if self.overtaken {
            return;
        }
        if self.epoch_changed() {
            self.failed |= !matches!(self.phase, Phase::Idle | Phase::Survey { .. });
            self.survey();
        }
        loop {
            let before = self.phase.clone();
            self.advance_once();
            if self.phase == before {
                return;
            }
        }
    }

    fn advance_once(&mut self) {
        match &self.phase {
            Phase::Survey { looked } if looked.iter().all(|looked| *looked) => self.weigh(),
            Phase::Guard { guards } if guards.iter().all(|guard| guard.placed) => self.undo(),
            Phase::Undo { fenced } if fenced.iter().all(|fenced| *fenced) => self.phase = Phase::Open,
            Phase::Open if self.all(|view| view.held.is_none()) => self.survey(),
            Phase::Lift { looked: true } if self.lift(self.members[self.own].view).is_none() => {
                self.phase = Phase::Idle;
            }
            Phase::Idle if self.any(|view| self.is_left_over(view)) => self.survey(),
            Phase::Stage { number, .. } => {
                let number = *number;
                if !self.silent
                    && self.all(|view| view.staged == Some(number))
                    && let Some(step) = self.next_step()
                {
                    self.phase = Phase::Hold { number, step };
                }
            }
            Phase::Arm { change } => {
                let change = *change;
                if self.all(|view| view.armed == Some(change)) {
                    self.phase = Phase::Release { change };
                }
            }
            Phase::Settle { change } => {
                let change = *change;
                if self.all(|view| view.map == change.number) {
                    self.phase = Phase::Idle;
                }
            }
            _ => {}
        }
    }

    /// What every rank was seen to be in decides whether anything has to be taken back.
    fn weigh(&mut self) {
        let Some(epoch) = self.common_epoch() else {
            self.survey();
            return;
        };
        self.epoch = epoch;
        let views = self.views();
        let change = views.iter().find_map(|view| view.armed);
        let held = views.iter().any(|view| view.held.is_some());
        // All armed alike and none held: the group was let go and the step has not begun yet. Nothing may be touched.
        if let Some(change) = change
            && !held
            && views.iter().all(|view| view.armed == Some(change))
        {
            self.phase = Phase::Settle { change };
            return;
        }
        let guards = self.guards(&views);
        if !guards.is_empty() {
            self.phase = Phase::Guard { guards };
        } else if views.iter().all(|view| view.map == views[0].map) {
            self.phase = Phase::Idle;
        } else {
            // The views were read around a step.
            self.survey();
        }
    }

    /// One guard for each step that anyone is armed or held for, at a rank that holds it or none.
    fn guards(&self, views: &[View]) -> Vec<Guard> {
        let armed = views.iter().filter_map(|view| view.armed.map(|armed| armed.at));
        let mut steps: Vec<u64> = armed.chain(views.iter().filter_map(|view| view.held)).collect();
        steps.sort_unstable();
        steps.dedup();
        let mut guards: Vec<Guard> = Vec::new();
        for step in steps {
            let ranks = std::iter::once(self.own).chain(0..views.len());
            let mut free = ranks.filter(|rank| guards.iter().all(|guard| guard.rank != *rank));
            let holds = (0..views.len()).find(|rank| views[*rank].held == Some(step));
            let rank = holds.or_else(|| free.find(|rank| views[*rank].held.is_none()));
            if let Some(rank) = rank {
                let placed = false;
                guards.push(Guard { rank, step, placed });
            }
        }
        guards
    }

    /// Whether a state shows something that this conductor has not left there.
    fn is_left_over(&self, view: &View) -> bool {
        let held = view.held.is_some_and(|step| !self.strays.contains(&step));
        view.armed.is_some() || held
    }

    fn survey(&mut self) {
        self.surveys += 1;
        let looked = vec![false; self.members.len()];
        self.phase = Phase::Survey { looked };
    }

    fn undo(&mut self) {
        self.fence += 1;
        let fenced = vec![false; self.members.len()];
        self.fail(Phase::Undo { fenced });
    }

    fn fail(&mut self, next: Phase) {
        self.failed = true;
        self.phase = next;
    }

    fn epoch_changed(&self) -> bool {
        self.any(|view| view.epoch != self.epoch || !view.open) && !matches!(self.phase, Phase::Survey { .. })
    }

    fn common_epoch(&self) -> Option<u64> {
        let views = self.views();
        let first = views.first()?.epoch;
        let common = views.len() == self.members.len() && views.iter().all(|view| view.epoch == first && view.open);
        common.then_some(first)
    }

    fn next_step(&self) -> Option<u64> {
        let highest = self.views().iter().map(|view| view.step).max()?;
        Some(highest + self.lead)
    }

    fn views(&self) -> Vec<View> {
        self.members.iter().filter_map(|member| member.view).collect()
    }

    fn all(&self, test: impl Fn(&View) -> bool) -> bool {
        self.members
            .iter()
            .all(|member| member.view.as_ref().is_some_and(&test))
    }

    fn any(&self, test: impl Fn(&View) -> bool) -> bool {
        self.members.iter().filter_map(|member| member.view.as_ref()).any(test)
    }
}
