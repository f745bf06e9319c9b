//! Lets requests in to a group of engines as room comes free, the most urgent first.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::Engine;
use sparscale_mesh::Mesh;
use sparscale_policy::group;
use sparscale_telemetry::DECISION;
use sparscale_wire::GroupLoad;
use tokio::time::Instant;

use crate::line::{Line, Room, Ticket};
use crate::refusal::{Reason, Refusal};
use crate::room::{capacity_now, held};

/// Least part of the latency objective for which a request may wait and still be in time.
const WAIT_PART: f64 = 0.4;
/// Weight of the newest time to a first event in its running mean.
const FIRST_WEIGHT: f64 = 0.1;
/// Margin on that mean: such times spread, and a wait that ends in time must leave room for most.
const FIRST_MARGIN: f64 = 1.5;
/// Silence after which callers take a stream for dead: the longest of this, [`SILENT_OBJECTIVES`] and [`SILENT_PAUSES`].
const SILENCE: Duration = Duration::from_secs(2);
/// The same in latency objectives.
const SILENT_OBJECTIVES: u32 = 4;
/// The same in allowed pauses.
const SILENT_PAUSES: u32 = 8;
/// Part of that silence for which a request may wait: the rest is for its prompt.
const SILENT_PART: f64 = 0.6;
/// Loads that are older than this say nothing: everyone is let in.
const LOAD_AGE: Duration = Duration::from_millis(900);
/// Requests that a rank is filled with while nobody tells loads: a group that begins anew deals its experts in turn, and
/// with more its passes outlast the pauses of streams.
const UNTOLD_RANK: f64 = 6.0;
/// Time for which a request is not yet part of what the conductor tells.
const UNTOLD: Duration = Duration::from_millis(120);
/// First time after which a refused caller is told to come back; it rises with the queue.
const MIN_RETRY: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_RETRY: Duration = Duration::from_millis(1_500);

/// A request that wants in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
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
    /// Ranks of the group.
    pub(crate) ranks: usize,
    /// When it came.
    pub(crate) began: Instant,
    /// What its caller spent on tries before it; worth counts from the first.
    pub(crate) spent: Duration,
}

/// The queues of all groups.
#[derive(Debug)]
pub(crate) struct Queues {
    mesh: Arc<Mesh>,
    /// Entries that share the room, this one included.
    entries: Arc<AtomicUsize>,
    by_group: Mutex<HashMap<String, Queue>>,
    tickets: AtomicUsize,
}

/// One group's queue.
#[derive(Debug)]
struct Queue {
    /// The loads that `room` was worked out from.
    order: (u64, u64),
    told: Instant,
    /// This entry's share of the room, as last worked out, less what it has let in since.
    room: Room,
    /// When this entry let requests in that the conductor may not have told yet.
    untold: Vec<Instant>,
    line: Line<Arc<()>>,
    /// Held by each request of this entry that is in, and by the queue.
    token: Arc<()>,
    /// Mean time for which a request stays in.
    stay: Duration,
    /// Mean time from letting a stream in to its first event, once one was seen.
    first: Option<Duration>,
}

/// Counts a request as inside until this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    _token: Arc<()>,
    queues: Arc<Queues>,
    group: String,
    entered: Instant,
}

impl Queues {
    pub(crate) fn new(mesh: Arc<Mesh>, entries: Arc<AtomicUsize>) -> Arc<Self> {
        Arc::new(Self {
            mesh,
            entries,
            by_group: Mutex::default(),
            tickets: AtomicUsize::new(0),
        })
    }

