//! The summary of a process's observations that entries and agents exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparscale_history::Position;

use crate::{evacuation, roster};

/// Summary of a process's observations, with the timestamps by which the receiver computes their age on its own clock.
///
/// While a process is frozen, a message may stay in a buffer for seconds, so the receiver can't rely on an age alone.
/// Each side therefore sends the time of its own clock, and the other side echoes the latest one together with the time
/// since it was received. This proves to the receiver of an echo that the message was sent after that clock time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Address at which the sender accepts connections from other processes.
    pub sender: SocketAddr,
    /// Time of the sender's clock, in milliseconds since the sender started.
    pub clock_ms: u64,
    /// Echo of the receiver's latest clock time.
    pub echo: Option<Echo>,
    /// Version of the sender's catalog.
    pub catalog: Option<Version>,
    /// Whether the receiver must send its catalog, because it announced a newer one than the sender's.
    pub requests_catalog: bool,
    /// Version of the sender's roster.
    pub roster: Option<roster::Version>,
    /// Evacuated halls, if they changed since the last summary on this stream.
    pub evacuations: Option<evacuation::Order>,
    /// Whether the receiver must send its roster, because it announced one that the sender doesn't have.
    pub requests_roster: bool,
    /// Age in milliseconds of the sender's copy of the strikes in the store; all of it has been sent on this stream.
    pub strikes_age_ms: Option<u64>,
    /// Entries that the sender knows, including itself if it is one; empty if they haven't changed.
    pub entries: Vec<SocketAddr>,
}

/// Version of an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Position in the history of its source.
    pub position: Position,
    /// Age of the observation when this message was sent, in milliseconds.
    pub age_ms: u64,
}

/// Clock time of the receiver, sent back to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Clock time as received, in milliseconds.
    pub clock_ms: u64,
    /// Time between its receipt and this message, in milliseconds.
    pub echo_delay_ms: u64,
}
