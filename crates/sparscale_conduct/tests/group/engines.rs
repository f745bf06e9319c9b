//! Simulated engines of one group, and agents beside them, each on a runtime of its own so that a test can kill it.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use sparscale_belief::{Error as SourceError, Source, Versioned};
use sparscale_catalog::{Catalog, Configuration, Evacuations, ExpertLayout, Membership, Roster};
use sparscale_conduct::{
    Bandwidth, ClaimError, ClaimOutcome, Claims, Dependencies, Engine, EngineError, EngineState, Engines, HeldExperts,
    SelectionCounts, Settings, start,
};
use sparscale_history::Position;
use sparscale_place::barrier::{Act, Answer, Change, Order, View};
use sparscale_place::{Map, Shape};
use sparscale_samples as samples;
use sparscale_wire::rank;
use tokio::runtime::Runtime;

pub const RANKS: usize = 4;
const AGENT_PORT: u16 = 7_700;
const PASS_TIME: Duration = Duration::from_millis(8);
/// Timeout of a call of an engine on another box that is frozen.
const CALL_TIMEOUT: Duration = Duration::from_millis(40);
const LOAD_TIME: Duration = Duration::from_millis(10);
/// Longest time for which a box stays frozen or an agent suspended.
const MAX_SUSPENSION: Duration = Duration::from_secs(25);
/// Time limit for a killed agent to stop.
const KILL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Default)]
struct Rank {
    map: (u64, Option<Map>),
    staged: Option<(u64, Map, Instant)>,
    highest_map: u64,
    armed: Option<Change>,
    held_step: Option<u64>,
    fence: u64,
}

/// The simulated group: its engines, the faults that a test injects, and what was observed.
#[derive(Debug, Default)]
pub struct Group {
    step: u64,
    /// Increases whenever an engine restarts.
    epoch: u64,
    /// Start time of each engine.
    started_ms: Vec<u64>,
    ranks: Vec<Rank>,
    counts: Vec<u64>,
    pub hot_expert: usize,
    pub maps_differ: bool,
    pub map_changes: u32,
    /// Number of orders to stage a map that engines accepted.
    pub stage_orders: u32,
    pub claims: Vec<String>,
    /// Number of restores of the list of claims from an older snapshot.
    pub era: u64,
    /// Times of lost claims.
    pub lost_claims: Vec<Instant>,
    /// Whether the next agent that places a hold freezes with its box.
    pub freeze_after_hold: bool,
    pub frozen: Option<usize>,
    /// Rank whose agent is suspended while the engine beside it runs.
    pub suspended: Option<usize>,
    /// Time that an engine takes to report its state.
    pub state_delay: Duration,
    /// Whether another claimant always wins.
    pub others_claim_first: bool,
    /// A rank for which a roster entry of another writer gives the location of the next rank.
    pub misplaced_rank: Option<usize>,
}

impl Group {
    /// Restores the list of claims from a snapshot that has the first `kept` of them.
    pub fn restore_claims(&mut self, kept: usize) {
        self.claims.truncate(kept);
        self.era += 1;
    }
}

#[derive(Clone)]
pub struct World {
    pub group: Arc<Mutex<Group>>,
    network: u8,
}

impl World {
    /// Creates a group whose boxes have addresses of their own, selected by `network`, and whose demand is concentrated
    /// on one expert of each set.
    pub fn new(network: u8) -> Self {
        Self::with_ranks(network, RANKS)
    }

