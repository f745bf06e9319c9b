//! Places the experts of one group: collects selection counts, decides on a map, appends it to the log, and orders the
//! ranks to switch to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use sparscale_bundle::{Group, Placement};
use sparscale_journal::{Duty, MapChange, RecordBody, shape};
use sparscale_place::switch::{Act, Coordinator, Order, Progress, Report};
use sparscale_place::{Costs, Decision, Map, Shape, TokenCounts, decide};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Frame, Role, StreamRequest};
use tokio::time::Instant;

use crate::placer_context::Context;

/// Interval between two rounds of orders during a map switch.
const SWITCH_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two checks while no map switch is in progress.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a query or an order to a rank.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an attempt to arm all ranks is abandoned, so that the ranks already armed can continue.
const ARM_TIMEOUT: Duration = Duration::from_secs(3);
/// Ranks queried for expert counts in one round. Counts are cumulative, so a later query loses nothing, and two of 64
/// ranks at a time keep a placer within its traffic budget.
const RANKS_PER_COUNT_ROUND: usize = 2;
/// Timeout of appending a map to the log.
const MAP_APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Placement decisions per half-life of the counts.
const DECISIONS_PER_HALF_LIFE: f64 = 2.0;
/// Assumed slowdown of responses while weights load, as a fraction.
const SLOWDOWN_SHARE_WHILE_LOADING: f64 = 0.1;
const HOURS_PER_DAY: u64 = 24;
const SECONDS_PER_HOUR: u64 = 3_600;

/// Placer of one group under one fence.
pub(crate) struct GroupPlacer {
    context: Arc<Context>,
    group: String,
    fence: u64,
    counting: Option<Counting>,
}

/// Token counts of the experts, and the counts that each rank last reported.
struct Counting {
    counts: TokenCounts,
    last_counts: Vec<Option<Vec<u64>>>,
    updated_at: Instant,
    next_rank: usize,
}

/// The rank that was last probed for progress, and the step that it reported.
#[derive(Default)]
struct Probe {
    rank: usize,
    step: u64,
}

/// A group of the active bundle, with its current map.
struct GroupState {
    group: Group,
    placement: Placement,
    shape: Shape,
    current_map: Map,
    map_number: u64,
}

impl GroupPlacer {
    pub(crate) fn new(context: Arc<Context>, group: &str, fence: u64) -> Self {
        Self {
            context,
            group: group.to_owned(),
            fence,
            counting: None,
        }
    }

    /// Places experts until the duty is lost. Returns true if the switch is stuck and only a higher fence can continue
    /// it.
    pub(crate) async fn run(mut self) -> bool {
        log::info!(target: DECISION, decision = "place", group = self.group.as_str(), fence = self.fence; "placing");
        while let Some(state) = self.group_state() {
            let progress = self.drive_switch(&state).await;
            match progress {
                Progress::Done => self.decide_and_append(&state).await,
                Progress::Stuck => return true,
                _ => {}
            }
            if !self.holds_duty() || progress == Progress::Overtaken {
                break;
            }
        }
        log::info!(target: DECISION, decision = "stop_placing", group = self.group.as_str(), fence = self.fence; "lost the duty");
        false
    }

    fn holds_duty(&self) -> bool {
        let duty = Duty::Placer(self.group.clone());
        let holder = self
            .context
            .journal
            .with_state(|journal_state| journal_state.holder(&duty).cloned());
        holder.is_some_and(|holder| holder.fence == self.fence)
    }

    fn group_state(&self) -> Option<GroupState> {
        let certificate = self.context.journal.active_certificate()?;
        let fleet = certificate.bundle.fleet();
        let group = fleet.group(&self.group)?.clone();
        let shape = shape(&group);
        let placed = self
            .context
            .journal
            .with_state(|journal_state| journal_state.map(&self.group).cloned());
        Some(GroupState {
            placement: fleet.placement.clone(),
            shape,
            current_map: placed
                .as_ref()
                .map_or_else(|| Map::initial(shape), |placed| placed.map.as_ref().clone()),
            map_number: placed.map_or(0, |placed| placed.number),
            group,
        })
    }

