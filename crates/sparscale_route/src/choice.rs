//! Predicts the cost of sending a request to each candidate target and chooses the cheapest.
//!
//! Load reports arrive late, and all entries decide on nearly the same reports. The load model therefore extrapolates
//! what the other entries have sent since, so that entries don't all choose the same rank.

use std::cmp::Ordering;
use std::time::Duration;

use rand::Rng;
use serde::Serialize;
use sparscale_board::{BLOCK_BYTES, Board, GroupKey, Target, TargetKey};

/// Average number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Time to prefill one prompt token, in milliseconds.
const PREFILL_MS_PER_TOKEN: f64 = 0.01;
/// Step time assumed for a target that belongs to no group, in milliseconds.
const SERVICE_STEP_MS: f64 = 2.0;

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Expected response length, in tokens.
    pub response_tokens: u32,
    /// Hashes of the prompt's leading blocks, for the prefix cache.
    pub block_hashes: Vec<u64>,
}

/// Rule by which a target is chosen; all but [`Rule::GroupCost`] are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Smallest predicted cost, including what the request adds to the step time of its group.
    GroupCost,
    /// Each candidate in turn; the value is the number of the turn.
    RoundRobin(usize),
    /// A candidate drawn at random.
    Random,
    /// The less loaded of two candidates drawn at random.
    TwoChoices,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It was the only candidate that accepts work.
    Only,
    /// Its predicted cost was the smallest.
    LeastCost,
    /// A baseline rule chose it.
    Baseline,
}

/// A candidate target with its predicted cost, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ScoredTarget {
    /// The candidate.
    pub key: TargetKey,
    /// Total of the components below.
    pub cost_ms: f64,
    /// Time in the target's queue.
    pub wait_ms: f64,
    /// Prefill of the backlog and of this prompt, less the expected prefix cache hit.
    pub prefill_ms: f64,
    /// Decode steps of this response.
    pub decode_ms: f64,
    /// Delay that the longer steps add to all other requests of the group.
    pub group_delay_ms: f64,
    /// Network round trip.
    pub round_trip_ms: f64,
    /// Counter of this entry's last request to the target; breaks ties in favour of the least recently used.
    pub last_sent_counter: u64,
}

impl ScoredTarget {
    fn compare(&self, other: &Self) -> Ordering {
        self.cost_ms
            .total_cmp(&other.cost_ms)
            .then(self.last_sent_counter.cmp(&other.last_sent_counter))
    }
}

/// A routing decision.
#[derive(Debug, Clone)]
pub struct Decision {
    /// The chosen target.
    pub target: TargetKey,
    /// Why it was chosen.
    pub reason: Reason,
    /// The candidates that were scored; empty for a baseline rule.
    pub scored_targets: Vec<ScoredTarget>,
}

/// No candidate accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error {
    /// Delay until the first candidate that is only avoided for a while may be used again.
    pub retry_after: Duration,
}

/// Exponent of the power norm that approximates the largest rank load. With the true maximum all ranks below it would
/// cost the same, and the next burst would meet uneven loads.
const NORM_EXPONENT: i32 = 8;

/// Expected load of a group at the time of one decision.
#[derive(Debug, Clone)]
struct GroupLoad {
    key: GroupKey,
    /// Expected requests at each rank, in rank order.
    rank_loads: Vec<f64>,
    /// Sum of the rank loads, each to the power of [`NORM_EXPONENT`], and the root of that sum.
    power_sum: f64,
    norm: f64,
    total_requests: f64,
    /// Step time without load, and step time added by each sequence on the most loaded rank, in milliseconds.
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
        .filter(|key| accepts_work(board, *key, now))
        .collect();
    let Some(first) = usable.first() else {
        return Err(no_candidate(board, candidates, now));
    };
    if usable.len() == 1 {
        let scored_target = GroupLoads::new(board, &usable, now).score(*first, request);
        return Ok(Decision {
            target: *first,
            reason: Reason::Only,
            scored_targets: scored_target.into_iter().collect(),
        });
    }
    match rule {
        Rule::GroupCost => Ok(least_cost(board, &usable, request, now, random)),
        Rule::RoundRobin(turn) => Ok(baseline(usable[turn % usable.len()])),
        Rule::Random => Ok(baseline(usable[random.random_range(0..usable.len())])),
        Rule::TwoChoices => Ok(baseline(least_of_two(board, &usable, random))),
    }
}

fn accepts_work(board: &Board, key: TargetKey, now: Duration) -> bool {
    board.target(key).is_some_and(|target| target.accepts_work(now))
}

