//! An endpoint for peers with few streams allows only few: every allowed stream costs memory on each connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_wire::{Channel, Endpoint, Identity, MAX_LONG_LIVED_STREAMS, Role};

/// Timeout for opening a stream; longer than that takes on the loopback interface.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

fn any_local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Accepts connections and keeps their streams open.
fn accept_streams(server: Arc<Endpoint>) {
    tokio::spawn(async move {
        while let Ok(incoming) = server.accept().await {
            tokio::spawn(async move {
                let Ok(peer) = incoming.establish().await else { return };
                let mut open_channels = Vec::new();
                while let Ok(channel) = peer.accept().await {
                    open_channels.push(channel);
                }
            });
        }
    });
}

/// Counts the streams that a client can open to `server`; stops at one more than [`MAX_LONG_LIVED_STREAMS`].
async fn count_open_streams(server: Endpoint) -> usize {
    let target = server.local_address().expect("an address");
    accept_streams(Arc::new(server));
    let client = Endpoint::bind(any_local_address(), Identity::SelfSigned(Role::Entry)).expect("a free port");
    let mut channels: Vec<Channel> = Vec::new();
    while channels.len() <= MAX_LONG_LIVED_STREAMS as usize {
        let opening = client.open(target, Role::Agent);
        let Ok(Ok(channel)) = tokio::time::timeout(OPEN_TIMEOUT, opening).await else {
            break;
        };
        channels.push(channel);
    }
    channels.len()
}

#[tokio::test]
async fn allows_few_streams() {
    let server = Endpoint::bind_with_max_streams(
        any_local_address(),
        Identity::SelfSigned(Role::Agent),
        MAX_LONG_LIVED_STREAMS,
    );
    assert_eq!(
        count_open_streams(server.expect("a free port")).await,
        MAX_LONG_LIVED_STREAMS as usize
    );
}

#[tokio::test]
async fn allows_stream_per_request() {
    let server = Endpoint::bind(any_local_address(), Identity::SelfSigned(Role::Agent));
    assert!(count_open_streams(server.expect("a free port")).await > MAX_LONG_LIVED_STREAMS as usize);
}
