//! A TCP stream whose state can be observed while an HTTP connection uses it.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use sparscale_policy::termination::End;
use sparscale_witness::{EndObserver, ReceiveState};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A handle of a TCP stream; the stream is closed with its last handle.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream(Arc<Shared>);

/// A handle that does not keep the stream open.
#[derive(Debug)]
pub(crate) struct WeakStream(Weak<Shared>);

impl WeakStream {
    /// The stream, if it is still open.
    pub(crate) fn upgrade(&self) -> Option<SharedStream> {
        self.0.upgrade().map(SharedStream)
    }
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// How the connection ended for its reader or writer.
    end: OnceLock<End>,
    received_bytes: AtomicU64,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Shared {
            stream,
            end: OnceLock::new(),
            received_bytes: AtomicU64::new(0),
        }))
    }

    pub(crate) fn downgrade(&self) -> WeakStream {
        WeakStream(Arc::downgrade(&self.0))
    }

    /// Lets `observer` observe the end of the connection under `key`.
    pub(crate) fn observe_end(&self, observer: &EndObserver, key: u64) -> io::Result<()> {
        observer.observe(&self.0.stream, key)
    }

    pub(crate) fn receive_state(&self) -> ReceiveState {
        ReceiveState::of(&self.0.stream)
    }

    /// How the connection ended for its reader or writer; none while it is open.
    pub(crate) fn end(&self) -> Option<End> {
        self.0.end.get().copied()
    }

    /// Bytes that have been read.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.0.received_bytes.load(Ordering::Relaxed)
    }

    fn record_end(&self, end: End) {
        // Only the first end counts.
        let _recorded_before = self.0.end.set(end);
    }

    fn record_error(&self, error: io::Error) -> io::Error {
        self.record_end(End::Broken);
        error
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let has_space = buf.remaining() > 0;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    if count == 0 && has_space {
                        self.record_end(End::Orderly);
                    }
                    self.0.received_bytes.fetch_add(count as u64, Ordering::Relaxed);
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(self.record_error(error))),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map_err(|error| self.record_error(error))),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
