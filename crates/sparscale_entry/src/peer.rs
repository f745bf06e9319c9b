//! Streams that other processes open to an entry: they only follow the log.

use std::sync::Arc;

use sparscale_control::{Journal, serve_follower};
use sparscale_wire::{Ask, Channel, Endpoint, Frame, Peer};

/// Accepts connections until the endpoint closes.
pub(crate) async fn accept(journal: Arc<Journal>, endpoint: Arc<Endpoint>) {
    while let Ok(incoming) = endpoint.accept().await {
        let journal = Arc::clone(&journal);
        tokio::spawn(async move {
            match incoming.establish().await {
                Ok(peer) => serve_peer(journal, peer).await,
                Err(error) => {
                    log::warn!(target: sparscale_telemetry::ALARM, alarm = "connection_refused", error = error.to_string().as_str(); "a connection was refused");
                }
            }
        });
    }
}

async fn serve_peer(journal: Arc<Journal>, peer: Peer) {
    while let Ok(channel) = peer.accept().await {
        tokio::spawn(serve_stream(Arc::clone(&journal), channel));
    }
}

async fn serve_stream(journal: Arc<Journal>, mut channel: Channel) {
    let Ok(Frame::Ask(Ask::Follow { head, version })) = channel.receiver.receive().await else {
        return;
    };
    if let Err(error) = serve_follower(journal, head, version, channel.sender).await {
        log::debug!(error = error.to_string().as_str(); "a follower went away");
    }
}
