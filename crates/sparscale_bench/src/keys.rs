//! Ways to run a request at most once: added time, appends, and the share refused while the log is down.

use std::time::Instant;

use http::Method;
use sparscale_fleet::{Fleet, Plan};
use sparscale_standin::{Fault, Outage};

/// Calls of each way.
const CALLS: usize = 30;
/// Calls of each way while the log is down.
const OUTAGE_CALLS: usize = 20;

#[derive(Clone, Copy)]
enum Way {
    NoKey,
    Ticket,
    PlainKey,
}

pub(crate) async fn run() -> Result<(), String> {
    let plan = Plan {
        services: 2,
        service_work_ms: 0,
        ..Plan::default()
    };
    let fleet = Fleet::start("keys", plan).await?;
    println!(
        "{:<12}{:>12}{:>12}{:>12}{:>22}",
        "way", "p50 µs", "p95 µs", "appends", "refused in an outage"
    );
    for (name, way) in [
        ("no key", Way::NoKey),
        ("ticket", Way::Ticket),
        ("plain key", Way::PlainKey),
    ] {
        let appends = appends(&fleet).await?;
        let mut times = Vec::new();
        for index in 0..CALLS {
            let began = Instant::now();
            if !call(&fleet, way, index).await? {
                return Err(format!("{name}: call {index} was refused"));
            }
            times.push(began.elapsed().as_micros());
        }
        times.sort_unstable();
        let spent = self::appends(&fleet).await? - appends;
        let refused = refused_in_outage(&fleet, way).await?;
        println!(
            "{name:<12}{:>12}{:>12}{spent:>12}{refused:>22.2}",
            times[CALLS / 2],
            times[CALLS * 95 / 100]
        );
    }
    Ok(())
}

async fn call(fleet: &Fleet, way: Way, index: usize) -> Result<bool, String> {
    let body = format!("{{\"index\":{index}}}");
    let reply = match way {
        Way::NoKey => fleet.call_service("entry-0", "illustration", &body, &[]).await?,
        Way::Ticket => {
            let issued = fleet
                .ask_entry("entry-0", Method::POST, "/v1/tickets/calculator")
                .await?;
            let ticket = issued.member("ticket").ok_or_else(|| issued.text())?;
            fleet
                .call_service("entry-1", "illustration", &body, &[("idempotency-key", &ticket)])
                .await?
        }
        Way::PlainKey => {
            let key = format!("key {index} {:?}", Instant::now());
            loop {
                let reply = fleet
                    .call_service("entry-0", "illustration", &body, &[("idempotency-key", &key)])
                    .await?;
                // The budget of four bindings a second is not what is measured here.
                if !reply.text().contains("budget") {
                    break reply;
                }
                tokio::time::sleep(std::time::Duration::from_secs(1)).await;
            }
        }
    };
    Ok(reply.status.is_success())
}

async fn appends(fleet: &Fleet) -> Result<u64, String> {
    let counts = fleet.ask_standin("log", "/admin/counts").await?;
    let appends = counts.member("appends").and_then(|text| text.parse().ok());
    appends.ok_or_else(|| counts.text())
}

async fn refused_in_outage(fleet: &Fleet, way: Way) -> Result<f64, String> {
    let refuse = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    fleet.fault("log", refuse).await?;
    let mut refused = 0;
    for index in 0..OUTAGE_CALLS {
        refused += usize::from(!call(fleet, way, 1_000 + index).await?);
    }
    fleet.fault("log", Fault::default()).await?;
    Ok(refused as f64 / OUTAGE_CALLS as f64)
}
