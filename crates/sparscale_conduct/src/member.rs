//! Leader's record of each rank and of the operations in progress.

use std::sync::Arc;

use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Order};
use sparscale_wire::{map, rank};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::context::{Context, Term};
use crate::handle::Assignment;
use crate::link::{Event, Link, Location, RemoteLink, run_own_link};
use crate::maps::{OutgoingMap, SentMaps};
use crate::timing::GroupTiming;

/// Capacity of the queue of orders of each rank, and of the event queue of the leader.
pub(crate) const ORDER_QUEUE_LEN: usize = 256;

/// One rank of the group, as its leader sees it.
pub(crate) struct Member {
    pub(crate) orders: mpsc::Sender<rank::Order>,
    /// Candidate locations, the most likely first.
    pub(crate) locations: watch::Sender<Vec<Location>>,
    pub(crate) load: Option<(rank::Load, Instant)>,
    pub(crate) placement: Option<rank::Experts>,
    /// Serial of the order that awaits an answer, and when it was sent.
    pub(crate) pending_order: Option<(u64, Instant)>,
    /// When the latest order or heartbeat was sent to it.
    pub(crate) last_sent: Instant,
    /// Whether its engine is ordered directly because its agent is unreachable.
    pub(crate) agent_bypassed: bool,
    pub(crate) delegation_failed_at: Option<Instant>,
    /// Maps known to be in the agent's cache.
    pub(crate) sent_maps: SentMaps,
    /// The map whose staging it has not answered yet: its number, and the base if it was sent as a change.
    pub(crate) pending_map: Option<(u64, Option<map::Base>)>,
}

impl Member {
    /// Whether the order with this serial awaits an answer.
    pub(crate) fn awaits_order(&self, serial: u64) -> bool {
        self.pending_order.is_some_and(|(pending, _)| pending == serial)
    }

    /// Records the outcome of the map that was sent last, if its answer was still due.
    pub(crate) fn settle_pending_map(&mut self, answer: Option<Answer>) {
        match (self.pending_map.take(), answer) {
            (Some((number, base)), Some(Answer::Done)) => self.sent_maps.record_sent(number, base),
            (Some(_), _) | (None, None) => self.sent_maps.clear(),
            (None, Some(_)) => {}
        }
    }
}

/// An order that the agent of another rank carries out.
pub(crate) struct Delegation {
    pub(crate) order: Order,
    pub(crate) helper: usize,
    pub(crate) sent_at: Instant,
    pub(crate) answer: Option<Answer>,
    pub(crate) liveness: LivenessCheck,
}

/// Whether the helper is known to have kept running after it placed a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessCheck {
    /// The helper is queried at this time.
    DueAt(Instant),
    /// The helper has been queried and has not answered yet.
    Requested,
    /// The helper has answered.
    Passed,
}

/// A switch to another map, in progress.
pub(crate) struct MapSwitch {
    pub(crate) next_map: OutgoingMap,
    pub(crate) started_at: Instant,
    pub(crate) max_rank_loads: u32,
    /// Experts that it loads, summed over all ranks.
    pub(crate) loads: u32,
    pub(crate) held_since: Option<Instant>,
}

pub(crate) fn is_stage(order: &Order) -> bool {
    matches!(order.act, Act::Stage { .. })
}

pub(crate) fn spawn_member(
    context: &Context,
    term: &Term,
    rank: usize,
    events: mpsc::Sender<Event>,
    dial_permits: &Arc<Semaphore>,
    timing: GroupTiming,
) -> Member {
    let (sender, orders) = mpsc::channel(ORDER_QUEUE_LEN);
    let locations = watch::Sender::new(Vec::new());
    let link = Link { orders, events };
    let assignment = Assignment {
        group: term.group.clone(),
        rank,
        claim: term.claim,
    };
    if rank == term.own_rank {
        tokio::spawn(run_own_link(assignment, context.handle.clone(), link));
    } else {
        let remote = RemoteLink {
            assignment,
            locations: locations.subscribe(),
            attempt: 0,
            endpoint: Arc::clone(&context.endpoint),
            dial_permits: Arc::clone(dial_permits),
            engines: Arc::clone(&context.engines),
            board: Arc::clone(&context.board),
            service: term.service.clone(),
            timing,
        };
        tokio::spawn(remote.run(link));
    }
    Member {
        orders: sender,
        locations,
        load: None,
        placement: None,
        pending_order: None,
        last_sent: Instant::now(),
        agent_bypassed: false,
        delegation_failed_at: None,
        sent_maps: SentMaps::default(),
        pending_map: None,
    }
}

/// Assembles the group's map from the placements that the ranks report, if all report the same epoch and number.
pub(crate) fn assemble_map<'a>(
    placements: impl Iterator<Item = Option<&'a rank::Experts>>,
    epoch: u64,
    number: u64,
    layers: usize,
) -> Option<Map> {
    let placements: Vec<&rank::Experts> = placements.collect::<Option<_>>()?;
    let matches = |placement: &&rank::Experts| {
        (placement.epoch, placement.map_number) == (epoch, number) && placement.experts_by_set.len() == layers
    };
    if !placements.iter().all(matches) {
        return None;
    }
    let layer = |index: usize| sparscale_place::Layer {
        ranks: placements
            .iter()
            .map(|placement| placement.experts_by_set[index].clone())
            .collect(),
    };
    Some(Map {
        layers: (0..layers).map(layer).collect(),
    })
}
