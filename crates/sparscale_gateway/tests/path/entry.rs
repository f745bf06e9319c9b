//! Test fixture: an entry on loopback with a fake store, and a caller that writes its requests byte by byte.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use socket2::{Domain, Socket, Type};
use sparscale_belief::{Archive, Error, Source, Versioned};
use sparscale_catalog::{Catalog, Configuration, Document, Roster, Target as RosterTarget, TargetStatus};
use sparscale_clock::Clock;
use sparscale_gateway::{Allowance, Dependencies, Entry, Freshness, HeaderNames, Settings};
use sparscale_intake::{Intake, ProcessLimits};
use sparscale_quarantine::Strike;
use sparscale_samples as samples;
use sparscale_telemetry::Registry;
use tokio::runtime::Runtime;

use crate::target::Target;

/// Fake of the store that holds one value; none while the store is unavailable.
#[derive(Clone)]
pub struct FakeStore<T>(Arc<Mutex<Option<Stored<T>>>>);

/// A value with its position.
struct Stored<T> {
    value: Arc<T>,
    position: u64,
}

impl<T> FakeStore<T> {
    fn new(value: T, position: u64) -> Self {
        let store = Self(Arc::default());
        store.put(value, position);
        store
    }

    pub fn put(&self, value: T, position: u64) {
        let value = Arc::new(value);
        *self.0.lock().expect("no panic") = Some(Stored { value, position });
    }

    pub fn make_unavailable(&self) {
        *self.0.lock().expect("no panic") = None;
    }
}

#[async_trait]
impl<T: Send + Sync + 'static> Source<T> for FakeStore<T> {
    async fn read(&mut self) -> Result<Versioned<T>, Error> {
        let stored = self.0.lock().expect("no panic");
        let stored = stored.as_ref().ok_or_else(|| Error::Unavailable {
            message: "unavailable".to_owned(),
        })?;
        Ok(Versioned {
            value: Arc::clone(&stored.value),
            position: stored.position.into(),
        })
    }
}

/// Fake of the store for strikes, the records of requests that crash targets.
#[derive(Clone, Default)]
pub struct FakeStrikeStore(Arc<Mutex<Vec<Strike>>>);

impl FakeStrikeStore {
    pub fn is_empty(&self) -> bool {
        self.0.lock().expect("no panic").is_empty()
    }
}

#[async_trait]
impl Source<Vec<Strike>> for FakeStrikeStore {
    async fn read(&mut self) -> Result<Versioned<Vec<Strike>>, Error> {
        let strikes = self.0.lock().expect("no panic");
        Ok(Versioned {
            value: Arc::new(strikes.clone()),
            position: (strikes.len() as u64).into(),
        })
    }
}

#[async_trait]
impl Archive for FakeStrikeStore {
    async fn keep(&mut self, strikes: &[Strike]) -> Result<(), Error> {
        self.0.lock().expect("no panic").extend_from_slice(strikes);
        Ok(())
    }

    async fn forget(&mut self, strikes: &[Strike]) -> Result<(), Error> {
        let mut stored = self.0.lock().expect("no panic");
        stored.retain(|known| !strikes.contains(known));
        Ok(())
    }
}

/// An entry with its fake store, its clock, and the runtime that it runs on.
pub struct Fixture {
    pub entry: Arc<Entry>,
    pub catalogs: FakeStore<Configuration>,
    pub rosters: FakeStore<Roster>,
    pub strikes: FakeStrikeStore,
    pub clock: Arc<samples::SuspendableClock>,
    pub registry: Arc<Registry>,
    pub runtime: Runtime,
}

/// Settings of the tests: times are long enough for a busy machine and short enough to wait for.
pub fn settings() -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: "entry".to_owned(),
        hall: "derby".to_owned(),
        caller_address: any_port,
        ready_address: any_port,
        peer_address: any_port,
        seeds: Vec::new(),
        is_first_start: false,
        keepalive_interval: Duration::from_millis(100),
        freshness: Freshness {
            max_age_with_key: Duration::from_secs(3),
            max_age_for_denial: Duration::from_secs(2),
        },
        // A process that has just started has no slack, only the credit that requests earn: here the first request
        // earns enough.
        allowance: Allowance {
            ratio: 20.0,
            slack: 40.0,
            window: Duration::from_secs(10),
        },
        max_observation_age: Duration::from_millis(100),
        read_delay_per_entry: Duration::from_millis(50),
        target_drain_time: Duration::from_millis(300),
        stall_timeout: Duration::from_secs(2),
        drain_notice_time: Duration::from_millis(300),
        drain_stream_time: Duration::from_millis(150),
        shutdown_timeout: Duration::from_secs(5),
    }
}