    /// Switches the ranks to the latest map, then monitors them until the next decision is due.
    async fn drive_switch(&mut self, state: &GroupState) -> Progress {
        let mut coordinator = Coordinator::new(self.fence, state.group.ranks.len(), state.map_number);
        let decide_after = state.placement.half_life_seconds / DECISIONS_PER_HALF_LIFE;
        let decide_at = Instant::now() + Duration::from_secs_f64(decide_after);
        let mut probe = Probe::default();
        let mut arming_since = None;
        let mut last_progress = Progress::Enlisting;
        loop {
            if last_progress != Progress::Done || !self.is_advancing(&mut probe, state).await {
                self.run_round(&mut coordinator, state).await;
            }
            let progress = coordinator.progress();
            if progress != last_progress {
                log::info!(target: DECISION, decision = "switch", group = self.group.as_str(), fence = self.fence, goal = state.map_number, progress:? = progress; "switch");
                last_progress = progress;
            }
            match progress {
                Progress::Overtaken | Progress::Stuck => return progress,
                Progress::Done if Instant::now() >= decide_at => return progress,
                Progress::Done => tokio::time::sleep(IDLE_CHECK_INTERVAL).await,
                Progress::Arming | Progress::Enlisting => {
                    let since = *arming_since.get_or_insert_with(Instant::now);
                    if since.elapsed() > ARM_TIMEOUT {
                        coordinator.abandon_attempt();
                        arming_since = None;
                    }
                    tokio::time::sleep(SWITCH_ROUND_INTERVAL).await;
                }
                _ => {
                    arming_since = None;
                    tokio::time::sleep(SWITCH_ROUND_INTERVAL).await;
                }
            }
            if !self.holds_duty() {
                return Progress::Overtaken;
            }
        }
    }

    /// Queries one rank, in rotation, to see whether its group advances.
    ///
    /// Ranks advance in lockstep, so one that was replaced or is held stops them all. The report of one rank therefore
    /// covers all of them, with a 64th of the traffic of querying each.
    async fn is_advancing(&self, probe: &mut Probe, state: &GroupState) -> bool {
        let ranks = &state.group.ranks;
        probe.rank = (probe.rank + 1) % ranks.len().max(1);
        let Some(rank) = ranks.get(probe.rank) else {
            return false;
        };
        let order = Order {
            fence: self.fence,
            act: Act::Enlist,
        };
        let Some(report) = self.send_order(rank, order).await else {
            return false;
        };
        let has_advanced = report.step > probe.step;
        probe.step = report.step;
        let is_on_goal = report
            .plan
            .is_some_and(|plan| plan.number == state.map_number && plan.next.is_none());
        has_advanced && is_on_goal && report.fence == self.fence
    }

    /// Sends each rank its next order and records the reports.
    async fn run_round(&self, coordinator: &mut Coordinator, state: &GroupState) {
        coordinator.abandon_missed_attempt();
        let orders = coordinator.orders();
        let reports = orders
            .into_iter()
            .zip(&state.group.ranks)
            .map(|(order, rank)| self.send_order(rank, order));
        for (rank, report) in join_all(reports).await.into_iter().enumerate() {
            match report {
                Some(report) => coordinator.record_report(rank, report),
                None => coordinator.discard_report(rank),
            }
        }
    }

    async fn send_order(&self, rank: &str, order: Order) -> Option<Report> {
        let ask = StreamRequest::ForwardOrder {
            group: self.group.clone(),
            order,
        };
        match self.query(rank, ask).await? {
            Frame::Report(report) => Some(report),
            _ => None,
        }
    }

    async fn query(&self, rank: &str, ask: StreamRequest) -> Option<Frame> {
        let address = self.address(rank)?;
        let query = async {
            let mut channel = self.context.endpoint.open(address, Role::Agent).await.ok()?;
            channel.sender.send(&Frame::Open(ask)).await.ok()?;
            channel.receiver.receive().await.ok()
        };
        tokio::time::timeout(ORDER_TIMEOUT, query).await.ok().flatten()
    }

    fn address(&self, rank: &str) -> Option<SocketAddr> {
        let board = self.context.board.lock();
        board
            .find(rank)
            .and_then(|key| board.target(key))
            .and_then(|target| target.address)
    }

    /// Updates the expert counts, decides on a map, and appends it to the log if it is new.
    async fn decide_and_append(&mut self, state: &GroupState) {
        self.update_counts(state).await;
        let Some(counting) = &self.counting else { return };
        let costs = costs(state);
        let started_at = Instant::now();
        let decision = decide(&counting.counts, &state.current_map, &costs);
        log_decision(&self.group, state, &decision, started_at.elapsed());
        let Some(map) = decision.next_map else { return };
        let change = MapChange {
            group: self.group.clone(),
            fence: self.fence,
            base: state.map_number,
            map,
        };
        let append_result = self
            .context
            .journal
            .submit(RecordBody::Map(change), MAP_APPEND_TIMEOUT)
            .await;
        log::info!(target: DECISION, decision = "append_map", group = self.group.as_str(), result:? = append_result; "appended a map to the log");
    }

