//! Accepts the connections of callers within the memory and the descriptors of the process.
//!
//! [`sparscale_policy::intake`] decides; this crate keeps the one [`Intake`] of a process, through which all listeners
//! accept and all bodies and responses are held, and closes whatever has to give its room up.

mod body;
mod connection;
mod listener;
mod metrics_server;
mod phase;
mod process_limits;
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
pub use process_limits::ProcessLimits;
pub use request_body::{BodyError, BodyReader, RequestBody, Segments};
pub use request_span::RequestSpan;
pub use server::{Handler, serve};
pub use small_server::serve_small;
pub use sparscale_policy::intake::{Activity, Capacity, Owner, Port, STALL_TIME};
