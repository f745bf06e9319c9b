//! Folds batches of the log in offset order, and starts from a snapshot when older records have expired.
//!
//! Images from peers and snapshots are accepted only with a bundle that trusted operators signed, and never move the
//! state back to an older bundle version.

use bytes::Bytes;
use snafu::Snafu;
use sparscale_bundle::{Operator, sign};

use crate::fold::{Outcome, Verdict};
use crate::log::{Batch, LogEntry};
use crate::record::{Record, RecordBody, Snapshot};
use crate::state::{Image, State};

/// A fault that operators must investigate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Alarm {
    /// The record at this offset cannot be decoded.
    Damaged {
        /// Offset of the record.
        offset: u64,
        /// Error of the decoder.
        message: String,
    },
    /// The chain digest of a snapshot differs from that of this reader.
    SnapshotDiffers {
        /// Offset of the snapshot record.
        offset: u64,
    },
}

/// A batch or an image that cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The records after the reader's head have expired and no snapshot covers them.
    #[snafu(display(
        "records {head}..{earliest} have expired and no snapshot covers them; load the state from a peer"
    ))]
    Expired {
        /// The reader's head.
        head: u64,
        /// Offset of the oldest record that the log retains.
        earliest: u64,
    },
    /// The bundle of an image is not signed by operators that this process trusts.
    #[snafu(display("bundle of the image is not trusted: {source}"))]
    Untrusted {
        /// Error of the signature check.
        source: sign::Error,
    },
    /// The image cannot be decoded.
    #[snafu(display("image cannot be decoded: {message}"))]
    Image {
        /// Error of the decoder.
        message: String,
    },
    /// The image is older than the state of this reader.
    #[snafu(display("image ends at offset {image} and is older than the state of this process at offset {head}"))]
    Older {
        /// Head of the image.
        image: u64,
        /// The reader's head.
        head: u64,
    },
}

/// Folds the log in offset order into a [`State`].
#[derive(Debug, Clone)]
pub struct Reader {
    initial_operators: Vec<Operator>,
    state: State,
}

impl Reader {
    /// Creates an empty reader; `initial_operators` may sign the first bundle.
    pub fn new(initial_operators: Vec<Operator>) -> Self {
        Self {
            state: State::new(initial_operators.clone()),
            initial_operators,
        }
    }

    /// Returns the folded state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Folds `batch` and passes each outcome to `on_outcome` and each alarm to `on_alarm`.
    ///
    /// Returns the entries that were new, to be relayed to peers.
    pub fn fold(
        &mut self,
        batch: &Batch,
        mut on_outcome: impl FnMut(u64, &Outcome),
        mut on_alarm: impl FnMut(Alarm),
    ) -> Result<Vec<LogEntry>, Error> {
        self.bridge_gap(batch)?;
        let mut new_entries = Vec::new();
        for entry in &batch.entries {
            if entry.offset < self.state.head() {
                continue;
            }
            // A gap inside a batch means that the response was damaged; the next read starts at the head again.
            if entry.offset > self.state.head() {
                break;
            }
            let outcome = self.state.apply(entry.offset, &entry.data);
            report_alarm(entry.offset, &outcome, &mut on_alarm);
            on_outcome(entry.offset, &outcome);
            new_entries.push(entry.clone());
        }
        Ok(new_entries)
    }

    /// Replaces the state with a peer's image if that is newer and trusted operators signed its bundle.
    pub fn adopt(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let image = Image::decode(bytes).map_err(|error| Error::Image {
            message: error.to_string(),
        })?;
        let head = self.state.head();
        if image.head() <= head && (head > 0 || image.active_certificate().is_none()) {
            return OlderSnafu {
                image: image.head(),
                head,
            }
            .fail();
        }
        self.verify(&image)?;
        self.state = State::from_image(self.initial_operators.clone(), image);
        Ok(())
    }

    /// Checks the signatures of the image's bundle and rejects a bundle older than the active one.
    fn verify(&self, image: &Image) -> Result<(), Error> {
        let Some(certificate) = image.active_certificate() else {
            return Ok(());
        };
        if let Some(active) = self.state.active_certificate() {
            if certificate.bundle.version() < active.bundle.version() {
                return OlderSnafu {
                    image: image.head(),
                    head: self.state.head(),
                }
                .fail();
            }
            let trusted: Vec<Operator> = self
                .initial_operators
                .iter()
                .chain(&active.bundle.fleet().operators)
                .cloned()
                .collect();
            return certificate
                .verify(&trusted)
                .map_err(|source| Error::Untrusted { source });
        }
        certificate
            .verify(&self.initial_operators)
            .map_err(|source| Error::Untrusted { source })
    }

    fn bridge_gap(&mut self, batch: &Batch) -> Result<(), Error> {
        let head = self.state.head();
        if batch.earliest <= head {
            return Ok(());
        }
        let expired = Error::Expired {
            head,
            earliest: batch.earliest,
        };
        let snapshot = latest_snapshot(batch).ok_or(expired)?;
        self.adopt(&snapshot.image)
    }
}

/// Returns the latest snapshot in `batch` after which no record has expired.
fn latest_snapshot(batch: &Batch) -> Option<Snapshot> {
    batch
        .entries
        .iter()
        .rev()
        .find_map(|entry| match Record::decode(&entry.data) {
            Ok(Record {
                body: RecordBody::Snapshot(snapshot),
                ..
            }) if snapshot.head >= batch.earliest && !snapshot.image.is_empty() => Some(snapshot),
            _ => None,
        })
}

/// Returns a copy of `entry` without the image of a snapshot, for a reader that already has the state.
pub fn without_image(entry: &LogEntry) -> LogEntry {
    match Record::decode(&entry.data) {
        Ok(Record {
            id,
            body: RecordBody::Snapshot(snapshot),
        }) => {
            let body = RecordBody::Snapshot(Snapshot {
                image: Vec::new(),
                ..snapshot
            });
            LogEntry {
                offset: entry.offset,
                data: Bytes::from(Record { id, body }.encode()),
            }
        }
        _ => entry.clone(),
    }
}

fn report_alarm(offset: u64, outcome: &Outcome, on_alarm: &mut impl FnMut(Alarm)) {
    match &outcome.verdict {
        Verdict::Damaged(message) => on_alarm(Alarm::Damaged {
            offset,
            message: message.clone(),
        }),
        Verdict::SnapshotDiffers => on_alarm(Alarm::SnapshotDiffers { offset }),
        _ => {}
    }
}
