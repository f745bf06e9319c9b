//! The request path: time and processor time that entry and agent add, against the same client at the engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use sparscale_fleet::{Fleet, MODEL, Plan, caller_key};

use crate::usage::{line, processor_seconds, resident_mib};

/// Requests of each latency run, one after the other.
const REQUESTS: usize = 200;
/// Tokens of each of them.
const TOKENS: u32 = 40;
/// Workers of the four loads, and requests of each worker.
const WORKERS: [usize; 4] = [2, 4, 8, 16];
const PER_WORKER: usize = 20;
/// Answer lengths of which the slope is the cost of a token.
const LENGTHS: [u32; 3] = [1, 30, 120];

/// Times of one run, in microseconds.
struct Times {
    first_byte: Histogram<u64>,
    token: Histogram<u64>,
}

pub(crate) async fn run() -> Result<(), String> {
    let plan = Plan {
        entries: 1,
        ranks: 2,
        services: 0,
        step_micros: 400,
        ..Plan::default()
    };
    let fleet = Arc::new(Fleet::start("path", plan).await?);
    latency(&fleet).await?;
    processor(&fleet).await
}

async fn latency(fleet: &Fleet) -> Result<(), String> {
    let direct_url = format!("{}/v1/chat/completions", fleet.standin_url("rank-0")?);
    let entry_url = format!("{}/v1/chat/completions", fleet.callers_url("entry-0"));
    // Both in turn, so that whatever the machine does meets both alike.
    let mut direct = Times::new()?;
    let mut through = Times::new()?;
    for index in 0..REQUESTS {
        one(fleet, &direct_url, index, &mut direct).await?;
        one(fleet, &entry_url, index, &mut through).await?;
    }
    println!("{REQUESTS} requests of {TOKENS} tokens, in turn at the engine and through entry and agent; µs");
    println!(
        "{:<12}{:>16}{:>16}{:>16}{:>16}",
        "", "first byte p50", "first byte p95", "token gap p50", "token gap p95"
    );
    for (name, times) in [("direct", &direct), ("through", &through)] {
        println!(
            "{name:<12}{:>16}{:>16}{:>16}{:>16}",
            times.first_byte.value_at_quantile(0.5),
            times.first_byte.value_at_quantile(0.95),
            times.token.value_at_quantile(0.5),
            times.token.value_at_quantile(0.95)
        );
    }
    Ok(())
}

impl Times {
    fn new() -> Result<Self, String> {
        let histogram = || Histogram::new(3).map_err(|error| error.to_string());
        Ok(Self {
            first_byte: histogram()?,
            token: histogram()?,
        })
    }
}

async fn one(fleet: &Fleet, url: &str, index: usize, times: &mut Times) -> Result<(), String> {
    let key = format!("Bearer {}", caller_key("teal"));
    let body = body(&format!("latency {index}"), TOKENS);
    let began = Instant::now();
    let mut stream = fleet.client().stream(url, &[("authorization", &key)], &body).await?;
    let mut last = None;
    while let Some(piece) = stream.next().await {
        piece?;
        let now = Instant::now();
        let (histogram, since) = match last {
            None => (&mut times.first_byte, began),
            Some(last) => (&mut times.token, last),
        };
        histogram
            .record(now.duration_since(since).as_micros() as u64)
            .map_err(|error| error.to_string())?;
        last = Some(now);
    }
    Ok(())
}

fn body(prompt: &str, tokens: u32) -> String {
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": MODEL, "messages": messages, "max_tokens": tokens, "stream": true }).to_string()
}

/// Processor time of entry and agents, by load and answer length.
async fn processor(fleet: &Arc<Fleet>) -> Result<(), String> {
    println!("\nprocessor time, µs a request; agents: both together");
    println!(
        "{:<10}{:>10}{:>14}{:>14}{:>14}",
        "workers", "tokens", "requests/s", "entry", "agents"
    );
    for workers in WORKERS {
        let mut entry_points = Vec::new();
        let mut agent_points = Vec::new();
        for tokens in LENGTHS {
            let (rate, entry, agents) = load(fleet, workers, tokens).await?;
            println!("{workers:<10}{tokens:>10}{rate:>14.0}{entry:>14.0}{agents:>14.0}");
            entry_points.push((f64::from(tokens), entry));
            agent_points.push((f64::from(tokens), agents));
        }
        let (entry_token, entry_request) = line(&entry_points);
        let (agent_token, agent_request) = line(&agent_points);
        println!(
            "{workers:<10}slope: entry {entry_token:.1} µs a token + {entry_request:.0} a request; agent {agent_token:.1} a token + {agent_request:.0} a request"
        );
    }
    for name in ["entry-0", "rank-0", "rank-1"] {
        let id = fleet.process_id(name).ok_or("it runs")?;
        println!("resident memory of {name}: {:.1} MiB", resident_mib(id)?);
    }
    Ok(())
}

async fn load(fleet: &Arc<Fleet>, workers: usize, tokens: u32) -> Result<(f64, f64, f64), String> {
    let before = used(fleet)?;
    let began = Instant::now();
    let tasks: Vec<_> = (0..workers)
        .map(|worker| {
            let fleet = Arc::clone(fleet);
            tokio::spawn(async move {
                for turn in 0..PER_WORKER {
                    let prompt = format!("worker {worker} turn {turn}");
                    fleet
                        .stream_chat("entry-0", "teal", &prompt, tokens)
                        .await?
                        .rest()
                        .await?;
                }
                Ok::<(), String>(())
            })
        })
        .collect();
    for task in tasks {
        task.await.map_err(|error| error.to_string())??;
    }
    let took = began.elapsed();
    // The last frames are still being worked off.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let after = used(fleet)?;
    let requests = (workers * PER_WORKER) as f64;
    let each = |index: usize| (after[index] - before[index]) * 1e6 / requests;
    Ok((requests / took.as_secs_f64(), each(0), each(1)))
}

/// Processor seconds of the entry, and of both agents.
fn used(fleet: &Fleet) -> Result<[f64; 2], String> {
    let of = |name: &str| processor_seconds(fleet.process_id(name).ok_or("it runs")?);
    Ok([of("entry-0")?, of("rank-0")? + of("rank-1")?])
}
