//! Tracks which prompt prefixes a target probably still has in its prefix cache.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sha2::{Digest as _, Sha256};

/// Prompt bytes per block.
pub const BLOCK_BYTES: usize = 64;
/// Most blocks of a prompt that are hashed; later ones change no decision.
const MAX_BLOCKS: usize = 64;
/// Most blocks that are tracked for one target.
const MAX_TRACKED_BLOCKS: usize = 2_048;
/// Age from which a hint is ignored, because the target has probably evicted the block.
const MAX_HINT_AGE: Duration = Duration::from_mins(5);

/// Hashes of the full blocks at the start of `prompt`; each hash covers the prompt up to the end of its block.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut digest = Sha256::new();
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            digest.update(block);
            let prefix_digest: [u8; 32] = digest.clone().finalize().into();
            let mut leading_bytes = [0; 8];
            leading_bytes.copy_from_slice(&prefix_digest[..8]);
            u64::from_be_bytes(leading_bytes)
        })
        .collect()
}

/// Blocks that were recently sent to one target. Hints expire and may be wrong.
#[derive(Debug, Clone, Default)]
pub struct PrefixHints {
    last_sent_at: HashMap<u64, Duration>,
    insertion_order: VecDeque<u64>,
}

impl PrefixHints {
    /// Records that a prompt with these blocks was sent to the target.
    pub fn record(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks {
            if self.last_sent_at.insert(*block, now).is_none() {
                self.insertion_order.push_back(*block);
            }
        }
        while self.insertion_order.len() > MAX_TRACKED_BLOCKS {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.last_sent_at.remove(&oldest);
        }
    }

    /// Removes all hints, for example after the target was replaced.
    pub fn clear(&mut self) {
        self.last_sent_at.clear();
        self.insertion_order.clear();
    }

    /// Number of leading blocks that the target probably has in its cache.
    pub fn expected_hit_blocks(&self, blocks: &[u64], now: Duration) -> usize {
        if self.last_sent_at.is_empty() {
            return 0;
        }
        let fresh = |block: &&u64| {
            self.last_sent_at
                .get(block)
                .is_some_and(|sent_at| now.saturating_sub(*sent_at) < MAX_HINT_AGE)
        };
        blocks.iter().take_while(fresh).count()
    }
}
