//! Counts the complete responses to requests with each prompt part.

use std::collections::HashMap;

use crate::fingerprint::Fingerprint;

/// Most parts of one generation, at about 40 bytes each. Two generations are kept.
const MAX_GENERATION_PARTS: usize = 4_096;

/// Prompt parts of recent complete responses. The oldest are forgotten, a whole generation at a time.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    current: HashMap<Fingerprint, u32>,
    previous: HashMap<Fingerprint, u32>,
}

impl SoundParts {
    /// Counts a response; returns the responses to requests with the part in this generation.
    pub(crate) fn record_response(&mut self, part: Fingerprint) -> u32 {
        if self.current.len() >= MAX_GENERATION_PARTS && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let count = self.current.entry(part).or_default();
        *count = count.saturating_add(1);
        *count
    }

    pub(crate) fn contains(&self, part: &Fingerprint) -> bool {
        self.current.contains_key(part) || self.previous.contains_key(part)
    }
}
