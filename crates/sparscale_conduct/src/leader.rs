//! Leads one group: gathers counts, decides about the expert map and switches the ranks from map to map.

mod talk;

use std::sync::Arc;
use std::time::Duration;

use sparscale_place::barrier::{Conductor, Progress};
use sparscale_place::{Map, Trend};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Base, RankNews};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

use crate::context::{Context, Term};
use crate::decision::Decider;
use crate::link::{DIALS, Event};
use crate::maps::Offer;
use crate::member::{Change, Delegation, Member, Proof, QUEUE, assemble, member};
use crate::outbox::Outbox;
use crate::pace::Pace;

/// Fences per claim: each map switch uses two at most, so a higher claim always has higher fences.
const FENCES_PER_CLAIM: u64 = 1 << 20;
/// Intervals between two steps, during a map switch and otherwise.
const BUSY_TICK: Duration = Duration::from_millis(10);
const CALM_TICK: Duration = Duration::from_millis(50);
/// Interval between two surveys of ranks that do not form an open group, and between two polls of unresponsive ranks.
const SURVEY_PAUSE: Duration = Duration::from_millis(60);
/// Time over which the duration of a pass is averaged.
const PASS_SPAN: Duration = Duration::from_millis(300);
/// Time without a decision after which the reason is logged.
const STALL_PAUSE: Duration = Duration::from_secs(2);
/// Maximum number of ranks that such a log line describes.
const NAMED: usize = 6;

pub(crate) struct Leader {
    pub(crate) context: Context,
    pub(crate) term: Term,
    pub(crate) conductor: Conductor,
    pub(crate) members: Vec<Member>,
    events: mpsc::Receiver<Event>,
    decider: Option<Decider>,
    /// The map that all ranks use, with its epoch and number.
    map: Option<(u64, u64, Arc<Map>)>,
    change: Option<Change>,
    /// The last map that was sent but never became active, with its number: agents may have it.
    dropped: Option<(u64, Arc<Map>)>,
    pub(crate) delegation: Option<Delegation>,
    pub(crate) pace: Pace,
    /// Orders with maps that wait for the link.
    outbox: Outbox,
    /// Times in which ranks answered the orders of the current phase.
    answered: Vec<Duration>,
    changes: u64,
    progress: Progress,
    surveyed: Instant,
    /// When ranks whose agents are unreachable were last polled.
    looked: Instant,
    told: Instant,
    /// Whether to send the loads to entries without waiting for the interval.
    tell_now: bool,
    messages: u64,
    pass: Option<(u64, Instant)>,
    pass_micros: f64,
    /// Number of unresponsive ranks at the last step.
    silent_ranks: usize,
    /// Number of the latest pass that is known to have begun.
    latest_pass: u64,
    overtaken: bool,
    /// Whether there is new information since the last decision.
    undecided: bool,
    /// When a decision was last possible, or the reason why none is was last logged.
    decided: Instant,
}

impl Leader {
    pub(crate) fn new(context: Context, term: Term) -> Self {
        let (sender, events) = mpsc::channel(QUEUE);
        let dials = Arc::new(Semaphore::new(DIALS));
        let pace = Pace::new(term.size);
        let outbox = Outbox::new(context.bandwidth);
        let members = (0..term.size)
            .map(|rank| member(&context, &term, rank, sender.clone(), &dials, pace))
            .collect();
        let fence = (term.claim + 1) * FENCES_PER_CLAIM;
        let now = Instant::now();
        Self {
            conductor: Conductor::new(term.size, term.own, fence),
            context,
            term,
            members,
            events,
            decider: None,
            map: None,
            change: None,
            dropped: None,
            delegation: None,
            pace,
            outbox,
            answered: Vec::new(),
            changes: 0,
            progress: Progress::Surveying,
            surveyed: now - SURVEY_PAUSE,
            looked: now,
            told: now,
            tell_now: false,
            messages: 0,
            pass: None,
            pass_micros: 0.0,
            silent_ranks: 0,
            latest_pass: 0,
            overtaken: false,
            undecided: false,
            decided: now,
        }
    }