    /// The same with the given number of ranks.
    pub fn with_ranks(network: u8, ranks: usize) -> Self {
        let group = Group {
            ranks: vec![Rank::default(); ranks],
            counts: vec![0; experts().set_count * experts().experts_per_set],
            epoch: 1,
            started_ms: vec![1; ranks],
            ..Group::default()
        };
        let world = Self {
            group: Arc::new(Mutex::new(group)),
            network,
        };
        let pass_world = world.clone();
        std::thread::spawn(move || {
            // Ends when the test has dropped all other references.
            while Arc::strong_count(&pass_world.group) > 1 {
                std::thread::sleep(PASS_TIME);
                pass_world.lock().run_pass();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, Group> {
        self.group.lock().expect("no test thread panicked")
    }

    /// Address of the agent beside `rank`.
    pub fn agent_address(&self, rank: usize) -> SocketAddr {
        self.address(rank, AGENT_PORT)
    }

    fn address(&self, rank: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 77, self.network, rank as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// Starts the agent beside `rank`.
    pub fn start_agent(&self, rank: usize) -> Runtime {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let settings = Settings {
            name: format!("agent-{rank}"),
            address: self.agent_address(rank),
            engine_address: self.address(rank, 8_000),
            service: samples::MODEL_SERVICE.to_owned(),
            seeds: Vec::new(),
            keepalive_interval: Duration::from_millis(100),
            bandwidth: Bandwidth::from_mbps(20.0),
            max_observation_age: Duration::from_millis(300),
        };
        let parts = Dependencies {
            configuration: Box::new(FixedSource(Arc::new(Configuration {
                catalog: catalog(),
                evacuations: Evacuations::default(),
            }))),
            roster: Box::new(FixedSource(self.roster())),
            engines: Arc::new(SimulatedEngines {
                world: self.clone(),
                caller: rank,
            }),
            claims: Box::new(ClaimList(self.clone())),
            registry: Arc::default(),
        };
        let started = runtime.block_on(async { start(&settings, parts) });
        started.expect("a free address");
        runtime
    }

    fn roster(&self) -> Arc<Roster> {
        let size = self.lock().ranks.len();
        let target = |rank| sparscale_catalog::Target {
            address: self.address(rank, 8_000),
            membership: Some(Membership {
                group: "g".to_owned(),
                rank,
                size,
                is_open: true,
            }),
            ..samples::target(&format!("m-{rank}"), samples::MODEL_SERVICE, 8_000)
        };
        let mut targets: Vec<_> = (0..size).map(target).collect();
        if let Some(rank) = self.lock().misplaced_rank {
            let elsewhere = sparscale_catalog::Target {
                id: "0-another".to_owned(),
                born_ms: Some(u64::MAX),
                address: self.address((rank + 1) % size, 8_000),
                ..targets[rank].clone()
            };
            targets.push(elsewhere);
        }
        Arc::new(Roster::new(targets))
    }

    /// Waits until the condition `seen` holds.
    pub fn wait_for(&self, what: &str, seen: impl Fn(&Group) -> bool) {
        let began = Instant::now();
        while !seen(&self.lock()) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "timed out waiting for {what}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

pub fn experts() -> ExpertLayout {
    samples::engine().experts.expect("experts")
}

fn catalog() -> Arc<Catalog> {
    Arc::new(Catalog::try_from(samples::document(1)).expect("a sound catalog"))
}

impl Group {
    /// Moves the demand to another expert.
    pub fn shift_demand(&mut self) {
        self.hot_expert = (self.hot_expert + 7) % experts().experts_per_set;
    }

    /// Restarts the engine of `rank`: it loses its state, and the group re-forms.
    pub fn restart(&mut self, rank: usize) {
        self.epoch += 1;
        self.started_ms[rank] += 1_000;
        self.ranks.fill(Rank::default());
        self.counts.fill(0);
    }

    /// Number of ranks in the group.
    pub fn ranks(&self) -> usize {
        self.ranks.len()
    }

    /// Whether any rank holds the group now.
    pub fn is_held(&self) -> bool {
        self.ranks.iter().any(|rank| rank.held_step.is_some())
    }

    fn run_pass(&mut self) {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held_step == Some(next)) {
            return;
        }
        self.step = next;
        let mut changed = false;
        for rank in &mut self.ranks {
            let Some(change) = rank.armed.filter(|change| change.at == next) else {
                continue;
            };
            rank.armed = None;
            if let Some((number, map, _)) = rank.staged.take() {
                assert_eq!(number, change.number);
                rank.map = (number, Some(map));
            }
            changed = true;
        }
        self.map_changes += u32::from(changed);
        self.maps_differ |= self.ranks.iter().any(|rank| rank.map.0 != self.ranks[0].map.0);
        for set in 0..experts().set_count {
            for expert in 0..experts().experts_per_set {
                let selections = if expert == self.hot_expert { 400 } else { 20 };
                self.counts[set * experts().experts_per_set + expert] += selections;
            }
        }
    }

    fn state(&self, index: usize) -> EngineState {
        let rank = &self.ranks[index];
        let staged = rank.staged.as_ref().filter(|(_, _, ready)| *ready <= Instant::now());
        EngineState {
            born_ms: Some(self.started_ms[index]),
            group: Some("g".to_owned()),
            rank: index,
            size: self.ranks.len(),
            view: View {
                epoch: self.epoch,
                open: true,
                step: self.step,
                map: rank.map.0,
                staged: staged.map(|(number, _, _)| *number),
                armed: rank.armed,
                held: rank.held_step,
            },
            load: rank::Load::default(),
        }
    }

    fn order(&mut self, index: usize, order: &Order, map: Option<&Map>) -> Answer {
        let step = self.step;
        if order.epoch != self.epoch && order.act != Act::Look {
            return Answer::Refused;
        }
        let rank = &mut self.ranks[index];
        if order.fence < rank.fence {
            return Answer::Fenced;
        }
        rank.fence = order.fence;
        let done = match order.act {
            Act::Look => true,
            Act::Stage { number } => {
                let fits = number > rank.highest_map && rank.armed.is_none();
                if let Some(map) = map.filter(|_| fits) {
                    self.stage_orders += 1;
                    rank.highest_map = number;
                    rank.staged = Some((number, map.clone(), Instant::now() + LOAD_TIME));
                }
                fits
            }
            Act::Hold { step: held } => {
                let fits = rank.held_step == Some(held) || (rank.held_step.is_none() && held > step);
                if fits {
                    rank.held_step = Some(held);
                }
                fits
            }
            Act::Arm(change) => {
                let staged = rank
                    .staged
                    .as_ref()
                    .is_some_and(|(number, _, _)| *number == change.number);
                let fits = staged && change.at > step;
                if fits {
                    rank.armed = Some(change);
                }
                fits
            }
            Act::Disarm { number } => {
                rank.armed = rank.armed.filter(|armed| armed.number != number);
                rank.map.0 != number
            }
            Act::Release { step: held } => {
                rank.held_step = rank.held_step.filter(|step| *step != held);
                true
            }
        };
        if done { Answer::Done } else { Answer::Refused }
    }
}

struct FixedSource<T>(Arc<T>);

#[async_trait]
impl<T: Send + Sync + 'static> Source<T> for FixedSource<T> {
    async fn read(&mut self) -> Result<Versioned<T>, SourceError> {
        Ok(Versioned {
            value: Arc::clone(&self.0),
            position: 1.into(),
        })
    }
}

struct ClaimList(World);

#[async_trait]
impl Claims for ClaimList {
    async fn claim(&mut self, _group: &str, holder: &str, end: Position) -> Result<ClaimOutcome, ClaimError> {
        let mut group = self.0.lock();
        let list_end = Position::new(group.era, group.claims.len() as u64);
        if list_end.offset != end.offset || group.others_claim_first {
            group.lost_claims.push(Instant::now());
            return Ok(ClaimOutcome::Lost {
                next_position: list_end,
            });
        }
        group.claims.push(holder.to_owned());
        Ok(ClaimOutcome::Won { position: list_end })
    }
}

struct SimulatedEngines {
    world: World,
    caller: usize,
}

impl Engines for SimulatedEngines {
    fn at(&self, address: SocketAddr) -> Box<dyn Engine> {
        let SocketAddr::V4(address) = address else {
            panic!("IPv4 only")
        };
        Box::new(SimulatedEngine {
            world: self.world.clone(),
            caller: self.caller,
            rank: usize::from(address.ip().octets()[3]) - 1,
        })
    }
}

struct SimulatedEngine {
    world: World,
    caller: usize,
    rank: usize,
}

impl SimulatedEngine {
    /// Whether the engine can be reached now. A frozen or suspended box runs nothing, so its only thread blocks here;
    /// and no other box reaches an engine on a frozen one.
    async fn is_reachable(&self) -> bool {
        let is_blocked = |group: &Group| [group.frozen, group.suspended].contains(&Some(self.caller));
        let began = Instant::now();
        // Bounds the wait so that a failing test ends.
        while is_blocked(&self.world.lock()) && began.elapsed() < MAX_SUSPENSION {
            std::thread::sleep(Duration::from_millis(2));
        }
        if self.world.lock().frozen == Some(self.rank) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return false;
        }
        true
    }

    async fn ensure_reachable(&self) -> Result<(), EngineError> {
        if self.is_reachable().await {
            return Ok(());
        }
        Err(EngineError {
            message: "the box is frozen or suspended".to_owned(),
        })
    }
}

#[async_trait]
impl Engine for SimulatedEngine {
    async fn state(&mut self) -> Result<EngineState, EngineError> {
        self.ensure_reachable().await?;
        let delay = self.world.lock().state_delay;
        tokio::time::sleep(delay).await;
        Ok(self.world.lock().state(self.rank))
    }

    async fn counts(&mut self) -> Result<SelectionCounts, EngineError> {
        self.ensure_reachable().await?;
        let group = self.world.lock();
        Ok(SelectionCounts {
            born_ms: Some(group.started_ms[self.rank]),
            epoch: group.epoch,
            selections: group.counts.clone(),
        })
    }

    async fn held_experts(&mut self) -> Result<HeldExperts, EngineError> {
        let group = self.world.lock();
        let (number, map) = &group.ranks[self.rank].map;
        let shape = Shape {
            ranks: group.ranks.len(),
            layers: experts().set_count,
            experts: experts().experts_per_set,
            slots: experts().max_experts_per_rank,
        };
        let map = map.clone().unwrap_or_else(|| Map::initial(shape));
        let sets = map.layers.iter().map(|layer| layer.ranks[self.rank].clone());
        Ok(HeldExperts {
            epoch: group.epoch,
            number: *number,
            sets: sets.collect(),
        })
    }

    async fn order(&mut self, order: &Order, map: Option<&Map>) -> Answer {
        if !self.is_reachable().await {
            return Answer::Silent;
        }
        let answer = {
            let mut group = self.world.lock();
            let answer = group.order(self.rank, order, map);
            if matches!(order.act, Act::Hold { .. }) && group.freeze_after_hold {
                group.freeze_after_hold = false;
                group.frozen = Some(self.caller);
            }
            answer
        };
        self.is_reachable().await;
        answer
    }
}

/// Stops one agent; its address is free afterwards.
pub fn kill(agents: &mut BTreeMap<usize, Runtime>, rank: usize) {
    if let Some(runtime) = agents.remove(&rank) {
        runtime.shutdown_timeout(KILL_TIMEOUT);
    }
}