    async fn update_counts(&mut self, state: &GroupState) {
        let new_counting = || Counting {
            counts: TokenCounts::new(state.shape, Duration::from_secs_f64(state.placement.half_life_seconds)),
            last_counts: vec![None; state.group.ranks.len()],
            updated_at: Instant::now(),
            next_rank: 0,
        };
        let mut counting = self
            .counting
            .take()
            .filter(|old| old.counts.shape() == state.shape)
            .unwrap_or_else(new_counting);
        let elapsed = counting.updated_at.elapsed();
        counting.updated_at = Instant::now();
        let mut new_tokens = vec![0.0; state.shape.layers * state.shape.experts];
        for (rank, tokens) in self.query_counts(state, &mut counting.next_rank).await {
            let previous = counting.last_counts[rank].replace(tokens.clone());
            add_new_tokens(&mut new_tokens, &tokens, previous.as_deref());
        }
        counting.counts.observe(&new_tokens, elapsed);
        self.counting = Some(counting);
    }

    /// Queries the counts of the next few ranks, in rotation.
    async fn query_counts(&self, state: &GroupState, next_rank: &mut usize) -> Vec<(usize, Vec<u64>)> {
        let ranks = &state.group.ranks;
        let queried_ranks: Vec<usize> = (0..ranks.len().min(RANKS_PER_COUNT_ROUND))
            .map(|step| (*next_rank + step) % ranks.len())
            .collect();
        *next_rank = (*next_rank + RANKS_PER_COUNT_ROUND) % ranks.len();
        let frames = join_all(
            queried_ranks
                .iter()
                .map(|rank| self.query(&ranks[*rank], StreamRequest::QueryExpertTokens)),
        )
        .await;
        let counted = queried_ranks
            .into_iter()
            .zip(frames)
            .filter_map(|(rank, frame)| match frame {
                Some(Frame::ExpertTokens(tokens)) => Some((rank, tokens)),
                _ => None,
            });
        counted.collect()
    }
}

/// Adds the tokens that a rank has counted since `previous`. The first report of a rank only sets the baseline, and the
/// counts of a replaced rank restart at zero, which adds nothing.
fn add_new_tokens(new_tokens: &mut [f64], tokens: &[u64], previous: Option<&[u64]>) {
    let Some(previous) = previous.filter(|previous| previous.len() == tokens.len()) else {
        return;
    };
    if tokens.len() != new_tokens.len() {
        return;
    }
    for ((new_tokens, now), previous) in new_tokens.iter_mut().zip(tokens).zip(previous) {
        *new_tokens += now.saturating_sub(*previous) as f64;
    }
}

fn costs(state: &GroupState) -> Costs {
    let placement = &state.placement;
    Costs {
        weight_skew: placement.weight_skew,
        weight_move: placement.weight_move,
        seconds_per_load: state.group.expert_bytes as f64 / placement.weight_store_bytes_per_second,
        slowdown_share: SLOWDOWN_SHARE_WHILE_LOADING,
        move_budget: placement.move_budget,
        in_quiet_hours: in_quiet_hours(placement, SystemTime::now()),
    }
}

fn in_quiet_hours(placement: &Placement, now: SystemTime) -> bool {
    let seconds = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let hour = (seconds / SECONDS_PER_HOUR % HOURS_PER_DAY) as u32;
    placement.quiet_hours.iter().any(|span| {
        if span.from <= span.to {
            (span.from..span.to).contains(&hour)
        } else {
            hour >= span.from || hour < span.to
        }
    })
}

fn log_decision(group: &str, state: &GroupState, decision: &Decision, took: Duration) {
    let chosen = if decision.next_map.is_some() { "move" } else { "stay" };
    log::info!(
        target: DECISION,
        decision = chosen,
        group,
        map = state.map_number,
        reason:? = decision.reason,
        skew_now = decision.skew_now,
        skew_next = decision.skew_next,
        loads = decision.replica_loads,
        cost_stay = decision.cost_stay,
        cost_move = decision.cost_move,
        took_ms = took.as_secs_f64() * 1_000.0;
        "placement"
    );
}
