//! A call that ends each target which runs it is not run again and again on the product's own path.
//!
//! An entry knows a call by its attempts and forgets it with its answer, so each coming is the first: found by reading, after
//! the same had been seen on the users' platform. Two comings of one call that may be repeated end all six targets.

use sparscale_fleet::{Error, Fleet, Plan};
use sparscale_standin::DEADLY_BODY;

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
