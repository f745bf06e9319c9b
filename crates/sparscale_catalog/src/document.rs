//! The catalog as plain data, not yet checked.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sparscale_bundle::KeyHash;

use crate::engine::Engine;

/// A whole catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version; versions only rise, by uneven steps.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What stands behind the routes.
    pub services: Vec<Service>,
    /// Customers. With none, requests need no key.
    pub workspaces: Vec<Workspace>,
    /// Bounds of what callers may send.
    pub limits: Limits,
}

/// What may be done with a request of a route, and what its answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    Once,
    /// It is answered by a stream of events.
    Stream {
        /// Whether a run elsewhere may go on after the last event that the caller has.
        resumable: bool,
        /// Longest pause between two events at which the answer is still in time.
        longest_pause: Option<Duration>,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::Once => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Part, relative to the other shares of the route.
    pub weight: u32,
}

/// One route: the requests of one host below one path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends; the longest that fits wins.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: Kind,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Latency objective: time up to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Tier of its requests, 0 for the highest, where the workspace has none of its own.
    pub tier: u8,
    /// Services that take its requests.
    pub shares: Vec<Share>,
    /// Targets to which one request may be sent at most.
    pub attempts: u32,
    /// Whether it is open without a key.
    pub public: bool,
}

/// Servers of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// How its targets compute, for model engines.
    pub engine: Option<Engine>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Tier of its requests; it goes before the route's.
    pub tier: Option<u8>,
    /// Hashes of the keys that its callers may send.
    pub key_hashes: Vec<KeyHash>,
}

/// Bounds of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that the head of a request may take to arrive.
    pub header_time: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// What holds before a catalog is known: small enough to be safe, large enough for usual callers.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
