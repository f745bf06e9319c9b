//! Follows the log from the best source that answers, and never goes back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::Rng as _;
use snafu::Snafu;
use sparscale_journal::{Batch, Body, Entry, LogError, ReaderError, Snapshot};
use sparscale_telemetry::ALARM;
use sparscale_wire::{Ask, Channel, Endpoint, EndpointError, Frame, Relayed, StreamError};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::boxes::Listing;
use crate::journal::Journal;
use crate::topology::{self, Source};

/// Records asked for in one read.
const READ_LIMIT: usize = 1_000;
/// Time that a read waits at the log for something new.
const LONG_POLL: Duration = Duration::from_secs(5);
/// A peer that is silent for longer is left.
const PEER_SILENCE: Duration = Duration::from_secs(5);
/// A source that has not heard from the log for longer is left for a better one.
const STALE: Duration = Duration::from_secs(6);
/// Time after which a source that is not the best one is left, to try the best one again.
const SECOND_BEST: Duration = Duration::from_secs(5);
/// Pause after all sources failed, doubled up to [`MAX_PAUSE`], with jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Longest folded state that is taken from a peer, in bytes.
const MAX_IMAGE: usize = 64 << 20;
/// Time that the append of a snapshot may take.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a follower.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this process in the live list.
    pub name: String,
    /// Hall that this process stands in.
    pub hall: String,
    /// Records after which the state is appended again; well below the log's retention.
    pub snapshot_every: u64,
}

/// Why a source was left.
#[derive(Debug, Snafu)]
enum Left {
    #[snafu(display("{source}"), context(false))]
    Log { source: LogError },
    #[snafu(display("{source}"), context(false))]
    Fold { source: ReaderError },
    #[snafu(display("{source}"), context(false))]
    Connect { source: EndpointError },
    #[snafu(display("{source}"), context(false))]
    Stream { source: StreamError },
    #[snafu(display("the peer is silent"))]
    Silent,
    #[snafu(display("the peer has not heard from the log for {age_ms} ms"))]
    Stale { age_ms: u64 },
    #[snafu(display("the image is longer than {MAX_IMAGE} bytes"))]
    LongImage,
    #[snafu(display("a better source may answer again"))]
    SecondBest,
}

/// Keeps a [`Journal`] up to date.
#[derive(Debug)]
pub struct Follower {
    settings: Settings,
    journal: Arc<Journal>,
    endpoint: Arc<Endpoint>,
    boxes: watch::Receiver<Arc<Listing>>,
    appending_snapshot: Arc<AtomicBool>,
}

impl Follower {
    /// A follower that feeds `journal`.
    pub fn new(
        settings: Settings,
        journal: Arc<Journal>,
        endpoint: Arc<Endpoint>,
        boxes: watch::Receiver<Arc<Listing>>,
    ) -> Self {
        Self {
            settings,
            journal,
            endpoint,
            boxes,
            appending_snapshot: Arc::default(),
        }
    }

    /// Follows until the task is dropped.
    pub async fn run(self) {
        let mut pause = FIRST_PAUSE;
        loop {
            let before = self.journal.head();
            for (index, source) in self.sources().into_iter().enumerate() {
                let left = self.follow(source, index).await;
                log::info!(source:? = source, left = left.to_string().as_str(), head = self.journal.head(); "left a source");
                if matches!(left, Left::SecondBest) {
                    break;
                }
            }
            let moved = self.journal.head() > before;
            pause = if moved { FIRST_PAUSE } else { (pause * 2).min(MAX_PAUSE) };
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
        }
    }

    fn sources(&self) -> Vec<Source> {
        let live = self.boxes.borrow().live();
        topology::sources(&self.settings.name, &self.settings.hall, &live)
    }

    async fn follow(&self, source: Source, index: usize) -> Left {
        let until = (index > 0).then(|| Instant::now() + SECOND_BEST);
        let followed = match source {
            Source::Log => self.follow_log(until).await,
            Source::Peer { address, role } => match self.endpoint.open(address, role).await {
                Ok(channel) => self.follow_peer(channel, until).await,
                Err(error) => Err(error.into()),
            },
        };
        match followed {
            Ok(()) => Left::SecondBest,
            Err(left) => left,
        }
    }

