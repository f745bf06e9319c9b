//! The agent of one rank: reads the rank's state and counts, carries out orders and reports to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Order, Report, View};
use sparscale_telemetry::DECISION;
use sparscale_wire::{MapUpdate, Placement, RankNews, RankOrder};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::bandwidth::Bandwidth;
use crate::engine::{Counts, Engine, EngineState, Engines};
use crate::figures::Figures;
use crate::handle::{Command, Handle, Lead, Led, QUEUE, Subscriber};
use crate::maps::Cache;
use crate::pace::Pace;
use crate::reporter::Reporter;

/// Interval between two polls of the engine during a map switch, while it loads experts (a tenth of a second each) or
/// is armed for the next map, because the leader waits for both. With polls 100 ms apart the next map was seen 67 and
/// 84 ms after the release of the group. Polls stay on this box; the leader only receives changes.
const CHANGING_PAUSE: Duration = Duration::from_millis(12);
/// Interval between two reports of expert selection counts.
const COUNTS_PAUSE: Duration = Duration::from_millis(100);
/// Attempts per order. An engine that does not answer may still carry out the order later; every order is idempotent.
const TRIES: u32 = 4;

/// State of the agent of one rank.
struct Agent {
    engine: Box<dyn Engine>,
    engines: Arc<dyn Engines>,
    bandwidth: Bandwidth,
    figures: Figures,
    subscriber: Option<Subscriber>,
    state: watch::Sender<Option<EngineState>>,
    /// Group and rank that the engine reported last.
    place: Option<(String, usize)>,
    /// Start time of the engine's current process, if it reported one.
    born_ms: Option<u64>,
    led: watch::Sender<Led>,
    counted: Option<(Counts, Instant)>,
    told_map: Option<(u64, u64)>,
    /// State that was last reported to the leader, and when.
    told: Option<(Option<View>, Instant)>,
    /// Serial of the last completed order.
    serial: u64,
    staging: Option<u64>,
    /// Answer to the last order, if the update that carried it did not fit into the leader's queue.
    owed: Option<Answer>,
    cache: Cache,
}

/// Starts the agent of the rank whose engine is at `engine`.
pub(crate) fn start(engines: Arc<dyn Engines>, engine: SocketAddr, bandwidth: Bandwidth, figures: Figures) -> Handle {
    let (commands, received_commands) = mpsc::channel(QUEUE);
    let (subscribers, received_subscribers) = mpsc::channel(QUEUE);
    let state = watch::Sender::new(None);
    let led = watch::Sender::new(Led {
        claim: None,
        spoke: Instant::now(),
    });
    let handle = Handle {
        commands,
        subscribers,
        state: state.subscribe(),
        led: led.subscribe(),
        started: Instant::now(),
    };
    let agent = Agent {
        engine: engines.at(engine),
        engines,
        bandwidth,
        figures,
        subscriber: None,
        state,
        place: None,
        born_ms: None,
        led,
        counted: None,
        told_map: None,
        told: None,
        serial: 0,
        staging: None,
        owed: None,
        cache: Cache::default(),
    };
    tokio::spawn(agent.run(received_commands, received_subscribers));
    handle
}

