//! Connections to one target that carry no requests and show whether the process that received a request still runs, and
//! the order in which they and the connections with requests end.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future;
use sparscale_catalog::Instance;
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::custody::{Custody, Generation, Link, Need};
use sparscale_policy::termination::{self, Listener};
use sparscale_witness::{EndObserver, Witness};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::{Mutex as AsyncMutex, watch};

use crate::pool::{self, Opening};
use crate::shared_stream::SharedStream;

/// The witnesses of one target.
#[derive(Debug)]
pub(crate) struct Lineage {
    instance: Instance,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Held while a connection is being established.
    establishing: AsyncMutex<()>,
    /// When the latest answered liveness check began. Held during a check.
    last_check: AsyncMutex<Option<Timestamp>>,
    /// Signals that a connection was established or closed.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    custody: Custody,
    witnesses: Vec<(Link, Arc<Witness>)>,
    /// Observes the witnesses and the connections with requests; none if the process has too many open files.
    ends: Option<EndObserver>,
    /// Requests that rely on the witnesses.
    holds: usize,
    last_held_at: Timestamp,
    /// Whether a task maintains the witnesses.
    is_maintained: bool,
    /// Whether the witnesses are kept while none of them is held.
    is_kept: bool,
    /// Since when the roster has listed the target as draining, or not at all.
    departed_at: Option<Timestamp>,
}

impl State {
    /// Records which connections have been closed; returns whether a witness was.
    fn record_closed(&mut self, now: Timestamp) -> bool {
        let Self {
            custody,
            witnesses,
            ends,
            ..
        } = self;
        // Checked before the ends are taken, so that these include what the check shows.
        let closed: Vec<Link> = witnesses
            .iter()
            .filter(|(_, witness)| !witness.is_open())
            .map(|(link, _)| *link)
            .collect();
        let ended = ends.as_ref().map(EndObserver::take_ended).unwrap_or_default();
        for link in ended.into_iter().map(Link::from).chain(closed) {
            custody.close(link, now);
        }
        custody.observe_open(now);
        let count = witnesses.len();
        witnesses.retain(|(link, _)| custody.is_needed(*link));
        witnesses.len() < count
    }

    /// Lets the end of a connection be observed.
    fn observe(&self, observe: impl FnOnce(&EndObserver) -> std::io::Result<()>) {
        let Some(ends) = &self.ends else { return };
        if let Err(error) = observe(ends) {
            log::debug!(error = error.to_string().as_str(); "the order in which a connection to a target ends is not observed");
        }
    }
}