    /// Leads until another agent has taken over.
    pub(crate) async fn run(mut self) {
        self.context.figures.leading.set(1.0);
        log::info!(target: DECISION, decision = "lead", group = self.term.group.as_str(), claim = self.term.claim, rank = self.term.own; "leading a group");
        let mut rosters = self.context.board.target_lists();
        self.place_members();
        let mut tick = Instant::now();
        while !self.overtaken {
            tokio::select! {
                biased;
                event = self.events.recv() => {
                    if let Some(event) = event {
                        self.take_in(event);
                    }
                    // Handles all events that have arrived before anything is decided.
                    while let Ok(event) = self.events.try_recv() {
                        self.take_in(event);
                    }
                }
                Ok(()) = rosters.changed() => self.place_members(),
                () = tokio::time::sleep_until(tick) => {
                    let busy = self.conductor.progress() != Progress::Idle;
                    tick = Instant::now() + if busy { BUSY_TICK } else { CALM_TICK };
                    self.ask_for_proof();
                    self.check_delegation();
                    self.check_times();
                }
            }
            self.step();
            if let Some(Delegation {
                proof: Proof::Due(at), ..
            }) = &self.delegation
            {
                tick = tick.min(*at);
            }
        }
        self.context.figures.leading.set(0.0);
        log::info!(target: DECISION, decision = "step_down", group = self.term.group.as_str(), claim = self.term.claim; "another conductor leads the group");
    }

    fn take_in(&mut self, event: Event) {
        match event {
            Event::Lost { rank } => {
                self.members[rank].ordered = None;
                self.members[rank].settle_sending(None);
                self.conductor.lost(rank);
            }
            Event::News { rank, news } => self.hear(rank, news),
            Event::Direct { rank, news } => {
                self.hear(rank, news);
                self.members[rank].direct = true;
            }
        }
    }

    fn hear(&mut self, rank: usize, news: RankNews) {
        let now = Instant::now();
        match news {
            RankNews::Delegation { serial, answer } => self.delegation_answered(serial, answer),
            RankNews::Report { mut report, load } => {
                if rank != self.term.own {
                    self.members[rank].direct = false;
                }
                let delegation = self.delegation.take_if(|delegation| {
                    let over = delegation.answer.is_some() && delegation.proof == Proof::Given;
                    rank == self.term.own && over && delegation.order.serial == report.serial
                });
                if let Some(delegation) = delegation {
                    report.answer = delegation.answer;
                }
                if let Some(load) = load {
                    self.members[rank].load = Some((load, now));
                }
                // An answer to an earlier order, which was given up, must not count for the current one.
                if report.answer.is_some() && self.members[rank].awaits(report.serial) {
                    let sent = self.members[rank].ordered.take();
                    self.answered
                        .extend(sent.map(|(_, at)| now.saturating_duration_since(at)));
                    self.members[rank].settle_sending(report.answer);
                }
                if rank == self.term.own
                    && let Some(view) = report.view
                {
                    self.time_passes(view.step, now);
                }
                self.conductor.report(rank, report);
            }
            RankNews::Picks { picks, .. } => {
                if let Some(decider) = &mut self.decider {
                    decider.count(&picks);
                }
            }
            RankNews::Holds(placement) => {
                let member = &mut self.members[rank];
                if placement.whole && member.sending.is_none() {
                    member.sent.learn(placement.number);
                }
                member.holds = Some(placement);
            }
            RankNews::Overtaken { claim } => self.overtaken |= claim > self.term.claim,
        }
    }

    /// Updates the average duration of a pass. It is measured over a span, because zero, one or several passes may
    /// begin between two reports.
    fn time_passes(&mut self, step: u64, now: Instant) {
        self.latest_pass = step;
        let Some((before, at)) = self.pass else {
            self.pass = Some((step, now));
            return;
        };
        let span = now.saturating_duration_since(at);
        if step < before || span > 4 * PASS_SPAN {
            self.pass = Some((step, now));
        } else if span >= PASS_SPAN && step > before {
            let micros = span.as_micros() as f64 / (step - before) as f64;
            let old = if self.pass_micros > 0.0 {
                self.pass_micros
            } else {
                micros
            };
            self.pass_micros = f64::midpoint(old, micros);
            self.pass = Some((step, now));
        }
    }

