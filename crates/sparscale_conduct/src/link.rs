//! Streams between the leader of a group and the agents of its ranks.
//!
//! If an agent is unreachable for too long the leader orders the rank's engine directly, because the whole group may be
//! stalled by one order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_telemetry::DECISION;
use sparscale_wire::{Channel, Endpoint, Frame, Peer, Role, StreamRequest, map, rank};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::engine::Engines;
use crate::handle::{Assignment, Command, Handle};
use crate::leader_poll;
use crate::remote_engine::RemoteEngine;
use crate::timing::GroupTiming;

/// Time limit for opening a stream to an agent: a lost first packet is retransmitted after 150 ms, and again after 300
/// ms.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// Links that one leader opens concurrently. A handshake takes some 10 ms of processor time on a small box; dozens at
/// once would all exceed [`OPEN_TIMEOUT`] and start over without end.
pub(crate) const MAX_DIALS: usize = 8;
/// Delay before the next attempt to connect to an agent.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Report lag of engines that is assumed until the catalog is known.
const DEFAULT_REPORT_LAG: Duration = Duration::from_millis(300);

/// An event on the link between a leader and a rank.
#[derive(Debug)]
pub(crate) enum Event {
    /// The rank's agent sent an update.
    Update { rank: usize, update: rank::Update },
    /// The rank's engine answered a direct order because its agent is unreachable.
    DirectUpdate { rank: usize, update: rank::Update },
    /// Pending orders to the rank will not be answered.
    OrdersLost { rank: usize },
}

/// Addresses of the engine and of the agent of a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) engine: SocketAddr,
    pub(crate) agent: SocketAddr,
}

/// Serves a leader's stream at the rank's agent until either side has closed it.
pub(crate) async fn serve_leader(handle: Handle, assignment: Assignment, channel: Channel) {
    let Channel {
        mut sender,
        mut receiver,
    } = channel;
    let mut updates = handle.subscribe(assignment.clone()).await;
    loop {
        tokio::select! {
            update = updates.recv() => {
                let Some(update) = update else { return };
                if sender.send(&Frame::RankUpdate(update)).await.is_err() {
                    return;
                }
            }
            received = receiver.receive() => match received {
                Ok(Frame::RankOrder(order)) => handle
                    .send_command(Command { assignment: assignment.clone(), order })
                    .await,
                Ok(_) => log::warn!("ignored an unexpected frame on a leader's stream"),
                Err(_) => return,
            },
        }
    }
}

/// Accepts connections of leaders and polls until the endpoint closes.
pub(crate) async fn accept(endpoint: Arc<Endpoint>, handle: Handle) {
    while let Ok(incoming) = endpoint.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            match incoming.establish().await {
                Ok(peer) => serve_peer(peer, handle).await,
                Err(error) => {
                    log::info!(target: DECISION, decision = "peer_refused", error = error.to_string().as_str(); "failed to establish an incoming connection");
                }
            }
        });
    }
}

async fn serve_peer(peer: Peer, handle: Handle) {
    while let Ok(mut channel) = peer.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            match channel.receiver.receive().await {
                Ok(Frame::Open(StreamRequest::LeadRank { group, rank, claim })) => {
                    serve_leader(handle, Assignment { group, rank, claim }, channel).await;
                }
                Ok(Frame::Open(StreamRequest::QueryLeader { group })) => {
                    leader_poll::answer_poll(&handle, &group, channel).await;
                }
                _ => log::warn!("ignored a stream with an unknown request"),
            }
        });
    }
}

/// Leader's link to its own rank, without a network connection.
pub(crate) async fn run_own_link(assignment: Assignment, handle: Handle, mut link: Link) {
    let rank = assignment.rank;
    let mut updates = handle.subscribe(assignment.clone()).await;
    loop {
        tokio::select! {
            update = updates.recv() => {
                let Some(update) = update else { return };
                if link.events.send(Event::Update { rank, update }).await.is_err() {
                    return;
                }
            }
            order = link.orders.recv() => {
                let Some(order) = order else { return };
                handle.send_command(Command { assignment: assignment.clone(), order }).await;
            }
        }
    }
}

