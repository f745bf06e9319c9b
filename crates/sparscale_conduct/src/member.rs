//! Leader's record of each rank and of the operations in progress.

use std::sync::Arc;

use sparscale_place::Map;
use sparscale_place::barrier::{Act, Answer, Order};
use sparscale_wire::{Base, Placement, RankLoad, RankOrder};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::context::{Context, Term};
use crate::handle::Lead;
use crate::link::{Event, Link, Place, Remote, lead_own};
use crate::maps::{Offer, Sent};
use crate::pace::Pace;

/// Capacity of the queue of orders of each rank, and of the event queue of the leader.
pub(crate) const QUEUE: usize = 256;

/// One rank of the group, as its leader sees it.
pub(crate) struct Member {
    pub(crate) orders: mpsc::Sender<RankOrder>,
    /// Candidate locations, the most likely first.
    pub(crate) places: watch::Sender<Vec<Place>>,
    pub(crate) load: Option<(RankLoad, Instant)>,
    pub(crate) holds: Option<Placement>,
    /// Serial of the order that awaits an answer, and when it was sent.
    pub(crate) ordered: Option<(u64, Instant)>,
    /// When the latest order or heartbeat was sent to it.
    pub(crate) spoken: Instant,
    /// Whether its engine is ordered directly because its agent is unreachable.
    pub(crate) direct: bool,
    pub(crate) failed_delegation: Option<Instant>,
    /// Maps known to be in the agent's cache.
    pub(crate) sent: Sent,
    /// The map whose staging it has not answered yet: its number, and the base if it was sent as a change.
    pub(crate) sending: Option<(u64, Option<Base>)>,
}

impl Member {
    /// Whether the order with this serial awaits an answer.
    pub(crate) fn awaits(&self, serial: u64) -> bool {
        self.ordered.is_some_and(|(ordered, _)| ordered == serial)
    }

    /// Records the outcome of the map that was sent last, if its answer was still due.
    pub(crate) fn settle_sending(&mut self, answer: Option<Answer>) {
        match (self.sending.take(), answer) {
            (Some((number, base)), Some(Answer::Done)) => self.sent.note(number, base),
            (Some(_), _) | (None, None) => self.sent.forget(),
            (None, Some(_)) => {}
        }
    }
}

/// An order that the agent of another rank carries out.
pub(crate) struct Delegation {
    pub(crate) order: Order,
    pub(crate) helper: usize,
    pub(crate) sent: Instant,
    pub(crate) answer: Option<Answer>,
    pub(crate) proof: Proof,
}

/// Whether the helper is known to have kept running after it placed a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Proof {
    /// The helper is queried at this time.
    Due(Instant),
    /// The helper has been queried and has not answered yet.
    Asked,
    /// The helper has answered.
    Given,
}

/// A switch to another map, in progress.
pub(crate) struct Change {
    pub(crate) offer: Offer,
    pub(crate) began: Instant,
    pub(crate) deepest: u32,
    /// Experts that it loads, summed over all ranks.
    pub(crate) loads: u32,
    pub(crate) held: Option<Instant>,
}

pub(crate) fn is_stage(order: &Order) -> bool {
    matches!(order.act, Act::Stage { .. })
}

pub(crate) fn member(
    context: &Context,
    term: &Term,
    rank: usize,
    events: mpsc::Sender<Event>,
    dials: &Arc<Semaphore>,
    pace: Pace,
) -> Member {
    let (sender, orders) = mpsc::channel(QUEUE);
    let places = watch::Sender::new(Vec::new());
    let link = Link { orders, events };
    let lead = Lead {
        group: term.group.clone(),
        rank,
        claim: term.claim,
    };
    if rank == term.own {
        tokio::spawn(lead_own(lead, context.handle.clone(), link));
    } else {
        let remote = Remote {
            lead,
            places: places.subscribe(),
            turn: 0,
            endpoint: Arc::clone(&context.endpoint),
            dials: Arc::clone(dials),
            engines: Arc::clone(&context.engines),
            board: Arc::clone(&context.board),
            service: term.service.clone(),
            pace,
        };
        tokio::spawn(remote.lead(link));
    }
    Member {
        orders: sender,
        places,
        load: None,
        holds: None,
        ordered: None,
        spoken: Instant::now(),
        direct: false,
        failed_delegation: None,
        sent: Sent::default(),
        sending: None,
    }
}

/// Assembles the group's map from the placements that the ranks report, if all report the same epoch and number.
pub(crate) fn assemble<'a>(
    holds: impl Iterator<Item = Option<&'a Placement>>,
    epoch: u64,
    number: u64,
    layers: usize,
) -> Option<Map> {
    let holds: Vec<&Placement> = holds.collect::<Option<_>>()?;
    let same = |placement: &&Placement| {
        (placement.epoch, placement.number) == (epoch, number) && placement.sets.len() == layers
    };
    if !holds.iter().all(same) {
        return None;
    }
    let layer = |index: usize| sparscale_place::Layer {
        ranks: holds.iter().map(|placement| placement.sets[index].clone()).collect(),
    };
    Some(Map {
        layers: (0..layers).map(layer).collect(),
    })
}
