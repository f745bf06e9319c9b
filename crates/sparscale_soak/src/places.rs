//! Addresses, routes, sizes and times of a round.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::platform::{Route, RouteKind};

/// Number of processes and stubs in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Size {
    pub(crate) entries: usize,
    pub(crate) targets: usize,
    /// Ranks of the group of engines, each with an agent; zero in rounds without a group.
    pub(crate) ranks: usize,
}

impl Size {
    /// Number of processes: entries and agents.
    pub(crate) fn processes(self) -> usize {
        self.entries + self.ranks
    }

    /// Process index of the agent beside `rank`.
    pub(crate) fn agent(self, rank: usize) -> usize {
        self.entries + rank
    }
}

/// Default size of a round.
pub(crate) const USUAL: Size = Size {
    entries: 3,
    targets: 4,
    ranks: 0,
};
/// Ranks in rounds with a group.
pub(crate) const RANKS: usize = 4;
/// Most processes, and most targets, that the address layout allows.
pub(crate) const MOST: usize = 60;
/// Keys at the start; the first is never revoked, and most last for the whole round.
pub(crate) const KEYS: usize = 12;
/// Further keys that callers use from the start and that may be granted during a round.
pub(crate) const LATER_KEYS: usize = 3;
/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Service of all targets.
pub(crate) const SERVICE: &str = "soak";
/// Service of the group of engines.
pub(crate) const MODEL: &str = "model";
/// Name of the group of engines.
pub const GROUP: &str = "model-0";
pub(crate) const EVENTS: u64 = 12;
/// Body of a request that crashes every target that runs it.
pub(crate) const DEADLY: &str = "crashes what runs it";
/// Rate limit of a rate-limited target, in requests per second.
pub(crate) const RATE: f64 = 1.0;
/// Backoff that a target requests.
pub(crate) const REST: Duration = Duration::from_secs(3);
/// Time that a caller waits, which it also announces to the entry.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

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
/// Port for links between entries.
pub(crate) const PEER_PORT: u16 = 7_520;
const STORE_PORT: u16 = 8_600;
const TARGET_PORT: u16 = 8_080;

/// First host numbers of entries and agents, of their proxies to the store, and of targets as registered and as bound.
const ENTRY_HOST: usize = 10;
const STORE_HOST: usize = ENTRY_HOST + MOST;
const LISTED_HOST: usize = STORE_HOST + MOST;
const TARGET_HOST: usize = LISTED_HOST + MOST;

/// The loopback network of one round, so that concurrent rounds don't share addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Net {
    high: u8,
    low: u8,
}

impl Net {
    /// Selects the network for this process and round.
    pub(crate) fn of(process: u32, round: u64) -> Self {
        Self {
            // 127.0 is left to other programs.
            high: (process % 250) as u8 + 1,
            low: ((u64::from(process / 250) + round) % 250) as u8 + 1,
        }
    }

    fn ip(self, host: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, host as u8))
    }

    /// Address of process `index`.
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

    /// The engine beside the agent with process index `index`.
    pub(crate) fn engine(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machine(index), TARGET_PORT)
    }

    pub(crate) fn store(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), STORE_PORT)
    }

    /// Proxy through which process `index` reaches the store.
    pub(crate) fn store_for(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(STORE_HOST + index), STORE_PORT)
    }

    /// Registered address of target `index`, where its proxy listens.
    pub(crate) fn listed(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(LISTED_HOST + index), TARGET_PORT)
    }

    /// Address that target `index` binds.
    pub(crate) fn target(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(TARGET_HOST + index), TARGET_PORT)
    }
}
