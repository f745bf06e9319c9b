//! Measures the time and processor time that entry and agent add to a request.
//!
//! The baseline is the same client calling the engine directly.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use sparscale_fleet::{Fleet, MODEL, Plan, caller_key};

use crate::usage::{fit_line, processor_seconds, resident_mib};

/// Requests of each latency run, sent one after the other.
const REQUEST_COUNT: usize = 200;
/// Response tokens of each request in a latency run.
const TOKENS_PER_REQUEST: u32 = 40;
/// Numbers of concurrent workers for which processor time is measured.
const WORKER_COUNTS: [usize; 4] = [2, 4, 8, 16];
/// Requests that each worker sends, one after the other.
const REQUESTS_PER_WORKER: usize = 20;
/// Response lengths in tokens; the slope over them is the cost of a token.
const RESPONSE_TOKENS: [u32; 3] = [1, 30, 120];

/// Latencies of one run, in microseconds.
struct LatencyHistograms {
    first_byte: Histogram<u64>,
    /// Time between two successive chunks of a response.
    token_gap: Histogram<u64>,
}

pub(crate) async fn run() -> Result<(), String> {
    let plan = Plan {
        entry_count: 1,
        rank_count: 2,
        service_count: 0,
        step_micros: 400,
        ..Plan::default()
    };
    let fleet = Arc::new(Fleet::start("path", plan).await?);
    measure_latency(&fleet).await?;
    measure_processor_time(&fleet).await
}

async fn measure_latency(fleet: &Fleet) -> Result<(), String> {
    let direct_url = format!("{}/v1/chat/completions", fleet.standin_url("rank-0")?);
    let entry_url = format!("{}/v1/chat/completions", fleet.callers_url("entry-0"));
    // Alternates between both, so that other load on the machine affects both alike.
    let mut direct = LatencyHistograms::new()?;
    let mut via_entry = LatencyHistograms::new()?;
    for index in 0..REQUEST_COUNT {
        measure_request(fleet, &direct_url, index, &mut direct).await?;
        measure_request(fleet, &entry_url, index, &mut via_entry).await?;
    }
    println!(
        "{REQUEST_COUNT} requests of {TOKENS_PER_REQUEST} tokens, in turn at the engine and through entry and agent; µs"
    );
    println!(
        "{:<12}{:>16}{:>16}{:>16}{:>16}",
        "", "first byte p50", "first byte p95", "token gap p50", "token gap p95"
    );
    for (name, histograms) in [("direct", &direct), ("through", &via_entry)] {
        println!(
            "{name:<12}{:>16}{:>16}{:>16}{:>16}",
            histograms.first_byte.value_at_quantile(0.5),
            histograms.first_byte.value_at_quantile(0.95),
            histograms.token_gap.value_at_quantile(0.5),
            histograms.token_gap.value_at_quantile(0.95)
        );
    }
    Ok(())
}

impl LatencyHistograms {
    fn new() -> Result<Self, String> {
        let histogram = || Histogram::new(3).map_err(|error| error.to_string());
        Ok(Self {
            first_byte: histogram()?,
            token_gap: histogram()?,
        })
    }
}

/// Sends one request to `url` and records its latencies.
async fn measure_request(
    fleet: &Fleet,
    url: &str,
    index: usize,
    histograms: &mut LatencyHistograms,
) -> Result<(), String> {
    let key = format!("Bearer {}", caller_key("teal"));
    let body = body(&format!("latency {index}"), TOKENS_PER_REQUEST);
    let started = Instant::now();
    let mut stream = fleet.client().stream(url, &[("authorization", &key)], &body).await?;
    let mut previous_chunk_at = None;
    while let Some(chunk) = stream.next().await {
        chunk?;
        let now = Instant::now();
        let (histogram, start) = match previous_chunk_at {
            None => (&mut histograms.first_byte, started),
            Some(previous_chunk_at) => (&mut histograms.token_gap, previous_chunk_at),
        };
        histogram
            .record(now.duration_since(start).as_micros() as u64)
            .map_err(|error| error.to_string())?;
        previous_chunk_at = Some(now);
    }
    Ok(())
}

fn body(prompt: &str, tokens: u32) -> String {
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": MODEL, "messages": messages, "max_tokens": tokens, "stream": true }).to_string()
}

/// Measures the processor time of entry and agents by number of workers and response length.
async fn measure_processor_time(fleet: &Arc<Fleet>) -> Result<(), String> {
    println!("\nprocessor time, µs a request; agents: both together");
    println!(
        "{:<10}{:>10}{:>14}{:>14}{:>14}",
        "workers", "tokens", "requests/s", "entry", "agents"
    );
    for worker_count in WORKER_COUNTS {
        let mut entry_points = Vec::new();
        let mut agent_points = Vec::new();
        for tokens in RESPONSE_TOKENS {
            let (requests_per_second, entry_micros, agents_micros) = run_load(fleet, worker_count, tokens).await?;
            println!(
                "{worker_count:<10}{tokens:>10}{requests_per_second:>14.0}{entry_micros:>14.0}{agents_micros:>14.0}"
            );
            entry_points.push((f64::from(tokens), entry_micros));
            agent_points.push((f64::from(tokens), agents_micros));
        }
        let (entry_per_token, entry_per_request) = fit_line(&entry_points);
        let (agent_per_token, agent_per_request) = fit_line(&agent_points);
        println!(
            "{worker_count:<10}slope: entry {entry_per_token:.1} µs a token + {entry_per_request:.0} a request; agent {agent_per_token:.1} a token + {agent_per_request:.0} a request"
        );
    }
    for name in ["entry-0", "rank-0", "rank-1"] {
        let pid = fleet.process_id(name).ok_or("process is not running")?;
        println!("resident memory of {name}: {:.1} MiB", resident_mib(pid)?);
    }
    Ok(())
}

/// Runs one load. Returns the requests per second, and the processor time of the entry and of both agents, in
/// microseconds a request.
async fn run_load(fleet: &Arc<Fleet>, worker_count: usize, tokens: u32) -> Result<(f64, f64, f64), String> {
    let before = processor_seconds_used(fleet)?;
    let started = Instant::now();
    let tasks: Vec<_> = (0..worker_count)
        .map(|worker| {
            let fleet = Arc::clone(fleet);
            tokio::spawn(async move {
                for request_index in 0..REQUESTS_PER_WORKER {
                    let prompt = format!("worker {worker} turn {request_index}");
                    fleet
                        .stream_chat("entry-0", "teal", &prompt, tokens)
                        .await?
                        .read_remainder()
                        .await?;
                }
                Ok::<(), String>(())
            })
        })
        .collect();
    for task in tasks {
        task.await.map_err(|error| error.to_string())??;
    }
    let elapsed = started.elapsed();
    // Entry and agents still process the last frames.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let after = processor_seconds_used(fleet)?;
    let requests = (worker_count * REQUESTS_PER_WORKER) as f64;
    let micros_per_request = |index: usize| (after[index] - before[index]) * 1e6 / requests;
    Ok((
        requests / elapsed.as_secs_f64(),
        micros_per_request(0),
        micros_per_request(1),
    ))
}

/// Returns the processor time of the entry and of both agents so far, in seconds.
fn processor_seconds_used(fleet: &Fleet) -> Result<[f64; 2], String> {
    let processor_time = |name: &str| processor_seconds(fleet.process_id(name).ok_or("process is not running")?);
    Ok([
        processor_time("entry-0")?,
        processor_time("rank-0")? + processor_time("rank-1")?,
    ])
}
