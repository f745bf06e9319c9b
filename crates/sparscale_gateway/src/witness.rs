//! Watches the processes that send responses without a length.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Incarnation, Instance, TargetStatus};
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::custody::{Generation, Head};
use sparscale_policy::framing::{self, Framing};
use sparscale_policy::termination::{self, Listener};
use sparscale_witness::ReceiveState;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::lineage::{Hold, Lineage};
use crate::pool::Opening;
use crate::shared_stream::SharedStream;

/// Time until a connection is checked again on which bytes have arrived that are not read yet.
const UNREAD_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Time in which the kernel of a target delivers what the target has sent, if this process takes it.
const DELIVERY_TIME: Duration = Duration::from_millis(10);
/// Time that a request waits for a witness of its target.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(30);
/// Most targets for which witnesses are kept between two responses; up to two file descriptors each.
const MAX_KEPT_LINEAGES: usize = 128;

/// Witnesses of targets that may send responses without a length, kept for their next responses.
#[derive(Debug)]
pub(crate) struct Witnesses {
    clock: Arc<dyn Clock>,
    by_target: Mutex<HashMap<Incarnation, Arc<Lineage>>>,
    /// Framing of the latest responses, by service and whether the request was for an event stream.
    framings: Mutex<HashMap<(String, bool), framing::History>>,
    /// Whether a target has sent a response without a length. From then on any target may.
    are_needed: AtomicBool,
}

/// The witnesses of a target that were open when a request was sent.
#[derive(Debug)]
pub(crate) struct Held {
    hold: Hold,
    generation: Option<Generation>,
}

/// A response without a length whose head has arrived.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) stream: SharedStream,
    /// Whether the head may have arrived much earlier than it was read.
    pub(crate) is_old: bool,
}

impl Held {
    /// Records that the request is sent on `connection` in place of another one.
    pub(crate) fn carry(&mut self, connection: &SharedStream) {
        self.hold.carry(connection);
    }
}

impl Witnesses {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            by_target: Mutex::default(),
            framings: Mutex::default(),
            are_needed: AtomicBool::new(false),
        }
    }

    /// Whether the connection of a request should have escorts, because its response is likely to have no length.
    pub(crate) fn needs_escorts(&self, instance: &Instance, is_stream: bool) -> bool {
        if !self.are_needed.load(Ordering::Relaxed) {
            return false;
        }
        let kind = (instance.target.service.clone(), is_stream);
        let prediction = lock(&self.framings).get(&kind).map(framing::History::prediction);
        prediction == Some(Framing::Undelimited) && self.lineage(instance).allows_escorts()
    }

    /// Records how a response shows where it ends.
    pub(crate) fn record_framing(&self, instance: &Instance, is_stream: bool, framing: Framing) {
        if framing == Framing::Undelimited {
            self.are_needed.store(true, Ordering::Relaxed);
        } else if !self.are_needed.load(Ordering::Relaxed) {
            return;
        }
        let kind = (instance.target.service.clone(), is_stream);
        lock(&self.framings).entry(kind).or_default().record(framing);
    }

    /// Makes sure that there is a witness of a target to which a request is about to be sent on `connection`, which was
    /// requested right after `preceding`; none if no target sends responses without a length.
    pub(crate) async fn prepare(
        &self,
        instance: &Instance,
        connection: &SharedStream,
        preceding: Option<Opening>,
    ) -> Option<Held> {
        if !self.are_needed.load(Ordering::Relaxed) {
            return None;
        }
        let mut hold = self.lineage(instance).hold();
        let carrier = hold.carry(connection);
        if let Some(preceding) = preceding {
            tokio::spawn(Arc::clone(hold.lineage()).escort(carrier, preceding));
        }
        let ensured = tokio::time::timeout(PREPARE_TIMEOUT, hold.lineage().ensure()).await;
        let generation = ensured.unwrap_or_default();
        Some(Held { hold, generation })
    }

    /// Watches the process that sends a response. `prepared` are the witnesses from when the request was sent.
    pub(crate) fn watch(&self, instance: &Instance, response: Begun, prepared: Option<Held>) -> ProcessWatch {
        let lineage = prepared.as_ref().map_or_else(
            || self.lineage(instance),
            |prepared| Arc::clone(prepared.hold.lineage()),
        );
        let begun = (!response.is_old).then(|| lineage.head());
        let Held { mut hold, generation } = prepared.unwrap_or_else(|| Held {
            hold: lineage.hold(),
            generation: None,
        });
        if hold.carrier().is_none() {
            hold.carry(&response.stream);
        }
        let held = Arc::new(Mutex::new(generation));
        let task = tokio::spawn(follow(lineage, response.stream, Arc::clone(&held)));
        ProcessWatch {
            hold,
            held,
            begun,
            task,
        }
    }

    /// Uses a connection that was requested at `started_at` as the witness of a target without one; otherwise returns it.
    pub(crate) fn offer(&self, instance: &Instance, stream: TcpStream, started_at: Timestamp) -> Option<TcpStream> {
        self.lineage(instance).offer(stream, started_at)
    }

    /// Records which targets leave, and closes the witnesses of those that are no longer listed.
    pub(crate) fn retain(&self, targets: &Directory) {
        lock(&self.by_target).retain(|target, lineage| {
            let listed = targets.find(*target);
            lineage.record_departure(listed.is_none_or(|listed| listed.target.status == TargetStatus::Draining));
            if listed.is_none() {
                lineage.close();
            }
            listed.is_some()
        });
    }

    /// The lineage of a target; if there are too many, in place of the one that was not held for longest.
    fn lineage(&self, instance: &Instance) -> Arc<Lineage> {
        let mut by_target = lock(&self.by_target);
        if let Some(lineage) = by_target.get(&instance.key) {
            return Arc::clone(lineage);
        }
        if by_target.len() >= MAX_KEPT_LINEAGES {
            let unheld = by_target
                .iter()
                .filter_map(|(target, lineage)| Some((lineage.unheld_since()?, *target)));
            let oldest = unheld.min_by_key(|(since, _)| *since).map(|(_, target)| target);
            if let Some(lineage) = oldest.and_then(|target| by_target.remove(&target)) {
                lineage.close();
            }
        }
        let lineage = Arc::new(Lineage::new(instance.clone(), Arc::clone(&self.clock)));
        by_target.insert(instance.key, Arc::clone(&lineage));
        lineage
    }
}

