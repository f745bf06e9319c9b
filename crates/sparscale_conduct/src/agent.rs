//! The agent of one rank: reads the rank's state and counts, carries out orders and reports to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Order, Report, View};
use sparscale_telemetry::DECISION;
use sparscale_wire::{map, rank};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::bandwidth::Bandwidth;
use crate::engine::{Engine, EngineState, Engines, SelectionCounts};
use crate::handle::{Assignment, Command, Handle, LeaderObservation, Subscriber, UPDATE_QUEUE_LEN};
use crate::maps::MapCache;
use crate::metrics::Metrics;
use crate::reporter::CountReporter;
use crate::timing::GroupTiming;

/// Interval between two polls of the engine during a map switch, while it loads experts (a tenth of a second each) or
/// is armed for the next map, because the leader waits for both. With polls 100 ms apart the next map was seen 67 and
/// 84 ms after the release of the group. Polls stay on this box; the leader only receives changes.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(12);
/// Interval between two reports of expert selection counts.
const COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts per order. An engine that does not answer may still carry out the order later; every order is idempotent.
const MAX_ATTEMPTS: u32 = 4;

/// State of the agent of one rank.
struct Agent {
    engine: Box<dyn Engine>,
    engines: Arc<dyn Engines>,
    bandwidth: Bandwidth,
    metrics: Metrics,
    subscriber: Option<Subscriber>,
    state: watch::Sender<Option<EngineState>>,
    /// Group and rank that the engine reported last.
    last_identity: Option<(String, usize)>,
    /// Start time of the engine's current process, if it reported one.
    born_ms: Option<u64>,
    leader: watch::Sender<LeaderObservation>,
    last_counts: Option<(SelectionCounts, Instant)>,
    reported_map: Option<(u64, u64)>,
    /// State that was last reported to the leader, and when.
    reported_state: Option<(Option<View>, Instant)>,
    /// Serial of the last completed order.
    completed_serial: u64,
    staging_map: Option<u64>,
    /// Answer to the last order, if the update that carried it did not fit into the leader's queue.
    unsent_answer: Option<Answer>,
    cache: MapCache,
}

/// Starts the agent of the rank whose engine is at `engine`.
pub(crate) fn start(engines: Arc<dyn Engines>, engine: SocketAddr, bandwidth: Bandwidth, metrics: Metrics) -> Handle {
    let (commands, received_commands) = mpsc::channel(UPDATE_QUEUE_LEN);
    let (subscribers, received_subscribers) = mpsc::channel(UPDATE_QUEUE_LEN);
    let state = watch::Sender::new(None);
    let leader = watch::Sender::new(LeaderObservation {
        claim: None,
        last_seen: Instant::now(),
    });
    let handle = Handle {
        commands,
        subscribers,
        state: state.subscribe(),
        leader: leader.subscribe(),
        started_at: Instant::now(),
    };
    let agent = Agent {
        engine: engines.at(engine),
        engines,
        bandwidth,
        metrics,
        subscriber: None,
        state,
        last_identity: None,
        born_ms: None,
        leader,
        last_counts: None,
        reported_map: None,
        reported_state: None,
        completed_serial: 0,
        staging_map: None,
        unsent_answer: None,
        cache: MapCache::default(),
    };
    tokio::spawn(agent.run(received_commands, received_subscribers));
    handle
}

