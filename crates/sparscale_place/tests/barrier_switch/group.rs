//! The engines of a group, in memory.

use sparscale_place::barrier::{Act, Answer, Change, Order, View};

use crate::RANKS;

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub struct Rank {
    pub map: u64,
    pub staged: Option<u64>,
    pub highest_staged: u64,
    pub armed: Option<Change>,
    pub held: Option<u64>,
    pub fence: u64,
}

/// The engines of a group, with the hold and arm semantics of the platform.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Group {
    pub epoch: u64,
    pub step: u64,
    pub ranks: Vec<Rank>,
    pub has_mixed_maps: bool,
}

impl Group {
    pub fn new() -> Self {
        Self {
            epoch: 1,
            step: 0,
            ranks: vec![Rank::default(); RANKS],
            has_mixed_maps: false,
        }
    }

    pub fn step(&mut self) -> bool {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return false;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if let Some(change) = rank.armed.filter(|change| change.at == next) {
                rank.map = change.number;
                rank.armed = None;
                rank.staged = None;
            }
        }
        self.has_mixed_maps |= self.ranks.iter().any(|rank| rank.map != self.ranks[0].map);
        true
    }

    pub fn reform(&mut self) {
        self.epoch += 1;
        for rank in &mut self.ranks {
            *rank = Rank {
                fence: rank.fence,
                ..Rank::default()
            };
        }
    }

    pub fn view(&self, rank: usize) -> View {
        let state = &self.ranks[rank];
        View {
            epoch: self.epoch,
            open: true,
            step: self.step,
            map: state.map,
            staged: state.staged,
            armed: state.armed,
            held: state.held,
        }
    }

    pub fn order(&mut self, rank: usize, order: &Order) -> Answer {
        let step = self.step;
        let state = &mut self.ranks[rank];
        if order.act == Act::Look {
            return Answer::Done;
        }
        if order.fence < state.fence {
            return Answer::Fenced;
        }
        state.fence = order.fence;
        if order.epoch != self.epoch {
            return Answer::Refused;
        }
        let done = match order.act {
            Act::Look => true,
            Act::Stage { number } if state.staged == Some(number) => true,
            Act::Stage { number } => {
                let is_allowed = number > state.highest_staged && state.armed.is_none();
                if is_allowed {
                    state.highest_staged = number;
                    state.staged = Some(number);
                }
                is_allowed
            }
            Act::Hold { step: held_step } => {
                let is_allowed = state.held == Some(held_step) || (state.held.is_none() && held_step > step);
                if is_allowed {
                    state.held = Some(held_step);
                }
                is_allowed
            }
            Act::Arm(change) => {
                let is_allowed = state.staged == Some(change.number) && change.at > step;
                if is_allowed {
                    state.armed = Some(change);
                }
                is_allowed
            }
            Act::Disarm { number } => {
                state.armed = state.armed.filter(|armed| armed.number != number);
                state.map != number
            }
            Act::Release { step: held_step } => {
                state.held = state.held.filter(|step| *step != held_step);
                true
            }
        };
        if done { Answer::Done } else { Answer::Refused }
    }
}
