//! Sends and receives length-delimited frames on one QUIC stream.

use std::sync::Arc;

use bytes::{BufMut as _, Bytes, BytesMut};
use futures::{SinkExt as _, StreamExt as _};
use quinn::{RecvStream, SendStream, VarInt};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::frame::Frame;

/// Version of the frame format, raised with each change of the encoding: two releases run side by side in a rollout.
const FRAME_VERSION: u8 = 3;
/// Longest accepted frame; a longer one is rejected before its content is read.
const MAX_FRAME_BYTES: usize = 2 << 20;
/// QUIC error code with which a receiver stops a stream that it no longer reads.
const STOP_CODE: u32 = 1;

/// Error while sending or receiving frames.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection or the stream failed.
    #[snafu(display("the stream failed: {source}"))]
    TransportFailed {
        /// Error of the transport.
        source: std::io::Error,
    },
    /// The stream ended where a frame was expected.
    #[snafu(display("the stream ended where a frame was expected"))]
    Ended,
    /// The other side uses another version of the frame format.
    #[snafu(display("frame version {version} is not supported by this release; roll out releases one step at a time"))]
    Version {
        /// Version byte of the frame.
        version: u8,
    },
    /// A frame couldn't be decoded.
    #[snafu(display("a frame cannot be decoded: {source}"))]
    Decode {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// A frame couldn't be encoded.
    #[snafu(display("a frame cannot be encoded: {source}"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
    /// The frame isn't of the type that the protocol allows here.
    #[snafu(display("received a frame of a type that is not allowed on this stream at this point"))]
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
    /// Shows the endpoint that the connection is in use, as long as it isn't dropped.
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
        self.frames.send(encoded).await.context(TransportFailedSnafu)
    }

    /// Signals the end of the stream to the receiver.
    pub fn finish(&mut self) {
        // The only error is that the stream is closed already.
        let _closed = self.frames.get_mut().finish();
    }

    /// Waits until the other side has stopped reading or the connection has closed.
    pub async fn stopped(&mut self) {
        // Both results mean that the other side reads no more frames.
        let _stopped = self.frames.get_mut().stopped().await;
    }
}

impl Receiver {
    /// Receives the next frame; the end of the stream is an error.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        let bytes = self
            .frames
            .next()
            .await
            .context(EndedSnafu)?
            .context(TransportFailedSnafu)?;
        decode(&bytes)
    }

    /// Asks the sender to send no more frames.
    pub fn stop(&mut self) {
        // The only error is that the stream is closed already.
        let _closed = self.frames.get_mut().stop(VarInt::from_u32(STOP_CODE));
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

pub(crate) fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::with_capacity(128).writer();
    buffer.get_mut().put_u8(FRAME_VERSION);
    postcard::to_io(frame, &mut buffer).context(EncodeSnafu)?;
    Ok(buffer.into_inner().freeze())
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let (version, content) = bytes.split_first().context(EndedSnafu)?;
    ensure!(*version == FRAME_VERSION, VersionSnafu { version: *version });
    postcard::from_bytes(content).context(DecodeSnafu)
}
