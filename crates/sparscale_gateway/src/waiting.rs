//! Queues requests in front of groups of ranks, as [`queue`] decides: admits them, lets them wait, or rejects them.
//!
//! Under overload, requests beyond the headroom of a group would delay every stream that the group serves.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Engine, Group};
use sparscale_mesh::Mesh;
use sparscale_policy::group;
use sparscale_policy::line::Ticket;
use sparscale_policy::queue::{self, Decision, Queue, Request};
use sparscale_telemetry::DECISION;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::refusal::{Reason, Refusal};

/// A request that asks to be admitted to a group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
    /// Request id, for the log.
    pub(crate) request: &'a str,
    /// Name of the group.
    pub(crate) group: &'a str,
    pub(crate) engine: &'a Engine,
    /// Longest pause between events that the route allows.
    pub(crate) pause: Duration,
    /// Time within which the first event is due.
    pub(crate) objective: Duration,
    /// Priority; 0 is the most urgent.
    pub(crate) tier: u8,
    /// Number of ranks in the group.
    pub(crate) ranks: usize,
    /// Fraction of the ranks that accept requests from this entry, 0 to 1.
    pub(crate) open_part: f64,
    /// When the request arrived.
    pub(crate) began: Instant,
    /// Time that the caller spent on earlier attempts; the value of a request is counted from its first attempt.
    pub(crate) spent: Duration,
    /// How much longer the caller waits, if it sent a deadline.
    pub(crate) left: Option<Duration>,
}

/// Reference count of the admitted requests: each of them holds a clone, and so does the queue.
type Token = Arc<()>;

/// The queues of all groups, by group name.
#[derive(Debug)]
pub(crate) struct Queues {
    mesh: Arc<Mesh>,
    /// Number of entries that share the headroom, including this one.
    entries: Arc<AtomicUsize>,
    by_group: Mutex<HashMap<String, Held>>,
    tickets: AtomicUsize,
}

/// The queue of one group, and the count of its admitted requests.
#[derive(Debug)]
struct Held {
    queue: Queue<oneshot::Sender<Token>>,
    token: Token,
}

/// An admitted request; dropping it frees its place in the group.
#[derive(Debug)]
pub(crate) struct Permit {
    _token: Token,
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

