//! Remembers prompt parts with which requests have received complete responses.

use std::collections::HashSet;

use crate::fingerprint::Fingerprint;

/// Most parts of one generation, at about 40 bytes each. Two generations are kept.
const MAX_GENERATION_PARTS: usize = 4_096;

/// Prompt parts of recent complete responses. The oldest are forgotten, a whole generation at a time.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
}

impl SoundParts {
    pub(crate) fn insert(&mut self, part: Fingerprint) {
        if self.current.len() >= MAX_GENERATION_PARTS && !self.current.contains(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part);
    }

    pub(crate) fn contains(&self, part: &Fingerprint) -> bool {
        self.current.contains(part) || self.previous.contains(part)
    }
}
