//! The other side of following: feeds records or the folded state to a peer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sparscale_wire::{Frame, Relayed, Sender, StreamError};

use crate::journal::Journal;

/// Bytes of the folded state in one frame.
const IMAGE_PART: usize = 256 << 10;
/// Longest silence towards a peer.
const IDLE: Duration = Duration::from_secs(2);

/// Relays records from `head` on to the peer behind `sender` until it goes away.
///
/// A peer that has no bundle, or that is too far back, gets the folded state first.
pub async fn serve(journal: Arc<Journal>, mut head: u64, version: u64, mut sender: Sender) -> Result<(), StreamError> {
    let mut heads = journal.heads();
    let mut wants_image = version == 0 && journal.in_force().is_some();
    loop {
        heads.mark_unchanged();
        if wants_image || head < journal.head() {
            head = send_news(&journal, head, wants_image, &mut sender).await?;
            wants_image = false;
            continue;
        }
        let age_ms = journal.age().as_millis() as u64;
        sender.send(&Frame::Relayed(Relayed::Idle { head, age_ms })).await?;
        // Either something is new, or it is time to say that nothing is.
        let _idle = tokio::time::timeout(IDLE, heads.changed()).await;
    }
}

async fn send_news(journal: &Journal, head: u64, wants_image: bool, sender: &mut Sender) -> Result<u64, StreamError> {
    let records = if wants_image { None } else { journal.records_from(head) };
    if let Some(Relayed::Records { first, records }) = records {
        let next = first + records.len() as u64;
        sender
            .send(&Frame::Relayed(Relayed::Records { first, records }))
            .await?;
        return Ok(next);
    }
    let image = journal.image();
    send_image(&Bytes::from(image.encode()), sender).await?;
    Ok(image.head())
}

async fn send_image(image: &Bytes, sender: &mut Sender) -> Result<(), StreamError> {
    let mut rest = image.clone();
    loop {
        let part = rest.split_to(rest.len().min(IMAGE_PART));
        let last = rest.is_empty();
        sender.send(&Frame::Relayed(Relayed::Image { part, last })).await?;
        if last {
            return Ok(());
        }
    }
}
