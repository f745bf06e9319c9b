//! Serves streams that other processes open to an entry: followers of the log, and pings.

use std::sync::Arc;

use sparscale_control::{Journal, serve_follower};
use sparscale_wire::{Channel, Endpoint, Frame, Peer, StreamError, StreamRequest};

/// Accepts connections from other processes until the endpoint closes.
pub(crate) async fn accept(journal: Arc<Journal>, endpoint: Arc<Endpoint>, incarnation: u64) {
    while let Ok(incoming) = endpoint.accept().await {
        let journal = Arc::clone(&journal);
        tokio::spawn(async move {
            match incoming.establish().await {
                Ok(peer) => serve_peer(journal, peer, incarnation).await,
                Err(error) => {
                    log::warn!(target: sparscale_telemetry::ALARM, alarm = "connection_refused", error = error.to_string().as_str(); "rejected a connection");
                }
            }
        });
    }
}

async fn serve_peer(journal: Arc<Journal>, peer: Peer, incarnation: u64) {
    while let Ok(channel) = peer.accept().await {
        let journal = Arc::clone(&journal);
        tokio::spawn(async move {
            if let Err(error) = serve_stream(journal, channel, incarnation).await {
                log::debug!(error = error.to_string().as_str(); "the stream to a peer failed");
            }
        });
    }
}

async fn serve_stream(journal: Arc<Journal>, mut channel: Channel, incarnation: u64) -> Result<(), StreamError> {
    match channel.receiver.receive().await? {
        Frame::Open(StreamRequest::FollowLog {
            from_offset: head,
            bundle_version: version,
        }) => serve_follower(journal, head, version, channel.sender).await,
        Frame::Open(StreamRequest::Ping) => {
            channel.sender.send(&Frame::Pong(incarnation)).await?;
            channel.sender.finish();
            channel.sender.stopped().await;
            Ok(())
        }
        _ => Err(StreamError::Unexpected),
    }
}
