//! Keeps a [`Journal`] current from the best available source: the log or a peer.
//!
//! A source that fails or falls behind is replaced by the next one; records that were folded are never undone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::Rng as _;
use snafu::Snafu;
use sparscale_journal::{Batch, LogEntry, LogError, ReaderError, RecordBody, Snapshot};
use sparscale_telemetry::ALARM;
use sparscale_wire::{Channel, Endpoint, EndpointError, Frame, RelayedLog, StreamError, StreamRequest};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::boxes::BoxList;
use crate::journal::Journal;
use crate::topology::{self, Source};

/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 1_000;
/// Time for which a read waits at the log for new records.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Time without a message after which a peer is abandoned.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without contact to the log after which a peer is abandoned.
const MAX_LOG_AGE: Duration = Duration::from_secs(6);
/// Time after which a fallback source is abandoned so that the best source is attempted again.
const FALLBACK_DURATION: Duration = Duration::from_secs(5);
/// Delay before the sources are attempted again; doubled up to [`MAX_RETRY_DELAY`] while the head does not advance.
///
/// Jitter keeps the processes from reconnecting at the same time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum size of a folded state received from a peer.
const MAX_IMAGE_BYTES: usize = 64 << 20;
/// Timeout of the append of a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a follower.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Name of this process in the box list.
    pub name: String,
    /// Hall of this process.
    pub hall: String,
    /// Number of records between two snapshots; must be well below the log's retention.
    pub snapshot_every: u64,
}

/// Reason why a source was abandoned.
#[derive(Debug, Snafu)]
enum EndReason {
    #[snafu(display("{source}"), context(false))]
    Log { source: LogError },
    #[snafu(display("{source}"), context(false))]
    Fold { source: ReaderError },
    #[snafu(display("{source}"), context(false))]
    Connect { source: EndpointError },
    #[snafu(display("{source}"), context(false))]
    Stream { source: StreamError },
    #[snafu(display("peer is unresponsive"))]
    PeerTimeout,
    #[snafu(display("last contact of the peer with the log was {age_ms} ms ago"))]
    StalePeer { age_ms: u64 },
    #[snafu(display("image of the peer exceeds {MAX_IMAGE_BYTES} bytes"))]
    ImageTooLarge,
    #[snafu(display("a preferred source may be available again"))]
    FallbackExpired,
}

/// Keeps a [`Journal`] up to date.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    journal: Arc<Journal>,
    endpoint: Arc<Endpoint>,
    boxes: watch::Receiver<Arc<BoxList>>,
    appending_snapshot: Arc<AtomicBool>,
}

impl Follower {
    /// Creates a follower that keeps `journal` current.
    pub fn new(
        settings: FollowerSettings,
        journal: Arc<Journal>,
        endpoint: Arc<Endpoint>,
        boxes: watch::Receiver<Arc<BoxList>>,
    ) -> Self {
        Self {
            settings,
            journal,
            endpoint,
            boxes,
            appending_snapshot: Arc::default(),
        }
    }