/// Channels between a leader and the task of a link.
pub(crate) struct Link {
    pub(crate) orders: mpsc::Receiver<rank::Order>,
    pub(crate) events: mpsc::Sender<Event>,
}

/// Leader's link to a rank on another box.
pub(crate) struct RemoteLink {
    pub(crate) assignment: Assignment,
    /// Candidate locations of the rank, the most likely first.
    pub(crate) locations: watch::Receiver<Vec<Location>>,
    /// Failed attempts since the locations last changed; selects the location to dial.
    pub(crate) attempt: usize,
    pub(crate) endpoint: Arc<Endpoint>,
    /// Permits for opening links concurrently.
    pub(crate) dial_permits: Arc<Semaphore>,
    pub(crate) engines: Arc<dyn Engines>,
    pub(crate) board: Arc<Board>,
    pub(crate) service: String,
    pub(crate) timing: GroupTiming,
}

impl RemoteLink {
    /// Keeps the link connected until the leader terminates.
    pub(crate) async fn run(mut self, mut link: Link) {
        // The rank cannot be reached until the roster contains its location.
        if self
            .locations
            .wait_for(|locations| !locations.is_empty())
            .await
            .is_err()
        {
            return;
        }
        let mut absence = Absence {
            since: Instant::now(),
            direct_after: self.timing.direct_order_after(),
        };
        loop {
            let Some((channel, queued_order)) = self.open(&mut link, absence).await else {
                return;
            };
            let last_update = match channel {
                Some(channel) => self.forward(channel, queued_order, &mut link).await,
                None => None,
            };
            match last_update {
                Some(since) => {
                    let direct_after = self.timing.direct_order_again_after();
                    absence = Absence { since, direct_after };
                }
                // Another entry of the roster may name the same rank.
                None => self.attempt = self.attempt.wrapping_add(1),
            }
            let rank = self.assignment.rank;
            if link.events.send(Event::OrdersLost { rank }).await.is_err() {
                return;
            }
            tokio::time::sleep(REDIAL_DELAY).await;
        }
    }

    /// Opens a stream. An order that arrives meanwhile is returned with it, or is sent directly to the engine if the
    /// agent has been missing for too long, since the group may be stalled by it. Returns `None` once the leader has
    /// terminated.
    async fn open(&mut self, link: &mut Link, absence: Absence) -> Option<(Option<Channel>, Option<rank::Order>)> {
        if self.locations.has_changed().unwrap_or(false) {
            self.attempt = 0;
        }
        let Some(location) = location_for(&self.locations.borrow_and_update(), self.attempt) else {
            return Some((None, None));
        };
        let (endpoint, dial_permits) = (Arc::clone(&self.endpoint), Arc::clone(&self.dial_permits));
        let mut opening = std::pin::pin!(open_stream(
            endpoint,
            dial_permits,
            location.agent,
            self.assignment.clone()
        ));
        let mut queued_order: Option<rank::Order> = None;
        loop {
            let direct_at = absence.since + absence.direct_after;
            tokio::select! {
                channel = &mut opening => return Some((channel, queued_order)),
                order = link.orders.recv() => match order? {
                    // An agent that is unreachable needs no heartbeat.
                    rank::Order::Heartbeat => {}
                    order => queued_order = Some(order),
                },
                () = tokio::time::sleep_until(direct_at), if queued_order.is_some() => {
                    if let Some(event) = self.order_directly(queued_order.take()?).await {
                        link.events.send(event).await.ok()?;
                    }
                }
            }
        }
    }