    /// Advances the group as far as currently possible.
    fn step(&mut self) {
        self.prepare_decider();
        if let Some(decider) = &mut self.decider {
            let trend = decider.sample(Instant::now());
            self.undecided |= trend.is_some();
            // Entries should reduce the load at once that would lengthen the passes of the next half second.
            self.tell_now |= trend == Some(Trend::Shifted);
        }
        let silent = self.silent().count();
        self.conductor.set_silent(silent > 0);
        // Entries keep sending to an unresponsive rank until they are notified.
        self.tell_now |= silent > self.silent_ranks;
        self.silent_ranks = silent;
        self.note_progress();
        // While a rank is unresponsive no map can become active: experts would be loaded in vain, again and again.
        if self.conductor.progress() == Progress::Idle && self.undecided && silent == 0 {
            self.undecided = false;
            self.decide();
        }
        self.send_orders();
        self.send_maps();
        self.look_at_missing();
        self.send_heartbeats();
        self.tell_loads();
        self.tell_stall();
        self.overtaken |= self.conductor.progress() == Progress::Overtaken;
    }

    /// Creates the decider once the catalog, which holds the shape of the group's experts, is known.
    fn prepare_decider(&mut self) {
        if self.decider.is_some() {
            return;
        }
        let Some(catalog) = self.context.board.catalog() else {
            return;
        };
        let service = catalog.value.find_service(&self.term.service);
        let engine = service.and_then(|key| catalog.value.service(key).engine.as_ref());
        if let Some(experts) = engine.and_then(|engine| engine.experts) {
            self.decider = Some(Decider::new(experts, self.term.size));
        }
    }

    fn note_progress(&mut self) {
        let progress = self.conductor.progress();
        if progress == self.progress {
            return;
        }
        let step = self.conductor.step();
        log::info!(target: DECISION, decision = "switch", group = self.term.group.as_str(), from:? = self.progress, to:? = progress, epoch = self.conductor.epoch(), number = self.change.as_ref().map(|change| change.offer.number), step; "map switch");
        self.progress = progress;
        self.drop_maps();
        let answered = std::mem::take(&mut self.answered);
        if answered.len() * 10 >= self.members.len() * 9 {
            self.pace.note_round(answered);
        }
        if matches!(progress, Progress::Holding | Progress::Arming)
            && let Some(change) = &mut self.change
        {
            change.held.get_or_insert_with(Instant::now);
        }
        if progress == Progress::Idle {
            self.undecided = true;
            self.settle();
        }
    }

    /// Records the result of a map switch and the active map, now that nothing is in progress.
    fn settle(&mut self) {
        let failed = self.conductor.take_failure();
        let change = self.change.take();
        let epoch = self.conductor.epoch();
        let Some(number) = self.conductor.settled_map() else {
            return;
        };
        if let Some(change) = change {
            let took_ms = change.began.elapsed().as_millis() as u64;
            let held_ms = change.held.map(|held| held.elapsed().as_millis() as u64);
            let in_force = change.offer.number == number && !failed;
            log::info!(target: DECISION, decision = "map", group = self.term.group.as_str(), epoch, number, in_force, took_ms, held_ms; "map switch over");
            self.note_switch(&change, in_force);
            if change.offer.number == number {
                self.map = Some((epoch, number, change.offer.map));
                return;
            }
            self.dropped = Some((change.offer.number, change.offer.map));
        }
        if self
            .map
            .as_ref()
            .is_none_or(|(known, of, _)| (*known, *of) != (epoch, number))
        {
            self.map = None;
        }
    }

    fn note_switch(&self, change: &Change, in_force: bool) {
        let figures = &self.context.figures;
        figures.switched(in_force);
        if !in_force {
            return;
        }
        figures.switch.note(change.began.elapsed());
        figures.loads.add(u64::from(change.loads));
        if let Some(held) = change.held {
            figures.hold.note(held.elapsed());
        }
    }

