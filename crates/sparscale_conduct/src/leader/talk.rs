//! Messages that a leader sends: orders and heartbeats to agents, loads to entries.

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_place::barrier::{Order, Progress};
use sparscale_telemetry::DECISION;
use sparscale_wire::{GroupLoad, MapUpdate, RankOrder};
use tokio::time::Instant;

use super::{Leader, SURVEY_PAUSE};
use crate::link::{Place, lag_of};
use crate::member::{Member, is_stage};

/// Bytes of an order to stage a map besides the map itself, with the overhead of the transport.
const STAGE_BYTES: usize = 110;
/// Interval between two messages with the loads of the group to the entries.
const LOADS_PAUSE: Duration = Duration::from_millis(100);

impl Leader {
    pub(super) fn send_orders(&mut self) {
        if self.conductor.progress() == Progress::Surveying {
            if self.surveyed.elapsed() < SURVEY_PAUSE {
                return;
            }
            self.surveyed = Instant::now();
        }
        for (rank, order) in self.conductor.orders() {
            if is_stage(&order) && rank != self.term.own {
                self.outbox.push(rank, order);
                continue;
            }
            self.members[rank].ordered = Some((order.serial, Instant::now()));
            self.members[rank].spoken = Instant::now();
            if !self.send_delegation(rank, order) {
                self.send_own(rank, order);
            }
        }
    }

    /// Polls ranks whose agents are frozen or unreachable while the leader waits for their state, since no process
    /// reports it.
    pub(super) fn look_at_missing(&mut self) {
        let awaits = matches!(self.conductor.progress(), Progress::Staging | Progress::Settling);
        if !awaits || self.looked.elapsed() < SURVEY_PAUSE {
            return;
        }
        self.looked = Instant::now();
        let direct = |rank: &usize| self.members[*rank].direct;
        let mut missing: Vec<usize> = self.silent().collect();
        missing.extend((0..self.members.len()).filter(direct));
        for rank in missing {
            if let Some(order) = self.conductor.look_at(rank) {
                self.members[rank].ordered = Some((order.serial, Instant::now()));
                self.send_own(rank, order);
            }
        }
    }

    /// Ranks without a recent report.
    pub(super) fn silent(&self) -> impl Iterator<Item = usize> {
        let age = self.pace.helper_age();
        let is_silent = move |member: &Member| member.load.is_none_or(|(_, at)| at.elapsed() >= age);
        let members = self.members.iter().enumerate();
        members
            .filter(move |(_, member)| is_silent(member))
            .map(|(rank, _)| rank)
    }

    /// Sends queued orders with maps as far as the bandwidth allows now.
    pub(super) fn send_maps(&mut self) {
        while let Some((rank, order)) = self.outbox.next(Instant::now()) {
            let now = Instant::now();
            self.members[rank].ordered = Some((order.serial, now));
            self.members[rank].spoken = now;
            self.send_own(rank, order);
        }
    }

    /// Drops the queued orders with maps when a map switch is over or given up.
    pub(super) fn drop_maps(&mut self) {
        if self.conductor.progress() == Progress::Staging {
            return;
        }
        for rank in self.outbox.clear() {
            self.conductor.lost(rank);
        }
    }

    pub(crate) fn send_own(&mut self, rank: usize, order: Order) {
        let change = self.change.as_ref().filter(|_| is_stage(&order));
        let map = change.map(|change| change.offer.update(&self.members[rank].sent));
        if let (Some(change), Some(map)) = (&mut self.change, &map) {
            let base = match map {
                MapUpdate::Whole(_) => None,
                MapUpdate::Change { base, .. } => Some(*base),
            };
            if rank != self.term.own {
                self.outbox.spend(bytes_of(map));
            }
            self.members[rank].sending = Some((change.offer.number, base));
        }
        let sent = self.members[rank].orders.try_send(RankOrder::Own { order, map });
        if sent.is_err() {
            self.members[rank].ordered = None;
            self.conductor.lost(rank);
        }
    }

    /// Sends heartbeats: agents take a leader without messages for terminated, and any order counts as a message.
    pub(super) fn send_heartbeats(&mut self) {
        let now = Instant::now();
        let pause = self.pace.heartbeat();
        for member in &mut self.members {
            if now.saturating_duration_since(member.spoken) < pause {
                continue;
            }
            member.spoken = now;
            // A full queue holds orders, which show as well that the leader is alive.
            let _full = member.orders.try_send(RankOrder::Heartbeat);
        }
    }

