//! One UDP socket of a process, and its connections to other processes.

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

/// A connection without any packet for this long is given up.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Packets that keep an idle connection alive; several fit into the idle timeout.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time that a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Round trip that a new connection is taken to have. A first packet that is lost is sent again after three of these; with the
/// transport's usual third of a second eight of sixteen dials at once were given up before that.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// A connection without a stream is closed when the last one was opened longer ago.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);
/// Streams that one peer may have open at once, where each request is one.
const MAX_STREAMS: u32 = 16_384;
/// The same where a peer opens a stream or two and keeps them. The transport sets up some 80 bytes for each stream that
/// may come, on each connection: 1.4 MB for [`MAX_STREAMS`].
pub const FEW_STREAMS: u32 = 64;

/// Why a process cannot talk to another.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket cannot be opened.
    #[snafu(display("{address}: cannot be opened: {source}; choose a free address of this box"))]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The certificates cannot be used.
    #[snafu(display("{source}"), context(false))]
    Tls {
        /// What is wrong with them.
        source: tls::Error,
    },
    /// The address cannot be connected to.
    #[snafu(display("{address}: {source}"))]
    Connect {
        /// The other process.
        address: SocketAddr,
        /// What the transport said.
        source: quinn::ConnectError,
    },
    /// The connection failed or broke.
    #[snafu(display("{address}: {source}"))]
    Connection {
        /// The other process.
        address: SocketAddr,
        /// What the transport said.
        source: quinn::ConnectionError,
    },
    /// No connection came about in time.
    #[snafu(display("{address}: no connection within {} ms", CONNECT_TIMEOUT.as_millis()))]
    Timeout {
        /// The other process.
        address: SocketAddr,
    },
    /// The endpoint was closed.
    #[snafu(display("this process is stopping"))]
    Closed,
    /// The peer's certificate names no role.
    #[snafu(display("{address}: the certificate names no role of the system; issue it for {}", Role::Entry.dns_name()))]
    Stranger {
        /// The other process.
        address: SocketAddr,
    },
}

/// A process that connected to this one.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What its certificate says it is.
    pub role: Role,
    connection: Connection,
}

/// A process that is connecting to this one.
#[derive(Debug)]
pub struct Incoming {
    incoming: quinn::Incoming,
}

/// One connection, and who uses it.
#[derive(Debug)]
struct Slot {
    connection: OnceCell<Connection>,
    /// Cloned into each stream; the count tells whether any is open.
    lease: Arc<()>,
    opened: Mutex<Instant>,
}

impl Default for Slot {
    fn default() -> Self {
        Self {
            connection: OnceCell::new(),
            lease: Arc::default(),
            opened: Mutex::new(Instant::now()),
        }
    }
}

impl Slot {
    fn note_open(&self) {
        *self.opened.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn is_unused(&self) -> bool {
        let opened = *self.opened.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::strong_count(&self.lease) == 1 && opened.elapsed() > UNUSED_TIMEOUT
    }
}

/// The socket of a process.
#[derive(Debug)]
pub struct Endpoint {
    socket: quinn::Endpoint,
    identity: Identity,
    transport: Arc<TransportConfig>,
    client: Mutex<quinn::ClientConfig>,
    connections: Mutex<HashMap<(SocketAddr, Role), Arc<Slot>>>,
}

impl Endpoint {
    /// Opens the socket at `address` with the certificates of `identity`, for a stream a request.
    pub fn bind(address: SocketAddr, identity: Identity) -> Result<Self, Error> {
        Self::with_streams(address, identity, MAX_STREAMS)
    }

