//! Determines whether the process of a target terminated when a connection to it ended.

use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use sparscale_belief::Board;
use sparscale_catalog::{Directory, Instance};
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::framing::Framing;
use sparscale_policy::termination::{End, Evidence, Listener, Verdict, Witness};
use sparscale_telemetry::{DECISION, Registry};
use sparscale_witness::ReceiveState;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::attempt::Outbound;
use crate::pool::{self, Opening, Pool};
use crate::settings::Settings;
use crate::shared_stream::SharedStream;
use crate::suspension::SuspensionDetector;
use crate::witness::{Held, Preparation, ProcessWatch, Witnesses};

/// Time in which a terminating process closes the rest of its connections after the first one.
const CLOSING_TIME: Duration = Duration::from_millis(5);
/// Time after which a process that neither closes its witnesses nor answers a liveness check is taken to run: not every
/// server closes a connection whose other side is closed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that is about to be sent.
#[derive(Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) connection: &'a SharedStream,
    /// A connection that was requested right before.
    pub(crate) preceding: Option<Opening>,
    /// Whether its route returns event streams.
    pub(crate) is_stream: bool,
}

/// What is known of the process of a target when a request is sent to it.
#[derive(Debug)]
pub(crate) struct PreparedWatch {
    pub(crate) sent_at: Timestamp,
    /// Whether the request was sent on a route for event streams.
    is_stream: bool,
    held: Held,
}

impl PreparedWatch {
    /// Records that the request is sent on `connection` in place of another one.
    pub(crate) fn carry(&mut self, connection: &SharedStream) {
        self.held.carry(connection);
    }
}

/// A response without a length whose connection has ended.
#[derive(Debug)]
pub(crate) struct EndedResponse<'a> {
    pub(crate) instance: &'a Instance,
    /// Id of the request.
    pub(crate) request_id: Option<&'a HeaderValue>,
    pub(crate) process: &'a ProcessWatch,
    pub(crate) stream: &'a SharedStream,
    pub(crate) sent_at: Timestamp,
    /// Bytes of the body.
    pub(crate) received_bytes: u64,
}

impl EndedResponse<'_> {
    fn request_id_text(&self) -> &str {
        self.request_id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Time after a lost connection in which a successor in the roster shows that the target terminated.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(5);
/// Most lost connections that are followed at a time.
const MAX_PENDING_TERMINATIONS: usize = 256;

/// When targets that leave may terminate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Departures {
    /// Time for which a target goes on serving, at least, after it has announced that it leaves.
    min_drain_time: Duration,
    /// Time until this process learns of the announcement, at most.
    max_notice_delay: Duration,
}

impl Departures {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            min_drain_time: settings.target_drain_time,
            max_notice_delay: settings.max_observation_age,
        }
    }
}

/// Observes the processes of the targets.
#[derive(Debug)]
pub(crate) struct ProcessMonitor {
    departures: Departures,
    pool: Arc<Pool>,
    board: Arc<Board>,
    clock: Arc<dyn Clock>,
    witnesses: Arc<Witnesses>,
    suspensions: SuspensionDetector,
    pending_terminations: Semaphore,
    registry: Arc<Registry>,
}

impl ProcessMonitor {
    pub(crate) fn new(
        pool: &Arc<Pool>,
        board: &Arc<Board>,
        clock: &Arc<dyn Clock>,
        registry: &Arc<Registry>,
        departures: Departures,
    ) -> Self {
        Self {
            departures,
            registry: Arc::clone(registry),
            pool: Arc::clone(pool),
            board: Arc::clone(board),
            clock: Arc::clone(clock),
            witnesses: Arc::new(Witnesses::new(Arc::clone(clock))),
            suspensions: SuspensionDetector::new(Arc::clone(clock)),
            pending_terminations: Semaphore::new(MAX_PENDING_TERMINATIONS),
        }
    }

    /// Detects suspensions of this process; never returns.
    pub(crate) async fn run(&self) {
        self.suspensions.run().await;
    }

