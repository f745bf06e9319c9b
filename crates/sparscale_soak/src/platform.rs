//! What the soak asks of a platform, whose wire it does not know.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use sparscale_gateway::Dialect;

use crate::records::{Record, Records};

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
}

/// Speaks a platform's wire.
pub trait Platform: Send + Sync {
    /// Name of the program of an entry, built beside the soak.
    fn program(&self) -> &'static str;

    /// Text of an entry's settings file.
    fn settings(&self, place: &EntryPlace) -> String;

    /// Header names.
    fn dialect(&self) -> Dialect;

    /// A configuration as a record.
    fn offer(&self, offer: &Offer) -> Record;

    /// A target's entry as a record.
    fn listed(&self, listed: &Listed) -> Record;

    /// The store's answer to a call while it holds `records`.
    fn answer(&self, call: &Request<Bytes>, records: &Records) -> Response<Full<Bytes>>;
}
