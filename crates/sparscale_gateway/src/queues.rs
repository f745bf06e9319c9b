//! Queues requests in front of groups of ranks, as [`queue`] decides: admits them, lets them wait, or rejects them.
//!
//! Under overload, requests beyond the headroom of a group would delay every stream that the group serves.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{EngineProfile, Group};
use sparscale_mesh::Mesh;
use sparscale_policy::backlog::Ticket;
use sparscale_policy::fair_share::Workspace;
use sparscale_policy::group;
use sparscale_policy::queue::{self, Decision, Queue, Request, Review};
use sparscale_telemetry::DECISION;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::refusal::{Reason, Refusal};

/// A request that asks to be admitted to a group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
    /// Request id, for the log.
    pub(crate) request_id: &'a str,
    /// Name of the group.
    pub(crate) group: &'a str,
    pub(crate) engine: &'a EngineProfile,
    /// Maximum pause between events that the route allows.
    pub(crate) max_pause: Duration,
    /// Time within which the first event is due.
    pub(crate) objective: Duration,
    /// Priority; 0 is the most urgent.
    pub(crate) tier: u8,
    /// Number of ranks in the group.
    pub(crate) rank_count: usize,
    /// Fraction of the ranks that accept requests from this entry, 0 to 1.
    pub(crate) open_fraction: f64,
    /// When the request arrived.
    pub(crate) arrived_at: Instant,
    /// Time that the caller spent on earlier attempts; the value of a request is counted from its first attempt.
    pub(crate) retry_age: Duration,
    /// How much longer the caller waits, if it sent a deadline.
    pub(crate) remaining: Option<Duration>,
    /// Workspace of the request.
    pub(crate) workspace: Workspace,
}

/// Why a request was not admitted to a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// It is rejected.
    Rejected(Refusal),
    /// The group gets no new requests any more, or is not expected to serve this one in time; another one may.
    Displaced,
}

/// Reference count of the admitted requests: each of them holds a clone, and so does the queue.
type Token = Arc<()>;

/// The queues of all groups, by group name.
#[derive(Debug)]
pub(crate) struct Queues {
    mesh: Arc<Mesh>,
    /// Number of entries that share the headroom, including this one.
    entry_count: Arc<AtomicUsize>,
    by_group: Mutex<HashMap<String, GroupQueue>>,
    next_ticket: AtomicUsize,
}

/// The queue of one group, and the count of its admitted requests.
#[derive(Debug)]
struct GroupQueue {
    queue: Queue<oneshot::Sender<Token>>,
    token: Token,
}

/// An admitted request; dropping it frees its place in the group.
#[derive(Debug)]
pub(crate) struct Permit {
    _token: Token,
    queues: Arc<Queues>,
    group: String,
    admitted_at: Instant,
}

impl Queues {
    pub(crate) fn new(mesh: Arc<Mesh>, entry_count: Arc<AtomicUsize>) -> Arc<Self> {
        Arc::new(Self {
            mesh,
            entry_count,
            by_group: Mutex::default(),
            next_ticket: AtomicUsize::new(0),
        })
    }