    /// What a request needs before it is sent.
    pub(crate) fn preparation(&self, instance: &Instance, request: &Outbound) -> Preparation {
        // Another target gets a retryable request if its response cannot be proved.
        if request.retryable {
            return Preparation::None;
        }
        self.witnesses.preparation(instance, request.is_stream)
    }

    /// Records how the response to a request shows where it ends.
    pub(crate) fn record_framing(&self, instance: &Instance, prepared: &PreparedWatch, framing: Framing) {
        self.witnesses.record_framing(instance, prepared.is_stream, framing);
    }

    /// Prepares to watch the process of a target to which a request is about to be sent.
    pub(crate) async fn prepare(&self, instance: &Instance, request: OutgoingRequest<'_>) -> PreparedWatch {
        let held = self
            .witnesses
            .prepare(instance, request.connection, request.preceding)
            .await;
        PreparedWatch {
            sent_at: self.clock.now(),
            is_stream: request.is_stream,
            held,
        }
    }

    /// Watches the process that sends a response without a length on the connection `stream`. Its head has just been read.
    pub(crate) fn watch(&self, instance: &Instance, stream: SharedStream, prepared: PreparedWatch) -> ProcessWatch {
        self.witnesses.watch(instance, stream, prepared.held)
    }

    /// What became of the process of a target whose response without a length ended with its connection.
    pub(crate) async fn verdict(&self, response: &EndedResponse<'_>) -> Verdict {
        let ended_at = self.clock.now();
        let (listener, witness) = self.observe(response, ended_at).await;
        let evidence = Evidence {
            end: response.stream.end().unwrap_or(End::Broken),
            listener,
            witness,
            is_due_to_end: self.is_due_to_end(response, ended_at),
            is_replaced: self.is_replaced(response.instance),
            was_suspended: self.suspensions.was_suspended_since(response.sent_at),
        };
        let verdict = evidence.verdict();
        log::info!(
            target: DECISION,
            decision = "unframed_end",
            request = response.request_id_text(),
            at = response.instance.target.id.as_str(),
            bytes = response.received_bytes,
            end = evidence.end.name(),
            listener = evidence.listener.name(),
            witness = evidence.witness.name(),
            witness_ms = response.process.witness_age().map(|age| age.as_millis() as u64),
            due_to_end = evidence.is_due_to_end,
            replaced = evidence.is_replaced,
            suspended = evidence.was_suspended,
            verdict = verdict.name();
            "a response without a length ended with its connection"
        );
        let labels = [("witness", evidence.witness.name()), ("verdict", verdict.name())];
        let help = "Responses without a length whose connection ended, by the evidence about their process.";
        self.registry
            .counter("sparscale_unframed_ends_total", help, &labels)
            .increment();
        verdict
    }

    /// What the address of a target and the witnesses of its process show after a response ended at `ended_at`.
    async fn observe(&self, response: &EndedResponse<'_>, ended_at: Timestamp) -> (Listener, Witness) {
        let process = response.process;
        tokio::time::sleep(process.delivery_time()).await;
        if process.is_proved() {
            return (Listener::Unchecked, Witness::Open);
        }
        let listener = if process.is_held() {
            self.check_liveness(process, ended_at).await
        } else {
            self.probe_after(response, ended_at).await
        };
        if listener == Listener::Answers && process.is_held() {
            return (listener, Witness::Open);
        }
        process.settle().await;
        (listener, process.state(ended_at))
    }

    /// Checks whether a process runs at the address of a target whose response ended at `ended_at`, while witnesses of the
    /// one that sent it are open.
    async fn check_liveness(&self, process: &ProcessWatch, ended_at: Timestamp) -> Listener {
        let deadline = tokio::time::Instant::now() + CHECK_TIMEOUT;
        let listener = tokio::select! {
            listener = tokio::time::timeout_at(deadline, process.check_liveness(ended_at)) => {
                listener.unwrap_or(Listener::Accepts)
            }
            () = process.wait_lost() => return Listener::Unreachable,
        };
        if listener == Listener::Answers {
            // A successor may answer while the kernel still closes the last connections of the process.
            tokio::time::sleep(CLOSING_TIME).await;
        } else {
            // A process that is leaving may accept no connections and still run.
            let _lost = tokio::time::timeout_at(deadline, process.wait_lost()).await;
        }
        listener
    }

