//! A stub group of engines: ranks begin passes together, each with the map that it was ordered to use.
//!
//! Ranks don't compare their maps, and neither do the platform's engines, so this stub compares them at each pass.
//! Fences and leaders must ensure that all ranks begin a pass with the same map, in content and not only in version.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sets of experts in a model.
pub const SET_COUNT: usize = 2;
/// Experts of each set.
pub const EXPERTS_PER_SET: usize = 24;
/// Slots that a rank has for the experts of a set.
pub const SLOTS_PER_SET: usize = 9;
/// Experts of a set at a rank that a new map may add.
pub const MAX_NEW_EXPERTS: usize = 3;

/// Time that a rank takes to copy the new experts of a map.
const MAP_COPY_TIME: Duration = Duration::from_millis(15);
/// Time that a group takes to form again.
const GROUP_RESET_TIME: Duration = Duration::from_millis(300);
/// Selections per pass of the expert in demand, and of each other expert.
const HOT_SELECTIONS: u64 = 400;
const OTHER_SELECTIONS: u64 = 20;
/// Number of experts by which the demand moves on.
const HOT_EXPERT_STEP: usize = 7;
/// Passes with differing maps that are recorded.
const MAX_MIXED_PASSES: usize = 8;
/// Time of the first starts, in milliseconds.
const FIRST_START_MS: u64 = 1_750_000_000_000;

/// Experts by set and rank.
pub type ExpertLists = Vec<Vec<Vec<u16>>>;

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Fence of the agent that gives the order.
    pub fence: u64,
    /// Epoch of the group that the order is for.
    pub epoch: u64,
    /// What the rank is to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Copy what a map needs.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The whole map.
        map: ExpertLists,
    },
    /// Switch to a prepared map at the beginning of a pass.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Undo the arming of a map.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Release a held pass.
    Release {
        /// The pass.
        step: u64,
    },
}

/// How a rank responds to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was carried out, now or earlier.
    Done,
    /// The order doesn't apply to the state of the rank.
    NotApplicable,
    /// The rank has seen a higher fence.
    Fenced,
    /// No response; the order may be carried out later.
    Unanswered,
}

/// A map as a rank stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Map {
    version: u64,
    lists: Arc<ExpertLists>,
}

/// State of one rank.
#[derive(Debug, Clone)]
struct Rank {
    map: Map,
    /// The map being copied, and when the copy is complete.
    prepared: Option<(Map, Instant)>,
    /// Highest version that the rank was ordered to prepare.
    highest_version: u64,
    /// Version and pass of the armed map switch.
    armed: Option<(u64, u64)>,
    held_step: Option<u64>,
    fence: u64,
    started_at_ms: u64,
    /// Time until which orders get no response.
    unanswered_until: Option<Instant>,
}

/// What a rank reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When the current start of the engine began, in milliseconds.
    pub born_ms: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Whether the group serves.
    pub is_serving: bool,
    /// Number of ranks in the group.
    pub rank_count: usize,
    /// Last pass that began.
    pub step: u64,
    /// Version in use.
    pub map_version: u64,
    /// Version that is copied and ready.
    pub prepared_version: Option<u64>,
    /// Version and pass of the armed map switch.
    pub armed: Option<(u64, u64)>,
    /// Pass that this rank holds.
    pub held_step: Option<u64>,
}

/// An order that got no response and is carried out later.
#[derive(Debug)]
struct LateOrder {
    apply_at: Instant,
    rank: usize,
    order: Order,
}

/// A group of engines.
#[derive(Debug)]
pub struct Group {
    step: u64,
    epoch: u64,
    opens_at: Instant,
    ranks: Vec<Rank>,
    hot_expert: usize,
    selection_counts: Vec<u64>,
    /// Number of orders that got no response, and those of them that are still to be carried out.
    unanswered_count: u32,
    late_orders: Vec<LateOrder>,
    map_switch_count: u64,
    mixed_passes: Vec<String>,
}

impl Rank {
    fn new(rank_count: usize, started_at_ms: u64) -> Self {
        let map = Map {
            version: 0,
            lists: Arc::new(initial_map(rank_count)),
        };
        Self {
            map,
            prepared: None,
            highest_version: 0,
            armed: None,
            held_step: None,
            fence: 0,
            started_at_ms,
            unanswered_until: None,
        }
    }

