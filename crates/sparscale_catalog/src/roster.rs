//! The list of current targets.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::evacuation::Evacuations;

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetStatus {
    /// It accepts new requests.
    Ready,
    /// It drains: it completes its requests in flight and then terminates.
    #[serde(rename = "Leaving")]
    Draining,
    /// It accepts no new requests while the operators evacuate its hall.
    Evacuated,
}

/// The membership of a target in a group of ranks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: String,
    /// Rank of the target, from 0.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Whether the group serves requests, as last reported by the target.
    #[serde(rename = "open")]
    pub is_open: bool,
}

/// One target, as its registration in the platform's list describes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Id of the target. A target may restart under the same id, so it does not identify a start: see
    /// [`crate::Incarnation`].
    pub id: String,
    /// Time of the current start, in milliseconds since 1970 by the target's own clock; none if targets do not report
    /// it.
    pub born_ms: Option<u64>,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address at which it serves HTTP.
    pub address: SocketAddr,
    /// Hall of the target's box.
    pub hall: String,
    /// Most requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    #[serde(rename = "standing")]
    pub status: TargetStatus,
    /// Whether it says that it is still cold after its start or after its hall was empty.
    pub is_cold: bool,
    /// Membership in a group of ranks, if it has one.
    pub membership: Option<Membership>,
    /// Whether a later registration of the same service has the same address. Either this target lost power and its
    /// registration has not expired yet, or the later registration is from another writer and this target still runs.
    #[serde(rename = "superseded")]
    pub is_superseded: bool,
}

impl Target {
    /// A 16-bit mark that load reports carry to distinguish the current start of the target from its other starts. 0 if
    /// targets do not report when they started.
    pub fn start_mark(&self) -> u16 {
        start_mark(self.born_ms)
    }
}

/// Computes the mark of a start at `born_ms`; 0 only for a target that does not report when it started.
pub fn start_mark(born_ms: Option<u64>) -> u16 {
    let Some(born_ms) = born_ms else { return 0 };
    // Two starts of one target share a mark only if they are a multiple of 65.535 seconds apart to the millisecond,
    // which is rare.
    u16::try_from(born_ms % u64::from(u16::MAX)).map_or(1, |mark| mark + 1)
}

/// All targets, as read from the platform's list at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Target>", into = "Vec<Target>")]
pub struct Roster {
    /// Targets, sorted by id.
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
    /// Creates a roster of `targets`, which it sorts by id.
    pub fn new(mut targets: Vec<Target>) -> Self {
        targets.sort_by(|left, right| left.id.cmp(&right.id));
        let mut hasher = DefaultHasher::new();
        targets.hash(&mut hasher);
        let digest = hasher.finish();
        Self { targets, digest }
    }

    /// Creates a roster of targets, each with the position in the platform's list at which its start first appeared.
    ///
    /// Of several targets of one service at one address all but the latest are marked as superseded: a target that lost
    /// power stays registered until its registration expires, and requests to its address reach the successor. None is
    /// removed, because the latest registration may be from another writer.
    pub fn with_superseded_marked<P: Copy + Default + Ord>(listed: Vec<(Target, P)>) -> Self {
        let mut latest: HashMap<(SocketAddr, String), P> = HashMap::with_capacity(listed.len());
        for (target, first_position) in &listed {
            let latest_position = latest.entry((target.address, target.service.clone())).or_default();
            *latest_position = (*latest_position).max(*first_position);
        }
        let mark = |(target, first_position): (Target, P)| Target {
            is_superseded: latest
                .get(&(target.address, target.service.clone()))
                .is_some_and(|latest_position| first_position < *latest_position),
            ..target
        };
        Self::new(listed.into_iter().map(mark).collect())
    }

    /// The roster with the targets in evacuated halls marked, so that they get no new requests.
    #[must_use]
    pub fn with_evacuated(&self, evacuations: &Evacuations) -> Self {
        let mark = |target: &Target| {
            let is_evacuated = target.status == TargetStatus::Ready && evacuations.contains(&target.hall);
            Target {
                status: if is_evacuated {
                    TargetStatus::Evacuated
                } else {
                    target.status
                },
                ..target.clone()
            }
        };
        Self::new(self.targets.iter().map(mark).collect())
    }

    /// A digest of the roster, by which processes detect whether they have the same one. Different builds may compute
    /// different digests of the same roster; they then exchange it more often than necessary.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
