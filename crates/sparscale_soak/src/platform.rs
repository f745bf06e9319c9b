//! What the soak asks of a platform, whose wire it does not know.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use sparscale_gateway::Dialect;

use crate::group::Group;
use crate::records::{Record, Records};

/// What the platform holds the system to, for settings files and for the checks.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time after the acknowledgement of a revocation after which the key runs nowhere.
    pub revoked: Duration,
    /// Time after which a leaving target gets nothing new.
    pub left: Duration,
    /// Time in which a new configuration is in force.
    pub applied: Duration,
    /// Time that an entry has to end after it was asked to.
    pub grace: Duration,
    /// Further sends for each request.
    pub budget_ratio: f64,
    /// Further sends in any case, in each window.
    pub budget_slack: f64,
    /// The window of that budget.
    pub budget_window: Duration,
}

/// Times are those of both of the users' sheets. The budget is far below theirs, so that the few requests of a round
/// can exceed it.
pub const BOUNDS: Bounds = Bounds {
    revoked: Duration::from_secs(5),
    left: Duration::from_secs(2),
    applied: Duration::from_secs(2),
    grace: Duration::from_secs(8),
    budget_ratio: 0.02,
    budget_slack: 3.0,
    budget_window: Duration::from_secs(10),
};

/// The same for rounds in which processes start again in series: a slack that each of them would share in.
pub(crate) const SERIES_BOUNDS: Bounds = Bounds {
    budget_slack: 12.0,
    ..BOUNDS
};

/// Where one entry runs.
#[derive(Debug, Clone)]
pub struct EntryPlace {
    /// Its name.
    pub name: String,
    /// Its address; ports are alike on all of them.
    pub address: IpAddr,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where it tells its figures.
    pub metrics: SocketAddr,
    /// Port for other processes of the system.
    pub peer_port: u16,
    /// The other entries.
    pub seeds: Vec<SocketAddr>,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// What it is held to.
    pub bounds: Bounds,
}

/// Where one agent runs.
#[derive(Debug, Clone)]
pub struct AgentPlace {
    /// Its name.
    pub name: String,
    /// Its address; ports are alike on all machines.
    pub address: IpAddr,
    /// Where it tells its figures.
    pub metrics: SocketAddr,
    /// Port for other processes of the system.
    pub peer_port: u16,
    /// Entries.
    pub seeds: Vec<SocketAddr>,
    /// The engine beside it.
    pub engine: SocketAddr,
    /// Service of that engine.
    pub service: &'static str,
    /// Where it reaches the store.
    pub store: SocketAddr,
}

/// How a route's requests may be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Repeatable,
    /// They run at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that another target may continue.
    Resumable,
}

/// A route of the soak; all lead to one service.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Its name.
    pub name: &'static str,
    /// What paths begin with.
    pub prefix: &'static str,
    /// What its requests may suffer.
    pub kind: RouteKind,
}

/// A configuration.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Its version.
    pub version: u64,
    /// Host of all routes.
    pub host: &'static str,
    /// Service of all routes.
    pub service: &'static str,
    /// The routes.
    pub routes: &'static [Route],
    /// Keys in force; each belongs to a workspace of the same name.
    pub keys: Vec<String>,
    /// Service whose engines form a group, if there is one; no route leads to it.
    pub model: Option<&'static str>,
}

/// An engine's place in its group.
#[derive(Debug, Clone, Copy)]
pub struct Rank {
    /// Name of the group.
    pub group: &'static str,
    /// Epoch of the group.
    pub epoch: u64,
    /// Number of the rank.
    pub number: usize,
    /// Ranks of the group.
    pub size: usize,
}

/// A target's entry in the list.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Name of the incarnation.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When its present start began, in milliseconds.
    pub born_ms: u64,
    /// Its place in a group, if it has one.
    pub rank: Option<Rank>,
}

/// Speaks a platform's wire.
pub trait Platform: Send + Sync {
    /// Name of the program of an entry, built beside the soak.
    fn program(&self) -> &'static str;

    /// Name of the program of an agent.
    fn agent_program(&self) -> &'static str;

    /// An agent's settings file.
    fn agent_settings(&self, place: &AgentPlace) -> String;

    /// The rank whose agent was the last to claim that it leads the group, if one did.
    fn leader(&self, records: &Records) -> Option<usize>;

    /// The answer of an engine of the group to a call; none if it leaves the call unanswered.
    fn answer_of_engine(&self, call: &Request<Bytes>, rank: usize, group: &mut Group) -> Option<Response<Full<Bytes>>>;

    /// Text of an entry's settings file.
    fn settings(&self, place: &EntryPlace) -> String;

    /// Header names.
    fn dialect(&self) -> Dialect;

    /// A configuration as a record.
    fn offer(&self, offer: &Offer) -> Record;

    /// A target's entry as a record.
    fn listed(&self, listed: &Listed) -> Record;

    /// Records of another writer in the list of targets, each under a key of its own, that name no target to use or
    /// copy `listed`.
    fn foreign(&self, listed: &Listed) -> Vec<Record>;

    /// Whether the system itself writes `topic`.
    fn is_own(&self, topic: &str) -> bool;

    /// Says in an answer of the store how often it came back from an older copy.
    fn stamp(&self, answer: &mut Response<Full<Bytes>>, era: u64);

    /// The store's answer to a call while it holds `records`, to which a call may add.
    fn answer(&self, call: &Request<Bytes>, records: &mut Records) -> Response<Full<Bytes>>;
}