impl Agent {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, mut subscribers: mpsc::Receiver<Subscriber>) {
        let mut next_poll = Instant::now();
        loop {
            tokio::select! {
                biased;
                // Subscriptions come before orders: the answer to an order that arrives together with its stream would
                // have no receiver, and the leader would wait for the limit of an order, 2.4 s at 129 ranks.
                Some(subscriber) = subscribers.recv() => self.subscribe(subscriber).await,
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                () = tokio::time::sleep_until(next_poll) => {
                    self.poll_engine().await;
                    let interval =
                        if self.is_changing() { SWITCH_POLL_INTERVAL } else { self.timing().state_interval() };
                    next_poll = Instant::now() + interval;
                    continue;
                }
            }
            if self.is_changing() {
                next_poll = next_poll.min(Instant::now() + SWITCH_POLL_INTERVAL);
            }
        }
    }

    /// Accepts the subscription of the leader with the highest claim, which first receives everything known.
    async fn subscribe(&mut self, subscriber: Subscriber) {
        if !self.is_addressed_rank(&subscriber.assignment).await {
            return;
        }
        if !self.accept_leader(subscriber.assignment.claim) {
            let claim = self.leader.borrow().claim.unwrap_or_default();
            // A leader that does not read its updates has terminated.
            let _gone = subscriber.updates.try_send(rank::Update::Superseded { claim });
            return;
        }
        self.subscriber = Some(subscriber);
        self.reported_map = None;
        self.reported_state = None;
        self.last_counts = None;
        self.poll_engine().await;
    }

    /// Whether the engine is the rank for which the leader takes it. A list of targets may be older than a change of
    /// ranks or contain entries of another writer; orders and reports would then be taken for those of another rank. An
    /// unresponsive engine counts as the rank that it was last.
    async fn is_addressed_rank(&mut self, assignment: &Assignment) -> bool {
        if self.state.borrow().is_none() {
            let state = self.engine.state().await.ok();
            self.report_state(state, None);
        }
        let state = self.state.borrow();
        let rank = state.as_ref().map(|state| (state.group.as_deref(), state.rank));
        let rank = rank.or_else(|| {
            self.last_identity
                .as_ref()
                .map(|(group, rank)| (Some(group.as_str()), *rank))
        });
        let is_addressed = rank == Some((Some(assignment.group.as_str()), assignment.rank));
        if !is_addressed {
            log::info!(target: DECISION, decision = "not_meant", group = assignment.group.as_str(), rank = assignment.rank, claim = assignment.claim, is:? = rank; "rejected a leader that expects another rank");
        }
        is_addressed
    }

    /// Whether the leader with this claim leads the rank; the first message of a higher claim replaces the leader.
    fn accept_leader(&mut self, claim: u64) -> bool {
        let highest = self.leader.borrow().claim;
        if highest.is_some_and(|highest| claim < highest) {
            return false;
        }
        if highest != Some(claim) {
            log::info!(target: DECISION, decision = "led", claim, before = highest; "accepted a new leader");
            self.subscriber = None;
            self.completed_serial = 0;
            self.staging_map = None;
            self.unsent_answer = None;
        }
        self.leader.send_replace(LeaderObservation {
            claim: Some(claim),
            last_seen: Instant::now(),
        });
        true
    }

    async fn handle_command(&mut self, command: Command) {
        if !self.is_addressed_rank(&command.assignment).await || !self.accept_leader(command.assignment.claim) {
            return;
        }
        match command.order {
            rank::Order::Heartbeat => {}
            rank::Order::ToRank { order, map } => self.carry_out(command.assignment.claim, order, map).await,
            rank::Order::Delegation { order, engine } => self.carry_out_delegated(order, engine),
        }
    }

    /// Carries out an order to another engine in a task of its own, so that it and the orders of this rank do not delay
    /// each other.
    fn carry_out_delegated(&self, order: Order, engine: SocketAddr) {
        let mut engine = self.engines.at(engine);
        let updates = self.subscriber.as_ref().map(|subscriber| subscriber.updates.clone());
        tokio::spawn(async move {
            let answer = engine.order(&order, None).await;
            log::info!(target: DECISION, decision = "delegation", fence = order.fence, act:? = order.act, answer:? = answer; "carried out a delegated order");
            if let Some(updates) = updates {
                // A leader that has terminated does not wait for the answer.
                let _gone = updates
                    .send(rank::Update::Delegation {
                        serial: order.serial,
                        answer,
                    })
                    .await;
            }
        });
    }

    async fn carry_out(&mut self, claim: u64, order: Order, update: Option<map::Update>) {
        let answer = match order.act {
            Act::Look => Answer::Done,
            Act::Stage { number } => match update.and_then(|update| self.cache.apply(number, update)) {
                Some(map) => self.send_with_retries(&order, Some(&map)).await,
                // The leader assumes a map that this agent does not have; it sends the whole map next time.
                None => Answer::Refused,
            },
            _ => self.send_with_retries(&order, None).await,
        };
        self.completed_serial = order.serial;
        if let (Act::Stage { number }, Answer::Done) = (order.act, answer) {
            self.staging_map = Some(number);
        }
        let state = self.engine.state().await.ok();
        self.metrics.record_order(&order.act, answer);
        if order.act != Act::Look {
            log::info!(target: DECISION, decision = "order", claim, fence = order.fence, epoch = order.epoch, act:? = order.act, answer:? = answer, step = state.as_ref().map(|state| state.view.step); "carried out an order");
        }
        self.report_state(state, Some(answer));
    }

    /// Sends an order until it is answered; repeating it is safe because every order is idempotent.
    async fn send_with_retries(&mut self, order: &Order, map: Option<&Map>) -> Answer {
        let mut answer = Answer::Silent;
        for _ in 0..MAX_ATTEMPTS {
            answer = self.engine.order(order, map).await;
            if answer != Answer::Silent {
                break;
            }
        }
        answer
    }

    /// Message intervals and time limits of the group.
    fn timing(&self) -> GroupTiming {
        GroupTiming::new(self.state.borrow().as_ref().map_or(1, |state| state.size))
    }

    /// Whether the rank loads experts or is armed for another map.
    fn is_changing(&self) -> bool {
        let is_armed = |state: &EngineState| state.view.armed.is_some();
        self.staging_map.is_some() || self.state.borrow().as_ref().is_some_and(is_armed)
    }

    /// Reads the state of the rank and reports what has changed.
    async fn poll_engine(&mut self) {
        let state = match self.engine.state().await {
            Ok(state) => Some(state),
            Err(error) => {
                log::debug!(error = error.to_string().as_str(); "failed to read the state of the engine");
                None
            }
        };
        let staged = state.as_ref().and_then(|state| state.view.staged);
        if self.staging_map.is_some() && (staged == self.staging_map || state.is_none()) {
            self.staging_map = None;
        }
        let is_staging = self.staging_map.is_some();
        let map = state.as_ref().map(|state| (state.view.epoch, state.view.map));
        self.report_state(state, None);
        if self.subscriber.is_none() {
            return;
        }
        if !is_staging && map.is_some() && map != self.reported_map {
            self.report_held_experts().await;
        }
        // Counts are reported during a map switch, too: the next decision needs the demand at its end.
        if self.reports_counts() && self.counts_due() {
            self.report_selections().await;
        }
    }

    /// Whether counts are due: the engine is polled more often than that during a map switch.
    fn counts_due(&self) -> bool {
        let read_at = self.last_counts.as_ref().map(|(_, at)| *at);
        read_at.is_none_or(|at| at.elapsed() + SWITCH_POLL_INTERVAL > COUNTS_INTERVAL)
    }

    /// Whether this rank reports counts. The first ones are read in any case, to learn how many values there are.
    fn reports_counts(&self) -> bool {
        let state = self.state.borrow();
        let (Some(state), Some((counts, _))) = (state.as_ref(), self.last_counts.as_ref()) else {
            return true;
        };
        let reporter = CountReporter {
            rank: state.rank,
            size: state.size,
        };
        reporter.reports_counts(counts.selections.len(), self.bandwidth.counts_per_round())
    }

    fn report_state(&mut self, state: Option<EngineState>, answer: Option<Answer>) {
        let answer = answer.or(self.unsent_answer.take());
        let report = Report {
            serial: self.completed_serial,
            answer,
            view: state.as_ref().map(|state| state.view),
        };
        let load = state.as_ref().map(|state| state.load);
        if let Some(state) = &state {
            self.record_engine_start(state);
        }
        self.state.send_replace(state);
        if answer.is_none() && !self.should_report(report.view) {
            return;
        }
        self.reported_state = Some((report.view.map(without_step), Instant::now()));
        if !self.send_update(rank::Update::Report { report, load }) {
            self.unsent_answer = answer;
        }
    }

    /// Whether to report this state: anything but the step has changed, or the last report is too old.
    fn should_report(&self, view: Option<View>) -> bool {
        let Some((reported, at)) = self.reported_state else {
            return true;
        };
        reported != view.map(without_step) || at.elapsed() + SWITCH_POLL_INTERVAL > self.timing().state_interval()
    }

    /// Resets what was known of the engine's previous process, which its successor has lost. If the engine is another
    /// rank now, the subscription ends, because another link leads that rank.
    fn record_engine_start(&mut self, state: &EngineState) {
        if self.born_ms != state.born_ms {
            log::info!(target: DECISION, decision = "engine_started", before = self.born_ms, born_ms = state.born_ms, rank = state.rank; "the engine has started");
            self.born_ms = state.born_ms;
            self.staging_map = None;
            self.last_counts = None;
            self.reported_map = None;
        }
        let rank_changed =
            |subscriber: &Subscriber| !state.is_rank(&subscriber.assignment.group, subscriber.assignment.rank);
        if self.subscriber.as_ref().is_some_and(rank_changed) {
            self.subscriber = None;
        }
        self.last_identity = state.group.clone().map(|group| (group, state.rank));
    }

    async fn report_held_experts(&mut self) {
        let Ok(held) = self.engine.held_experts().await else {
            return;
        };
        let reported = (held.epoch, held.number);
        let placement = rank::Experts {
            epoch: held.epoch,
            map_number: held.number,
            experts_by_set: held.sets,
            has_full_map: self.cache.contains(held.number),
        };
        if self.send_update(rank::Update::Experts(placement)) {
            self.reported_map = Some(reported);
        }
    }

    async fn report_selections(&mut self) {
        let Ok(counts) = self.engine.counts().await else {
            return;
        };
        let now = Instant::now();
        let Some((previous, at)) = self.last_counts.replace((counts.clone(), now)) else {
            return;
        };
        let pairs = previous.selections.iter().zip(&counts.selections);
        // A restarted engine counts from zero.
        let selections: Option<Vec<u32>> = pairs
            .map(|(before, now)| now.checked_sub(*before).and_then(|new| u32::try_from(new).ok()))
            .collect();
        let same_process = (previous.epoch, previous.born_ms) == (counts.epoch, counts.born_ms)
            && previous.selections.len() == counts.selections.len();
        let Some(selections) =
            selections.filter(|selections| same_process && selections.iter().any(|count| *count > 0))
        else {
            return;
        };
        // Counts that do not fit into the queue are dropped: the next ones show the demand as well.
        let _missed = self.send_update(rank::Update::SelectionCounts {
            epoch: counts.epoch,
            period_ms: now.saturating_duration_since(at).as_millis() as u64,
            selections,
        });
    }

    /// Sends an update to the leader. Returns false if its queue is full; the update is dropped, and the next state
    /// follows.
    fn send_update(&mut self, update: rank::Update) -> bool {
        let Some(subscriber) = &self.subscriber else {
            return true;
        };
        match subscriber.updates.try_send(update) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Full(_)) => false,
            Err(mpsc::error::TrySendError::Closed(_)) => {
                self.subscriber = None;
                true
            }
        }
    }
}

/// The state without its step, which advances continuously.
fn without_step(view: View) -> View {
    View { step: 0, ..view }
}
