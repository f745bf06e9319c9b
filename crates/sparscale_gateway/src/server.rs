//! Connections from callers.

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
use crate::phase::{ConnectionCounter, Phase};

/// Pause after a connection could not be accepted: descriptors are short, and waiting frees some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Shortest read buffer that the HTTP library takes.
const MIN_BUFFER: usize = 8 << 10;
/// Added to the callers' idle time, so that the entry never closes a connection that a caller may still use.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The first byte of a request.
    Request = 0,
    /// The rest of a head.
    Head = 1,
    /// An answer of ours.
    Answer = 2,
}

/// What a connection is waiting for, and since when.
#[derive(Debug)]
struct Watch {
    wait: AtomicU8,
    since: Mutex<Instant>,
}

impl Watch {
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

    fn note_bytes(&self) {
        if self.wait.load(Ordering::Relaxed) == Wait::Request as u8 {
            self.set(Wait::Head);
        }
    }

    /// When the present wait is over.
    fn over(&self, limits: &Limits) -> Option<Instant> {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        match self.wait.load(Ordering::Relaxed) {
            wait if wait == Wait::Request as u8 => Some(since + limits.idle_time + IDLE_MARGIN),
            wait if wait == Wait::Head as u8 => Some(since + limits.header_time),
            _ => None,
        }
    }
}

/// A stream that tells its [`Watch`] when bytes arrive.
struct Watched {
    stream: TcpStream,
    watch: Arc<Watch>,
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.watch.note_bytes();
        }
        polled
    }
}

impl AsyncWrite for Watched {
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

/// A body that tells its [`Watch`] when the answer is over.
struct Answer {
    body: Body,
    watch: Arc<Watch>,
}

impl hyper::body::Body for Answer {
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

impl Drop for Answer {
    fn drop(&mut self) {
        self.watch.set(Wait::Request);
    }
}

/// Serves callers at `listener` until `phase` says to close.
pub(crate) async fn serve(
    listener: TcpListener,
    admission: Arc<Admission>,
    progress: Arc<ConnectionCounter>,
    mut phase: watch::Receiver<Phase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connection(stream, Arc::clone(&admission), phase.clone());
                let counted = Counted::new(Arc::clone(&progress));
                tokio::spawn(async move {
                    let _counted = counted;
                    connection.await;
                });
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct Counted {
    progress: Arc<ConnectionCounter>,
}

impl Counted {
    fn new(progress: Arc<ConnectionCounter>) -> Self {
        progress.connections.fetch_add(1, Ordering::Relaxed);
        Self { progress }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.progress.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection(stream: TcpStream, admission: Arc<Admission>, mut phase: watch::Receiver<Phase>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error = error.to_string().as_str(); "a caller left at once");
        return;
    }
    let watch = Arc::new(Watch::new());
    let limits = admission.limits();
    let service = {
        let (admission, watch, phase) = (Arc::clone(&admission), Arc::clone(&watch), phase.clone());
        service_fn(move |request| answer(Arc::clone(&admission), request, Arc::clone(&watch), *phase.borrow()))
    };
    let io = TokioIo::new(Watched {
        stream,
        watch: Arc::clone(&watch),
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
        .serve_connection(io, service);
    let mut serving = pin!(serving);
    let mut closing = false;
    loop {
        let over = watch.over(&limits);
        let check = over.unwrap_or_else(|| Instant::now() + limits.header_time);
        tokio::select! {
            // The caller sees how its connection ended.
            _ended = serving.as_mut() => return,
            () = tokio::time::sleep_until(check) => {
                if watch.over(&limits).is_some_and(|over| over <= Instant::now()) {
                    serving.as_mut().graceful_shutdown();
                    if watch.wait.load(Ordering::Relaxed) == Wait::Head as u8 {
                        return;
                    }
                }
            }
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if !closing => {
                closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer(
    admission: Arc<Admission>,
    request: Request<Incoming>,
    watch: Arc<Watch>,
    phase: Phase,
) -> Result<Response<Answer>, Infallible> {
    watch.set(Wait::Answer);
    let mut response = admission.answer(request).await;
    if phase != Phase::Serving {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(response.map(|body| Answer { body, watch }))
}
