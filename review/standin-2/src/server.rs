//! A stand-in of a server, in a process of its own.
//!
//! `server ADDRESS ID PLAN`; PLAN says what it does with requests whose path begins with `/r/big/` or `/r/stream/`.

use std::io::Write as _;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::net::{Message, Reader, reset, respond, set_send_buffer};

/// Bytes of a large answer.
pub const BIG_BYTES: usize = 3 << 20;
/// Bytes that the kernel takes ahead from a server.
const SEND_BUFFER_BYTES: i32 = 512 << 10;
/// Events of a stream, and the time between two.
pub const EVENTS: u64 = 24;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Time that a server works before a large answer.
const WORK_TIME: Duration = Duration::from_millis(60);

/// Byte `index` of a large answer.
pub fn big_byte(index: usize) -> u8 {
    b'a' + (index / 1000 % 26) as u8
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

struct Server {
    id: String,
    /// Most channels; any more are reset.
    max_channels: usize,
    channels: AtomicUsize,
    /// Requests that it is at work on.
    running: AtomicUsize,
    /// Whether it ends once its last stream has ended; a file that the case makes says so.
    end_file: String,
    /// Body of a large answer.
    big_body: Vec<u8>,
}

pub fn run(arguments: &[String]) {
    let listener = TcpListener::bind(&arguments[0]).expect("address of the server");
    let server = Arc::new(Server {
        id: arguments[1].clone(),
        max_channels: arguments[2].parse().unwrap(),
        channels: AtomicUsize::new(0),
        running: AtomicUsize::new(0),
        end_file: arguments.get(3).cloned().unwrap_or_default(),
        big_body: (0..BIG_BYTES).map(big_byte).collect(),
    });
    say("listening");
    if !server.end_file.is_empty() {
        let server = Arc::clone(&server);
        // Ends when it was told to and has no requests.
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            server.end_if_due();
        });
    }
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        if server.channels.fetch_add(1, Ordering::SeqCst) >= server.max_channels {
            server.channels.fetch_sub(1, Ordering::SeqCst);
            reset(stream);
            continue;
        }
        std::thread::spawn(move || {
            server.serve(stream);
            server.channels.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _written = out.write_all(format!("{line}\n").as_bytes());
    let _flushed = out.flush();
}

impl Server {
    fn end_if_due(&self) {
        if !self.end_file.is_empty()
            && self.running.load(Ordering::SeqCst) == 0
            && std::path::Path::new(&self.end_file).exists()
        {
            say("ends, as it has no requests any more");
            std::process::exit(0);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            self.running.fetch_add(1, Ordering::SeqCst);
            let keeps = self.answer(&mut reader, &request);
            if keeps {
                self.running.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            // The answer ends with its channel, which is closed in an orderly way.
            let _closed = reader.stream.shutdown(Shutdown::Write);
            drop(reader);
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.end_if_due();
            return;
        }
    }

    /// Answers a request; returns whether the channel is kept.
    fn answer(&self, reader: &mut Reader, request: &Message) -> bool {
        let id = request.header("x-request-id").unwrap_or_default();
        let expected = request.header("x-expect-instance");
        let headers = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
        if expected.is_some_and(|expected| expected != self.id) {
            return respond(&mut reader.stream, 421, &format!("{headers}X-Not-Executed: 1\r\n"), b"").is_ok();
        }
        say(&format!("runs {id}"));
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let headers = format!("{headers}X-Response-Seal: s-{id}\r\n");
        let result = if path.starts_with("/r/big/") {
            self.send_big(&mut reader.stream, &headers)
        } else if path.starts_with("/r/stream/") {
            self.send_stream(&mut reader.stream, &headers)
        } else {
            return respond(&mut reader.stream, 200, &headers, b"ok").is_ok();
        };
        match result {
            Ok(()) => say(&format!("has answered {id} in full, closes its channel")),
            Err(error) => say(&format!("could not answer {id} in full: {error}")),
        }
        false
    }

    /// A large answer without a length.
    fn send_big(&self, stream: &mut TcpStream, headers: &str) -> std::io::Result<()> {
        std::thread::sleep(WORK_TIME);
        set_send_buffer(stream, SEND_BUFFER_BYTES);
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &self.big_body].concat())
    }

    /// A stream without a length.
    fn send_stream(&self, stream: &mut TcpStream, headers: &str) -> std::io::Result<()> {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for id in 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            stream.write_all(event(id).as_bytes())?;
        }
        Ok(())
    }
}
