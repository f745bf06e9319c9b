//! Queue of orders with maps, paced to the bandwidth of the box's link.

use std::collections::VecDeque;

use sparscale_place::barrier::Order;
use tokio::time::Instant;

use crate::bandwidth::Bandwidth;

/// Orders with maps that wait to be sent.
#[derive(Debug)]
pub(crate) struct Outbox {
    bandwidth: Bandwidth,
    queue: VecDeque<(usize, Order)>,
    /// Bytes that may be sent now; negative after a send beyond the allowed rate.
    credit_bytes: f64,
    refilled_at: Instant,
    /// Bytes sent for the current map switch.
    pub(crate) sent_bytes: f64,
}

impl Outbox {
    pub(crate) fn new(bandwidth: Bandwidth) -> Self {
        Self {
            bandwidth,
            queue: VecDeque::new(),
            credit_bytes: bandwidth.map_burst_bytes(),
            refilled_at: Instant::now(),
            sent_bytes: 0.0,
        }
    }

    /// Queues an order to a rank.
    pub(crate) fn push(&mut self, rank: usize, order: Order) {
        self.queue.push_back((rank, order));
    }

    /// Returns the next order that may be sent at `now`.
    pub(crate) fn pop_ready(&mut self, now: Instant) -> Option<(usize, Order)> {
        let elapsed_seconds = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.credit_bytes =
            (self.credit_bytes + self.bandwidth.map_bytes_in(elapsed_seconds)).min(self.bandwidth.map_burst_bytes());
        if self.credit_bytes <= 0.0 {
            return None;
        }
        self.queue.pop_front()
    }

    /// Charges `bytes` that were sent.
    pub(crate) fn charge(&mut self, bytes: usize) {
        self.credit_bytes -= bytes as f64;
        self.sent_bytes += bytes as f64;
    }

    /// Empties the queue after a map switch and returns the ranks whose orders were not sent.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        self.sent_bytes = 0.0;
        self.queue.drain(..).map(|(rank, _)| rank).collect()
    }

    /// Seconds that the link needs for what was sent for the current map switch.
    pub(crate) fn link_seconds(&self) -> f64 {
        self.bandwidth.map_seconds(self.sent_bytes)
    }
}
