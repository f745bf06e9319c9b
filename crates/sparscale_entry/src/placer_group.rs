//! Places the experts of one group: counts, decides, puts the map in the log, drives the ranks to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use sparscale_bundle::{Group, Placement};
use sparscale_journal::{Body, Duty, MapChange, shape};
use sparscale_place::switch::{Act, Coordinator, Order, Progress, Report};
use sparscale_place::{Costs, Decision, Map, Shape, TokenCounts, decide};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Ask, Frame, Role};
use tokio::time::Instant;

use crate::placer_context::Context;

/// Pause between two rounds of orders while a switch goes on.
const BUSY_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two looks while nothing goes on.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Time that a rank has to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an attempt to arm all ranks is given up, so that those that are armed go on.
const ARM_TIMEOUT: Duration = Duration::from_secs(3);
/// Ranks that are asked for expert counts in one round. Counts are cumulative, so a rank that is asked later has lost
/// nothing, and two of 64 ranks at a time keep a placer within its bytes.
const COUNTED_RANKS: usize = 2;
/// Time that the append of a map may take.
const MAP_TIMEOUT: Duration = Duration::from_secs(5);
/// Decisions in one half-life of the counts.
const DECISIONS_PER_HALF_LIFE: f64 = 2.0;
/// Share by which answers are taken to be slower while weights load.
const SLOWED: f64 = 0.1;
/// Hours of a day, and seconds of an hour.
const HOURS: u64 = 24;
const HOUR_SECONDS: u64 = 3_600;

/// Placer of one group under one fence.
pub(crate) struct GroupPlacer {
    context: Arc<Context>,
    group: String,
    fence: u64,
    counting: Option<Counting>,
}

/// Expert counts, and what each rank had counted when it was last asked.
struct Counting {
    counts: TokenCounts,
    last: Vec<Option<Vec<u64>>>,
    at: Instant,
    next_rank: usize,
}

/// Which rank was asked last whether the group goes on, and the step that it told.
#[derive(Default)]
struct Probe {
    rank: usize,
    step: u64,
}

/// The group as the bundle in force describes it.
struct Facts {
    group: Group,
    placement: Placement,
    shape: Shape,
    present: Map,
    number: u64,
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

    /// Places until the duty is lost. True if only a higher fence helps.
    pub(crate) async fn run(mut self) -> bool {
        log::info!(target: DECISION, decision = "place", group = self.group.as_str(), fence = self.fence; "placing");
        while let Some(facts) = self.facts() {
            let progress = self.drive(&facts).await;
            match progress {
                Progress::Done => self.decide_and_append(&facts).await,
                Progress::Stuck => return true,
                _ => {}
            }
            if !self.holds() || progress == Progress::Overtaken {
                break;
            }
        }
        log::info!(target: DECISION, decision = "stop_placing", group = self.group.as_str(), fence = self.fence; "lost the duty");
        false
    }

    fn holds(&self) -> bool {
        let duty = Duty::Placer(self.group.clone());
        let holder = self.context.journal.with_state(|state| state.holder(&duty).cloned());
        holder.is_some_and(|holder| holder.fence == self.fence)
    }

    fn facts(&self) -> Option<Facts> {
        let certificate = self.context.journal.in_force()?;
        let fleet = certificate.bundle.fleet();
        let group = fleet.group(&self.group)?.clone();
        let shape = shape(&group);
        let placed = self.context.journal.with_state(|state| state.map(&self.group).cloned());
        Some(Facts {
            placement: fleet.placement.clone(),
            shape,
            present: placed
                .as_ref()
                .map_or_else(|| Map::initial(shape), |placed| placed.map.as_ref().clone()),
            number: placed.map_or(0, |placed| placed.number),
            group,
        })
    }