/// Follows the process that sends one response.
#[derive(Debug)]
pub(crate) struct ProcessWatch {
    hold: Hold,
    /// The witnesses that belong to the process, once that is known.
    held: Arc<Mutex<Option<Generation>>>,
    /// When the head arrived, if that is known.
    begun: Option<Head>,
    task: JoinHandle<()>,
}

impl ProcessWatch {
    /// Age of the oldest open witness of the target.
    pub(crate) fn witness_age(&self) -> Option<Duration> {
        self.hold.lineage().age()
    }

    /// Since when the roster has listed the target as one that leaves; none if it doesn't.
    pub(crate) fn departed_at(&self) -> Option<Timestamp> {
        self.hold.lineage().departed_at()
    }

    /// Time in which the ends of all connections that a terminating process closes together arrive.
    pub(crate) fn delivery_time(&self) -> Duration {
        self.hold.lineage().delivery_time()
    }

    /// Whether the witnesses show by themselves that the process still ran when it ended the response.
    pub(crate) fn is_proved(&self) -> bool {
        let is_proved = |carrier| self.hold.lineage().is_proved(self.generation(), carrier);
        self.hold.carrier().is_some_and(is_proved)
    }

    /// Whether witnesses of the process are open.
    pub(crate) fn is_held(&self) -> bool {
        self.hold.lineage().is_held(self.generation())
    }

    /// Checks whether a process at the address of the target still runs after `time`.
    pub(crate) async fn check_liveness(&self, time: Timestamp) -> Listener {
        self.hold.lineage().check_liveness(time).await
    }

    /// Returns once no witness of the process is open.
    pub(crate) async fn wait_lost(&self) {
        let mut changes = self.hold.lineage().changes();
        while self.is_held() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns once the witnesses show whether the process is terminating.
    pub(crate) async fn settle(&self) {
        self.hold.lineage().settle().await;
    }

    /// State of the witnesses of the process after the response ended at `ended_at`.
    pub(crate) fn state(&self, ended_at: Timestamp) -> termination::Witness {
        let lineage = self.hold.lineage();
        let held = self.generation();
        let is_earlier = |carrier| lineage.is_ended_before_process(held, carrier);
        if self.hold.carrier().is_some_and(is_earlier) {
            return termination::Witness::ClosedLater;
        }
        lineage.witness(held, ended_at)
    }

    /// The witnesses that belong to the process, as far as that is known.
    fn generation(&self) -> Option<Generation> {
        let begun_with = || self.begun.and_then(|head| self.hold.lineage().begun_with(head));
        (*lock(&self.held)).or_else(begun_with)
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps in `held` which witnesses belong to the process that sends a response, until the response ends.
async fn follow(lineage: Arc<Lineage>, response: SharedStream, held: Arc<Mutex<Option<Generation>>>) {
    let mut changes = lineage.changes();
    loop {
        changes.mark_unchanged();
        let current = lineage.current();
        if current.is_some() && *lock(&held) != current {
            if !is_sending(&response).await {
                return;
            }
            *lock(&held) = current;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Whether the process at the other end of a connection runs: the connection is open although all that was sent has been
/// read. Waits for that. As long as bytes are unread, the process may have terminated after it sent them.
async fn is_sending(response: &SharedStream) -> bool {
    loop {
        let received_bytes = response.received_bytes();
        match response.receive_state() {
            ReceiveState::Closed | ReceiveState::Broken => return false,
            ReceiveState::Readable => tokio::time::sleep(UNREAD_RETRY_DELAY).await,
            ReceiveState::Idle => {
                tokio::time::sleep(DELIVERY_TIME).await;
                if response.receive_state() == ReceiveState::Idle && response.received_bytes() == received_bytes {
                    return true;
                }
            }
        }
    }
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
