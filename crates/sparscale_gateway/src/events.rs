//! Splits a stream of server-sent events into whole events.

use bytes::{Buf as _, Bytes, BytesMut};

/// Longest event; a longer one is no event of a sound target.
const MAX_EVENT: usize = 1 << 20;

/// One whole event, as its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) bytes: Bytes,
    /// Its id; none for a comment or an event without one.
    pub(crate) id: Option<u64>,
}

/// The stream holds an event that is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TooLong;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    pending: BytesMut,
    /// Bytes at the front in which no end was found.
    searched: usize,
}

impl Splitter {
    /// Takes in bytes as they came.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT {
            return Err(TooLong);
        }
        Ok(())
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let Some(end) = end_of_event(&self.pending, self.searched) else {
            // An end has up to four bytes, of which three may be here already.
            self.searched = self.pending.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event is pending.
    pub(crate) fn is_torn(&self) -> bool {
        self.pending.has_remaining()
    }
}

/// Index after the first empty line.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let ends = |index: usize| {
        let tail = &rest[index..];
        [&b"\n\n"[..], b"\r\n\r\n", b"\r\r"]
            .into_iter()
            .find(|end| tail.starts_with(end))
            .map(|end| from + index + end.len())
    };
    (0..rest.len())
        .filter(|index| matches!(rest[*index], b'\n' | b'\r'))
        .find_map(ends)
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