    /// Opens a connection to the address of a target whose response ended at `ended_at` without witnesses of its process.
    async fn probe_after(&self, response: &EndedResponse<'_>, ended_at: Timestamp) -> Listener {
        let instance = response.instance;
        let (listener, stream) = probe(instance).await;
        let stream = stream.and_then(|stream| self.witnesses.offer(instance, stream, ended_at));
        tokio::time::sleep(CLOSING_TIME).await;
        let Some(stream) = stream else { return listener };
        // The listener of a terminating process may have been closed only after it accepted the connection.
        if ReceiveState::of(&stream).is_ended() {
            return Listener::Unreachable;
        }
        self.add_to_pool(instance, stream).await;
        listener
    }

    /// Whether a target had announced that it leaves for so long, when a response ended at `ended_at`, that it may have
    /// terminated as planned. This process learns of it up to the age of its observations later.
    fn is_due_to_end(&self, response: &EndedResponse<'_>, ended_at: Timestamp) -> bool {
        let announced_at = self.board.throttle.draining_since(response.instance);
        let leaving_since = [announced_at, response.process.departed_at()]
            .into_iter()
            .flatten()
            .min();
        leaving_since.is_some_and(|since| {
            ended_at.since(since) + self.departures.max_notice_delay >= self.departures.min_drain_time
        })
    }

    /// Whether the process of a target that lost a connection has terminated: nothing listens at its address, or the
    /// roster lists a successor. A target that does not respond may be partitioned instead.
    pub(crate) async fn has_terminated(&self, instance: &Instance) -> bool {
        let (listener, stream) = probe(instance).await;
        if let Some(stream) = stream {
            self.add_to_pool(instance, stream).await;
        }
        listener == Listener::Refuses || self.is_replaced(instance)
    }

    /// Waits until the roster lists a successor of a target that lost a connection but listens: it may have restarted
    /// before this process looked. Returns whether that happens within [`SUCCESSOR_TIMEOUT`].
    pub(crate) async fn wait_replaced(&self, instance: &Instance) -> bool {
        let Ok(_permit) = self.pending_terminations.try_acquire() else {
            log::debug!(target = instance.target.id.as_str(); "too many lost connections are pending; one is not followed");
            return false;
        };
        let mut targets = self.board.subscribe_targets();
        let replaced = async {
            while !self.is_replaced(instance) {
                if targets.changed().await.is_err() {
                    return false;
                }
            }
            true
        };
        tokio::time::timeout(SUCCESSOR_TIMEOUT, replaced).await.unwrap_or(false)
    }

    /// Closes the witnesses of targets that are no longer listed.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.witnesses.retain(targets);
    }

    async fn add_to_pool(&self, instance: &Instance, stream: TcpStream) {
        match pool::handshake(stream).await {
            Ok(connection) => self.pool.put(instance.key, connection, &HeaderMap::new()),
            Err(error) => {
                log::debug!(target = instance.target.id.as_str(), error = error.to_string().as_str(); "a new connection to the target cannot be used");
            }
        }
    }

    /// Whether the roster lists another start of the target, or another target at its address.
    fn is_replaced(&self, instance: &Instance) -> bool {
        let Some(targets) = self.board.targets() else {
            return false;
        };
        let target = &instance.target;
        let is_successor = |other: &Instance| {
            other.key != instance.key && (other.target.id == target.id || other.target.address == target.address)
        };
        let is_current = targets
            .value
            .find(instance.key)
            .is_some_and(|listed| !listed.target.is_superseded);
        !is_current && targets.value.instances().iter().any(is_successor)
    }
}

/// Opens a connection to the address of a target.
async fn probe(instance: &Instance) -> (Listener, Option<TcpStream>) {
    match pool::open_stream(instance.target.address).await {
        Ok(stream) => (Listener::Accepts, Some(stream)),
        Err(error) if error.is_refused() => (Listener::Refuses, None),
        Err(_) => (Listener::Unreachable, None),
    }
}
