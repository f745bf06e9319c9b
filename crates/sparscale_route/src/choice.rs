//! Scoring and choosing.

use std::cmp::Ordering;
use std::time::Duration;

use rand::Rng;
use serde::Serialize;
use sparscale_board::{BLOCK_BYTES, Board, GroupKey, Target, TargetKey};

/// Bytes of a prompt that make a token, on average.
const BYTES_PER_TOKEN: usize = 4;
/// Time to prefill one prompt token, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.01;
/// Step time of a target that belongs to no group, in milliseconds.
const SERVICE_STEP_MS: f64 = 2.0;

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
#[derive(Debug, Clone, Copy)]
pub struct Scored {
    /// The candidate.
    pub key: TargetKey,
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
    /// Counter of this entry's last request there: of equals, the one that waited longest is next.
    pub last_sent: u64,
}

impl Scored {
    fn compare(&self, other: &Self) -> Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.last_sent.cmp(&other.last_sent))
    }
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

/// Exponent of the norm that stands for the largest rank load. The plain largest would leave all ranks below it
/// alike, so that the next burst finds them unequal.
const NORM: i32 = 8;

/// Load of a group as one decision sees it.
#[derive(Debug, Clone)]
struct GroupLoad {
    key: GroupKey,
    /// Expected requests of each rank, in rank order.
    ranks: Vec<f64>,
    /// Sum of the ranks' requests, each to the power of [`NORM`], and its root.
    powers: f64,
    root: f64,
    total: f64,
    /// Step time without load and for each sequence on the most loaded rank, in milliseconds.
    base_ms: f64,
    slope_ms: f64,
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
        let scored = Loads::new(board, &usable, now).score(*first, request);
        return Ok(Decision {
            target: *first,
            reason: Reason::Only,
            scored: scored.into_iter().collect(),
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
    let soonest = targets.map(Target::usable_at).filter(|until| *until > now).min();
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
    let loads = Loads::new(board, usable, now);
    let scored: Vec<Scored> = usable.iter().filter_map(|key| loads.score(*key, request)).collect();
    // Entries start their rounds at different places, so that equals are not met in one order by all.
    let start = random.random_range(0..scored.len().max(1));
    let (before, after) = scored.split_at(start);
    let best = after.iter().chain(before).min_by(|left, right| left.compare(right));
    Decision {
        target: best.map_or(usable[0], |best| best.key),
        reason: Reason::LeastCost,
        scored,
    }
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

/// Loads of the groups that a decision looks at, each worked out once.
struct Loads<'a> {
    board: &'a Board,
    now: Duration,
    groups: Vec<GroupLoad>,
}

impl<'a> Loads<'a> {
    fn new(board: &'a Board, usable: &[TargetKey], now: Duration) -> Self {
        Self {
            board,
            now,
            groups: group_loads(board, usable, now),
        }
    }

    fn score(&self, key: TargetKey, request: &Request) -> Option<Scored> {
        let target = self.board.target(key)?;
        let answer = f64::from(request.answer_tokens.max(1));
        let (requests, step, others) = match target.rank {
            Some((group, rank)) => self.rank_costs(group, rank)?,
            None => (target.expected_requests(), SERVICE_STEP_MS, 0.0),
        };
        let own_prefill = (f64::from(request.prompt_tokens) - hit_tokens(target, request, self.now)).max(0.0);
        let prefill = (target.expected_prefill() + own_prefill) * PREFILL_MS_PER_TOKEN;
        let places = f64::from(self.board.places.max(1));
        let wait = (requests + 1.0 - places).max(0.0) / places * answer * step;
        let steps = answer * step;
        let others = others * answer;
        let distance = target.distance.round_trip_ms();
        Some(Scored {
            key,
            cost: wait + prefill + steps + others + distance,
            wait,
            prefill,
            steps,
            others,
            distance,
            last_sent: target.last_sent,
        })
    }

    /// Requests at the rank, the step time with one more there, and what each of its steps then costs all others.
    fn rank_costs(&self, group: GroupKey, rank: usize) -> Option<(f64, f64, f64)> {
        let load = self.group_load(group)?;
        let requests = *load.ranks.get(rank)?;
        let powers = load.powers - requests.powi(NORM) + (requests + 1.0).powi(NORM);
        let after = root(powers);
        let longer = load.slope_ms * (after - load.root);
        Some((requests, load.base_ms + load.slope_ms * after, longer * load.total))
    }

    fn group_load(&self, key: GroupKey) -> Option<&GroupLoad> {
        self.groups.iter().find(|known| known.key == key)
    }
}

/// Requests of other entries at the ranks of one group, as far as reports still tell.
struct Others {
    key: GroupKey,
    /// Those that were reported and have probably not ended, for each rank.
    left: Vec<f64>,
    /// Those that were reported and have probably ended.
    ended: f64,
    /// This entry's recent requests to the group.
    own_sent: f64,
}

/// Expected loads of all groups that `usable` belong to.
///
/// This entry knows its own requests. Of the others' it is told late: some of what a report counted has ended since,
/// and others have sent as many new ones. Where to? They decide like this entry, on much the same reports; so they
/// are taken to have shared them out among the groups as this entry did, and inside a group to have filled up the
/// ranks that looked least loaded. Without that, entries that are told the same all rush to the same rank or group.
fn group_loads(board: &Board, usable: &[TargetKey], now: Duration) -> Vec<GroupLoad> {
    let mut keys: Vec<GroupKey> = Vec::new();
    for key in usable {
        if let Some((group, _)) = board.target(*key).and_then(|target| target.rank)
            && !keys.contains(&group)
        {
            keys.push(group);
        }
    }
    let others: Vec<Others> = keys.into_iter().filter_map(|key| others_of(board, key, now)).collect();
    let ended: f64 = others.iter().map(|group| group.ended).sum();
    let own_sent: f64 = others.iter().map(|group| group.own_sent).sum();
    let arrived = |group: &Others| {
        if own_sent <= 0.0 {
            return group.ended;
        }
        // One request's weight of what was reported keeps an entry that sends little from guessing wildly.
        let share = (group.own_sent + group.ended / ended.max(f64::MIN_POSITIVE)) / (own_sent + 1.0);
        ended * share
    };
    others
        .iter()
        .filter_map(|group| group_load(board, group, arrived(group)))
        .collect()
}

fn others_of(board: &Board, key: GroupKey, now: Duration) -> Option<Others> {
    let group = board.group(key)?;
    let members = || group.ranks.iter().filter_map(|rank| board.target(*rank));
    let reported = members().filter_map(Target::reported_others);
    let (sum, count) = reported.fold((0.0, 0.0), |(sum, count), others| (sum + others, count + 1.0));
    let mean = if count > 0.0 { sum / count } else { 0.0 };
    let residual = board.holding.residual_seconds();
    let mut ended = 0.0;
    let left = members().map(|rank| {
        let others = rank.reported_others().unwrap_or(mean);
        let left = others * (-rank.report_age(now).as_secs_f64() / residual).exp();
        ended += others - left;
        left
    });
    let left = left.collect();
    Some(Others {
        key,
        left,
        ended,
        own_sent: group.recent_sends(now),
    })
}

fn group_load(board: &Board, others: &Others, arrived: f64) -> Option<GroupLoad> {
    let group = board.group(others.key)?;
    let mut ranks = others.left.clone();
    fill(&mut ranks, arrived);
    let members = group.ranks.iter().filter_map(|rank| board.target(*rank));
    for (expected, rank) in ranks.iter_mut().zip(members) {
        *expected += rank.own_requests();
    }
    let powers = ranks.iter().map(|requests| requests.powi(NORM)).sum();
    Some(GroupLoad {
        key: others.key,
        powers,
        root: root(powers),
        total: ranks.iter().sum(),
        base_ms: group.step.step_ms(0.0),
        slope_ms: group.step.slope_ms(),
        ranks,
    })
}

/// Raises the lowest of `levels` to one level, by `amount` altogether.
fn fill(levels: &mut [f64], amount: f64) {
    const HALVINGS: usize = 12;
    let lowest = levels.iter().copied().fold(f64::MAX, f64::min);
    let highest = levels.iter().copied().fold(0.0, f64::max);
    let (mut low, mut high) = (lowest, highest + amount);
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        let needed: f64 = levels.iter().map(|level| (middle - level).max(0.0)).sum();
        if needed > amount {
            high = middle;
        } else {
            low = middle;
        }
    }
    for level in levels {
        *level = level.max(low);
    }
}

fn root(powers: f64) -> f64 {
    // The eighth root, by square roots: a third of the time of a general power.
    powers.sqrt().sqrt().sqrt()
}
