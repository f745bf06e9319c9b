//! Tiers under overload against first come, first served, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_admit::queue::{Job, Limits, Queue};

/// Places of the target, and the mean time that one request holds a place, in milliseconds.
const PLACES: usize = 64;
const MEAN_MS: f64 = 200.0;
/// Requests of one run.
const REQUESTS: u32 = 60_000;
/// Time that a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Share of requests in the top tier.
const TOP_SHARE: f64 = 0.2;
const WAITING: usize = 2_000;

#[derive(Clone, Copy, PartialEq)]
enum Discipline {
    Tiers,
    FirstCome,
}

struct Request {
    tier: u8,
    arrives: Duration,
    holds: Duration,
}

struct Outcome {
    offered: [u32; 2],
    in_time: [u32; 2],
    latency: [Histogram<u64>; 2],
}

fn requests(load: f64) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let between = MEAN_MS / (PLACES as f64 * load);
    let mut now = 0.0;
    let exponential = |random: &mut ChaCha8Rng, mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
    (0..REQUESTS)
        .map(|_| {
            now += exponential(&mut random, between);
            let holds = exponential(&mut random, MEAN_MS).max(1.0);
            Request {
                tier: u8::from(!random.random_bool(TOP_SHARE)),
                arrives: Duration::from_secs_f64(now / 1_000.0),
                holds: Duration::from_secs_f64(holds / 1_000.0),
            }
        })
        .collect()
}

/// Runs all requests through one target; every place is held until its request ends.
fn simulate(discipline: Discipline, load: f64) -> Result<Outcome, String> {
    let requests = requests(load);
    let histogram = || Histogram::new(3).map_err(|error| error.to_string());
    let mut outcome = Outcome {
        offered: [0; 2],
        in_time: [0; 2],
        latency: [histogram()?, histogram()?],
    };
    let mut queue = Queue::new(Limits {
        running: PLACES,
        waiting: WAITING,
        floor_one_in: 20,
    });
    let mut line: VecDeque<usize> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut next = 0;
    while next < requests.len() || !ends.is_empty() {
        let arrival = requests.get(next).map(|request| request.arrives);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let arrives_first = arrival.is_some_and(|arrival| end.is_none_or(|end| arrival <= end));
        let now = if arrives_first {
            let request = &requests[next];
            outcome.offered[usize::from(request.tier)] += 1;
            offer(discipline, &mut queue, &mut line, next, request);
            next += 1;
            request.arrives
        } else {
            let Some(Reverse((at, index))) = ends.pop() else { break };
            finish(&requests[index], at, &mut outcome)?;
            if discipline == Discipline::Tiers {
                queue.finished(1.0, requests[index].holds);
            }
            at
        };
        while let Some(index) = take(discipline, &mut queue, &mut line, ends.len(), now) {
            ends.push(Reverse((now + requests[index].holds, index)));
        }
    }
    Ok(outcome)
}

fn deadline(request: &Request) -> Duration {
    request.arrives + Duration::from_millis(DEADLINE_MS)
}

fn offer(
    discipline: Discipline,
    queue: &mut Queue<usize>,
    line: &mut VecDeque<usize>,
    index: usize,
    request: &Request,
) {
    if discipline == Discipline::FirstCome {
        if line.len() < WAITING {
            line.push_back(index);
        }
        return;
    }
    let job = Job {
        key: index,
        tier: request.tier,
        workspace: format!("workspace-{}", index % 10),
        weight: 1,
        cost: 1.0,
        deadline: deadline(request),
    };
    // A refusal is final; the caller is told at once.
    drop(queue.offer(job, request.arrives));
}

fn take(
    discipline: Discipline,
    queue: &mut Queue<usize>,
    line: &mut VecDeque<usize>,
    running: usize,
    now: Duration,
) -> Option<usize> {
    match discipline {
        Discipline::Tiers => queue.next(now, &mut Vec::new()).map(|job| job.key),
        Discipline::FirstCome if running < PLACES => {
            // The plain line does not look at deadlines: whoever stands first is served, wanted or not.
            line.pop_front()
        }
        Discipline::FirstCome => None,
    }
}

fn finish(request: &Request, at: Duration, outcome: &mut Outcome) -> Result<(), String> {
    let tier = usize::from(request.tier);
    if at <= deadline(request) {
        outcome.in_time[tier] += 1;
    }
    let took = at.saturating_sub(request.arrives).as_millis() as u64;
    outcome.latency[tier]
        .record(took.max(1))
        .map_err(|error| error.to_string())
}

pub(crate) fn run() -> Result<(), String> {
    println!("{PLACES} places, {MEAN_MS} ms each, deadline {DEADLINE_MS} ms, {TOP_SHARE} of requests in the top tier");
    println!(
        "{:<12}{:>6}{:>14}{:>12}{:>12}{:>14}{:>12}{:>12}",
        "discipline", "load", "top in time", "top p50 ms", "top p95 ms", "low in time", "low p50 ms", "low p95 ms"
    );
    for (name, discipline) in [("tiers", Discipline::Tiers), ("first come", Discipline::FirstCome)] {
        for load in [0.5, 1.0, 2.0, 4.0] {
            let outcome = simulate(discipline, load)?;
            let share = |tier: usize| f64::from(outcome.in_time[tier]) / f64::from(outcome.offered[tier].max(1));
            let at = |tier: usize, quantile: f64| outcome.latency[tier].value_at_quantile(quantile);
            println!(
                "{name:<12}{load:>6.1}{:>14.3}{:>12}{:>12}{:>14.3}{:>12}{:>12}",
                share(0),
                at(0, 0.5),
                at(0, 0.95),
                share(1),
                at(1, 0.5),
                at(1, 0.95)
            );
        }
    }
    Ok(())
}