    /// Drives the ranks to the latest map, and keeps watching them until it is time to decide again.
    async fn drive(&mut self, facts: &Facts) -> Progress {
        let mut conductor = Coordinator::new(self.fence, facts.group.ranks.len(), facts.number);
        let decide_after = facts.placement.half_life_seconds / DECISIONS_PER_HALF_LIFE;
        let decide_at = Instant::now() + Duration::from_secs_f64(decide_after);
        let mut probe = Probe::default();
        let mut arming_since = None;
        let mut last = Progress::Enlisting;
        loop {
            if last != Progress::Done || !self.still_advances(&mut probe, facts).await {
                self.round(&mut conductor, facts).await;
            }
            let progress = conductor.progress();
            if progress != last {
                log::info!(target: DECISION, decision = "switch", group = self.group.as_str(), fence = self.fence, goal = facts.number, progress:? = progress; "switch");
                last = progress;
            }
            match progress {
                Progress::Overtaken | Progress::Stuck => return progress,
                Progress::Done if Instant::now() >= decide_at => return progress,
                Progress::Done => tokio::time::sleep(IDLE_PAUSE).await,
                Progress::Arming | Progress::Enlisting => {
                    let since = *arming_since.get_or_insert_with(Instant::now);
                    if since.elapsed() > ARM_TIMEOUT {
                        conductor.abandon_attempt();
                        arming_since = None;
                    }
                    tokio::time::sleep(BUSY_PAUSE).await;
                }
                _ => {
                    arming_since = None;
                    tokio::time::sleep(BUSY_PAUSE).await;
                }
            }
            if !self.holds() {
                return Progress::Overtaken;
            }
        }
    }

    /// Asks one rank, another each time, whether its group goes on.
    ///
    /// Ranks advance together: one that was replaced, or is held, stops them all. So one answer tells of all ranks, at
    /// a 64th of the bytes of asking each.
    async fn still_advances(&self, probe: &mut Probe, facts: &Facts) -> bool {
        let ranks = &facts.group.ranks;
        probe.rank = (probe.rank + 1) % ranks.len().max(1);
        let Some(rank) = ranks.get(probe.rank) else {
            return false;
        };
        let order = Order {
            fence: self.fence,
            act: Act::Enlist,
        };
        let Some(report) = self.send(rank, order).await else {
            return false;
        };
        let advanced = report.step > probe.step;
        probe.step = report.step;
        let on_goal = report
            .plan
            .is_some_and(|plan| plan.number == facts.number && plan.next.is_none());
        advanced && on_goal && report.fence == self.fence
    }

    /// Sends each rank its next order and takes in the answers.
    async fn round(&self, conductor: &mut Coordinator, facts: &Facts) {
        conductor.abandon_missed_attempt();
        let orders = conductor.orders();
        let sent = orders
            .into_iter()
            .zip(&facts.group.ranks)
            .map(|(order, rank)| self.send(rank, order));
        for (rank, report) in join_all(sent).await.into_iter().enumerate() {
            match report {
                Some(report) => conductor.record_report(rank, report),
                None => conductor.discard_report(rank),
            }
        }
    }

    async fn send(&self, rank: &str, order: Order) -> Option<Report> {
        let ask = Ask::Order {
            group: self.group.clone(),
            order,
        };
        match self.ask(rank, ask).await? {
            Frame::Report(report) => Some(report),
            _ => None,
        }
    }

    async fn ask(&self, rank: &str, ask: Ask) -> Option<Frame> {
        let address = self.address(rank)?;
        let asked = async {
            let mut channel = self.context.endpoint.open(address, Role::Agent).await.ok()?;
            channel.sender.send(&Frame::Ask(ask)).await.ok()?;
            channel.receiver.receive().await.ok()
        };
        tokio::time::timeout(ORDER_TIMEOUT, asked).await.ok().flatten()
    }

    fn address(&self, rank: &str) -> Option<SocketAddr> {
        let board = self.context.board.lock();
        board
            .find(rank)
            .and_then(|key| board.target(key))
            .and_then(|target| target.address)
    }

