//! The agent's side: reads its own rank, carries out its orders, and tells its conductor.

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

/// Time between two looks at a rank on which something is under way: it loads experts, in a tenth of a second each, or is
/// about to take another map, and the conductor waits for either. Looks 100 ms apart showed the next map 67 and 84 ms after the
/// group was let go, in two changes. Looks are at the engine beside the agent; the conductor hears of what has changed.
const CHANGING_PAUSE: Duration = Duration::from_millis(12);
/// Time between two tellings of counts.
const COUNTS_PAUSE: Duration = Duration::from_millis(100);
/// Tries of one order; an engine that leaves an order unanswered may carry it out later, and every order may be
/// carried out twice.
const TRIES: u32 = 4;

/// Reads and orders one rank.
struct Agent {
    engine: Box<dyn Engine>,
    engines: Arc<dyn Engines>,
    bandwidth: Bandwidth,
    figures: Figures,
    subscriber: Option<Subscriber>,
    state: watch::Sender<Option<EngineState>>,
    /// Group and rank of the engine, as it last told.
    place: Option<(String, usize)>,
    /// When the engine's present start began, as far as it told.
    born_ms: Option<u64>,
    led: watch::Sender<Led>,
    counted: Option<(Counts, Instant)>,
    told_map: Option<(u64, u64)>,
    /// State that the conductor was told last, and when.
    told: Option<(Option<View>, Instant)>,
    /// Serial of the last order that is over.
    serial: u64,
    staging: Option<u64>,
    /// Answer to the last order, if the conductor was too slow to take it.
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
                // Before orders: one that arrives with its stream would be answered to nobody, and its conductor would wait
                // out the limit of an order, 2.4 s at 129 ranks.
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

    /// The conductor with the highest claim is heard; it starts with everything that is known.
    async fn subscribe(&mut self, subscriber: Subscriber) {
        if !self.is_meant(&subscriber.lead).await {
            return;
        }
        if !self.obey(subscriber.lead.claim) {
            let claim = self.led.borrow().claim.unwrap_or_default();
            // It is gone if it does not read.
            let _gone = subscriber.news.try_send(RankNews::Overtaken { claim });
            return;
        }
        self.subscriber = Some(subscriber);
        self.told_map = None;
        self.told = None;
        self.counted = None;
        self.look().await;
    }

    /// Whether the engine is the rank that a conductor takes it for. A list of targets may be of before a change of ranks,
    /// or have entries of another writer: what this rank is told and tells would be taken for another's. An engine that
    /// tells nothing now is taken for what it was.
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

    /// Whether a conductor with this claim leads the rank.
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

    /// An order to another engine goes beside this rank's own: it must not wait for them, nor they for it.
    fn delegation(&self, order: Order, engine: SocketAddr) {
        let mut engine = self.engines.at(engine);
        let news = self.subscriber.as_ref().map(|subscriber| subscriber.news.clone());
        tokio::spawn(async move {
            let answer = engine.order(&order, None).await;
            log::info!(target: DECISION, decision = "delegation", fence = order.fence, act:? = order.act, answer:? = answer; "ordered another engine");
            if let Some(news) = news {
                // A conductor that is gone does not wait for it.
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
                // The conductor thinks that this agent has a map which it does not have; it sends all of it next time.
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

    /// Orders are the same when carried out twice, so one that is not answered is sent again.
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

    /// Pauses and limits of its group.
    fn pace(&self) -> Pace {
        Pace::new(self.state.borrow().as_ref().map_or(1, |state| state.size))
    }

    /// Whether it loads experts, or is about to take another map.
    fn is_changing(&self) -> bool {
        let is_armed = |state: &EngineState| state.view.armed.is_some();
        self.staging.is_some() || self.state.borrow().as_ref().is_some_and(is_armed)
    }

    /// Looks at the rank, and tells what is new.
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
        // Counts go on while a change is under way: the next one is decided by what is in demand when it is over.
        if self.is_counter() && self.counts_due() {
            self.tell_picks().await;
        }
    }

    /// Whether it is time for counts again: looks come more often than that while a change is under way.
    fn counts_due(&self) -> bool {
        let told = self.counted.as_ref().map(|(_, at)| *at);
        told.is_none_or(|at| at.elapsed() + CHANGING_PAUSE > COUNTS_PAUSE)
    }

    /// Whether this rank's counts are wanted; the first ones are read to learn how many there are.
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

    /// Whether the conductor has to hear of this state: something but the step has changed, or it was not told for a while.
    fn is_news(&self, view: Option<View>) -> bool {
        let Some((told, at)) = self.told else { return true };
        told != view.map(unstepped) || at.elapsed() + CHANGING_PAUSE > self.pace().state_pause()
    }

    /// A new start of the engine has nothing of what the one before was told, and counts from nothing. One that is another
    /// rank now is another conductor's link to hear.
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
        // An engine that was started anew counts from nothing.
        let picks: Option<Vec<u32>> = pairs
            .map(|(before, now)| now.checked_sub(*before).and_then(|new| u32::try_from(new).ok()))
            .collect();
        let same = (before.epoch, before.born_ms) == (counts.epoch, counts.born_ms)
            && before.picks.len() == counts.picks.len();
        let Some(picks) = picks.filter(|picks| same && picks.iter().any(|picks| *picks > 0)) else {
            return;
        };
        // Picks that are not taken are missed: the next ones show the demand as well.
        let _missed = self.tell(RankNews::Picks {
            epoch: counts.epoch,
            span_ms: now.saturating_duration_since(at).as_millis() as u64,
            picks,
        });
    }

    /// A conductor that does not read loses news; it hears the next state. Tells whether it will hear this.
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

/// A state but for its step, which goes on all the time.
fn unstepped(view: View) -> View {
    View { step: 0, ..view }
}