impl Agent {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, mut subscribers: mpsc::Receiver<Subscriber>) {
        let mut look_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                // Subscriptions come before orders: the answer to an order that arrives together with its stream would
                // have no receiver, and the leader would wait for the limit of an order, 2.4 s at 129 ranks.
                Some(subscriber) = subscribers.recv() => self.subscribe(subscriber).await,
                command = commands.recv() => match command {
                    Some(command) => self.command(command).await,
                    None => return,
                },
                () = tokio::time::sleep_until(look_at) => {
                    self.look().await;
                    let pause = if self.is_changing() { CHANGING_PAUSE } else { self.pace().state_pause() };
                    look_at = Instant::now() + pause;
                    continue;
                }
            }
            if self.is_changing() {
                look_at = look_at.min(Instant::now() + CHANGING_PAUSE);
            }
        }
    }

    /// Accepts the subscription of the leader with the highest claim, which first receives everything known.
    async fn subscribe(&mut self, subscriber: Subscriber) {
        if !self.is_meant(&subscriber.lead).await {
            return;
        }
        if !self.obey(subscriber.lead.claim) {
            let claim = self.led.borrow().claim.unwrap_or_default();
            // A leader that does not read its updates has terminated.
            let _gone = subscriber.news.try_send(RankNews::Overtaken { claim });
            return;
        }
        self.subscriber = Some(subscriber);
        self.told_map = None;
        self.told = None;
        self.counted = None;
        self.look().await;
    }

    /// Whether the engine is the rank for which the leader takes it. A list of targets may be older than a change of
    /// ranks or contain entries of another writer; orders and reports would then be taken for those of another rank. An
    /// unresponsive engine counts as the rank that it was last.
    async fn is_meant(&mut self, lead: &Lead) -> bool {
        if self.state.borrow().is_none() {
            let state = self.engine.state().await.ok();
            self.tell_state(state, None);
        }
        let state = self.state.borrow();
        let rank = state.as_ref().map(|state| (state.group.as_deref(), state.rank));
        let rank = rank.or_else(|| self.place.as_ref().map(|(group, rank)| (Some(group.as_str()), *rank)));
        let meant = rank == Some((Some(lead.group.as_str()), lead.rank));
        if !meant {
            log::info!(target: DECISION, decision = "not_meant", group = lead.group.as_str(), rank = lead.rank, claim = lead.claim, is:? = rank; "a conductor takes this rank for another one");
        }
        meant
    }

    /// Whether the leader with this claim leads the rank; the first message of a higher claim replaces the leader.
    fn obey(&mut self, claim: u64) -> bool {
        let highest = self.led.borrow().claim;
        if highest.is_some_and(|highest| claim < highest) {
            return false;
        }
        if highest != Some(claim) {
            log::info!(target: DECISION, decision = "led", claim, before = highest; "a conductor leads this rank");
            self.subscriber = None;
            self.serial = 0;
            self.staging = None;
            self.owed = None;
        }
        self.led.send_replace(Led {
            claim: Some(claim),
            spoke: Instant::now(),
        });
        true
    }

    async fn command(&mut self, command: Command) {
        if !self.is_meant(&command.lead).await || !self.obey(command.lead.claim) {
            return;
        }
        match command.order {
            RankOrder::Heartbeat => {}
            RankOrder::Own { order, map } => self.own(command.lead.claim, order, map).await,
            RankOrder::Delegation { order, engine } => self.delegation(order, engine),
        }
    }

    /// Carries out an order to another engine in a task of its own, so that it and the orders of this rank do not delay
    /// each other.
    fn delegation(&self, order: Order, engine: SocketAddr) {
        let mut engine = self.engines.at(engine);
        let news = self.subscriber.as_ref().map(|subscriber| subscriber.news.clone());
        tokio::spawn(async move {
            let answer = engine.order(&order, None).await;
            log::info!(target: DECISION, decision = "delegation", fence = order.fence, act:? = order.act, answer:? = answer; "ordered another engine");
            if let Some(news) = news {
                // A leader that has terminated does not wait for the answer.
                let _gone = news
                    .send(RankNews::Delegation {
                        serial: order.serial,
                        answer,
                    })
                    .await;
            }
        });
    }

    async fn own(&mut self, claim: u64, order: Order, update: Option<MapUpdate>) {
        let answer = match order.act {
            Act::Look => Answer::Done,
            Act::Stage { number } => match update.and_then(|update| self.cache.take(number, update)) {
                Some(map) => self.order(&order, Some(&map)).await,
                // The leader assumes a map that this agent does not have; it sends the whole map next time.
                None => Answer::Refused,
            },
            _ => self.order(&order, None).await,
        };
        self.serial = order.serial;
        if let (Act::Stage { number }, Answer::Done) = (order.act, answer) {
            self.staging = Some(number);
        }
        let state = self.engine.state().await.ok();
        self.figures.ordered(&order.act, answer);
        if order.act != Act::Look {
            log::info!(target: DECISION, decision = "order", claim, fence = order.fence, epoch = order.epoch, act:? = order.act, answer:? = answer, step = state.as_ref().map(|state| state.view.step); "passed an order on");
        }
        self.tell_state(state, Some(answer));
    }

    /// Sends an order until it is answered; repeating it is safe because every order is idempotent.
    async fn order(&mut self, order: &Order, map: Option<&Map>) -> Answer {
        let mut answer = Answer::Silent;
        for _ in 0..TRIES {
            answer = self.engine.order(order, map).await;
            if answer != Answer::Silent {
                break;
            }
        }
        answer
    }

    /// Message intervals and time limits of the group.
    fn pace(&self) -> Pace {
        Pace::new(self.state.borrow().as_ref().map_or(1, |state| state.size))
    }

    /// Whether the rank loads experts or is armed for another map.
    fn is_changing(&self) -> bool {
        let is_armed = |state: &EngineState| state.view.armed.is_some();
        self.staging.is_some() || self.state.borrow().as_ref().is_some_and(is_armed)
    }

    /// Reads the state of the rank and reports what has changed.
    async fn look(&mut self) {
        let state = match self.engine.state().await {
            Ok(state) => Some(state),
            Err(error) => {
                log::debug!(error = error.to_string().as_str(); "the engine told no state");
                None
            }
        };
        let staged = state.as_ref().and_then(|state| state.view.staged);
        if self.staging.is_some() && (staged == self.staging || state.is_none()) {
            self.staging = None;
        }
        let staging = self.staging.is_some();
        let map = state.as_ref().map(|state| (state.view.epoch, state.view.map));
        self.tell_state(state, None);
        if self.subscriber.is_none() {
            return;
        }
        if !staging && map.is_some() && map != self.told_map {
            self.tell_held().await;
        }
        // Counts are reported during a map switch, too: the next decision needs the demand at its end.
        if self.is_counter() && self.counts_due() {
            self.tell_picks().await;
        }
    }

    /// Whether counts are due: the engine is polled more often than that during a map switch.
    fn counts_due(&self) -> bool {
        let told = self.counted.as_ref().map(|(_, at)| *at);
        told.is_none_or(|at| at.elapsed() + CHANGING_PAUSE > COUNTS_PAUSE)
    }

    /// Whether this rank reports counts. The first ones are read in any case, to learn how many values there are.
    fn is_counter(&self) -> bool {
        let state = self.state.borrow();
        let (Some(state), Some((counts, _))) = (state.as_ref(), self.counted.as_ref()) else {
            return true;
        };
        let reporter = Reporter {
            rank: state.rank,
            size: state.size,
        };
        reporter.tells(counts.picks.len(), self.bandwidth.numbers_a_round())
    }

    fn tell_state(&mut self, state: Option<EngineState>, answer: Option<Answer>) {
        let answer = answer.or(self.owed.take());
        let report = Report {
            serial: self.serial,
            answer,
            view: state.as_ref().map(|state| state.view),
        };
        let load = state.as_ref().map(|state| state.load);
        if let Some(state) = &state {
            self.note_start(state);
        }
        self.state.send_replace(state);
        if answer.is_none() && !self.is_news(report.view) {
            return;
        }
        self.told = Some((report.view.map(unstepped), Instant::now()));
        if !self.tell(RankNews::Report { report, load }) {
            self.owed = answer;
        }
    }

    /// Whether to report this state: anything but the step has changed, or the last report is too old.
    fn is_news(&self, view: Option<View>) -> bool {
        let Some((told, at)) = self.told else { return true };
        told != view.map(unstepped) || at.elapsed() + CHANGING_PAUSE > self.pace().state_pause()
    }

    /// Resets what was known of the engine's previous process, which its successor has lost. If the engine is another
    /// rank now, the subscription ends, because another link leads that rank.
    fn note_start(&mut self, state: &EngineState) {
        if self.born_ms != state.born_ms {
            log::info!(target: DECISION, decision = "engine_started", before = self.born_ms, born_ms = state.born_ms, rank = state.rank; "the engine has started anew");
            self.born_ms = state.born_ms;
            self.staging = None;
            self.counted = None;
            self.told_map = None;
        }
        let moved = |subscriber: &Subscriber| !state.is_rank(&subscriber.lead.group, subscriber.lead.rank);
        if self.subscriber.as_ref().is_some_and(moved) {
            self.subscriber = None;
        }
        self.place = state.group.clone().map(|group| (group, state.rank));
    }

    async fn tell_held(&mut self) {
        let Ok(held) = self.engine.held().await else {
            return;
        };
        let told = (held.epoch, held.number);
        let holds = Placement {
            epoch: held.epoch,
            number: held.number,
            sets: held.sets,
            whole: self.cache.has(held.number),
        };
        if self.tell(RankNews::Holds(holds)) {
            self.told_map = Some(told);
        }
    }

    async fn tell_picks(&mut self) {
        let Ok(counts) = self.engine.counts().await else {
            return;
        };
        let now = Instant::now();
        let Some((before, at)) = self.counted.replace((counts.clone(), now)) else {
            return;
        };
        let pairs = before.picks.iter().zip(&counts.picks);
        // A restarted engine counts from zero.
        let picks: Option<Vec<u32>> = pairs
            .map(|(before, now)| now.checked_sub(*before).and_then(|new| u32::try_from(new).ok()))
            .collect();
        let same = (before.epoch, before.born_ms) == (counts.epoch, counts.born_ms)
            && before.picks.len() == counts.picks.len();
        let Some(picks) = picks.filter(|picks| same && picks.iter().any(|picks| *picks > 0)) else {
            return;
        };
        // Counts that do not fit into the queue are dropped: the next ones show the demand as well.
        let _missed = self.tell(RankNews::Picks {
            epoch: counts.epoch,
            span_ms: now.saturating_duration_since(at).as_millis() as u64,
            picks,
        });
    }

    /// Sends an update to the leader. Returns false if its queue is full; the update is dropped, and the next state
    /// follows.
    fn tell(&mut self, news: RankNews) -> bool {
        let Some(subscriber) = &self.subscriber else {
            return true;
        };
        match subscriber.news.try_send(news) {
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
fn unstepped(view: View) -> View {
    View { step: 0, ..view }
}
