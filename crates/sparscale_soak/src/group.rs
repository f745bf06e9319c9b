//! A stub group of engines: ranks begin passes together, each with the map that it was ordered to use.
//!
//! Ranks don't compare their maps, and neither do the platform's engines, so this stub compares them at each pass.
//! Fences and leaders must ensure that all ranks begin a pass with the same map, in content and not only in version.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sets of experts in a model.
pub const SETS: usize = 2;
/// Experts of each set.
pub const EXPERTS: usize = 24;
/// Slots that a rank has for the experts of a set.
pub const PLACES: usize = 9;
/// Experts of a set at a rank that a new map may add.
pub const SPARE: usize = 3;

/// Time that a rank takes to copy the new experts of a map.
const COPY: Duration = Duration::from_millis(15);
/// Time that a group takes to form again.
const FORM: Duration = Duration::from_millis(300);
/// Selections per pass of the expert in demand, and of each other expert.
const HOT_PICKS: u64 = 400;
const OTHER_PICKS: u64 = 20;
/// Number of experts by which the demand moves on.
const STEP: usize = 7;
/// Passes with differing maps that are recorded.
const KEPT: usize = 8;
/// Time of the first starts, in milliseconds.
const BORN_MS: u64 = 1_750_000_000_000;

/// The experts of each rank, by set and rank.
pub type Lists = Vec<Vec<Vec<u16>>>;

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Fence of the agent that gives the order.
    pub fence: u64,
    /// Epoch of the group that the order is for.
    pub epoch: u64,
    /// What the rank is to do.
    pub act: Act,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Act {
    /// Copy what a map needs.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The whole map.
        map: Lists,
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
    Go {
        /// The pass.
        step: u64,
    },
}

/// How a rank responds to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ack {
    /// The order was carried out, now or earlier.
    Done,
    /// The order doesn't apply to the state of the rank.
    Unfit,
    /// The rank has seen a higher fence.
    Fenced,
    /// No response; the order may be carried out later.
    Lost,
}

/// A map as a rank stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Map {
    version: u64,
    lists: Arc<Lists>,
}

/// State of one rank.
#[derive(Debug, Clone)]
struct Rank {
    map: Map,
    prepared: Option<(Map, Instant)>,
    /// Highest version that the rank was ordered to prepare.
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
    born_ms: u64,
    /// Time until which orders get no response.
    late_until: Option<Instant>,
}

/// What a rank reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When the current start of the engine began, in milliseconds.
    pub born_ms: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Whether the group serves.
    pub open: bool,
    /// Number of ranks in the group.
    pub size: usize,
    /// Last pass that began.
    pub step: u64,
    /// Version in use.
    pub map: u64,
    /// Version that is copied and ready.
    pub prepared: Option<u64>,
    /// Version and pass of the armed map switch.
    pub armed: Option<(u64, u64)>,
    /// Pass that this rank holds.
    pub held: Option<u64>,
}

/// An order that got no response and is carried out later.
#[derive(Debug)]
struct Late {
    at: Instant,
    rank: usize,
    order: Order,
}

/// A group of engines.
#[derive(Debug)]
pub struct Group {
    step: u64,
    epoch: u64,
    opens: Instant,
    ranks: Vec<Rank>,
    hot: usize,
    counts: Vec<u64>,
    /// Number of orders that got no response, and those of them that are still to be carried out.
    unanswered: u32,
    late: Vec<Late>,
    changes: u64,
    mixed: Vec<String>,
}

impl Rank {
    fn new(ranks: usize, born_ms: u64) -> Self {
        let map = Map {
            version: 0,
            lists: Arc::new(first_map(ranks)),
        };
        Self {
            map,
            prepared: None,
            highest: 0,
            armed: None,
            held: None,
            fence: 0,
            born_ms,
            late_until: None,
        }
    }

    /// Resets the rank as the group forms again: it loses its maps and orders but keeps its fence.
    fn form(&mut self, ranks: usize) {
        *self = Self {
            fence: self.fence,
            ..Self::new(ranks, self.born_ms)
        };
    }

    fn do_order(&mut self, act: Act, step: u64, now: Instant) -> bool {
        match act {
            Act::Prepare { version, map } => {
                let fits = version > self.highest && self.armed.is_none() && self.fits(&map);
                if fits {
                    self.highest = version;
                    let lists = Arc::new(map);
                    self.prepared = Some((Map { version, lists }, now + COPY));
                }
                fits
            }
            Act::Arm { version, step: at } => {
                let prepared = self.copied(now) == Some(version);
                let fits = prepared && at > step;
                if fits {
                    self.armed = Some((version, at));
                }
                fits
            }
            Act::Disarm { version } => {
                self.armed = self.armed.filter(|(armed, _)| *armed != version);
                self.map.version != version
            }
            Act::Hold { step: held } => {
                let fits = self.held == Some(held) || (self.held.is_none() && held > step);
                if fits {
                    self.held = Some(held);
                }
                fits
            }
            Act::Go { step: held } => {
                self.held = self.held.filter(|step| *step != held);
                true
            }
        }
    }

    /// Whether a map has the same sets and ranks as the current one, and no rank exceeds its slots or its new experts
    /// in any set.
    fn fits(&self, map: &Lists) -> bool {
        let known = self.map.lists.iter();
        let sets = known.zip(map).all(|(known, wanted)| {
            let ranks = known.iter().zip(wanted);
            known.len() == wanted.len()
                && ranks.into_iter().all(|(known, wanted)| {
                    let new = wanted.iter().filter(|expert| !known.contains(expert)).count();
                    new <= SPARE && wanted.len() <= PLACES
                })
        });
        sets && map.len() == self.map.lists.len()
    }

