//! Queue of orders with maps, paced to the bandwidth of the box's link.

use std::collections::VecDeque;

use sparscale_place::barrier::Order;
use tokio::time::Instant;

use crate::bandwidth::Bandwidth;

/// Orders with maps that wait to be sent.
#[derive(Debug)]
pub(crate) struct Outbox {
    bandwidth: Bandwidth,
    waiting: VecDeque<(usize, Order)>,
    /// Bytes that may be sent now; negative after a send beyond the allowed rate.
    credit: f64,
    since: Instant,
    /// Bytes sent for the current map switch.
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

    /// Queues an order to a rank.
    pub(crate) fn push(&mut self, rank: usize, order: Order) {
        self.waiting.push_back((rank, order));
    }

    /// Returns the next order that may be sent at `now`.
    pub(crate) fn next(&mut self, now: Instant) -> Option<(usize, Order)> {
        let seconds = now.saturating_duration_since(self.since).as_secs_f64();
        self.since = now;
        self.credit = (self.credit + self.bandwidth.maps(seconds)).min(self.bandwidth.burst());
        if self.credit <= 0.0 {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Charges `bytes` that were sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.credit -= bytes as f64;
        self.sent += bytes as f64;
    }

    /// Empties the queue after a map switch and returns the ranks whose orders were not sent.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        self.sent = 0.0;
        self.waiting.drain(..).map(|(rank, _)| rank).collect()
    }

    /// Seconds that the link needs for what was sent for the current map switch.
    pub(crate) fn seconds(&self) -> f64 {
        self.bandwidth.seconds_of_maps(self.sent)
    }
}
