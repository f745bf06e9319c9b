//! Kills and freezes in the middle of requests: whole answers, or errors that say so.

use std::sync::Arc;

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

use crate::answer_check::{says_whole, streamed_text, whole_answer};

/// Kills the agents of all ranks that a stream may run on, after its first piece.
#[tokio::test]
async fn agent_killed() -> Result<(), Error> {
    let mut fleet = Fleet::start("agent-killed", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "a long story", 4_000).await?;
    let first = stream.next().await.ok_or("the stream begins")??;
    for rank in ["rank-0", "rank-1"] {
        fleet.kill(rank);
    }
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.rest().await?;
    assert!(!says_whole(&events), "a cut answer must not look whole");
    assert!(
        events.contains("event: error") && events.contains("\"outcome\":\"failed\""),
        "{events}"
    );
    assert!(whole_answer("a long story", 4_000).starts_with(&streamed_text(&events)));
    Ok(())
}

/// A whole answer that is not streamed starts again on another rank: the caller has seen no byte.
#[tokio::test]
async fn starts_elsewhere() -> Result<(), Error> {
    let mut fleet = Fleet::start("starts-elsewhere", Plan::default()).await?;
    let answer = {
        let request = fleet.send_chat("entry-0", "teal", "retold", 1_500);
        tokio::pin!(request);
        // The nearest rank takes it; once it runs there, that rank's agent dies.
        let running = eventually("the request runs", || async {
            let reply = fleet.ask_standin("rank-0", "/v1/running").await.ok()?;
            reply.text().contains('-').then_some(())
        });
        tokio::select! {
            running = running => running?,
            _ = &mut request => return Err("the request ended before it could be cut".to_owned()),
        }
        fleet.crash("rank-0")?;
        request.await?
    };
    fleet.kill("rank-0");
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    assert!(answer.text().contains(&whole_answer("retold", 1_500)));
    Ok(())
}

/// An agent that is stopped for longer than a connection lasts, and wakes: the stream is resumed, not cut or doubled.
#[tokio::test]
async fn agent_frozen() -> Result<(), Error> {
    let fleet = Fleet::start("agent-frozen", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "interrupted", 3_000).await?;
    let first = stream.next().await.ok_or("the stream begins")??;
    fleet.freeze("rank-0")?;
    eventually("the entry notices", || async {
        fleet
            .log_of("entry-0")
            .contains("resuming a broken stream")
            .then_some(())
    })
    .await?;
    fleet.wake("rank-0")?;
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.rest().await?;
    assert!(says_whole(&events), "{}", &events[events.len().saturating_sub(600)..]);
    assert_eq!(streamed_text(&events), whole_answer("interrupted", 3_000));
    Ok(())
}

/// The entry dies; the other one serves, and what nobody reads is cancelled at the engine.
#[tokio::test]
async fn entry_killed() -> Result<(), Error> {
    let mut fleet = Fleet::start("entry-killed", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "unheard", 1_000_000).await?;
    stream.next().await.ok_or("the stream begins")??;
    fleet.kill("entry-0");
    assert!(stream.rest().await.is_err() || !says_whole(&stream.rest().await.unwrap_or_default()));
    let other = fleet.send_chat("entry-1", "teal", "heard", 3).await?;
    assert!(other.text().contains(&whole_answer("heard", 3)));
    eventually("the engine is rid of the request", || async {
        let mut left = String::new();
        for rank in ["rank-0", "rank-1"] {
            left += &fleet.ask_standin(rank, "/v1/running").await.ok()?.text();
        }
        (!left.contains('-')).then_some(())
    })
    .await
}

/// A caller that goes away cancels its work.
#[tokio::test]
async fn caller_gone() -> Result<(), Error> {
    let fleet = Fleet::start("caller-gone", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "forgotten", 1_000_000).await?;
    stream.next().await.ok_or("the stream begins")??;
    drop(stream);
    eventually("the engine is rid of the request", || async {
        let reply = fleet.ask_standin("rank-0", "/v1/running").await.ok()?;
        (!reply.text().contains('-')).then_some(())
    })
    .await?;
    let log = fleet.log_of("rank-0");
    assert!(
        !log.contains("nobody reads this answer"),
        "the entry tells the agent; it need not find out"
    );
    Ok(())
}

/// The target's answer is lost after the effect: a call that may not be repeated ran once, and that is not hidden.
#[tokio::test]
async fn answer_lost() -> Result<(), Error> {
    let fleet = Fleet::start("answer-lost", Plan::default()).await?;
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    fleet.fault("service-0", lose).await?;
    let reply = fleet.call_service("entry-0", "illustration", "{\"n\":1}", &[]).await?;
    assert_eq!(reply.member("outcome").as_deref(), Some("unknown"), "{}", reply.text());
    let id = reply.member("request_id").ok_or("an id to ask about")?;
    let asked = fleet
        .ask_entry("entry-1", http::Method::GET, &format!("/v1/requests/{id}"))
        .await?;
    assert_eq!(asked.member("outcome").as_deref(), Some("ended"), "{}", asked.text());
    fleet.fault("service-0", lose).await?;
    let repeated = fleet.call_service("entry-0", "rates", "{\"n\":2}", &[]).await?;
    assert_eq!(
        repeated.status,
        StatusCode::OK,
        "a call that may be repeated is: {}",
        repeated.text()
    );
    let effects = fleet.effects(0).await?;
    assert_eq!(effects.iter().filter(|body| *body == "{\"n\":1}").count(), 1);
    assert_eq!(effects.iter().filter(|body| *body == "{\"n\":2}").count(), 2);
    Ok(())
}

