//! An entry on loopback, and a caller that writes its requests byte by byte.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use sparscale_belief::{Archive, Error, Source, Versioned};
use sparscale_catalog::{Catalog, Document, Roster, Standing, Target as Listed};
use sparscale_clock::Clock;
use sparscale_gateway::{Allowance, Dialect, Entry, Freshness, Parts, Settings};
use sparscale_quarantine::Strike;
use sparscale_samples as samples;
use tokio::runtime::Runtime;

use crate::target::Target;

/// What the stand-in of the store says now; nothing while it is away.
#[derive(Clone)]
pub struct Store<T>(Arc<Mutex<Option<Held<T>>>>);

/// A value with its position.
struct Held<T> {
    value: Arc<T>,
    position: u64,
}

impl<T> Store<T> {
    fn new(value: T, position: u64) -> Self {
        let store = Self(Arc::default());
        store.put(value, position);
        store
    }

    pub fn put(&self, value: T, position: u64) {
        let value = Arc::new(value);
        *self.0.lock().expect("no panic") = Some(Held { value, position });
    }

    pub fn take_away(&self) {
        *self.0.lock().expect("no panic") = None;
    }
}

#[async_trait]
impl<T: Send + Sync + 'static> Source<T> for Store<T> {
    async fn read(&mut self) -> Result<Versioned<T>, Error> {
        let held = self.0.lock().expect("no panic");
        let held = held.as_ref().ok_or_else(|| Error::Unavailable {
            message: "away".to_owned(),
        })?;
        Ok(Versioned {
            value: Arc::clone(&held.value),
            position: held.position.into(),
        })
    }
}

/// What the store keeps of requests that crash targets.
#[derive(Clone, Default)]
pub struct Strikes(Arc<Mutex<Vec<Strike>>>);

#[async_trait]
impl Source<Vec<Strike>> for Strikes {
    async fn read(&mut self) -> Result<Versioned<Vec<Strike>>, Error> {
        let kept = self.0.lock().expect("no panic");
        Ok(Versioned {
            value: Arc::new(kept.clone()),
            position: (kept.len() as u64).into(),
        })
    }
}

#[async_trait]
impl Archive for Strikes {
    async fn keep(&mut self, strikes: &[Strike]) -> Result<(), Error> {
        self.0.lock().expect("no panic").extend_from_slice(strikes);
        Ok(())
    }

    async fn forget(&mut self, strikes: &[Strike]) -> Result<(), Error> {
        let mut kept = self.0.lock().expect("no panic");
        kept.retain(|known| !strikes.contains(known));
        Ok(())
    }
}

/// An entry, its store, and the runtime that it runs on.
pub struct World {
    pub entry: Arc<Entry>,
    pub catalogs: Store<Catalog>,
    pub rosters: Store<Roster>,
    pub strikes: Strikes,
    pub clock: Arc<samples::Sleeper>,
    pub runtime: Runtime,
}

/// Bounds of the tests: long enough for a busy machine, short enough to wait for.
pub fn settings() -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: "entry".to_owned(),
        hall: "derby".to_owned(),
        callers: any,
        ready: any,
        peers: any,
        seeds: Vec::new(),
        interval: Duration::from_millis(100),
        freshness: Freshness {
            max_age_with_key: Duration::from_secs(3),
            max_age_for_denial: Duration::from_secs(2),
        },
        // A process that has just started has nothing to spend but what requests earn: here the first earns enough.
        allowance: Allowance {
            ratio: 20.0,
            slack: 40.0,
            window: Duration::from_secs(10),
        },
        read_interval: Duration::from_millis(100),
        read_step: Duration::from_millis(50),
        leave_time: Duration::from_millis(300),
        grace: Duration::from_secs(5),
    }
}

impl World {
    /// An entry before `targets`: those of the plain service, then those of the model service.
    pub fn new(plain: &[&Target], model: &[&Target]) -> Self {
        Self::with(settings(), samples::document(1), plain, model)
    }

    pub fn with(settings: Settings, document: Document, plain: &[&Target], model: &[&Target]) -> Self {
        Self::on(
            settings,
            Store::new(catalog(document), 1),
            Store::new(roster(plain, model), 1),
            Strikes::default(),
        )
    }

