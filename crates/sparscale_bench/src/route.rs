//! Measures the time of one routing decision, and compares routing rules by skew, step time and latency.
//!
//! The comparison is a simulation in virtual time, in which load reports reach the entries with a delay.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_board::{Board, Load, Standing, TargetKey, prefix_blocks};
use sparscale_bundle::{
    Bundle, Document, Fleet, Group, Hall, KeyHash, Limits, Model, Operator, Placement, Target, Tier, Workspace, sign,
};
use sparscale_route::{Request, Rule, choose, select_subset};

/// Step time without load.
const BASE_STEP_MS: f64 = 4.5;
/// Step time added by each sequence on the most loaded rank.
const STEP_MS_PER_SEQUENCE: f64 = 0.1;
/// Interval at which ranks send load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a report reaches the entries.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Virtual duration of one run.
const RUN_TIME: Duration = Duration::from_mins(2);

/// Returns a bundle with `groups` groups of `ranks` ranks in three halls.
pub(crate) fn bundle(groups: usize, ranks: usize) -> Result<Bundle, String> {
    let operator = |name: &str| Operator {
        name: name.to_owned(),
        key: sign::encode_public_key(&sign::generate_key()),
    };
    let name = |group: usize, rank: usize| format!("rank-{group}-{rank}");
    let group_ranks = (0..groups).flat_map(|group| (0..ranks).map(move |rank| (group, rank)));
    let document = Document {
        version: 1,
        fleet: Fleet {
            operators: vec![operator("alice"), operator("bob")],
            halls: ["derby", "nottingham", "leicester"].map(hall).to_vec(),
            tiers: vec![Tier {
                name: "gold".to_owned(),
            }],
            models: vec![Model {
                name: "lark".to_owned(),
                version: "1".to_owned(),
            }],
            services: Vec::new(),
            groups: (0..groups)
                .map(|group| Group {
                    name: format!("group-{group}"),
                    model: "lark".to_owned(),
                    ranks: (0..ranks).map(|rank| name(group, rank)).collect(),
                    layers: 1,
                    experts: 8,
                    slots: 8,
                    expert_bytes: 1,
                })
                .collect(),
            targets: group_ranks
                .map(|(group, rank)| Target {
                    name: name(group, rank),
                    hall: ["derby", "nottingham", "leicester"][group % 3].to_owned(),
                    checks_fence: true,
                })
                .collect(),
            placement: Placement {
                weight_skew: 1.0,
                weight_move: 1.0,
                move_budget: 1,
                quiet_hours: Vec::new(),
                half_life_seconds: 60.0,
                weight_store_bytes_per_second: 1e9,
            },
            limits: Limits {
                in_flight_per_target: 256,
                queue_per_target: 256,
                floor_one_in: 20,
                deadline_ms: 30_000,
                retry_percent: 10,
                candidates: 40,
            },
        },
        workspaces: vec![Workspace {
            name: "teal".to_owned(),
            tier: "gold".to_owned(),
            weight: 1,
            key_hashes: vec![KeyHash::of("key")],
            in_flight: 100,
        }],
    };
    Bundle::try_from(document).map_err(|error| error.to_string())
}

fn hall(name: &str) -> Hall {
    Hall {
        name: name.to_owned(),
        region: "midlands".to_owned(),
    }
}

/// Returns the board of an entry in hall `derby` on which all targets are live.
fn board(bundle: &Bundle) -> Result<Board, String> {
    let mut board = Board::new("derby");
    board.apply_bundle(bundle);
    let address = "127.0.0.1:1"
        .parse()
        .map_err(|error: std::net::AddrParseError| error.to_string())?;
    let listed = bundle
        .fleet()
        .targets
        .iter()
        .map(|target| (target.name.clone(), (address, Standing::Live)));
    board.apply_box_list(&listed.collect());
    Ok(board)
}

/// A request that runs on a rank.
struct RunningRequest {
    entry: usize,
    /// Position among the requests that its entry sent.
    send_number: u64,
    remaining_tokens: u32,
    arrived_at: Duration,
}

/// A load report that the entries receive at `delivered_at`.
struct Report<const N: usize> {
    delivered_at: Duration,
    rank: usize,
    running: u32,
    step_ms: f64,
    /// For each entry, the number of its latest request that the rank received.
    last_received: [u64; N],
    /// Requests of each entry that the rank runs.
    running_by_entry: [u32; N],
}

/// Sums over the steps of a run; steps with a mean load below 1 are left out. Latencies are of all requests.
#[derive(Default)]
struct RunTotals {
    step_count: f64,
    skew_sum: f64,
    step_ms_sum: f64,
    latencies_ms: Vec<f64>,
}

/// A simulation in which `N` entries route without exchanging loads.
struct Simulation<const N: usize> {
    boards: Vec<Board>,
    keys: Vec<TargetKey>,
    /// Candidates of each entry, nearest halls first; the order within a hall differs between entries.
    candidates: Vec<Vec<TargetKey>>,
    ranks: Vec<Vec<RunningRequest>>,
    /// For each rank and entry, the number of the entry's latest request that the rank received.
    last_received: Vec<[u64; N]>,
    sent_counts: [u64; N],
    reports: VecDeque<Report<N>>,
    random: ChaCha8Rng,
    round_robin_turns: [usize; N],
    totals: RunTotals,
}

