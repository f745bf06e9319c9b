//! Requests that may not be repeated, sent again under one key: one effect, one outcome, whatever happens.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

async fn ticket(fleet: &Fleet) -> Result<String, Error> {
    let reply = fleet
        .ask_entry("entry-0", Method::POST, "/v1/tickets/calculator")
        .await?;
    reply.member("ticket").ok_or_else(|| reply.text())
}

async fn send(fleet: &Fleet, entry: &str, body: &str, key: &str) -> Result<sparscale_fleet::Reply, Error> {
    fleet
        .call_service(entry, "illustration", body, &[("idempotency-key", key)])
        .await
}

async fn effects_of(fleet: &Fleet, body: &str) -> Result<usize, Error> {
    let mut count = 0;
    for index in 0..fleet.plan().services {
        count += fleet
            .effects(index)
            .await?
            .iter()
            .filter(|effect| *effect == body)
            .count();
    }
    Ok(count)
}

fn plan() -> Plan {
    Plan {
        services: 2,
        ..Plan::default()
    }
}

/// Twenty sendings at once, through both entries, under a plain key and under a ticket.
#[tokio::test]
async fn one_effect() -> Result<(), Error> {
    let fleet = Arc::new(Fleet::start("one-effect", plan()).await?);
    let ticket = ticket(&fleet).await?;
    for (key, body) in [("plain-key".to_owned(), "{\"a\":1}"), (ticket, "{\"b\":2}")] {
        let sendings: Vec<_> = (0..20)
            .map(|index| {
                let fleet = Arc::clone(&fleet);
                let key = key.clone();
                tokio::spawn(async move { send(&fleet, &format!("entry-{}", index % 2), body, &key).await })
            })
            .collect();
        let mut answers = Vec::new();
        for sending in sendings {
            let reply = sending.await.map_err(|error| error.to_string())??;
            assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
            answers.push(reply.text());
        }
        answers.dedup();
        assert_eq!(answers.len(), 1, "every sending gets the first outcome: {answers:?}");
        assert_eq!(effects_of(&fleet, body).await?, 1);
        let other = send(&fleet, "entry-1", "{\"c\":3}", &key).await?;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY, "{}", other.text());
        assert_eq!(effects_of(&fleet, "{\"c\":3}").await?, 0);
    }
    Ok(())
}

/// The log is down: a ticket works; a plain key is refused at once, and nothing runs.
#[tokio::test]
async fn log_down() -> Result<(), Error> {
    let fleet = Fleet::start("key-log-down", plan()).await?;
    let earlier = send(&fleet, "entry-0", "{\"early\":1}", "early-key").await?;
    assert_eq!(earlier.status, StatusCode::OK, "{}", earlier.text());
    let ticket = ticket(&fleet).await?;
    let refuse = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    fleet.fault("log", refuse).await?;
    let plain = send(&fleet, "entry-0", "{\"plain\":1}", "late-key").await?;
    assert_eq!(plain.status, StatusCode::SERVICE_UNAVAILABLE, "{}", plain.text());
    assert!(plain.headers.contains_key("retry-after"));
    assert_eq!(effects_of(&fleet, "{\"plain\":1}").await?, 0);
    let again = send(&fleet, "entry-0", "{\"early\":1}", "early-key").await?;
    assert_eq!(
        again.text(),
        earlier.text(),
        "a key that was bound before keeps its outcome"
    );
    let by_ticket = send(&fleet, "entry-1", "{\"ticket\":1}", &ticket).await?;
    assert_eq!(by_ticket.status, StatusCode::OK, "{}", by_ticket.text());
    fleet.fault("log", Fault::default()).await?;
    let later = send(&fleet, "entry-0", "{\"plain\":1}", "late-key").await?;
    assert_eq!(later.status, StatusCode::OK, "{}", later.text());
    assert_eq!(effects_of(&fleet, "{\"plain\":1}").await?, 1);
    Ok(())
}

/// The agent that a key is bound to dies: nobody can tell any more, and nothing runs again under that key.
#[tokio::test]
async fn agent_replaced() -> Result<(), Error> {
    let plan = Plan {
        services: 1,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("key-agent-replaced", plan).await?;
    let ticket = ticket(&fleet).await?;
    for (key, body) in [("plain", "{\"a\":1}"), (ticket.as_str(), "{\"b\":1}")] {
        let first = send(&fleet, "entry-0", body, key).await?;
        assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    }
    fleet.kill("calc-0");
    fleet.start_agent("calc-0")?;
    fleet.wait_until_ready().await?;
    for (key, body) in [("plain", "{\"a\":1}"), (ticket.as_str(), "{\"b\":1}")] {
        let again = send(&fleet, "entry-1", body, key).await?;
        assert_eq!(again.member("outcome").as_deref(), Some("unknown"), "{}", again.text());
        assert_eq!(effects_of(&fleet, body).await?, 1);
    }
    Ok(())
}

/// The target's answer is lost after the effect; every later sending says unknown, and none runs.
#[tokio::test]
async fn answer_lost() -> Result<(), Error> {
    let fleet = Fleet::start("key-answer-lost", plan()).await?;
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    for index in 0..2 {
        fleet.fault(&format!("service-{index}"), lose).await?;
    }
    for entry in ["entry-0", "entry-1", "entry-0"] {
        let reply = send(&fleet, entry, "{\"x\":1}", "some-key").await?;
        assert_eq!(reply.member("outcome").as_deref(), Some("unknown"), "{}", reply.text());
    }
    assert_eq!(effects_of(&fleet, "{\"x\":1}").await?, 1);
    Ok(())
}

/// The answer of the log is lost after the binding was appended: the request runs once all the same.
#[tokio::test]
async fn binding_answer_lost() -> Result<(), Error> {
    let fleet = Fleet::start("binding-answer-lost", plan()).await?;
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    fleet.fault("log", lose).await?;
    let sent = eventually("the request is answered", || async {
        let reply = send(&fleet, "entry-0", "{\"y\":1}", "lost-binding").await.ok()?;
        (reply.status == StatusCode::OK).then_some(reply)
    })
    .await?;
    let again = send(&fleet, "entry-1", "{\"y\":1}", "lost-binding").await?;
    assert_eq!(again.text(), sent.text());
    assert_eq!(effects_of(&fleet, "{\"y\":1}").await?, 1);
    Ok(())
}

/// A target that is down gets no new key: the first sending is served by one that is up.
#[tokio::test]
async fn bound_to_live() -> Result<(), Error> {
    let mut fleet = Fleet::start("key-bound-to-live", plan()).await?;
    fleet.kill("service-0");
    // Longer than an agent needs to see that its target is gone.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (entry, key) in [("entry-0", "first"), ("entry-1", "second")] {
        let reply = send(&fleet, entry, "{\"z\":1}", key).await?;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    Ok(())
}
