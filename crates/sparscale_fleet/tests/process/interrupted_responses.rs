//! Processes are killed or frozen during requests: a caller receives the complete response or an explicit error.

use std::sync::Arc;

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

use crate::response_check::{expected_text, is_complete, streamed_text};

/// The agents of all ranks are killed after the first chunk of a stream.
#[tokio::test]
async fn agent_killed() -> Result<(), Error> {
    let mut fleet = Fleet::start("agent-killed", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "a long story", 4_000).await?;
    let first = stream.next().await.ok_or("the stream ended before its first chunk")??;
    for rank in ["rank-0", "rank-1"] {
        fleet.kill(rank);
    }
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.read_remainder().await?;
    assert!(!is_complete(&events), "an interrupted response must not look complete");
    assert!(
        events.contains("event: error") && events.contains("\"outcome\":\"failed\""),
        "{events}"
    );
    assert!(expected_text("a long story", 4_000).starts_with(&streamed_text(&events)));
    Ok(())
}

/// The agent is killed during a request without streaming: the caller has received no byte, so it is retried on another
/// rank.
#[tokio::test]
async fn retried_on_other_rank() -> Result<(), Error> {
    let mut fleet = Fleet::start("starts-elsewhere", Plan::default()).await?;
    let response = {
        let request = fleet.send_chat("entry-0", "teal", "retold", 1_500);
        tokio::pin!(request);
        // The nearest rank runs the request; its agent is killed once the request is in flight there.
        let started = eventually("the engine runs the request", || async {
            let response = fleet.query_standin("rank-0", "/v1/running").await.ok()?;
            response.text().contains('-').then_some(())
        });
        tokio::select! {
            started = started => started?,
            _ = &mut request => return Err("the request ended before the agent could be killed".to_owned()),
        }
        fleet.crash("rank-0")?;
        request.await?
    };
    fleet.kill("rank-0");
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    assert!(response.text().contains(&expected_text("retold", 1_500)));
    Ok(())
}

/// An agent is frozen for longer than a connection's timeout and then resumed: the stream goes on without loss or
/// duplicates.
#[tokio::test]
async fn agent_frozen() -> Result<(), Error> {
    let fleet = Fleet::start("agent-frozen", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "interrupted", 3_000).await?;
    let first = stream.next().await.ok_or("the stream ended before its first chunk")??;
    fleet.freeze("rank-0")?;
    eventually("the entry notices the lost connection", || async {
        fleet
            .log_of("entry-0")
            .contains("resuming a broken stream")
            .then_some(())
    })
    .await?;
    fleet.resume("rank-0")?;
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.read_remainder().await?;
    assert!(is_complete(&events), "{}", &events[events.len().saturating_sub(600)..]);
    assert_eq!(streamed_text(&events), expected_text("interrupted", 3_000));
    Ok(())
}

/// An entry is killed: the other one serves, and the engine cancels the request whose response can't be delivered.
#[tokio::test]
async fn entry_killed() -> Result<(), Error> {
    let mut fleet = Fleet::start("entry-killed", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "unheard", 1_000_000).await?;
    stream.next().await.ok_or("the stream ended before its first chunk")??;
    fleet.kill("entry-0");
    assert!(stream.read_remainder().await.is_err() || !is_complete(&stream.read_remainder().await.unwrap_or_default()));
    let other = fleet.send_chat("entry-1", "teal", "heard", 3).await?;
    assert!(other.text().contains(&expected_text("heard", 3)));
    eventually("the engine has cancelled the request", || async {
        let mut running = String::new();
        for rank in ["rank-0", "rank-1"] {
            running += &fleet.query_standin(rank, "/v1/running").await.ok()?.text();
        }
        (!running.contains('-')).then_some(())
    })
    .await
}

/// A caller disconnects: the entry cancels the request at once.
#[tokio::test]
async fn caller_disconnected() -> Result<(), Error> {
    let fleet = Fleet::start("caller-gone", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "forgotten", 1_000_000).await?;
    stream.next().await.ok_or("the stream ended before its first chunk")??;
    drop(stream);
    eventually("the engine has cancelled the request", || async {
        let response = fleet.query_standin("rank-0", "/v1/running").await.ok()?;
        (!response.text().contains('-')).then_some(())
    })
    .await?;
    let log = fleet.log_of("rank-0");
    assert!(
        !log.contains("nobody reads this answer"),
        "the entry must cancel at the agent, before the agent's own timeout"
    );
    Ok(())
}

