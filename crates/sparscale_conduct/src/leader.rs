//! Leads one group: gathers counts, decides about the expert map and switches the ranks from map to map.

mod outbound;

use std::sync::Arc;
use std::time::Duration;

use sparscale_place::barrier::{Coordinator, Progress};
use sparscale_place::{Map, Trend};
use sparscale_telemetry::DECISION;
use sparscale_wire::{map, rank};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

use crate::context::{Context, Term};
use crate::decision::Decider;
use crate::link::{Event, MAX_DIALS};
use crate::maps::OutgoingMap;
use crate::member::{Delegation, LivenessCheck, MapSwitch, Member, ORDER_QUEUE_LEN, assemble_map, spawn_member};
use crate::outbox::Outbox;
use crate::timing::GroupTiming;

/// Fences per claim: each map switch uses two at most, so a higher claim always has higher fences.
const FENCES_PER_CLAIM: u64 = 1 << 20;
/// Intervals between two steps, during a map switch and otherwise.
const SWITCH_TICK: Duration = Duration::from_millis(10);
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Interval between two surveys of ranks that do not form an open group, and between two polls of unresponsive ranks.
const SURVEY_INTERVAL: Duration = Duration::from_millis(60);
/// Time over which the duration of a pass is averaged.
const PASS_WINDOW: Duration = Duration::from_millis(300);
/// Time without a decision after which the reason is logged.
const STALL_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of ranks that such a log line describes.
const MAX_LOGGED_RANKS: usize = 6;

pub(crate) struct Leader {
    pub(crate) context: Context,
    pub(crate) term: Term,
    pub(crate) coordinator: Coordinator,
    pub(crate) members: Vec<Member>,
    events: mpsc::Receiver<Event>,
    decider: Option<Decider>,
    /// The map that all ranks use, with its epoch and number.
    current_map: Option<(u64, u64, Arc<Map>)>,
    switch: Option<MapSwitch>,
    /// The last map that was sent but never became active, with its number: agents may have it.
    dropped_map: Option<(u64, Arc<Map>)>,
    pub(crate) delegation: Option<Delegation>,
    pub(crate) timing: GroupTiming,
    /// Orders with maps that wait for the link.
    outbox: Outbox,
    /// Times in which ranks answered the orders of the current phase.
    response_times: Vec<Duration>,
    switch_count: u64,
    last_progress: Progress,
    surveyed_at: Instant,
    /// When ranks whose agents are unreachable were last polled.
    missing_polled_at: Instant,
    loads_sent_at: Instant,
    /// Whether to send the loads to entries without waiting for the interval.
    send_loads_now: bool,
    load_messages: u64,
    pass_mark: Option<(u64, Instant)>,
    pass_micros: f64,
    /// Number of unresponsive ranks at the last step.
    unresponsive_ranks: usize,
    /// Number of the latest pass that is known to have begun.
    latest_pass: u64,
    overtaken: bool,
    /// Whether there is new information since the last decision.
    decision_due: bool,
    /// When a decision was last possible, or the reason why none is was last logged.
    decided_at: Instant,
}

impl Leader {
    pub(crate) fn new(context: Context, term: Term) -> Self {
        let (event_sender, events) = mpsc::channel(ORDER_QUEUE_LEN);
        let dial_permits = Arc::new(Semaphore::new(MAX_DIALS));
        let timing = GroupTiming::new(term.size);
        let outbox = Outbox::new(context.bandwidth);
        let members = (0..term.size)
            .map(|rank| spawn_member(&context, &term, rank, event_sender.clone(), &dial_permits, timing))
            .collect();
        let fence = (term.claim + 1) * FENCES_PER_CLAIM;
        let now = Instant::now();
        Self {
            coordinator: Coordinator::new(term.size, term.own_rank, fence),
            context,
            term,
            members,
            events,
            decider: None,
            current_map: None,
            switch: None,
            dropped_map: None,
            delegation: None,
            timing,
            outbox,
            response_times: Vec::new(),
            switch_count: 0,
            last_progress: Progress::Surveying,
            surveyed_at: now - SURVEY_INTERVAL,
            missing_polled_at: now,
            loads_sent_at: now,
            send_loads_now: false,
            load_messages: 0,
            pass_mark: None,
            pass_micros: 0.0,
            unresponsive_ranks: 0,
            latest_pass: 0,
            overtaken: false,
            decision_due: false,
            decided_at: now,
        }
    }

