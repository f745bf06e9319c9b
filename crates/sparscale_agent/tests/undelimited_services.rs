//! A response of a service without a length ends with its connection. It is complete if the service still runs, and
//! lost if its process ended, also if another one listens at its address at once.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use sparscale_agent::{CallError, Engine as _, HttpEngine, Kind};
use sparscale_wire::{Attempt, AttemptId, Call};

/// What a service does after half of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    SendRest,
    /// Its process ends and closes all of its connections in an orderly way; another one accepts connections at once.
    Restart,
}

/// Starts a service; returns its URL.
fn start_service(ending: Ending) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = stream.try_clone().expect("a second handle");
            connections.lock().expect("no panic").push(handle);
            let connections = Arc::clone(&connections);
            std::thread::spawn(move || serve(stream, ending, &connections));
        }
    });
    format!("http://{address}")
}

fn serve(mut stream: TcpStream, ending: Ending, connections: &Mutex<Vec<TcpStream>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        if line.ends_with("\r\n\r\n") {
            break;
        }
    }
    if line.is_empty() {
        return;
    }
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n";
    let _closed = stream.write_all(format!("{head}first half").as_bytes());
    std::thread::sleep(Duration::from_millis(50));
    match ending {
        Ending::SendRest => {
            let _closed = stream.write_all(b", second half");
            let _closed = stream.shutdown(Shutdown::Both);
        }
        Ending::Restart => {
            for connection in connections.lock().expect("no panic").drain(..) {
                let _closed = connection.shutdown(Shutdown::Both);
            }
        }
    }
}

fn attempt() -> Attempt {
    Attempt {
        id: AttemptId {
            entry_incarnation: 1,
            counter: 1,
        },
        agent_incarnation: 0,
        workspace: "teal".to_owned(),
        tier: 0,
        weight: 1,
        remaining_ms: 5_000,
        retryable: false,
        key: None,
        retention_secs: 0,
        prompt_tokens: 0,
        response_tokens: 0,
        call: Call::Service {
            name: "rates".to_owned(),
            content_type: "application/json".to_owned(),
            body: Bytes::from_static(b"{}"),
        },
    }
}

/// Sends a call and returns its result.
async fn call(ending: Ending) -> Option<Result<Bytes, CallError>> {
    let engine = HttpEngine::new(&start_service(ending), Kind::Service);
    assert!(engine.is_listening().await);
    let mut response = engine.call(&attempt()).await.expect("a response");
    response.chunks.next().await
}

#[tokio::test]
async fn complete_if_running() {
    let body = call(Ending::SendRest).await.expect("a body");
    assert_eq!(body.expect("it is whole"), "first half, second half");
}

/// Guards against half of a response that is taken for a whole one.
#[tokio::test]
async fn lost_if_restarted() {
    let body = call(Ending::Restart).await.expect("a result");
    assert!(matches!(body, Err(CallError::Lost { .. })), "{body:?}");
}
