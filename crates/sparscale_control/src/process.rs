//! Settings and parts that all processes share: socket, journal, follower and box list.

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
use sparscale_wire::{CertificateFiles, Endpoint, EndpointError, Identity};
use tokio::sync::watch;

use crate::boxes::{BoxList, HttpBoxList, watch_boxes};
use crate::follower::{self, Follower};
use crate::journal::Journal;

/// Timeout of one call to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings that all processes share, as written in the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// Name of this process in the box list.
    pub name: String,
    /// Hall of this process.
    pub hall: String,
    /// UDP address of its socket for other processes.
    pub listen: SocketAddr,
    /// PEM file with the certificate of this process.
    pub certificate: PathBuf,
    /// PEM file with the private key of this process.
    pub key: PathBuf,
    /// PEM file with the certificate authority that all processes trust.
    pub authority: PathBuf,
    /// Base URL of the platform's log.
    pub log: String,
    /// Base URL of the platform's box list.
    pub boxes: String,
    /// Interval between two reads of the box list, in milliseconds.
    pub boxes_interval_ms: u64,
    /// Operators who may sign the first bundle, and the bundle in a peer's state while the log is unavailable.
    pub operators: Vec<Operator>,
    /// Number of records between two snapshots of the folded state.
    pub snapshot_every: u64,
    /// UDP address of a statsd server.
    pub metrics: Option<SocketAddr>,
}

/// Checked settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The checked values.
    pub raw: Raw,
}

/// Reason why a process cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket or the certificates cannot be used.
    #[snafu(display("{source}"), context(false))]
    Endpoint {
        /// Error of the socket or the certificates.
        source: EndpointError,
    },
    /// The metrics socket cannot be opened.
    #[snafu(
        display("metrics: {source}; set a reachable UDP address or remove the key"),
        context(false)
    )]
    Metrics {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Parts that every process has.
#[derive(Debug, Clone)]
pub struct Process {
    /// Socket for other processes.
    pub endpoint: Arc<Endpoint>,
    /// The log as this process knows it.
    pub journal: Arc<Journal>,
    /// The box list as last read.
    pub boxes: watch::Receiver<Arc<BoxList>>,
    /// Sink for counts and times.
    pub metrics: Metrics,
    /// Unique number of this run of the process; increases with each run on the same box.
    pub incarnation: u64,
}

impl TryFrom<Raw> for Settings {
    type Error = Vec<Problem>;

    fn try_from(raw: Raw) -> Result<Self, Self::Error> {
        let mut problems = Vec::new();
        for (field, value) in [("name", &raw.name), ("hall", &raw.hall)] {
            if value.is_empty() {
                problems.push(Problem::new(field, "is empty", "set the name given in the box list"));
            }
        }
        for (field, value) in [("log", &raw.log), ("boxes", &raw.boxes)] {
            require_http_url(field, value, &mut problems);
        }
        if raw.boxes_interval_ms == 0 {
            problems.push(Problem::new("boxes_interval_ms", "is 0", "use 100 or more"));
        }
        if raw.snapshot_every < 16 {
            let remedy = "use 16 or more, but well below the number of records that the log retains";
            problems.push(Problem::new("snapshot_every", "is below 16", remedy));
        }
        for operator in &raw.operators {
            if sign::parse_public_key(&operator.key).is_none() {
                let remedy = "paste the 64 hexadecimal digits that `sparscale key new` prints";
                problems.push(Problem::new(
                    format!("operators[{}].key", operator.name),
                    "is not an ed25519 public key",
                    remedy,
                ));
            }
        }
        if raw.operators.len() < 2 {
            let remedy = "add a second operator; approval requires one";
            problems.push(Problem::new("operators", "has fewer than two entries", remedy));
        }
        if problems.is_empty() {
            Ok(Self { raw })
        } else {
            Err(problems)
        }
    }
}

/// Adds a problem if `value` is not an `http://` URL.
pub fn require_http_url(field: &str, value: &str, problems: &mut Vec<Problem>) {
    if !value.starts_with("http://") {
        problems.push(Problem::new(
            field,
            "is not an http:// URL",
            "use a URL such as http://10.0.0.1:7000",
        ));
    }
}

impl Settings {
    /// Opens the socket and starts to follow the log and the box list.
    pub fn start(&self, program: &str) -> Result<Process, Error> {
        let raw = &self.raw;
        let identity = Identity::Files(CertificateFiles {
            certificate: raw.certificate.clone(),
            key: raw.key.clone(),
            authority: raw.authority.clone(),
        });
        let endpoint = Arc::new(Endpoint::bind(raw.listen, identity)?);
        let log = Arc::new(HttpLog::new(&raw.log, LOG_TIMEOUT));
        let journal = Arc::new(Journal::new(log, raw.operators.clone()));
        let interval = Duration::from_millis(raw.boxes_interval_ms);
        let boxes = watch_boxes(Box::new(HttpBoxList::new(&raw.boxes)), interval);
        let follower = Follower::new(
            follower::FollowerSettings {
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

/// Combines the microseconds since 1970 with random low bits.
///
/// The result is unique, and higher than that of an earlier run unless the clock was set back.
fn new_incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let random: u64 = rand::random::<u64>() & 0x3ff;
    ((since_epoch.as_micros() as u64) << 10) | random
}

async fn log_bundles(journal: Arc<Journal>) {
    let mut heads = journal.subscribe_heads();
    let mut version = 0;
    while heads.changed().await.is_ok() {
        let Some(certificate) = journal.active_certificate() else {
            continue;
        };
        if certificate.bundle.version() > version {
            version = certificate.bundle.version();
            let hash = certificate.bundle.hash().to_string();
            log::info!(target: sparscale_telemetry::DECISION, decision = "bundle", version, hash = hash.as_str(), offset = certificate.offset; "activated a bundle");
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP reloads the certificates without closing connections.
pub async fn wait_for_stop(endpoint: &Endpoint, signals: &mut sparscale_telemetry::Signals) {
    signals.wait_for_stop(|| reload_certificates(endpoint)).await;
}

fn reload_certificates(endpoint: &Endpoint) {
    match endpoint.reload() {
        Ok(()) => log::info!("certificates read again"),
        Err(error) => {
            log::error!(target: ALARM, alarm = "certificate_unusable", error = error.to_string().as_str(); "certificates could not be reloaded; the previous ones remain in use");
        }
    }
}
