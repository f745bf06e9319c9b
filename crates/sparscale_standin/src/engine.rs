//! The simulation of a group of ranks in lock-step on an expert map. It counts, itself, each step in which ranks
//! would differ.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sha2::{Digest as _, Sha256};
use sparscale_place::switch::{Act, Order, Rank as Switch, Report};
use sparscale_place::{Map, Shape};
use tokio::sync::mpsc;

/// Characters of a prompt in one cached block.
const BLOCK_CHARS: usize = 64;
/// Cached blocks of one rank.
const CACHE_BLOCKS: usize = 4_096;
/// Characters that make a token.
const CHARS_PER_TOKEN: usize = 4;
/// Seed of the noise on expert counts.
const SEED: u64 = 1;
/// Cache events that are kept for readers; older ones are a gap.
const EVENTS: usize = 256;

/// How fast the group is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    /// Step time without load.
    pub(crate) base: Duration,
    /// Step time added by each sequence on the most loaded rank.
    pub(crate) per_sequence: Duration,
    /// Prompt tokens that one rank prefills in one step.
    pub(crate) prefill_per_step: usize,
    /// Sequences that one rank decodes at once.
    pub(crate) batch: usize,
}

/// A request as the engine knows it.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) request: String,
    pub(crate) priority: u8,
    pub(crate) prompt: String,
    pub(crate) tokens: usize,
    pub(crate) sink: mpsc::UnboundedSender<String>,
    produced: usize,
    prefill_left: usize,
    mark: String,
}

impl Sequence {
    pub(crate) fn new(
        request: String,
        priority: u8,
        prompt: String,
        tokens: usize,
        sink: mpsc::UnboundedSender<String>,
    ) -> Self {
        let mark = mark_of(&prompt);
        Self {
            request,
            priority,
            prompt,
            tokens,
            sink,
            produced: 0,
            prefill_left: 0,
            mark,
        }
    }
}

/// Eight digits that every token of an answer carries, so that a test can tell whose answer it is.
pub(crate) fn mark_of(prompt: &str) -> String {
    hex::encode(&Sha256::digest(prompt.as_bytes())[..4])
}

/// A map with its number.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Numbered {
    pub(crate) number: u64,
    pub(crate) map: Map,
}

/// One rank.
#[derive(Debug)]
pub(crate) struct Rank {
    pub(crate) switch: Switch,
    pub(crate) checks_fence: bool,
    pub(crate) frozen: bool,
    pub(crate) loaded: HashSet<u64>,
    pub(crate) waiting: VecDeque<Sequence>,
    pub(crate) running: Vec<Sequence>,
    cache: VecDeque<u64>,
    cached: HashSet<u64>,
    pub(crate) events: VecDeque<(u64, u64, bool)>,
    next_event: u64,
    /// Tokens that each expert served, layer by layer.
    pub(crate) expert_tokens: Vec<u64>,
    pub(crate) old_orders: u64,
}

/// The whole group.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) shape: Shape,
    pub(crate) speed: Speed,
    pub(crate) ranks: Vec<Rank>,
    pub(crate) maps: HashMap<u64, Map>,
    pub(crate) step: u64,
    pub(crate) mixed_steps: u64,
    pub(crate) held: u64,
    pub(crate) step_micros: u64,
    pub(crate) skew_sum: f64,
    pub(crate) popularity: Vec<f64>,
    random: ChaCha8Rng,
}

/// What one step did.
pub(crate) enum Step {
    /// A rank is frozen, armed or without a plan: nobody advances.
    Held,
    /// All ranks advanced; the next step comes after this time.
    Ran(Duration),
}

impl Group {
    pub(crate) fn new(shape: Shape, speed: Speed, checks_fence: bool) -> Self {
        let ranks = (0..shape.ranks)
            .map(|_| Rank::new(Switch::cold_start(rand::random()), checks_fence, shape))
            .collect();
        Self {
            shape,
            speed,
            ranks,
            maps: HashMap::from([(0, Map::initial(shape))]),
            step: 0,
            mixed_steps: 0,
            held: 0,
            step_micros: 0,
            skew_sum: 0.0,
            popularity: vec![1.0 / shape.experts as f64; shape.experts],
            random: ChaCha8Rng::seed_from_u64(SEED),
        }
    }

    /// Replaces rank `index` by a new process without any state.
    pub(crate) fn replace(&mut self, index: usize) {
        let checks_fence = self.ranks[index].checks_fence;
        self.ranks[index] = Rank::new(Switch::joining(rand::random()), checks_fence, self.shape);
    }

    /// Advances all ranks by one step, or none.
    pub(crate) fn step(&mut self) -> Step {
        let next = self.step + 1;
        let peeked: Option<Vec<u64>> = self.ranks.iter().map(|rank| rank.peek(next)).collect();
        let Some(numbers) = peeked else {
            self.held += 1;
            return Step::Held;
        };
        if numbers.iter().any(|number| *number != numbers[0]) {
            self.mixed_steps += 1;
        }
        self.step = next;
        for rank in &mut self.ranks {
            rank.switch.begin_step(next);
        }
        let load = self.rank_loads(numbers[0]);
        let took = self.step_time(&load);
        self.step_micros = took.as_micros() as u64;
        for rank in &mut self.ranks {
            rank.advance(self.speed);
        }
        self.count_experts();
        Step::Ran(took)
    }

