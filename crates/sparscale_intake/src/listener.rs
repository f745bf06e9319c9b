//! Accepts connections as far as there is room for them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use sparscale_policy::intake::Port;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::{Connection, Intake};

/// Receive buffer that is requested for the socket of a caller; the kernel doubles it. What a caller sends while its
/// request is in progress stays there.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Delay after accepting a connection failed: usually descriptors are exhausted, and some become free meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listener that accepts within the capacity of the process.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    intake: Arc<Intake>,
    port: Port,
}

impl Listener {
    /// Listens at `address`.
    pub async fn bind(address: SocketAddr, intake: Arc<Intake>, port: Port) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        // Accepted sockets inherit the size.
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        Ok(Self { socket, intake, port })
    }

    /// Address that it listens at.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next connection that there is room for. Others are closed before anything is read.
    ///
    /// Cancel safe.
    pub async fn accept(&self) -> (TcpStream, Connection) {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    if let Some(connection) = self.intake.open(self.port) {
                        return (stream, connection);
                    }
                }
                Err(error) => {
                    log::warn!(error = error.to_string().as_str(); "accepting a connection failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
