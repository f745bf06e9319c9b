//! A call that crashes every target it runs on must not take down the whole service.
//!
//! An entry forgets the attempts of a call once it has responded. If it kept no other record, every retry by the caller
//! would count as a new call, and two requests of one repeatable call would crash all six targets.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{CRASH_BODY, CRASH_DELAY, CRASH_MESSAGE, DELAYED_CRASH_BODY, Fault};

const SERVICES: usize = 6;
/// Targets that a call may crash before it is quarantined.
const MAX_CRASHED_TARGETS: usize = 3;

#[tokio::test]
async fn crashes_few_targets() -> Result<(), Error> {
    let plan = Plan {
        service_count: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-calls", plan).await?;
    for _ in 0..4 {
        fleet.call_service("entry-0", "rates", CRASH_BODY, &[]).await?;
    }
    let names: Vec<String> = (0..SERVICES).map(|index| format!("service-{index}")).collect();
    let crashed = names.iter().filter(|name| fleet.has_exited(name)).count();
    assert!(
        crashed <= MAX_CRASHED_TARGETS,
        "{crashed} of {SERVICES} targets crashed"
    );
    Ok(())
}

/// A quarantine that follows from one entry's attempts applies at the other entry and at one that has just started.
#[tokio::test]
async fn quarantined_on_all_entries() -> Result<(), Error> {
    let plan = Plan {
        service_count: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-anywhere", plan).await?;
    let names: Vec<String> = (0..SERVICES).map(|index| format!("service-{index}")).collect();
    for _ in 0..2 {
        fleet.call_service("entry-0", "rates", CRASH_BODY, &[]).await?;
    }
    let crashed = names.iter().filter(|name| fleet.has_exited(name)).count();
    // Entries learn of each other's strikes through the log, so it takes a while until all are known.
    eventually("entry-1 rejects the quarantined call", || async {
        let response = fleet.call_service("entry-1", "rates", CRASH_BODY, &[]).await.ok()?;
        (response.status == StatusCode::SERVICE_UNAVAILABLE && response.text().contains("held back")).then_some(())
    })
    .await?;
    fleet.kill("entry-0");
    fleet.start_entry("entry-0")?;
    fleet.wait_until_entry_ready("entry-0").await?;
    let response = fleet.call_service("entry-0", "rates", CRASH_BODY, &[]).await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{}", response.text());
    let other = fleet.call_service("entry-0", "rates", "{\"n\":1}", &[]).await?;
    assert_eq!(other.status, StatusCode::OK, "{}", other.text());
    let crashed_later = names.iter().filter(|name| fleet.has_exited(name)).count();
    assert!(
        crashed <= MAX_CRASHED_TARGETS && crashed_later <= crashed + 1,
        "{crashed} targets crashed, then {crashed_later}"
    );
    Ok(())
}

/// A call arrives through both entries in turn while the log responds slowly: its quarantine must not come too late.
#[tokio::test]
async fn quarantined_with_slow_log() -> Result<(), Error> {
    let plan = Plan {
        service_count: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-late", plan).await?;
    let delay = Fault {
        delay_ms: 200,
        ..Fault::default()
    };
    fleet.set_fault("log", delay).await?;
    for entry in ["entry-0", "entry-1", "entry-0", "entry-1"] {
        fleet.call_service(entry, "rates", CRASH_BODY, &[]).await?;
    }
    let crashed = (0..SERVICES)
        .filter(|index| fleet.has_exited(&format!("service-{index}")))
        .count();
    assert!(
        crashed <= MAX_CRASHED_TARGETS,
        "{crashed} of {SERVICES} targets crashed"
    );
    Ok(())
}

/// A target that exits a moment after its connections have closed counts as crashed by the call, too.
#[tokio::test]
async fn delayed_exit_is_crash() -> Result<(), Error> {
    let plan = Plan {
        service_count: SERVICES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("crashing-lingering", plan).await?;
    for _ in 0..4 {
        fleet.call_service("entry-0", "rates", DELAYED_CRASH_BODY, &[]).await?;
        // By then a target that the call crashes has exited.
        tokio::time::sleep(CRASH_DELAY * 2).await;
    }
    let crashed = (0..SERVICES)
        .filter(|index| fleet.has_exited(&format!("service-{index}")))
        .count();
    assert!(
        crashed <= MAX_CRASHED_TARGETS,
        "{crashed} of {SERVICES} targets crashed"
    );
    Ok(())
}

/// Conversations that share a message crash the ranks, and differ in their last messages. The message is quarantined on
/// all entries, and conversations that share their other messages are served.
#[tokio::test]
async fn crashing_message_quarantined() -> Result<(), Error> {
    let mut fleet = Fleet::start("crashing-message", Plan::default()).await?;
    let sound = fleet.send_conversation("entry-0", &["instructions", "hello"]).await?;
    assert_eq!(sound.status, StatusCode::OK, "{}", sound.text());
    let mut crashes = 0;
    for number in 0..6 {
        let own_message = format!("question {number}");
        let entry = if number % 2 == 0 { "entry-0" } else { "entry-1" };
        let messages = ["instructions", CRASH_MESSAGE, &own_message];
        let response = fleet.send_conversation(entry, &messages).await?;
        if response.text().contains("held back") {
            continue;
        }
        crashes += 1;
        fleet.wait_for_exit("group").await?;
        fleet.start_group()?;
        fleet.wait_until_ready().await?;
    }
    assert!(crashes <= MAX_CRASHED_TARGETS, "the ranks crashed {crashes} times");
    for entry in ["entry-0", "entry-1"] {
        eventually("the entry serves conversations without the message", || async {
            let response = fleet
                .send_conversation(entry, &["instructions", "hello again"])
                .await
                .ok()?;
            (response.status == StatusCode::OK).then_some(())
        })
        .await?;
    }
    Ok(())
}
