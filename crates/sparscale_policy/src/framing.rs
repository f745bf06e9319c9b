//! Decides which responses are likely to end with their connection, so that it takes more than reading them to know that
//! they are whole.
//!
//! Load pattern: some targets of a service send event streams without a length, and other responses of the same routes with
//! one. A request whose response has a length should reuse a connection; one whose response has none should not.

/// Responses that count.
const HISTORY: u32 = 16;
/// A response is likely to have no length if at least one in this many had none.
const MIN_SHARE: u32 = 4;

/// How a response shows where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has a length, or comes in chunks.
    Delimited,
    /// It ends with its connection.
    Undelimited,
}

/// How the latest responses to requests of one kind showed where they end.
#[derive(Debug, Default, Clone, Copy)]
pub struct History {
    /// A bit for each response, the latest is the lowest; set if it was undelimited.
    undelimited: u16,
    count: u32,
}

impl History {
    /// Records a response.
    pub fn record(&mut self, framing: Framing) {
        let bit = u16::from(framing == Framing::Undelimited);
        self.undelimited = self.undelimited << 1 | bit;
        self.count = HISTORY.min(self.count + 1);
    }

    /// How the next response is likely to show where it ends; none before the first one.
    pub fn prediction(&self) -> Option<Framing> {
        if self.count == 0 {
            return None;
        }
        let is_undelimited = self.undelimited != 0 && self.undelimited.count_ones() * MIN_SHARE >= self.count;
        Some(if is_undelimited {
            Framing::Undelimited
        } else {
            Framing::Delimited
        })
    }
}