    /// Returns the active map: the recorded one, the initial one, or one that is assembled from the placements of the
    /// ranks.
    fn present(&mut self) -> Option<&Map> {
        let epoch = self.conductor.epoch();
        let number = self.conductor.settled_map()?;
        let known = matches!(&self.map, Some((in_epoch, of, _)) if (*in_epoch, *of) == (epoch, number));
        if !known {
            let shape = self.decider.as_ref()?.shape();
            let map = if number == 0 {
                Map::initial(shape)
            } else {
                let holds = self.members.iter().map(|member| member.holds.as_ref());
                assemble(holds, epoch, number, shape.layers)?
            };
            if !map.fits(shape) {
                return None;
            }
            self.map = Some((epoch, number, Arc::new(map)));
        }
        self.map.as_ref().map(|(_, _, map)| map.as_ref())
    }

    fn decide(&mut self) {
        if self.present().is_none() {
            return;
        }
        let paces = self
            .members
            .iter()
            .map(|member| member.load.map_or(1.0, |(load, _)| load.pace()));
        let paces = paces.collect();
        let pause = self.context.board.catalog();
        let pause = pause.and_then(|catalog| catalog.value.pause_of(&self.term.service));
        let (Some(decider), Some((_, base, map))) = (&mut self.decider, &self.map) else {
            return;
        };
        decider.press(Duration::from_secs_f64(self.pass_micros / 1.0e6), pause);
        decider.pace(paces);
        self.decided = Instant::now();
        let Some(refined) = decider.next(map) else { return };
        self.changes += 1;
        let number = (self.term.claim + 1) * FENCES_PER_CLAIM + self.changes;
        if self.conductor.begin(number) {
            let base = match base {
                0 => Base::Initial(decider.shape()),
                number => Base::Sent(*number),
            };
            let mut bases = vec![(base, Arc::clone(map))];
            bases.extend(self.dropped.take().map(|(number, map)| (Base::Sent(number), map)));
            self.change = Some(Change {
                offer: Offer::new(number, refined.map, &bases),
                began: Instant::now(),
                deepest: refined.deepest,
                loads: refined.loads,
                held: None,
            });
        }
    }

    /// Describes what a rank is awaited for: its pending order and that order's age, and the age of its last report.
    fn describe(&self, rank: usize) -> String {
        let member = &self.members[rank];
        let age = |at: Option<Instant>| at.map_or(-1, |at| at.elapsed().as_millis() as i64);
        let ordered = age(member.ordered.map(|(_, at)| at));
        let heard = age(member.load.map(|(_, at)| at));
        let (act, view) = (self.conductor.pending(rank), self.conductor.view(rank));
        format!(
            "{rank}: {act:?} for {ordered} ms, heard {heard} ms ago, direct {}, {view:?}",
            member.direct
        )
    }

    /// Logs periodically why no decision is possible, if none is.
    fn tell_stall(&mut self) {
        if self.decided.elapsed() < STALL_PAUSE {
            return;
        }
        self.decided = Instant::now();
        let has_map = self.present().is_some();
        let unheard: Vec<usize> = (0..self.members.len())
            .filter(|rank| {
                self.members[*rank]
                    .load
                    .is_none_or(|(_, at)| at.elapsed() > self.pace.load_age())
            })
            .collect();
        let reason = match (&self.decider, self.conductor.progress()) {
            (None, _) => "no catalog that tells of experts",
            (Some(decider), _) if !decider.knows() => "no counts",
            (_, Progress::Idle) if has_map && self.silent_ranks > 0 => "ranks that say nothing",
            (_, Progress::Idle) if has_map => "no new counts",
            (_, Progress::Idle) => "no map that all ranks have",
            _ => "ranks that do not answer",
        };
        let awaited: Vec<String> = self
            .conductor
            .awaited()
            .into_iter()
            .take(NAMED)
            .map(|rank| self.describe(rank))
            .collect();
        log::info!(target: DECISION, decision = "stalled", group = self.term.group.as_str(), reason, progress:? = self.conductor.progress(), surveys = self.conductor.surveys(), awaited:? = awaited, unheard:? = unheard; "nothing can be decided");
    }
}
