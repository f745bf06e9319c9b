//! Proof that the process to which a request was sent still ran after its response had ended.
//!
//! A response without a length ends with its connection, and so does one whose process ends too early. Witnesses separate
//! the two cases: a process that ends closes all of them, however soon the next one listens. A target also closes
//! connections that are idle for too long, so one witness that is closed says nothing. While a response arrives, two of
//! different age are kept. A witness that is established while an older one stays open leads to the same process, so
//! it proves as much as the older one did.
//!
//! A process closes its sockets one by one as it ends, which takes a while on a loaded machine. So the witnesses are
//! judged only after a liveness check that begins after the end of the response: a new connection whose sending side is
//! closed at once. A running process closes it too. One that is ending doesn't, and its successor starts only after it
//! has closed the witnesses.

use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_witness::Witness;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout of a connection to the target; short, because a request may wait for it and the target is on the same box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which a terminating process closes the rest of its sockets after the first one.
const CLOSING_TIME: Duration = Duration::from_millis(5);
/// Time after which a process that neither closes its witnesses nor answers a liveness check is taken to run: one that
/// is leaving accepts no connections, and not every server closes a connection whose other side is closed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest difference of age between two witnesses. A target that closes idle connections sooner breaks the chain.
const MIN_GAP: Duration = Duration::from_millis(25);
/// Longest difference of age. Witnesses stay younger than twice this time, so a target that closes idle connections
/// periodically does not close both at once.
const MAX_GAP: Duration = Duration::from_secs(5);
/// Number of witnesses that are kept.
const WITNESSES: usize = 2;

/// How a target ends its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No successful response has been seen.
    Unknown,
    /// So far, each response has shown where it ends.
    Delimited,
    /// A response has ended with its connection.
    Undelimited,
}

/// Whether the process that sent a response ran after its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It did, so the response is complete.
    Running,
    /// There is no proof, so the rest of the response may be missing.
    Unknown,
}

impl Verdict {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Unknown => "unknown",
        }
    }
}

/// Outcome of a liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Check {
    /// A process has closed the connection, or has sent something on it.
    Answered,
    Unanswered,
}

