//! Serves the connections of callers: reads requests, closes connections that are idle or too slow, and drains at
//! shutdown.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sparscale_catalog::Limits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::body::Body;
use crate::phase::{Connections, Phase};

/// Delay after accepting a connection failed: usually file descriptors are exhausted, and some become free meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Added to the idle time that callers know, so that the entry never closes a connection that a caller may still use.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// What a connection currently waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The first byte of a request.
    Request = 0,
    /// The rest of a request head.
    Head = 1,
    /// The response of the entry.
    Response = 2,
}

/// Tracks what a connection waits for and since when, to enforce its timeouts.
#[derive(Debug)]
struct WaitTracker {
    wait: AtomicU8,
    since: Mutex<Instant>,
}

impl WaitTracker {
    fn new() -> Self {
        Self {
            wait: AtomicU8::new(Wait::Request as u8),
            since: Mutex::new(Instant::now()),
        }
    }

    fn set(&self, wait: Wait) {
        self.wait.store(wait as u8, Ordering::Relaxed);
        *self.since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn record_bytes(&self) {
        if self.wait.load(Ordering::Relaxed) == Wait::Request as u8 {
            self.set(Wait::Head);
        }
    }

    /// When the current wait times out; none while the entry responds.
    fn deadline(&self, limits: &Limits) -> Option<Instant> {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        match self.wait.load(Ordering::Relaxed) {
            wait if wait == Wait::Request as u8 => Some(since + limits.idle_timeout + IDLE_MARGIN),
            wait if wait == Wait::Head as u8 => Some(since + limits.header_timeout),
            _ => None,
        }
    }
}

/// A stream that reports received bytes to its [`WaitTracker`].
struct TrackedStream {
    stream: TcpStream,
    tracker: Arc<WaitTracker>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.tracker.record_bytes();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

/// A response body that resets its [`WaitTracker`] when the response has ended.
struct TrackedBody {
    body: Body,
    tracker: Arc<WaitTracker>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.tracker.set(Wait::Request);
    }
}

/// Serves callers at `listener` until the phase is [`Phase::Closing`].
pub(crate) async fn serve(
    listener: TcpListener,
    admission: Arc<Admission>,
    connection_counter: Arc<Connections>,
    mut phase: watch::Receiver<Phase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&admission), phase.clone());
                let guard = ConnectionGuard::new(Arc::clone(&connection_counter));
                tokio::spawn(async move {
                    let _guard = guard;
                    connection.await;
                });
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts an open connection until dropped.
struct ConnectionGuard {
    connection_counter: Arc<Connections>,
}

impl ConnectionGuard {
    fn new(connection_counter: Arc<Connections>) -> Self {
        connection_counter.connections.fetch_add(1, Ordering::Relaxed);
        Self { connection_counter }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connection_counter.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(stream: TcpStream, admission: Arc<Admission>, mut phase: watch::Receiver<Phase>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error = error.to_string().as_str(); "caller closed the connection immediately");
        return;
    }
    let tracker = Arc::new(WaitTracker::new());
    let limits = admission.limits();
    let service = {
        let (admission, tracker, phase) = (Arc::clone(&admission), Arc::clone(&tracker), phase.clone());
        service_fn(move |request| respond(Arc::clone(&admission), request, Arc::clone(&tracker), *phase.borrow()))
    };
    let io = TokioIo::new(TrackedStream {
        stream,
        tracker: Arc::clone(&tracker),
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut serving = pin!(serving);
    let mut is_closing = false;
    loop {
        let deadline = tracker.deadline(&limits);
        let next_check = deadline.unwrap_or_else(|| Instant::now() + limits.header_timeout);
        tokio::select! {
            // An error needs no handling: the caller sees how its connection ended.
            _ended = serving.as_mut() => return,
            () = tokio::time::sleep_until(next_check) => {
                if tracker.deadline(&limits).is_some_and(|deadline| deadline <= Instant::now()) {
                    serving.as_mut().graceful_shutdown();
                    if tracker.wait.load(Ordering::Relaxed) == Wait::Head as u8 {
                        return;
                    }
                }
            }
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn respond(
    admission: Arc<Admission>,
    request: Request<Incoming>,
    tracker: Arc<WaitTracker>,
    phase: Phase,
) -> Result<Response<TrackedBody>, Infallible> {
    tracker.set(Wait::Response);
    let mut response = admission.handle(request).await;
    if phase != Phase::Serving {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(response.map(|body| TrackedBody { body, tracker }))
}