    /// Follows the sources until the task is dropped.
    pub async fn run(self) {
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            let old_head = self.journal.head();
            for (index, source) in self.sources().into_iter().enumerate() {
                let reason = self.follow(source, index).await;
                log::info!(source:? = source, left = reason.to_string().as_str(), head = self.journal.head(); "abandoned a source of log records");
                if matches!(reason, EndReason::FallbackExpired) {
                    break;
                }
            }
            let has_advanced = self.journal.head() > old_head;
            delay = if has_advanced {
                INITIAL_RETRY_DELAY
            } else {
                (delay * 2).min(MAX_RETRY_DELAY)
            };
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(delay.mul_f64(jitter)).await;
        }
    }

    fn sources(&self) -> Vec<Source> {
        let live = self.boxes.borrow().live_nodes();
        topology::sources(&self.settings.name, &self.settings.hall, &live)
    }

    async fn follow(&self, source: Source, index: usize) -> EndReason {
        let deadline = (index > 0).then(|| Instant::now() + FALLBACK_DURATION);
        let result = match source {
            Source::Log => self.follow_log(deadline).await,
            Source::Peer { address, role } => match self.endpoint.open(address, role).await {
                Ok(channel) => self.follow_peer(channel, deadline).await,
                Err(error) => Err(error.into()),
            },
        };
        match result {
            Ok(()) => EndReason::FallbackExpired,
            Err(reason) => reason,
        }
    }

    async fn follow_log(&self, deadline: Option<Instant>) -> Result<(), EndReason> {
        while !has_passed(deadline) {
            let from = self.journal.head();
            let wait = if self.journal.has_caught_up() {
                LONG_POLL_WAIT
            } else {
                Duration::ZERO
            };
            let batch = self.journal.log().read(from, MAX_READ_RECORDS, wait).await?;
            self.journal.fold(&batch)?;
            self.check_log_end(batch.next);
            if self.journal.head() >= batch.next {
                self.journal.record_log_contact(Duration::ZERO);
                self.snapshot_if_due();
            }
        }
        Ok(())
    }

    async fn follow_peer(&self, mut channel: Channel, deadline: Option<Instant>) -> Result<(), EndReason> {
        let version = self
            .journal
            .active_certificate()
            .map_or(0, |certificate| certificate.bundle.version());
        let head = self.journal.head();
        channel
            .sender
            .send(&Frame::Open(StreamRequest::FollowLog {
                from_offset: head,
                bundle_version: version,
            }))
            .await?;
        let mut image = Vec::new();
        while !has_passed(deadline) {
            let frame = tokio::time::timeout(PEER_TIMEOUT, channel.receiver.receive()).await;
            let frame = frame.map_err(|_elapsed| EndReason::PeerTimeout)??;
            match frame {
                Frame::RelayedLog(RelayedLog::Records {
                    first_offset: first,
                    records,
                }) => self.fold_relayed(first, records)?,
                Frame::RelayedLog(RelayedLog::Idle { age_ms, .. }) => self.record_log_age(age_ms)?,
                Frame::RelayedLog(RelayedLog::Image {
                    fragment: part,
                    is_last: last,
                }) => {
                    image.extend_from_slice(&part);
                    if image.len() > MAX_IMAGE_BYTES {
                        return ImageTooLargeSnafu.fail();
                    }
                    if last {
                        self.adopt(&std::mem::take(&mut image))?;
                    }
                }
                _ => return Err(StreamError::Unexpected.into()),
            }
        }
        Ok(())
    }

    fn adopt(&self, image: &[u8]) -> Result<(), EndReason> {
        match self.journal.adopt(image) {
            // Another source has delivered newer records; the records that follow the image still apply.
            Err(ReaderError::Older { .. }) => Ok(()),
            adopted => Ok(adopted?),
        }
    }

    fn fold_relayed(&self, first: u64, records: Vec<bytes::Bytes>) -> Result<(), EndReason> {
        let next = first + records.len() as u64;
        let numbered = (first..next).zip(records);
        let batch = Batch {
            // The peer has all records from `first`; if `first` is above the head, the fold stops at the gap.
            earliest: 0,
            next,
            entries: numbered.map(|(offset, data)| LogEntry { offset, data }).collect(),
        };
        Ok(self.journal.fold(&batch)?)
    }

    fn record_log_age(&self, age_ms: u64) -> Result<(), EndReason> {
        let age = Duration::from_millis(age_ms);
        if age > MAX_LOG_AGE {
            return StalePeerSnafu { age_ms }.fail();
        }
        self.journal.record_log_contact(age);
        Ok(())
    }

    /// Appends a snapshot of the state when enough records follow the last one.
    ///
    /// Every process that reads the log may do so; a random margin keeps them from appending at the same time.
    fn snapshot_if_due(&self) {
        let records_since = self.journal.with_state(|state| state.head() - state.snapshot_head());
        if records_since < self.settings.snapshot_every {
            return;
        }
        let overdue = records_since - self.settings.snapshot_every;
        let margin = rand::rng().random_range(0..=self.settings.snapshot_every / 8);
        if overdue < margin {
            return;
        }
        if self.appending_snapshot.swap(true, Ordering::Relaxed) {
            return;
        }
        // This follower delivers the verdict on the append, so the append must not block it.
        tokio::spawn(append_snapshot(
            Arc::clone(&self.journal),
            Arc::clone(&self.appending_snapshot),
        ));
    }

    /// Raises an alarm if the log ends before this process's head and so has lost records; the folded state is kept.
    fn check_log_end(&self, next: u64) {
        let head = self.journal.head();
        if next < head {
            log::error!(target: ALARM, alarm = "log_went_back", head, next; "log has lost records that this process has folded; the folded state is kept");
        }
    }
}

async fn append_snapshot(journal: Arc<Journal>, appending: Arc<AtomicBool>) {
    let (chain_digest, image) = journal.with_state(|state| (state.chain_digest(), state.image()));
    let head = image.head();
    let snapshot = Snapshot {
        head,
        chain_digest,
        image: image.encode(),
    };
    let result = journal.submit(RecordBody::Snapshot(snapshot), SNAPSHOT_TIMEOUT).await;
    appending.store(false, Ordering::Relaxed);
    match result {
        Ok(_) => log::info!(at = head; "appended the folded state"),
        Err(error) => {
            log::error!(target: ALARM, alarm = "snapshot_failed", at = head, error = error.to_string().as_str(); "snapshot of the folded state could not be appended");
        }
    }
}

fn has_passed(deadline: Option<Instant>) -> bool {
    deadline.is_some_and(|deadline| Instant::now() >= deadline)
}
