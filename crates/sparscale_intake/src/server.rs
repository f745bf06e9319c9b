//! Serves the connections of callers: reads requests, closes connections that are idle or too slow, and drains at
//! shutdown.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
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
use sparscale_policy::intake::Activity;
use sparscale_telemetry::DECISION;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::body::Body;
use crate::connection::Connection;
use crate::listener::Listener;
use crate::phase::Phase;
use crate::request_span::RequestSpan;
use crate::slow_reader::{Progress, SEND_BUFFER_BYTES, stall_timeout};
use crate::wait_tracker::{Wait, WaitTracker};

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Number of checks, within the time without progress after which it is cut off, whether a connection makes progress.
const STALL_CHECKS: u32 = 8;

/// A stream that reports received bytes to its [`WaitTracker`], and written ones to its [`Progress`].
struct TrackedStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    tracker: Arc<WaitTracker>,
    progress: Arc<Progress>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before && self.tracker.record_bytes() {
            self.connection.set_activity(Activity::Head);
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

/// A response body that reports its parts to [`Progress`], and ends its [`RequestSpan`] with the response.
struct TrackedBody {
    body: Body,
    progress: Arc<Progress>,
    _span: Arc<RequestSpan>,
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

/// Responds to the requests of callers.
pub trait Handler: Send + Sync + 'static {
    /// Limits of a new connection.
    fn limits(&self) -> Limits;

    /// Responds to a request, whose body has not been read. A refused one has to [discard](RequestSpan::discard) it.
    fn handle(
        &self,
        request: Request<Incoming>,
        span: &Arc<RequestSpan>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Serves callers at `listener` until the phase is [`Phase::Closing`]. A caller that reads nothing of its response for
/// `stall_timeout` is cut off.
pub async fn serve<H: Handler>(
    listener: Listener,
    handler: Arc<H>,
    stall_timeout: Duration,
    mut phase: watch::Receiver<Phase>,
) {
    loop {
        let (stream, connection) = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        let connection = ServedConnection {
            connection: Arc::new(connection),
            handler: Arc::clone(&handler),
            usual_stall_timeout: stall_timeout,
            phase: phase.clone(),
        };
        tokio::spawn(connection.serve(stream));
    }
}

/// Serves one connection of a caller.
struct ServedConnection<H> {
    connection: Arc<Connection>,
    handler: Arc<H>,
    usual_stall_timeout: Duration,
    phase: watch::Receiver<Phase>,
}

impl<H: Handler> ServedConnection<H> {
    async fn serve(self, stream: TcpStream) {
        let prepared = stream
            .set_nodelay(true)
            .and_then(|()| SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES));
        if let Err(error) = prepared {
            log::debug!(error = error.to_string().as_str(); "caller closed the connection immediately");
            return;
        }
        let tracker = Arc::new(WaitTracker::new());
        let progress = Arc::new(Progress::new(Arc::clone(&self.connection)));
        let limits = self.handler.limits();
        let service = {
            let (handler, phase) = (Arc::clone(&self.handler), self.phase.clone());
            let (connection, tracker) = (Arc::clone(&self.connection), Arc::clone(&tracker));
            let progress = Arc::clone(&progress);
            service_fn(move |request| {
                let span = RequestSpan::begin(Arc::clone(&connection), Arc::clone(&tracker));
                respond(
                    Arc::clone(&handler),
                    request,
                    span,
                    Arc::clone(&progress),
                    phase.clone(),
                )
            })
        };
        let io = TokioIo::new(TrackedStream {
            stream,
            connection: Arc::clone(&self.connection),
            tracker: Arc::clone(&tracker),
            progress: Arc::clone(&progress),
        });
        let serving = http1::Builder::new()
            .auto_date_header(false)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service);
        let mut serving = pin!(serving);
        let mut phase = self.phase.clone();
        let (mut is_closing, mut is_evicted) = (false, false);
        // The rest of a response may be written for long after this deadline.
        let mut passed_deadline = None;
        loop {
            let deadline = tracker
                .deadline(&limits)
                .filter(|deadline| passed_deadline != Some(*deadline));
            let stall_check = Instant::now() + self.usual_stall_timeout / STALL_CHECKS;
            let next_check = deadline.map_or(stall_check, |deadline| deadline.min(stall_check));
            tokio::select! {
                // An error needs no handling: the caller sees how its connection ended.
                _ended = serving.as_mut() => return,
                () = tokio::time::sleep_until(next_check) => {
                    if self.is_reader_stalled(&progress) {
                        return;
                    }
                    let current_deadline = tracker.deadline(&limits);
                    if current_deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                        passed_deadline = current_deadline;
                        serving.as_mut().graceful_shutdown();
                        if tracker.is_waiting_for(Wait::Head) {
                            return;
                        }
                    }
                }
                () = self.connection.evicted(), if !is_evicted => {
                    is_evicted = true;
                    // A body that is arriving or discarded ends by itself, and its refusal is sent.
                    if !tracker.is_waiting_for(Wait::Response) || progress.blocked_since().is_some() {
                        return;
                    }
                    serving.as_mut().graceful_shutdown();
                }
                _ = phase.wait_for(|phase| *phase == Phase::Closing), if !is_closing => {
                    is_closing = true;
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Whether the caller has read nothing of its response for too long.
    fn is_reader_stalled(&self, progress: &Progress) -> bool {
        let timeout = stall_timeout(&self.connection, self.usual_stall_timeout);
        let is_stalled = progress.blocked_since().is_some_and(|since| since.elapsed() >= timeout);
        if is_stalled {
            let held = progress.held() as u64;
            self.connection.intake().record_stalled();
            log::info!(target: DECISION, decision = "reader_stalled", held, after_ms = timeout.as_millis() as u64; "a caller reads nothing of its response; its connection is cut off");
        }
        is_stalled
    }
}

async fn respond<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
    span: Arc<RequestSpan>,
    progress: Arc<Progress>,
    phase: watch::Receiver<Phase>,
) -> Result<Response<TrackedBody>, Infallible> {
    let mut response = handler.handle(request, &span).await;
    if *phase.borrow() != Phase::Serving {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(response.map(|body| TrackedBody {
        body,
        progress,
        _span: span,
    }))
}
