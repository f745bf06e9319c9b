//! A stream of a target that lets other tasks run while bytes arrive without pause.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::shared_stream::SharedStream;

/// Bytes that are read before other tasks run. The HTTP client reads on without a pause while they yield no part of a
/// response, such as interim responses or the leading zeros of a chunk size.
const MAX_BYTES_PER_TURN: usize = 8 << 10;

/// A stream that yields after [`MAX_BYTES_PER_TURN`].
#[derive(Debug)]
pub(crate) struct YieldingStream {
    stream: SharedStream,
    /// Bytes read since other tasks could run.
    bytes_in_turn: usize,
}

impl YieldingStream {
    pub(crate) fn new(stream: SharedStream) -> Self {
        Self {
            stream,
            bytes_in_turn: 0,
        }
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.bytes_in_turn >= MAX_BYTES_PER_TURN {
            self.bytes_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.bytes_in_turn = match &result {
            Poll::Ready(_) => self.bytes_in_turn + buf.filled().len() - filled,
            Poll::Pending => 0,
        };
        result
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
