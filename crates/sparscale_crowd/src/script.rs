//! What one caller of a crowd sends.

use std::net::SocketAddr;

/// Largest write of a caller, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// How a request frames its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The head announces the length.
    Length {
        /// Announced length, in bytes.
        announced: usize,
    },
    /// Chunks without an announced length.
    Chunks {
        /// Size of each chunk, in bytes.
        bytes: usize,
    },
}

/// The bytes that one caller sends before it only keeps its connection open.
#[derive(Debug, Clone)]
pub struct Script {
    pub(crate) address: SocketAddr,
    pub(crate) head: Vec<u8>,
    /// Part that is repeated after the head.
    pub(crate) part: Vec<u8>,
    pub(crate) part_count: usize,
    pub(crate) ending: Vec<u8>,
    pub(crate) reads_response: bool,
}

impl Script {
    /// A caller that sends nothing.
    pub fn silent(address: SocketAddr) -> Self {
        Self {
            address,
            head: Vec::new(),
            part: Vec::new(),
            part_count: 0,
            ending: Vec::new(),
            reads_response: true,
        }
    }

    /// A caller that sends only `head`.
    pub fn head(address: SocketAddr, head: impl Into<Vec<u8>>) -> Self {
        Self {
            head: head.into(),
            ..Self::silent(address)
        }
    }

    /// A caller that sends `sent` bytes of a body in the given framing. `head` contains the request line and the headers
    /// apart from those for the framing, each with its line end. The last chunk, which ends a chunked body, is left out.
    pub fn body(address: SocketAddr, head: &str, framing: Framing, sent: usize) -> Self {
        let (framing_header, unit) = match framing {
            Framing::Length { announced } => (
                format!("content-length: {announced}"),
                vec![b'x'; WRITE_BYTES.min(sent.max(1))],
            ),
            Framing::Chunks { bytes } => ("transfer-encoding: chunked".to_owned(), chunk(bytes)),
        };
        let payload_per_unit = match framing {
            Framing::Length { .. } => unit.len(),
            Framing::Chunks { bytes } => bytes,
        };
        let units = sent / payload_per_unit;
        let units_per_part = (WRITE_BYTES / unit.len()).clamp(1, units.max(1));
        let rest = sent % payload_per_unit;
        let mut ending = unit.repeat(units % units_per_part);
        match framing {
            Framing::Length { .. } => ending.extend(vec![b'x'; rest]),
            Framing::Chunks { .. } if rest > 0 => ending.extend(chunk(rest)),
            Framing::Chunks { .. } => {}
        }
        Self {
            address,
            head: format!("{head}{framing_header}\r\n\r\n").into_bytes(),
            part: unit.repeat(units_per_part),
            part_count: units / units_per_part,
            ending,
            reads_response: true,
        }
    }

    /// The same, with the chunk that ends a chunked body.
    #[must_use]
    pub fn with_last_chunk(mut self) -> Self {
        self.ending.extend_from_slice(b"0\r\n\r\n");
        self
    }

    /// The same, by a caller that reads nothing.
    #[must_use]
    pub fn without_reading(mut self) -> Self {
        self.reads_response = false;
        self
    }
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.extend(vec![b'x'; bytes]);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
