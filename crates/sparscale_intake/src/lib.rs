//! Accepts the connections of callers within the memory and the descriptors of the process.
//!
//! [`sparscale_policy::intake`] decides; this crate keeps the one [`Intake`] of a process, through which all listeners
//! accept and all bodies and responses are held, and closes whatever has to give its room up.

mod body;
mod connection;
mod listener;
mod metrics_server;
mod phase;
mod request_body;
mod request_span;
mod server;
mod slow_reader;
mod small_server;
mod wait_tracker;

pub use body::{Body, full_body};
pub use connection::{Connection, Intake, Reservation};
pub use listener::Listener;
pub use metrics_server::serve_metrics;
pub use phase::Phase;
pub use request_body::{BodyError, BodyReader, RequestBody, Segments};
pub use request_span::RequestSpan;
pub use server::{Handler, serve};
pub use small_server::serve_small;
pub use sparscale_policy::intake::{Activity, Capacity, Owner, Port, STALL_TIME};

use nix::sys::resource::{Resource, getrlimit};

/// The capacity of this process: `memory` bytes, and `descriptors` or what the operating system allows, if that is less.
pub fn capacity(memory: usize, descriptors: usize) -> Capacity {
    let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(descriptors, |(soft, _hard)| {
        usize::try_from(soft).unwrap_or(descriptors)
    });
    Capacity::of_process(memory, descriptors.min(allowed))
}
