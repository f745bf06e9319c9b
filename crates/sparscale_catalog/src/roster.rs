//! The targets that are there now.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// A target's place in a group of ranks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: String,
    /// Its rank, from 0.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Whether the group runs, as the target knew it when it last wrote.
    pub open: bool,
}

/// One target, as its entry in the platform's list says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Its id. A target that starts again may have it again, so it names no start: see [`crate::Incarnation`].
    pub id: String,
    /// When its present start began, in milliseconds since 1970 by its own clock; none where targets do not tell.
    pub born_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: String,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Hall that it stands in.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Its place in a group of ranks, if it has one.
    pub membership: Option<Membership>,
    /// Whether another entry of its service named its address later. It may be a target that lost power, whose entry
    /// has not lapsed yet; or the later entry may be of another writer, and this is the target that is there.
    pub superseded: bool,
}

impl Target {
    /// Sixteen bits that tell its present start from others of the same target, as far as that can be told from so few: loads
    /// carry them. 0 where targets do not tell when they began.
    pub fn start_mark(&self) -> u16 {
        start_mark(self.born_ms)
    }
}

/// The mark of a start that began at `born_ms`: never 0, which stands for one that does not tell.
pub fn start_mark(born_ms: Option<u64>) -> u16 {
    let Some(born_ms) = born_ms else { return 0 };
    // Starts of one target are further apart than a millisecond and hardly ever a multiple of 65 seconds to the millisecond.
    u16::try_from(born_ms % u64::from(u16::MAX)).map_or(1, |mark| mark + 1)
}

/// All targets, as one reading of the platform's list gave them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Target>", into = "Vec<Target>")]
pub struct Roster {
    /// Targets, ordered by id.
    pub targets: Vec<Target>,
    digest: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl From<Vec<Target>> for Roster {
    fn from(targets: Vec<Target>) -> Self {
        Self::new(targets)
    }
}

impl From<Roster> for Vec<Target> {
    fn from(roster: Roster) -> Self {
        roster.targets
    }
}

impl Roster {
    /// A roster of `targets`, put into order.
    pub fn new(mut targets: Vec<Target>) -> Self {
        targets.sort_by(|left, right| left.id.cmp(&right.id));
        let mut hasher = DefaultHasher::new();
        targets.hash(&mut hasher);
        let digest = hasher.finish();
        Self { targets, digest }
    }

    /// A roster of targets, each with the place in the platform's list at which its start showed up. Of several at one
    /// address all but the last are marked: a target that lost power has an entry until it lapses, and what is sent to it
    /// meets its successor. None is left out, as the last one may be of another writer.
    pub fn of_latest<P: Copy + Default + Ord>(listed: Vec<(Target, P)>) -> Self {
        let mut latest: HashMap<(SocketAddr, String), P> = HashMap::with_capacity(listed.len());
        for (target, since) in &listed {
            let last = latest.entry((target.address, target.service.clone())).or_default();
            *last = (*last).max(*since);
        }
        let mark = |(target, since): (Target, P)| Target {
            superseded: latest
                .get(&(target.address, target.service.clone()))
                .is_some_and(|last| since < *last),
            ..target
        };
        Self::new(listed.into_iter().map(mark).collect())
    }

    /// A digest of all of it: processes tell each other by it whether they have the same roster. Programs of different
    /// builds may differ in it; they then send more than they need to.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
