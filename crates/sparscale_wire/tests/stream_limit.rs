//! Processes that keep a stream or two set up little for each other: what may come costs memory on each connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_wire::{Channel, Endpoint, FEW_STREAMS, Identity, Role};

/// Longer than a stream takes to open on loopback.
const PATIENCE: Duration = Duration::from_millis(500);

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Accepts a connection and keeps it.
fn accept(server: Arc<Endpoint>) {
    tokio::spawn(async move {
        while let Ok(incoming) = server.accept().await {
            tokio::spawn(async move {
                let Ok(peer) = incoming.establish().await else { return };
                let mut kept = Vec::new();
                while let Ok(channel) = peer.accept().await {
                    kept.push(channel);
                }
            });
        }
    });
}

/// Streams that a client can open to `server`, up to one more than a few.
async fn opened(server: Endpoint) -> usize {
    let target = server.local_address().expect("an address");
    accept(Arc::new(server));
    let client = Endpoint::bind(address(), Identity::Made(Role::Entry)).expect("a free port");
    let mut channels: Vec<Channel> = Vec::new();
    while channels.len() <= FEW_STREAMS as usize {
        let opening = client.open(target, Role::Agent);
        let Ok(Ok(channel)) = tokio::time::timeout(PATIENCE, opening).await else {
            break;
        };
        channels.push(channel);
    }
    channels.len()
}

#[tokio::test]
async fn few_streams() {
    let server = Endpoint::with_streams(address(), Identity::Made(Role::Agent), FEW_STREAMS);
    assert_eq!(opened(server.expect("a free port")).await, FEW_STREAMS as usize);
}

#[tokio::test]
async fn stream_each_request() {
    let server = Endpoint::bind(address(), Identity::Made(Role::Agent));
    assert!(opened(server.expect("a free port")).await > FEW_STREAMS as usize);
}