/// The target's response is lost after the effect: a call that isn't repeatable runs once and its outcome is reported
/// as unknown; a repeatable one is retried.
#[tokio::test]
async fn target_response_lost() -> Result<(), Error> {
    let fleet = Fleet::start("answer-lost", Plan::default()).await?;
    let lose_response = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    fleet.set_fault("service-0", lose_response).await?;
    let response = fleet.call_service("entry-0", "illustration", "{\"n\":1}", &[]).await?;
    assert_eq!(
        response.member("outcome").as_deref(),
        Some("unknown"),
        "{}",
        response.text()
    );
    let id = response.member("request_id").ok_or("the response has no request id")?;
    let status = fleet
        .send_to_entry("entry-1", http::Method::GET, &format!("/v1/requests/{id}"))
        .await?;
    assert_eq!(status.member("outcome").as_deref(), Some("ended"), "{}", status.text());
    fleet.set_fault("service-0", lose_response).await?;
    let retried = fleet.call_service("entry-0", "rates", "{\"n\":2}", &[]).await?;
    assert_eq!(
        retried.status,
        StatusCode::OK,
        "a repeatable call must be retried: {}",
        retried.text()
    );
    let effects = fleet.effect_bodies(0).await?;
    assert_eq!(effects.iter().filter(|body| *body == "{\"n\":1}").count(), 1);
    assert_eq!(effects.iter().filter(|body| *body == "{\"n\":2}").count(), 2);
    Ok(())
}

/// The target is down: the call is rejected as not run, with a time to retry.
#[tokio::test]
async fn target_down() -> Result<(), Error> {
    let mut fleet = Fleet::start("target-down", Plan::default()).await?;
    fleet.kill("service-0");
    let response = fleet.call_service("entry-0", "illustration", "{}", &[]).await?;
    assert_eq!(
        response.member("outcome").as_deref(),
        Some("not_run"),
        "{}",
        response.text()
    );
    assert!(response.headers.contains_key("retry-after"));
    Ok(())
}

/// The agent is killed during a call that isn't repeatable: its outcome is unknown, and it isn't run again.
#[tokio::test]
async fn agent_killed_in_call() -> Result<(), Error> {
    let plan = Plan {
        service_work_ms: 600_000,
        ..Plan::default()
    };
    let mut fleet = Fleet::prepare("agent-killed-in-call", plan)?;
    fleet.start_platform().await?;
    fleet.roll_bundle(&fleet.document(1)).await?;
    fleet.start_all()?;
    eventually("entries discover their targets", || async {
        let ticket = fleet
            .send_to_entry("entry-0", http::Method::POST, "/v1/tickets/calculator")
            .await
            .ok()?;
        ticket.status.is_success().then_some(())
    })
    .await?;
    let response = {
        let call = fleet.call_service("entry-0", "illustration", "{\"n\":7}", &[]);
        tokio::pin!(call);
        let effect = eventually("the call takes effect", || async {
            (fleet.effect_bodies(0).await.ok()?.len() == 1).then_some(())
        });
        tokio::select! {
            effect = effect => effect?,
            _ = &mut call => return Err("the call ended before the agent could be killed".to_owned()),
        }
        fleet.crash("calc-0")?;
        call.await?
    };
    fleet.kill("calc-0");
    assert_eq!(
        response.member("outcome").as_deref(),
        Some("unknown"),
        "{}",
        response.text()
    );
    assert_eq!(fleet.effect_bodies(0).await?.len(), 1);
    Ok(())
}

