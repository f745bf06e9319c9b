//! Targets beside agents that ask for rest or limit their rate.

use std::time::{Duration, Instant};

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::Fault;

/// Rest that the target asks for, in seconds.
const REST_S: u32 = 3;
/// Requests that may reach it in that time: what was under way, and two more.
const MOST: usize = 3;
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

/// An agent goes on handing requests to a target that asked for rest.
#[tokio::test]
async fn rest_ignored() -> Result<(), Error> {
    let fault = Fault {
        rest_s: REST_S,
        ..Fault::default()
    };
    let fleet = one_target("target-rests", fault).await?;
    let before = fleet.arrivals(0).await?;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    }
    let arrivals = fleet.arrivals(0).await? - before;
    assert!(arrivals <= MOST, "{arrivals} calls while it rested");
    fleet.fault("service-0", Fault::default()).await?;
    eventually("the target is used again", || async {
        let reply = fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await.ok()?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await
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
    let least = f64::from(RATE) * began.elapsed().as_secs_f64() / 2.0;
    assert!(arrivals as f64 >= least, "{arrivals} calls are far below its rate");
    Ok(())
}
