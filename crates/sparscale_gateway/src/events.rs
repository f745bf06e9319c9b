//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event; bounds the buffer if a target sends no end of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event as raw bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) bytes: Bytes,
    /// Id of the event; none for a comment or an event without a numeric id.
    pub(crate) id: Option<u64>,
}

/// An event of the stream exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    /// Number of leading bytes known to contain no end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let Some(end) = end_of_event(&self.pending, self.searched_bytes) else {
            // The end marker has up to four bytes, of which three may have arrived.
            self.searched_bytes = self.pending.len().saturating_sub(3);
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether an incomplete event is buffered. Line breaks alone are none.
    pub(crate) fn has_partial_event(&self) -> bool {
        self.pending.iter().any(|byte| !matches!(byte, b'\n' | b'\r'))
    }
}

/// Index after the first empty line at or after `from`.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let unsearched = bytes.get(from..)?;
    let end_at = |index: usize| {
        let tail = &unsearched[index..];
        [&b"\n\n"[..], b"\r\n\r\n", b"\r\r"]
            .into_iter()
            .find(|end| tail.starts_with(end))
            .map(|end| from + index + end.len())
    };
    (0..unsearched.len())
        .filter(|index| matches!(unsearched[*index], b'\n' | b'\r'))
        .find_map(end_at)
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
