//! Which ranks of a group tell their conductor what their requests choose.

/// Numbers that the ranks of a group tell in one round, together: about one byte each. Ten rounds a second are then
/// 0.4 of a link of 8 Mbit/s, the slimmest that a box has.
pub const MAX_NUMBERS: usize = 40_000;

/// A rank that may tell its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    /// Its rank.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
}

impl Reporter {
    /// Whether this rank tells its counts, of `numbers` numbers.
    ///
    /// Requests are spread over the ranks whatever they choose, so a part of the ranks shows what all choose. All tell
    /// where that fits into [`MAX_NUMBERS`]; of larger groups every second, third and so on.
    pub fn tells(self, numbers: usize) -> bool {
        let part = (self.size * numbers).div_ceil(MAX_NUMBERS).max(1);
        self.rank.is_multiple_of(part)
    }
}
