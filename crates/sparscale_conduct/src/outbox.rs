//! Maps on their way to agents, no faster than the link carries them.

use std::collections::VecDeque;

use sparscale_place::barrier::Order;
use tokio::time::Instant;

use crate::bandwidth::Bandwidth;

/// Orders with maps that wait for the link.
#[derive(Debug)]
pub(crate) struct Outbox {
    bandwidth: Bandwidth,
    waiting: VecDeque<(usize, Order)>,
    /// Bytes that may leave now; below zero what has left ahead of its time.
    credit: f64,
    since: Instant,
    /// Bytes that have left since the last change began.
    pub(crate) sent: f64,
}

impl Outbox {
    pub(crate) fn new(bandwidth: Bandwidth) -> Self {
        Self {
            bandwidth,
            waiting: VecDeque::new(),
            credit: bandwidth.burst(),
            since: Instant::now(),
            sent: 0.0,
        }
    }

    /// Lets an order to a rank wait for its turn.
    pub(crate) fn push(&mut self, rank: usize, order: Order) {
        self.waiting.push_back((rank, order));
    }

    /// The next order whose turn it is now.
    pub(crate) fn next(&mut self, now: Instant) -> Option<(usize, Order)> {
        let seconds = now.saturating_duration_since(self.since).as_secs_f64();
        self.since = now;
        self.credit = (self.credit + self.bandwidth.maps(seconds)).min(self.bandwidth.burst());
        if self.credit <= 0.0 {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Notes that `bytes` have left.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.credit -= bytes as f64;
        self.sent += bytes as f64;
    }

    /// Takes out all that wait, for a change that is over.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        self.sent = 0.0;
        self.waiting.drain(..).map(|(rank, _)| rank).collect()
    }

    /// Time that what has left for this change takes on the link.
    pub(crate) fn seconds(&self) -> f64 {
        self.bandwidth.seconds_of_maps(self.sent)
    }
}
