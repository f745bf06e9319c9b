//! Selects the ranks of a group that report their expert selection counts to the leader.

/// A rank that may report its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountReporter {
    /// Its rank in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
}

impl CountReporter {
    /// Whether this rank reports its counts, `values` in number, if all ranks together may report `max_values` per
    /// round.
    ///
    /// Requests are routed to ranks regardless of the experts that they select, so a subset of the ranks is a fair
    /// sample. All ranks report if that fits; in larger groups every second, third and so on does.
    pub fn reports_counts(self, values: usize, max_values: usize) -> bool {
        let stride = (self.size * values).div_ceil(max_values.max(1)).max(1);
        self.rank.is_multiple_of(stride)
    }
}
