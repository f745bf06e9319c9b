//! A TCP proxy on loopback that impairs the connections through it.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER: usize = 16 << 10;
/// Delay before a proxy that failed to bind its address retries.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// State of the link through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// Forwards everything.
    Open,
    /// Forwards everything with this delay.
    Slow(Duration),
    /// Drops everything in both directions; neither side is notified.
    Silent,
    /// Drops everything towards the server.
    CutUp,
    /// Drops everything towards the client.
    CutDown,
    /// Resets connections.
    Reset,
    /// Resets connections and stops listening.
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Up,
    Down,
}

impl Link {
    fn swallows(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::CutUp => way == Way::Up,
            Self::CutDown => way == Way::Down,
            Self::Open | Self::Slow(_) | Self::Reset | Self::Closed => false,
        }
    }

    fn delay(self) -> Duration {
        match self {
            Self::Slow(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// A proxy in front of one server.
#[derive(Debug)]
pub(crate) struct Proxy {
    link: watch::Sender<Link>,
}

impl Proxy {
    /// Starts a proxy that forwards connections from `listen` to `server`.
    pub(crate) async fn start(listen: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let link = watch::Sender::new(Link::Open);
        tokio::spawn(accept(listener, listen, server, link.subscribe()));
        Ok(Self { link })
    }

    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Accepts connections while the link is not closed, and binds again once it is reopened.
async fn accept(listener: TcpListener, listen: SocketAddr, server: SocketAddr, mut link: watch::Receiver<Link>) {
    let mut listening = Some(listener);
    loop {
        let closed = *link.borrow_and_update() == Link::Closed;
        match (&listening, closed) {
            (Some(listener), false) => tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((client, _)) => drop(tokio::spawn(pass(client, server, link.clone()))),
                    Err(_error) => return,
                },
                changed = link.changed() => if changed.is_err() { return },
            },
            (None, false) => match TcpListener::bind(listen).await {
                Ok(listener) => listening = Some(listener),
                Err(_error) => tokio::time::sleep(BIND_PAUSE).await,
            },
            (_, true) => {
                listening = None;
                if link.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn pass(client: TcpStream, server: SocketAddr, link: watch::Receiver<Link>) {
    let state = *link.borrow();
    if matches!(state, Link::Reset | Link::Closed) {
        return reset(&client);
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        return reset(&client);
    };
    let Ok(client_again) = socket(&client) else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = upstream.into_split();
    let mut up = pin!(pump(client_read, server_write, Way::Up, link.clone()));
    let mut down = pin!(pump(server_read, client_write, Way::Down, link));
    // Each direction continues after the other has ended: a response is forwarded after its caller has finished
    // sending.
    let broken = tokio::select! {
        ended = &mut up => ended == Ended::Broken || down.await == Ended::Broken,
        ended = &mut down => ended == Ended::Broken || up.await == Ended::Broken,
    };
    if broken {
        // With zero linger, the kernel sends a reset once the last handle is closed.
        let _unsupported = client_again.set_linger(Some(Duration::ZERO));
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    Closed,
    Broken,
}

/// Forwards bytes in one direction. A connection that lost bytes breaks as soon as the link changes again.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way, mut link: watch::Receiver<Link>) -> Ended {
    let mut buffer = vec![0; BUFFER];
    let mut lost = false;
    loop {
        let state = *link.borrow_and_update();
        if matches!(state, Link::Reset | Link::Closed) || (lost && !state.swallows(way)) {
            return Ended::Broken;
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = link.changed() => match changed {
                Ok(()) => continue,
                Err(_gone) => return Ended::Broken,
            },
        };
        let state = *link.borrow();
        match read {
            Err(_error) => return Ended::Broken,
            Ok(_) if state.swallows(way) => lost = true,
            Ok(0) => {
                // The receiver may have closed the connection already.
                let _gone = to.shutdown().await;
                return Ended::Closed;
            }
            Ok(count) => {
                tokio::time::sleep(state.delay()).await;
                if to.write_all(&buffer[..count]).await.is_err() {
                    return Ended::Broken;
                }
            }
        }
        if lost {
            // Reading stops here: the dropped bytes can't be recovered.
            let _gone = link.changed().await;
        }
    }
}

fn socket(stream: &TcpStream) -> std::io::Result<socket2::Socket> {
    socket2::SockRef::from(stream).try_clone()
}

fn reset(stream: &TcpStream) {
    let _unsupported = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
