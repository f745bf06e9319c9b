//! Scoring and choosing.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom as _;
use serde::Serialize;
use sparscale_board::{BLOCK_BYTES, Board, GroupKey, Target, TargetKey};

/// Bytes of a prompt that make a token, on average.
const BYTES_PER_TOKEN: usize = 4;
/// Time to prefill one prompt token, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.01;
/// Step time of a target that belongs to no group, in milliseconds.
const SERVICE_STEP_MS: f64 = 2.0;
/// Candidates that are drawn at random from a larger set. The best known ones are looked at besides.
const SAMPLE: usize = 12;

/// What a request needs, as far as routing is concerned.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Expected answer length, in tokens.
    pub answer_tokens: u32,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
}

/// How to choose; all but the first are baselines to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Smallest predicted cost, counting what the request adds to its group's step.
    GroupCost,
    /// One after the other.
    RoundRobin(usize),
    /// Any.
    Random,
    /// The less loaded of two drawn at random.
    LeastOfTwo,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It was the only candidate that takes work.
    Only,
    /// Its predicted cost was the smallest.
    LeastCost,
    /// A baseline chose it.
    Baseline,
}

/// A candidate with its predicted cost, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Scored {
    /// The candidate.
    #[serde(skip)]
    pub key: TargetKey,
    /// Its name.
    pub name: String,
    /// Sum of the parts below.
    pub cost: f64,
    /// Wait for a place.
    pub wait: f64,
    /// Prefill of what waits there and of this prompt, after the expected cache hit.
    pub prefill: f64,
    /// Steps of this answer.
    pub steps: f64,
    /// What the longer steps cost everyone else in the group.
    pub others: f64,
    /// Way there and back.
    pub distance: f64,
}

/// A routing decision.
#[derive(Debug, Clone)]
pub struct Decision {
    /// The target.
    pub target: TargetKey,
    /// Why.
    pub reason: Reason,
    /// What was looked at.
    pub scored: Vec<Scored>,
}

/// No candidate takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error {
    /// When the first candidate that is only avoided may be tried again.
    pub retry_after: Duration,
}

/// Load of a group as one decision sees it.
#[derive(Debug, Clone, Copy)]
struct GroupLoad {
    largest: f64,
    total: f64,
}

/// Chooses a target for `request` among `candidates`.
pub fn choose(
    board: &Board,
    candidates: &[TargetKey],
    request: &Request,
    rule: Rule,
    now: Duration,
    random: &mut impl Rng,
) -> Result<Decision, Error> {
    let usable: Vec<TargetKey> = candidates
        .iter()
        .copied()
        .filter(|key| takes_work(board, *key, now))
        .collect();
    let Some(first) = usable.first() else {
        return Err(no_candidate(board, candidates, now));
    };
    if usable.len() == 1 {
        let loads = Loads::new(board);
        return Ok(Decision {
            target: *first,
            reason: Reason::Only,
            scored: loads.score(*first, request, now).into_iter().collect(),
        });
    }
    match rule {
        Rule::GroupCost => Ok(least_cost(board, &usable, request, now, random)),
        Rule::RoundRobin(turn) => Ok(baseline(usable[turn % usable.len()])),
        Rule::Random => Ok(baseline(usable[random.random_range(0..usable.len())])),
        Rule::LeastOfTwo => Ok(baseline(least_of_two(board, &usable, random))),
    }
}

fn takes_work(board: &Board, key: TargetKey, now: Duration) -> bool {
    board.target(key).is_some_and(|target| target.takes_work(now))
}

fn no_candidate(board: &Board, candidates: &[TargetKey], now: Duration) -> Error {
    const DEFAULT: Duration = Duration::from_secs(1);
    let targets = candidates.iter().filter_map(|key| board.target(*key));
    let soonest = targets
        .map(|target| target.avoid_until)
        .filter(|until| *until > now)
        .min();
    Error {
        retry_after: soonest.map_or(DEFAULT, |until| until.saturating_sub(now)),
    }
}

fn least_cost(
    board: &Board,
    usable: &[TargetKey],
    request: &Request,
    now: Duration,
    random: &mut impl Rng,
) -> Decision {
    let mut loads = Loads::new(board);
    let sample = sample(board, usable, request, now, random);
    let scored: Vec<Scored> = sample
        .into_iter()
        .filter_map(|key| loads.score_cached(key, request, now))
        .collect();
    let best = scored.iter().min_by(|left, right| left.cost.total_cmp(&right.cost));
    Decision {
        target: best.map_or(usable[0], |best| best.key),
        reason: Reason::LeastCost,
        scored,
    }
}