    /// The same for peers that have `streams` streams open at once at most.
    pub fn with_streams(address: SocketAddr, identity: Identity, streams: u32) -> Result<Self, Error> {
        let configs = identity.load()?;
        let transport = transport(streams);
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

    /// Address that the socket has.
    pub fn local_address(&self) -> Result<SocketAddr, std::io::Error> {
        self.socket.local_addr()
    }

    /// Reads the certificate files again. Connections that stand keep going; new ones use the new certificates.
    pub fn reload(&self) -> Result<(), Error> {
        let configs = self.identity.load()?;
        let (mut server, mut client) = (configs.server, configs.client);
        server.transport_config(Arc::clone(&self.transport));
        client.transport_config(Arc::clone(&self.transport));
        self.socket.set_server_config(Some(server));
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// The next process that knocks. Its handshake is left to the caller, so that a slow one delays nobody.
    pub async fn accept(&self) -> Result<Incoming, Error> {
        let incoming = self.socket.accept().await.context(ClosedSnafu)?;
        Ok(Incoming { incoming })
    }

    /// Opens a stream to the process at `address`, over the connection that stands or a new one.
    pub async fn open(&self, address: SocketAddr, role: Role) -> Result<Channel, Error> {
        let slot = self.slot(address, role);
        if let Ok(channel) = self.open_on(&slot, address, role).await? {
            return Ok(channel);
        }
        self.forget(address, role, &slot);
        let slot = self.slot(address, role);
        let opened = self.open_on(&slot, address, role).await?;
        opened.context(ConnectionSnafu { address })
    }

    /// Opens a stream on the connection in `slot`; the inner error tells that the connection broke meanwhile.
    async fn open_on(
        &self,
        slot: &Slot,
        address: SocketAddr,
        role: Role,
    ) -> Result<Result<Channel, quinn::ConnectionError>, Error> {
        let lease = Arc::clone(&slot.lease);
        slot.note_open();
        let connection = slot.connection.get_or_try_init(|| self.connect(address, role)).await?;
        let opened = connection.open_bi().await;
        Ok(opened.map(|(send, receive)| Channel::new(send, receive, Some(lease))))
    }

    /// Sees to it that a connection to the process at `address` stands, so that a stream to it can be opened at once.
    pub async fn keep_ready(&self, address: SocketAddr, role: Role) -> Result<(), Error> {
        let slot = self.slot(address, role);
        if slot
            .connection
            .get()
            .is_some_and(|connection| connection.close_reason().is_some())
        {
            self.forget(address, role, &slot);
        }
        let slot = self.slot(address, role);
        slot.note_open();
        slot.connection.get_or_try_init(|| self.connect(address, role)).await?;
        Ok(())
    }

    /// Drops the connection to the process at `address`, so that the next stream is opened over a new one.
    ///
    /// For a peer that fell silent: it may have been started anew, and the new process knows nothing of the old one's
    /// connections. The transport itself notices that only after its idle timeout.
    pub fn renew(&self, address: SocketAddr, role: Role) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = connections.remove(&(address, role));
        if let Some(connection) = slot.as_ref().and_then(|slot| slot.connection.get()) {
            connection.close(VarInt::from_u32(0), b"silent");
        }
    }

    /// Closes connections without any stream that nobody has used for a while; to be called now and then.
    ///
    /// An entry talks to a few agents all the time and to any other once in a while. Kept for ever, those connections'
    /// keep-alive packets alone would use up a node's bytes.
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

    /// Closes all connections.
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

    fn forget(&self, address: SocketAddr, role: Role, broken: &Arc<Slot>) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let same = connections
            .get(&(address, role))
            .is_some_and(|slot| Arc::ptr_eq(slot, broken));
        if same {
            connections.remove(&(address, role));
        }
    }
}

impl Incoming {
    /// Finishes the handshake; a process without a valid certificate of the system is refused.
    pub async fn establish(self) -> Result<Peer, Error> {
        let address = self.incoming.remote_address();
        let connection = self.incoming.await.context(ConnectionSnafu { address })?;
        let role = role_of(&connection).context(StrangerSnafu { address })?;
        Ok(Peer { role, connection })
    }
}

impl Peer {
    /// The next stream that the peer opens.
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

fn transport(streams: u32) -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.initial_rtt(INITIAL_RTT);
    transport.max_concurrent_bidi_streams(VarInt::from_u32(streams));
    Arc::new(transport)
}
