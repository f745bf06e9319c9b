//! Callers: each sends requests to one entry, one at a time, and records the outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{AUTHORIZATION, HOST as HOST_HEADER};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use sparscale_gateway::Dialect;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::ledger::{Answer, Attempt, Book, Outcome};
use crate::places::{DEADLINE, HOST, KEYS, LATER_KEYS, ROUTES};
use crate::platform::RouteKind;
use crate::stage::Stage;

/// Time past the deadline announced in the request after which a caller records that no response came.
pub(crate) const PATIENCE: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_secs(1);
/// Delay before each request of a caller, in milliseconds.
const PAUSE: std::ops::Range<u64> = 20..120;

/// How a caller uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Habit {
    /// Keeps a connection open until the entry closes it.
    Keeps,
    /// Opens a connection for each request.
    Opens,
}

/// A caller of one entry.
pub(crate) struct Caller {
    pub(crate) entry: usize,
    address: SocketAddr,
    habit: Habit,
    dialect: Dialect,
    book: Arc<Book>,
    random: ChaCha8Rng,
    kept: Option<SendRequest<Full<Bytes>>>,
    /// Body of all its requests; if none, each request gets a body of its own.
    pub(crate) body: Option<&'static str>,
}

impl Caller {
    /// Creates a caller of `entry` that draws random numbers from `random`.
    pub(crate) fn new(stage: &Stage, entry: usize, habit: Habit, random: ChaCha8Rng) -> Self {
        Self {
            entry,
            address: stage.net.callers(entry),
            habit,
            dialect: stage.platform.dialect(),
            book: Arc::clone(&stage.book),
            random,
            kept: None,
            body: None,
        }
    }

    /// Sends requests until `stopped` is set.
    pub(crate) async fn run(mut self, mut over: watch::Receiver<bool>) {
        while !*over.borrow_and_update() {
            let pause = Duration::from_millis(self.random.random_range(PAUSE));
            tokio::time::sleep(pause).await;
            let route = self.random.random_range(0..ROUTES.len());
            let key = format!("key-{}", self.random.random_range(0..KEYS + LATER_KEYS));
            self.ask(route, &key).await;
        }
    }

    /// Sends one request to the route with index `route` and records the outcome.
    pub(crate) async fn ask(&mut self, route: usize, key: &str) -> Outcome {
        let route = &ROUTES[route];
        let id = format!("{:016x}", self.random.random::<u64>());
        let began = Instant::now();
        let talk = self.talk(route.prefix, &id, key);
        let outcome = tokio::time::timeout(DEADLINE + PATIENCE, talk)
            .await
            .unwrap_or(Outcome::Nothing);
        if outcome == Outcome::Nothing {
            // Closing the connection shows the entry that the caller no longer waits.
            self.kept = None;
        }
        self.book.open().attempts.push(Attempt {
            request: id,
            entry: self.entry,
            kind: route.kind,
            key: key.to_owned(),
            began,
            ended: Instant::now(),
            outcome: outcome.clone(),
        });
        outcome
    }

    async fn talk(&mut self, prefix: &str, id: &str, key: &str) -> Outcome {
        let Some(mut connection) = self.connection().await else {
            return Outcome::Unreached;
        };
        let Ok(request) = self.request(prefix, id, key) else {
            return Outcome::Unreached;
        };
        let Ok(answer) = connection.send_request(request).await else {
            return Outcome::Closed;
        };
        let answer = read(answer, &self.dialect).await;
        if self.habit == Habit::Keeps && answer.whole {
            self.kept = Some(connection);
        }
        Outcome::Answered(answer)
    }

    async fn connection(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(mut kept) = self.kept.take()
            && kept.ready().await.is_ok()
        {
            return Some(kept);
        }
        let opened = tokio::time::timeout(CONNECT, TcpStream::connect(self.address)).await;
        let stream = opened.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // A connection error shows up in the response.
            let _ended = connection.await;
        });
        Some(sender)
    }

    fn request(&self, prefix: &str, id: &str, key: &str) -> http::Result<Request<Full<Bytes>>> {
        Request::post(format!("{prefix}x"))
            .header(HOST_HEADER, HOST)
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .header(&self.dialect.request_id, id)
            .header(&self.dialect.deadline, DEADLINE.as_millis().to_string())
            .body(Full::new(Bytes::from(
                self.body.map_or_else(|| body(id), str::to_owned),
            )))
    }
}

/// Body of the request with this id.
pub(crate) fn body(id: &str) -> String {
    format!("body of {id}")
}

async fn read(answer: Response<Incoming>, dialect: &Dialect) -> Answer {
    let (head, mut content) = answer.into_parts();
    let mut bytes = BytesMut::new();
    let mut whole = true;
    while let Some(frame) = content.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let digest = head.headers.get(&dialect.digest);
    Answer {
        status: head.status.as_u16(),
        digest: digest.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body: String::from_utf8_lossy(&bytes).into_owned(),
        whole,
    }
}

/// Whether responses to requests of `kind` are event streams.
pub(crate) fn is_stream(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Stream | RouteKind::Resumable)
}