impl<const N: usize> Simulation<N> {
    fn new(groups: usize, ranks: usize) -> Result<Self, String> {
        let bundle = bundle(groups, ranks)?;
        let boards: Result<Vec<Board>, String> = (0..N).map(|_| board(&bundle)).collect();
        let boards = boards?;
        let names = bundle.fleet().targets.iter().map(|target| target.name.clone());
        let keys: Option<Vec<TargetKey>> = names.map(|name| boards[0].find(&name)).collect();
        let keys = keys.ok_or("a target is missing from the board")?;
        let candidates_of = |(entry, board): (usize, &Board)| {
            select_subset(board, &format!("entry-{entry}"), &keys, keys.len()).targets
        };
        let candidates = boards.iter().enumerate().map(candidates_of).collect();
        let rank_count = groups * ranks;
        Ok(Self {
            boards,
            candidates,
            keys,
            ranks: (0..rank_count).map(|_| Vec::new()).collect(),
            last_received: vec![[0; N]; rank_count],
            sent_counts: [0; N],
            reports: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(5),
            round_robin_turns: [0; N],
            totals: RunTotals::default(),
        })
    }

    /// Routes one new request from a random entry.
    fn arrive(&mut self, rule: Rule, now: Duration) -> Result<(), String> {
        let entry = self.random.random_range(0..N);
        // Response lengths have a heavy tail.
        let tokens = (20.0 / self.random.random_range(0.02_f64..1.0)) as u32;
        let request = Request {
            prompt_tokens: 200,
            response_tokens: tokens,
            block_hashes: Vec::new(),
        };
        let rule = match rule {
            Rule::RoundRobin(_) => {
                self.round_robin_turns[entry] += 1;
                Rule::RoundRobin(self.round_robin_turns[entry])
            }
            other => other,
        };
        let board = &mut self.boards[entry];
        let candidates = &self.candidates[entry];
        let decision = choose(board, candidates, &request, rule, now, &mut self.random);
        let target = decision.map_err(|_error| "no candidate available")?.target;
        self.sent_counts[entry] += 1;
        board.record_sent(target, self.sent_counts[entry], 0, &[], now);
        let rank = self
            .keys
            .iter()
            .position(|key| *key == target)
            .ok_or("the chosen target is not in the bundle")?;
        self.last_received[rank][entry] = self.sent_counts[entry];
        self.ranks[rank].push(RunningRequest {
            entry,
            send_number: self.sent_counts[entry],
            remaining_tokens: tokens,
            arrived_at: now,
        });
        Ok(())
    }

    /// Runs one step of the group with ranks `first_rank..end_rank` and returns its duration.
    fn step(&mut self, first_rank: usize, end_rank: usize, now: Duration) -> Duration {
        let rank_loads: Vec<usize> = self.ranks[first_rank..end_rank].iter().map(Vec::len).collect();
        let max_load = rank_loads.iter().copied().max().unwrap_or(0) as f64;
        let mean_load = rank_loads.iter().sum::<usize>() as f64 / rank_loads.len() as f64;
        let step_ms = BASE_STEP_MS + STEP_MS_PER_SEQUENCE * max_load;
        if mean_load >= 1.0 {
            self.totals.step_count += 1.0;
            self.totals.skew_sum += max_load / mean_load;
            self.totals.step_ms_sum += step_ms;
        }
        let step_time = Duration::from_secs_f64(step_ms / 1_000.0);
        for (index, rank) in self.ranks[first_rank..end_rank].iter_mut().enumerate() {
            for running in rank.iter_mut() {
                running.remaining_tokens -= 1;
                if running.remaining_tokens == 0 {
                    let key = self.keys[first_rank + index];
                    self.boards[running.entry].record_end(key, running.send_number, now + step_time);
                    self.totals
                        .latencies_ms
                        .push((now + step_time).saturating_sub(running.arrived_at).as_secs_f64() * 1_000.0);
                }
            }
            rank.retain(|running| running.remaining_tokens > 0);
        }
        step_time
    }

    /// Makes a load report of every rank, delivered [`REPORT_LAG`] later.
    fn report(&mut self, step_ms: &HashMap<usize, f64>, ranks: usize, now: Duration) {
        for rank in 0..self.ranks.len() {
            self.reports.push_back(Report {
                delivered_at: now + REPORT_LAG,
                rank,
                running: self.ranks[rank].len() as u32,
                step_ms: step_ms.get(&(rank / ranks)).copied().unwrap_or(BASE_STEP_MS),
                last_received: self.last_received[rank],
                running_by_entry: std::array::from_fn(|entry| {
                    self.ranks[rank].iter().filter(|running| running.entry == entry).count() as u32
                }),
            });
        }
    }

