//! A TCP proxy on loopback that impairs the connections through it.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;
/// Delay before a proxy that failed to bind its address retries.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// State of the link through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// Forwards everything.
    Open,
    /// Forwards everything with this delay.
    Delayed(Duration),
    /// Drops everything in both directions; neither side is notified.
    Blackhole,
    /// Drops everything towards the server.
    DropUpstream,
    /// Drops everything towards the client.
    DropDownstream,
    /// Resets connections.
    Reset,
    /// Resets connections and stops listening.
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

impl Link {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Blackhole => true,
            Self::DropUpstream => direction == Direction::Up,
            Self::DropDownstream => direction == Direction::Down,
            Self::Open | Self::Delayed(_) | Self::Reset | Self::Closed => false,
        }
    }

    fn delay(self) -> Duration {
        match self {
            Self::Delayed(delay) => delay,
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
    let mut bound = Some(listener);
    loop {
        let closed = *link.borrow_and_update() == Link::Closed;
        match (&bound, closed) {
            (Some(listener), false) => tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((client, _)) => drop(tokio::spawn(forward(client, server, link.clone()))),
                    Err(_error) => return,
                },
                changed = link.changed() => if changed.is_err() { return },
            },
            (None, false) => match TcpListener::bind(listen).await {
                Ok(listener) => bound = Some(listener),
                Err(_error) => tokio::time::sleep(BIND_RETRY_DELAY).await,
            },
            (_, true) => {
                bound = None;
                if link.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn forward(client: TcpStream, server: SocketAddr, link: watch::Receiver<Link>) {
    let state = *link.borrow();
    if matches!(state, Link::Reset | Link::Closed) {
        return reset(&client);
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        return reset(&client);
    };
    let Ok(client_socket) = socket(&client) else { return };
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = upstream.into_split();
    let broken = {
        let mut up = pin!(copy(&mut client_read, &mut server_write, Direction::Up, link.clone()));
        let mut down = pin!(copy(&mut server_read, &mut client_write, Direction::Down, link));
        // Each direction continues after the other has ended: a response is forwarded after its caller has finished
        // sending.
        tokio::select! {
            ended = &mut up => ended == DirectionEnd::Broken || down.await == DirectionEnd::Broken,
            ended = &mut down => ended == DirectionEnd::Broken || up.await == DirectionEnd::Broken,
        }
    };
    if broken {
        // With zero linger, the kernel sends a reset once the last handle is closed; a dropped half would send an orderly
        // end before.
        let _unsupported = client_socket.set_linger(Some(Duration::ZERO));
        client_write.forget();
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DirectionEnd {
    Closed,
    Broken,
}

/// Forwards bytes in one direction. A connection that lost bytes breaks as soon as the link changes again.
async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    mut link: watch::Receiver<Link>,
) -> DirectionEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut has_dropped = false;
    loop {
        let state = *link.borrow_and_update();
        if matches!(state, Link::Reset | Link::Closed) || (has_dropped && !state.drops(direction)) {
            return DirectionEnd::Broken;
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = link.changed() => match changed {
                Ok(()) => continue,
                Err(_gone) => return DirectionEnd::Broken,
            },
        };
        let state = *link.borrow();
        match read {
            Err(_error) => return DirectionEnd::Broken,
            Ok(_) if state.drops(direction) => has_dropped = true,
            Ok(0) => {
                // The receiver may have closed the connection already.
                let _gone = to.shutdown().await;
                return DirectionEnd::Closed;
            }
            Ok(count) => {
                tokio::time::sleep(state.delay()).await;
                if to.write_all(&buffer[..count]).await.is_err() {
                    return DirectionEnd::Broken;
                }
            }
        }
        if has_dropped {
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
