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

/// One incarnation of one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Name of this incarnation, never used twice.
    pub id: String,
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

    /// A roster of targets, each with the place in the platform's list at which it showed up. Of several at one address only
    /// the last is there: a target that lost power has an entry until it lapses, and what is sent to it meets its successor.
    pub fn of_latest(targets: Vec<(Target, u64)>) -> Self {
        let mut latest: HashMap<SocketAddr, (Target, u64)> = HashMap::with_capacity(targets.len());
        for (target, since) in targets {
            let later = latest.get(&target.address).is_none_or(|(_, known)| *known < since);
            if later {
                latest.insert(target.address, (target, since));
            }
        }
        Self::new(latest.into_values().map(|(target, _)| target).collect())
    }

    /// A digest of all of it: processes tell each other by it whether they have the same roster. Programs of different
    /// builds may differ in it; they then send more than they need to.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The target with this id.
    pub fn find(&self, id: &str) -> Option<&Target> {
        let index = self
            .targets
            .binary_search_by(|target| target.id.as_str().cmp(id))
            .ok()?;
        self.targets.get(index)
    }

    /// The rank `rank` of the group called `group`.
    pub fn rank(&self, group: &str, rank: usize) -> Option<&Target> {
        let is_it = |place: &Membership| place.group == group && place.rank == rank;
        self.targets
            .iter()
            .find(|target| target.membership.as_ref().is_some_and(is_it))
    }

    /// Targets of one service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets.iter().filter(move |target| target.service == service)
    }
}
