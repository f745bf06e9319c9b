//! Simulates a group of ranks that run in lock-step on an expert map.
//!
//! It counts each step in which ranks would have used different maps, so that tests can check that map switches are
//! atomic.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sha2::{Digest as _, Sha256};
use sparscale_place::switch::{Act, Order, Rank as Switch, Report};
use sparscale_place::{Map, Shape};
use tokio::sync::mpsc;

/// Characters of a prompt that one cached block covers.
const BLOCK_CHARS: usize = 64;
/// Cache size of one rank, in blocks.
const MAX_CACHED_BLOCKS: usize = 4_096;
/// Prompt characters that count as one token.
const CHARS_PER_TOKEN: usize = 4;
/// Seed of the noise on expert token counts.
const NOISE_SEED: u64 = 1;
/// Number of cache events kept for readers; a reader that asks for older ones sees a gap.
const MAX_CACHE_EVENTS: usize = 256;

/// Parameters of the step time and of the work done in one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepModel {
    /// Step time without load.
    pub(crate) base_step_time: Duration,
    /// Step time added by each sequence on the most loaded rank.
    pub(crate) time_per_sequence: Duration,
    /// Prompt tokens that one rank prefills in one step.
    pub(crate) prefill_per_step: usize,
    /// Maximum number of sequences that one rank runs at once.
    pub(crate) batch_size: usize,
}

/// A request that waits or runs on a rank.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) request_id: String,
    pub(crate) priority: u8,
    pub(crate) prompt: String,
    pub(crate) max_tokens: usize,
    pub(crate) sink: mpsc::UnboundedSender<String>,
    produced_token_count: usize,
    remaining_prefill_tokens: usize,
    /// Prefix of every token; see [`response_tag_of`].
    response_tag: String,
}

impl Sequence {
    pub(crate) fn new(
        request_id: String,
        priority: u8,
        prompt: String,
        max_tokens: usize,
        sink: mpsc::UnboundedSender<String>,
    ) -> Self {
        let response_tag = response_tag_of(&prompt);
        Self {
            request_id,
            priority,
            prompt,
            max_tokens,
            sink,
            produced_token_count: 0,
            remaining_prefill_tokens: 0,
            response_tag,
        }
    }
}

/// Returns eight hex digits that every token of a response carries, so that a test can match a response to its prompt.
pub(crate) fn response_tag_of(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..4])
}

/// An expert map with its number.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct NumberedMap {
    pub(crate) number: u64,
    pub(crate) map: Map,
}

/// One rank of the group.
#[derive(Debug)]
pub(crate) struct Rank {
    pub(crate) switch: Switch,
    pub(crate) checks_fence: bool,
    pub(crate) is_frozen: bool,
    pub(crate) loaded_maps: HashSet<u64>,
    pub(crate) waiting: VecDeque<Sequence>,
    pub(crate) running: Vec<Sequence>,
    /// Cached blocks, oldest first.
    cached_in_order: VecDeque<u64>,
    cached: HashSet<u64>,
    /// Number and block of each event, and whether the block was added (or evicted).
    pub(crate) cache_events: VecDeque<(u64, u64, bool)>,
    next_event: u64,
    /// Tokens that each expert processed, layer by layer.
    pub(crate) expert_tokens: Vec<u64>,
    /// Orders with an outdated fence.
    pub(crate) stale_order_count: u64,
}

/// The whole group.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) shape: Shape,
    pub(crate) step_model: StepModel,
    pub(crate) ranks: Vec<Rank>,
    pub(crate) maps: HashMap<u64, Map>,
    pub(crate) step: u64,
    /// Steps in which ranks would have used different maps.
    pub(crate) mixed_step_count: u64,
    /// Polls at which no rank could advance.
    pub(crate) stall_count: u64,
    pub(crate) last_step_micros: u64,
    pub(crate) skew_sum: f64,
    pub(crate) popularity: Vec<f64>,
    random: ChaCha8Rng,
}

/// Outcome of one attempt to step.
pub(crate) enum Step {
    /// No rank advanced, because a rank is frozen, armed or has no plan.
    Stalled,
    /// All ranks advanced; the step takes this time.
    Advanced(Duration),
}

