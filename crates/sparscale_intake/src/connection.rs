//! What one connection holds, and its release on every way out.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use sparscale_policy::intake::{Account, Activity, Capacity, Grant, Ledger, Opening, Owner, Port};
use sparscale_telemetry::{Counter, DECISION, Registry};
use tokio::sync::watch;

/// Counts everything that callers make this process hold.
#[derive(Debug)]
pub struct Intake {
    state: Mutex<State>,
    metrics: Metrics,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Notifies connections of what they have to give up.
    evictions: HashMap<Account, watch::Sender<Eviction>>,
}

/// What a connection has to give up to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// Nothing.
    None,
    /// Its body or response. A refusal may still be sent.
    Memory,
    /// The connection itself.
    Connection,
}

impl Eviction {
    /// Name of the shortage in log lines.
    fn shortage(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Memory => "memory",
            Self::Connection => "connections",
        }
    }
}

#[derive(Debug)]
struct Metrics {
    evicted: Arc<Counter>,
    denied: Arc<Counter>,
    turned_away: Arc<Counter>,
    stalled: Arc<Counter>,
}

impl Intake {
    /// An intake that holds at most `capacity`, with its metrics in `registry`.
    pub fn new(capacity: Capacity, registry: &Registry) -> Arc<Self> {
        log::info!(target: DECISION, decision = "intake", memory = capacity.memory, connections = capacity.connections, service_connections = capacity.service_connections; "capacity for callers");
        Arc::new(Self {
            state: Mutex::new(State {
                ledger: Ledger::new(capacity),
                evictions: HashMap::new(),
            }),
            metrics: Metrics {
                evicted: registry.counter(
                    "sparscale_evicted_connections_total",
                    "Connections that gave their room up to others because they made no progress.",
                    &[],
                ),
                denied: registry.counter(
                    "sparscale_denied_bodies_total",
                    "Request bodies for which there was no room.",
                    &[],
                ),
                stalled: registry.counter(
                    "sparscale_stalled_connections_total",
                    "Connections that were cut off because their callers read nothing.",
                    &[],
                ),
                turned_away: registry.counter(
                    "sparscale_turned_away_connections_total",
                    "Connections that were closed at once because all others were in use.",
                    &[],
                ),
            },
        })
    }

    /// What may be held.
    pub fn capacity(&self) -> Capacity {
        self.lock().ledger.capacity()
    }

    /// Bytes held of bodies and responses.
    pub fn held(&self) -> usize {
        self.lock().ledger.held()
    }

    /// Bytes held of responses.
    pub fn held_responses(&self) -> usize {
        self.lock().ledger.held_responses()
    }

    /// Number of connections at `port`.
    pub fn connections(&self, port: Port) -> usize {
        self.lock().ledger.connections(port)
    }

    /// Whether so much is held that callers which read nothing are cut off sooner.
    pub fn is_pressed(&self) -> bool {
        self.lock().ledger.is_pressed()
    }

    /// Counts a new connection at `port`, in place of one without progress if there are too many; none if all are in use.
    pub fn open(self: &Arc<Self>, port: Port) -> Option<Connection> {
        let mut state = self.lock();
        let account = match state.ledger.open(port, Instant::now()) {
            Opening::Opened(account) => account,
            Opening::Replaced { account, victim } => {
                self.evict(&mut state, victim, Eviction::Connection);
                account
            }
            Opening::Full => {
                self.metrics.turned_away.increment();
                return None;
            }
        };
        let (sender, eviction) = watch::channel(Eviction::None);
        state.evictions.insert(account, sender);
        Some(Connection {
            intake: Arc::clone(self),
            account,
            eviction,
        })
    }

    /// Records a connection that is cut off because its caller reads nothing.
    pub(crate) fn record_stalled(&self) {
        self.metrics.stalled.increment();
    }

    fn evict(&self, state: &mut State, victim: Account, eviction: Eviction) {
        let Some(sender) = state.evictions.get(&victim) else {
            return;
        };
        sender.send_replace(eviction);
        self.metrics.evicted.increment();
        let held = state.ledger.held();
        log::info!(target: DECISION, decision = "evict", shortage = eviction.shortage(), held; "a connection without progress gives its room up");
    }

    fn finish(&self, state: &mut State, grant: &Grant) {
        for victim in &grant.victims {
            self.evict(state, *victim, Eviction::Memory);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of a caller; what it holds is released when it is dropped.
#[derive(Debug)]
pub struct Connection {
    intake: Arc<Intake>,
    account: Account,
    eviction: watch::Receiver<Eviction>,
}

impl Connection {
    /// The intake that counts the connection.
    pub fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }

    /// Records what the connection does from now on.
    pub fn set_activity(&self, activity: Activity) {
        self.intake
            .lock()
            .ledger
            .set_activity(self.account, activity, Instant::now());
    }

    /// Records whether the caller reads nothing of what there is to read.
    pub fn set_unread(&self, is_unread: bool) {
        let since = is_unread.then(Instant::now);
        self.intake.lock().ledger.set_unread(self.account, since);
    }

    /// Records that `bytes` of a body have arrived.
    pub fn record_arrival(&self, bytes: usize) {
        self.intake
            .lock()
            .ledger
            .record_arrival(self.account, bytes, Instant::now());
    }

    /// Returns once the connection has to give up its body or response, or itself.
    ///
    /// Cancel safe.
    pub async fn evicted(&self) {
        self.wait_for(Eviction::Memory).await;
    }

    /// Returns once the connection itself has to be closed.
    ///
    /// Cancel safe.
    pub async fn replaced(&self) {
        self.wait_for(Eviction::Connection).await;
    }

    async fn wait_for(&self, least: Eviction) {
        let mut eviction = self.eviction.clone();
        if eviction.wait_for(|eviction| *eviction >= least).await.is_err() {
            // The sender lives as long as the connection.
            std::future::pending::<()>().await;
        }
    }

    /// Reserves `bytes` for the body of a request of `owner`; none if there is no room.
    pub fn reserve_body(self: &Arc<Self>, owner: Owner, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            connection: Arc::clone(self),
            owner,
            bytes: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Reserves `bytes` more for the response; returns whether there is room.
    pub fn reserve_response(&self, bytes: usize) -> bool {
        let mut state = self.intake.lock();
        let grant = state.ledger.reserve_response(self.account, bytes, Instant::now());
        self.intake.finish(&mut state, &grant);
        grant.is_granted
    }

    /// Records bytes of a response that are held already.
    pub fn record_response(&self, bytes: usize) {
        self.intake.lock().ledger.record_response(self.account, bytes);
    }

    /// Releases bytes of the response.
    pub fn release_response(&self, bytes: usize) {
        self.intake.lock().ledger.release_response(self.account, bytes);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        state.ledger.close(self.account);
        state.evictions.remove(&self.account);
    }
}

/// Room for the body of one request, released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    connection: Arc<Connection>,
    owner: Owner,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more; returns whether there is room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let intake = &self.connection.intake;
        let mut state = intake.lock();
        let account = self.connection.account;
        let grant = state.ledger.reserve_body(account, self.owner, bytes, Instant::now());
        intake.finish(&mut state, &grant);
        if grant.is_granted {
            self.bytes += bytes;
        } else {
            intake.metrics.denied.increment();
        }
        grant.is_granted
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Connection { intake, account, .. } = &*self.connection;
        intake.lock().ledger.release_body(*account, self.owner, self.bytes);
    }
}
