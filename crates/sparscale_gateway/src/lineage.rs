//! Connections to one target that carry no requests and show whether the process that received a request still runs.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future;
use sparscale_catalog::Instance;
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::custody::{Custody, Generation, Head, Link, Need};
use sparscale_policy::termination;
use sparscale_witness::Witness;
use tokio::net::TcpStream;
use tokio::sync::{Mutex as AsyncMutex, watch};

use crate::pool;

/// The witnesses of one target.
#[derive(Debug)]
pub(crate) struct Lineage {
    instance: Instance,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Held while a connection is being established.
    establishing: AsyncMutex<()>,
    /// Signals that a connection was established or closed.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    custody: Custody,
    witnesses: Vec<(Link, Arc<Witness>)>,
    /// Requests that rely on the witnesses.
    holds: usize,
    last_held_at: Timestamp,
    /// Whether a task maintains the witnesses.
    is_maintained: bool,
    /// Whether the witnesses are kept while none of them is held.
    is_kept: bool,
}

impl State {
    /// Records which connections have been closed; returns whether any was.
    fn record_closed(&mut self, now: Timestamp) -> bool {
        let Self { custody, witnesses, .. } = self;
        let count = witnesses.len();
        witnesses.retain(|(link, witness)| {
            let is_open = witness.is_open();
            if !is_open {
                custody.close(*link, now);
            }
            is_open
        });
        witnesses.len() < count
    }
}

