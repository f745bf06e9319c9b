//! Settings and dependencies of a gateway, and the errors of its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use sparscale_belief::{Archive, Source};
use sparscale_catalog::{Configuration, Roster};
use sparscale_clock::Clock;
use sparscale_intake::Intake;
use sparscale_policy::budget::Allowance;
use sparscale_quarantine::Strike;
use sparscale_telemetry::Registry;
use sparscale_wire::EndpointError;

use crate::admission::Freshness;
use crate::header_names::HeaderNames;

/// Validated settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this process, for the log.
    pub name: String,
    /// Hall of the box that this process runs on.
    pub hall: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address of the readiness check for the load balancer in front.
    pub ready_address: SocketAddr,
    /// Address that other processes of the system connect to.
    pub peer_address: SocketAddr,
    /// Addresses of other entries to connect to at startup.
    pub seeds: Vec<SocketAddr>,
    /// Whether the system starts for the first time, so that nothing was observed before.
    pub is_first_start: bool,
    /// Time between two messages on a link without updates.
    pub keepalive_interval: Duration,
    /// Maximum age of the catalog for decisions about requests.
    pub freshness: Freshness,
    /// Retry budget, shared by all entries.
    pub allowance: Allowance,
    /// Age of the observed state at which the first of the entries reads the store.
    pub max_observation_age: Duration,
    /// Time that each further entry waits longer than the one before it.
    pub read_delay_per_entry: Duration,
    /// Time for which a target that leaves goes on serving, at least, after it has announced that.
    pub target_drain_time: Duration,
    /// Time without progress after which the connection of a caller that does not read its response is cut off.
    pub stall_timeout: Duration,
    /// Time after SIGTERM during which connections are still accepted, so that the load balancer can notice the stop.
    pub drain_notice_time: Duration,
    /// Time after SIGTERM during which new streams are still served; shorter than `drain_notice_time`.
    pub drain_stream_time: Duration,
    /// Time after SIGTERM after which the process exits even if requests are in flight.
    pub shutdown_timeout: Duration,
}

/// Dependencies of a gateway.
pub struct Dependencies {
    /// Source of the operators' configuration.
    pub configuration: Box<dyn Source<Configuration>>,
    /// Source of the roster.
    pub roster: Box<dyn Source<Roster>>,
    /// Source of the stored strikes: records of requests during which a target terminated.
    pub strikes: Box<dyn Source<Vec<Strike>>>,
    /// Archive for the strikes that this process observes.
    pub archive: Box<dyn Archive>,
    /// Clock for deadlines and for the age of the observed state; counts suspended time.
    pub clock: Arc<dyn Clock>,
    /// Counts what callers make the process hold.
    pub intake: Arc<Intake>,
    /// Header names.
    pub header_names: HeaderNames,
    /// Registry of the process's metrics.
    pub registry: Arc<Registry>,
}

impl std::fmt::Debug for Dependencies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts")
            .field("dialect", &self.header_names)
            .finish_non_exhaustive()
    }
}

/// Why a gateway cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The operating system did not return the address of a socket.
    #[snafu(display("cannot determine the local address of a socket: {source}"))]
    Address {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Listening on an address failed.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address of this box"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The socket for other processes cannot be opened.
    #[snafu(display("{source}"))]
    Peers {
        /// Why the socket cannot be opened.
        source: EndpointError,
    },
}
