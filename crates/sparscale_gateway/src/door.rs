//! Lets requests in to a group of engines as room comes free, the most urgent first.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::Engine;
use sparscale_mesh::Mesh;
use sparscale_telemetry::DECISION;
use sparscale_wire::GroupLoad;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::refusal::{Reason, Refusal};
use crate::room::{capacity, held};

/// Part of the latency objective for which a request may wait at the door: the rest is for reading its prompt.
const WAIT_PART: f64 = 0.4;
/// Loads that are older than this say nothing: everyone is let in.
const LOAD_AGE: Duration = Duration::from_millis(900);
/// Time for which a request is not yet part of what the conductor tells.
const UNTOLD: Duration = Duration::from_millis(120);
/// First time after which a refused caller is told to come back; it rises with the line at the door.
const MIN_RETRY: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_RETRY: Duration = Duration::from_millis(1_500);

/// A request that wants in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Visit<'a> {
    /// Id of the request, for the log.
    pub(crate) request: &'a str,
    /// Group that it goes to.
    pub(crate) group: &'a str,
    pub(crate) engine: &'a Engine,
    /// Longest pause between events that its route allows.
    pub(crate) pause: Duration,
    /// Time in which its first event is due.
    pub(crate) objective: Duration,
    /// 0 for the most urgent.
    pub(crate) tier: u8,
}

/// The doors of all groups.
#[derive(Debug)]
pub(crate) struct Doors {
    mesh: Arc<Mesh>,
    /// Entries that share the room, this one included.
    entries: Arc<AtomicUsize>,
    by_group: Mutex<HashMap<String, Door>>,
    tickets: AtomicUsize,
}

/// One group's door.
#[derive(Debug)]
struct Door {
    /// The loads that `room` was worked out from.
    order: (u64, u64),
    told: Instant,
    /// This entry's share of the room, as last worked out, less what it has let in since.
    room: f64,
    /// When this entry let requests in that the conductor may not have told yet.
    untold: Vec<Instant>,
    waiting: BTreeMap<(u8, usize), oneshot::Sender<Arc<()>>>,
    /// Held by each request of this entry that is in, and by the door.
    token: Arc<()>,
    /// Mean time for which a request stays in.
    stay: Duration,
}

/// Counts a request as inside until this is dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    _token: Arc<()>,
    doors: Arc<Doors>,
    group: String,
    entered: Instant,
}

impl Doors {
    pub(crate) fn new(mesh: Arc<Mesh>, entries: Arc<AtomicUsize>) -> Arc<Self> {
        Arc::new(Self {
            mesh,
            entries,
            by_group: Mutex::default(),
            tickets: AtomicUsize::new(0),
        })
    }

    /// Lets a request in, at once or when room comes free; or refuses it with the time to come back.
    pub(crate) async fn enter(self: &Arc<Self>, visit: Visit<'_>) -> Result<Pass, Refusal> {
        let ticket = (visit.tier, self.tickets.fetch_add(1, Ordering::Relaxed));
        let waiting = {
            let mut doors = self.lock();
            let door = self.refreshed(&mut doors, visit);
            if door.waiting.is_empty() && door.room >= 1.0 {
                let token = door.admit();
                return Ok(self.pass(visit.group, token));
            }
            let expected = door.expected_wait();
            if expected > visit.objective.mul_f64(WAIT_PART) {
                let retry = retry_after(expected);
                log::info!(target: DECISION, decision = "turn_back", request = visit.request, group = visit.group, load:? = door.order, load_age_ms = door.told.elapsed().as_millis() as u64, room = door.room, waiting = door.waiting.len(), expected_ms = expected.as_millis() as u64, retry_ms = retry.as_millis() as u64; "no room in the group");
                return Err(Refusal::retry(Reason::Busy, retry));
            }
            let (sender, receiver) = oneshot::channel();
            door.waiting.insert(ticket, sender);
            receiver
        };
        let guard = Waiting {
            doors: self,
            group: visit.group,
            ticket,
        };
        let patience = visit.objective.mul_f64(WAIT_PART);
        let let_in = tokio::time::timeout(patience, waiting).await;
        drop(guard);
        if let Ok(Ok(token)) = let_in {
            return Ok(self.pass(visit.group, token));
        }
        // Its time is short now and a refusal would come late: it goes in, and is served late at worst.
        let mut doors = self.lock();
        let token = self.refreshed(&mut doors, visit).admit();
        Ok(self.pass(visit.group, token))
    }

