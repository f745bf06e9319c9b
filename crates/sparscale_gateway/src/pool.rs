//! Pool of connections to targets. Connections are opened on demand and reused until they are closed or idle for so
//! long that the target may have closed them.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::{self, BoxFuture};
use http::header::{HeaderMap, HeaderName};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use socket2::SockRef;
use sparscale_catalog::{Directory, Incarnation};
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::budget;
use tokio::net::TcpStream;

use crate::shared_stream::{SharedStream, WeakStream};
use crate::yielding_stream::YieldingStream;
use sparscale_intake::Segments;

/// Maximum time to open a connection: several round trips inside a region. If an overloaded target drops the SYN
/// packet, it is retransmitted only after a second, which is too late to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that sent bytes may stay unacknowledged before the kernel drops the connection: a box without power sends no
/// reset. The retry budget relies on no request being in transit for longer.
const UNACKNOWLEDGED_TIMEOUT: Duration = budget::MAX_SEND_DELAY;
/// Fraction of the target's keep-alive time during which an idle connection is reused, so that no request arrives just
/// as the target closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.5;
/// Maximum idle time of a connection that is reused; a keep-alive time of the target can shorten it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Most bytes of a response that one connection reads ahead; a response head has to fit, too.
pub(crate) const MAX_READ_BUFFER_BYTES: usize = 32 << 10;
/// Receive buffer that is requested for the socket of a target; the kernel doubles it. A response whose caller reads
/// nothing fills it.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The connection was not established on time.
    #[snafu(display("connecting took longer than {} ms", CONNECT_TIMEOUT.as_millis()))]
    Timeout,
    /// The connection could not be opened.
    #[snafu(display("connecting failed: {source}"))]
    Connect { source: std::io::Error },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake on a new connection failed: {source}"))]
    Handshake { source: hyper::Error },
}

impl Error {
    /// Whether no process listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// A connection in use by one request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Segments>,
    pub(crate) stream: SharedStream,
    /// Whether no request has been sent on it yet.
    pub(crate) is_new: bool,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Segments>,
    /// The stream until the connection has ended. A handle of the pool would keep the socket open until a request takes
    /// the connection, and the target might send for as long.
    stream: WeakStream,
    idle_since: Timestamp,
    /// Idle time after which the target may close it.
    idle_limit: Duration,
}

/// Idle connections by incarnation. Neither address nor id would do as key: an address may be taken over by another
/// target, and a target that restarts keeps its id but none of its connections.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Incarnation, Vec<IdleConnection>>>,
    clock: Arc<dyn Clock>,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            idle: Mutex::default(),
            clock,
        }
    }

    /// Takes the most recently used connection, if it has been idle for at most `max_idle_time`.
    pub(crate) fn take(&self, target: Incarnation, max_idle_time: Duration) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&target)?;
        while let Some(last) = connections.pop() {
            let idle_time = now.since(last.idle_since);
            if idle_time > last.idle_limit || last.sender.is_closed() {
                continue;
            }
            if idle_time > max_idle_time || !last.sender.is_ready() {
                connections.push(last);
                return None;
            }
            let Some(stream) = last.stream.upgrade() else {
                continue;
            };
            return Some(Connection {
                sender: last.sender,
                stream,
                is_new: false,
            });
        }
        None
    }

    /// Returns a connection whose response was read to the end.
    pub(crate) fn put(&self, target: Incarnation, connection: Connection, response_headers: &HeaderMap) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(target).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender: connection.sender,
                stream: connection.stream.downgrade(),
                idle_since: self.clock.now(),
                idle_limit: idle_limit(response_headers),
            });
        }
    }

    /// Closes the connections to targets that are no longer listed.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock().retain(|target, _| targets.find(*target).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to `address`.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    handshake(open_stream(address).await?).await
}

/// Opens a TCP connection to `address`.
pub(crate) async fn open_stream(address: SocketAddr) -> Result<TcpStream, Error> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_elapsed| Error::Timeout)?
        .context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    let socket = SockRef::from(&stream);
    socket
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .and_then(|()| socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES))
        .context(ConnectSnafu)?;
    Ok(stream)
}

/// A connection that is being opened.
pub(crate) struct Opening {
    pub(crate) started_at: Timestamp,
    pub(crate) opening: BoxFuture<'static, Result<TcpStream, Error>>,
}

impl Opening {
    /// Requests a connection to `address`, before this returns.
    pub(crate) fn start(address: SocketAddr, clock: &dyn Clock) -> Self {
        let started_at = clock.now();
        let mut opening = open_stream(address).boxed();
        let mut context = Context::from_waker(Waker::noop());
        let opening = match opening.as_mut().poll(&mut context) {
            Poll::Ready(result) => future::ready(result).boxed(),
            Poll::Pending => opening,
        };
        Self { started_at, opening }
    }
}

impl fmt::Debug for Opening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Opening")
            .field("started_at", &self.started_at)
            .finish_non_exhaustive()
    }
}

/// Prepares an open TCP connection for requests.
pub(crate) async fn handshake(stream: TcpStream) -> Result<Connection, Error> {
    let stream = SharedStream::new(stream);
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(YieldingStream::new(stream.clone())))
        .await
        .context(HandshakeSnafu)?;
    tokio::spawn(async move {
        // A request that uses the connection gets the same error; an idle connection needs no handling.
        let _ended = driver.await;
    });
    Ok(Connection {
        sender,
        stream,
        is_new: true,
    })
}

/// Maximum idle time of a connection after this response: the target's keep-alive time, less a margin.
fn idle_limit(response_headers: &HeaderMap) -> Duration {
    let keep_alive = response_headers
        .get(HeaderName::from_static("keep-alive"))
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u32>().ok());
    let keep_alive = keep_alive.map(|seconds| Duration::from_secs(u64::from(seconds)).mul_f64(KEEP_ALIVE_FRACTION));
    keep_alive.map_or(MAX_IDLE_TIME, |time| time.min(MAX_IDLE_TIME))
}