    /// Carries out an order on one rank; `maps` are those that the order names.
    pub(crate) fn order(&mut self, rank: usize, order: &Order, maps: Vec<Numbered>) -> Report {
        for numbered in maps {
            self.maps.insert(numbered.number, numbered.map);
        }
        self.ranks[rank].order(order)
    }

    /// Share of the step's expert work that falls on each rank, times the number of ranks: 1 is the mean.
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
            .map(|held| held.iter().map(share).sum::<f64>() * ranks)
            .collect()
    }

    fn step_time(&mut self, loads: &[f64]) -> Duration {
        let skew = loads.iter().copied().fold(0.0, f64::max);
        self.skew_sum += skew;
        let busiest = self.ranks.iter().map(|rank| rank.running.len()).max().unwrap_or(0);
        let total: usize = self.ranks.iter().map(|rank| rank.running.len()).sum();
        let mean = total as f64 / self.ranks.len() as f64;
        let sequences = busiest as f64 + mean * (skew - 1.0).max(0.0);
        self.speed.base + self.speed.per_sequence.mul_f64(sequences)
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
            frozen: false,
            loaded: HashSet::from([0]),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            cached: HashSet::new(),
            events: VecDeque::new(),
            next_event: 0,
            expert_tokens: vec![0; shape.layers * shape.experts],
            old_orders: 0,
        }
    }

    fn peek(&self, step: u64) -> Option<u64> {
        if self.frozen { None } else { self.switch.peek_map(step) }
    }

    fn order(&mut self, order: &Order) -> Report {
        let highest = self.switch.report(false).fence;
        if order.fence < highest {
            self.old_orders += 1;
        }
        let effective = Order {
            // A target that checks no fence takes every order as if it were the latest.
            fence: if self.checks_fence {
                order.fence
            } else {
                order.fence.max(highest)
            },
            act: order.act,
        };
        let loaded = match order.act {
            Act::Stage { number } => self.loaded.contains(&number),
            _ => false,
        };
        self.switch.handle_order(&effective, loaded)
    }

    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.request != request);
        self.running.retain(|sequence| sequence.request != request);
        before != self.waiting.len() + self.running.len()
    }

    pub(crate) fn prefill_tokens(&self) -> usize {
        let waiting: usize = self
            .waiting
            .iter()
            .map(|sequence| sequence.prompt.len() / CHARS_PER_TOKEN)
            .sum();
        waiting + self.running.iter().map(|sequence| sequence.prefill_left).sum::<usize>()
    }

    fn advance(&mut self, speed: Speed) {
        self.admit(speed.batch);
        let mut budget = speed.prefill_per_step;
        for sequence in &mut self.running {
            let done = budget.min(sequence.prefill_left);
            sequence.prefill_left -= done;
            budget -= done;
            if sequence.prefill_left == 0 {
                sequence.produce();
            }
        }
        self.running
            .retain(|sequence| sequence.produced < sequence.tokens && !sequence.sink.is_closed());
    }

    fn admit(&mut self, batch: usize) {
        while self.running.len() < batch {
            let urgent = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(index, waiting)| (waiting.priority, *index));
            let Some(index) = urgent.map(|(index, _)| index) else {
                return;
            };
            let Some(mut sequence) = self.waiting.remove(index) else {
                return;
            };
            let hit = self.cache_hit(&sequence.prompt);
            let prompt_tokens = sequence.prompt.len() / CHARS_PER_TOKEN;
            sequence.prefill_left = prompt_tokens.saturating_sub(hit * BLOCK_CHARS / CHARS_PER_TOKEN);
            self.running.push(sequence);
        }
    }

    /// Blocks of the prompt that were cached; all are cached afterwards.
    fn cache_hit(&mut self, prompt: &str) -> usize {
        let blocks = prefix_blocks(prompt);
        let hit = blocks.iter().take_while(|block| self.cached.contains(block)).count();
        for block in blocks.into_iter().skip(hit) {
            self.remember(block);
        }
        hit
    }

    fn remember(&mut self, block: u64) {
        if !self.cached.insert(block) {
            return;
        }
        self.cache.push_back(block);
        self.publish(block, true);
        if self.cache.len() <= CACHE_BLOCKS {
            return;
        }
        if let Some(oldest) = self.cache.pop_front() {
            self.cached.remove(&oldest);
            self.publish(oldest, false);
        }
    }

    fn publish(&mut self, block: u64, added: bool) {
        self.events.push_back((self.next_event, block, added));
        self.next_event += 1;
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

impl Sequence {
    fn produce(&mut self) {
        let token = format!("{}:{} ", self.mark, self.produced);
        self.produced += 1;
        // A reader that is gone is noticed after the step.
        let _gone = self.sink.send(token);
    }
}

/// Hashes of the prompt's blocks, each over everything up to its end.
fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let whole = prompt.len() / BLOCK_CHARS;
    let prefixes = (1..=whole).map(|count| &prompt.as_bytes()[..count * BLOCK_CHARS]);
    prefixes.map(block_hash).collect()
}

fn block_hash(prefix: &[u8]) -> u64 {
    let digest = Sha256::digest(prefix);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
