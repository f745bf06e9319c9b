//! Routing: time of one decision, and step-time skew against baselines with lagging reports, in virtual time.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_board::{Board, Load, Standing, TargetKey, prefix_blocks};
use sparscale_bundle::{
    Bundle, Document, Fleet, Group, Hall, KeyHash, Limits, Model, Operator, Placement, Target, Tier, Workspace, sign,
};
use sparscale_route::{Request, Rule, choose, subset};

/// Step time without load, and for each sequence on the most loaded rank, in milliseconds.
const BASE_MS: f64 = 4.5;
const SLOPE_MS: f64 = 0.1;
/// Reports are made this often and arrive this much later.
const REPORT_EVERY: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Virtual time of one run.
const RUN: Duration = Duration::from_mins(2);

pub(crate) fn bundle(groups: usize, ranks: usize) -> Result<Bundle, String> {
    let operator = |name: &str| Operator {
        name: name.to_owned(),
        key: sign::public_text(&sign::new_key()),
    };
    let name = |group: usize, rank: usize| format!("rank-{group}-{rank}");
    let all = (0..groups).flat_map(|group| (0..ranks).map(move |rank| (group, rank)));
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
            targets: all
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
    board.apply_listed(&listed.collect());
    Ok(board)
}

/// A request that runs on a rank.
struct Running {
    entry: usize,
    counter: u64,
    left: u32,
    arrived: Duration,
}

/// A report on its way to the entries.
struct Report<const N: usize> {
    arrives: Duration,
    rank: usize,
    running: u32,
    step_ms: f64,
    seen: [u64; N],
    own: [u32; N],
}

#[derive(Default)]
struct Tally {
    steps: f64,
    skew: f64,
    step_ms: f64,
    latencies: Vec<f64>,
}

/// `N` entries route without telling each other.
struct Simulation<const N: usize> {
    boards: Vec<Board>,
    keys: Vec<TargetKey>,
    /// Candidates of each entry, in its own order.
    candidates: Vec<Vec<TargetKey>>,
    ranks: Vec<Vec<Running>>,
    seen: Vec<[u64; N]>,
    counters: [u64; N],
    reports: VecDeque<Report<N>>,
    random: ChaCha8Rng,
    turns: [usize; N],
    tally: Tally,
}

impl<const N: usize> Simulation<N> {
    fn new(groups: usize, ranks: usize) -> Result<Self, String> {
        let bundle = bundle(groups, ranks)?;
        let boards: Result<Vec<Board>, String> = (0..N).map(|_| board(&bundle)).collect();
        let boards = boards?;
        let names = bundle.fleet().targets.iter().map(|target| target.name.clone());
        let keys: Option<Vec<TargetKey>> = names.map(|name| boards[0].find(&name)).collect();
        let keys = keys.ok_or("every target is on the board")?;
        let own = |(entry, board): (usize, &Board)| subset(board, &format!("entry-{entry}"), &keys, keys.len()).targets;
        let candidates = boards.iter().enumerate().map(own).collect();
        let count = groups * ranks;
        Ok(Self {
            boards,
            candidates,
            keys,
            ranks: (0..count).map(|_| Vec::new()).collect(),
            seen: vec![[0; N]; count],
            counters: [0; N],
            reports: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(5),
            turns: [0; N],
            tally: Tally::default(),
        })
    }

    fn arrive(&mut self, rule: Rule, now: Duration) -> Result<(), String> {
        let entry = self.random.random_range(0..N);
        // Heavy-tailed answer lengths.
        let tokens = (20.0 / self.random.random_range(0.02_f64..1.0)) as u32;
        let request = Request {
            prompt_tokens: 200,
            answer_tokens: tokens,
            blocks: Vec::new(),
        };
        let rule = match rule {
            Rule::RoundRobin(_) => {
                self.turns[entry] += 1;
                Rule::RoundRobin(self.turns[entry])
            }
            other => other,
        };
        let board = &mut self.boards[entry];
        let candidates = &self.candidates[entry];
        let decision = choose(board, candidates, &request, rule, now, &mut self.random);
        let target = decision.map_err(|_none| "no candidate")?.target;
        self.counters[entry] += 1;
        board.note_sent(target, self.counters[entry], 0, &[], now);
        let rank = self
            .keys
            .iter()
            .position(|key| *key == target)
            .ok_or("a known target")?;
        self.seen[rank][entry] = self.counters[entry];
        self.ranks[rank].push(Running {
            entry,
            counter: self.counters[entry],
            left: tokens,
            arrived: now,
        });
        Ok(())
    }

    /// One step of the group with ranks `from..to`; returns its time.
    fn step(&mut self, from: usize, to: usize, now: Duration) -> Duration {
        let loads: Vec<usize> = self.ranks[from..to].iter().map(Vec::len).collect();
        let largest = loads.iter().copied().max().unwrap_or(0) as f64;
        let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
        let step_ms = BASE_MS + SLOPE_MS * largest;
        if mean >= 1.0 {
            self.tally.steps += 1.0;
            self.tally.skew += largest / mean;
            self.tally.step_ms += step_ms;
        }
        let took = Duration::from_secs_f64(step_ms / 1_000.0);
        for (index, rank) in self.ranks[from..to].iter_mut().enumerate() {
            for running in rank.iter_mut() {
                running.left -= 1;
                if running.left == 0 {
                    let key = self.keys[from + index];
                    self.boards[running.entry].note_ended(key, running.counter, now + took);
                    self.tally
                        .latencies
                        .push((now + took).saturating_sub(running.arrived).as_secs_f64() * 1_000.0);
                }
            }
            rank.retain(|running| running.left > 0);
        }
        took
    }

