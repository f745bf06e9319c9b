//! Calls that aren't repeatable, sent several times with one idempotency key: they take effect at most once, and all
//! sends report the same outcome.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

async fn issue_ticket(fleet: &Fleet) -> Result<String, Error> {
    let response = fleet
        .send_to_entry("entry-0", Method::POST, "/v1/tickets/calculator")
        .await?;
    response.member("ticket").ok_or_else(|| response.text())
}

async fn send_with_key(
    fleet: &Fleet,
    entry: &str,
    body: &str,
    key: &str,
) -> Result<sparscale_fleet::HttpResponse, Error> {
    fleet
        .call_service(entry, "illustration", body, &[("idempotency-key", key)])
        .await
}

async fn effects_of(fleet: &Fleet, body: &str) -> Result<usize, Error> {
    let mut count = 0;
    for index in 0..fleet.plan().service_count {
        count += fleet
            .effect_bodies(index)
            .await?
            .iter()
            .filter(|effect| *effect == body)
            .count();
    }
    Ok(count)
}

fn plan() -> Plan {
    Plan {
        service_count: 2,
        ..Plan::default()
    }
}

/// Twenty concurrent sends through both entries, with a key chosen by the caller and with a ticket.
#[tokio::test]
async fn one_effect() -> Result<(), Error> {
    let fleet = Arc::new(Fleet::start("one-effect", plan()).await?);
    let ticket = issue_ticket(&fleet).await?;
    for (key, body) in [("plain-key".to_owned(), "{\"a\":1}"), (ticket, "{\"b\":2}")] {
        let sends: Vec<_> = (0..20)
            .map(|index| {
                let fleet = Arc::clone(&fleet);
                let key = key.clone();
                tokio::spawn(async move { send_with_key(&fleet, &format!("entry-{}", index % 2), body, &key).await })
            })
            .collect();
        let mut responses = Vec::new();
        for send in sends {
            let response = send.await.map_err(|error| error.to_string())??;
            assert_eq!(response.status, StatusCode::OK, "{}", response.text());
            responses.push(response.text());
        }
        responses.dedup();
        assert_eq!(
            responses.len(),
            1,
            "every send must report the first outcome: {responses:?}"
        );
        assert_eq!(effects_of(&fleet, body).await?, 1);
        let other = send_with_key(&fleet, "entry-1", "{\"c\":3}", &key).await?;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY, "{}", other.text());
        assert_eq!(effects_of(&fleet, "{\"c\":3}").await?, 0);
    }
    Ok(())
}

/// The log is down: a call with a ticket runs; a call with a new plain key is rejected without an effect.
#[tokio::test]
async fn log_down() -> Result<(), Error> {
    let fleet = Fleet::start("key-log-down", plan()).await?;
    let earlier = send_with_key(&fleet, "entry-0", "{\"early\":1}", "early-key").await?;
    assert_eq!(earlier.status, StatusCode::OK, "{}", earlier.text());
    let ticket = issue_ticket(&fleet).await?;
    let refuse = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    fleet.set_fault("log", refuse).await?;
    let plain = send_with_key(&fleet, "entry-0", "{\"plain\":1}", "late-key").await?;
    assert_eq!(plain.status, StatusCode::SERVICE_UNAVAILABLE, "{}", plain.text());
    assert!(plain.headers.contains_key("retry-after"));
    assert_eq!(effects_of(&fleet, "{\"plain\":1}").await?, 0);
    let resent = send_with_key(&fleet, "entry-0", "{\"early\":1}", "early-key").await?;
    assert_eq!(
        resent.text(),
        earlier.text(),
        "a key that was bound before the outage must keep its outcome"
    );
    let by_ticket = send_with_key(&fleet, "entry-1", "{\"ticket\":1}", &ticket).await?;
    assert_eq!(by_ticket.status, StatusCode::OK, "{}", by_ticket.text());
    fleet.set_fault("log", Fault::default()).await?;
    let later = send_with_key(&fleet, "entry-0", "{\"plain\":1}", "late-key").await?;
    assert_eq!(later.status, StatusCode::OK, "{}", later.text());
    assert_eq!(effects_of(&fleet, "{\"plain\":1}").await?, 1);
    Ok(())
}

/// The agent that a key is bound to is replaced: the outcome is unknown from then on, and the call isn't run again.
#[tokio::test]
async fn agent_replaced() -> Result<(), Error> {
    let plan = Plan {
        service_count: 1,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("key-agent-replaced", plan).await?;
    let ticket = issue_ticket(&fleet).await?;
    for (key, body) in [("plain", "{\"a\":1}"), (ticket.as_str(), "{\"b\":1}")] {
        let first = send_with_key(&fleet, "entry-0", body, key).await?;
        assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    }
    fleet.kill("calc-0");
    fleet.start_agent("calc-0")?;
    fleet.wait_until_ready().await?;
    for (key, body) in [("plain", "{\"a\":1}"), (ticket.as_str(), "{\"b\":1}")] {
        let resent = send_with_key(&fleet, "entry-1", body, key).await?;
        assert_eq!(
            resent.member("outcome").as_deref(),
            Some("unknown"),
            "{}",
            resent.text()
        );
        assert_eq!(effects_of(&fleet, body).await?, 1);
    }
    Ok(())
}

/// The target's response is lost after the effect: every later send reports the outcome as unknown, and none runs.
#[tokio::test]
async fn target_response_lost() -> Result<(), Error> {
    let fleet = Fleet::start("key-answer-lost", plan()).await?;
    let lose_response = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    for index in 0..2 {
        fleet.set_fault(&format!("service-{index}"), lose_response).await?;
    }
    for entry in ["entry-0", "entry-1", "entry-0"] {
        let response = send_with_key(&fleet, entry, "{\"x\":1}", "some-key").await?;
        assert_eq!(
            response.member("outcome").as_deref(),
            Some("unknown"),
            "{}",
            response.text()
        );
    }
    assert_eq!(effects_of(&fleet, "{\"x\":1}").await?, 1);
    Ok(())
}

/// The log's response is lost after it has appended the binding of a key: the call still runs once.
#[tokio::test]
async fn binding_response_lost() -> Result<(), Error> {
    let fleet = Fleet::start("binding-answer-lost", plan()).await?;
    let lose_response = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    fleet.set_fault("log", lose_response).await?;
    let sent = eventually("the call succeeds", || async {
        let response = send_with_key(&fleet, "entry-0", "{\"y\":1}", "lost-binding")
            .await
            .ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await?;
    let resent = send_with_key(&fleet, "entry-1", "{\"y\":1}", "lost-binding").await?;
    assert_eq!(resent.text(), sent.text());
    assert_eq!(effects_of(&fleet, "{\"y\":1}").await?, 1);
    Ok(())
}

/// New keys aren't bound to a target that is down: the first send is served by one that is up.
#[tokio::test]
async fn bound_to_live() -> Result<(), Error> {
    let mut fleet = Fleet::start("key-bound-to-live", plan()).await?;
    fleet.kill("service-0");
    // Longer than an agent needs to detect that its target has terminated.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (entry, key) in [("entry-0", "first"), ("entry-1", "second")] {
        let response = send_with_key(&fleet, entry, "{\"z\":1}", key).await?;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    Ok(())
}
