//! Settings of an entry, as written in the file and as checked.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use sparscale_control::process;
use sparscale_intake::{Capacity, ProcessLimits};
use sparscale_settings::{Check, Problem};

/// Minimum length of the secret for tickets and request ids, in characters.
const MIN_SECRET_CHARS: usize = 32;

/// The settings file as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// Settings that every process has.
    pub process: process::Raw,
    /// Address of the HTTP server for callers.
    pub callers: SocketAddr,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Secret shared by all entries, with which tickets and request ids are authenticated.
    pub secret: String,
    /// Lifetime of a ticket, in seconds.
    pub ticket_seconds: u64,
    /// What the process may use of its box.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Time for which a stopping entry still accepts requests, in milliseconds, because the balancer notices the stop
    /// late.
    pub stop_lag_ms: u64,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) process: process::Settings,
    pub(crate) callers: SocketAddr,
    pub(crate) max_body_bytes: usize,
    pub(crate) capacity: Capacity,
    pub(crate) secret: String,
    pub(crate) ticket_lifetime: Duration,
    pub(crate) stop_lag: Duration,
}

impl TryFrom<Raw> for Settings {
    type Error = Vec<Problem>;

    fn try_from(raw: Raw) -> Result<Self, Self::Error> {
        let mut problems = Vec::new();
        if raw.secret.len() < MIN_SECRET_CHARS {
            let remedy = "use 32 random characters or more, the same on every entry";
            problems.push(Problem::new("secret", "is too short", remedy));
        }
        if !(1_024..=1 << 20).contains(&raw.max_body_bytes) {
            let remedy = "use 1024 to 1048576, the largest frame between processes";
            problems.push(Problem::new("max_body_bytes", "is out of range", remedy));
        }
        if !(1..=86_400).contains(&raw.ticket_seconds) {
            problems.push(Problem::new("ticket_seconds", "is out of range", "use 1 to 86400"));
        }
        problems.extend(raw.limits.check());
        match process::Settings::try_from(raw.process) {
            Ok(process) if problems.is_empty() => Ok(Self {
                process,
                callers: raw.callers,
                max_body_bytes: raw.max_body_bytes,
                capacity: raw.limits.capacity(),
                secret: raw.secret,
                ticket_lifetime: Duration::from_secs(raw.ticket_seconds),
                stop_lag: Duration::from_millis(raw.stop_lag_ms),
            }),
            Ok(_) => Err(problems),
            Err(more) => Err(problems.into_iter().chain(more).collect()),
        }
    }
}

impl Check for Raw {
    type Checked = Settings;

    fn check(self) -> Result<Settings, Vec<Problem>> {
        Settings::try_from(self)
    }
}
