//! Buffers the response to one attempt, so that it can be sent again from any chunk after a stream has broken.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sparscale_wire::ResponseEvent;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Parts of a response received so far, in order.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    state: Mutex<BufferState>,
    part_added: Notify,
}

#[derive(Debug)]
struct BufferState {
    parts: Vec<ResponseEvent>,
    reader_count: usize,
    /// Time at which the last reader detached or the response ended; the retention of an unread response starts here.
    idle_since: Instant,
}

impl ResponseBuffer {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(BufferState {
                parts: Vec::new(),
                reader_count: 0,
                idle_since: Instant::now(),
            }),
            part_added: Notify::new(),
        }
    }

    /// Appends a part; ignored if the response has already ended.
    pub(crate) fn push(&self, part: ResponseEvent) {
        let mut state = self.lock();
        if state.parts.last().is_some_and(is_last) {
            return;
        }
        if is_last(&part) {
            state.idle_since = Instant::now();
        }
        state.parts.push(part);
        drop(state);
        self.part_added.notify_waiters();
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.lock().parts.last().is_some_and(is_last)
    }

    /// Waits for the part at `index`; returns `None` after the last part.
    pub(crate) async fn part(&self, index: usize) -> Option<ResponseEvent> {
        loop {
            let part_added = self.part_added.notified();
            {
                let state = self.lock();
                if let Some(part) = state.parts.get(index) {
                    return Some(part.clone());
                }
                if state.parts.last().is_some_and(is_last) {
                    return None;
                }
            }
            part_added.await;
        }
    }

    /// Registers a reader until the returned guard is dropped.
    pub(crate) fn attach(&self) -> ReaderGuard<'_> {
        self.lock().reader_count += 1;
        ReaderGuard { buffer: self }
    }

    /// Time since which the response has had no reader, or `None` while it has one.
    pub(crate) fn unread_since(&self) -> Option<Instant> {
        let state = self.lock();
        (state.reader_count == 0).then_some(state.idle_since)
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts as one reader of the response until it is dropped.
pub(crate) struct ReaderGuard<'a> {
    buffer: &'a ResponseBuffer,
}

impl Drop for ReaderGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.buffer.lock();
        state.reader_count -= 1;
        state.idle_since = Instant::now();
    }
}

fn is_last(part: &ResponseEvent) -> bool {
    match part {
        ResponseEvent::Head(_) | ResponseEvent::Chunk(_) => false,
        ResponseEvent::End { .. } | ResponseEvent::Rejected(_) | ResponseEvent::Failed(_) => true,
    }
}
