//! Messages that a leader sends: orders and heartbeats to agents, loads to entries.

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_place::barrier::{Order, Progress};
use sparscale_telemetry::DECISION;
use sparscale_wire::{group, map, rank};
use tokio::time::Instant;

use super::{Leader, SURVEY_INTERVAL};
use crate::decision::Decider;
use crate::link::{Location, report_lag};
use crate::member::{Member, is_stage};

/// Bytes of an order to stage a map besides the map itself, with the overhead of the transport.
const STAGE_OVERHEAD_BYTES: usize = 110;
/// Interval between two messages with the loads of the group to the entries.
const LOADS_INTERVAL: Duration = Duration::from_millis(100);

impl Leader {
    pub(super) fn send_orders(&mut self) {
        if self.coordinator.progress() == Progress::Surveying {
            if self.surveyed_at.elapsed() < SURVEY_INTERVAL {
                return;
            }
            self.surveyed_at = Instant::now();
        }
        for (rank, order) in self.coordinator.orders() {
            if is_stage(&order) && rank != self.term.own_rank {
                self.outbox.push(rank, order);
                continue;
            }
            self.members[rank].pending_order = Some((order.serial, Instant::now()));
            self.members[rank].last_sent = Instant::now();
            if !self.delegate_hold(rank, order) {
                self.send_order(rank, order);
            }
        }
    }

    /// Polls ranks whose agents are frozen or unreachable while the leader waits for their state, since no process
    /// reports it.
    pub(super) fn poll_missing(&mut self) {
        let awaits_state = matches!(self.coordinator.progress(), Progress::Staging | Progress::Settling);
        if !awaits_state || self.missing_polled_at.elapsed() < SURVEY_INTERVAL {
            return;
        }
        self.missing_polled_at = Instant::now();
        let is_bypassed = |rank: &usize| self.members[*rank].agent_bypassed;
        let mut missing: Vec<usize> = self.unresponsive().collect();
        missing.extend((0..self.members.len()).filter(is_bypassed));
        for rank in missing {
            if let Some(order) = self.coordinator.query_rank(rank) {
                self.members[rank].pending_order = Some((order.serial, Instant::now()));
                self.send_order(rank, order);
            }
        }
    }

    /// Ranks without a recent report.
    pub(super) fn unresponsive(&self) -> impl Iterator<Item = usize> {
        let age = self.timing.max_helper_age();
        let is_unresponsive = move |member: &Member| member.load.is_none_or(|(_, at)| at.elapsed() >= age);
        let members = self.members.iter().enumerate();
        members
            .filter(move |(_, member)| is_unresponsive(member))
            .map(|(rank, _)| rank)
    }

    /// Sends queued orders with maps as far as the bandwidth allows now.
    pub(super) fn send_maps(&mut self) {
        while let Some((rank, order)) = self.outbox.pop_ready(Instant::now()) {
            let now = Instant::now();
            self.members[rank].pending_order = Some((order.serial, now));
            self.members[rank].last_sent = now;
            self.send_order(rank, order);
        }
    }

    /// Drops the queued orders with maps when a map switch is over or given up.
    pub(super) fn drop_queued_maps(&mut self) {
        if self.coordinator.progress() == Progress::Staging {
            return;
        }
        for rank in self.outbox.clear() {
            self.coordinator.record_no_answer(rank);
        }
    }

    pub(crate) fn send_order(&mut self, rank: usize, order: Order) {
        let switch = self.switch.as_ref().filter(|_| is_stage(&order));
        let map = switch.map(|switch| switch.next_map.update_for(&self.members[rank].sent_maps));
        if let (Some(switch), Some(map)) = (&mut self.switch, &map) {
            let base = match map {
                map::Update::Full(_) => None,
                map::Update::Patch { base, .. } => Some(*base),
            };
            if rank != self.term.own_rank {
                self.outbox.charge(encoded_bytes(map));
            }
            self.members[rank].pending_map = Some((switch.next_map.number, base));
        }
        let sent = self.members[rank].orders.try_send(rank::Order::ToRank { order, map });
        if sent.is_err() {
            self.members[rank].pending_order = None;
            self.coordinator.record_no_answer(rank);
        }
    }

    /// Sends heartbeats: agents take a leader without messages for terminated, and any order counts as a message.
    pub(super) fn send_heartbeats(&mut self) {
        let now = Instant::now();
        let interval = self.timing.heartbeat_interval();
        for member in &mut self.members {
            if now.saturating_duration_since(member.last_sent) < interval {
                continue;
            }
            member.last_sent = now;
            // A full queue holds orders, which show as well that the leader is alive.
            let _full = member.orders.try_send(rank::Order::Heartbeat);
        }
    }