    /// Chooses the group to wait for; `is_open` reports whether a group is serving.
    pub(crate) fn choose_group<'a>(
        &self,
        arrivals: &[Arrival<'a>],
        is_open: impl Fn(&str) -> bool,
    ) -> Option<Arrival<'a>> {
        if let [arrival] = arrivals {
            return Some(*arrival);
        }
        // While any group has a leader, groups without one are excluded: their targets may belong to another writer.
        let has_leader = |arrival: &Arrival<'_>| self.mesh.group_load(arrival.group).is_some();
        let any_has_leader = arrivals.iter().any(has_leader);
        let mut queues = self.lock();
        let candidate = |arrival: &Arrival<'a>| {
            let group_queue = self.refreshed_queue(&mut queues, *arrival);
            group::Candidate {
                open: is_open(arrival.group) && (has_leader(arrival) || !any_has_leader),
                headroom: group_queue.queue.headroom().timely - group_queue.queue.backlog_len() as f64,
                expected_wait_secs: group_queue.queue.expected_wait(group_queue.in_flight()).as_secs_f64(),
                rank_count: arrival.rank_count,
            }
        };
        let candidates: Vec<group::Candidate> = arrivals.iter().map(candidate).collect();
        group::choose(&candidates, rand::random()).map(|chosen| arrivals[chosen])
    }

    /// Admits a request, immediately or when headroom becomes free, or rejects it with a time to retry after.
    pub(crate) async fn acquire(self: &Arc<Self>, arrival: Arrival<'_>) -> Result<Permit, Error> {
        let ticket = (arrival.tier, self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let request = arrival.request();
        let (mut admission, mut review_at) = {
            let mut queues = self.lock();
            let group_queue = self.refreshed_queue(&mut queues, arrival);
            let in_flight = group_queue.in_flight();
            let decision = group_queue
                .queue
                .decide(ticket, &request, in_flight, rand::random(), now());
            match decision {
                Decision::Admit => return Ok(self.permit(arrival.group, group_queue.admit())),
                Decision::Reject {
                    expected_wait: expected,
                    retry_after: retry,
                } => {
                    group_queue.log_refusal(&arrival, expected, retry);
                    let refusal = Refusal::with_retry_after(Reason::Busy, retry);
                    return Err(Error::Rejected(refusal));
                }
                Decision::Wait { review_at } => {
                    let (sender, receiver) = oneshot::channel();
                    group_queue.queue.enqueue(ticket, &request, sender);
                    (receiver, review_at)
                }
            }
        };
        let _guard = Guard {
            queues: self,
            group: arrival.group,
            ticket,
        };
        loop {
            let admitted = tokio::time::timeout_at(Instant::from_std(review_at), &mut admission).await;
            match admitted {
                Ok(Ok(token)) => return Ok(self.permit(arrival.group, token)),
                Ok(Err(_displaced)) => return Err(Error::Displaced),
                Err(_elapsed) => {}
            }
            let mut queues = self.lock();
            let group_queue = self.refreshed_queue(&mut queues, arrival);
            let in_flight = group_queue.in_flight();
            match group_queue.queue.review(ticket, &request, in_flight, now()) {
                // It was admitted or displaced since: the channel says which.
                None => {}
                Some(Review::Admit) => {
                    group_queue.log_late_admission(&arrival);
                    return Ok(self.permit(arrival.group, group_queue.admit()));
                }
                Some(Review::Leave) => return Err(Error::Displaced),
                Some(Review::Wait { review_at: next }) => review_at = next,
            }
        }
    }

    /// Removes all waiting requests of a group that gets no new requests any more, so that other groups serve them.
    pub(crate) fn displace(&self, group: &str) {
        let Some(displaced) = self.lock().get_mut(group).map(|queue| queue.queue.displace()) else {
            return;
        };
        if !displaced.is_empty() {
            log::info!(target: DECISION, decision = "displaced", group, waiting = displaced.len(); "all ranks of the group are in evacuated halls; its waiting requests go to other groups");
        }
    }

    /// Admits waiting requests after the load report of a group has changed.
    pub(crate) fn refresh(&self, group: Group<'_>, open_fraction: f64, engine: &EngineProfile, max_pause: Duration) {
        let mut queues = self.lock();
        let arrival = Arrival {
            request_id: "",
            group: group.name,
            engine,
            max_pause,
            objective: Duration::ZERO,
            tier: 0,
            rank_count: group.size,
            open_fraction,
            arrived_at: Instant::now(),
            retry_age: Duration::ZERO,
            remaining: None,
            workspace: Workspace::default(),
        };
        self.refreshed_queue(&mut queues, arrival);
    }

    /// Groups with requests in their backlog.
    pub(crate) fn groups_with_backlog(&self) -> Vec<String> {
        let queues = self.lock();
        let with_backlog = queues
            .iter()
            .filter(|(_, group_queue)| group_queue.queue.backlog_len() > 0);
        with_backlog.map(|(group, _)| group.clone()).collect()
    }

    fn permit(self: &Arc<Self>, group: &str, token: Token) -> Permit {
        Permit {
            _token: token,
            queues: Arc::clone(self),
            group: group.to_owned(),
            admitted_at: Instant::now(),
        }
    }

    /// The queue of the group, with its headroom recomputed if there is a new load report.
    fn refreshed_queue<'d>(
        &self,
        queues: &'d mut HashMap<String, GroupQueue>,
        arrival: Arrival<'_>,
    ) -> &'d mut GroupQueue {
        let group_queue = queues.entry(arrival.group.to_owned()).or_insert_with(GroupQueue::new);
        let group = queue::Group {
            engine: arrival.engine,
            max_pause: arrival.max_pause,
            rank_count: arrival.rank_count,
            open_fraction: arrival.open_fraction,
            entry_count: self.entry_count.load(Ordering::Relaxed),
        };
        let load = self.mesh.group_load(arrival.group);
        group_queue
            .queue
            .refresh(load.as_deref(), &group, group_queue.in_flight(), now());
        group_queue.admit_waiting();
        group_queue
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, GroupQueue>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Arrival<'_> {
    fn request(&self) -> Request {
        Request {
            arrived_at: self.arrived_at.into_std(),
            objective: self.objective,
            max_pause: self.max_pause,
            retry_age: self.retry_age,
            remaining: self.remaining,
            workspace: self.workspace,
        }
    }
}

