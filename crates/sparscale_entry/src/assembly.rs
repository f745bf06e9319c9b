//! Assembles a response from frames that may be late, duplicated, out of order or part of another response.
//!
//! A pure state machine: each frame yields the next step. Only chunks of the expected attempt are forwarded, in order,
//! and the response is complete only when the end frame names as many chunks as were forwarded.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use bytes::Bytes;
use sparscale_wire::{AttemptId, Failure, Head, Refusal, ResponseEvent, ResponseFrame, TargetLoad};

/// Most chunks that are buffered while an earlier one is missing; with more the stream counts as broken.
const MAX_OUT_OF_ORDER_CHUNKS: usize = 1_024;
/// Statuses that a response may have.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// What the caller of [`Assembly::accept`] has to do after a frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Nothing: the frame belongs to another attempt, is a duplicate, or waits for an earlier chunk.
    Nothing,
    /// The response begins.
    Head(Head),
    /// Forward these chunks next.
    Chunks(Vec<Bytes>),
    /// The response is complete.
    End {
        /// The last chunks to forward.
        chunks: Vec<Bytes>,
        /// Load that the agent reported with the end frame.
        load: TargetLoad,
    },
    /// The agent rejected the request without forwarding it.
    Refused(Refusal),
    /// The request failed.
    Failed(Failure),
    /// The frames contradict each other, so the stream must be resumed.
    Broken(&'static str),
}

/// The response to one attempt, as far as it has been received.
#[derive(Debug, Clone)]
pub struct Assembly {
    attempt: AttemptId,
    next_sequence: u64,
    out_of_order: BTreeMap<u64, Bytes>,
    announced_end: Option<(u64, TargetLoad)>,
    head_seen: bool,
    is_complete: bool,
}

impl Assembly {
    /// Creates an empty response to `attempt`.
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

    /// Sequence number of the first missing chunk.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether the complete response was returned.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Processes one frame.
    pub fn accept(&mut self, answer: ResponseFrame) -> Step {
        if answer.attempt != self.attempt || self.is_complete {
            return Step::Nothing;
        }
        match answer.part {
            ResponseEvent::Head(_) if self.head_seen => Step::Nothing,
            ResponseEvent::Head(head) if !FINAL_STATUSES.contains(&head.status) => Step::Failed(Failure::Unknown {
                message: format!("{} is not the status of a final response", head.status),
            }),
            ResponseEvent::Head(head) => {
                self.head_seen = true;
                Step::Head(head)
            }
            ResponseEvent::Chunk(chunk) => self.accept_chunk(chunk.sequence, chunk.data),
            ResponseEvent::End {
                chunk_count: chunks,
                load,
            } => self.accept_end(chunks, load),
            ResponseEvent::Rejected(_) if self.head_seen => Step::Broken("refused after the answer began"),
            ResponseEvent::Rejected(refusal) => Step::Refused(refusal),
            ResponseEvent::Failed(failure) => Step::Failed(failure),
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

    fn accept_end(&mut self, chunks: u64, load: TargetLoad) -> Step {
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
