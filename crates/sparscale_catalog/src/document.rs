//! The catalog as plain data, before validation.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sparscale_bundle::KeyHash;

use crate::cold;
use crate::engine::EngineProfile;

/// A whole catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the catalog; versions increase, but not always by 1.
    pub version: u64,
    /// Routes from hosts and paths to services.
    pub routes: Vec<Route>,
    /// Services that the routes lead to.
    pub services: Vec<Service>,
    /// Customers; without any, requests need no key.
    pub workspaces: Vec<Workspace>,
    /// Limits on requests of callers.
    pub limits: Limits,
}

/// Whether requests of a route may be retried, and whether the response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// A request may run more than once.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// A request runs at most once.
    #[serde(rename = "Once")]
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another target may continue the stream after the last event that the caller received.
        resumable: bool,
        /// Longest pause between two events with which the stream is still on time.
        #[serde(rename = "longest_pause")]
        max_pause: Option<Duration>,
    },
}

impl RequestKind {
    /// Whether a request may run more than once.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's requests that one service receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// One route: the requests of one host below one path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host to which callers address the requests.
    pub host: String,
    /// Path prefix, with a slash at both ends; the longest matching prefix applies.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Time within which a request has to be completed.
    pub timeout: Duration,
    /// Latency objective: time until the response, or until the first event of a stream.
    #[serde(rename = "objective")]
    pub latency_objective: Duration,
    /// Tier of its requests, 0 for the highest; used if the workspace has none of its own.
    pub tier: u8,
    /// Services that receive its requests.
    pub shares: Vec<Share>,
    /// Most targets to which one request is sent.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[serde(rename = "public")]
    pub is_public: bool,
}

/// A service: all targets of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Most connections that one target accepts from all senders together.
    pub max_connections: u32,
    /// Performance model of its targets; none if they are not model engines.
    pub engine: Option<EngineProfile>,
    /// How its targets start; none if they handle their full load at once.
    pub cold_start: Option<cold::Start>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Tier of its requests; it takes precedence over the tier of the route.
    pub tier: Option<u8>,
    /// Hashes of the API keys of its callers.
    pub key_hashes: Vec<KeyHash>,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest header section of a request, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time within which the header section of a request has to arrive.
    #[serde(rename = "header_time")]
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle between two requests.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply before a catalog is known: small enough to be safe, large enough for typical callers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