    /// Gives up orders and map switches that exceed their time limits.
    pub(super) fn check_deadlines(&mut self) {
        let link_time = Duration::from_secs_f64(self.outbox.link_seconds());
        let limit = self.timing.order_limit() + link_time;
        for rank in 0..self.members.len() {
            if self.members[rank]
                .pending_order
                .is_some_and(|(_, at)| at.elapsed() > limit)
            {
                self.members[rank].pending_order = None;
                self.coordinator.record_no_answer(rank);
            }
        }
        let Some(switch) = &self.switch else { return };
        let load_ms = self.context.board.catalog().map_or(0.0, |catalog| {
            let service = catalog.value.find_service(&self.term.service);
            let engine = service.and_then(|key| catalog.value.service(key).engine.as_ref());
            engine
                .and_then(|engine| engine.experts)
                .map_or(0.0, |experts| experts.load_ms())
        });
        let staging_limit = Duration::from_secs_f64(load_ms * f64::from(switch.max_rank_loads) / 1_000.0)
            + self.timing.stage_slack()
            + link_time;
        let hold_limit = if self.members.iter().any(|member| member.agent_bypassed) {
            self.timing
                .direct_hold_limit(report_lag(&self.context.board, &self.term.service).unwrap_or_default())
        } else {
            self.timing.hold_limit()
        };
        let timed_out = match self.coordinator.progress() {
            Progress::Staging => switch.started_at.elapsed() > staging_limit,
            Progress::Holding | Progress::Arming => switch.held_since.is_some_and(|since| since.elapsed() > hold_limit),
            _ => false,
        };
        if timed_out {
            log::warn!(target: DECISION, decision = "abandon", group = self.term.group.as_str(), number = switch.next_map.number, progress:? = self.coordinator.progress(); "map switch exceeded its time limit");
            self.coordinator.abandon_change();
        }
    }

    pub(super) fn update_locations(&self) {
        let Some(targets) = self.context.board.targets() else {
            return;
        };
        for (rank, member) in self.members.iter().enumerate() {
            let engines = targets.value.addresses_of_rank(&self.term.group, rank);
            // A rank without an entry may only have lapsed; its last location is the best guess.
            if engines.is_empty() {
                continue;
            }
            let location_of = |engine: SocketAddr| Location {
                engine,
                agent: SocketAddr::new(engine.ip(), self.context.port),
            };
            let locations: Vec<Location> = engines.into_iter().map(location_of).collect();
            member.locations.send_if_modified(|current| {
                let changed = *current != locations;
                *current = locations;
                changed
            });
        }
    }

    pub(super) fn send_loads(&mut self) {
        if self.loads_sent_at.elapsed() < LOADS_INTERVAL && !std::mem::take(&mut self.send_loads_now) {
            return;
        }
        self.loads_sent_at = Instant::now();
        self.load_messages += 1;
        let skew = match (&self.decider, &self.current_map) {
            (Some(decider), Some((_, _, map))) if decider.has_demand() => decider.skew(map),
            _ => 0.0,
        };
        // Entries send nothing to ranks without a load, so the load of a box that may be frozen is left out.
        let age = self.timing.max_helper_age();
        let fresh_load = |member: &Member| {
            let load = member.load.filter(|(_, at)| at.elapsed() < age);
            load.map(|(load, _)| load)
        };
        self.context.metrics.skew.set(skew);
        let observed_skew = self.decider.as_ref().and_then(Decider::observed_skew);
        self.context.metrics.observed_skew.set(observed_skew.unwrap_or(0.0));
        self.context.metrics.pass_seconds.set(self.pass_micros / 1.0e6);
        let load = group::Load {
            group: self.term.group.clone(),
            sequence: (self.term.claim, self.load_messages),
            is_running: self.coordinator.progress() != Progress::Surveying,
            skew,
            mean_pass_micros: self.pass_micros as u64,
            latest_pass: self.latest_pass,
            rank_loads: self.members.iter().map(fresh_load).collect(),
        };
        self.context.mesh.merge_group_load(load, true);
    }
}

/// Upper bound of the encoded size of a map update: an expert in a whole map takes two bytes at most.
fn encoded_bytes(map: &map::Update) -> usize {
    let content = match map {
        map::Update::Patch { patch, .. } => patch.size_bytes(),
        map::Update::Full(map) => map
            .layers
            .iter()
            .flat_map(|layer| &layer.ranks)
            .map(|rank| 1 + 2 * rank.len())
            .sum(),
    };
    content + STAGE_OVERHEAD_BYTES
}
