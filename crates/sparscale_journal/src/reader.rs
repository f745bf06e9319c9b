//! Folds batches of the log in order, and starts from a snapshot when older records are gone.

use bytes::Bytes;
use snafu::Snafu;
use sparscale_bundle::{Operator, sign};

use crate::fold::{Outcome, Verdict};
use crate::log::{Batch, Entry};
use crate::record::{Body, Record, Snapshot};
use crate::state::{Image, State};

/// Something that operators must look at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Alarm {
    /// The record at this offset cannot be decoded.
    Damaged {
        /// Offset of the record.
        offset: u64,
        /// What the decoder said.
        message: String,
    },
    /// A snapshot differs from this reader's own fold.
    SnapshotDiffers {
        /// Offset of the snapshot record.
        offset: u64,
    },
}

/// Why a reader cannot go on.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The records after the reader's head are gone and no snapshot bridges the gap.
    #[snafu(display("records {head}..{earliest} are gone and no snapshot covers them; start from a peer"))]
    Expired {
        /// The reader's head.
        head: u64,
        /// Oldest record that is left.
        earliest: u64,
    },
    /// The bundle of an image is not signed by operators that this process trusts.
    #[snafu(display("the image is not trusted: {source}"))]
    Untrusted {
        /// What the check said.
        source: sign::Error,
    },
    /// The image cannot be decoded.
    #[snafu(display("the image cannot be decoded: {message}"))]
    Image {
        /// What the decoder said.
        message: String,
    },
    /// The image is older than what this process has.
    #[snafu(display("the image ends at {image}, this process is at {head}"))]
    Older {
        /// Head of the image.
        image: u64,
        /// The reader's head.
        head: u64,
    },
}

/// Folds the log in offset order.
#[derive(Debug, Clone)]
pub struct Reader {
    genesis: Vec<Operator>,
    state: State,
}

impl Reader {
    /// A reader that has seen nothing; `genesis` may sign the first bundle.
    pub fn new(genesis: Vec<Operator>) -> Self {
        Self {
            state: State::new(genesis.clone()),
            genesis,
        }
    }

    /// The folded state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Folds `batch`; hands each verdict to `judged` and each alarm to `alarm`.
    ///
    /// Returns the entries that were new, for relaying to peers.
    pub fn fold(
        &mut self,
        batch: &Batch,
        mut judged: impl FnMut(u64, &Outcome),
        mut alarm: impl FnMut(Alarm),
    ) -> Result<Vec<Entry>, Error> {
        self.bridge_gap(batch)?;
        let mut new = Vec::new();
        for entry in &batch.entries {
            if entry.offset < self.state.head() {
                continue;
            }
            // A hole inside a batch is a damaged answer; the next read asks again from the head.
            if entry.offset > self.state.head() {
                break;
            }
            let outcome = self.state.apply(entry.offset, &entry.data);
            raise(entry.offset, &outcome, &mut alarm);
            judged(entry.offset, &outcome);
            new.push(entry.clone());
        }
        Ok(new)
    }

    /// Takes over the state of a peer if it is newer and its bundle is signed by trusted operators.
    pub fn adopt(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let image = Image::decode(bytes).map_err(|error| Error::Image {
            message: error.to_string(),
        })?;
        let head = self.state.head();
        if image.head() <= head && (head > 0 || image.in_force().is_none()) {
            return OlderSnafu {
                image: image.head(),
                head,
            }
            .fail();
        }
        self.verify(&image)?;
        self.state = State::from_image(self.genesis.clone(), image);
        Ok(())
    }

    /// Versions never fall: an image whose bundle is older than the one in force is refused.
    fn verify(&self, image: &Image) -> Result<(), Error> {
        let Some(certificate) = image.in_force() else {
            return Ok(());
        };
        if let Some(own) = self.state.in_force() {
            if certificate.bundle.version() < own.bundle.version() {
                return OlderSnafu {
                    image: image.head(),
                    head: self.state.head(),
                }
                .fail();
            }
            let trusted: Vec<Operator> = self
                .genesis
                .iter()
                .chain(&own.bundle.fleet().operators)
                .cloned()
                .collect();
            return certificate
                .verify(&trusted)
                .map_err(|source| Error::Untrusted { source });
        }
        certificate
            .verify(&self.genesis)
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

/// The latest snapshot in `batch` whose following records are all still there.
fn latest_snapshot(batch: &Batch) -> Option<Snapshot> {
    batch
        .entries
        .iter()
        .rev()
        .find_map(|entry| match Record::decode(&entry.data) {
            Ok(Record {
                body: Body::Snapshot(snapshot),
                ..
            }) if snapshot.at >= batch.earliest && !snapshot.image.is_empty() => Some(snapshot),
            _ => None,
        })
}

/// A copy of `entry` without the image of a snapshot, for a reader that has the state already.
pub fn without_image(entry: &Entry) -> Entry {
    match Record::decode(&entry.data) {
        Ok(Record {
            id,
            body: Body::Snapshot(snapshot),
        }) => {
            let body = Body::Snapshot(Snapshot {
                image: Vec::new(),
                ..snapshot
            });
            Entry {
                offset: entry.offset,
                data: Bytes::from(Record { id, body }.encode()),
            }
        }
        _ => entry.clone(),
    }
}

fn raise(offset: u64, outcome: &Outcome, alarm: &mut impl FnMut(Alarm)) {
    match &outcome.verdict {
        Verdict::Damaged(message) => alarm(Alarm::Damaged {
            offset,
            message: message.clone(),
        }),
        Verdict::SnapshotDiffers => alarm(Alarm::SnapshotDiffers { offset }),
        _ => {}
    }
}
