//! Targets that request a backoff or state a rate limit: their agents must respect it.

use std::time::{Duration, Instant};

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::Fault;

/// Backoff that the target requests, in seconds.
const BACKOFF_SECS: u32 = 3;
/// Requests that may reach the target during its backoff: one in flight and two more.
const MAX_ARRIVALS: usize = 3;
/// Rate limit that the target states, in requests per second.
const RATE_LIMIT: u32 = 2;
/// Time for which requests are sent against the rate limit.
const LOAD_DURATION: Duration = Duration::from_secs(4);

async fn start_with_fault(name: &str, fault: Fault) -> Result<Fleet, Error> {
    let plan = Plan {
        service_count: 1,
        ..Plan::default()
    };
    let fleet = Fleet::start(name, plan).await?;
    fleet.set_fault("service-0", fault).await?;
    Ok(fleet)
}

/// Guards against an agent that keeps forwarding requests to a target during its backoff.
#[tokio::test]
async fn backoff_respected() -> Result<(), Error> {
    let fault = Fault {
        rest_s: BACKOFF_SECS,
        ..Fault::default()
    };
    let fleet = start_with_fault("target-rests", fault).await?;
    let before = fleet.arrival_count(0).await?;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(2) {
        fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    }
    let arrivals = fleet.arrival_count(0).await? - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} calls arrived during the backoff");
    fleet.set_fault("service-0", Fault::default()).await?;
    eventually("the target receives calls again", || async {
        let response = fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await.ok()?;
        (response.status == StatusCode::OK).then_some(())
    })
    .await
}

/// Guards against an agent that forwards more than its target's rate limit, or far less.
#[tokio::test]
async fn rate_limit_respected() -> Result<(), Error> {
    let fault = Fault {
        rate_limit: RATE_LIMIT,
        ..Fault::default()
    };
    let fleet = start_with_fault("target-limits", fault).await?;
    fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    let before = fleet.arrival_count(0).await?;
    let started_at = Instant::now();
    while started_at.elapsed() < LOAD_DURATION {
        fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    }
    let arrivals = fleet.arrival_count(0).await? - before;
    let max_arrivals = f64::from(RATE_LIMIT) * started_at.elapsed().as_secs_f64() * 1.5 + 5.0;
    assert!(
        arrivals as f64 <= max_arrivals,
        "{arrivals} calls arrived, at most {max_arrivals} allowed"
    );
    let min_arrivals = f64::from(RATE_LIMIT) * started_at.elapsed().as_secs_f64() / 2.0;
    assert!(
        arrivals as f64 >= min_arrivals,
        "{arrivals} calls arrived, far below the rate limit"
    );
    Ok(())
}
