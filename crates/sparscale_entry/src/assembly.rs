//! Puts an answer together from frames that may be late, doubled, out of order or someone else's.
//!
//! Pure: a frame goes in, what to do comes out. Only chunks of the right attempt in the right order are passed on,
//! and the answer counts as whole only at an end that names as many chunks as were passed on.

use std::collections::BTreeMap;

use bytes::Bytes;
use sparscale_wire::{Answer, AttemptId, Failure, Head, Load, Part, Refusal};

/// Chunks that may wait for an earlier one; more means that the stream is broken.
const MAX_AHEAD: usize = 1_024;

/// What a frame leads to.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing: the frame is not ours, or was seen before, or comes too early.
    Nothing,
    /// The answer begins.
    Head(Head),
    /// These chunks come next.
    Chunks(Vec<Bytes>),
    /// The answer is whole; these chunks were the last.
    End {
        /// Chunks that had waited for this moment.
        chunks: Vec<Bytes>,
        /// Load of the agent.
        load: Load,
    },
    /// The request was not handed on.
    Refused(Refusal),
    /// The request did not end well.
    Failed(Failure),
    /// The frames contradict each other: the stream has to be resumed.
    Broken(&'static str),
}

/// The answer to one attempt, as far as it has come.
#[derive(Debug, Clone)]
pub struct Assembly {
    attempt: AttemptId,
    next: u64,
    ahead: BTreeMap<u64, Bytes>,
    end: Option<(u64, Load)>,
    head_seen: bool,
    ended: bool,
}

impl Assembly {
    /// An empty answer to `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            next: 0,
            ahead: BTreeMap::new(),
            end: None,
            head_seen: false,
            ended: false,
        }
    }

    /// Number of the first chunk that is missing.
    pub fn next_chunk(&self) -> u64 {
        self.next
    }

    /// Whether the whole answer was passed on.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Takes in one frame.
    pub fn accept(&mut self, answer: Answer) -> Step {
        if answer.attempt != self.attempt || self.ended {
            return Step::Nothing;
        }
        match answer.part {
            Part::Head(_) if self.head_seen => Step::Nothing,
            Part::Head(head) => {
                self.head_seen = true;
                Step::Head(head)
            }
            Part::Chunk(chunk) => self.accept_chunk(chunk.sequence, chunk.data),
            Part::End { chunks, load } => self.accept_end(chunks, load),
            Part::Refused(_) if self.head_seen => Step::Broken("refused after the answer began"),
            Part::Refused(refusal) => Step::Refused(refusal),
            Part::Failed(failure) => Step::Failed(failure),
        }
    }

    fn accept_chunk(&mut self, sequence: u64, data: Bytes) -> Step {
        if sequence < self.next {
            return Step::Nothing;
        }
        if self.end.is_some_and(|(chunks, _)| sequence >= chunks) {
            return Step::Broken("a chunk lies behind the end");
        }
        self.ahead.insert(sequence, data);
        if self.ahead.len() > MAX_AHEAD {
            return Step::Broken("too many chunks wait for an earlier one");
        }
        let ready = self.take_ready();
        self.finish_if_whole(ready)
    }

    fn accept_end(&mut self, chunks: u64, load: Load) -> Step {
        let highest = self
            .ahead
            .last_key_value()
            .map_or(self.next, |(sequence, _)| sequence + 1);
        if chunks < highest || self.end.is_some_and(|(known, _)| known != chunks) {
            return Step::Broken("the end names fewer chunks than came");
        }
        self.end = Some((chunks, load));
        self.finish_if_whole(Vec::new())
    }

    fn take_ready(&mut self) -> Vec<Bytes> {
        let mut ready = Vec::new();
        while let Some(data) = self.ahead.remove(&self.next) {
            ready.push(data);
            self.next += 1;
        }
        ready
    }

    fn finish_if_whole(&mut self, chunks: Vec<Bytes>) -> Step {
        match self.end {
            Some((total, load)) if total == self.next => {
                self.ended = true;
                Step::End { chunks, load }
            }
            _ if chunks.is_empty() => Step::Nothing,
            _ => Step::Chunks(chunks),
        }
    }
}