impl Lineage {
    pub(crate) fn new(instance: Instance, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            instance,
            clock,
            state: Mutex::new(State {
                custody: Custody::default(),
                witnesses: Vec::new(),
                holds: 0,
                last_held_at: now,
                is_maintained: false,
                is_kept: true,
            }),
            establishing: AsyncMutex::default(),
            changes: watch::Sender::default(),
        }
    }

    /// Maintains the witnesses until the result is dropped.
    pub(crate) fn hold(self: &Arc<Self>) -> Hold {
        let mut state = self.lock();
        state.holds += 1;
        state.last_held_at = self.clock.now();
        if !state.is_maintained {
            state.is_maintained = true;
            tokio::spawn(maintain(Arc::clone(self)));
        } else if state.holds == 1 {
            self.changes.send_replace(());
        }
        drop(state);
        Hold(Arc::clone(self))
    }

    /// Closes the witnesses once none of them is held.
    pub(crate) fn close(&self) {
        self.lock().is_kept = false;
        self.changes.send_replace(());
    }

    /// What the maintaining task does next; none if it ends.
    fn plan_upkeep(&self, now: Timestamp) -> Option<Need> {
        let mut state = self.refresh();
        if state.holds > 0 {
            return Some(state.custody.need(now));
        }
        if state.is_kept && !state.witnesses.is_empty() {
            return Some(Need::AfterClose);
        }
        state.witnesses.clear();
        state.is_maintained = false;
        None
    }

    /// When the witnesses were last held; none while they are.
    pub(crate) fn unheld_since(&self) -> Option<Timestamp> {
        let state = self.lock();
        (state.holds == 0).then_some(state.last_held_at)
    }

    /// The generation of the open witnesses.
    pub(crate) fn current(&self) -> Option<Generation> {
        self.refresh().custody.current()
    }

    /// The generation of the open witnesses, once one was established for a request that is about to be sent.
    pub(crate) async fn ensure(&self) -> Option<Generation> {
        self.establish_if_needed(Custody::need_for_request).await;
        self.current()
    }

    /// The moment at which the head of a response arrives.
    pub(crate) fn head(&self) -> Head {
        self.lock().custody.head(self.clock.now())
    }

    /// The generation that began with a response whose head arrived at `head`.
    pub(crate) fn begun_with(&self, head: Head) -> Option<Generation> {
        self.refresh().custody.begun_with(head)
    }

    /// Returns once no witness was closed for so long that the process would have closed the others, too.
    pub(crate) async fn settle(&self) {
        loop {
            let now = self.clock.now();
            let Some(settled_at) = self.refresh().custody.unsettled_until(now) else {
                return;
            };
            tokio::time::sleep(settled_at.since(now)).await;
        }
    }

    /// What the witnesses of generation `held` show after a response ended at `ended_at`.
    pub(crate) fn witness(&self, held: Option<Generation>, ended_at: Timestamp) -> termination::Witness {
        self.refresh().custody.witness(held, ended_at, self.clock.now())
    }

    /// Age of the oldest open witness.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().custody.age(self.clock.now())
    }

    /// Uses a connection that was established after `started_at`, if there is no witness; otherwise returns it.
    pub(crate) fn offer(&self, stream: TcpStream, started_at: Timestamp) -> Option<TcpStream> {
        let mut state = self.refresh();
        if state.custody.current().is_some() {
            return Some(stream);
        }
        self.add(&mut state, stream, started_at);
        None
    }

    /// Signals each change of the witnesses.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn add(&self, state: &mut State, stream: TcpStream, started_at: Timestamp) {
        if let Some(link) = state.custody.establish(started_at, self.clock.now()) {
            let State { custody, witnesses, .. } = state;
            witnesses.push((link, Arc::new(Witness::new(stream))));
            witnesses.retain(|(link, _)| custody.is_needed(*link));
            self.changes.send_replace(());
        }
    }

    /// Establishes a connection if it is needed now.
    async fn establish_if_needed(&self, need: impl Fn(&Custody, Timestamp) -> Need) {
        let is_needed = || need(&self.refresh().custody, self.clock.now()) == Need::Now;
        if !is_needed() {
            return;
        }
        let _establishing = self.establishing.lock().await;
        if !is_needed() {
            return;
        }
        let started_at = self.clock.now();
        match pool::open_stream(self.instance.target.address).await {
            // Whether older connections are open is checked only now: the new one may belong to the next process.
            Ok(stream) => self.add(&mut self.refresh(), stream, started_at),
            Err(error) => {
                self.lock().custody.fail(self.clock.now());
                log::debug!(target = self.instance.target.id.as_str(), error = error.to_string().as_str(); "no connection that shows whether the process of the target still runs");
            }
        }
    }

    /// Returns once a witness is closed; never if there is none.
    async fn wait_closed(&self) {
        let witnesses = self.lock().witnesses.clone();
        if witnesses.is_empty() {
            return future::pending().await;
        }
        let closed: Vec<Pin<Box<dyn Future<Output = ()> + Send>>> = witnesses
            .into_iter()
            .map(|(_, witness)| Box::pin(async move { witness.wait_closed().await }) as _)
            .collect();
        future::select_all(closed).await;
    }

    /// The state, in which all connections that have been closed are recorded.
    fn refresh(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        if state.record_closed(self.clock.now()) {
            self.changes.send_replace(());
        }
        state
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maintains the witnesses while they are held, and closes those that their target closes, until there are none.
async fn maintain(lineage: Arc<Lineage>) {
    let mut changes = lineage.changes();
    loop {
        changes.mark_unchanged();
        let now = lineage.clock.now();
        let Some(need) = lineage.plan_upkeep(now) else {
            return;
        };
        let due_at = match need {
            Need::Now => {
                lineage.establish_if_needed(Custody::need).await;
                continue;
            }
            Need::At(due_at) => Some(due_at),
            Need::AfterClose => None,
        };
        let due = async {
            match due_at {
                Some(due_at) => tokio::time::sleep(due_at.since(now)).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = lineage.wait_closed() => {}
            _ = changes.changed() => {}
        }
    }
}

/// Keeps the witnesses of a target maintained.
#[derive(Debug)]
pub(crate) struct Hold(Arc<Lineage>);

impl Hold {
    pub(crate) fn lineage(&self) -> &Arc<Lineage> {
        &self.0
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.holds -= 1;
        state.last_held_at = self.0.clock.now();
    }
}