impl Check {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A verdict and the evidence behind it.
#[derive(Debug)]
pub(crate) struct Judgement {
    pub(crate) verdict: Verdict,
    pub(crate) check: Check,
    /// For each open witness, its age and the time for which its process is known to run, in milliseconds.
    pub(crate) witnesses: String,
}

/// The witnesses of one target.
#[derive(Debug)]
pub(crate) struct Custody {
    address: String,
    state: Mutex<State>,
}

impl Custody {
    /// Opens no connection.
    pub(crate) fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            state: Mutex::new(State {
                framing: Framing::Unknown,
                links: Vec::new(),
                opened_at: None,
            }),
        }
    }

    /// Uses a connection as a witness, unless there is one.
    pub(crate) fn offer(&self, stream: TcpStream) {
        let mut state = self.lock();
        state.refresh();
        if state.links.is_empty() {
            state.opened_at = Some(Instant::now());
            state.push(stream);
        }
    }

    /// Prepares a request: opens a witness where the response may end with its connection. Returns the time from which
    /// the process must be known to run.
    pub(crate) async fn prepare(self: &Arc<Self>) -> Instant {
        let is_due = {
            let mut state = self.lock();
            state.refresh();
            state.framing != Framing::Delimited && state.claim_opening()
        };
        if is_due {
            self.open().await;
        }
        Instant::now()
    }

    /// Records how the target ends a successful response.
    pub(crate) fn record(&self, framing: Framing) {
        let mut state = self.lock();
        if state.framing != Framing::Undelimited {
            state.framing = framing;
        }
    }

    /// Runs a part of a request that was sent at `sent_at`, and keeps witnesses open meanwhile.
    pub(crate) async fn during<F: Future>(self: &Arc<Self>, sent_at: Instant, part: F) -> F::Output {
        let mut part = pin!(part);
        tokio::select! {
            biased;
            output = &mut part => return output,
            () = self.keep(sent_at) => {}
        }
        part.await
    }

    /// Judges the orderly end of a response without a length to a request that was sent at `sent_at`.
    pub(crate) async fn judge(self: &Arc<Self>, sent_at: Instant) -> Judgement {
        let check = tokio::select! {
            check = self.check() => check,
            () = self.keep(sent_at) => Check::Unanswered,
        };
        let mut state = self.lock();
        state.refresh();
        Judgement {
            check,
            verdict: state.verdict(sent_at),
            witnesses: state.describe(),
        }
    }

    /// Waits until a process has answered a liveness check.
    async fn check(&self) -> Check {
        let answering = async {
            if self.exchange().await.is_err() {
                // An ending process has closed its listening socket, or resets a connection that it has not accepted.
                std::future::pending::<()>().await;
            }
        };
        let answer = tokio::time::timeout(CHECK_TIMEOUT, answering).await;
        // A successor that has taken the address over answers before the last sockets are closed.
        tokio::time::sleep(CLOSING_TIME).await;
        match answer {
            Ok(()) => Check::Answered,
            Err(_elapsed) => Check::Unanswered,
        }
    }

    /// Opens a connection, closes its sending side, and waits for bytes or an orderly end.
    async fn exchange(&self) -> io::Result<usize> {
        let mut stream = TcpStream::connect(&self.address).await?;
        stream.shutdown().await?;
        stream.read(&mut [0]).await
    }

    /// Keeps witnesses open until none is needed, or none proves anything.
    async fn keep(self: &Arc<Self>, sent_at: Instant) {
        loop {
            let step = self.lock().step(sent_at);
            match step {
                Step::Open => self.open().await,
                Step::Wait {
                    oldest,
                    youngest,
                    until,
                } => tokio::select! {
                    () = oldest.wait_closed() => {}
                    () = youngest.wait_closed() => {}
                    () = tokio::time::sleep_until(until) => {}
                },
                Step::Stop => return,
            }
        }
    }

    /// Opens a witness, also if the request that needs it ends meanwhile: later ones rely on the age of this one.
    async fn open(self: &Arc<Self>) {
        let custody = Arc::clone(self);
        let opening = tokio::spawn(async move {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&custody.address));
            if let Ok(Ok(stream)) = connecting.await {
                custody.lock().push(stream);
            }
        });
        if let Err(error) = opening.await {
            log::warn!(error = error.to_string().as_str(); "opening an idle connection to the target failed");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What keeps the witnesses of a request open.
enum Step {
    Open,
    Wait {
        oldest: Arc<Witness>,
        youngest: Arc<Witness>,
        until: Instant,
    },
    /// The response shows where it ends, or the proof is lost.
    Stop,
}

/// A witness in the chain.
#[derive(Debug)]
struct Link {
    witness: Arc<Witness>,
    established_at: Instant,
    /// Time since which its process is known to run.
    known_since: Instant,
}

impl Link {
    /// Whether a process that ended before the witness was established has closed all of its sockets by `now`.
    fn is_settled(&self, now: Instant) -> bool {
        now >= self.established_at + CLOSING_TIME
    }
}

#[derive(Debug)]
struct State {
    framing: Framing,
    /// Open witnesses, oldest first.
    links: Vec<Link>,
    /// Time at which a witness was last opened, or could not be.
    opened_at: Option<Instant>,
}

impl State {
    fn push(&mut self, stream: TcpStream) {
        let now = Instant::now();
        self.links.push(Link {
            witness: Arc::new(Witness::new(stream)),
            established_at: now,
            known_since: now,
        });
    }

    /// Drops closed and surplus witnesses, and extends what the others prove.
    fn refresh(&mut self) {
        // Taken before the witnesses are checked: an older one counts only if it is open once the younger is settled.
        let now = Instant::now();
        self.links.retain(|link| link.witness.is_open());
        let mut known_since = now;
        for link in &mut self.links {
            if link.is_settled(now) {
                link.known_since = link.known_since.min(known_since);
            }
            known_since = known_since.min(link.known_since);
        }
        if self.links.last().is_some_and(|youngest| youngest.is_settled(now)) {
            let surplus = self.links.len().saturating_sub(WITNESSES);
            self.links.drain(..surplus);
        }
    }

    /// Time between the last opening of a witness and the next. It doubles while none is closed, so that the ages
    /// differ by as much as the target's idle time allows.
    fn opening_interval(&self) -> Duration {
        match self.links.as_slice() {
            [] => Duration::ZERO,
            [_] => MIN_GAP,
            [.., older, youngest] => {
                let gap = youngest.established_at - older.established_at;
                (2 * gap).clamp(MIN_GAP, MAX_GAP)
            }
        }
    }

    /// Returns whether a witness is due, which the caller then opens.
    fn claim_opening(&mut self) -> bool {
        let now = Instant::now();
        let interval = self.opening_interval();
        let is_due = self.opened_at.is_none_or(|opened_at| now >= opened_at + interval);
        if is_due {
            self.opened_at = Some(now);
        }
        is_due
    }

    fn step(&mut self, sent_at: Instant) -> Step {
        self.refresh();
        if self.framing == Framing::Delimited || self.verdict(sent_at) == Verdict::Unknown {
            return Step::Stop;
        }
        if self.claim_opening() {
            return Step::Open;
        }
        let (Some(oldest), Some(youngest), Some(opened_at)) = (self.links.first(), self.links.last(), self.opened_at)
        else {
            return Step::Stop;
        };
        let settled_at = youngest.established_at + CLOSING_TIME;
        let due_at = opened_at + self.opening_interval();
        Step::Wait {
            oldest: Arc::clone(&oldest.witness),
            youngest: Arc::clone(&youngest.witness),
            until: if youngest.is_settled(Instant::now()) {
                due_at
            } else {
                settled_at.min(due_at)
            },
        }
    }

    fn verdict(&self, sent_at: Instant) -> Verdict {
        if self.links.iter().any(|link| link.known_since <= sent_at) {
            Verdict::Running
        } else {
            Verdict::Unknown
        }
    }

    fn describe(&self) -> String {
        let links = self.links.iter().map(|link| {
            let (age, known) = (link.established_at.elapsed(), link.known_since.elapsed());
            format!("{}/{}", age.as_millis(), known.as_millis())
        });
        links.collect::<Vec<_>>().join(" ")
    }
}
