//! The settings that every process has, and what it is built from: socket, journal, follower.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use snafu::Snafu;
use sparscale_bundle::{Operator, sign};
use sparscale_journal::HttpLog;
use sparscale_settings::Problem;
use sparscale_telemetry::{ALARM, Metrics};
use sparscale_wire::{Endpoint, EndpointError, Files, Identity};
use tokio::sync::watch;

use crate::boxes::{HttpBoxes, Listing, watch_boxes};
use crate::follower::{self, Follower};
use crate::journal::Journal;

/// Time that one call of the log may take.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a settings file that all processes share, as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// Name of this process in the box list.
    pub name: String,
    /// Hall that it stands in.
    pub hall: String,
    /// Address of its socket towards other processes, UDP.
    pub listen: SocketAddr,
    /// PEM files of its certificate, its key and the authority that all processes trust.
    pub certificate: PathBuf,
    /// See `certificate`.
    pub key: PathBuf,
    /// See `certificate`.
    pub authority: PathBuf,
    /// Base URL of the platform's log.
    pub log: String,
    /// Base URL of the platform's box list.
    pub boxes: String,
    /// Milliseconds between two reads of the box list.
    pub boxes_interval_ms: u64,
    /// Operators who may sign the first bundle, and any bundle taken from a peer while the log is down.
    pub operators: Vec<Operator>,
    /// Records after which the folded state is appended again.
    pub snapshot_every: u64,
    /// Address of a statsd server, UDP.
    pub metrics: Option<SocketAddr>,
}

/// Checked settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The values as written.
    pub raw: Raw,
}

/// A process that cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket or the certificates cannot be used.
    #[snafu(display("{source}"), context(false))]
    Endpoint {
        /// What is wrong.
        source: EndpointError,
    },
    /// Metrics cannot be sent.
    #[snafu(
        display("metrics: {source}; give a reachable UDP address or remove the key"),
        context(false)
    )]
    Metrics {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// What every process is built from.
#[derive(Debug, Clone)]
pub struct Process {
    /// Socket towards other processes.
    pub endpoint: Arc<Endpoint>,
    /// The log as this process knows it.
    pub journal: Arc<Journal>,
    /// The box list as last read.
    pub boxes: watch::Receiver<Arc<Listing>>,
    /// Where counts and times go.
    pub metrics: Metrics,
    /// Unique number of this run of the process; rises from run to run on one box.
    pub incarnation: u64,
}

impl TryFrom<Raw> for Settings {
    type Error = Vec<Problem>;

    fn try_from(raw: Raw) -> Result<Self, Self::Error> {
        let mut problems = Vec::new();
        for (field, value) in [("name", &raw.name), ("hall", &raw.hall)] {
            if value.is_empty() {
                problems.push(Problem::new(
                    field,
                    "is empty",
                    "write the name that the box list shows",
                ));
            }
        }
        for (field, value) in [("log", &raw.log), ("boxes", &raw.boxes)] {
            check_url(field, value, &mut problems);
        }
        if raw.boxes_interval_ms == 0 {
            problems.push(Problem::new("boxes_interval_ms", "is 0", "use 100 or more"));
        }
        if raw.snapshot_every < 16 {
            let mend = "use 16 or more, and well below what the log retains";
            problems.push(Problem::new("snapshot_every", "is below 16", mend));
        }
        for operator in &raw.operators {
            if sign::public_key(&operator.key).is_none() {
                let mend = "paste the 64 digits that `sparscale key new` prints";
                problems.push(Problem::new(
                    format!("operators[{}].key", operator.name),
                    "is no ed25519 key",
                    mend,
                ));
            }
        }
        if raw.operators.len() < 2 {
            let mend = "approval needs a second operator";
            problems.push(Problem::new("operators", "has fewer than two entries", mend));
        }
        if problems.is_empty() {
            Ok(Self { raw })
        } else {
            Err(problems)
        }
    }
}

/// Adds a problem if `value` is no base URL that this system can call.
pub fn check_url(field: &str, value: &str, problems: &mut Vec<Problem>) {
    if !value.starts_with("http://") {
        problems.push(Problem::new(
            field,
            "is no http:// URL",
            "write for example http://10.0.0.1:7000",
        ));
    }
}

impl Settings {
    /// Opens the socket and starts to follow log and box list.
    pub fn start(&self, program: &str) -> Result<Process, Error> {
        let raw = &self.raw;
        let identity = Identity::Files(Files {
            certificate: raw.certificate.clone(),
            key: raw.key.clone(),
            authority: raw.authority.clone(),
        });
        let endpoint = Arc::new(Endpoint::bind(raw.listen, identity)?);
        let log = Arc::new(HttpLog::new(&raw.log, LOG_TIMEOUT));
        let journal = Arc::new(Journal::new(log, raw.operators.clone()));
        let interval = Duration::from_millis(raw.boxes_interval_ms);
        let boxes = watch_boxes(Box::new(HttpBoxes::new(&raw.boxes)), interval);
        let follower = Follower::new(
            follower::Settings {
                name: raw.name.clone(),
                hall: raw.hall.clone(),
                snapshot_every: raw.snapshot_every,
            },
            Arc::clone(&journal),
            Arc::clone(&endpoint),
            boxes.clone(),
        );
        tokio::spawn(follower.run());
        tokio::spawn(log_bundles(Arc::clone(&journal)));
        Ok(Process {
            endpoint,
            journal,
            boxes,
            metrics: Metrics::new(program, raw.metrics)?,
            incarnation: new_incarnation(),
        })
    }
}

/// Microseconds since 1970 above random low bits: unique, and higher than an earlier run's on any sane clock.
fn new_incarnation() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let random: u64 = rand::random::<u64>() & 0x3ff;
    ((since.as_micros() as u64) << 10) | random
}

async fn log_bundles(journal: Arc<Journal>) {
    let mut heads = journal.heads();
    let mut version = 0;
    while heads.changed().await.is_ok() {
        let Some(certificate) = journal.in_force() else {
            continue;
        };
        if certificate.bundle.version() > version {
            version = certificate.bundle.version();
            let hash = certificate.bundle.hash().to_string();
            log::info!(target: sparscale_telemetry::DECISION, decision = "bundle", version, hash = hash.as_str(), offset = certificate.offset; "bundle in force");
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP reads the certificates again without closing connections.
pub async fn wait_for_stop(endpoint: &Endpoint, signals: &mut sparscale_telemetry::Signals) {
    signals.wait_for_stop(|| reload(endpoint)).await;
}

fn reload(endpoint: &Endpoint) {
    match endpoint.reload() {
        Ok(()) => log::info!("certificates read again"),
        Err(error) => {
            log::error!(target: ALARM, alarm = "certificate_unusable", error = error.to_string().as_str(); "the old certificates stay in use");
        }
    }
}