/// The target is down: refused as not run, with a time to come back, and truly not run.
#[tokio::test]
async fn target_down() -> Result<(), Error> {
    let mut fleet = Fleet::start("target-down", Plan::default()).await?;
    fleet.kill("service-0");
    let reply = fleet.call_service("entry-0", "illustration", "{}", &[]).await?;
    assert_eq!(reply.member("outcome").as_deref(), Some("not_run"), "{}", reply.text());
    assert!(reply.headers.contains_key("retry-after"));
    Ok(())
}

/// The agent dies while a call that may not be repeated runs: unknown at once, and never run again.
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
    eventually("entries know their targets", || async {
        let ticket = fleet
            .ask_entry("entry-0", http::Method::POST, "/v1/tickets/calculator")
            .await
            .ok()?;
        ticket.status.is_success().then_some(())
    })
    .await?;
    let reply = {
        let call = fleet.call_service("entry-0", "illustration", "{\"n\":7}", &[]);
        tokio::pin!(call);
        let ran = eventually("the effect is there", || async {
            (fleet.effects(0).await.ok()?.len() == 1).then_some(())
        });
        tokio::select! {
            ran = ran => ran?,
            _ = &mut call => return Err("the call ended before it could be cut".to_owned()),
        }
        fleet.crash("calc-0")?;
        call.await?
    };
    fleet.kill("calc-0");
    assert_eq!(reply.member("outcome").as_deref(), Some("unknown"), "{}", reply.text());
    assert_eq!(fleet.effects(0).await?.len(), 1);
    Ok(())
}

/// Many callers at once, on both entries, with stalls in between: everyone gets their own whole answer.
#[tokio::test]
async fn answers_never_mix() -> Result<(), Error> {
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
            let events = stream.rest().await?;
            let own = says_whole(&events) && streamed_text(&events) == whole_answer(&prompt, tokens);
            if own {
                Ok(())
            } else {
                Err(format!("{prompt}: {events}"))
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    fleet.fault("rank-0", stall).await?;
    fleet.freeze("rank-1")?;
    fleet.wake("rank-1")?;
    fleet.fault("rank-0", Fault::default()).await?;
    for caller in callers {
        caller.await.map_err(|error| error.to_string())??;
    }
    Ok(())
}

/// A streamed answer that breaks before its first token starts again elsewhere: the caller has seen no byte.
#[tokio::test]
async fn stream_starts_elsewhere() -> Result<(), Error> {
    let fleet = Fleet::start("stream-starts-elsewhere", Plan::default()).await?;
    let handed_on = || fleet.log_of("rank-0").matches("\"handed on\"").count();
    let before = handed_on();
    // The engine takes the request and answers with headers, but the group stands still: no token comes.
    let frozen = |frozen: bool| serde_json::json!({ "frozen": frozen });
    fleet.change_standin("rank-0", "/admin/rank", &frozen(true)).await?;
    let request = fleet.stream_chat("entry-0", "teal", "patience", 20);
    let crash = async {
        eventually("the request is handed on", || async {
            (handed_on() > before).then_some(())
        })
        .await?;
        fleet.crash("rank-0")?;
        fleet.change_standin("rank-0", "/admin/rank", &frozen(false)).await
    };
    let (stream, crashed) = tokio::join!(request, crash);
    crashed?;
    let events = stream?.rest().await?;
    assert!(says_whole(&events), "{events}");
    assert_eq!(streamed_text(&events), whole_answer("patience", 20));
    Ok(())
}

/// The agent dies while a call that may not be repeated runs, and a new one takes its place before the entry notices:
/// the new one cannot tell what became of the call, and must not say that it did not run.
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
    eventually("entries know their targets", || async {
        let ticket = fleet
            .ask_entry("entry-0", http::Method::POST, "/v1/tickets/calculator")
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
    eventually("the effect is there", || async {
        (fleet.effects(0).await.ok()?.len() == 1).then_some(())
    })
    .await?;
    fleet.kill("calc-0");
    fleet.start_agent("calc-0")?;
    let reply = call.await.map_err(|error| error.to_string())??;
    assert_eq!(reply.member("outcome").as_deref(), Some("unknown"), "{}", reply.text());
    let id = reply.member("request_id").ok_or("an id to ask about")?;
    let asked = fleet
        .ask_entry("entry-1", http::Method::GET, &format!("/v1/requests/{id}"))
        .await?;
    assert_eq!(asked.member("outcome").as_deref(), Some("unknown"), "{}", asked.text());
    assert_eq!(fleet.effects(0).await?.len(), 1);
    Ok(())
}

/// All near targets are gone, their agents live: calls go to those further away, and none is turned away for longer than
/// an entry needs to hear so.
#[tokio::test]
async fn near_targets_down() -> Result<(), Error> {
    let services = 8;
    let plan = Plan {
        services,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("near-targets-down", plan).await?;
    for index in (0..services).filter(|index| Plan::hall(*index) == Plan::hall(0)) {
        fleet.kill(&format!("service-{index}"));
    }
    // An entry that knows nothing yet, as one that has just started.
    fleet.kill("entry-0");
    fleet.start_entry("entry-0")?;
    eventually("a call is served", || async {
        let reply = fleet.call_service("entry-0", "rates", "{}", &[]).await.ok()?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await?;
    for turn in 0..20 {
        let reply = fleet.call_service("entry-0", "rates", "{}", &[]).await?;
        assert_eq!(reply.status, StatusCode::OK, "call {turn}: {}", reply.text());
    }
    Ok(())
}