/// Concurrent callers on both entries, with stalled and frozen processes: each receives its own complete response.
#[tokio::test]
async fn concurrent_responses_kept_apart() -> Result<(), Error> {
    let fleet = Arc::new(Fleet::start("answers-never-mix", Plan::default()).await?);
    let stall = Fault {
        outage: Outage::Stall,
        ..Fault::default()
    };
    let callers = (0..40).map(|index| {
        let fleet = Arc::clone(&fleet);
        tokio::spawn(async move {
            let entry = format!("entry-{}", index % 2);
            let workspace = if index % 3 == 0 { "umber" } else { "teal" };
            let prompt = format!("caller number {index}");
            let tokens = 20 + index;
            let mut stream = fleet.stream_chat(&entry, workspace, &prompt, tokens).await?;
            let events = stream.read_remainder().await?;
            let is_own = is_complete(&events) && streamed_text(&events) == expected_text(&prompt, tokens);
            if is_own {
                Ok(())
            } else {
                Err(format!("{prompt}: {events}"))
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    fleet.set_fault("rank-0", stall).await?;
    fleet.freeze("rank-1")?;
    fleet.resume("rank-1")?;
    fleet.set_fault("rank-0", Fault::default()).await?;
    for caller in callers {
        caller.await.map_err(|error| error.to_string())??;
    }
    Ok(())
}

/// A stream is interrupted before its first token: the caller has received no byte, so it is retried on another rank.
#[tokio::test]
async fn stream_retried_on_other_rank() -> Result<(), Error> {
    let fleet = Fleet::start("stream-starts-elsewhere", Plan::default()).await?;
    let forwarded_count = || fleet.log_of("rank-0").matches("\"handed on\"").count();
    let before = forwarded_count();
    // The engine accepts the request and sends headers, but no token, as the group is stalled.
    let frozen = |frozen: bool| serde_json::json!({ "frozen": frozen });
    fleet.configure_standin("rank-0", "/admin/rank", &frozen(true)).await?;
    let request = fleet.stream_chat("entry-0", "teal", "patience", 20);
    let crash = async {
        eventually("the agent forwards the request", || async {
            (forwarded_count() > before).then_some(())
        })
        .await?;
        fleet.crash("rank-0")?;
        fleet.configure_standin("rank-0", "/admin/rank", &frozen(false)).await
    };
    let (stream, crashed) = tokio::join!(request, crash);
    crashed?;
    let events = stream?.read_remainder().await?;
    assert!(is_complete(&events), "{events}");
    assert_eq!(streamed_text(&events), expected_text("patience", 20));
    Ok(())
}

/// The agent is killed during a call that isn't repeatable, and its replacement starts before the entry notices: the
/// new agent doesn't know the outcome of the call and must not report it as not run.
#[tokio::test]
async fn agent_replaced_in_call() -> Result<(), Error> {
    let plan = Plan {
        service_work_ms: 600_000,
        ..Plan::default()
    };
    let mut fleet = Fleet::prepare("agent-replaced-in-call", plan)?;
    fleet.start_platform().await?;
    fleet.roll_bundle(&fleet.document(1)).await?;
    fleet.start_all()?;
    eventually("entries discover their targets", || async {
        let ticket = fleet
            .send_to_entry("entry-0", http::Method::POST, "/v1/tickets/calculator")
            .await
            .ok()?;
        ticket.status.is_success().then_some(())
    })
    .await?;
    let client = fleet.client().clone();
    let url = format!("{}/v1/services/calculator/illustration", fleet.callers_url("entry-0"));
    let call = tokio::spawn(async move {
        let key = format!("Bearer {}", sparscale_fleet::caller_key("teal"));
        client
            .send(http::Method::POST, &url, &[("authorization", &key)], "{}")
            .await
    });
    eventually("the call takes effect", || async {
        (fleet.effect_bodies(0).await.ok()?.len() == 1).then_some(())
    })
    .await?;
    fleet.kill("calc-0");
    fleet.start_agent("calc-0")?;
    let response = call.await.map_err(|error| error.to_string())??;
    assert_eq!(
        response.member("outcome").as_deref(),
        Some("unknown"),
        "{}",
        response.text()
    );
    let id = response.member("request_id").ok_or("the response has no request id")?;
    let status = fleet
        .send_to_entry("entry-1", http::Method::GET, &format!("/v1/requests/{id}"))
        .await?;
    assert_eq!(
        status.member("outcome").as_deref(),
        Some("unknown"),
        "{}",
        status.text()
    );
    assert_eq!(fleet.effect_bodies(0).await?.len(), 1);
    Ok(())
}

/// All targets of the entry's own hall are terminated while their agents run on: calls go to the other hall, and are
/// rejected only until the entry has learned of the failures.
#[tokio::test]
async fn near_targets_down() -> Result<(), Error> {
    let services = 8;
    let plan = Plan {
        service_count: services,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("near-targets-down", plan).await?;
    for index in (0..services).filter(|index| Plan::hall(*index) == Plan::hall(0)) {
        fleet.kill(&format!("service-{index}"));
    }
    // A restarted entry has no observations of the targets yet.
    fleet.kill("entry-0");
    fleet.start_entry("entry-0")?;
    eventually("a call is served", || async {
        let response = fleet.call_service("entry-0", "rates", "{}", &[]).await.ok()?;
        (response.status == StatusCode::OK).then_some(())
    })
    .await?;
    for turn in 0..20 {
        let response = fleet.call_service("entry-0", "rates", "{}", &[]).await?;
        assert_eq!(response.status, StatusCode::OK, "call {turn}: {}", response.text());
    }
    Ok(())
}