    fn on(settings: Settings, catalogs: Store<Catalog>, rosters: Store<Roster>, strikes: Strikes) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let clock = Arc::new(samples::Sleeper::default());
        let parts = Parts {
            catalog: Box::new(catalogs.clone()),
            roster: Box::new(rosters.clone()),
            strikes: Box::new(strikes.clone()),
            archive: Box::new(strikes.clone()),
            clock: Arc::clone(&clock) as Arc<dyn Clock>,
            dialect: Dialect::own().expect("proper names"),
            registry: Arc::default(),
        };
        let entry = runtime.block_on(Entry::start(settings, parts)).expect("free ports");
        let world = Self {
            entry: Arc::new(entry),
            catalogs,
            rosters,
            strikes,
            clock,
            runtime,
        };
        wait("beliefs", || {
            world.entry.board.catalog().is_some() && world.entry.board.targets().is_some()
        });
        world
    }

    /// Another entry on the same store.
    pub fn beside(&self, settings: Settings) -> Self {
        Self::on(
            settings,
            self.catalogs.clone(),
            self.rosters.clone(),
            self.strikes.clone(),
        )
    }

    /// Sends one request on a connection of its own.
    pub fn ask(&self, request: &Request) -> Answer {
        Caller::open(self).ask(request)
    }
}

/// Settings of an entry that hears of the others from `first`.
pub fn seeded(first: &World) -> Settings {
    Settings {
        seeds: vec![first.entry.peers],
        ..settings()
    }
}

/// Sends a request each 20 ms for `time`; tells how many were not served.
pub fn load(world: &World, path: &str, time: Duration) -> usize {
    let began = Instant::now();
    let mut unserved = 0;
    for number in 0.. {
        if began.elapsed() >= time {
            break;
        }
        let answer = world.ask(&Request::new("GET", path, &format!("r-{number}")));
        unserved += usize::from(answer.status != 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    unserved
}

pub fn wait(what: &str, seen: impl Fn() -> bool) {
    let began = Instant::now();
    while !seen() {
        assert!(began.elapsed() < Duration::from_secs(20), "never came about: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn catalog(document: Document) -> Catalog {
    Catalog::try_from(document).expect("a sound catalog")
}

/// The roster of these targets, named `c-0`, `c-1` and `m-0`, `m-1`, in order.
pub fn roster(plain: &[&Target], model: &[&Target]) -> Roster {
    let list = |prefix: &'static str, service: &'static str, targets: &[&Target]| -> Vec<Listed> {
        let listed = targets.iter().enumerate().map(|(index, target)| Listed {
            address: target.address,
            ..samples::target(&format!("{prefix}-{index}"), service, 0)
        });
        listed.collect()
    };
    let mut targets = list("c", samples::CALC, plain);
    targets.extend(list("m", samples::MODEL, model));
    Roster::new(targets)
}

/// The same roster with the plain targets leaving.
pub fn leaving(roster: &Roster) -> Roster {
    let leave = |target: &Listed| Listed {
        standing: Standing::Leaving,
        ..target.clone()
    };
    Roster::new(roster.targets.iter().map(leave).collect())
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
                ("Authorization".to_owned(), format!("Bearer {}", samples::KEY)),
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

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the answer has its proper end.
    pub whole: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// One connection of a caller.
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn open(world: &World) -> Self {
        Self::connect(world.entry.callers)
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

    pub fn send(&mut self, text: &str) {
        // What comes of it shows in the answer.
        let _closed = self.stream.write_all(text.as_bytes());
    }

    pub fn ask(&mut self, request: &Request) -> Answer {
        let began = Instant::now();
        self.send(&request.text());
        let mut answer = self.answer();
        answer.took = began.elapsed();
        answer
    }

    /// Reads one answer.
    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        let Some(line) = self.line() else { return answer };
        answer.status = line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        while let Some(line) = self.line() {
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            answer.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if answer.header("transfer-encoding").is_some() {
            answer.whole = self.chunks(&mut answer.body);
        } else {
            let length = answer.header("content-length").and_then(|length| length.parse().ok());
            let body = self.bytes(length.unwrap_or(0));
            answer.whole = body.is_some();
            answer.body = body.unwrap_or_default();
        }
        answer
    }

    /// Reads the head of an answer and leaves its body on the connection.
    pub fn head(&mut self) -> Option<String> {
        let first = self.line()?;
        while self.line().is_some_and(|line| !line.is_empty()) {}
        Some(first)
    }

    /// Reads one chunk; none at the end or when the answer breaks off.
    pub fn chunk(&mut self) -> Option<String> {
        let length = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
        let chunk = self.bytes(length)?;
        self.line()?;
        (length > 0).then_some(chunk)
    }

    /// Whether the entry has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        matches!(self.stream.read(&mut byte), Ok(0) | Err(_))
    }

    fn chunks(&mut self, body: &mut String) -> bool {
        loop {
            let Some(length) = self.line().and_then(|line| usize::from_str_radix(line.trim(), 16).ok()) else {
                return false;
            };
            let Some(chunk) = self.bytes(length) else { return false };
            body.push_str(&chunk);
            if self.line().is_none() {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, length: usize) -> Option<String> {
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
