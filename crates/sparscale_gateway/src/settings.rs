//! What a gateway is started with.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use sparscale_belief::{Archive, Source};
use sparscale_catalog::{Catalog, Roster};
use sparscale_clock::Clock;
use sparscale_policy::budget::Allowance;
use sparscale_quarantine::Strike;
use sparscale_telemetry::Registry;
use sparscale_wire::EndpointError;

use crate::admission::Freshness;
use crate::dialect::Dialect;

/// Checked settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this process.
    pub name: String,
    /// Hall that its box stands in.
    pub hall: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this entry takes callers.
    pub ready: SocketAddr,
    /// Where this process takes connections from other processes.
    pub peers: SocketAddr,
    /// Entries that the settings name.
    pub seeds: Vec<SocketAddr>,
    /// Time between two messages on a link without news.
    pub interval: Duration,
    /// How old beliefs may be.
    pub freshness: Freshness,
    /// Budget of sends beyond the first, over all entries.
    pub allowance: Allowance,
    /// Age at which the first reader in line reads the store.
    pub read_interval: Duration,
    /// What each place in line adds to it.
    pub read_step: Duration,
    /// Time after SIGTERM for which callers are still accepted: until the balancer has noticed.
    pub leave_time: Duration,
    /// Time after SIGTERM at which the process ends whatever is in progress.
    pub grace: Duration,
}

/// What a gateway is connected to.
pub struct Parts {
    /// Gives the catalog.
    pub catalog: Box<dyn Source<Catalog>>,
    /// Gives the roster.
    pub roster: Box<dyn Source<Roster>>,
    /// Gives what the store keeps of requests that crash targets.
    pub strikes: Box<dyn Source<Vec<Strike>>>,
    /// Keeps what this process sees of them.
    pub archive: Box<dyn Archive>,
    /// Tells how old beliefs are.
    pub clock: Arc<dyn Clock>,
    /// Names of the headers.
    pub dialect: Dialect,
    /// The process's figures.
    pub registry: Arc<Registry>,
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts")
            .field("dialect", &self.dialect)
            .finish_non_exhaustive()
    }
}

/// Why a gateway cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The operating system does not tell an address.
    #[snafu(display("no address of its own: {source}"))]
    Address {
        /// What it said.
        source: std::io::Error,
    },
    /// An address cannot be listened at.
    #[snafu(display("{address}: cannot be listened at: {source}; choose a free address of this box"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The socket towards other processes cannot be opened.
    #[snafu(display("{source}"))]
    Peers {
        /// What is wrong.
        source: EndpointError,
    },
}
