//! Decides how much of a group's free places one entry may fill until the next load report.
//!
//! Load pattern: for some seconds the load balancer in front hands most callers to one entry. With an equal share of the
//! free places that entry rejects requests while the places of the others stay free.
//!
//! An entry whose share did not suffice, while the next report still shows free places, knows that others did not need
//! theirs: had all entries filled their shares, no place would be free. Then it claims more. When free places become
//! scarce, every entry is back at its equal share, so that the claims of several entries do not add up for long.

/// Factor of the claim after each report that shows free places although the share did not suffice.
const GROWTH: f64 = 2.0;
/// Factor of the claim after each report before which the share did suffice.
const DECAY: f64 = 0.9;
/// Fraction of the capacity below which free places are scarce.
const SCARCE_FRACTION: f64 = 0.25;

/// The claim of one entry, as a multiple of its equal share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    factor: f64,
    /// Whether a request found no place since the last report.
    is_short: bool,
}

impl Default for Claim {
    fn default() -> Self {
        Self {
            factor: 1.0,
            is_short: false,
        }
    }
}

impl Claim {
    /// Records that a request found no place.
    pub fn record_shortage(&mut self) {
        self.is_short = true;
    }

    /// Adjusts the claim to a new report of `requests` in a group with `capacity`, which `entries` share.
    pub fn update(&mut self, capacity: f64, requests: f64, entries: f64) {
        let is_scarce = capacity - requests < capacity * SCARCE_FRACTION;
        let factor = match (is_scarce, self.is_short) {
            (true, _) => 1.0,
            (false, true) => self.factor * GROWTH,
            (false, false) => self.factor * DECAY,
        };
        self.factor = factor.clamp(1.0, entries.max(1.0));
        self.is_short = false;
    }

    /// The fraction of the free places that this entry may fill.
    pub fn share(&self, entries: f64) -> f64 {
        self.factor / entries
    }
}
