//! The interface to a platform: settings files, wire formats and header names, which the soak itself doesn't know.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use sparscale_gateway::HeaderNames;

use crate::group::Group;
use crate::records::{Record, Records};

/// Limits that the system must keep, for settings files and for the checks.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time after the acknowledgement of a revocation from which the key runs nowhere.
    pub revocation_timeout: Duration,
    /// Time after which a draining target gets no new requests.
    pub drain_timeout: Duration,
    /// Time within which a new configuration is active.
    pub apply_timeout: Duration,
    /// Time that an entry has to terminate after SIGTERM.
    pub shutdown_timeout: Duration,
    /// Retries allowed per request.
    pub budget_ratio: f64,
    /// Retries allowed in each window regardless of the number of requests.
    pub budget_slack: f64,
    /// Window of the retry budget.
    pub budget_window: Duration,
}

/// Limits of most rounds. The times are the required ones; the retry budget is far below the required one, so that the
/// few requests of a round can exceed it.
pub const BOUNDS: Bounds = Bounds {
    revocation_timeout: Duration::from_secs(5),
    drain_timeout: Duration::from_secs(2),
    apply_timeout: Duration::from_secs(2),
    shutdown_timeout: Duration::from_secs(8),
    budget_ratio: 0.02,
    budget_slack: 3.0,
    budget_window: Duration::from_secs(10),
};

/// Limits for rounds with series of restarts: the slack covers the share of each restarted process.
pub(crate) const SERIES_BOUNDS: Bounds = Bounds {
    budget_slack: 12.0,
    ..BOUNDS
};

/// Addresses and limits for the settings file of one entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Name of the entry.
    pub name: String,
    /// Address of the entry; all entries use the same ports.
    pub address: IpAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Port for links to other processes of the system.
    pub peer_port: u16,
    /// Peer addresses of other entries.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Limits that the entry must keep.
    pub bounds: Bounds,
}

/// Addresses for the settings file of one agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Name of the agent.
    pub name: String,
    /// Address of the agent; all agents use the same ports.
    pub address: IpAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Port for links to other processes of the system.
    pub peer_port: u16,
    /// Peer addresses of entries.
    pub seeds: Vec<SocketAddr>,
    /// The engine beside the agent.
    pub engine_address: SocketAddr,
    /// Service of that engine.
    pub service: &'static str,
    /// Address of the store.
    pub store_address: SocketAddr,
}

/// How requests of a route may be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once.
    Once,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another target may resume.
    Resumable,
}

/// A route of the soak; all routes lead to one service.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Name of the route.
    pub name: &'static str,
    /// Prefix of the paths that it matches.
    pub prefix: &'static str,
    /// How its requests may be handled.
    pub kind: RouteKind,
}

/// A configuration of the system.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: u64,
    /// Host of all routes.
    pub host: &'static str,
    /// Service of all routes.
    pub service: &'static str,
    /// The routes.
    pub routes: &'static [Route],
    /// Active keys; each belongs to a workspace of the same name.
    pub keys: Vec<String>,
    /// Service whose engines form a group, if there is one; no route leads to it.
    pub group_service: Option<&'static str>,
}

/// Membership of an engine in its group.
#[derive(Debug, Clone, Copy)]
pub struct Membership {
    /// Name of the group.
    pub group: &'static str,
    /// Epoch of the group.
    pub epoch: u64,
    /// Index of the rank.
    pub rank_index: usize,
    /// Number of ranks in the group.
    pub rank_count: usize,
}

/// Registration of a target in the store's list.
#[derive(Debug, Clone)]
pub struct Registration {
    /// Incarnation of the target.
    pub id: String,
    /// Service of the target.
    pub service: &'static str,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// When the current start of the target began, in milliseconds.
    pub born_ms: u64,
    /// Membership in a group, if the target has one.
    pub membership: Option<Membership>,
}

/// A platform's settings files and wire formats.
pub trait Platform: Send + Sync {
    /// Name of the entry program, built beside the soak.
    fn entry_program(&self) -> &'static str;

    /// Name of the agent program.
    fn agent_program(&self) -> &'static str;

    /// Contents of an agent's settings file.
    fn agent_settings(&self, agent: &AgentConfig) -> String;

    /// The rank whose agent was the last to claim the lead of the group, if any did.
    fn leader(&self, records: &Records) -> Option<usize>;

    /// Response of an engine of the group to a call; none if the engine leaves the call unanswered.
    fn handle_engine_call(
        &self,
        call: &Request<Bytes>,
        rank: usize,
        group: &mut Group,
    ) -> Option<Response<Full<Bytes>>>;

    /// Contents of an entry's settings file.
    fn entry_settings(&self, entry: &EntryConfig) -> String;

    /// Header names of the platform.
    fn header_names(&self) -> HeaderNames;

    /// Encodes a configuration as a record.
    fn encode_configuration(&self, configuration: &Configuration) -> Record;

    /// Encodes the registration of a target as a record.
    fn encode_registration(&self, registration: &Registration) -> Record;

    /// Records of another writer in the list of targets, each under its own key, that name no usable target or copy
    /// `registration`.
    fn foreign_records(&self, registration: &Registration) -> Vec<Record>;

    /// Whether the system itself writes `topic`.
    fn is_system_topic(&self, topic: &str) -> bool;

    /// Adds to a response of the store how often the store was restored from an older snapshot.
    fn add_era(&self, response: &mut Response<Full<Bytes>>, era: u64);

    /// Response of the store to a call, given its `records`, to which the call may add.
    fn handle_store_call(&self, call: &Request<Bytes>, records: &mut Records) -> Response<Full<Bytes>>;
}
