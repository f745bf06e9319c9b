//! What the link of a box carries.

/// Part of a link that counts may take; states, orders and loads need the rest.
const COUNTS_PART: f64 = 0.4;
/// Rounds of counts in a second.
const COUNT_ROUNDS: f64 = 10.0;
/// Part of a link that maps to agents may take, and bytes that may leave at once. A link drops what does not fit into its
/// queue, and what was dropped is sent again up to half a second later: 128 changes of 1 KB sent at once over 6 Mbit/s had
/// all arrived after 1.1 s.
const MAPS_PART: f64 = 0.6;
const MAPS_BURST: f64 = 8_192.0;

/// Rate of a box's link. The boxes of a group are taken to be alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bandwidth {
    bytes_per_second: f64,
}

impl Bandwidth {
    /// Of a link of so many megabits a second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self {
            bytes_per_second: mbps * 1.0e6 / 8.0,
        }
    }

    /// Numbers, of about a byte each, that the ranks of a group may tell their conductor in one round, together.
    pub fn numbers_a_round(self) -> usize {
        (self.bytes_per_second * COUNTS_PART / COUNT_ROUNDS) as usize
    }

    /// Bytes of maps that may leave within `seconds`.
    pub fn maps(self, seconds: f64) -> f64 {
        self.bytes_per_second * MAPS_PART * seconds
    }

    /// Seconds in which `bytes` of maps leave.
    pub fn seconds_of_maps(self, bytes: f64) -> f64 {
        bytes / self.maps(1.0).max(1.0)
    }

    /// Bytes of maps that may leave at once after a pause.
    pub fn burst(self) -> f64 {
        MAPS_BURST
    }
}