    /// Lets waiting requests in after news of a group's loads.
    pub(crate) fn refresh(&self, group: &str, engine: &Engine, pause: Duration) {
        let mut doors = self.lock();
        let visit = Visit {
            request: "",
            group,
            engine,
            pause,
            objective: Duration::ZERO,
            tier: 0,
        };
        self.refreshed(&mut doors, visit);
    }

    /// Groups at whose doors requests wait.
    pub(crate) fn crowded(&self) -> Vec<String> {
        let doors = self.lock();
        let crowded = doors.iter().filter(|(_, door)| !door.waiting.is_empty());
        crowded.map(|(group, _)| group.clone()).collect()
    }

    fn pass(self: &Arc<Self>, group: &str, token: Arc<()>) -> Pass {
        Pass {
            _token: token,
            doors: Arc::clone(self),
            group: group.to_owned(),
            entered: Instant::now(),
        }
    }

    /// The group's door, with its room worked out anew if there is news.
    fn refreshed<'d>(&self, doors: &'d mut HashMap<String, Door>, visit: Visit<'_>) -> &'d mut Door {
        let door = doors.entry(visit.group.to_owned()).or_insert_with(Door::new);
        let entries = self.entries.load(Ordering::Relaxed);
        match self.mesh.group(visit.group) {
            Some(load) if load.order != door.order => door.news(&load, visit, entries),
            _ if door.told.elapsed() > LOAD_AGE => door.room = f64::INFINITY,
            _ => {}
        }
        door.let_in();
        door
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Door>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a request out of the line when it stops waiting, for whatever reason.
struct Waiting<'a> {
    doors: &'a Doors,
    group: &'a str,
    ticket: (u8, usize),
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(door) = self.doors.lock().get_mut(self.group) {
            door.waiting.remove(&self.ticket);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if let Some(door) = self.doors.lock().get_mut(&self.group) {
            door.leave(self.entered.elapsed());
        }
    }
}

impl Door {
    fn new() -> Self {
        Self {
            order: (0, 0),
            told: Instant::now(),
            room: f64::INFINITY,
            untold: Vec::new(),
            waiting: BTreeMap::new(),
            token: Arc::new(()),
            stay: Duration::from_secs(1),
        }
    }

    fn news(&mut self, load: &GroupLoad, visit: Visit<'_>, entries: usize) {
        let now = Instant::now();
        self.order = load.order;
        self.told = now;
        self.untold.retain(|let_in| *let_in + UNTOLD > now);
        let free = capacity(load, visit.engine, visit.pause) - held(load);
        self.room = free / entries.max(1) as f64 - self.untold.len() as f64;
    }

    fn admit(&mut self) -> Arc<()> {
        self.room -= 1.0;
        self.untold.push(Instant::now());
        Arc::clone(&self.token)
    }

    fn leave(&mut self, stayed: Duration) {
        self.room += 1.0;
        self.stay = (self.stay * 9 + stayed) / 10;
        self.let_in();
    }

    fn let_in(&mut self) {
        while self.room >= 1.0 {
            let Some((_, sender)) = self.waiting.pop_first() else {
                return;
            };
            // One that has left meanwhile takes no room.
            if sender.send(Arc::clone(&self.token)).is_ok() {
                self.admit();
            }
        }
    }

    /// Time until a request that joins the line now would be let in: places come free as requests leave.
    fn expected_wait(&self) -> Duration {
        let ahead = self.waiting.len() as f64 + 1.0 - self.room.clamp(-64.0, 0.0);
        let inside = Arc::strong_count(&self.token) - 1;
        self.stay.mul_f64(ahead / (inside.max(1) as f64))
    }
}

/// When to come back after a wait that is too long, spread so that those who were refused together do not return
/// together.
fn retry_after(expected: Duration) -> Duration {
    let spread = 0.75 + 0.5 * rand::random::<f64>();
    expected.clamp(MIN_RETRY, MAX_RETRY).mul_f64(spread)
}