    /// Resets the rank as the group forms again: it loses its maps and orders but keeps its fence.
    fn reset(&mut self, rank_count: usize) {
        *self = Self {
            fence: self.fence,
            ..Self::new(rank_count, self.started_at_ms)
        };
    }

    fn apply(&mut self, act: Action, step: u64, now: Instant) -> bool {
        match act {
            Action::Prepare { version, map } => {
                let is_applicable = version > self.highest_version && self.armed.is_none() && self.is_compatible(&map);
                if is_applicable {
                    self.highest_version = version;
                    let lists = Arc::new(map);
                    self.prepared = Some((Map { version, lists }, now + MAP_COPY_TIME));
                }
                is_applicable
            }
            Action::Arm {
                version,
                step: switch_step,
            } => {
                let is_ready = self.ready_version(now) == Some(version);
                let is_applicable = is_ready && switch_step > step;
                if is_applicable {
                    self.armed = Some((version, switch_step));
                }
                is_applicable
            }
            Action::Disarm { version } => {
                self.armed = self.armed.filter(|(armed, _)| *armed != version);
                self.map.version != version
            }
            Action::Hold { step: held } => {
                let is_applicable = self.held_step == Some(held) || (self.held_step.is_none() && held > step);
                if is_applicable {
                    self.held_step = Some(held);
                }
                is_applicable
            }
            Action::Release { step: held } => {
                self.held_step = self.held_step.filter(|step| *step != held);
                true
            }
        }
    }

    /// Whether a map has the same sets and ranks as the current one, and no rank exceeds its slots or its new experts
    /// in any set.
    fn is_compatible(&self, map: &ExpertLists) -> bool {
        let current = self.map.lists.iter();
        let sets_match = current.zip(map).all(|(current, proposed)| {
            let ranks = current.iter().zip(proposed);
            current.len() == proposed.len()
                && ranks.into_iter().all(|(current, proposed)| {
                    let new_count = proposed.iter().filter(|expert| !current.contains(expert)).count();
                    new_count <= MAX_NEW_EXPERTS && proposed.len() <= SLOTS_PER_SET
                })
        });
        sets_match && map.len() == self.map.lists.len()
    }

    fn ready_version(&self, now: Instant) -> Option<u64> {
        let prepared = self.prepared.as_ref().filter(|(_, ready_at)| *ready_at <= now);
        prepared.map(|(map, _)| map.version)
    }

    fn begin_pass(&mut self, step: u64) -> bool {
        if self.armed.is_none_or(|(_, switch_step)| switch_step != step) {
            return false;
        }
        self.armed = None;
        if let Some((map, _)) = self.prepared.take() {
            self.map = map;
        }
        true
    }
}

impl Group {
    /// Creates a group of `rank_count` ranks with the initial map.
    pub fn new(rank_count: usize, now: Instant) -> Self {
        Self {
            step: 0,
            epoch: 1,
            opens_at: now,
            ranks: vec![Rank::new(rank_count, FIRST_START_MS); rank_count],
            hot_expert: 0,
            selection_counts: vec![0; SET_COUNT * EXPERTS_PER_SET],
            unanswered_count: 0,
            late_orders: Vec::new(),
            map_switch_count: 0,
            mixed_passes: Vec::new(),
        }
    }

    /// Carries out orders that are due, then begins the next pass unless it is held or the group still forms.
    pub fn pass(&mut self, now: Instant) {
        self.apply_late_orders(now);
        let next = self.step + 1;
        if now < self.opens_at || self.ranks.iter().any(|rank| rank.held_step == Some(next)) {
            return;
        }
        self.step = next;
        let switched = self.ranks.iter_mut().map(|rank| rank.begin_pass(next));
        let switched_count = switched.filter(|is_switched| *is_switched).count();
        self.map_switch_count += u64::from(switched_count == self.ranks.len());
        self.compare_maps();
        for (index, count) in self.selection_counts.iter_mut().enumerate() {
            let is_hot = index % EXPERTS_PER_SET == self.hot_expert;
            *count += if is_hot { HOT_SELECTIONS } else { OTHER_SELECTIONS };
        }
    }

    fn compare_maps(&mut self) {
        let Some((first, others)) = self.ranks.split_first() else {
            return;
        };
        let versions = || self.ranks.iter().map(|rank| rank.map.version).collect::<Vec<_>>();
        if others.iter().any(|rank| rank.map != first.map) && self.mixed_passes.len() < MAX_MIXED_PASSES {
            let description = format!(
                "pass {} of epoch {} began with maps {:?}",
                self.step,
                self.epoch,
                versions()
            );
            self.mixed_passes.push(description);
        }
    }