impl Group {
    pub(crate) fn new(shape: Shape, step_model: StepModel, checks_fence: bool) -> Self {
        let ranks = (0..shape.ranks)
            .map(|_| Rank::new(Switch::cold_start(rand::random()), checks_fence, shape))
            .collect();
        Self {
            shape,
            step_model,
            ranks,
            maps: HashMap::from([(0, Map::initial(shape))]),
            step: 0,
            mixed_step_count: 0,
            stall_count: 0,
            last_step_micros: 0,
            skew_sum: 0.0,
            popularity: vec![1.0 / shape.experts as f64; shape.experts],
            random: ChaCha8Rng::seed_from_u64(NOISE_SEED),
        }
    }

    /// Replaces rank `index` by a new incarnation without state.
    pub(crate) fn replace(&mut self, index: usize) {
        let checks_fence = self.ranks[index].checks_fence;
        self.ranks[index] = Rank::new(Switch::joining(rand::random()), checks_fence, self.shape);
    }

    /// Advances all ranks by one step, or none of them.
    pub(crate) fn step(&mut self) -> Step {
        let next = self.step + 1;
        let map_numbers: Option<Vec<u64>> = self.ranks.iter().map(|rank| rank.peek_next_map(next)).collect();
        let Some(map_numbers) = map_numbers else {
            self.stall_count += 1;
            return Step::Stalled;
        };
        if map_numbers.iter().any(|number| *number != map_numbers[0]) {
            self.mixed_step_count += 1;
        }
        self.step = next;
        for rank in &mut self.ranks {
            rank.switch.begin_step(next);
        }
        let loads = self.rank_loads(map_numbers[0]);
        let duration = self.step_time(&loads);
        self.last_step_micros = duration.as_micros() as u64;
        for rank in &mut self.ranks {
            rank.advance(self.step_model);
        }
        self.count_experts();
        Step::Advanced(duration)
    }

    /// Applies an order to one rank; `maps` are the maps that the order refers to.
    pub(crate) fn handle_order(&mut self, rank: usize, order: &Order, maps: Vec<NumberedMap>) -> Report {
        for numbered in maps {
            self.maps.insert(numbered.number, numbered.map);
        }
        self.ranks[rank].handle_order(order)
    }

    /// Returns the expert load of each rank relative to the mean load of all ranks.
    fn rank_loads(&self, number: u64) -> Vec<f64> {
        let Some(layer) = self.maps.get(&number).and_then(|map| map.layers.first()) else {
            return vec![1.0; self.shape.ranks];
        };
        let mut replicas = vec![0_u32; self.shape.experts];
        for expert in layer.ranks.iter().flatten() {
            replicas[usize::from(*expert)] += 1;
        }
        let share = |expert: &u16| {
            let expert = usize::from(*expert);
            self.popularity[expert] / f64::from(replicas[expert].max(1))
        };
        let ranks = self.shape.ranks as f64;
        layer
            .ranks
            .iter()
            .map(|experts| experts.iter().map(share).sum::<f64>() * ranks)
            .collect()
    }

    fn step_time(&mut self, loads: &[f64]) -> Duration {
        let skew = loads.iter().copied().fold(0.0, f64::max);
        self.skew_sum += skew;
        let max_running = self.ranks.iter().map(|rank| rank.running.len()).max().unwrap_or(0);
        let total_running: usize = self.ranks.iter().map(|rank| rank.running.len()).sum();
        let mean_running = total_running as f64 / self.ranks.len() as f64;
        let sequences = max_running as f64 + mean_running * (skew - 1.0).max(0.0);
        self.step_model.base_step_time + self.step_model.time_per_sequence.mul_f64(sequences)
    }

    fn count_experts(&mut self) {
        let tokens: usize = self.ranks.iter().map(|rank| rank.running.len()).sum();
        if tokens == 0 {
            return;
        }
        let noise: f64 = self.random.random_range(0.9..1.1);
        let mean_tokens = tokens as f64 * noise * 100.0 / self.ranks.len() as f64;
        let popularity = &self.popularity;
        for rank in &mut self.ranks {
            for (count, share) in rank.expert_tokens.iter_mut().zip(popularity.iter().cycle()) {
                *count += (mean_tokens * share) as u64;
            }
        }
    }
}

impl Rank {
    fn new(switch: Switch, checks_fence: bool, shape: Shape) -> Self {
        Self {
            switch,
            checks_fence,
            is_frozen: false,
            loaded_maps: HashSet::from([0]),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached_in_order: VecDeque::new(),
            cached: HashSet::new(),
            cache_events: VecDeque::new(),
            next_event: 0,
            expert_tokens: vec![0; shape.layers * shape.experts],
            stale_order_count: 0,
        }
    }

