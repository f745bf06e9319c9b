//! Which prompt prefixes a target probably still has in its cache.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sha2::{Digest as _, Sha256};

/// Bytes of a prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Blocks of a prompt that are looked at; later ones change no decision.
const MAX_BLOCKS: usize = 64;
/// Blocks that are remembered for one target.
const MAX_HINTS: usize = 2_048;
/// Age from which a hint counts no more: the target has probably evicted the block.
const MAX_AGE: Duration = Duration::from_mins(5);

/// Hashes of the whole blocks at the start of `prompt`, each over everything up to its end.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut digest = Sha256::new();
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            digest.update(block);
            let so_far: [u8; 32] = digest.clone().finalize().into();
            let mut first = [0; 8];
            first.copy_from_slice(&so_far[..8]);
            u64::from_be_bytes(first)
        })
        .collect()
}

/// Blocks that one target was sent lately. Hints age and may be wrong; they are never facts.
#[derive(Debug, Clone, Default)]
pub struct Hints {
    seen: HashMap<u64, Duration>,
    order: VecDeque<u64>,
}

impl Hints {
    /// Notes that a prompt with these blocks went to the target.
    pub fn note(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks {
            if self.seen.insert(*block, now).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MAX_HINTS {
            let Some(oldest) = self.order.pop_front() else { return };
            self.seen.remove(&oldest);
        }
    }

    /// Forgets everything, for example when the target was replaced.
    pub fn clear(&mut self) {
        self.seen.clear();
        self.order.clear();
    }

    /// Number of leading blocks that the target probably has.
    pub fn expected_hit(&self, blocks: &[u64], now: Duration) -> usize {
        if self.seen.is_empty() {
            return 0;
        }
        let fresh = |block: &&u64| {
            self.seen
                .get(block)
                .is_some_and(|seen| now.saturating_sub(*seen) < MAX_AGE)
        };
        blocks.iter().take_while(fresh).count()
    }
}