fn no_candidate(board: &Board, candidates: &[TargetKey], now: Duration) -> Error {
    const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
    let targets = candidates.iter().filter_map(|key| board.target(*key));
    let earliest = targets
        .map(Target::usable_at)
        .filter(|usable_at| *usable_at > now)
        .min();
    Error {
        retry_after: earliest.map_or(DEFAULT_RETRY_DELAY, |usable_at| usable_at.saturating_sub(now)),
    }
}

fn least_cost(
    board: &Board,
    usable: &[TargetKey],
    request: &Request,
    now: Duration,
    random: &mut impl Rng,
) -> Decision {
    let loads = GroupLoads::new(board, usable, now);
    let scored_targets: Vec<ScoredTarget> = usable.iter().filter_map(|key| loads.score(*key, request)).collect();
    // Each entry starts at a random candidate, so that entries don't all break ties the same way.
    let start = random.random_range(0..scored_targets.len().max(1));
    let (before, after) = scored_targets.split_at(start);
    let best = after.iter().chain(before).min_by(|left, right| left.compare(right));
    Decision {
        target: best.map_or(usable[0], |best| best.key),
        reason: Reason::LeastCost,
        scored_targets,
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
        scored_targets: Vec::new(),
    }
}

fn hit_tokens(target: &Target, request: &Request, now: Duration) -> f64 {
    let blocks = target.hints.expected_hit_blocks(&request.block_hashes, now);
    (blocks * BLOCK_BYTES / BYTES_PER_TOKEN) as f64
}

/// Loads of the groups that one decision considers, each computed once.
struct GroupLoads<'a> {
    board: &'a Board,
    now: Duration,
    groups: Vec<GroupLoad>,
}

impl<'a> GroupLoads<'a> {
    fn new(board: &'a Board, usable: &[TargetKey], now: Duration) -> Self {
        Self {
            board,
            now,
            groups: group_loads(board, usable, now),
        }
    }

    fn score(&self, key: TargetKey, request: &Request) -> Option<ScoredTarget> {
        let target = self.board.target(key)?;
        let answer_tokens = f64::from(request.response_tokens.max(1));
        let (requests, ms_per_step, group_delay_ms_per_token) = match target.rank {
            Some((group, rank)) => self.rank_costs(group, rank)?,
            None => (target.expected_requests(), SERVICE_STEP_MS, 0.0),
        };
        let own_prefill = (f64::from(request.prompt_tokens) - hit_tokens(target, request, self.now)).max(0.0);
        let prefill_ms = (target.expected_prefill() + own_prefill) * PREFILL_MS_PER_TOKEN;
        let max_in_flight = f64::from(self.board.max_in_flight_per_target.max(1));
        let wait_ms = (requests + 1.0 - max_in_flight).max(0.0) / max_in_flight * answer_tokens * ms_per_step;
        let decode_ms = answer_tokens * ms_per_step;
        let group_delay_ms = group_delay_ms_per_token * answer_tokens;
        let round_trip_ms = target.distance.round_trip_ms();
        Some(ScoredTarget {
            key,
            cost_ms: wait_ms + prefill_ms + decode_ms + group_delay_ms + round_trip_ms,
            wait_ms,
            prefill_ms,
            decode_ms,
            group_delay_ms,
            round_trip_ms,
            last_sent_counter: target.last_sent_counter,
        })
    }

    /// Returns the requests at the rank, the step time in milliseconds with one more request there, and the delay in
    /// milliseconds that this request adds to all others with each step.
    fn rank_costs(&self, group: GroupKey, rank: usize) -> Option<(f64, f64, f64)> {
        let load = self.group_load(group)?;
        let requests = *load.rank_loads.get(rank)?;
        let power_sum = load.power_sum - requests.powi(NORM_EXPONENT) + (requests + 1.0).powi(NORM_EXPONENT);
        let norm_after = eighth_root(power_sum);
        let added_step_ms = load.slope_ms * (norm_after - load.norm);
        Some((
            requests,
            load.base_ms + load.slope_ms * norm_after,
            added_step_ms * load.total_requests,
        ))
    }

    fn group_load(&self, key: GroupKey) -> Option<&GroupLoad> {
        self.groups.iter().find(|known| known.key == key)
    }
}

