//! Where many entries send requests that act on the same late report.
//!
//! All entries hear the same loads, some time after they were read. If each sent to the least loaded target, all would
//! send to the same one until the next report. So each takes what all of them will send until then to be poured into
//! the targets like water, which fills the lowest first, and draws its target in proportion to what each takes up.

/// A target that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Vessel {
    /// How full it is: requests that it has, in proportion to what it can do.
    pub level: f64,
    /// Requests that raise its level by one.
    pub width: f64,
}

/// What part of the next requests each target is to get, if `expected` requests come before anything new is known.
///
/// At least one request is poured. The parts add up to one.
pub fn shares(vessels: &[Vessel], expected: f64) -> Vec<f64> {
    let poured = expected.max(1.0);
    let surface = surface(vessels, poured);
    let taken = |vessel: &Vessel| (surface - vessel.level).max(0.0) * vessel.width;
    let sum: f64 = vessels.iter().map(taken).sum();
    vessels.iter().map(|vessel| taken(vessel) / sum).collect()
}

/// Height of the water once `poured` is in.
fn surface(vessels: &[Vessel], poured: f64) -> f64 {
    let mut lowest: Vec<Vessel> = vessels.to_vec();
    lowest.sort_by(|left, right| left.level.total_cmp(&right.level));
    let mut width = 0.0;
    let mut volume = 0.0;
    for (index, vessel) in lowest.iter().enumerate() {
        width += vessel.width;
        volume += vessel.level * vessel.width;
        let surface = (poured + volume) / width;
        let next = lowest.get(index + 1).map_or(f64::INFINITY, |next| next.level);
        if surface <= next {
            return surface;
        }
    }
    0.0
}

/// The index that `lot`, from 0 to 1, falls on.
pub fn draw(shares: &[f64], lot: f64) -> Option<usize> {
    let mut left = lot;
    let mut last = None;
    for (index, share) in shares.iter().enumerate() {
        if *share <= 0.0 {
            continue;
        }
        last = Some(index);
        left -= share;
        if left <= 0.0 {
            break;
        }
    }
    last
}
