//! How long a map switch takes until the new map is active.

/// Candidates up to this number are all compared, each refined from the active map. Higher ones continue the
/// refinement of the one before, as long as each is better than all before it.
const SMALL_CANDIDATE: usize = 3;
/// Load time from which only small candidates are compared, by load times alone: the estimate of the demand ages while
/// a large switch is staged, and no other switch can begin.
const SLOW_LOAD_MS: f64 = 100.0;
/// Bytes of a map message beside the edits of its patch: base, count and digest.
const PATCH_HEADER_BYTES: f64 = 24.0;

/// What determines how long a switch takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Staging {
    /// Experts that a rank can load in one set beside those that it serves.
    pub spare_per_set: usize,
    /// Time in which a rank loads one expert; a rank loads one after the other.
    pub load_ms: f64,
    /// Time that a switch takes besides loading and sending the map.
    pub overhead_ms: f64,
    /// Bandwidth for maps of the leader's link.
    pub link: Link,
}

/// Bandwidth for maps of the leader's link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Bytes of maps sent per millisecond.
    pub bytes_per_ms: f64,
    /// Bytes sent at once after a pause.
    pub burst_bytes: f64,
}

impl Staging {
    /// Time from the decision until a map is active.
    pub(super) fn staging_ms(&self, max_loads_per_rank: u32, patch_bytes: f64, ranks: usize) -> f64 {
        let receivers = ranks.saturating_sub(1) as f64;
        let paced_bytes = ((patch_bytes + PATCH_HEADER_BYTES) * receivers - self.link.burst_bytes).max(0.0);
        let sending_ms = paced_bytes / self.link.bytes_per_ms.max(f64::MIN_POSITIVE);
        let sending_ms = if self.has_slow_loads() { 0.0 } else { sending_ms };
        f64::from(max_loads_per_rank) * self.load_ms + sending_ms + self.overhead_ms
    }

    pub(super) fn has_slow_loads(&self) -> bool {
        self.load_ms >= SLOW_LOAD_MS
    }

    /// Whether ranks may load this many experts in one switch.
    pub(super) fn allows(&self, loads_per_rank: usize, sets: usize) -> bool {
        loads_per_rank <= self.small_limit() || (!self.has_slow_loads() && loads_per_rank <= self.spare_per_set * sets)
    }

    /// Largest candidate that is compared in any case.
    pub(super) fn small_limit(&self) -> usize {
        SMALL_CANDIDATE.min(self.spare_per_set)
    }
}
