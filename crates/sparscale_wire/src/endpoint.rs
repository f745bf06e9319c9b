//! The UDP socket of a process and its pooled QUIC connections to other processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use quinn::{Connection, TransportConfig, VarInt};
use rustls::pki_types::CertificateDer;
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::sync::OnceCell;

use crate::stream::Channel;
use crate::tls::{self, Identity, Role};

/// A connection that receives no packet for this time is closed.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Interval of the packets that keep an idle connection alive; several fit into the idle timeout, so one may be lost.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for the setup of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Round trip time assumed for a new connection. A lost first packet is sent again after three of these. With the
/// transport's default of a third of a second, 8 of 16 simultaneous connection attempts timed out before that.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// A connection without an open stream is closed this long after its last stream was opened.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of streams that one peer may have open at once where each request is a stream.
const MAX_STREAMS: u32 = 16_384;
/// Maximum number of open streams for peers that open one or two and keep them. The transport allocates about 80 bytes
/// per allowed stream on each connection, which is 1.4 MB for [`MAX_STREAMS`].
pub const MAX_LONG_LIVED_STREAMS: u32 = 64;

/// Error while opening the socket or a connection.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket couldn't be opened.
    #[snafu(display("{address}: cannot be opened: {source}; choose a free address of this box"))]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The certificates are unusable.
    #[snafu(display("{source}"), context(false))]
    Tls {
        /// Cause, with the file.
        source: tls::Error,
    },
    /// No connection to the address can be attempted.
    #[snafu(display("{address}: {source}"))]
    Connect {
        /// Address of the other process.
        address: SocketAddr,
        /// Error of the transport.
        source: quinn::ConnectError,
    },
    /// The connection failed or broke.
    #[snafu(display("{address}: {source}"))]
    Connection {
        /// Address of the other process.
        address: SocketAddr,
        /// Error of the transport.
        source: quinn::ConnectionError,
    },
    /// The connection wasn't established within the timeout.
    #[snafu(display("{address}: no connection within {} ms", CONNECT_TIMEOUT.as_millis()))]
    Timeout {
        /// Address of the other process.
        address: SocketAddr,
    },
    /// The endpoint has been closed.
    #[snafu(display("this process is stopping"))]
    Closed,
    /// The certificate of the other process contains no role.
    #[snafu(display("{address}: the certificate contains no DNS name of a role; issue it for {}", Role::Entry.dns_name()))]
    MissingRole {
        /// Address of the other process.
        address: SocketAddr,
    },
}

/// Established connection from another process.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Role according to its certificate.
    pub role: Role,
    connection: Connection,
}

/// Incoming connection whose handshake hasn't finished.
#[derive(Debug)]
pub struct Incoming {
    incoming: quinn::Incoming,
}

/// Pooled connection and its use.
#[derive(Debug)]
struct Slot {
    connection: OnceCell<Connection>,
    /// Cloned into each stream; the reference count shows whether any stream is open.
    lease: Arc<()>,
    last_opened: Mutex<Instant>,
}

impl Default for Slot {
    fn default() -> Self {
        Self {
            connection: OnceCell::new(),
            lease: Arc::default(),
            last_opened: Mutex::new(Instant::now()),
        }
    }
}

impl Slot {
    fn record_use(&self) {
        *self.last_opened.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn is_unused(&self) -> bool {
        let last_opened = *self.last_opened.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::strong_count(&self.lease) == 1 && last_opened.elapsed() > UNUSED_TIMEOUT
    }
}

/// Socket of a process, with a pool of connections to other processes.
#[derive(Debug)]
pub struct Endpoint {
    socket: quinn::Endpoint,
    identity: Identity,
    transport: Arc<TransportConfig>,
    client: Mutex<quinn::ClientConfig>,
    connections: Mutex<HashMap<(SocketAddr, Role), Arc<Slot>>>,
}

impl Endpoint {
    /// Opens the socket at `address` with the certificates of `identity`, for peers that open one stream per request.
    pub fn bind(address: SocketAddr, identity: Identity) -> Result<Self, Error> {
        Self::bind_with_max_streams(address, identity, MAX_STREAMS)
    }

