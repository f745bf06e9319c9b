//! Reads request bodies into memory.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use sparscale_catalog::Limits;

use crate::refusal::{Reason, Refusal};

/// Reads a complete body; fails if it exceeds the size limit or if the next chunk takes longer than the header time.
pub(crate) async fn read_body(mut incoming: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let declared_bytes = hyper::body::Body::size_hint(&incoming).lower();
    if declared_bytes > limits.max_body_bytes as u64 {
        return Err(Refusal::new(Reason::BodyTooLong));
    }
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut received_bytes = 0;
    loop {
        let frame = tokio::time::timeout(limits.header_timeout, incoming.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| Refusal::retry_immediately(Reason::BodyTimeout))? else {
            break;
        };
        let frame = frame.map_err(|_broken| Refusal::new(Reason::BodyUnreadable))?;
        let Ok(data) = frame.into_data() else { continue };
        received_bytes += data.len();
        if received_bytes > limits.max_body_bytes {
            return Err(Refusal::new(Reason::BodyTooLong));
        }
        chunks.push(data);
    }
    if chunks.len() == 1 {
        return Ok(chunks.swap_remove(0));
    }
    Ok(Bytes::from(chunks.concat()))
}