    fn report(&mut self, step_ms: &HashMap<usize, f64>, ranks: usize, now: Duration) {
        for rank in 0..self.ranks.len() {
            self.reports.push_back(Report {
                arrives: now + REPORT_LAG,
                rank,
                running: self.ranks[rank].len() as u32,
                step_ms: step_ms.get(&(rank / ranks)).copied().unwrap_or(BASE_MS),
                seen: self.seen[rank],
                own: std::array::from_fn(|entry| {
                    self.ranks[rank].iter().filter(|running| running.entry == entry).count() as u32
                }),
            });
        }
    }

    fn deliver_reports(&mut self, now: Duration) {
        while self.reports.front().is_some_and(|report| report.arrives <= now) {
            let Some(report) = self.reports.pop_front() else { return };
            for (entry, board) in self.boards.iter_mut().enumerate() {
                let load = Load {
                    incarnation: 1,
                    seen: report.seen[entry],
                    running: report.running,
                    own: report.own[entry],
                    step_ms: report.step_ms,
                    ..Load::default()
                };
                board.apply_load(self.keys[report.rank], load, now);
            }
        }
    }
}

fn simulate<const N: usize>(rule: Rule, groups: usize, ranks: usize, per_second: f64) -> Result<Tally, String> {
    let mut simulation = Simulation::<N>::new(groups, ranks)?;
    let mut next_step = vec![Duration::ZERO; groups];
    let mut step_ms: HashMap<usize, f64> = HashMap::new();
    let mut next_report = Duration::ZERO;
    let mut next_arrival = Duration::ZERO;
    loop {
        let group = (0..groups).min_by_key(|group| next_step[*group]).unwrap_or(0);
        let now = next_step[group].min(next_arrival).min(next_report);
        if now > RUN {
            return Ok(simulation.tally);
        }
        simulation.deliver_reports(now);
        if now == next_arrival {
            simulation.arrive(rule, now)?;
            let gap = -(1.0 - simulation.random.random::<f64>()).ln() / per_second;
            next_arrival = now + Duration::from_secs_f64(gap);
        } else if now == next_report {
            simulation.report(&step_ms, ranks, now);
            next_report = now + REPORT_EVERY;
        } else {
            let took = simulation.step(group * ranks, (group + 1) * ranks, now);
            step_ms.insert(group, took.as_secs_f64() * 1_000.0);
            next_step[group] = now + took;
        }
    }
}

fn decision_micros(candidates: usize) -> Result<f64, String> {
    const REPEATS: u32 = 20_000;
    let bundle = bundle(candidates.div_ceil(8), 8)?;
    let mut board = board(&bundle)?;
    let keys: Vec<TargetKey> = board.targets().map(|(key, _)| key).take(candidates).collect();
    let blocks = prefix_blocks(&[b'x'; 2_048]);
    for (index, key) in keys.iter().enumerate() {
        board.note_sent(*key, 1, 10, if index == 0 { &blocks } else { &[] }, Duration::ZERO);
    }
    let request = Request {
        prompt_tokens: 512,
        answer_tokens: 200,
        blocks,
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let began = Instant::now();
    for _ in 0..REPEATS {
        let decision = choose(
            &board,
            &keys,
            &request,
            Rule::GroupCost,
            Duration::from_secs(1),
            &mut random,
        );
        std::hint::black_box(decision.map_err(|_none| "no candidate")?);
    }
    Ok(began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS))
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

fn compare<const N: usize>(groups: usize, ranks: usize, per_second: f64) -> Result<(), String> {
    println!(
        "\n{groups} groups of {ranks} ranks, {per_second} requests/s, {N} entries, reports every {REPORT_EVERY:?}, {REPORT_LAG:?} late"
    );
    println!(
        "{:<16}{:>10}{:>10}{:>14}{:>14}",
        "rule", "skew", "step ms", "mean latency", "p95 latency"
    );
    let rules = [
        ("group cost", Rule::GroupCost),
        ("least of two", Rule::LeastOfTwo),
        ("round robin", Rule::RoundRobin(0)),
        ("random", Rule::Random),
    ];
    for (name, rule) in rules {
        let mut tally = simulate::<N>(rule, groups, ranks, per_second)?;
        tally.latencies.sort_by(f64::total_cmp);
        let count = tally.latencies.len();
        println!(
            "{name:<16}{:>10.3}{:>10.2}{:>14.0}{:>14.0}",
            tally.skew / tally.steps,
            tally.step_ms / tally.steps,
            tally.latencies.iter().sum::<f64>() / count as f64,
            tally.latencies[count * 95 / 100]
        );
    }
    Ok(())
}