/// A random few, so that entries with the same late reports do not all choose the same target; besides them, the
/// candidates that probably have the prompt's prefix.
fn sample(
    board: &Board,
    usable: &[TargetKey],
    request: &Request,
    now: Duration,
    random: &mut impl Rng,
) -> Vec<TargetKey> {
    if usable.len() <= SAMPLE {
        return usable.to_vec();
    }
    let mut sample: Vec<TargetKey> = usable.choose_multiple(random, SAMPLE).copied().collect();
    let hits = |key: &&TargetKey| {
        board
            .target(**key)
            .is_some_and(|target| hit_tokens(target, request, now) > 0.0)
    };
    for key in usable.iter().filter(hits) {
        if !sample.contains(key) {
            sample.push(*key);
        }
    }
    sample
}

fn least_of_two(board: &Board, usable: &[TargetKey], random: &mut impl Rng) -> TargetKey {
    let load = |key: &TargetKey| board.target(*key).map_or(f64::MAX, Target::expected_requests);
    let first = usable[random.random_range(0..usable.len())];
    let second = usable[random.random_range(0..usable.len())];
    if load(&second) < load(&first) { second } else { first }
}

fn baseline(target: TargetKey) -> Decision {
    Decision {
        target,
        reason: Reason::Baseline,
        scored: Vec::new(),
    }
}

fn hit_tokens(target: &Target, request: &Request, now: Duration) -> f64 {
    let blocks = target.hints.expected_hit(&request.blocks, now);
    (blocks * BLOCK_BYTES / BYTES_PER_TOKEN) as f64
}

/// Loads of the groups that a decision looks at, each summed up once.
struct Loads<'a> {
    board: &'a Board,
    groups: Vec<(GroupKey, GroupLoad)>,
}

impl<'a> Loads<'a> {
    fn new(board: &'a Board) -> Self {
        Self {
            board,
            groups: Vec::new(),
        }
    }

    fn score_cached(&mut self, key: TargetKey, request: &Request, now: Duration) -> Option<Scored> {
        if let Some((group, _)) = self.board.target(key)?.rank
            && !self.groups.iter().any(|(known, _)| *known == group)
        {
            let load = self.sum_up(group);
            self.groups.push((group, load));
        }
        self.score(key, request, now)
    }

    fn score(&self, key: TargetKey, request: &Request, now: Duration) -> Option<Scored> {
        let target = self.board.target(key)?;
        let answer = f64::from(request.answer_tokens.max(1));
        let requests = target.expected_requests();
        let (step, longer, everyone) = self.steps(target, requests);
        let own_prefill = (f64::from(request.prompt_tokens) - hit_tokens(target, request, now)).max(0.0);
        let prefill = (target.expected_prefill() + own_prefill) * PREFILL_MS_PER_TOKEN;
        let over = (requests + 1.0 - f64::from(self.board.places)).max(0.0);
        let wait = over / f64::from(self.board.places.max(1)) * answer * step;
        let steps = answer * step;
        let others = longer * everyone * answer;
        let distance = target.distance.round_trip_ms();
        Some(Scored {
            key,
            name: target.name.clone(),
            cost: wait + prefill + steps + others + distance,
            wait,
            prefill,
            steps,
            others,
            distance,
        })
    }

    /// The step time with one more request on `target`, how much longer that is, and for how many others.
    fn steps(&self, target: &Target, requests: f64) -> (f64, f64, f64) {
        let Some((key, _)) = target.rank else {
            return (SERVICE_STEP_MS, 0.0, 0.0);
        };
        let Some(group) = self.board.group(key) else {
            return (SERVICE_STEP_MS, 0.0, 0.0);
        };
        let known = self.groups.iter().find(|(known, _)| *known == key);
        let load = known.map_or_else(|| self.sum_up(key), |(_, load)| *load);
        let with = group.step.step_ms(load.largest.max(requests + 1.0));
        let without = group.step.step_ms(load.largest);
        (with, (with - without).max(0.0), load.total)
    }

    fn sum_up(&self, key: GroupKey) -> GroupLoad {
        let mut load = GroupLoad {
            largest: 0.0,
            total: 0.0,
        };
        let Some(group) = self.board.group(key) else {
            return load;
        };
        for rank in group.ranks.iter().filter_map(|rank| self.board.target(*rank)) {
            let requests = rank.expected_requests();
            load.largest = load.largest.max(requests);
            load.total += requests;
        }
        load
    }
}
