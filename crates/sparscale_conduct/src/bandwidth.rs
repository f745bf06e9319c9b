//! Bandwidth of a box's link, and its division among counts, maps and other traffic.

/// Share of a link that counts may use; states, orders and loads need the remainder.
const COUNTS_PART: f64 = 0.4;
/// Rounds of count reports per second.
const COUNT_ROUNDS: f64 = 10.0;
/// Share of a link that maps to agents may use, and the bytes that may be sent at once. A link drops what exceeds its
/// queue, and dropped packets are retransmitted up to half a second later: 128 changes of 1 KB sent at once over 6
/// Mbit/s took 1.1 s to arrive.
const MAPS_PART: f64 = 0.6;
const MAPS_BURST: f64 = 8_192.0;

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
    pub fn numbers_a_round(self) -> usize {
        (self.bytes_per_second * COUNTS_PART / COUNT_ROUNDS) as usize
    }

    /// Bytes of maps that may be sent within `seconds`.
    pub fn maps(self, seconds: f64) -> f64 {
        self.bytes_per_second * MAPS_PART * seconds
    }

    /// Seconds that it takes to send `bytes` of maps.
    pub fn seconds_of_maps(self, bytes: f64) -> f64 {
        bytes / self.maps(1.0).max(1.0)
    }

    /// Bytes of maps that may be sent at once after a pause.
    pub fn burst(self) -> f64 {
        MAPS_BURST
    }
}
