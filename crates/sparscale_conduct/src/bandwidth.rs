//! Bandwidth of a box's link, and its division among counts, maps and other traffic.

/// Share of a link that counts may use; states, orders and loads need the remainder.
const COUNTS_SHARE: f64 = 0.4;
/// Rounds of count reports per second.
const COUNT_ROUNDS_PER_SECOND: f64 = 10.0;
/// Share of a link that maps to agents may use, and the bytes that may be sent at once. A link drops what exceeds its
/// queue, and dropped packets are retransmitted up to half a second later: 128 changes of 1 KB sent at once over 6
/// Mbit/s took 1.1 s to arrive.
const MAPS_SHARE: f64 = 0.6;
const MAPS_BURST_BYTES: f64 = 8_192.0;

/// Bandwidth of a box's link. The boxes of a group are assumed to have equal links.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bandwidth {
    bytes_per_second: f64,
}

impl Bandwidth {
    /// Creates the bandwidth of a link from megabits per second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self {
            bytes_per_second: mbps * 1.0e6 / 8.0,
        }
    }

    /// Count values, of about one byte each, that all ranks of a group together may report to the leader in one round.
    pub fn counts_per_round(self) -> usize {
        (self.bytes_per_second * COUNTS_SHARE / COUNT_ROUNDS_PER_SECOND) as usize
    }

    /// Bytes of maps that may be sent within `seconds`.
    pub fn map_bytes_in(self, seconds: f64) -> f64 {
        self.bytes_per_second * MAPS_SHARE * seconds
    }

    /// Seconds that it takes to send `bytes` of maps.
    pub fn map_seconds(self, bytes: f64) -> f64 {
        bytes / self.map_bytes_in(1.0).max(1.0)
    }

    /// Bytes of maps that may be sent at once after a pause.
    pub fn map_burst_bytes(self) -> f64 {
        MAPS_BURST_BYTES
    }
}