    /// Leads until another agent has taken over.
    pub(crate) async fn run(mut self) {
        self.context.metrics.leading.set(1.0);
        log::info!(target: DECISION, decision = "lead", group = self.term.group.as_str(), claim = self.term.claim, rank = self.term.own_rank; "leading a group");
        let mut rosters = self.context.board.subscribe_targets();
        self.update_locations();
        let mut tick = Instant::now();
        while !self.overtaken {
            tokio::select! {
                biased;
                event = self.events.recv() => {
                    if let Some(event) = event {
                        self.handle_event(event);
                    }
                    // Handles all events that have arrived before anything is decided.
                    while let Ok(event) = self.events.try_recv() {
                        self.handle_event(event);
                    }
                }
                Ok(()) = rosters.changed() => self.update_locations(),
                () = tokio::time::sleep_until(tick) => {
                    let is_switching = self.coordinator.progress() != Progress::Idle;
                    tick = Instant::now() + if is_switching { SWITCH_TICK } else { IDLE_TICK };
                    self.query_helper();
                    self.check_delegation_timeout();
                    self.check_deadlines();
                }
            }
            self.advance();
            if let Some(Delegation {
                liveness: LivenessCheck::DueAt(at),
                ..
            }) = &self.delegation
            {
                tick = tick.min(*at);
            }
        }
        self.context.metrics.leading.set(0.0);
        log::info!(target: DECISION, decision = "step_down", group = self.term.group.as_str(), claim = self.term.claim; "another agent leads the group");
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::OrdersLost { rank } => {
                self.members[rank].pending_order = None;
                self.members[rank].settle_pending_map(None);
                self.coordinator.record_no_answer(rank);
            }
            Event::Update { rank, update } => self.handle_update(rank, update),
            Event::DirectUpdate { rank, update } => {
                self.handle_update(rank, update);
                self.members[rank].agent_bypassed = true;
            }
        }
    }

    fn handle_update(&mut self, rank: usize, update: rank::Update) {
        let now = Instant::now();
        match update {
            rank::Update::Delegation { serial, answer } => self.handle_delegation_answer(serial, answer),
            rank::Update::Report { mut report, load } => {
                if rank != self.term.own_rank {
                    self.members[rank].agent_bypassed = false;
                }
                let delegation = self.delegation.take_if(|delegation| {
                    let is_complete = delegation.answer.is_some() && delegation.liveness == LivenessCheck::Passed;
                    rank == self.term.own_rank && is_complete && delegation.order.serial == report.serial
                });
                if let Some(delegation) = delegation {
                    report.answer = delegation.answer;
                }
                if let Some(load) = load {
                    self.members[rank].load = Some((load, now));
                }
                // An answer to an earlier order, which was given up, must not count for the current one.
                if report.answer.is_some() && self.members[rank].awaits_order(report.serial) {
                    let answered_order = self.members[rank].pending_order.take();
                    self.response_times
                        .extend(answered_order.map(|(_, at)| now.saturating_duration_since(at)));
                    self.members[rank].settle_pending_map(report.answer);
                }
                if rank == self.term.own_rank
                    && let Some(view) = report.view
                {
                    self.measure_passes(view.step, now);
                }
                self.coordinator.record_report(rank, report);
            }
            rank::Update::SelectionCounts { selections: picks, .. } => {
                if let Some(decider) = &mut self.decider {
                    decider.add_selections(&picks);
                }
            }
            rank::Update::Experts(placement) => {
                let member = &mut self.members[rank];
                if placement.has_full_map && member.pending_map.is_none() {
                    member.sent_maps.record_reported(placement.map_number);
                }
                member.placement = Some(placement);
            }
            rank::Update::Superseded { claim } => self.overtaken |= claim > self.term.claim,
        }
    }

    /// Updates the average duration of a pass, computed over several reports: zero, one or several passes may begin
    /// between two of them.
    fn measure_passes(&mut self, step: u64, now: Instant) {
        self.latest_pass = step;
        let Some((marked_step, at)) = self.pass_mark else {
            self.pass_mark = Some((step, now));
            return;
        };
        let span = now.saturating_duration_since(at);
        if step < marked_step || span > 4 * PASS_WINDOW {
            self.pass_mark = Some((step, now));
        } else if span >= PASS_WINDOW && step > marked_step {
            let micros = span.as_micros() as f64 / (step - marked_step) as f64;
            let previous = if self.pass_micros > 0.0 {
                self.pass_micros
            } else {
                micros
            };
            self.pass_micros = f64::midpoint(previous, micros);
            self.pass_mark = Some((step, now));
        }
    }

    /// Advances the group as far as currently possible.
    fn advance(&mut self) {
        self.init_decider();
        if let Some(decider) = &mut self.decider {
            let map = self.current_map.as_ref().map(|(_, _, map)| map.as_ref());
            let trend = decider.sample(Instant::now(), map);
            self.decision_due |= trend.is_some();
            // A shift in demand lengthens the passes of the next half second, so entries should hold back load at once.
            self.send_loads_now |= matches!(trend, Some(Trend::Shifted | Trend::Corrected));
        }
        let unresponsive = self.unresponsive().count();
        self.coordinator.set_unresponsive(unresponsive > 0);
        // Entries keep sending to an unresponsive rank until they are notified.
        self.send_loads_now |= unresponsive > self.unresponsive_ranks;
        self.unresponsive_ranks = unresponsive;
        self.handle_progress();
        // While a rank is unresponsive no map can become active: experts would be loaded in vain, again and again.
        if self.coordinator.progress() == Progress::Idle && self.decision_due && unresponsive == 0 {
            self.decision_due = false;
            self.decide();
        }
        self.send_orders();
        self.send_maps();
        self.poll_missing();
        self.send_heartbeats();
        self.send_loads();
        self.log_stall();
        self.overtaken |= self.coordinator.progress() == Progress::Overtaken;
    }

    /// Creates the decider once the catalog, which holds the shape of the group's experts, is known.
    fn init_decider(&mut self) {
        if self.decider.is_some() {
            return;
        }
        let Some(catalog) = self.context.board.catalog() else {
            return;
        };
        let service = catalog.value.find_service(&self.term.service);
        let engine = service.and_then(|key| catalog.value.service(key).engine.as_ref());
        if let Some(experts) = engine.and_then(|engine| engine.experts) {
            self.decider = Some(Decider::new(experts, self.term.size, self.context.bandwidth));
        }
    }

    fn handle_progress(&mut self) {
        let progress = self.coordinator.progress();
        if progress == self.last_progress {
            return;
        }
        let step = self.coordinator.step();
        log::info!(target: DECISION, decision = "switch", group = self.term.group.as_str(), from:? = self.last_progress, to:? = progress, epoch = self.coordinator.epoch(), number = self.switch.as_ref().map(|switch| switch.next_map.number), step; "map switch progressed");
        self.last_progress = progress;
        self.drop_queued_maps();
        let response_times = std::mem::take(&mut self.response_times);
        if response_times.len() * 10 >= self.members.len() * 9 {
            self.timing.record_round(response_times);
        }
        if matches!(progress, Progress::Holding | Progress::Arming)
            && let Some(switch) = &mut self.switch
        {
            switch.held_since.get_or_insert_with(Instant::now);
        }
        if progress == Progress::Idle {
            self.decision_due = true;
            self.finish_switch();
        }
    }

    /// Records the result of a map switch and the active map, now that nothing is in progress.
    fn finish_switch(&mut self) {
        let failed = self.coordinator.take_failure();
        let switch = self.switch.take();
        let epoch = self.coordinator.epoch();
        let Some(number) = self.coordinator.settled_map() else {
            return;
        };
        if let Some(switch) = switch {
            let took_ms = switch.started_at.elapsed().as_millis() as u64;
            let held_ms = switch.held_since.map(|since| since.elapsed().as_millis() as u64);
            let in_force = switch.next_map.number == number && !failed;
            log::info!(target: DECISION, decision = "map", group = self.term.group.as_str(), epoch, number, in_force, took_ms, held_ms; "map switch finished");
            self.record_switch(&switch, in_force);
            if in_force && let (Some(decider), Some(since)) = (&mut self.decider, switch.held_since) {
                decider.record_hold(since.elapsed());
            }
            if switch.next_map.number == number {
                self.current_map = Some((epoch, number, switch.next_map.map));
                return;
            }
            self.dropped_map = Some((switch.next_map.number, switch.next_map.map));
        }
        if self
            .current_map
            .as_ref()
            .is_none_or(|(map_epoch, map_number, _)| (*map_epoch, *map_number) != (epoch, number))
        {
            self.current_map = None;
        }
    }

    fn record_switch(&self, switch: &MapSwitch, in_force: bool) {
        let metrics = &self.context.metrics;
        metrics.record_switch_result(in_force);
        if !in_force {
            return;
        }
        metrics.switch_seconds.record(switch.started_at.elapsed());
        metrics.expert_loads.add(u64::from(switch.loads));
        if let Some(since) = switch.held_since {
            metrics.hold_seconds.record(since.elapsed());
        }
    }

    /// Returns the active map: the recorded one, the initial one, or one that is assembled from the placements of the
    /// ranks.
    fn resolve_current_map(&mut self) -> Option<&Map> {
        let epoch = self.coordinator.epoch();
        let number = self.coordinator.settled_map()?;
        let is_recorded = matches!(
            &self.current_map,
            Some((map_epoch, map_number, _)) if (*map_epoch, *map_number) == (epoch, number)
        );
        if !is_recorded {
            let shape = self.decider.as_ref()?.shape();
            let map = if number == 0 {
                Map::initial(shape)
            } else {
                let placements = self.members.iter().map(|member| member.placement.as_ref());
                assemble_map(placements, epoch, number, shape.layers)?
            };
            if !map.fits(shape) {
                return None;
            }
            self.current_map = Some((epoch, number, Arc::new(map)));
        }
        self.current_map.as_ref().map(|(_, _, map)| map.as_ref())
    }

    fn decide(&mut self) {
        if self.resolve_current_map().is_none() {
            return;
        }
        let slowdowns = self
            .members
            .iter()
            .map(|member| member.load.map_or(1.0, |(load, _)| load.slowdown()));
        let slowdowns = slowdowns.collect();
        let pause = self.context.board.catalog();
        let pause = pause.and_then(|catalog| catalog.value.max_pause_of(&self.term.service));
        let (Some(decider), Some((_, base, map))) = (&mut self.decider, &self.current_map) else {
            return;
        };
        decider.set_pass_time(Duration::from_secs_f64(self.pass_micros / 1.0e6), pause);
        decider.set_slowdowns(slowdowns);
        self.decided_at = Instant::now();
        let Some(refined) = decider.next_map(map) else { return };
        self.switch_count += 1;
        let number = (self.term.claim + 1) * FENCES_PER_CLAIM + self.switch_count;
        if self.coordinator.begin_change(number) {
            let base = match base {
                0 => map::Base::Initial(decider.shape()),
                number => map::Base::Sent(*number),
            };
            let mut bases = vec![(base, Arc::clone(map))];
            bases.extend(
                self.dropped_map
                    .take()
                    .map(|(number, map)| (map::Base::Sent(number), map)),
            );
            self.switch = Some(MapSwitch {
                next_map: OutgoingMap::new(number, refined.map, &bases),
                started_at: Instant::now(),
                max_rank_loads: refined.max_loads_per_rank,
                loads: refined.replica_loads,
                held_since: None,
            });
        }
    }

    /// Describes what a rank is awaited for: its pending order and that order's age, and the age of its last report.
    fn describe_rank(&self, rank: usize) -> String {
        let member = &self.members[rank];
        let age = |at: Option<Instant>| at.map_or(-1, |at| at.elapsed().as_millis() as i64);
        let order_age = age(member.pending_order.map(|(_, at)| at));
        let report_age = age(member.load.map(|(_, at)| at));
        let (act, view) = (self.coordinator.pending_act(rank), self.coordinator.view(rank));
        format!(
            "{rank}: {act:?} for {order_age} ms, heard {report_age} ms ago, direct {}, {view:?}",
            member.agent_bypassed
        )
    }

    /// Logs periodically why no decision is possible, if none is.
    fn log_stall(&mut self) {
        if self.decided_at.elapsed() < STALL_LOG_INTERVAL {
            return;
        }
        self.decided_at = Instant::now();
        let has_map = self.resolve_current_map().is_some();
        let outdated: Vec<usize> = (0..self.members.len())
            .filter(|rank| {
                self.members[*rank]
                    .load
                    .is_none_or(|(_, at)| at.elapsed() > self.timing.max_load_age())
            })
            .collect();
        let reason = match (&self.decider, self.coordinator.progress()) {
            (None, _) => "no catalog that tells of experts",
            (Some(decider), _) if !decider.has_demand() => "no counts",
            (_, Progress::Idle) if has_map && self.unresponsive_ranks > 0 => "ranks that say nothing",
            (_, Progress::Idle) if has_map => "no new counts",
            (_, Progress::Idle) => "no map that all ranks have",
            _ => "ranks that do not answer",
        };
        let awaited: Vec<String> = self
            .coordinator
            .awaited_ranks()
            .into_iter()
            .take(MAX_LOGGED_RANKS)
            .map(|rank| self.describe_rank(rank))
            .collect();
        log::info!(target: DECISION, decision = "stalled", group = self.term.group.as_str(), reason, progress:? = self.coordinator.progress(), surveys = self.coordinator.survey_count(), awaited:? = awaited, unheard:? = outdated; "no placement decision is possible");
    }
}
