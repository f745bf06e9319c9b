//! Targets beside agents that limit their rate.

use std::time::{Duration, Instant};

use sparscale_fleet::{Error, Fleet, Plan};
use sparscale_standin::Fault;

/// Requests a second that the target takes.
const RATE: u32 = 2;
const SPAN: Duration = Duration::from_secs(4);

async fn one_target(name: &str, fault: Fault) -> Result<Fleet, Error> {
    let plan = Plan {
        services: 1,
        ..Plan::default()
    };
    let fleet = Fleet::start(name, plan).await?;
    fleet.fault("service-0", fault).await?;
    Ok(fleet)
}

/// An agent hands its target more than the rate that it named.
#[tokio::test]
async fn rate_exceeded() -> Result<(), Error> {
    let fault = Fault {
        rate_limit: RATE,
        ..Fault::default()
    };
    let fleet = one_target("target-limits", fault).await?;
    fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    let before = fleet.arrivals(0).await?;
    let began = Instant::now();
    while began.elapsed() < SPAN {
        fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    }
    let arrivals = fleet.arrivals(0).await? - before;
    let allowed = f64::from(RATE) * began.elapsed().as_secs_f64() * 1.5 + 5.0;
    assert!(arrivals as f64 <= allowed, "{arrivals} calls, {allowed} allowed");
    assert!(arrivals > 0, "a target in need that gets nothing is wasted");
    Ok(())
}
