//! A stand-in of a server, in a process of its own.
//!
//! `server ADDRESS ID [NAME=VALUE]...`: `channels`, most channels; `slots`, requests that it works on at once; `idle`,
//! milliseconds after which it closes a channel without a request; `end`, a file at whose appearance it ends once it has no
//! requests. Paths that begin with `/r/big/`, `/r/stream/` and `/r/long/` get large answers and streams, all without a length.

use std::io::Write as _;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::net::{Message, Reader, reset, respond, set_send_buffer};

/// Bytes of a large answer.
pub const BIG_BYTES: usize = 3 << 20;
/// Bytes that the kernel takes ahead from a server.
const SEND_BUFFER_BYTES: i32 = 512 << 10;
/// Bytes of a large answer with a length.
pub const LARGE_BYTES: usize = 400_000;
/// Events of a stream, and the time between two.
pub const EVENTS: u64 = 24;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// The same of a long stream.
pub const LONG_EVENTS: u64 = 40;
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(130);
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
    /// Requests that it has.
    requests: AtomicUsize,
    /// Requests that it is at work on, and the number of slots.
    slots: usize,
    busy_slots: Mutex<usize>,
    slot_is_free: Condvar,
    /// Time after which it closes a channel without a request.
    idle_time: Duration,
    end_file: String,
    /// Body of a large answer.
    big_body: Vec<u8>,
}

pub fn run(arguments: &[String]) {
    let option = |name: &str| {
        let mut options = arguments[2..].iter().filter_map(|text| text.split_once('='));
        options
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value.to_owned())
    };
    let number = |name: &str, usual: usize| option(name).map_or(usual, |text| text.parse().unwrap());
    let listener = TcpListener::bind(&arguments[0]).expect("address of the server");
    let server = Arc::new(Server {
        id: arguments[1].clone(),
        max_channels: number("channels", 380),
        channels: AtomicUsize::new(0),
        requests: AtomicUsize::new(0),
        slots: number("slots", usize::MAX),
        busy_slots: Mutex::new(0),
        slot_is_free: Condvar::new(),
        idle_time: Duration::from_millis(number("idle", 60_000) as u64),
        end_file: option("end").unwrap_or_default(),
        big_body: (0..BIG_BYTES).map(big_byte).collect(),
    });
    say("listening");
    if !server.end_file.is_empty() {
        let server = Arc::clone(&server);
        // Ends when it was told to and has no requests.
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                server.end_if_due();
            }
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

/// A slot, free again when it is dropped.
struct Slot<'a>(&'a Server);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *self.0.busy_slots.lock().unwrap() -= 1;
        self.0.slot_is_free.notify_one();
    }
}

impl Server {
    fn end_if_due(&self) {
        if !self.end_file.is_empty()
            && self.requests.load(Ordering::SeqCst) == 0
            && std::path::Path::new(&self.end_file).exists()
        {
            say("ends, as it has no requests any more");
            std::process::exit(0);
        }
    }

    /// Waits for a slot.
    fn take_slot(&self) -> Slot<'_> {
        let mut busy = self.busy_slots.lock().unwrap();
        while *busy >= self.slots {
            busy = self.slot_is_free.wait(busy).unwrap();
        }
        *busy += 1;
        Slot(self)
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let _idle_time = stream.set_read_timeout(Some(self.idle_time));
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            self.requests.fetch_add(1, Ordering::SeqCst);
            let keeps = self.answer(&mut reader, &request);
            if keeps {
                self.requests.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            // The answer ends with its channel, which is closed in an orderly way.
            let _closed = reader.stream.shutdown(Shutdown::Write);
            drop(reader);
            self.requests.fetch_sub(1, Ordering::SeqCst);
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
        let _slot = self.take_slot();
        say(&format!("runs {id}"));
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let headers = format!("{headers}X-Response-Seal: s-{id}\r\n");
        let result = if path.starts_with("/r/big/") {
            self.send_big(&mut reader.stream, &headers)
        } else if path.starts_with("/r/stream/") {
            send_stream(&mut reader.stream, &headers, EVENTS, EVENT_INTERVAL)
        } else if path.starts_with("/r/long/") {
            send_stream(&mut reader.stream, &headers, LONG_EVENTS, LONG_EVENT_INTERVAL)
        } else if path.starts_with("/r/large/") {
            return respond(&mut reader.stream, 200, &headers, &self.big_body[..LARGE_BYTES]).is_ok();
        } else {
            let headers = format!("{headers}Keep-Alive: timeout={}\r\n", self.idle_time.as_secs());
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
}

/// A stream without a length. Its head comes with its first event.
fn send_stream(stream: &mut TcpStream, headers: &str, events: u64, interval: Duration) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    for id in 1..=events {
        std::thread::sleep(interval);
        let text = if id == 1 {
            format!("{head}{}", event(id))
        } else {
            event(id)
        };
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}
