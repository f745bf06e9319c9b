//! Compares the tiered queue with a first-come-first-served queue under overload, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_admit::queue::{Job, Limits, Queue};

/// Requests that the target runs at once.
const MAX_RUNNING: usize = 64;
/// Mean time that the target takes for one request.
const MEAN_SERVICE_MS: f64 = 200.0;
/// Requests of one run.
const REQUEST_COUNT: u32 = 60_000;
/// Time that a caller waits for its response.
const CALLER_TIMEOUT_MS: u64 = 4_000;
/// Fraction of requests in the top tier.
const TOP_TIER_SHARE: f64 = 0.2;
/// Maximum number of requests that wait for the target.
const MAX_WAITING: usize = 2_000;

/// Order in which waiting requests run.
#[derive(Clone, Copy, PartialEq)]
enum Discipline {
    Tiers,
    Fifo,
}

struct Request {
    tier: u8,
    arrived_at: Duration,
    service_time: Duration,
}

/// Results by tier, the top tier first.
struct TierResults {
    offered_count: [u32; 2],
    on_time_count: [u32; 2],
    latency_ms: [Histogram<u64>; 2],
}

/// Returns requests with exponential gaps and service times; a `load` of 1 is the capacity of the target.
fn requests(load: f64) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mean_gap_ms = MEAN_SERVICE_MS / (MAX_RUNNING as f64 * load);
    let mut now_ms = 0.0;
    let exponential = |random: &mut ChaCha8Rng, mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
    (0..REQUEST_COUNT)
        .map(|_| {
            now_ms += exponential(&mut random, mean_gap_ms);
            let service_ms = exponential(&mut random, MEAN_SERVICE_MS).max(1.0);
            Request {
                tier: u8::from(!random.random_bool(TOP_TIER_SHARE)),
                arrived_at: Duration::from_secs_f64(now_ms / 1_000.0),
                service_time: Duration::from_secs_f64(service_ms / 1_000.0),
            }
        })
        .collect()
}

/// Runs all requests through one target, which runs up to [`MAX_RUNNING`] of them at once.
fn simulate(discipline: Discipline, load: f64) -> Result<TierResults, String> {
    let requests = requests(load);
    let histogram = || Histogram::new(3).map_err(|error| error.to_string());
    let mut results = TierResults {
        offered_count: [0; 2],
        on_time_count: [0; 2],
        latency_ms: [histogram()?, histogram()?],
    };
    let mut queue = Queue::new(Limits {
        max_running: MAX_RUNNING,
        max_queued: MAX_WAITING,
        floor_one_in: 20,
    });
    let mut fifo: VecDeque<usize> = VecDeque::new();
    let mut running: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut next_index = 0;
    while next_index < requests.len() || !running.is_empty() {
        let next_arrival = requests.get(next_index).map(|request| request.arrived_at);
        let next_end = running.peek().map(|Reverse((ended_at, _))| *ended_at);
        let is_arrival_next =
            next_arrival.is_some_and(|next_arrival| next_end.is_none_or(|next_end| next_arrival <= next_end));
        let now = if is_arrival_next {
            let request = &requests[next_index];
            results.offered_count[usize::from(request.tier)] += 1;
            offer(discipline, &mut queue, &mut fifo, next_index, request);
            next_index += 1;
            request.arrived_at
        } else {
            let Some(Reverse((ended_at, index))) = running.pop() else {
                break;
            };
            record_end(&requests[index], ended_at, &mut results)?;
            if discipline == Discipline::Tiers {
                queue.record_end(1.0, requests[index].service_time);
            }
            ended_at
        };
        while let Some(index) = start_next(discipline, &mut queue, &mut fifo, running.len(), now) {
            running.push(Reverse((now + requests[index].service_time, index)));
        }
    }
    Ok(results)
}

fn deadline(request: &Request) -> Duration {
    request.arrived_at + Duration::from_millis(CALLER_TIMEOUT_MS)
}

/// Adds request `index` to the queue of the discipline; a full queue rejects it.
fn offer(
    discipline: Discipline,
    queue: &mut Queue<usize>,
    fifo: &mut VecDeque<usize>,
    index: usize,
    request: &Request,
) {
    if discipline == Discipline::Fifo {
        if fifo.len() < MAX_WAITING {
            fifo.push_back(index);
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
    // A rejected request is not offered again; its caller receives the rejection at once.
    drop(queue.enqueue(job, request.arrived_at));
}

/// Removes and returns the request to run next, if the target has headroom.
fn start_next(
    discipline: Discipline,
    queue: &mut Queue<usize>,
    fifo: &mut VecDeque<usize>,
    running_count: usize,
    now: Duration,
) -> Option<usize> {
    match discipline {
        Discipline::Tiers => queue.dequeue(now, &mut Vec::new()).map(|job| job.key),
        Discipline::Fifo if running_count < MAX_RUNNING => {
            // Does not check deadlines: the oldest request runs even if its caller has given up.
            fifo.pop_front()
        }
        Discipline::Fifo => None,
    }
}

/// Records a request that ended at `ended_at`; it is on time if its caller still waited.
fn record_end(request: &Request, ended_at: Duration, results: &mut TierResults) -> Result<(), String> {
    let tier = usize::from(request.tier);
    if ended_at <= deadline(request) {
        results.on_time_count[tier] += 1;
    }
    let latency_ms = ended_at.saturating_sub(request.arrived_at).as_millis() as u64;
    results.latency_ms[tier]
        .record(latency_ms.max(1))
        .map_err(|error| error.to_string())
}

pub(crate) fn run() -> Result<(), String> {
    println!(
        "{MAX_RUNNING} places, {MEAN_SERVICE_MS} ms each, deadline {CALLER_TIMEOUT_MS} ms, {TOP_TIER_SHARE} of requests in the top tier"
    );
    println!(
        "{:<12}{:>6}{:>14}{:>12}{:>12}{:>14}{:>12}{:>12}",
        "discipline", "load", "top in time", "top p50 ms", "top p95 ms", "low in time", "low p50 ms", "low p95 ms"
    );
    for (name, discipline) in [("tiers", Discipline::Tiers), ("first come", Discipline::Fifo)] {
        for load in [0.5, 1.0, 2.0, 4.0] {
            let results = simulate(discipline, load)?;
            let on_time_share =
                |tier: usize| f64::from(results.on_time_count[tier]) / f64::from(results.offered_count[tier].max(1));
            let latency_at = |tier: usize, quantile: f64| results.latency_ms[tier].value_at_quantile(quantile);
            println!(
                "{name:<12}{load:>6.1}{:>14.3}{:>12}{:>12}{:>14.3}{:>12}{:>12}",
                on_time_share(0),
                latency_at(0, 0.5),
                latency_at(0, 0.95),
                on_time_share(1),
                latency_at(1, 0.5),
                latency_at(1, 0.95)
            );
        }
    }
    Ok(())
}