    async fn follow_log(&self, until: Option<Instant>) -> Result<(), Left> {
        while !has_passed(until) {
            let from = self.journal.head();
            let wait = if self.journal.has_caught_up() {
                LONG_POLL
            } else {
                Duration::ZERO
            };
            let batch = self.journal.log().read(from, READ_LIMIT, wait).await?;
            self.journal.fold(&batch)?;
            self.check_log_end(batch.next);
            if self.journal.head() >= batch.next {
                self.journal.heard_from_log(Duration::ZERO);
                self.snapshot_if_due();
            }
        }
        Ok(())
    }

    async fn follow_peer(&self, mut channel: Channel, until: Option<Instant>) -> Result<(), Left> {
        let version = self
            .journal
            .in_force()
            .map_or(0, |certificate| certificate.bundle.version());
        let head = self.journal.head();
        channel.sender.send(&Frame::Ask(Ask::Follow { head, version })).await?;
        let mut image = Vec::new();
        while !has_passed(until) {
            let frame = tokio::time::timeout(PEER_SILENCE, channel.receiver.receive()).await;
            let frame = frame.map_err(|_elapsed| Left::Silent)??;
            match frame {
                Frame::Relayed(Relayed::Records { first, records }) => self.fold_relayed(first, records)?,
                Frame::Relayed(Relayed::Idle { age_ms, .. }) => self.note_age(age_ms)?,
                Frame::Relayed(Relayed::Image { part, last }) => {
                    image.extend_from_slice(&part);
                    if image.len() > MAX_IMAGE {
                        return LongImageSnafu.fail();
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

    fn adopt(&self, image: &[u8]) -> Result<(), Left> {
        match self.journal.adopt(image) {
            // Another source was faster; the records that follow still fit.
            Err(ReaderError::Older { .. }) => Ok(()),
            adopted => Ok(adopted?),
        }
    }

    fn fold_relayed(&self, first: u64, records: Vec<bytes::Bytes>) -> Result<(), Left> {
        let next = first + records.len() as u64;
        let numbered = (first..next).zip(records);
        let batch = Batch {
            // The peer has everything from here on; an older head is a peer's mistake and shows as a hole.
            earliest: 0,
            next,
            entries: numbered.map(|(offset, data)| Entry { offset, data }).collect(),
        };
        Ok(self.journal.fold(&batch)?)
    }

    fn note_age(&self, age_ms: u64) -> Result<(), Left> {
        let age = Duration::from_millis(age_ms);
        if age > STALE {
            return StaleSnafu { age_ms }.fail();
        }
        self.journal.heard_from_log(age);
        Ok(())
    }

    /// Appends the state again when enough records have come since the last snapshot.
    ///
    /// Whoever reads the log may do it; a random head start keeps them from doing it together.
    fn snapshot_if_due(&self) {
        let since = self.journal.with_state(|state| state.head() - state.snapshot_at());
        if since < self.settings.snapshot_every {
            return;
        }
        let overdue = since - self.settings.snapshot_every;
        let patience = rand::rng().random_range(0..=self.settings.snapshot_every / 8);
        if overdue < patience {
            return;
        }
        if self.appending_snapshot.swap(true, Ordering::Relaxed) {
            return;
        }
        // The verdict arrives through this very follower, so the append goes on beside it.
        tokio::spawn(append_snapshot(
            Arc::clone(&self.journal),
            Arc::clone(&self.appending_snapshot),
        ));
    }

    /// A log that ends before this process's head has lost records; what was folded stays in force.
    fn check_log_end(&self, next: u64) {
        let head = self.journal.head();
        if next < head {
            log::error!(target: ALARM, alarm = "log_went_back", head, next; "the log ends before what it held earlier");
        }
    }
}

async fn append_snapshot(journal: Arc<Journal>, appending: Arc<AtomicBool>) {
    let (chain, image) = journal.with_state(|state| (state.chain(), state.image()));
    let at = image.head();
    let snapshot = Snapshot {
        at,
        chain,
        image: image.encode(),
    };
    let submitted = journal.submit(Body::Snapshot(snapshot), SNAPSHOT_TIMEOUT).await;
    appending.store(false, Ordering::Relaxed);
    match submitted {
        Ok(_) => log::info!(at; "appended the folded state"),
        Err(error) => {
            log::error!(target: ALARM, alarm = "snapshot_failed", at, error = error.to_string().as_str(); "the state could not be appended again");
        }
    }
}

fn has_passed(until: Option<Instant>) -> bool {
    until.is_some_and(|until| Instant::now() >= until)
}