/// Estimated requests of the other entries at the ranks of one group, from the last load reports.
struct OtherEntriesLoad {
    key: GroupKey,
    /// Reported requests that have probably not ended, for each rank.
    in_flight_by_rank: Vec<f64>,
    /// Number of reported requests that have probably ended.
    ended_count: f64,
    /// This entry's recent requests to the group, decayed by age.
    own_recent_sends: f64,
}

/// Expected loads of all groups that the targets in `usable` belong to.
///
/// The entry knows its own requests exactly, but reports on those of other entries are late: some of the reported
/// requests have ended, and as many new ones are assumed to have arrived. Other entries decide by the same rule on
/// nearly the same reports, so the new requests are distributed over the groups as this entry distributed its own, and
/// inside a group they fill up the least loaded ranks. Without this estimate, entries with the same reports would all
/// choose the same rank or group.
fn group_loads(board: &Board, usable: &[TargetKey], now: Duration) -> Vec<GroupLoad> {
    let mut keys: Vec<GroupKey> = Vec::new();
    for key in usable {
        if let Some((group, _)) = board.target(*key).and_then(|target| target.rank)
            && !keys.contains(&group)
        {
            keys.push(group);
        }
    }
    let others: Vec<OtherEntriesLoad> = keys
        .into_iter()
        .filter_map(|key| other_entries_load(board, key, now))
        .collect();
    let ended_count: f64 = others.iter().map(|group| group.ended_count).sum();
    let own_recent_sends: f64 = others.iter().map(|group| group.own_recent_sends).sum();
    let new_requests = |group: &OtherEntriesLoad| {
        if own_recent_sends <= 0.0 {
            return group.ended_count;
        }
        // The reported requests count as one additional request of this entry, which steadies the estimate of an entry
        // that sends little.
        let share = (group.own_recent_sends + group.ended_count / ended_count.max(f64::MIN_POSITIVE))
            / (own_recent_sends + 1.0);
        ended_count * share
    };
    others
        .iter()
        .filter_map(|group| group_load(board, group, new_requests(group)))
        .collect()
}

fn other_entries_load(board: &Board, key: GroupKey, now: Duration) -> Option<OtherEntriesLoad> {
    let group = board.group(key)?;
    let members = || group.ranks.iter().filter_map(|rank| board.target(*rank));
    let reported_loads = members().filter_map(Target::reported_others);
    let (sum, count) = reported_loads.fold((0.0, 0.0), |(sum, count), others| (sum + others, count + 1.0));
    let mean = if count > 0.0 { sum / count } else { 0.0 };
    let residual = board.residence_times.residual_seconds();
    let mut ended_count = 0.0;
    let in_flight_by_rank = members().map(|rank| {
        let others = rank.reported_others().unwrap_or(mean);
        let in_flight = others * (-rank.report_age(now).as_secs_f64() / residual).exp();
        ended_count += others - in_flight;
        in_flight
    });
    let in_flight_by_rank = in_flight_by_rank.collect();
    Some(OtherEntriesLoad {
        key,
        in_flight_by_rank,
        ended_count,
        own_recent_sends: group.recent_sends(now),
    })
}

fn group_load(board: &Board, others: &OtherEntriesLoad, new_requests: f64) -> Option<GroupLoad> {
    let group = board.group(others.key)?;
    let mut rank_loads = others.in_flight_by_rank.clone();
    fill_lowest(&mut rank_loads, new_requests);
    let members = group.ranks.iter().filter_map(|rank| board.target(*rank));
    for (expected, rank) in rank_loads.iter_mut().zip(members) {
        *expected += rank.own_requests();
    }
    let power_sum = rank_loads.iter().map(|requests| requests.powi(NORM_EXPONENT)).sum();
    Some(GroupLoad {
        key: others.key,
        power_sum,
        norm: eighth_root(power_sum),
        total_requests: rank_loads.iter().sum(),
        base_ms: group.step_model.step_ms(0.0),
        slope_ms: group.step_model.slope_ms(),
        rank_loads,
    })
}

/// Raises the lowest of `levels` to a common level, by `amount` in total (water filling, by bisection).
fn fill_lowest(levels: &mut [f64], amount: f64) {
    const BISECTION_STEPS: usize = 12;
    let lowest = levels.iter().copied().fold(f64::MAX, f64::min);
    let highest = levels.iter().copied().fold(0.0, f64::max);
    let (mut low, mut high) = (lowest, highest + amount);
    for _ in 0..BISECTION_STEPS {
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

fn eighth_root(power_sum: f64) -> f64 {
    // Three square roots take a third of the time of a general power.
    power_sum.sqrt().sqrt().sqrt()
}