    /// Which of the groups a request is to wait for; `open` tells whether one runs.
    pub(crate) fn choose<'a>(&self, arrivals: &[Arrival<'a>], open: impl Fn(&str) -> bool) -> Option<Arrival<'a>> {
        if let [arrival] = arrivals {
            return Some(*arrival);
        }
        // A group that nobody leads is no choice while others are led: its targets may be another writer's.
        let led = |arrival: &Arrival<'_>| self.mesh.group(arrival.group).is_some();
        let any_led = arrivals.iter().any(led);
        let mut queues = self.lock();
        let candidate = |arrival: &Arrival<'a>| {
            let queue = self.refreshed(&mut queues, *arrival);
            group::Candidate {
                open: open(arrival.group) && (led(arrival) || !any_led),
                room: queue.room.timely - queue.line.len() as f64,
                wait: queue.expected_wait().as_secs_f64(),
                ranks: arrival.ranks,
            }
        };
        let candidates: Vec<group::Candidate> = arrivals.iter().map(candidate).collect();
        group::choose(&candidates, rand::random()).map(|chosen| arrivals[chosen])
    }

    /// Lets a request in, at once or when room comes free; or refuses it with the time to come back.
    pub(crate) async fn enter(self: &Arc<Self>, arrival: Arrival<'_>) -> Result<Permit, Refusal> {
        let ticket = (arrival.tier, self.tickets.fetch_add(1, Ordering::Relaxed));
        let longest = longest_wait(arrival.objective, arrival.pause);
        let waiting = {
            let mut queues = self.lock();
            let queue = self.refreshed(&mut queues, arrival);
            if queue.line.is_empty() && queue.room.timely >= 1.0 {
                let token = queue.admit();
                return Ok(self.permit(arrival.group, token));
            }
            let expected = queue.expected_wait();
            if arrival.began.elapsed() + expected > longest {
                let retry = retry_after(expected);
                queue.log_refusal(&arrival, expected, retry);
                return Err(Refusal::retry(Reason::Busy, retry));
            }
            let patience = queue.patience(arrival.objective).saturating_sub(arrival.spent);
            queue.line.join(ticket, arrival.began + patience)
        };
        let guard = Waiting {
            queues: self,
            group: arrival.group,
            ticket,
        };
        let let_in = tokio::time::timeout_at(arrival.began + longest, waiting).await;
        drop(guard);
        if let Ok(Ok(token)) = let_in {
            return Ok(self.permit(arrival.group, token));
        }
        // Its time is short now and a refusal would come late: it goes in, and is served late at worst.
        let mut queues = self.lock();
        let token = self.refreshed(&mut queues, arrival).admit();
        Ok(self.permit(arrival.group, token))
    }

    /// Lets waiting requests in after news of a group's loads.
    pub(crate) fn refresh(&self, group: &str, ranks: usize, engine: &Engine, pause: Duration) {
        let mut queues = self.lock();
        let arrival = Arrival {
            request: "",
            group,
            engine,
            pause,
            objective: Duration::ZERO,
            tier: 0,
            ranks,
            began: Instant::now(),
            spent: Duration::ZERO,
        };
        self.refreshed(&mut queues, arrival);
    }

    /// Groups at whose queues requests wait.
    pub(crate) fn crowded(&self) -> Vec<String> {
        let queues = self.lock();
        let crowded = queues.iter().filter(|(_, queue)| !queue.line.is_empty());
        crowded.map(|(group, _)| group.clone()).collect()
    }

    fn permit(self: &Arc<Self>, group: &str, token: Arc<()>) -> Permit {
        Permit {
            _token: token,
            queues: Arc::clone(self),
            group: group.to_owned(),
            entered: Instant::now(),
        }
    }

    /// The group's queue, with its room worked out anew if there is news.
    fn refreshed<'d>(&self, queues: &'d mut HashMap<String, Queue>, arrival: Arrival<'_>) -> &'d mut Queue {
        let queue = queues.entry(arrival.group.to_owned()).or_insert_with(Queue::new);
        let entries = self.entries.load(Ordering::Relaxed);
        match self.mesh.group(arrival.group) {
            Some(load) if load.order != queue.order => queue.news(&load, arrival, entries),
            _ if queue.told.elapsed() > LOAD_AGE => queue.untold_room(arrival.ranks, entries),
            _ => {}
        }
        queue.let_in();
        queue
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Queue>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a request out of the line when it stops waiting, for whatever reason.
struct Waiting<'a> {
    queues: &'a Queues,
    group: &'a str,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.queues.lock().get_mut(self.group) {
            queue.line.leave(self.ticket);
        }
    }
}