    /// Applies the reports that have arrived by `now` to the boards of all entries.
    fn deliver_reports(&mut self, now: Duration) {
        while self.reports.front().is_some_and(|report| report.delivered_at <= now) {
            let Some(report) = self.reports.pop_front() else { return };
            for (entry, board) in self.boards.iter_mut().enumerate() {
                let load = Load {
                    incarnation: 1,
                    last_seen_counter: report.last_received[entry],
                    running: report.running,
                    own_requests: report.running_by_entry[entry],
                    step_ms: report.step_ms,
                    ..Load::default()
                };
                board.apply_load(self.keys[report.rank], load, now);
            }
        }
    }
}

/// Runs one simulation and returns its totals.
fn simulate<const N: usize>(
    rule: Rule,
    groups: usize,
    ranks: usize,
    requests_per_second: f64,
) -> Result<RunTotals, String> {
    let mut simulation = Simulation::<N>::new(groups, ranks)?;
    let mut next_step = vec![Duration::ZERO; groups];
    let mut step_ms: HashMap<usize, f64> = HashMap::new();
    let mut next_report = Duration::ZERO;
    let mut next_arrival = Duration::ZERO;
    loop {
        let group = (0..groups).min_by_key(|group| next_step[*group]).unwrap_or(0);
        let now = next_step[group].min(next_arrival).min(next_report);
        if now > RUN_TIME {
            return Ok(simulation.totals);
        }
        simulation.deliver_reports(now);
        if now == next_arrival {
            simulation.arrive(rule, now)?;
            let gap_secs = -(1.0 - simulation.random.random::<f64>()).ln() / requests_per_second;
            next_arrival = now + Duration::from_secs_f64(gap_secs);
        } else if now == next_report {
            simulation.report(&step_ms, ranks, now);
            next_report = now + REPORT_INTERVAL;
        } else {
            let step_time = simulation.step(group * ranks, (group + 1) * ranks, now);
            step_ms.insert(group, step_time.as_secs_f64() * 1_000.0);
            next_step[group] = now + step_time;
        }
    }
}

/// Returns the mean time of one decision among `candidates` targets, in microseconds.
fn decision_micros(candidates: usize) -> Result<f64, String> {
    const REPEAT_COUNT: u32 = 20_000;
    let bundle = bundle(candidates.div_ceil(8), 8)?;
    let mut board = board(&bundle)?;
    let keys: Vec<TargetKey> = board.targets().map(|(key, _)| key).take(candidates).collect();
    let blocks = prefix_blocks(&[b'x'; 2_048]);
    for (index, key) in keys.iter().enumerate() {
        board.record_sent(*key, 1, 10, if index == 0 { &blocks } else { &[] }, Duration::ZERO);
    }
    let request = Request {
        prompt_tokens: 512,
        response_tokens: 200,
        block_hashes: blocks,
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let started = Instant::now();
    for _ in 0..REPEAT_COUNT {
        let decision = choose(
            &board,
            &keys,
            &request,
            Rule::GroupCost,
            Duration::from_secs(1),
            &mut random,
        );
        std::hint::black_box(decision.map_err(|_error| "no candidate available")?);
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEAT_COUNT))
}

pub(crate) fn run() -> Result<(), String> {
    println!("time of one decision, in µs");
    for candidates in [8, 16, 24, 32, 40, 64] {
        println!("{candidates:>6} candidates {:>8.2}", decision_micros(candidates)?);
    }
    compare::<4>(3, 4, 40.0)?;
    compare::<4>(3, 4, 120.0)?;
    compare::<4>(3, 4, 480.0)?;
    compare::<4>(2, 64, 500.0)?;
    compare::<40>(2, 64, 500.0)?;
    compare::<40>(4, 64, 4_000.0)
}

/// Prints skew, step time and latency of each rule for one fleet and load.
fn compare<const N: usize>(groups: usize, ranks: usize, requests_per_second: f64) -> Result<(), String> {
    println!(
        "\n{groups} groups of {ranks} ranks, {requests_per_second} requests/s, {N} entries, reports every {REPORT_INTERVAL:?}, {REPORT_LAG:?} late"
    );
    println!(
        "{:<16}{:>10}{:>10}{:>14}{:>14}",
        "rule", "skew", "step ms", "mean latency", "p95 latency"
    );
    let rules = [
        ("group cost", Rule::GroupCost),
        ("least of two", Rule::TwoChoices),
        ("round robin", Rule::RoundRobin(0)),
        ("random", Rule::Random),
    ];
    for (name, rule) in rules {
        let mut totals = simulate::<N>(rule, groups, ranks, requests_per_second)?;
        totals.latencies_ms.sort_by(f64::total_cmp);
        let request_count = totals.latencies_ms.len();
        println!(
            "{name:<16}{:>10.3}{:>10.2}{:>14.0}{:>14.0}",
            totals.skew_sum / totals.step_count,
            totals.step_ms_sum / totals.step_count,
            totals.latencies_ms.iter().sum::<f64>() / request_count as f64,
            totals.latencies_ms[request_count * 95 / 100]
        );
    }
    Ok(())
}
