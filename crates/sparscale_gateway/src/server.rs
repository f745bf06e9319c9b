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
use socket2::SockRef;
use sparscale_catalog::Limits;
use sparscale_telemetry::DECISION;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::body::Body;
use crate::phase::{Connections, Phase};
use crate::slow_reader::{Progress, SEND_BUFFER_BYTES};

/// Delay after accepting a connection failed: usually file descriptors are exhausted, and some become free meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Added to the idle time that callers know, so that the entry never closes a connection that a caller may still use.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Number of checks, within the time without progress after which it is cut off, whether a connection makes progress.
const STALL_CHECKS: u32 = 8;

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

/// A stream that reports received bytes to its [`WaitTracker`], and written ones to its [`Progress`].
struct TrackedStream {
    stream: TcpStream,
    tracker: Arc<WaitTracker>,
    progress: Arc<Progress>,
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
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.record_write(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.progress.record_write(&written);
        written
    }
}

/// A response body that resets its [`WaitTracker`] when the response has ended, and reports its parts to [`Progress`].
struct TrackedBody {
    body: Body,
    tracker: Arc<WaitTracker>,
    progress: Arc<Progress>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            self.progress.record_taken(data.len());
        }
        polled
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
    stall_timeout: Duration,
    mut phase: watch::Receiver<Phase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(
                    stream,
                    Arc::clone(&admission),
                    Arc::clone(&connection_counter),
                    stall_timeout,
                    phase.clone(),
                );
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

async fn serve_connection(
    stream: TcpStream,
    admission: Arc<Admission>,
    connection_counter: Arc<Connections>,
    stall_timeout: Duration,
    mut phase: watch::Receiver<Phase>,
) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = prepared {
        log::debug!(error = error.to_string().as_str(); "caller closed the connection immediately");
        return;
    }
    let tracker = Arc::new(WaitTracker::new());
    let progress = Arc::new(Progress::new(Arc::clone(&connection_counter.held)));
    let limits = admission.limits();
    let service = {
        let (admission, tracker, phase) = (Arc::clone(&admission), Arc::clone(&tracker), phase.clone());
        let progress = Arc::clone(&progress);
        service_fn(move |request| {
            let (tracker, progress) = (Arc::clone(&tracker), Arc::clone(&progress));
            respond(Arc::clone(&admission), request, tracker, progress, *phase.borrow())
        })
    };
    let io = TokioIo::new(TrackedStream {
        stream,
        tracker: Arc::clone(&tracker),
        progress: Arc::clone(&progress),
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut serving = pin!(serving);
    let mut is_closing = false;
    loop {
        let deadline = tracker.deadline(&limits);
        let stall_check = Instant::now() + stall_timeout / STALL_CHECKS;
        let next_check = deadline.map_or(stall_check, |deadline| deadline.min(stall_check));
        tokio::select! {
            // An error needs no handling: the caller sees how its connection ended.
            _ended = serving.as_mut() => return,
            () = tokio::time::sleep_until(next_check) => {
                let timeout = connection_counter.held.stall_timeout(stall_timeout);
                if progress.blocked_since().is_some_and(|since| since.elapsed() >= timeout) {
                    let held = progress.held() as u64;
                    admission.gateway.metrics.stalled_connections.increment();
                    log::info!(target: DECISION, decision = "reader_stalled", held, after_ms = timeout.as_millis() as u64; "a caller reads nothing of its response; its connection is cut off");
                    return;
                }
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
    progress: Arc<Progress>,
    phase: Phase,
) -> Result<Response<TrackedBody>, Infallible> {
    tracker.set(Wait::Response);
    let mut response = admission.handle(request).await;
    if phase != Phase::Serving {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(response.map(|body| TrackedBody {
        body,
        tracker,
        progress,
    }))
}