    /// Forwards orders and updates until the stream ends, starting with `queued_order`; returns when the agent last
    /// sent an update, if it ever did.
    async fn forward(
        &mut self,
        channel: Channel,
        queued_order: Option<rank::Order>,
        link: &mut Link,
    ) -> Option<Instant> {
        let Channel {
            mut sender,
            mut receiver,
        } = channel;
        let mut last_received = Instant::now();
        let mut last_update = None;
        if let Some(order) = queued_order
            && sender.send(&Frame::RankOrder(order)).await.is_err()
        {
            return last_update;
        }
        loop {
            tokio::select! {
                order = link.orders.recv() => {
                    let order = order?;
                    if sender.send(&Frame::RankOrder(order)).await.is_err() {
                        return last_update;
                    }
                }
                received = receiver.receive() => {
                    let Ok(Frame::RankUpdate(update)) = received else { return last_update };
                    last_received = Instant::now();
                    last_update = Some(last_received);
                    if link.events.send(Event::Update { rank: self.assignment.rank, update }).await.is_err() {
                        return last_update;
                    }
                }
                () = tokio::time::sleep_until(last_received + self.timing.agent_timeout()) => {
                    if let Some(location) = location_for(&self.locations.borrow(), self.attempt) {
                        self.endpoint.drop_connection(location.agent, Role::Agent);
                    }
                    return last_update;
                }
                Ok(()) = self.locations.changed() => {
                    self.attempt = 0;
                    return last_update;
                }
            }
        }
    }

    async fn order_directly(&self, order: rank::Order) -> Option<Event> {
        let rank = self.assignment.rank;
        let rank::Order::ToRank { order, map } = order else {
            return None;
        };
        let map = match map {
            Some(map::Update::Full(map)) => Some(map),
            // An engine needs the whole map, and this change was meant for an agent that has its base.
            Some(map::Update::Patch { .. }) => return Some(Event::OrdersLost { rank }),
            None => None,
        };
        let Some(location) = location_for(&self.locations.borrow(), self.attempt) else {
            return Some(Event::OrdersLost { rank });
        };
        let mut engine = RemoteEngine::new(
            self.engines.at(location.engine),
            report_lag(&self.board, &self.service).unwrap_or(DEFAULT_REPORT_LAG),
        );
        if !engine.is_rank(&self.assignment.group, rank).await {
            return Some(Event::OrdersLost { rank });
        }
        let (report, load) = engine.order(&order, map.as_deref()).await;
        log::info!(target: DECISION, decision = "order_directly", rank, act:? = order.act, answer:? = report.answer; "agent unreachable; ordered its engine directly");
        Some(Event::DirectUpdate {
            rank,
            update: rank::Update::Report { report, load },
        })
    }
}

/// Age of the reports that engines of `service` send to other boxes; `None` until the catalog is known.
pub(crate) fn report_lag(board: &Board, service: &str) -> Option<Duration> {
    let catalog = board.catalog()?;
    let service = catalog.value.find_service(service)?;
    let engine = catalog.value.service(service).engine.as_ref()?;
    Some(Duration::from_secs_f64(engine.report_lag_ms / 1_000.0))
}

/// Start of an agent's absence, and the time after which its engine is ordered directly.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Instant,
    direct_after: Duration,
}

/// Opens a stream on which the leader leads the agent as `assignment` states.
async fn open_stream(
    endpoint: Arc<Endpoint>,
    dial_permits: Arc<Semaphore>,
    agent: SocketAddr,
    assignment: Assignment,
) -> Option<Channel> {
    // The timeout starts only once a permit is available.
    let _permit = dial_permits.acquire().await.ok()?;
    let opening = async {
        let mut channel = endpoint.open(agent, Role::Agent).await.ok()?;
        let request = StreamRequest::LeadRank {
            group: assignment.group,
            rank: assignment.rank,
            claim: assignment.claim,
        };
        channel.sender.send(&Frame::Open(request)).await.ok()?;
        Some(channel)
    };
    tokio::time::timeout(OPEN_TIMEOUT, opening).await.ok().flatten()
}

/// Location for this attempt: attempts cycle through the candidates.
fn location_for(locations: &[Location], attempt: usize) -> Option<Location> {
    locations.get(attempt % locations.len().max(1)).copied()
}