    fn copied(&self, now: Instant) -> Option<u64> {
        let prepared = self.prepared.as_ref().filter(|(_, ready)| *ready <= now);
        prepared.map(|(map, _)| map.version)
    }

    fn begin(&mut self, step: u64) -> bool {
        if self.armed.is_none_or(|(_, at)| at != step) {
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
    /// Creates a group of `ranks` ranks with the initial map.
    pub fn new(ranks: usize, now: Instant) -> Self {
        Self {
            step: 0,
            epoch: 1,
            opens: now,
            ranks: vec![Rank::new(ranks, BORN_MS); ranks],
            hot: 0,
            counts: vec![0; SETS * EXPERTS],
            unanswered: 0,
            late: Vec::new(),
            changes: 0,
            mixed: Vec::new(),
        }
    }

    /// Carries out orders that are due, then begins the next pass unless it is held or the group still forms.
    pub fn pass(&mut self, now: Instant) {
        self.do_late(now);
        let next = self.step + 1;
        if now < self.opens || self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.step = next;
        let began = self.ranks.iter_mut().map(|rank| rank.begin(next));
        let changed = began.filter(|changed| *changed).count();
        self.changes += u64::from(changed == self.ranks.len());
        self.compare();
        for (index, count) in self.counts.iter_mut().enumerate() {
            let hot = index % EXPERTS == self.hot;
            *count += if hot { HOT_PICKS } else { OTHER_PICKS };
        }
    }

    fn compare(&mut self) {
        let Some((first, others)) = self.ranks.split_first() else {
            return;
        };
        let versions = || self.ranks.iter().map(|rank| rank.map.version).collect::<Vec<_>>();
        if others.iter().any(|rank| rank.map != first.map) && self.mixed.len() < KEPT {
            let what = format!(
                "pass {} of epoch {} began with maps {:?}",
                self.step,
                self.epoch,
                versions()
            );
            self.mixed.push(what);
        }
    }

    /// Handles an order to `rank`.
    pub fn order(&mut self, rank: usize, order: Order, now: Instant) -> Ack {
        if self.ranks[rank].late_until.is_some_and(|until| now < until) {
            self.unanswered += 1;
            // Some orders are never carried out, the others after later ones.
            if !self.unanswered.is_multiple_of(3) {
                let at = now + COPY * 10 * (self.unanswered % 7);
                self.late.push(Late { at, rank, order });
            }
            return Ack::Lost;
        }
        self.take(rank, order, now)
    }

    fn take(&mut self, rank: usize, order: Order, now: Instant) -> Ack {
        if order.epoch != self.epoch {
            return Ack::Unfit;
        }
        let step = self.step;
        let rank = &mut self.ranks[rank];
        if order.fence < rank.fence {
            return Ack::Fenced;
        }
        rank.fence = order.fence;
        if rank.do_order(order.act, step, now) {
            Ack::Done
        } else {
            Ack::Unfit
        }
    }

    fn do_late(&mut self, now: Instant) {
        let due: Vec<Late> = self.late.extract_if(.., |late| late.at <= now).collect();
        for late in due {
            // The outcome of a late order reaches no one.
            let _word = self.take(late.rank, late.order, now);
        }
    }

    /// Withholds responses to orders to `rank` until `deadline`; most of these orders are carried out later.
    pub(crate) fn leave_unanswered(&mut self, rank: usize, until: Instant) {
        self.ranks[rank].late_until = Some(until);
    }

    /// Restarts the engine of `rank`, which loses all state; the group forms again.
    pub(crate) fn restart(&mut self, rank: usize, now: Instant) {
        self.epoch += 1;
        self.opens = now + FORM;
        let ranks = self.ranks.len();
        self.ranks.iter_mut().for_each(|rank| rank.form(ranks));
        let born_ms = self.ranks[rank].born_ms + 1_000;
        self.ranks[rank] = Rank::new(ranks, born_ms);
        self.counts.fill(0);
    }

    /// Moves the demand to another expert.
    pub(crate) fn shift(&mut self) {
        self.hot = (self.hot + STEP) % EXPERTS;
    }

    /// Returns the report of `rank`.
    pub fn report(&self, rank: usize, now: Instant) -> Report {
        let known = &self.ranks[rank];
        Report {
            born_ms: known.born_ms,
            epoch: self.epoch,
            open: now >= self.opens,
            size: self.ranks.len(),
            step: self.step,
            map: known.map.version,
            prepared: known.copied(now),
            armed: known.armed,
            held: known.held,
        }
    }

    /// Expert selection counts, one set after the other.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    /// Experts of `rank`, by set.
    pub fn experts(&self, rank: usize) -> Vec<&[u16]> {
        let lists = self.ranks[rank].map.lists.iter();
        lists.map(|set| set[rank].as_slice()).collect()
    }

    /// Whether a map switch is in progress at a rank.
    pub(crate) fn is_changing(&self) -> bool {
        self.ranks
            .iter()
            .any(|rank| rank.armed.is_some() || rank.held.is_some())
    }

    /// Number of map switches that all ranks made in the same pass.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Descriptions of the first passes that began with differing maps.
    pub(crate) fn mixed(&self) -> &[String] {
        &self.mixed
    }
}

/// Deals the experts to the ranks in turn.
fn first_map(ranks: usize) -> Lists {
    let of_rank = |rank: usize| {
        let experts = (0..EXPERTS as u16).filter(|expert| usize::from(*expert) % ranks.max(1) == rank);
        experts.collect()
    };
    vec![(0..ranks).map(of_rank).collect(); SETS]
}