    /// Handles an order to `rank`.
    pub fn handle_order(&mut self, rank: usize, order: Order, now: Instant) -> OrderOutcome {
        if self.ranks[rank].unanswered_until.is_some_and(|deadline| now < deadline) {
            self.unanswered_count += 1;
            // Some orders are never carried out, the others after later ones.
            if !self.unanswered_count.is_multiple_of(3) {
                let apply_at = now + MAP_COPY_TIME * 10 * (self.unanswered_count % 7);
                self.late_orders.push(LateOrder { apply_at, rank, order });
            }
            return OrderOutcome::Unanswered;
        }
        self.accept_order(rank, order, now)
    }

    fn accept_order(&mut self, rank: usize, order: Order, now: Instant) -> OrderOutcome {
        if order.epoch != self.epoch {
            return OrderOutcome::NotApplicable;
        }
        let step = self.step;
        let rank = &mut self.ranks[rank];
        if order.fence < rank.fence {
            return OrderOutcome::Fenced;
        }
        rank.fence = order.fence;
        if rank.apply(order.action, step, now) {
            OrderOutcome::Done
        } else {
            OrderOutcome::NotApplicable
        }
    }

    fn apply_late_orders(&mut self, now: Instant) {
        let due: Vec<LateOrder> = self.late_orders.extract_if(.., |late| late.apply_at <= now).collect();
        for late in due {
            // The outcome of a late order reaches no one.
            let _outcome = self.accept_order(late.rank, late.order, now);
        }
    }

    /// Withholds responses to orders to `rank` until `deadline`; most of these orders are carried out later.
    pub(crate) fn withhold_responses(&mut self, rank: usize, deadline: Instant) {
        self.ranks[rank].unanswered_until = Some(deadline);
    }

    /// Restarts the engine of `rank`, which loses all state; the group forms again.
    pub(crate) fn restart(&mut self, rank: usize, now: Instant) {
        self.epoch += 1;
        self.opens_at = now + GROUP_RESET_TIME;
        let rank_count = self.ranks.len();
        self.ranks.iter_mut().for_each(|rank| rank.reset(rank_count));
        let started_at_ms = self.ranks[rank].started_at_ms + 1_000;
        self.ranks[rank] = Rank::new(rank_count, started_at_ms);
        self.selection_counts.fill(0);
    }

    /// Moves the demand to another expert.
    pub(crate) fn shift_demand(&mut self) {
        self.hot_expert = (self.hot_expert + HOT_EXPERT_STEP) % EXPERTS_PER_SET;
    }

    /// Returns the report of `rank`.
    pub fn report(&self, rank: usize, now: Instant) -> Report {
        let state = &self.ranks[rank];
        Report {
            born_ms: state.started_at_ms,
            epoch: self.epoch,
            is_serving: now >= self.opens_at,
            rank_count: self.ranks.len(),
            step: self.step,
            map_version: state.map.version,
            prepared_version: state.ready_version(now),
            armed: state.armed,
            held_step: state.held_step,
        }
    }

    /// Expert selection counts, one set after the other.
    pub fn selection_counts(&self) -> &[u64] {
        &self.selection_counts
    }

    /// Experts of `rank`, by set.
    pub fn experts(&self, rank: usize) -> Vec<&[u16]> {
        let lists = self.ranks[rank].map.lists.iter();
        lists.map(|set| set[rank].as_slice()).collect()
    }

    /// Whether a map switch is in progress at a rank.
    pub(crate) fn is_switching_map(&self) -> bool {
        self.ranks
            .iter()
            .any(|rank| rank.armed.is_some() || rank.held_step.is_some())
    }

    /// Number of map switches that all ranks made in the same pass.
    pub(crate) fn map_switch_count(&self) -> u64 {
        self.map_switch_count
    }

    /// Descriptions of the first passes that began with differing maps.
    pub(crate) fn mixed_passes(&self) -> &[String] {
        &self.mixed_passes
    }
}

/// Deals the experts to the ranks in turn.
fn initial_map(rank_count: usize) -> ExpertLists {
    let experts_of_rank = |rank: usize| {
        let experts = (0..EXPERTS_PER_SET as u16).filter(|expert| usize::from(*expert) % rank_count.max(1) == rank);
        experts.collect()
    };
    vec![(0..rank_count).map(experts_of_rank).collect(); SET_COUNT]
}
