//! Puts an answer together from frames that may be late, doubled, out of order or someone else's.
//!
//! Pure: a frame goes in, what to do comes out. Only chunks of the right attempt in the right order are passed on,
//! and the answer counts as whole only at an end that names as many chunks as were passed on.

use std::collections::BTreeMap;

use bytes::Bytes;
use sparscale_wire::{Answer, AttemptId, Failure, Head, Load, Part, Refusal};

/// Chunks that may wait for an earlier one; more means that the stream is broken.
const MAX_OUT_OF_ORDER_CHUNKS: usize = 1_024;

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
    next_sequence: u64,
    out_of_order: BTreeMap<u64, Bytes>,
    announced_end: Option<(u64, Load)>,
    head_seen: bool,
    is_complete: bool,
}

impl Assembly {
    /// An empty answer to `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            next_sequence: 0,
            out_of_order: BTreeMap::new(),
            announced_end: None,
            head_seen: false,
            is_complete: false,
        }
    }

    /// Number of the first chunk that is missing.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether the whole answer was passed on.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Takes in one frame.
    pub fn accept(&mut self, answer: Answer) -> Step {
        if answer.attempt != self.attempt || self.is_complete {
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
        if sequence < self.next_sequence {
            return Step::Nothing;
        }
        if self.announced_end.is_some_and(|(chunks, _)| sequence >= chunks) {
            return Step::Broken("a chunk lies behind the end");
        }
        self.out_of_order.insert(sequence, data);
        if self.out_of_order.len() > MAX_OUT_OF_ORDER_CHUNKS {
            return Step::Broken("too many chunks wait for an earlier one");
        }
        let ready = self.take_ready();
        self.finish_if_complete(ready)
    }

    fn accept_end(&mut self, chunks: u64, load: Load) -> Step {
        let highest = self
            .out_of_order
            .last_key_value()
            .map_or(self.next_sequence, |(sequence, _)| sequence + 1);
        if chunks < highest || self.announced_end.is_some_and(|(known, _)| known != chunks) {
            return Step::Broken("the end names fewer chunks than came");
        }
        self.announced_end = Some((chunks, load));
        self.finish_if_complete(Vec::new())
    }

    fn take_ready(&mut self) -> Vec<Bytes> {
        let mut ready = Vec::new();
        while let Some(data) = self.out_of_order.remove(&self.next_sequence) {
            ready.push(data);
            self.next_sequence += 1;
        }
        ready
    }

    fn finish_if_complete(&mut self, chunks: Vec<Bytes>) -> Step {
        match self.announced_end {
            Some((total, load)) if total == self.next_sequence => {
                self.is_complete = true;
                Step::End { chunks, load }
            }
            _ if chunks.is_empty() => Step::Nothing,
            _ => Step::Chunks(chunks),
        }
    }
}