    /// Takes in expert counts, decides, and puts a new map in the log.
    async fn decide_and_append(&mut self, facts: &Facts) {
        self.count(facts).await;
        let Some(counting) = &self.counting else { return };
        let costs = costs(facts);
        let began = Instant::now();
        let decision = decide(&counting.counts, &facts.present, &costs);
        log_decision(&self.group, facts, &decision, began.elapsed());
        let Some(map) = decision.next_map else { return };
        let change = MapChange {
            group: self.group.clone(),
            fence: self.fence,
            base: facts.number,
            map,
        };
        let submitted = self.context.journal.submit(Body::Map(change), MAP_TIMEOUT).await;
        log::info!(target: DECISION, decision = "append_map", group = self.group.as_str(), result:? = submitted; "put a map in the log");
    }

    async fn count(&mut self, facts: &Facts) {
        let fresh = || Counting {
            counts: TokenCounts::new(facts.shape, Duration::from_secs_f64(facts.placement.half_life_seconds)),
            last: vec![None; facts.group.ranks.len()],
            at: Instant::now(),
            next_rank: 0,
        };
        let mut counting = self
            .counting
            .take()
            .filter(|old| old.counts.shape() == facts.shape)
            .unwrap_or_else(fresh);
        let passed = counting.at.elapsed();
        counting.at = Instant::now();
        let mut sum = vec![0.0; facts.shape.layers * facts.shape.experts];
        for (rank, tokens) in self.ask_counts(facts, &mut counting.next_rank).await {
            let before = counting.last[rank].replace(tokens.clone());
            add_new_tokens(&mut sum, &tokens, before.as_deref());
        }
        counting.counts.observe(&sum, passed);
        self.counting = Some(counting);
    }

    /// Counts of the next few ranks, in turn.
    async fn ask_counts(&self, facts: &Facts, next_rank: &mut usize) -> Vec<(usize, Vec<u64>)> {
        let ranks = &facts.group.ranks;
        let asked: Vec<usize> = (0..ranks.len().min(COUNTED_RANKS))
            .map(|step| (*next_rank + step) % ranks.len())
            .collect();
        *next_rank = (*next_rank + COUNTED_RANKS) % ranks.len();
        let answers = join_all(asked.iter().map(|rank| self.ask(&ranks[*rank], Ask::Experts))).await;
        let counted = asked
            .into_iter()
            .zip(answers)
            .filter_map(|(rank, answer)| match answer {
                Some(Frame::Experts(tokens)) => Some((rank, tokens)),
                _ => None,
            });
        counted.collect()
    }
}

/// Adds what a rank has counted since `before`; a rank that was replaced starts from nothing.
fn add_new_tokens(sum: &mut [f64], tokens: &[u64], before: Option<&[u64]>) {
    let Some(before) = before.filter(|before| before.len() == tokens.len()) else {
        return;
    };
    if tokens.len() != sum.len() {
        return;
    }
    for ((sum, now), before) in sum.iter_mut().zip(tokens).zip(before) {
        *sum += now.saturating_sub(*before) as f64;
    }
}

fn costs(facts: &Facts) -> Costs {
    let placement = &facts.placement;
    Costs {
        weight_skew: placement.weight_skew,
        weight_move: placement.weight_move,
        seconds_per_load: facts.group.expert_bytes as f64 / placement.weight_store_bytes_per_second,
        slowdown_share: SLOWED,
        move_budget: placement.move_budget,
        in_quiet_hours: is_quiet(placement, SystemTime::now()),
    }
}

fn is_quiet(placement: &Placement, now: SystemTime) -> bool {
    let seconds = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let hour = (seconds / HOUR_SECONDS % HOURS) as u32;
    placement.quiet_hours.iter().any(|span| {
        if span.from <= span.to {
            (span.from..span.to).contains(&hour)
        } else {
            hour >= span.from || hour < span.to
        }
    })
}

fn log_decision(group: &str, facts: &Facts, decision: &Decision, took: Duration) {
    let chosen = if decision.next_map.is_some() { "move" } else { "stay" };
    log::info!(
        target: DECISION,
        decision = chosen,
        group,
        map = facts.number,
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
