//! How the selection counts of one set of layers compare with earlier ones.

/// Number of most selected experts of a set whose remaining share shows how much of a sample predates a shift.
const MOST_SELECTED_EXPERTS: usize = 5;

/// Largest share of `new` that may predate a shift away from `old`: of the most selected experts of `old`, the smallest
/// ratio of what they have above the typical share in `new` to what they had above it in `old`. Where demand is flat,
/// an expert that lost its demand still has the typical share, without any selection from before the shift.
pub(super) fn kept_share(old: &[f64], new: &[f64]) -> f64 {
    let (old_sum, new_sum): (f64, f64) = (old.iter().sum(), new.iter().sum());
    if old_sum <= 0.0 || new_sum <= 0.0 {
        return 0.0;
    }
    let typical_share = median(old) / old_sum;
    let mut by_demand: Vec<(f64, f64)> = old.iter().copied().zip(new.iter().copied()).collect();
    by_demand.sort_by(|left, right| right.0.total_cmp(&left.0));
    let kept_shares = by_demand.iter().take(MOST_SELECTED_EXPERTS).map(|(old, new)| {
        let above_before = (old / old_sum - typical_share).max(f64::MIN_POSITIVE);
        (new / new_sum - typical_share).max(0.0) / above_before
    });
    kept_shares.fold(1.0, f64::min)
}

/// Sum of the absolute differences of the two distributions, from 0 to 2.
pub(super) fn distance(old: &[f64], new: &[f64]) -> f64 {
    let (old_sum, new_sum): (f64, f64) = (old.iter().sum(), new.iter().sum());
    if old_sum <= 0.0 || new_sum <= 0.0 {
        return 0.0;
    }
    let pairs = old.iter().zip(new);
    pairs.map(|(old, new)| (old / old_sum - new / new_sum).abs()).sum()
}

fn median(counts: &[f64]) -> f64 {
    let mut sorted = counts.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
