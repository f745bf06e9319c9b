//! Addresses, routes, sizes and times of a round.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::platform::{Route, RouteKind};

/// Number of processes and stubs in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Size {
    /// Number of entries.
    pub(crate) entries: usize,
    /// Number of stub targets.
    pub(crate) targets: usize,
    /// Number of ranks of the group of engines, each with an agent; zero in rounds without a group.
    pub(crate) ranks: usize,
}

impl Size {
    /// Number of processes: entries and agents.
    pub(crate) fn process_count(self) -> usize {
        self.entries + self.ranks
    }

    /// Process index of the agent beside `rank`.
    pub(crate) fn agent_index(self, rank: usize) -> usize {
        self.entries + rank
    }
}

/// Default size of a round.
pub(crate) const DEFAULT_SIZE: Size = Size {
    entries: 3,
    targets: 4,
    ranks: 0,
};
/// Ranks in rounds with a group.
pub(crate) const GROUP_RANK_COUNT: usize = 4;
/// Most processes, and most targets, that the address layout allows.
pub(crate) const MAX_HOSTS_PER_KIND: usize = 60;
/// Keys at the start; the first is never revoked, and most last for the whole round.
pub(crate) const INITIAL_KEY_COUNT: usize = 12;
/// Further keys that callers use from the start and that may be granted during a round.
pub(crate) const LATER_KEY_COUNT: usize = 3;
/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Service of all targets.
pub(crate) const SERVICE: &str = "soak";
/// Service of the group of engines.
pub(crate) const GROUP_SERVICE: &str = "model";
/// Name of the group of engines.
pub const GROUP_NAME: &str = "model-0";
pub(crate) const EVENTS_PER_STREAM: u64 = 12;
/// Body of a request that crashes every target that runs it.
pub(crate) const CRASH_BODY: &str = "crashes what runs it";
/// Parts of prompts that begin so crash every target that runs a request with them.
pub(crate) const CRASHING_PART_PREFIX: &str = "bad";
/// Rate limit of a rate-limited target, in requests per second.
pub(crate) const RATE_LIMIT_PER_SEC: f64 = 1.0;
/// Backoff that a target requests.
pub(crate) const BACKOFF: Duration = Duration::from_secs(3);
/// Time that a caller waits, which it also announces to the entry.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

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

const CALLER_PORT: u16 = 8_000;
const READY_PORT: u16 = 8_001;
const METRICS_PORT: u16 = 9_464;
/// Port for links between entries.
pub(crate) const PEER_PORT: u16 = 7_520;
const STORE_PORT: u16 = 8_600;
const TARGET_PORT: u16 = 8_080;

/// First host numbers of entries and agents, of their proxies to the store, and of targets as registered and as bound.
const ENTRY_HOST: usize = 10;
const STORE_PROXY_HOST: usize = ENTRY_HOST + MAX_HOSTS_PER_KIND;
const TARGET_PROXY_HOST: usize = STORE_PROXY_HOST + MAX_HOSTS_PER_KIND;
const TARGET_HOST: usize = TARGET_PROXY_HOST + MAX_HOSTS_PER_KIND;

/// The loopback network of one round, so that concurrent rounds don't share addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Net {
    second_octet: u8,
    third_octet: u8,
}

impl Net {
    /// Selects the network for this process and round.
    pub(crate) fn new(process: u32, round: u64) -> Self {
        Self {
            // 127.0 is left to other programs.
            second_octet: (process % 250) as u8 + 1,
            third_octet: ((u64::from(process / 250) + round) % 250) as u8 + 1,
        }
    }

    fn ip(self, host: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, host as u8))
    }

    /// Address of process `index`.
    pub(crate) fn process_ip(self, index: usize) -> IpAddr {
        self.ip(ENTRY_HOST + index)
    }

    pub(crate) fn caller_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.process_ip(index), CALLER_PORT)
    }

    pub(crate) fn ready_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.process_ip(index), READY_PORT)
    }

    pub(crate) fn metrics_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.process_ip(index), METRICS_PORT)
    }

    pub(crate) fn peer_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.process_ip(index), PEER_PORT)
    }

    /// The engine beside the agent with process index `index`.
    pub(crate) fn engine_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.process_ip(index), TARGET_PORT)
    }

    pub(crate) fn store_address(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), STORE_PORT)
    }

    /// Proxy through which process `index` reaches the store.
    pub(crate) fn store_proxy_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(STORE_PROXY_HOST + index), STORE_PORT)
    }

    /// Registered address of target `index`, where its proxy listens.
    pub(crate) fn target_proxy_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(TARGET_PROXY_HOST + index), TARGET_PORT)
    }

    /// Address that target `index` binds.
    pub(crate) fn target_address(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(TARGET_HOST + index), TARGET_PORT)
    }
}
