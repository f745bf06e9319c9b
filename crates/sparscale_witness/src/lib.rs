//! Shows whether the process at the other end of a connection still runs.
//!
//! A process that terminates closes all of its connections, however soon the next one listens at its address. A
//! [`Witness`] is an idle connection by which that is noticed, and an [`EndObserver`] shows in which order connections end.

mod ends;

pub use ends::EndObserver;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use tokio::net::TcpStream;

/// What the kernel knows of the receiving side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveState {
    /// Nothing has arrived, and the peer has not closed the connection.
    Idle,
    /// Bytes have arrived, and the peer has not closed the connection after them.
    Readable,
    /// The peer has closed the connection. Bytes from before may be left to read.
    Closed,
    /// The connection has failed: the peer reset it, or does not respond.
    Broken,
}

impl ReceiveState {
    /// Queries the kernel, because the readiness that the runtime caches may be older.
    ///
    /// Takes nothing from the connection: the kernel reports an error such as a reset to one read or write only, and
    /// whoever reads the connection needs it.
    pub fn of(stream: &TcpStream) -> Self {
        let mut descriptors = [PollFd::new(stream, PollFlags::IN | PollFlags::RDHUP)];
        let immediately = Timespec { tv_sec: 0, tv_nsec: 0 };
        let events = loop {
            match rustix::event::poll(&mut descriptors, Some(&immediately)) {
                Ok(_) => break descriptors[0].revents(),
                Err(Errno::INTR) => {}
                // Nothing is known of the connection, so it is not relied on.
                Err(_) => return Self::Broken,
            }
        };
        if events.contains(PollFlags::ERR) {
            Self::Broken
        } else if events.intersects(PollFlags::RDHUP | PollFlags::HUP) {
            Self::Closed
        } else if events.contains(PollFlags::IN) {
            Self::Readable
        } else {
            Self::Idle
        }
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Closed | Self::Broken)
    }
}

/// An idle connection to one process.
#[derive(Debug)]
pub struct Witness {
    stream: TcpStream,
}

impl Witness {
    /// Uses an open connection on which no request is sent.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Whether the process still runs. A server sends nothing on a connection without a request, so one with bytes on
    /// it is not relied on.
    pub fn is_open(&self) -> bool {
        ReceiveState::of(&self.stream) == ReceiveState::Idle
    }

    /// Returns once the process has closed the connection.
    pub async fn wait_closed(&self) {
        while self.is_open() {
            // An error ends the connection, which the next check shows.
            let _ready = self.stream.readable().await;
        }
    }
}
