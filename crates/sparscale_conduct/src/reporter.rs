//! Selects the ranks of a group that report their expert selection counts to the leader.

/// A rank that may report its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    /// Its rank in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
}

impl Reporter {
    /// Whether this rank reports its counts, of `numbers` values, if all ranks together may report `most` values per
    /// round.
    ///
    /// Requests are routed to ranks regardless of the experts that they select, so a subset of the ranks is a fair
    /// sample. All ranks report if that fits; in larger groups every second, third and so on does.
    pub fn tells(self, numbers: usize, most: usize) -> bool {
        let part = (self.size * numbers).div_ceil(most.max(1)).max(1);
        self.rank.is_multiple_of(part)
    }
}
