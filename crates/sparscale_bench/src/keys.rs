//! Compares the ways to run a request at most once.
//!
//! For each way it prints the latency, the appends to the log, and the fraction of calls rejected while the log is
//! unavailable.

use std::time::Instant;

use http::Method;
use sparscale_fleet::{Fleet, Plan};
use sparscale_standin::{Fault, Outage};

/// Calls measured for each key mode.
const CALLS_PER_MODE: usize = 30;
/// Calls for each key mode while the log is unavailable.
const OUTAGE_CALLS_PER_MODE: usize = 20;

/// Idempotency key that a call carries.
#[derive(Clone, Copy)]
enum KeyMode {
    NoKey,
    /// A ticket issued by another entry than the one that receives the call.
    Ticket,
    /// A key that the caller makes up, which the entry must bind in the log.
    PlainKey,
}

pub(crate) async fn run() -> Result<(), String> {
    let plan = Plan {
        service_count: 2,
        service_work_ms: 0,
        ..Plan::default()
    };
    let fleet = Fleet::start("keys", plan).await?;
    println!(
        "{:<12}{:>12}{:>12}{:>12}{:>22}",
        "way", "p50 µs", "p95 µs", "appends", "refused in an outage"
    );
    for (name, mode) in [
        ("no key", KeyMode::NoKey),
        ("ticket", KeyMode::Ticket),
        ("plain key", KeyMode::PlainKey),
    ] {
        let appends_before = appends(&fleet).await?;
        let mut micros = Vec::new();
        for index in 0..CALLS_PER_MODE {
            let started = Instant::now();
            if !call(&fleet, mode, index).await? {
                return Err(format!("{name}: call {index} was rejected"));
            }
            micros.push(started.elapsed().as_micros());
        }
        micros.sort_unstable();
        let append_count = self::appends(&fleet).await? - appends_before;
        let rejected_fraction = rejected_in_outage(&fleet, mode).await?;
        println!(
            "{name:<12}{:>12}{:>12}{append_count:>12}{rejected_fraction:>22.2}",
            micros[CALLS_PER_MODE / 2],
            micros[CALLS_PER_MODE * 95 / 100]
        );
    }
    Ok(())
}

/// Makes one call and returns whether it succeeded.
async fn call(fleet: &Fleet, mode: KeyMode, index: usize) -> Result<bool, String> {
    let body = format!("{{\"index\":{index}}}");
    let response = match mode {
        KeyMode::NoKey => fleet.call_service("entry-0", "illustration", &body, &[]).await?,
        KeyMode::Ticket => {
            let issued = fleet
                .send_to_entry("entry-0", Method::POST, "/v1/tickets/calculator")
                .await?;
            let ticket = issued.member("ticket").ok_or_else(|| issued.text())?;
            fleet
                .call_service("entry-1", "illustration", &body, &[("idempotency-key", &ticket)])
                .await?
        }
        KeyMode::PlainKey => {
            let key = format!("key {index} {:?}", Instant::now());
            loop {
                let response = fleet
                    .call_service("entry-0", "illustration", &body, &[("idempotency-key", &key)])
                    .await?;
                // Retries calls rejected by the budget of four bindings a second, which is not the subject here.
                if !response.text().contains("budget") {
                    break response;
                }
                tokio::time::sleep(std::time::Duration::from_secs(1)).await;
            }
        }
    };
    Ok(response.status.is_success())
}

/// Returns the number of records appended to the log so far.
async fn appends(fleet: &Fleet) -> Result<u64, String> {
    let counts = fleet.query_standin("log", "/admin/counts").await?;
    let appends = counts.member("appends").and_then(|text| text.parse().ok());
    appends.ok_or_else(|| counts.text())
}

/// Returns the fraction of calls that are rejected while the log is unavailable.
async fn rejected_in_outage(fleet: &Fleet, mode: KeyMode) -> Result<f64, String> {
    let outage_fault = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    fleet.set_fault("log", outage_fault).await?;
    let mut rejected_count = 0;
    for index in 0..OUTAGE_CALLS_PER_MODE {
        rejected_count += usize::from(!call(fleet, mode, 1_000 + index).await?);
    }
    fleet.set_fault("log", Fault::default()).await?;
    Ok(rejected_count as f64 / OUTAGE_CALLS_PER_MODE as f64)
}