    /// Gives up orders and map switches that exceed their time limits.
    pub(super) fn check_times(&mut self) {
        let on_link = Duration::from_secs_f64(self.outbox.seconds());
        let limit = self.pace.order_limit() + on_link;
        for rank in 0..self.members.len() {
            if self.members[rank].ordered.is_some_and(|(_, at)| at.elapsed() > limit) {
                self.members[rank].ordered = None;
                self.conductor.lost(rank);
            }
        }
        let Some(change) = &self.change else { return };
        let load_ms = self.context.board.catalog().map_or(0.0, |catalog| {
            let service = catalog.value.find_service(&self.term.service);
            let engine = service.and_then(|key| catalog.value.service(key).engine.as_ref());
            engine
                .and_then(|engine| engine.experts)
                .map_or(0.0, |experts| experts.load_ms())
        });
        let staging =
            Duration::from_secs_f64(load_ms * f64::from(change.deepest) / 1_000.0) + self.pace.stage_slack() + on_link;
        let hold_limit = if self.members.iter().any(|member| member.direct) {
            self.pace
                .direct_hold_limit(lag_of(&self.context.board, &self.term.service).unwrap_or_default())
        } else {
            self.pace.hold_limit()
        };
        let over = match self.conductor.progress() {
            Progress::Staging => change.began.elapsed() > staging,
            Progress::Holding | Progress::Arming => change.held.is_some_and(|held| held.elapsed() > hold_limit),
            _ => false,
        };
        if over {
            log::warn!(target: DECISION, decision = "abandon", group = self.term.group.as_str(), number = change.offer.number, progress:? = self.conductor.progress(); "a map switch took too long");
            self.conductor.abandon();
        }
    }

    pub(super) fn place_members(&self) {
        let Some(targets) = self.context.board.targets() else {
            return;
        };
        for (rank, member) in self.members.iter().enumerate() {
            let engines = targets.value.places(&self.term.group, rank);
            // A rank without an entry may only have lapsed; its last location is the best guess.
            if engines.is_empty() {
                continue;
            }
            let place = |engine: SocketAddr| Place {
                engine,
                agent: SocketAddr::new(engine.ip(), self.context.port),
            };
            let places: Vec<Place> = engines.into_iter().map(place).collect();
            member.places.send_if_modified(|known| {
                let changed = *known != places;
                *known = places;
                changed
            });
        }
    }

    pub(super) fn tell_loads(&mut self) {
        if self.told.elapsed() < LOADS_PAUSE && !std::mem::take(&mut self.tell_now) {
            return;
        }
        self.told = Instant::now();
        self.messages += 1;
        let skew = match (&self.decider, &self.map) {
            (Some(decider), Some((_, _, map))) if decider.knows() => decider.skew(map),
            _ => 0.0,
        };
        // Entries send nothing to ranks without a load, so the load of a box that may be frozen is left out.
        let age = self.pace.helper_age();
        let fresh = |member: &Member| {
            let load = member.load.filter(|(_, at)| at.elapsed() < age);
            load.map(|(load, _)| load)
        };
        self.context.figures.skew.set(skew);
        self.context.figures.pass_seconds.set(self.pass_micros / 1.0e6);
        let load = GroupLoad {
            group: self.term.group.clone(),
            order: (self.term.claim, self.messages),
            open: self.conductor.progress() != Progress::Surveying,
            skew,
            pass_micros: self.pass_micros as u64,
            pass: self.latest_pass,
            ranks: self.members.iter().map(fresh).collect(),
        };
        self.context.mesh.offer_group(load, true);
    }
}

/// Upper bound of the encoded size of a map update: an expert in a whole map takes two bytes at most.
fn bytes_of(map: &MapUpdate) -> usize {
    let content = match map {
        MapUpdate::Change { patch, .. } => patch.bytes(),
        MapUpdate::Whole(map) => map
            .layers
            .iter()
            .flat_map(|layer| &layer.ranks)
            .map(|rank| 1 + 2 * rank.len())
            .sum(),
    };
    content + STAGE_BYTES
}
