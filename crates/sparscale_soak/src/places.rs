//! Addresses, routes and spans of the soak.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::platform::{Route, RouteKind};

/// How much runs in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Size {
    pub(crate) entries: usize,
    pub(crate) targets: usize,
    /// Ranks of the group of engines, each with an agent; none in rounds without a group.
    pub(crate) ranks: usize,
}

impl Size {
    /// Processes of the system.
    pub(crate) fn processes(self) -> usize {
        self.entries + self.ranks
    }

    /// Number among the processes of the agent beside `rank`.
    pub(crate) fn agent(self, rank: usize) -> usize {
        self.entries + rank
    }
}

/// Usual size of a round.
pub(crate) const USUAL: Size = Size {
    entries: 3,
    targets: 4,
    ranks: 0,
};
/// Ranks of the group in rounds with one.
pub(crate) const RANKS: usize = 4;
/// Most processes, and most targets, that have addresses.
pub(crate) const MOST: usize = 60;
/// Keys at the start; one is never taken away, and most outlast a round.
pub(crate) const KEYS: usize = 12;
/// Further keys, which callers use from the start and which come into force during a round, if they do.
pub(crate) const LATER_KEYS: usize = 3;
/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Service of all targets.
pub(crate) const SERVICE: &str = "soak";
/// Service of the group of engines.
pub(crate) const MODEL: &str = "model";
/// Name of that group.
pub const GROUP: &str = "model-0";
/// Events of a stream.
pub(crate) const EVENTS: u64 = 12;
/// Body of a request that ends each target which runs it.
pub(crate) const DEADLY: &str = "crashes what runs it";
/// Requests a second that a target takes which limits them.
pub(crate) const RATE: f64 = 1.0;
/// Rest that a tired target asks for.
pub(crate) const REST: Duration = Duration::from_secs(3);
/// Time that a caller waits, also told to the entry.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

/// The routes.
pub(crate) const ROUTES: [Route; 4] = [
    Route {
        name: "calc",
        prefix: "/calc/",
        kind: RouteKind::Repeatable,
    },
    Route {
        name: "once",
        prefix: "/once/",
        kind: RouteKind::Once,
    },
    Route {
        name: "stream",
        prefix: "/stream/",
        kind: RouteKind::Stream,
    },
    Route {
        name: "resume",
        prefix: "/resume/",
        kind: RouteKind::Resumable,
    },
];

const CALLERS_PORT: u16 = 8_000;
const READY_PORT: u16 = 8_001;
const METRICS_PORT: u16 = 9_464;
/// Port at which entries talk to each other.
pub(crate) const PEER_PORT: u16 = 7_520;
const STORE_PORT: u16 = 8_600;
const TARGET_PORT: u16 = 8_080;

/// First host number of the entries and agents, of their ways to the store, of targets as they are listed and as they listen.
const ENTRY_HOST: usize = 10;
const STORE_HOST: usize = ENTRY_HOST + MOST;
const LISTED_HOST: usize = STORE_HOST + MOST;
const TARGET_HOST: usize = LISTED_HOST + MOST;

/// The part of loopback that one round uses, so that rounds beside each other do not meet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Net {
    high: u8,
    low: u8,
}

impl Net {
    /// A part for this process and round.
    pub(crate) fn of(process: u32, round: u64) -> Self {
        Self {
            // 127.0 is left to everybody else.
            high: (process % 250) as u8 + 1,
            low: ((u64::from(process / 250) + round) % 250) as u8 + 1,
        }
    }

    fn ip(self, host: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, host as u8))
    }

    /// Address of the machine of process `index`.
    pub(crate) fn machine(self, index: usize) -> IpAddr {
        self.ip(ENTRY_HOST + index)
    }

    pub(crate) fn callers(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machine(index), CALLERS_PORT)
    }

    pub(crate) fn ready(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machine(index), READY_PORT)
    }

    pub(crate) fn metrics(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machine(index), METRICS_PORT)
    }

    pub(crate) fn peer(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machine(index), PEER_PORT)
    }

    /// The engine on the machine of agent `index`.
    pub(crate) fn engine(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machine(index), TARGET_PORT)
    }

    /// The store itself.
    pub(crate) fn store(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), STORE_PORT)
    }

    /// Where process `index` reaches the store.
    pub(crate) fn store_for(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(STORE_HOST + index), STORE_PORT)
    }

    /// Where target `index` is listed.
    pub(crate) fn listed(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(LISTED_HOST + index), TARGET_PORT)
    }

    /// Where target `index` listens.
    pub(crate) fn target(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(TARGET_HOST + index), TARGET_PORT)
    }
}