impl Fixture {
    /// Starts an entry with the targets of the plain service and those of the model service.
    pub fn new(plain: &[&Target], model: &[&Target]) -> Self {
        Self::with(settings(), samples::document(1), plain, model)
    }

    pub fn with(settings: Settings, document: Document, plain: &[&Target], model: &[&Target]) -> Self {
        Self::with_store(
            settings,
            FakeStore::new(catalog(document), 1),
            FakeStore::new(roster(plain, model), 1),
            FakeStrikeStore::default(),
        )
    }

    /// Starts an entry that holds at most what `intake` allows.
    pub fn with_intake(
        settings: Settings,
        document: Document,
        plain: &[&Target],
        intake: Arc<Intake>,
        registry: Arc<Registry>,
    ) -> Self {
        Self::with_parts(
            settings,
            FakeStore::new(catalog(document), 1),
            FakeStore::new(roster(plain, &[]), 1),
            FakeStrikeStore::default(),
            intake,
            registry,
        )
    }

    fn with_store(
        settings: Settings,
        catalogs: FakeStore<Configuration>,
        rosters: FakeStore<Roster>,
        strikes: FakeStrikeStore,
    ) -> Self {
        let registry = Arc::new(Registry::default());
        let intake = Intake::new(ProcessLimits::default().capacity(), &registry);
        Self::with_parts(settings, catalogs, rosters, strikes, intake, registry)
    }

    fn with_parts(
        settings: Settings,
        catalogs: FakeStore<Configuration>,
        rosters: FakeStore<Roster>,
        strikes: FakeStrikeStore,
        intake: Arc<Intake>,
        registry: Arc<Registry>,
    ) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let clock = Arc::new(samples::SuspendableClock::default());
        let parts = Dependencies {
            configuration: Box::new(catalogs.clone()),
            roster: Box::new(rosters.clone()),
            strikes: Box::new(strikes.clone()),
            archive: Box::new(strikes.clone()),
            clock: Arc::clone(&clock) as Arc<dyn Clock>,
            intake,
            header_names: HeaderNames::defaults().expect("proper names"),
            registry: Arc::clone(&registry),
        };
        let entry = runtime.block_on(Entry::start(settings, parts)).expect("free ports");
        let fixture = Self {
            entry: Arc::new(entry),
            catalogs,
            rosters,
            strikes,
            clock,
            registry,
            runtime,
        };
        wait_for("the catalog and the roster", || {
            fixture.entry.board.catalog().is_some() && fixture.entry.board.targets().is_some()
        });
        fixture
    }

    /// Starts another entry on the same store.
    pub fn start_another(&self, settings: Settings) -> Self {
        Self::with_store(
            settings,
            self.catalogs.clone(),
            self.rosters.clone(),
            self.strikes.clone(),
        )
    }

    /// Sends one request on a new connection and reads the response.
    pub fn fetch(&self, request: &Request) -> Response {
        Caller::open(self).fetch(request)
    }
}

/// Settings of an entry that connects to `first` and learns of the other entries from it.
pub fn linked_settings(first: &Fixture) -> Settings {
    Settings {
        seeds: vec![first.entry.peer_address],
        ..settings()
    }
}