/// Removes a request from the backlog when it stops waiting for any reason, including cancellation.
struct Guard<'a> {
    queues: &'a Queues,
    group: &'a str,
    ticket: Ticket,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(group_queue) = self.queues.lock().get_mut(self.group) {
            group_queue.queue.cancel(self.ticket);
        }
    }
}

impl Permit {
    /// Records that the stream admitted by this permit has received its first event.
    pub(crate) fn record_first_event(&self) {
        if let Some(group_queue) = self.queues.lock().get_mut(&self.group) {
            group_queue.queue.record_first_event(self.admitted_at.elapsed());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(group_queue) = self.queues.lock().get_mut(&self.group) {
            group_queue.queue.record_end(self.admitted_at.elapsed());
            group_queue.admit_waiting();
        }
    }
}

impl GroupQueue {
    fn new() -> Self {
        Self {
            queue: Queue::new(now()),
            token: Arc::new(()),
        }
    }

    /// Number of admitted requests of this entry that have not finished.
    fn in_flight(&self) -> usize {
        Arc::strong_count(&self.token) - 1
    }

    fn admit(&mut self) -> Token {
        self.queue.admit(now());
        Arc::clone(&self.token)
    }

    fn admit_waiting(&mut self) {
        while let Some(sender) = self.queue.next(now()) {
            // A request that has stopped waiting in the meantime takes no headroom.
            if sender.send(Arc::clone(&self.token)).is_ok() {
                self.queue.admit(now());
            }
        }
    }

    fn log_late_admission(&self, arrival: &Arrival<'_>) {
        let headroom = self.queue.headroom();
        log::info!(target: DECISION, decision = "admit_late", request = arrival.request_id, group = arrival.group, room = headroom.timely, late_room = headroom.late, waiting = self.queue.backlog_len(), waited_ms = arrival.arrived_at.elapsed().as_millis() as u64; "admitted at the end of its wait");
    }

    fn log_refusal(&self, arrival: &Arrival<'_>, expected: Duration, retry: Duration) {
        let queue = &self.queue;
        let headroom = queue.headroom();
        log::info!(target: DECISION, decision = "turn_back", request = arrival.request_id, group = arrival.group, load:? = queue.load_order(), load_age_ms = queue.load_age(now()).as_millis() as u64, room = headroom.timely, late_room = headroom.late, waiting = queue.backlog_len(), waited_ms = arrival.arrived_at.elapsed().as_millis() as u64, expected_ms = expected.as_millis() as u64, retry_ms = retry.as_millis() as u64; "no headroom in the group");
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