impl Lineage {
    pub(crate) fn new(instance: Instance, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let ends = EndObserver::new().inspect_err(|error| {
            log::warn!(error = error.to_string().as_str(); "the order in which connections to a target end cannot be observed");
        });
        Self {
            instance,
            clock,
            state: Mutex::new(State {
                custody: Custody::default(),
                witnesses: Vec::new(),
                ends: ends.ok(),
                holds: 0,
                last_held_at: now,
                is_maintained: false,
                is_kept: true,
                departed_at: None,
            }),
            establishing: AsyncMutex::default(),
            last_check: AsyncMutex::default(),
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
        Hold {
            lineage: Arc::clone(self),
            carrier: None,
        }
    }

    /// Records that `stream` carries a request.
    fn carry(&self, stream: &SharedStream) -> Link {
        let mut state = self.refresh();
        let carrier = state.custody.carry(self.clock.now());
        state.observe(|ends| stream.observe_end(ends, carrier.into()));
        carrier
    }

    /// Whether escorts are likely to stay open until a response ends.
    pub(crate) fn allows_escorts(&self) -> bool {
        self.lock().custody.allows_escorts()
    }

    /// Opens a connection right after that of `carrier`, and uses it and `preceding` to show in which order they end.
    pub(crate) async fn escort(self: Arc<Self>, carrier: Link, preceding: Opening) {
        let following = Opening::start(self.instance.target.address, &*self.clock);
        for escort in [preceding, following] {
            match escort.opening.await {
                Ok(stream) => {
                    let escort = |custody: &mut Custody, now| custody.escort(carrier, escort.started_at, now);
                    self.add(&mut self.refresh(), stream, escort);
                }
                Err(error) => {
                    log::debug!(target = self.instance.target.id.as_str(), error = error.to_string().as_str(); "a response has no connection that shows in which order it ends");
                }
            }
        }
    }

    /// Closes the witnesses once none of them is held.
    pub(crate) fn close(&self) {
        self.lock().is_kept = false;
        self.changes.send_replace(());
    }

    /// Records whether the roster lists the target as one that leaves.
    pub(crate) fn record_departure(&self, is_leaving: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.departed_at = is_leaving.then(|| state.departed_at.unwrap_or(now));
    }

    /// Since when the roster has listed the target as one that leaves; none if it doesn't.
    pub(crate) fn departed_at(&self) -> Option<Timestamp> {
        self.lock().departed_at
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

    /// Whether the witnesses show by themselves that the process of generation `held` still ran when it ended `carrier`.
    pub(crate) fn is_proved(&self, held: Option<Generation>, carrier: Link) -> bool {
        self.refresh().custody.is_proved(held, carrier, self.clock.now())
    }

    /// Whether witnesses of generation `held` are open.
    pub(crate) fn is_held(&self, held: Option<Generation>) -> bool {
        self.refresh().custody.is_held(held)
    }

    /// Time in which the ends of all connections that a terminating process closes together arrive.
    pub(crate) fn delivery_time(&self) -> Duration {
        self.lock().custody.delivery_time()
    }

    /// Whether the process of generation `held` ended the connection `carrier` while it was running, and terminated
    /// afterwards.
    pub(crate) fn is_ended_before_process(&self, held: Option<Generation>, carrier: Link) -> bool {
        self.refresh().custody.is_ended_before_process(held, carrier)
    }

    /// Age of the oldest open witness.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().custody.age(self.clock.now())
    }

    /// Uses a connection that was opened before a request was sent, if it is established by now and still open. Returns its
    /// generation.
    pub(crate) fn take_established(&self, opening: Opening) -> Option<Generation> {
        let Opening { started_at, opening } = opening;
        let stream = opening.now_or_never()?.ok()?;
        let link = self.add(&mut self.refresh(), stream, |custody, now| {
            custody.establish(started_at, now)
        })?;
        let state = self.refresh();
        state.custody.current().filter(|_| state.custody.is_needed(link))
    }

    /// Uses a connection that was established after `started_at`, if there is no witness; otherwise returns it.
    pub(crate) fn offer(&self, stream: TcpStream, started_at: Timestamp) -> Option<TcpStream> {
        let mut state = self.refresh();
        if state.custody.current().is_some() {
            return Some(stream);
        }
        self.add(&mut state, stream, |custody, now| custody.establish(started_at, now));
        None
    }

    /// Checks whether a process at the address of the target still runs after `time`. A terminating process accepts no
    /// connections, but its kernel does until all others are closed. So the connection is half-closed: a running process
    /// closes it, too. Responses that end at the same time share a check.
    pub(crate) async fn check_liveness(&self, time: Timestamp) -> Listener {
        let mut last_check = self.last_check.lock().await;
        if last_check.is_some_and(|began_at| began_at >= time) {
            return Listener::Answers;
        }
        let began_at = self.clock.now();
        let mut stream = match pool::open_stream(self.instance.target.address).await {
            Ok(stream) => stream,
            Err(error) if error.is_refused() => return Listener::Refuses,
            Err(_) => return Listener::Unreachable,
        };
        let answer = async {
            stream.shutdown().await?;
            stream.read(&mut [0]).await
        };
        match answer.await {
            Ok(_) => {
                *last_check = Some(began_at);
                Listener::Answers
            }
            Err(_reset) => Listener::Unreachable,
        }
    }

    /// Signals each change of the witnesses.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Uses a connection as a witness if `establish` records it.
    fn add(
        &self,
        state: &mut State,
        stream: TcpStream,
        establish: impl FnOnce(&mut Custody, Timestamp) -> Option<Link>,
    ) -> Option<Link> {
        let link = establish(&mut state.custody, self.clock.now())?;
        state.observe(|ends| ends.observe(&stream, link.into()));
        let State { custody, witnesses, .. } = state;
        witnesses.push((link, Arc::new(Witness::new(stream))));
        witnesses.retain(|(link, _)| custody.is_needed(*link));
        self.changes.send_replace(());
        Some(link)
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
            Ok(stream) => {
                self.add(&mut self.refresh(), stream, |custody, now| {
                    custody.establish(started_at, now)
                });
            }
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
        let needed_at = match need {
            Need::Now => {
                lineage.establish_if_needed(Custody::need).await;
                continue;
            }
            Need::At(due_at) => Some(due_at),
            Need::AfterClose => None,
        };
        let confirmable_at = lineage.lock().custody.confirmable_at();
        let due_at = [needed_at, confirmable_at].into_iter().flatten().min();
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

/// Keeps the witnesses of a target maintained during a request.
#[derive(Debug)]
pub(crate) struct Hold {
    lineage: Arc<Lineage>,
    /// The connection of the request, once it is known.
    carrier: Option<Link>,
}

impl Hold {
    pub(crate) fn lineage(&self) -> &Arc<Lineage> {
        &self.lineage
    }

    /// The connection of the request, if it was recorded.
    pub(crate) fn carrier(&self) -> Option<Link> {
        self.carrier
    }

    /// Records that `stream` carries the request, in place of any other connection.
    pub(crate) fn carry(&mut self, stream: &SharedStream) -> Link {
        let carrier = self.lineage.carry(stream);
        if let Some(earlier) = self.carrier.replace(carrier) {
            self.lineage.lock().custody.release(earlier);
        }
        carrier
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.lineage.lock();
        if let Some(carrier) = self.carrier {
            state.custody.release(carrier);
        }
        state.holds -= 1;
        state.last_held_at = self.lineage.clock.now();
    }
}
