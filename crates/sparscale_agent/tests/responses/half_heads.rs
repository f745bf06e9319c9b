//! A target stops in the middle of the head of a response, or before a body of known length is whole, and closes the
//! connection. Nothing of that is a response, whichever of the connection it is.

use sparscale_agent::{CallError, Engine as _, HttpEngine, Kind};
use sparscale_wire::Attempt;

use crate::service::{self, Connection, model_call, service_call};

/// Start of a response.
const STARTS: [&str; 14] = [
    "",
    "HTT",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\ncontent-len",
    "HTTP/1.1 200 OK\r\ncontent-length: 1",
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 100\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\ncontent-length: 100\n\nhalf",
];
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// A client of a target that sends `earlier` whole responses, and then `start` only.
fn client(kind: Kind, start: &'static str, earlier: usize) -> HttpEngine {
    let url = service::start(move |connection: &mut Connection| {
        if connection.request_number <= earlier {
            connection.send(WHOLE.as_bytes());
            return;
        }
        connection.send(start.as_bytes());
        connection.close();
    });
    HttpEngine::new(&url, kind)
}

/// Sends a call and reads its response until its end.
async fn fetch(engine: &HttpEngine, attempt: &Attempt) -> Result<Vec<u8>, CallError> {
    let mut response = engine.call(attempt).await?;
    let mut body = Vec::new();
    while let Some(chunk) = response.chunks.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body)
}

async fn assert_lost(kind: Kind, attempt: &Attempt) {
    for start in STARTS {
        for earlier in [0, 1] {
            let engine = client(kind, start, earlier);
            if earlier > 0 {
                assert_eq!(fetch(&engine, attempt).await.expect("it is whole"), b"{}");
            }
            let response = fetch(&engine, attempt).await;
            assert!(
                matches!(response, Err(CallError::Lost { .. })),
                "{start:?} after {earlier}: {response:?}"
            );
        }
    }
}

#[tokio::test]
async fn service_response() {
    assert_lost(Kind::Service, &service_call()).await;
}

#[tokio::test]
async fn model_response() {
    assert_lost(Kind::Model, &model_call()).await;
}

/// The calls that the agent makes itself. The status alone says whether a request was cancelled.
#[tokio::test]
async fn own_calls() {
    for start in STARTS {
        let engine = client(Kind::Model, start, 0);
        assert!(engine.load().await.is_err(), "{start:?}");
        assert!(engine.running_requests().await.is_err(), "{start:?}");
        let has_head = start.contains("\r\n\r\n") && !start.starts_with("HTTP/1.1 100") || start.contains("\n\n");
        assert_eq!(engine.cancel("r-1").await.is_ok(), has_head, "{start:?}");
    }
}
