//! Observes in which order the peers of connections end them.

use std::os::fd::OwnedFd;

use rustix::buffer;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use tokio::net::TcpStream;

/// Ends that are taken from the kernel at once.
const BATCH: usize = 64;

/// Observes several connections.
///
/// One `epoll` instance queues their ends in the order in which they arrive, however much of a connection is still unread
/// and however late this process looks. Tasks that read the connections see them in any order.
#[derive(Debug)]
pub struct EndObserver {
    epoll: OwnedFd,
}

impl EndObserver {
    /// Creates an observer without connections.
    ///
    /// # Errors
    ///
    /// Fails if the process has too many open files.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
        })
    }

    /// Observes a connection, until it is dropped. `key` identifies it in [`Self::take_ended`].
    ///
    /// # Errors
    ///
    /// Fails if the kernel can observe no more connections.
    pub fn observe(&self, stream: &TcpStream, key: u64) -> std::io::Result<()> {
        let ends = epoll::EventFlags::RDHUP | epoll::EventFlags::ET;
        Ok(epoll::add(&self.epoll, stream, epoll::EventData::new_u64(key), ends)?)
    }

    /// The connections that their peers have closed or reset since the last call, in that order. A connection may be
    /// returned again when its state changes further.
    pub fn take_ended(&self) -> Vec<u64> {
        let mut ended = Vec::new();
        let mut batch = Vec::with_capacity(BATCH);
        let immediately = Timespec { tv_sec: 0, tv_nsec: 0 };
        loop {
            match epoll::wait(&self.epoll, buffer::spare_capacity(&mut batch), Some(&immediately)) {
                Ok(0) => return ended,
                Ok(_) => ended.extend(batch.drain(..).map(|event| event.data.u64())),
                Err(Errno::INTR) => {}
                // What has ended is then known from the connections themselves, but not in which order.
                Err(_) => return ended,
            }
        }
    }
}