    fn peek_next_map(&self, step: u64) -> Option<u64> {
        if self.is_frozen {
            None
        } else {
            self.switch.peek_map(step)
        }
    }

    fn handle_order(&mut self, order: &Order) -> Report {
        let highest_fence = self.switch.report(false).fence;
        if order.fence < highest_fence {
            self.stale_order_count += 1;
        }
        let effective = Order {
            // Without a fence check, the rank accepts every order as if it came from the latest leader.
            fence: if self.checks_fence {
                order.fence
            } else {
                order.fence.max(highest_fence)
            },
            act: order.act,
        };
        let is_loaded = match order.act {
            Act::Stage { number } => self.loaded_maps.contains(&number),
            _ => false,
        };
        self.switch.handle_order(&effective, is_loaded)
    }

    pub(crate) fn cancel(&mut self, request_id: &str) -> bool {
        let len_before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.request_id != request_id);
        self.running.retain(|sequence| sequence.request_id != request_id);
        len_before != self.waiting.len() + self.running.len()
    }

    pub(crate) fn prefill_tokens(&self) -> usize {
        let waiting: usize = self
            .waiting
            .iter()
            .map(|sequence| sequence.prompt.len() / CHARS_PER_TOKEN)
            .sum();
        waiting
            + self
                .running
                .iter()
                .map(|sequence| sequence.remaining_prefill_tokens)
                .sum::<usize>()
    }

    fn advance(&mut self, step_model: StepModel) {
        self.admit(step_model.batch_size);
        let mut budget = step_model.prefill_per_step;
        for sequence in &mut self.running {
            let prefilled = budget.min(sequence.remaining_prefill_tokens);
            sequence.remaining_prefill_tokens -= prefilled;
            budget -= prefilled;
            if sequence.remaining_prefill_tokens == 0 {
                sequence.emit_token();
            }
        }
        self.running
            .retain(|sequence| sequence.produced_token_count < sequence.max_tokens && !sequence.sink.is_closed());
    }

    fn admit(&mut self, batch_size: usize) {
        while self.running.len() < batch_size {
            let most_urgent = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(index, waiting)| (waiting.priority, *index));
            let Some(index) = most_urgent.map(|(index, _)| index) else {
                return;
            };
            let Some(mut sequence) = self.waiting.remove(index) else {
                return;
            };
            let hit_count = self.cache_hit(&sequence.prompt);
            let prompt_tokens = sequence.prompt.len() / CHARS_PER_TOKEN;
            sequence.remaining_prefill_tokens = prompt_tokens.saturating_sub(hit_count * BLOCK_CHARS / CHARS_PER_TOKEN);
            self.running.push(sequence);
        }
    }

    /// Returns how many leading blocks of the prompt are cached, and caches the others.
    fn cache_hit(&mut self, prompt: &str) -> usize {
        let blocks = prefix_blocks(prompt);
        let hit_count = blocks.iter().take_while(|block| self.cached.contains(block)).count();
        for block in blocks.into_iter().skip(hit_count) {
            self.insert_block(block);
        }
        hit_count
    }

    fn insert_block(&mut self, block: u64) {
        if !self.cached.insert(block) {
            return;
        }
        self.cached_in_order.push_back(block);
        self.record_cache_event(block, true);
        if self.cached_in_order.len() <= MAX_CACHED_BLOCKS {
            return;
        }
        if let Some(oldest) = self.cached_in_order.pop_front() {
            self.cached.remove(&oldest);
            self.record_cache_event(oldest, false);
        }
    }

    fn record_cache_event(&mut self, block: u64, added: bool) {
        self.cache_events.push_back((self.next_event, block, added));
        self.next_event += 1;
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }
}

impl Sequence {
    fn emit_token(&mut self) {
        let token = format!("{}:{} ", self.response_tag, self.produced_token_count);
        self.produced_token_count += 1;
        // `advance` removes sequences whose reader has closed the channel.
        let _closed = self.sink.send(token);
    }
}

/// Returns a hash for each whole block of the prompt; each covers the prompt up to the end of its block.
fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let whole_blocks = prompt.len() / BLOCK_CHARS;
    let prefixes = (1..=whole_blocks).map(|count| &prompt.as_bytes()[..count * BLOCK_CHARS]);
    prefixes.map(block_hash).collect()
}

fn block_hash(prefix: &[u8]) -> u64 {
    let digest = Sha256::digest(prefix);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
