//! Connections to targets: opened when needed, kept while they are good, and never trusted when they may be dead.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use socket2::SockRef;
use sparscale_catalog::{Directory, Incarnation, Seat};
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::budget;
use tokio::net::TcpStream;

/// Time that a new connection may take: several round trips inside a region. The opening packet of a connection that a
/// full target drops is sent again after a second only, too late to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which sent bytes may stay unacknowledged before the kernel gives the connection up. A box without power
/// says nothing. The budget counts on nothing being on its way for longer.
const UNACKNOWLEDGED_TIMEOUT: Duration = budget::MAX_SEND_DELAY;
/// Part of the time that a target keeps an idle connection for which it is still used, so that a request does not
/// meet its close.
const KEEP_ALIVE_PART: f64 = 0.5;
/// Longest rest of a connection before it is used again, where the target names no time.
const MAX_REST: Duration = Duration::from_secs(4);
/// Connections that rest at one target at most.
const MAX_IDLE: usize = 32;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The target did not answer in time.
    #[snafu(display("no connection within {} ms", CONNECT_TIMEOUT.as_millis()))]
    Timeout,
    /// The operating system refused.
    #[snafu(display("no connection: {source}"))]
    Connect { source: std::io::Error },
    /// HTTP could not begin.
    #[snafu(display("no HTTP on a new connection: {source}"))]
    Handshake { source: hyper::Error },
}

/// A connection that one request uses.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether no request was sent on it yet.
    pub(crate) fresh: bool,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Timestamp,
    /// Rest after which the target may close it.
    rest: Duration,
}

/// Idle connections to each start of each target: an address may pass to another target, and an id to the next start of
/// the same one, which knows nothing of what was opened before.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Incarnation, Vec<Idle>>>,
    clock: Arc<dyn Clock>,
}

impl Pool {
    /// A pool in which nothing rests yet.
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            idle: Mutex::default(),
            clock,
        }
    }

    /// The connection that was used last, if it has rested for `max_rest` at most.
    pub(crate) fn take(&self, target: Incarnation, max_rest: Duration) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let waiting = idle.get_mut(&target)?;
        while let Some(last) = waiting.pop() {
            let rested = now.since(last.since);
            if rested > last.rest || last.sender.is_closed() {
                continue;
            }
            if rested > max_rest || !last.sender.is_ready() {
                waiting.push(last);
                return None;
            }
            return Some(Connection {
                sender: last.sender,
                fresh: false,
            });
        }
        None
    }

    /// Gives back a connection whose answer was read to its end.
    pub(crate) fn put(&self, target: Incarnation, connection: Connection, answer: &HeaderMap) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let waiting = idle.entry(target).or_default();
        if waiting.len() < MAX_IDLE {
            waiting.push(Idle {
                sender: connection.sender,
                since: self.clock.now(),
                rest: rest_of(answer),
            });
        }
    }

    /// Whether the process of a target that broke a connection off is not there any more: nothing listens at its address.
    /// One that does not answer may be cut off. A connection that comes about is kept.
    pub(crate) async fn has_ended(&self, seat: &Seat) -> bool {
        match connect(seat.target.address).await {
            Ok(connection) => {
                self.put(seat.key, connection, &HeaderMap::new());
                false
            }
            Err(Error::Connect { source }) => source.kind() == std::io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        }
    }

    /// Closes the connections of targets that are gone.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock().retain(|target, _| targets.find(*target).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to `address`.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_elapsed| Error::Timeout)?
        .context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .context(ConnectSnafu)?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.context(HandshakeSnafu)?;
    tokio::spawn(async move {
        // The request that uses the connection sees the same error; an idle connection just ends.
        let _ended = driver.await;
    });
    Ok(Connection { sender, fresh: true })
}

/// Time for which a target keeps the connection of this answer open without use, less a margin.
fn rest_of(answer: &HeaderMap) -> Duration {
    let named = answer
        .get(HeaderName::from_static("keep-alive"))
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u32>().ok());
    let named = named.map(|seconds| Duration::from_secs(u64::from(seconds)).mul_f64(KEEP_ALIVE_PART));
    named.map_or(MAX_REST, |rest| rest.min(MAX_REST))
}
