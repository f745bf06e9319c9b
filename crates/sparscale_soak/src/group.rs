//! A stand-in of a group of engines: ranks that begin passes together, each with the map that it was ordered to use.
//!
//! Ranks don't compare maps, as the platform's don't; this does, at each pass. That all ranks begin a pass with the same map,
//! by its content and not its version alone, hangs on the fences and on the conductors.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sets of a model, its experts, places for them at a rank, and how many may be copied ahead.
pub const SETS: usize = 2;
/// Experts of each set.
pub const EXPERTS: usize = 24;
/// Experts that a rank has room for in a set.
pub const PLACES: usize = 9;
/// Experts of a set that may be new in a map.
pub const SPARE: usize = 3;

/// Time that a rank takes to copy what is new in a map.
const COPY: Duration = Duration::from_millis(15);
/// Time that a group takes to form anew.
const FORM: Duration = Duration::from_millis(300);
/// Picks of the expert in demand and of each other one in a pass.
const HOT_PICKS: u64 = 400;
const OTHER_PICKS: u64 = 20;
/// Experts that demand moves on by.
const STEP: usize = 7;
/// Broken passes that are kept.
const KEPT: usize = 8;
/// When the first starts began.
const BORN_MS: u64 = 1_750_000_000_000;

/// By set and rank, the experts.
pub type Lists = Vec<Vec<Vec<u16>>>;

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number of its giver.
    pub fence: u64,
    /// Epoch of the group that it is for.
    pub epoch: u64,
    /// What is to be done.
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
    /// Take a prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Do not take it.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not let the group begin a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Let it.
    Go {
        /// The pass.
        step: u64,
    },
}

/// What a rank says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ack {
    /// Done, or it was so already.
    Done,
    /// It does not fit.
    Unfit,
    /// A higher fence was seen.
    Fenced,
    /// Nothing; it may be done later.
    Lost,
}

/// A map that a rank holds.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Map {
    version: u64,
    lists: Arc<Lists>,
}

/// What one rank knows.
#[derive(Debug, Clone)]
struct Rank {
    map: Map,
    prepared: Option<(Map, Instant)>,
    /// Highest version that it was told to prepare.
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
    born_ms: u64,
    /// Until when orders stay unanswered.
    late_until: Option<Instant>,
}

/// What a rank reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When its start began, in milliseconds.
    pub born_ms: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Whether the group serves.
    pub open: bool,
    /// Ranks of the group.
    pub size: usize,
    /// Last pass begun.
    pub step: u64,
    /// Version in use.
    pub map: u64,
    /// Version that is copied.
    pub prepared: Option<u64>,
    /// Version and pass of the change that is armed.
    pub armed: Option<(u64, u64)>,
    /// Pass that may not begin because of this rank.
    pub held: Option<u64>,
}

/// An order that was taken and left unanswered.
#[derive(Debug)]
struct Late {
    at: Instant,
    rank: usize,
    order: Order,
}

/// The group.
#[derive(Debug)]
pub struct Group {
    step: u64,
    epoch: u64,
    opens: Instant,
    ranks: Vec<Rank>,
    hot: usize,
    counts: Vec<u64>,
    /// Orders that were left unanswered so far, and those of them that are still to be done.
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

    /// The group formed anew: maps and what was ordered are forgotten, the fence is not.
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

    /// Whether a map names the same sets, and no set of it has more that is new than there is room for.
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
    /// A group of `ranks` ranks with the map that every group starts with.
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

    /// Begins the next pass, if it may begin, after what was left for later is done.
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

    /// Takes an order to `rank`.
    pub fn order(&mut self, rank: usize, order: Order, now: Instant) -> Ack {
        if self.ranks[rank].late_until.is_some_and(|until| now < until) {
            self.unanswered += 1;
            // Some are never done, the others after those that follow.
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
            // Nobody hears what it says.
            let _word = self.take(late.rank, late.order, now);
        }
    }

    /// Orders to `rank` stay unanswered until `until`; most of them are done later.
    pub(crate) fn leave_unanswered(&mut self, rank: usize, until: Instant) {
        self.ranks[rank].late_until = Some(until);
    }

    /// The engine of `rank` starts again: it has forgotten everything, and the group forms anew.
    pub(crate) fn restart(&mut self, rank: usize, now: Instant) {
        self.epoch += 1;
        self.opens = now + FORM;
        let ranks = self.ranks.len();
        self.ranks.iter_mut().for_each(|rank| rank.form(ranks));
        let born_ms = self.ranks[rank].born_ms + 1_000;
        self.ranks[rank] = Rank::new(ranks, born_ms);
        self.counts.fill(0);
    }

    /// Demand moves to another expert.
    pub(crate) fn shift(&mut self) {
        self.hot = (self.hot + STEP) % EXPERTS;
    }

    /// What `rank` reports.
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

    /// How often each expert was picked, set after set.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    /// Experts of `rank` by set.
    pub fn experts(&self, rank: usize) -> Vec<&[u16]> {
        let lists = self.ranks[rank].map.lists.iter();
        lists.map(|set| set[rank].as_slice()).collect()
    }

    /// Whether ranks wait for a change of map: a bad moment to lose its conductor.
    pub(crate) fn is_changing(&self) -> bool {
        self.ranks
            .iter()
            .any(|rank| rank.armed.is_some() || rank.held.is_some())
    }

    /// Changes of map that all ranks took in one pass.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Passes that began with more than one map; the first ones only.
    pub(crate) fn mixed(&self) -> &[String] {
        &self.mixed
    }
}

/// Experts dealt in turn.
fn first_map(ranks: usize) -> Lists {
    let of_rank = |rank: usize| {
        let experts = (0..EXPERTS as u16).filter(|expert| usize::from(*expert) % ranks.max(1) == rank);
        experts.collect()
    };
    vec![(0..ranks).map(of_rank).collect(); SETS]
}
