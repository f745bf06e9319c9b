//! Which ranks of a group tell their conductor what their requests choose.

/// A rank that may tell its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    /// Its rank.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
}

impl Reporter {
    /// Whether this rank tells its counts, of `numbers` numbers, where all together may tell `most` in a round.
    ///
    /// Requests are spread over the ranks whatever they choose, so a part of the ranks shows what all choose. All tell
    /// where that fits; of larger groups every second, third and so on.
    pub fn tells(self, numbers: usize, most: usize) -> bool {
        let part = (self.size * numbers).div_ceil(most.max(1)).max(1);
        self.rank.is_multiple_of(part)
    }
}