    /// Opens the socket like [`Endpoint::bind`], for peers that may have at most `max_streams` streams open at once.
    pub fn bind_with_max_streams(address: SocketAddr, identity: Identity, max_streams: u32) -> Result<Self, Error> {
        let configs = identity.load()?;
        let transport = transport(max_streams);
        let mut server = configs.server;
        server.transport_config(Arc::clone(&transport));
        let endpoint = quinn::Endpoint::server(server, address).context(BindSnafu { address })?;
        let mut client = configs.client;
        client.transport_config(Arc::clone(&transport));
        Ok(Self {
            socket: endpoint,
            identity,
            transport,
            client: Mutex::new(client),
            connections: Mutex::new(HashMap::new()),
        })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_address(&self) -> Result<SocketAddr, std::io::Error> {
        self.socket.local_addr()
    }

    /// Reloads the certificate files. Established connections stay open; new ones use the new certificates.
    pub fn reload(&self) -> Result<(), Error> {
        let configs = self.identity.load()?;
        let (mut server, mut client) = (configs.server, configs.client);
        server.transport_config(Arc::clone(&self.transport));
        client.transport_config(Arc::clone(&self.transport));
        self.socket.set_server_config(Some(server));
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Waits for the next incoming connection. The caller completes the handshake, so that a slow one delays no other.
    pub async fn accept(&self) -> Result<Incoming, Error> {
        let incoming = self.socket.accept().await.context(ClosedSnafu)?;
        Ok(Incoming { incoming })
    }

    /// Opens a stream to the process at `address` over the pooled connection or, if there is none or it failed, a new
    /// one.
    pub async fn open(&self, address: SocketAddr, role: Role) -> Result<Channel, Error> {
        let slot = self.slot(address, role);
        if let Ok(channel) = self.open_on(&slot, address, role).await? {
            return Ok(channel);
        }
        self.remove_slot(address, role, &slot);
        let slot = self.slot(address, role);
        let opened = self.open_on(&slot, address, role).await?;
        opened.context(ConnectionSnafu { address })
    }

    /// Opens a stream on the connection in `slot`. The inner error means that an established connection has failed.
    async fn open_on(
        &self,
        slot: &Slot,
        address: SocketAddr,
        role: Role,
    ) -> Result<Result<Channel, quinn::ConnectionError>, Error> {
        let lease = Arc::clone(&slot.lease);
        slot.record_use();
        let connection = slot.connection.get_or_try_init(|| self.connect(address, role)).await?;
        let opened = connection.open_bi().await;
        Ok(opened.map(|(send, receive)| Channel::new(send, receive, Some(lease))))
    }

    /// Establishes a connection to the process at `address` if there is none, so that a stream can be opened without
    /// delay.
    pub async fn ensure_connected(&self, address: SocketAddr, role: Role) -> Result<(), Error> {
        let slot = self.slot(address, role);
        if slot
            .connection
            .get()
            .is_some_and(|connection| connection.close_reason().is_some())
        {
            self.remove_slot(address, role, &slot);
        }
        let slot = self.slot(address, role);
        slot.record_use();
        slot.connection.get_or_try_init(|| self.connect(address, role)).await?;
        Ok(())
    }

    /// Closes the connection to the process at `address`, so that the next stream is opened over a new one.
    ///
    /// Used for an unresponsive peer: it may have restarted, and the new process doesn't know the connections of the
    /// old one. The transport detects that only after its idle timeout.
    pub fn drop_connection(&self, address: SocketAddr, role: Role) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = connections.remove(&(address, role));
        if let Some(connection) = slot.as_ref().and_then(|slot| slot.connection.get()) {
            connection.close(VarInt::from_u32(0), b"silent");
        }
    }

    /// Closes connections that have no open stream and haven't been used for a while; called periodically.
    ///
    /// An entry uses connections to a few agents all the time and to any other agent only occasionally. If all of them
    /// stayed open, their keep-alive packets alone would exhaust the traffic allowance of a box.
    pub fn close_unused(&self) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|_, slot| {
            if !slot.is_unused() {
                return true;
            }
            if let Some(connection) = slot.connection.get() {
                connection.close(VarInt::from_u32(0), b"unused");
            }
            false
        });
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.socket.close(VarInt::from_u32(0), b"stopping");
        self.socket.wait_idle().await;
    }

    async fn connect(&self, address: SocketAddr, role: Role) -> Result<Connection, Error> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let connecting = self.socket.connect_with(client, address, role.dns_name());
        let connecting = connecting.context(ConnectSnafu { address })?;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connected = connected.map_err(|_elapsed| Error::Timeout { address })?;
        connected.context(ConnectionSnafu { address })
    }

    fn slot(&self, address: SocketAddr, role: Role) -> Arc<Slot> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(connections.entry((address, role)).or_default())
    }

    fn remove_slot(&self, address: SocketAddr, role: Role, failed: &Arc<Slot>) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let is_current = connections
            .get(&(address, role))
            .is_some_and(|slot| Arc::ptr_eq(slot, failed));
        if is_current {
            connections.remove(&(address, role));
        }
    }
}

impl Incoming {
    /// Completes the handshake; a process without a valid certificate of the system is rejected.
    pub async fn establish(self) -> Result<Peer, Error> {
        let address = self.incoming.remote_address();
        let connection = self.incoming.await.context(ConnectionSnafu { address })?;
        let role = role_of(&connection).context(MissingRoleSnafu { address })?;
        Ok(Peer { role, connection })
    }
}

impl Peer {
    /// Waits for the next stream that the peer opens.
    pub async fn accept(&self) -> Result<Channel, Error> {
        let address = self.connection.remote_address();
        let (send, receive) = self.connection.accept_bi().await.context(ConnectionSnafu { address })?;
        Ok(Channel::new(send, receive, None))
    }
}

fn role_of(connection: &Connection) -> Option<Role> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    Role::of(chain.first()?)
}

fn transport(max_streams: u32) -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.initial_rtt(INITIAL_RTT);
    transport.max_concurrent_bidi_streams(VarInt::from_u32(max_streams));
    Arc::new(transport)
}