    /// Chooses the group to wait for; `open` reports whether a group is serving.
    pub(crate) fn choose<'a>(&self, arrivals: &[Arrival<'a>], open: impl Fn(&str) -> bool) -> Option<Arrival<'a>> {
        if let [arrival] = arrivals {
            return Some(*arrival);
        }
        // While any group has a leader, groups without one are excluded: their targets may belong to another writer.
        let led = |arrival: &Arrival<'_>| self.mesh.group(arrival.group).is_some();
        let any_led = arrivals.iter().any(led);
        let mut queues = self.lock();
        let candidate = |arrival: &Arrival<'a>| {
            let held = self.refreshed(&mut queues, *arrival);
            group::Candidate {
                open: open(arrival.group) && (led(arrival) || !any_led),
                room: held.queue.room().timely - held.queue.waiting() as f64,
                wait: held.queue.expected_wait(held.inside()).as_secs_f64(),
                ranks: arrival.ranks,
            }
        };
        let candidates: Vec<group::Candidate> = arrivals.iter().map(candidate).collect();
        group::choose(&candidates, rand::random()).map(|chosen| arrivals[chosen])
    }

    /// Admits a request, at once or when headroom becomes free, or rejects it with a time to retry after.
    pub(crate) async fn enter(self: &Arc<Self>, arrival: Arrival<'_>) -> Result<Permit, Refusal> {
        let ticket = (arrival.tier, self.tickets.fetch_add(1, Ordering::Relaxed));
        let (waiting, limit) = {
            let mut queues = self.lock();
            let held = self.refreshed(&mut queues, arrival);
            let decision = held
                .queue
                .decide(&arrival.request(), held.inside(), rand::random(), now());
            match decision {
                Decision::Enter => return Ok(self.permit(arrival.group, held.admit())),
                Decision::Refuse { expected, retry } => {
                    held.log_refusal(&arrival, expected, retry);
                    return Err(Refusal::retry(Reason::Busy, retry));
                }
                Decision::Wait { timely_until, limit } => {
                    let (sender, receiver) = oneshot::channel();
                    held.queue.join(ticket, timely_until, sender);
                    (receiver, limit)
                }
            }
        };
        let guard = Waiting {
            queues: self,
            group: arrival.group,
            ticket,
        };
        let let_in = tokio::time::timeout_at(Instant::from_std(limit), waiting).await;
        drop(guard);
        if let Ok(Ok(token)) = let_in {
            return Ok(self.permit(arrival.group, token));
        }
        // The remaining time is short and a rejection would come too late: admit it, which is late at worst.
        let mut queues = self.lock();
        let token = self.refreshed(&mut queues, arrival).admit();
        Ok(self.permit(arrival.group, token))
    }

    /// Admits waiting requests after the load report of a group has changed.
    pub(crate) fn refresh(&self, group: Group<'_>, open_part: f64, engine: &Engine, pause: Duration) {
        let mut queues = self.lock();
        let arrival = Arrival {
            request: "",
            group: group.name,
            engine,
            pause,
            objective: Duration::ZERO,
            tier: 0,
            ranks: group.size,
            open_part,
            began: Instant::now(),
            spent: Duration::ZERO,
            left: None,
        };
        self.refreshed(&mut queues, arrival);
    }

    /// Groups with requests in their backlog.
    pub(crate) fn crowded(&self) -> Vec<String> {
        let queues = self.lock();
        let crowded = queues.iter().filter(|(_, held)| held.queue.waiting() > 0);
        crowded.map(|(group, _)| group.clone()).collect()
    }

    fn permit(self: &Arc<Self>, group: &str, token: Token) -> Permit {
        Permit {
            _token: token,
            queues: Arc::clone(self),
            group: group.to_owned(),
            entered: Instant::now(),
        }
    }

    /// The queue of the group, with its headroom recomputed if there is a new load report.
    fn refreshed<'d>(&self, queues: &'d mut HashMap<String, Held>, arrival: Arrival<'_>) -> &'d mut Held {
        let held = queues.entry(arrival.group.to_owned()).or_insert_with(Held::new);
        let group = queue::Group {
            engine: arrival.engine,
            pause: arrival.pause,
            ranks: arrival.ranks,
            open_part: arrival.open_part,
            entries: self.entries.load(Ordering::Relaxed),
        };
        let load = self.mesh.group(arrival.group);
        held.queue.refresh(load.as_deref(), &group, held.inside(), now());
        held.let_in();
        held
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Held>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Arrival<'_> {
    fn request(&self) -> Request {
        Request {
            began: self.began.into_std(),
            objective: self.objective,
            pause: self.pause,
            spent: self.spent,
            left: self.left,
        }
    }
}

/// Removes a request from the backlog when it stops waiting for any reason, including cancellation.
struct Waiting<'a> {
    queues: &'a Queues,
    group: &'a str,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(held) = self.queues.lock().get_mut(self.group) {
            held.queue.give_up(self.ticket);
        }
    }
}

impl Permit {
    /// Records that the stream admitted by this permit has received its first event.
    pub(crate) fn first_event(&self) {
        if let Some(held) = self.queues.lock().get_mut(&self.group) {
            held.queue.first_event(self.entered.elapsed());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(held) = self.queues.lock().get_mut(&self.group) {
            held.queue.leave(self.entered.elapsed());
            held.let_in();
        }
    }
}

impl Held {
    fn new() -> Self {
        Self {
            queue: Queue::new(now()),
            token: Arc::new(()),
        }
    }

    /// Number of admitted requests of this entry that have not finished.
    fn inside(&self) -> usize {
        Arc::strong_count(&self.token) - 1
    }

    fn admit(&mut self) -> Token {
        self.queue.admit(now());
        Arc::clone(&self.token)
    }

    fn let_in(&mut self) {
        while let Some(sender) = self.queue.next(now()) {
            // A request that has stopped waiting in the meantime takes no headroom.
            if sender.send(Arc::clone(&self.token)).is_ok() {
                self.queue.admit(now());
            }
        }
    }

    fn log_refusal(&self, arrival: &Arrival<'_>, expected: Duration, retry: Duration) {
        let queue = &self.queue;
        let room = queue.room();
        log::info!(target: DECISION, decision = "turn_back", request = arrival.request, group = arrival.group, load:? = queue.order(), load_age_ms = queue.load_age(now()).as_millis() as u64, room = room.timely, late_room = room.late, waiting = queue.waiting(), expected_ms = expected.as_millis() as u64, retry_ms = retry.as_millis() as u64; "no headroom in the group");
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
