//! Bodies of requests, read whole.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use sparscale_catalog::Limits;

use crate::refusal::{Reason, Refusal};

/// Reads a whole body, within the limits.
pub(crate) async fn read_body(mut incoming: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let declared = hyper::body::Body::size_hint(&incoming).lower();
    if declared > limits.body_bytes as u64 {
        return Err(Refusal::new(Reason::BodyTooLong));
    }
    let mut collected: Vec<Bytes> = Vec::new();
    let mut length = 0;
    loop {
        let frame = tokio::time::timeout(limits.header_time, incoming.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| Refusal::retry_immediately(Reason::BodyTimeout))? else {
            break;
        };
        let frame = frame.map_err(|_broken| Refusal::new(Reason::BodyUnreadable))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > limits.body_bytes {
            return Err(Refusal::new(Reason::BodyTooLong));
        }
        collected.push(data);
    }
    if collected.len() == 1 {
        return Ok(collected.swap_remove(0));
    }
    Ok(Bytes::from(collected.concat()))
}
