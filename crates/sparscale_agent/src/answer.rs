//! The answer to one attempt, buffered so that it can be sent again from any chunk.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sparscale_wire::Part;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Parts of an answer, in order, as far as they have come.
#[derive(Debug)]
pub(crate) struct Answer {
    inner: Mutex<Inner>,
    grown: Notify,
}

#[derive(Debug)]
struct Inner {
    parts: Vec<Part>,
    readers: usize,
    /// When the last reader left, or the answer ended; from then on it may be dropped.
    idle_since: Instant,
}

impl Answer {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                parts: Vec::new(),
                readers: 0,
                idle_since: Instant::now(),
            }),
            grown: Notify::new(),
        }
    }

    /// Adds a part, unless the answer has ended already.
    pub(crate) fn push(&self, part: Part) {
        let mut inner = self.lock();
        if inner.parts.last().is_some_and(is_last) {
            return;
        }
        if is_last(&part) {
            inner.idle_since = Instant::now();
        }
        inner.parts.push(part);
        drop(inner);
        self.grown.notify_waiters();
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.lock().parts.last().is_some_and(is_last)
    }

    /// The part at `index`, as soon as it is there; none after the last.
    pub(crate) async fn part(&self, index: usize) -> Option<Part> {
        loop {
            let grown = self.grown.notified();
            {
                let inner = self.lock();
                if let Some(part) = inner.parts.get(index) {
                    return Some(part.clone());
                }
                if inner.parts.last().is_some_and(is_last) {
                    return None;
                }
            }
            grown.await;
        }
    }

    /// Counts a reader for as long as the guard lives.
    pub(crate) fn attach(&self) -> Reading<'_> {
        self.lock().readers += 1;
        Reading { answer: self }
    }

    /// Since when nobody reads; none while somebody does.
    pub(crate) fn unread_since(&self) -> Option<Instant> {
        let inner = self.lock();
        (inner.readers == 0).then_some(inner.idle_since)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Somebody reads the answer.
pub(crate) struct Reading<'a> {
    answer: &'a Answer,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        let mut inner = self.answer.lock();
        inner.readers -= 1;
        inner.idle_since = Instant::now();
    }
}

fn is_last(part: &Part) -> bool {
    match part {
        Part::Head(_) | Part::Chunk(_) => false,
        Part::End { .. } | Part::Refused(_) | Part::Failed(_) => true,
    }
}
