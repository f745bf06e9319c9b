//! Connections end in a certain order, which shows however late this process looks and whatever is unread.

use std::io::Write as _;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use socket2::SockRef;
use sparscale_witness::EndObserver;
use tokio::net::TcpStream;

/// Connections and their peers' sides, observed under their index.
async fn connect(count: u64) -> (EndObserver, Vec<TcpStream>, Vec<std::net::TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let observer = EndObserver::new().expect("an observer");
    let (mut streams, mut peers) = (Vec::new(), Vec::new());
    for key in 0..count {
        let stream = TcpStream::connect(address).await.expect("a listener");
        observer.observe(&stream, key).expect("a connection");
        streams.push(stream);
        peers.push(listener.accept().expect("a connection").0);
    }
    (observer, streams, peers)
}

/// Waits for `count` ends.
fn take_ended(observer: &EndObserver, count: usize) -> Vec<u64> {
    let started_at = Instant::now();
    let mut ended = Vec::new();
    while ended.len() < count {
        assert!(started_at.elapsed() < Duration::from_secs(5), "only {ended:?}");
        ended.extend(observer.take_ended());
    }
    ended
}

#[tokio::test]
async fn any_order() {
    let (observer, _streams, peers) = connect(8).await;
    assert_eq!(observer.take_ended(), Vec::<u64>::new());
    let mut peers: Vec<_> = peers.into_iter().map(Some).collect();
    let order = [5, 0, 7, 2, 1, 6, 4, 3];
    for index in order {
        drop(peers[index].take());
    }
    assert_eq!(take_ended(&observer, order.len()), order.map(|index| index as u64));
    assert_eq!(observer.take_ended(), Vec::<u64>::new(), "each end is returned once");
}

/// Bytes that are not read yet, and resets, change nothing.
#[tokio::test]
async fn unread_and_reset() {
    let (observer, _streams, mut peers) = connect(4).await;
    for peer in &mut peers[..2] {
        peer.write_all(b"unread").expect("an open connection");
    }
    let reset = SockRef::from(&peers[2]);
    reset.set_linger(Some(Duration::ZERO)).expect("a linger time");
    let mut peers: Vec<_> = peers.into_iter().map(Some).collect();
    for index in [1, 2, 3, 0] {
        drop(peers[index].take());
    }
    assert_eq!(take_ended(&observer, 4), [1, 2, 3, 0]);
}

/// A process that takes more ends than fit into one batch sees all of them in order.
#[tokio::test]
async fn many_ends() {
    let (observer, _streams, peers) = connect(200).await;
    drop(peers);
    assert_eq!(take_ended(&observer, 200), (0..200).collect::<Vec<u64>>());
}
