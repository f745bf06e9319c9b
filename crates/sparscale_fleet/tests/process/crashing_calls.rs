//! A call that ends each target which runs it is not run again and again on the product's own path.
//!
//! An entry knows a call by its attempts and forgets it with its answer, so each coming is the first: found by reading, after
//! the same had been seen on the users' platform. Two comings of one call that may be repeated end all six targets.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{DEADLY_BODY, Fault, LINGER, LINGERING_BODY};

const SERVICES: usize = 6;
/// Targets that a call may end; after so many it is known.
const MOST_ENDED: usize = 3;

#[tokio::test]
async fn ends_few() -> Result<(), Error> {
    let plan = Plan {
        services: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-calls", plan).await?;
    for _ in 0..4 {
        fleet.call_service("entry-0", "rates", DEADLY_BODY, &[]).await?;
    }
    let names: Vec<String> = (0..SERVICES).map(|index| format!("service-{index}")).collect();
    let ended = names.iter().filter(|name| fleet.has_ended(name)).count();
    assert!(ended <= MOST_ENDED, "{ended} of {SERVICES} ended");
    Ok(())
}

/// What one entry saw holds at the other one, and at one that has just started.
#[tokio::test]
async fn held_anywhere() -> Result<(), Error> {
    let plan = Plan {
        services: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-anywhere", plan).await?;
    let names: Vec<String> = (0..SERVICES).map(|index| format!("service-{index}")).collect();
    for _ in 0..2 {
        fleet.call_service("entry-0", "rates", DEADLY_BODY, &[]).await?;
    }
    let ended = names.iter().filter(|name| fleet.has_ended(name)).count();
    // Each strike is in the log once its entry has heard so.
    eventually("entry-1 holds the call", || async {
        let reply = fleet.call_service("entry-1", "rates", DEADLY_BODY, &[]).await.ok()?;
        (reply.status == StatusCode::SERVICE_UNAVAILABLE && reply.text().contains("held back")).then_some(())
    })
    .await?;
    fleet.kill("entry-0");
    fleet.start_entry("entry-0")?;
    fleet.wait_until_entry_ready("entry-0").await?;
    let reply = fleet.call_service("entry-0", "rates", DEADLY_BODY, &[]).await?;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{}", reply.text());
    let other = fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    assert_eq!(other.status, StatusCode::OK, "{}", other.text());
    let later = names.iter().filter(|name| fleet.has_ended(name)).count();
    assert!(ended <= MOST_ENDED && later <= ended + 1, "{ended} ended, then {later}");
    Ok(())
}

/// A log that answers late tells the entries no later than they need it: a call that comes through both at once.
#[tokio::test]
async fn held_late() -> Result<(), Error> {
    let plan = Plan {
        services: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-late", plan).await?;
    let late = Fault {
        delay_ms: 200,
        ..Fault::default()
    };
    fleet.fault("log", late).await?;
    for entry in ["entry-0", "entry-1", "entry-0", "entry-1"] {
        fleet.call_service(entry, "rates", DEADLY_BODY, &[]).await?;
    }
    let ended = (0..SERVICES)
        .filter(|index| fleet.has_ended(&format!("service-{index}")))
        .count();
    assert!(ended <= MOST_ENDED, "{ended} of {SERVICES} ended");
    Ok(())
}

/// A target that ends a moment after its connections do counts as ended as well.
#[tokio::test]
async fn ends_lingering() -> Result<(), Error> {
    let plan = Plan {
        services: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-lingering", plan).await?;
    for _ in 0..4 {
        fleet.call_service("entry-0", "rates", LINGERING_BODY, &[]).await?;
        // By then whatever is to end has ended.
        tokio::time::sleep(LINGER * 2).await;
    }
    let ended = (0..SERVICES)
        .filter(|index| fleet.has_ended(&format!("service-{index}")))
        .count();
    assert!(ended <= MOST_ENDED, "{ended} of {SERVICES} ended");
    Ok(())
}
