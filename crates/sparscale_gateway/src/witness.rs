//! Watches the processes that send responses without a length.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Incarnation, Instance, TargetStatus};
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::custody::Generation;
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
    /// Framing of the latest responses of each service, to requests for event streams and to others.
    framings: Mutex<HashMap<String, [framing::History; 2]>>,
    /// Whether a target has sent a response without a length. From then on any target may.
    are_needed: AtomicBool,
}

/// What a request needs before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Preparation {
    /// No connection of its own.
    None,
    /// A connection without requests, because its response may have no length.
    Witness,
    /// A new connection, and others that are requested right before and after it, because its response is likely to have no
    /// length.
    Escorts,
}

/// The witnesses of a target when a request was sent.
#[derive(Debug)]
pub(crate) enum Held {
    /// Those that were open, if any.
    Witnesses { hold: Hold, generation: Option<Generation> },
    /// At most one that was being opened, because no target has sent a response without a length so far.
    Opening(Option<Opening>),
}

impl Held {
    /// Records that the request is sent on `connection` in place of another one.
    pub(crate) fn carry(&mut self, connection: &SharedStream) {
        if let Self::Witnesses { hold, .. } = self {
            hold.carry(connection);
        }
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

    /// What a request needs before it is sent.
    pub(crate) fn preparation(&self, instance: &Instance, is_stream: bool) -> Preparation {
        let prediction = {
            let framings = lock(&self.framings);
            let histories = framings.get(&instance.target.service);
            histories.and_then(|histories| histories[usize::from(is_stream)].prediction())
        };
        match prediction {
            None if !self.are_needed.load(Ordering::Relaxed) => Preparation::Witness,
            Some(Framing::Undelimited) if self.lineage(instance).allows_escorts() => Preparation::Escorts,
            _ => Preparation::None,
        }
    }

    /// Records how a response shows where it ends.
    pub(crate) fn record_framing(&self, instance: &Instance, is_stream: bool, framing: Framing) {
        if framing == Framing::Undelimited {
            self.are_needed.store(true, Ordering::Relaxed);
        }
        let mut framings = lock(&self.framings);
        let service = &instance.target.service;
        if let Some(histories) = framings.get_mut(service) {
            histories[usize::from(is_stream)].record(framing);
            return;
        }
        let mut histories = <[framing::History; 2]>::default();
        histories[usize::from(is_stream)].record(framing);
        framings.insert(service.clone(), histories);
    }

    /// Makes sure that there is a witness of a target to which a request is about to be sent on `connection`, which was
    /// requested right after `preceding`.
    pub(crate) async fn prepare(
        &self,
        instance: &Instance,
        connection: &SharedStream,
        preceding: Option<Opening>,
    ) -> Held {
        if !self.are_needed.load(Ordering::Relaxed) {
            return Held::Opening(preceding);
        }
        let mut hold = self.lineage(instance).hold();
        let carrier = hold.carry(connection);
        if let Some(preceding) = preceding {
            tokio::spawn(Arc::clone(hold.lineage()).escort(carrier, preceding));
        }
        let ensured = tokio::time::timeout(PREPARE_TIMEOUT, hold.lineage().ensure()).await;
        let generation = ensured.unwrap_or_default();
        Held::Witnesses { hold, generation }
    }

    /// Watches the process that sends a response on `stream`, whose head has just arrived. `prepared` is from when the
    /// request was sent.
    pub(crate) fn watch(&self, instance: &Instance, stream: SharedStream, prepared: Held) -> ProcessWatch {
        let (hold, generation) = match prepared {
            Held::Witnesses { hold, generation } => (hold, generation),
            Held::Opening(opening) => {
                let mut hold = self.lineage(instance).hold();
                hold.carry(&stream);
                // A connection that was established before the head arrived belongs to the process that sent it.
                let generation = opening.and_then(|opening| hold.lineage().take_established(opening));
                (hold, generation)
            }
        };
        let generation = Arc::new(Mutex::new(generation));
        let lineage = Arc::clone(hold.lineage());
        let task = tokio::spawn(follow(lineage, stream, Arc::clone(&generation)));
        ProcessWatch { hold, generation, task }
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
    generation: Arc<Mutex<Option<Generation>>>,
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
        *lock(&self.generation)
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
