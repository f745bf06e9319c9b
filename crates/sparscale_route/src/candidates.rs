//! Selects the subset of targets that one entry considers.
//!
//! The subset is bounded so that 400 entries do not each keep connections to all 1,300 agents.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use sparscale_board::{Board, TargetKey};

/// The targets that an entry considers for one model or service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Keys of the targets, nearest first.
    pub targets: Vec<TargetKey>,
}

/// Selects at most `limit` of `all`, nearest halls first.
///
/// Targets at the same distance are ordered by a hash of entry and target name (rendezvous hashing): the entries
/// together cover all targets, and each entry keeps the same subset.
pub fn select_subset(board: &Board, entry: &str, all: &[TargetKey], limit: usize) -> Subset {
    let mut ranked: Vec<_> = all
        .iter()
        .filter_map(|key| {
            let target = board.target(*key)?;
            Some((target.distance, spread_hash(entry, &target.name), *key))
        })
        .collect();
    ranked.sort_unstable_by_key(|(distance, hash, _)| (*distance, *hash));
    ranked.truncate(limit);
    Subset {
        targets: ranked.into_iter().map(|(_, _, key)| key).collect(),
    }
}

fn spread_hash(entry: &str, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    target.hash(&mut hasher);
    hasher.finish()
}
