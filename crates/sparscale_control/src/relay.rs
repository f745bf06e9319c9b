//! Sends log records, or the folded state, to a peer that follows this process.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sparscale_wire::{Frame, RelayedLog, Sender, StreamError};

use crate::journal::Journal;

/// Maximum size of the part of a folded state in one frame.
const MAX_IMAGE_PART_BYTES: usize = 256 << 10;
/// Maximum time between two frames to a peer.
const MAX_IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// Relays records from offset `head` on to the peer at `sender` until the stream fails.
///
/// A peer that has no bundle (`version` 0) or is too far behind receives the folded state first.
pub async fn serve(journal: Arc<Journal>, mut head: u64, version: u64, mut sender: Sender) -> Result<(), StreamError> {
    let mut heads = journal.subscribe_heads();
    let mut needs_image = version == 0 && journal.active_certificate().is_some();
    loop {
        heads.mark_unchanged();
        if needs_image || head < journal.head() {
            head = send_updates(&journal, head, needs_image, &mut sender).await?;
            needs_image = false;
            continue;
        }
        let age_ms = journal.log_age().as_millis() as u64;
        sender
            .send(&Frame::RelayedLog(RelayedLog::Idle { head, age_ms }))
            .await?;
        // Waits for new records, or until the next idle frame is due.
        let _idle = tokio::time::timeout(MAX_IDLE_INTERVAL, heads.changed()).await;
    }
}

async fn send_updates(
    journal: &Journal,
    head: u64,
    needs_image: bool,
    sender: &mut Sender,
) -> Result<u64, StreamError> {
    let records = if needs_image { None } else { journal.records_from(head) };
    if let Some(RelayedLog::Records {
        first_offset: first,
        records,
    }) = records
    {
        let next = first + records.len() as u64;
        sender
            .send(&Frame::RelayedLog(RelayedLog::Records {
                first_offset: first,
                records,
            }))
            .await?;
        return Ok(next);
    }
    let image = journal.image();
    send_image(&Bytes::from(image.encode()), sender).await?;
    Ok(image.head())
}

async fn send_image(image: &Bytes, sender: &mut Sender) -> Result<(), StreamError> {
    let mut remaining = image.clone();
    loop {
        let part = remaining.split_to(remaining.len().min(MAX_IMAGE_PART_BYTES));
        let last = remaining.is_empty();
        sender
            .send(&Frame::RelayedLog(RelayedLog::Image {
                fragment: part,
                is_last: last,
            }))
            .await?;
        if last {
            return Ok(());
        }
    }
}