/// Sends a request every 20 ms for `duration`; returns how many were not served.
pub fn send_requests(fixture: &Fixture, path: &str, duration: Duration) -> usize {
    let started_at = Instant::now();
    let mut unserved_count = 0;
    for request_number in 0.. {
        if started_at.elapsed() >= duration {
            break;
        }
        let response = fixture.fetch(&Request::new("GET", path, &format!("r-{request_number}")));
        unserved_count += usize::from(response.status != 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    unserved_count
}

/// Polls `condition` until it is true; panics after 20 s.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < Duration::from_secs(20),
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A configuration without evacuations.
pub fn catalog(document: Document) -> Configuration {
    evacuating(document, &[])
}

/// A configuration in which `halls` are evacuated.
pub fn evacuating(document: Document, halls: &[&str]) -> Configuration {
    Configuration {
        catalog: Arc::new(Catalog::try_from(document).expect("a valid catalog")),
        evacuations: halls.iter().map(|hall| (*hall).to_owned()).collect(),
    }
}

/// The roster of these targets, named `c-0`, `c-1` and `m-0`, `m-1`, in order.
pub fn roster(plain: &[&Target], model: &[&Target]) -> Roster {
    let list = |prefix: &'static str, service: &'static str, targets: &[&Target]| -> Vec<RosterTarget> {
        let roster_targets = targets.iter().enumerate().map(|(index, target)| RosterTarget {
            address: target.address,
            ..samples::target(&format!("{prefix}-{index}"), service, 0)
        });
        roster_targets.collect()
    };
    let mut targets = list("c", samples::PLAIN_SERVICE, plain);
    targets.extend(list("m", samples::MODEL_SERVICE, model));
    Roster::new(targets)
}

/// The same roster with all its targets draining.
pub fn draining(roster: &Roster) -> Roster {
    let drain = |target: &RosterTarget| RosterTarget {
        status: TargetStatus::Draining,
        ..target.clone()
    };
    Roster::new(roster.targets.iter().map(drain).collect())
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![
                ("Host".to_owned(), samples::HOST.to_owned()),
                ("X-Request-Id".to_owned(), id.to_owned()),
                ("X-Deadline-Ms".to_owned(), "5000".to_owned()),
                ("Authorization".to_owned(), format!("Bearer {}", samples::CALLER_KEY)),
            ],
            body: String::new(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| !known.eq_ignore_ascii_case(name));
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| !known.eq_ignore_ascii_case(name));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self.with("Content-Length", &body.len().to_string())
    }

    pub fn text(&self) -> String {
        let mut headers = String::new();
        for (name, value) in &self.headers {
            headers.push_str(name);
            headers.push_str(": ");
            headers.push_str(value);
            headers.push_str("\r\n");
        }
        format!("{} {} HTTP/1.1\r\n{headers}\r\n{}", self.method, self.path, self.body)
    }
}

/// A response as the caller received it.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the response ended regularly.
    pub is_complete: bool,
    pub elapsed: Duration,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }
}

/// One connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn open(fixture: &Fixture) -> Self {
        Self::connect(fixture.entry.caller_address)
    }

    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the entry listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(15)))
            .expect("a timeout");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection on which the kernel takes little ahead of the caller.
    pub fn open_slow(fixture: &Fixture) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4 << 10).expect("a small buffer");
        socket
            .connect(&fixture.entry.caller_address.into())
            .expect("the entry listens");
        let stream = TcpStream::from(socket);
        stream
            .set_read_timeout(Some(Duration::from_secs(15)))
            .expect("a timeout");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, text: &str) {
        // A failure shows in the response.
        let _closed = self.stream.write_all(text.as_bytes());
    }

    /// Sends a request and reads the response.
    pub fn fetch(&mut self, request: &Request) -> Response {
        let started_at = Instant::now();
        self.send(&request.text());
        let mut response = self.read_response();
        response.elapsed = started_at.elapsed();
        response
    }

    /// Reads one response.
    pub fn read_response(&mut self) -> Response {
        let mut response = Response::default();
        let Some(line) = self.read_line() else { return response };
        response.status = line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        while let Some(line) = self.read_line() {
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            response.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if response.header("transfer-encoding").is_some() {
            response.is_complete = self.read_chunks(&mut response.body);
        } else {
            let length = response.header("content-length").and_then(|length| length.parse().ok());
            let body = self.read_bytes(length.unwrap_or(0));
            response.is_complete = body.is_some();
            response.body = body.unwrap_or_default();
        }
        response
    }

    /// Reads the head of a response and leaves the body on the connection. Returns the status line.
    pub fn head(&mut self) -> Option<String> {
        let first = self.read_line()?;
        while self.read_line().is_some_and(|line| !line.is_empty()) {}
        Some(first)
    }

    /// Reads one chunk; none at the end or if the response is interrupted.
    pub fn chunk(&mut self) -> Option<String> {
        let length = usize::from_str_radix(self.read_line()?.trim(), 16).ok()?;
        let chunk = self.read_bytes(length)?;
        self.read_line()?;
        (length > 0).then_some(chunk)
    }

    /// Whether something has arrived that is not read yet.
    pub fn has_data(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let arrived = self.stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0);
        self.stream.set_nonblocking(false).expect("a socket");
        arrived
    }

    /// Whether the entry has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        matches!(self.stream.read(&mut byte), Ok(0) | Err(_))
    }

    fn read_chunks(&mut self, body: &mut String) -> bool {
        loop {
            let Some(length) = self
                .read_line()
                .and_then(|line| usize::from_str_radix(line.trim(), 16).ok())
            else {
                return false;
            };
            let Some(chunk) = self.read_bytes(length) else {
                return false;
            };
            body.push_str(&chunk);
            if self.read_line().is_none() {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill()?;
        }
    }

    fn read_bytes(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        let bytes: Vec<u8> = self.buffer.drain(..length).collect();
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 4_096];
        let read = self.stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Some(())
    }
}
