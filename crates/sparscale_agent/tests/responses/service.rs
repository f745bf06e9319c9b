//! A target whose responses the test writes byte by byte.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use sparscale_agent::{HttpEngine, Kind};
use sparscale_wire::{Attempt, AttemptId, Call};

/// Time in which the client closes a connection that it doesn't use any more.
const CLOSED_WITHIN: Duration = Duration::from_secs(2);

/// The target's side of one connection.
pub struct Connection {
    /// Number of the request on this connection, starting at 1.
    pub request_number: usize,
    stream: TcpStream,
    is_closed: bool,
}

impl Connection {
    /// Sends bytes; returns whether the client still takes them.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.is_closed |= self.stream.write_all(bytes).is_err();
        !self.is_closed
    }

    /// Sends `bytes` again and again, until the client closes the connection.
    pub fn send_endlessly(&mut self, bytes: &[u8]) {
        while self.send(bytes) {}
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        let _closed = self.stream.shutdown(Shutdown::Both);
        self.is_closed = true;
    }

    /// Waits until the client has closed the connection; returns whether it did so in time.
    pub fn wait_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(CLOSED_WITHIN)).expect("a timeout");
        let read = self.stream.read(&mut [0; 64]);
        let is_closed = match &read {
            Ok(count) => *count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        self.close();
        is_closed
    }
}

/// Whether the client closed each connection whose script has ended, in order.
pub type Closings = Arc<Mutex<Vec<bool>>>;

/// Starts a target that runs `script` for each request; returns its URL.
pub fn start(script: impl Fn(&mut Connection) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let script = Arc::new(script);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            std::thread::spawn(move || serve(stream, &*script));
        }
    });
    format!("http://{address}")
}

fn serve(stream: TcpStream, script: &dyn Fn(&mut Connection)) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut connection = Connection {
        request_number: 0,
        stream,
        is_closed: false,
    };
    while !connection.is_closed && read_request(&mut reader).is_some() {
        connection.request_number += 1;
        script(&mut connection);
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<()> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()
}

/// A client of a target that runs `script` for each request, and what it did with the connections.
pub fn client(kind: Kind, script: impl Fn(&mut Connection) + Send + Sync + 'static) -> (HttpEngine, Closings) {
    let closings = Closings::default();
    let recorded = Arc::clone(&closings);
    let url = start(move |connection| {
        script(connection);
        let is_closed = connection.wait_closed();
        recorded.lock().expect("no panic").push(is_closed);
    });
    (HttpEngine::new(&url, kind), closings)
}

/// Checks that the client closed the first connection in time.
pub async fn assert_closed(closings: &Closings) {
    let started_at = Instant::now();
    while closings.lock().expect("no panic").is_empty() {
        assert!(started_at.elapsed() < 2 * CLOSED_WITHIN, "the target still sends");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert!(closings.lock().expect("no panic")[0], "the connection stayed open");
}

fn attempt(call: Call) -> Attempt {
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
        call,
    }
}

/// A call of a plain service.
pub fn service_call() -> Attempt {
    attempt(Call::Service {
        name: "rates".to_owned(),
        content_type: "application/json".to_owned(),
        body: Bytes::from_static(b"{}"),
    })
}

/// A call of a model.
pub fn model_call() -> Attempt {
    attempt(Call::Model {
        body: Bytes::from_static(b"{}"),
    })
}
