//! Frames on one quinn stream.

use std::sync::Arc;

use bytes::{BufMut as _, Bytes, BytesMut};
use futures::{SinkExt as _, StreamExt as _};
use quinn::{RecvStream, SendStream, VarInt};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::frame::Frame;

/// Version of the frame format.
const VERSION: u8 = 1;
/// Longest frame, in bytes; longer ones are refused before they are read.
const MAX_FRAME: usize = 2 << 20;
/// Code with which a receiver stops a stream that it no longer wants.
const STOP_CODE: u32 = 1;

/// Why frames cannot go on.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stream broke.
    #[snafu(display("the stream broke: {source}"))]
    Broken {
        /// What the transport said.
        source: std::io::Error,
    },
    /// The stream ended where a frame was due.
    #[snafu(display("the stream ended early"))]
    Ended,
    /// The other side speaks another version.
    #[snafu(display("frame version {version} is not known here; roll out releases one step at a time"))]
    Version {
        /// Version byte found.
        version: u8,
    },
    /// The frame cannot be decoded.
    #[snafu(display("a frame cannot be decoded: {source}"))]
    Decode {
        /// What the decoder said.
        source: postcard::Error,
    },
    /// The frame cannot be encoded.
    #[snafu(display("a frame cannot be encoded: {source}"))]
    Encode {
        /// What the encoder said.
        source: postcard::Error,
    },
    /// A frame of another kind was due.
    #[snafu(display("a frame of another kind was due"))]
    Unexpected,
}

/// Both directions of a stream.
#[derive(Debug)]
pub struct Channel {
    /// Frames to the other side.
    pub sender: Sender,
    /// Frames from the other side.
    pub receiver: Receiver,
}

/// Sends frames.
#[derive(Debug)]
pub struct Sender {
    frames: FramedWrite<SendStream, LengthDelimitedCodec>,
}

/// Receives frames.
#[derive(Debug)]
pub struct Receiver {
    /// Shows the endpoint that the connection is in use.
    _lease: Option<Arc<()>>,
    frames: FramedRead<RecvStream, LengthDelimitedCodec>,
}

impl Channel {
    pub(crate) fn new(send: SendStream, receive: RecvStream, lease: Option<Arc<()>>) -> Self {
        Self {
            sender: Sender {
                frames: FramedWrite::new(send, codec()),
            },
            receiver: Receiver {
                _lease: lease,
                frames: FramedRead::new(receive, codec()),
            },
        }
    }
}

impl Sender {
    /// Sends one frame.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let encoded = encode(frame)?;
        self.frames.send(encoded).await.context(BrokenSnafu)
    }

    /// Says that no further frame comes.
    pub fn finish(&mut self) {
        // A stream that is closed already needs no end.
        let _closed = self.frames.get_mut().finish();
    }

    /// Waits until the other side has stopped reading or the connection is gone.
    pub async fn stopped(&mut self) {
        // Either result means that nobody reads any more.
        let _stopped = self.frames.get_mut().stopped().await;
    }
}

impl Receiver {
    /// The next frame; an end of the stream is an error here.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        let bytes = self.frames.next().await.context(EndedSnafu)?.context(BrokenSnafu)?;
        decode(&bytes)
    }

    /// Tells the sender that nothing more is wanted.
    pub fn stop(&mut self) {
        // A stream that is closed already needs no stop.
        let _closed = self.frames.get_mut().stop(VarInt::from_u32(STOP_CODE));
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

pub(crate) fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::with_capacity(128).writer();
    buffer.get_mut().put_u8(VERSION);
    postcard::to_io(frame, &mut buffer).context(EncodeSnafu)?;
    Ok(buffer.into_inner().freeze())
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let (version, content) = bytes.split_first().context(EndedSnafu)?;
    ensure!(*version == VERSION, VersionSnafu { version: *version });
    postcard::from_bytes(content).context(DecodeSnafu)
}
