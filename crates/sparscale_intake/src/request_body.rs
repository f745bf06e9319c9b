//! Reads request bodies into memory for which there is room.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use sparscale_catalog::Limits;
use sparscale_policy::intake::{Activity, Owner};
use tokio::time::Instant;

use crate::connection::{Connection, Reservation};

/// Size of a segment, in bytes. Segments of one size leave no gaps in the heap that others do not fit in.
const SEGMENT_BYTES: usize = 32 << 10;
/// Size of the first segment of a body without an announced length, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Bytes after which the arrival of a body is recorded.
const RECORD_INTERVAL_BYTES: usize = 1 << 10;

/// Why a body was not read. None of these requests has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// There is no room. Bodies that stop arriving make room within [`STALL_TIME`](crate::STALL_TIME).
    NoRoom,
    /// It stopped arriving, and others needed its room.
    Stalled,
    /// It did not arrive on time.
    Late,
    /// Its framing is broken, or the caller closed the connection.
    Unreadable,
}

/// A complete body in segments, whose room is released with its last handle.
#[derive(Debug, Clone, Default)]
pub struct RequestBody(Arc<Content>);

#[derive(Debug, Default)]
struct Content {
    segments: Vec<Bytes>,
    bytes: usize,
    reservation: Option<Reservation>,
}

impl RequestBody {
    /// The segments of the body.
    pub fn as_slice(&self) -> &[Bytes] {
        &self.0.segments
    }

    /// The body in one piece, whose room is released with its last handle.
    pub fn into_contiguous(self) -> Bytes {
        let bytes = self.0.segments.concat();
        let reservation = Arc::into_inner(self.0).and_then(|content| content.reservation);
        Bytes::from_owner(Contiguous {
            bytes,
            _reservation: reservation,
        })
    }

    /// The body as it is sent to a target.
    pub fn segments(&self) -> Segments {
        Segments {
            content: Arc::clone(&self.0),
            sent: 0,
            remaining: self.0.bytes,
        }
    }
}

/// A body in one piece.
struct Contiguous {
    bytes: Vec<u8>,
    _reservation: Option<Reservation>,
}

impl AsRef<[u8]> for Contiguous {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body on its way to a target.
#[derive(Debug)]
pub struct Segments {
    content: Arc<Content>,
    /// Number of segments that were sent.
    sent: usize,
    /// Bytes that were not sent yet.
    remaining: usize,
}

impl hyper::body::Body for Segments {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.content.segments.get(self.sent).cloned() else {
            return Poll::Ready(None);
        };
        self.sent += 1;
        self.remaining -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}

/// How the body of one request is read.
#[derive(Debug)]
pub struct BodyReader<'a> {
    /// Connection that it arrives on.
    pub connection: &'a Arc<Connection>,
    /// Whose room it takes.
    pub owner: Owner,
    /// Limits of requests.
    pub limits: &'a Limits,
    /// When the request times out.
    pub deadline: Instant,
}

impl BodyReader<'_> {
    /// Reads a complete body. Fails if it exceeds the size limit, if there is no room, or if it stops arriving.
    pub async fn read(&self, incoming: &mut Incoming) -> Result<RequestBody, BodyError> {
        self.connection.set_activity(Activity::Body);
        let mut buffer = self.reserve(incoming.size_hint())?;
        let mut unrecorded = 0;
        while let Some(data) = self.next_part(incoming).await? {
            if buffer.bytes + data.len() > self.max_bytes() {
                return Err(BodyError::TooLong);
            }
            if !buffer.append(&data) {
                return Err(BodyError::NoRoom);
            }
            unrecorded += data.len();
            if unrecorded >= RECORD_INTERVAL_BYTES {
                self.connection.record_arrival(unrecorded);
                unrecorded = 0;
            }
        }
        self.connection.set_activity(Activity::Exchange);
        Ok(buffer.finish())
    }

    /// Reserves room for a body with an announced length, or for the first segment of another one.
    fn reserve(&self, size: SizeHint) -> Result<Buffer, BodyError> {
        if size.lower() > self.max_bytes() as u64 {
            return Err(BodyError::TooLong);
        }
        let announced = size.exact().map(|bytes| bytes as usize);
        let first_bytes = announced.unwrap_or(FIRST_SEGMENT_BYTES);
        let reservation = self.connection.reserve_body(self.owner, first_bytes);
        let reservation = reservation.ok_or(BodyError::NoRoom)?;
        Ok(Buffer::new(reservation, announced))
    }

    /// The limit of the configuration, or what this process can hold if that is less.
    fn max_bytes(&self) -> usize {
        let capacity = self.connection.intake().capacity();
        self.limits.max_body_bytes.min(capacity.max_body())
    }

    async fn next_part(&self, incoming: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let deadline = self.deadline.min(Instant::now() + self.limits.header_timeout);
            let frame = tokio::select! {
                biased;
                () = self.connection.evicted() => return Err(BodyError::Stalled),
                frame = tokio::time::timeout_at(deadline, incoming.frame()) => frame,
            };
            let Some(frame) = frame.map_err(|_elapsed| BodyError::Late)? else {
                return Ok(None);
            };
            let frame = frame.map_err(|_broken| BodyError::Unreadable)?;
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

/// A body that is arriving. Its parts are copied into segments: a part keeps the whole read buffer alive that it came in.
#[derive(Debug)]
struct Buffer {
    reservation: Reservation,
    /// Whether the length is announced, and the room reserved.
    is_announced: bool,
    /// Bytes for which no segment was allocated yet, if the length is announced.
    unallocated: usize,
    full: Vec<Bytes>,
    current: BytesMut,
    bytes: usize,
}

impl Buffer {
    fn new(reservation: Reservation, announced: Option<usize>) -> Self {
        let first_bytes = announced.unwrap_or(FIRST_SEGMENT_BYTES).min(SEGMENT_BYTES);
        Self {
            reservation,
            is_announced: announced.is_some(),
            unallocated: announced.unwrap_or(0).saturating_sub(first_bytes),
            full: Vec::new(),
            current: BytesMut::with_capacity(first_bytes),
            bytes: 0,
        }
    }

    /// Appends a part; returns whether there was room for it.
    fn append(&mut self, mut part: &[u8]) -> bool {
        self.bytes += part.len();
        while !part.is_empty() {
            let free = self.current.capacity() - self.current.len();
            if free == 0 {
                if !self.begin_segment() {
                    return false;
                }
                continue;
            }
            let (now, later) = part.split_at(free.min(part.len()));
            self.current.extend_from_slice(now);
            part = later;
        }
        true
    }

    fn begin_segment(&mut self) -> bool {
        let bytes = if self.is_announced {
            SEGMENT_BYTES.min(self.unallocated)
        } else {
            SEGMENT_BYTES
        };
        if !self.is_announced && !self.reservation.grow(bytes) {
            return false;
        }
        self.unallocated = self.unallocated.saturating_sub(bytes);
        let full = std::mem::replace(&mut self.current, BytesMut::with_capacity(bytes));
        self.full.push(full.freeze());
        true
    }

    fn finish(mut self) -> RequestBody {
        if !self.current.is_empty() {
            self.full.push(self.current.freeze());
        }
        RequestBody(Arc::new(Content {
            segments: self.full,
            bytes: self.bytes,
            reservation: Some(self.reservation),
        }))
    }
}