impl Permit {
    /// Notes that the stream let in by this permit has its first event.
    pub(crate) fn first_event(&self) {
        if let Some(queue) = self.queues.lock().get_mut(&self.group) {
            queue.first_event(self.entered.elapsed());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(queue) = self.queues.lock().get_mut(&self.group) {
            queue.leave(self.entered.elapsed());
        }
    }
}

impl Queue {
    fn new() -> Self {
        Self {
            order: (0, 0),
            told: Instant::now(),
            room: Room::OPEN,
            untold: Vec::new(),
            line: Line::default(),
            token: Arc::new(()),
            stay: Duration::from_secs(1),
            first: None,
        }
    }

    fn news(&mut self, load: &GroupLoad, arrival: Arrival<'_>, entries: usize) {
        let now = Instant::now();
        self.order = load.order;
        self.told = now;
        self.untold.retain(|let_in| *let_in + UNTOLD > now);
        let capacity = capacity_now(load, arrival.engine, arrival.pause);
        let held = held(load);
        let share = |capacity: f64| (capacity - held) / entries.max(1) as f64 - self.untold.len() as f64;
        self.room = Room {
            timely: share(capacity.timely),
            late: share(capacity.late),
        };
    }

    /// The room while nobody tells loads, as after a restart of all processes: what this entry has let in is known.
    fn untold_room(&mut self, ranks: usize, entries: usize) {
        let inside = Arc::strong_count(&self.token) - 1;
        let share = UNTOLD_RANK * ranks as f64 / entries.max(1) as f64 - inside as f64;
        self.room = Room {
            timely: share,
            late: share,
        };
    }

    fn admit(&mut self) -> Arc<()> {
        self.room.add(-1.0);
        self.untold.push(Instant::now());
        Arc::clone(&self.token)
    }

    fn leave(&mut self, stayed: Duration) {
        self.room.add(1.0);
        self.stay = (self.stay * 9 + stayed) / 10;
        self.let_in();
    }

    fn let_in(&mut self) {
        let now = Instant::now();
        while let Some(sender) = self.line.next(self.room, now) {
            // One that has left meanwhile takes no room.
            if sender.send(Arc::clone(&self.token)).is_ok() {
                self.admit();
            }
        }
    }

    /// How long a request may wait and still have its first event within `objective`: what is left of it after the time
    /// that the latest streams took from being let in to their first event, with a margin.
    fn patience(&self, objective: Duration) -> Duration {
        let least = objective.mul_f64(WAIT_PART);
        let Some(first) = self.first else { return least };
        objective.saturating_sub(first.mul_f64(FIRST_MARGIN)).max(least)
    }

    fn first_event(&mut self, took: Duration) {
        let old = self.first.unwrap_or(took);
        self.first = Some(old.mul_f64(1.0 - FIRST_WEIGHT) + took.mul_f64(FIRST_WEIGHT));
    }

    /// Time until a request that joins the line now would be let in: places come free as requests leave.
    fn expected_wait(&self) -> Duration {
        let room = self.room.timely.max(self.room.late);
        let ahead = self.line.len() as f64 + 1.0 - room.clamp(-64.0, 0.0);
        let inside = Arc::strong_count(&self.token) - 1;
        self.stay.mul_f64(ahead / (inside.max(1) as f64))
    }

    fn log_refusal(&self, arrival: &Arrival<'_>, expected: Duration, retry: Duration) {
        log::info!(target: DECISION, decision = "turn_back", request = arrival.request, group = arrival.group, load:? = self.order, load_age_ms = self.told.elapsed().as_millis() as u64, room = self.room.timely, late_room = self.room.late, waiting = self.line.len(), expected_ms = expected.as_millis() as u64, retry_ms = retry.as_millis() as u64; "no room in the group");
    }
}

/// Silence after which callers take a stream for dead.
pub(crate) fn borne_by_callers(objective: Duration, pause: Duration) -> Duration {
    SILENCE.max(objective * SILENT_OBJECTIVES).max(pause * SILENT_PAUSES)
}

/// How long a request may wait before its caller gives up.
pub(crate) fn longest_wait(objective: Duration, pause: Duration) -> Duration {
    borne_by_callers(objective, pause).mul_f64(SILENT_PART)
}

/// When to come back after a wait that is too long, spread so that those who were refused together do not return
/// together.
fn retry_after(expected: Duration) -> Duration {
    let spread = 0.75 + 0.5 * rand::random::<f64>();
    expected.clamp(MIN_RETRY, MAX_RETRY).mul_f64(spread)
}
