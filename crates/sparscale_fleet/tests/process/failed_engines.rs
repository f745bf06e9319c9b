//! An engine answers a model call with the status of a failure: the caller gets no success, whatever the body looks like.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

use crate::response_check::{expected_text, is_complete};

const RANKS: [&str; 2] = ["rank-0", "rank-1"];

/// A stream of tokens with an end marker, but with another status than that of a success.
const FAILED_STREAM: Fault = Fault {
    outage: Outage::None,
    delay_ms: 0,
    lose_answers: 0,
    rest_s: 0,
    stream_status: 500,
    rate_limit: 0,
};
/// A rejection with a JSON body.
const REFUSAL: Fault = Fault {
    outage: Outage::Refuse,
    stream_status: 0,
    ..FAILED_STREAM
};

/// Events of a stream from an engine that fails; none if the request was refused.
async fn stream_events(fleet: &Fleet) -> Result<Option<String>, Error> {
    let Ok(mut stream) = fleet.stream_chat("entry-0", "teal", "a story", 5).await else {
        return Ok(None);
    };
    Ok(Some(stream.read_remainder().await?))
}

#[tokio::test]
async fn no_success_from_failures() -> Result<(), Error> {
    let fleet = Fleet::start("failed-engines", Plan::default()).await?;
    for fault in [FAILED_STREAM, REFUSAL] {
        for rank in RANKS {
            fleet.set_fault(rank, fault).await?;
        }
        let events = stream_events(&fleet).await?;
        assert!(!events.as_deref().is_some_and(is_complete), "{fault:?}: {events:?}");
        let response = fleet.send_chat("entry-0", "teal", "a question", 5).await?;
        assert_ne!(response.status, StatusCode::OK, "{fault:?}: {}", response.text());
    }
    Ok(())
}

/// A rejection of the request itself is not repeated elsewhere.
#[tokio::test]
async fn rejection_not_repeated() -> Result<(), Error> {
    let fleet = Fleet::start("rejecting-engine", Plan::default()).await?;
    let rejection = Fault {
        stream_status: 422,
        ..FAILED_STREAM
    };
    for rank in RANKS {
        fleet.set_fault(rank, rejection).await?;
    }
    // The log is written late, so a line for each of two requests is awaited.
    for _ in 0..2 {
        let response = fleet.send_chat("entry-0", "teal", "a question", 5).await?;
        assert_ne!(response.status, StatusCode::OK, "{}", response.text());
    }
    let count_failures = || fleet.log_of("entry-0").matches("engine_failure").count();
    eventually("the log lines", || async { (count_failures() >= 2).then_some(()) }).await?;
    assert_eq!(count_failures(), 2);
    Ok(())
}

/// Another engine takes the request over, as the caller has received nothing.
#[tokio::test]
async fn other_engine_serves() -> Result<(), Error> {
    let fleet = Fleet::start("one-failed-engine", Plan::default()).await?;
    fleet.set_fault("rank-0", FAILED_STREAM).await?;
    for number in 0..4 {
        let prompt = format!("question {number}");
        let response = fleet.send_chat("entry-0", "teal", &prompt, 5).await?;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        assert!(response.text().contains(&expected_text(&prompt, 5)));
    }
    Ok(())
}
