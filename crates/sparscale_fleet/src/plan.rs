//! Size and settings of a fleet, and its bundle.

use sparscale_bundle::{
    Call, Document, Fleet, Group, Hall, KeyHash, Limits, Model, Operator, Placement, Service, Target, Tier, Workspace,
};

use crate::names::{GROUP, MODEL, SERVICE};

/// Size and settings of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of entries.
    pub entry_count: usize,
    /// Number of ranks in the only group.
    pub rank_count: usize,
    /// Number of servers of the only plain service.
    pub service_count: usize,
    /// Whether ranks reject orders with an outdated fence themselves.
    pub checks_fence: bool,
    /// Number of logical experts in each layer.
    pub expert_count: u32,
    /// Number of expert replicas that fit on one rank.
    pub slots_per_rank: u32,
    /// Duration of a step without load, in microseconds.
    pub step_micros: u64,
    /// Time that a call of the plain service keeps running after its effect, in milliseconds.
    pub service_work_ms: u64,
    /// Number of records after which a snapshot of the folded state is appended to the log.
    pub snapshot_every: u64,
    /// Placement cost of one unit of skew.
    pub weight_skew: f64,
    /// Placement cost of one second of loading weights.
    pub weight_move: f64,
    /// Maximum number of requests in flight at one target.
    pub in_flight_per_target: u32,
    /// Largest request body that entries accept, in bytes.
    pub max_body_bytes: usize,
    /// Time for which a draining entry still accepts requests, in milliseconds.
    pub stop_lag_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entry_count: 2,
            rank_count: 2,
            service_count: 1,
            checks_fence: true,
            expert_count: 8,
            slots_per_rank: 6,
            step_micros: 1_000,
            service_work_ms: 2,
            snapshot_every: 1_000,
            weight_skew: 1.0,
            weight_move: 0.01,
            in_flight_per_target: 64,
            max_body_bytes: 262_144,
            stop_lag_ms: 200,
        }
    }
}

/// Returns the bearer key of the workspace called `name`.
pub fn caller_key(name: &str) -> String {
    format!("key-of-{name}")
}

impl Plan {
    /// Returns the names of the targets that are ranks.
    pub fn rank_names(&self) -> Vec<String> {
        (0..self.rank_count).map(|index| format!("rank-{index}")).collect()
    }

    /// Returns the names of the targets that run the plain service.
    pub fn service_names(&self) -> Vec<String> {
        (0..self.service_count).map(|index| format!("calc-{index}")).collect()
    }

    /// Returns the names of the entries.
    pub fn entry_names(&self) -> Vec<String> {
        (0..self.entry_count).map(|index| format!("entry-{index}")).collect()
    }

    /// Returns the hall of the box with this index; boxes alternate between two halls.
    pub fn hall(index: usize) -> &'static str {
        if index.is_multiple_of(2) { "derby" } else { "nottingham" }
    }

    /// Returns the bundle of this fleet with the given version number.
    pub fn document(&self, version: u64, operators: Vec<Operator>) -> Document {
        Document {
            version,
            fleet: self.fleet(operators),
            workspaces: vec![workspace("teal", "gold"), workspace("umber", "silver")],
        }
    }

    fn fleet(&self, operators: Vec<Operator>) -> Fleet {
        let hall = |name: &str| Hall {
            name: name.to_owned(),
            region: "midlands".to_owned(),
        };
        let names = self.rank_names().into_iter().chain(self.service_names());
        let targets = names.enumerate().map(|(index, name)| Target {
            name,
            hall: Self::hall(index).to_owned(),
            checks_fence: self.checks_fence,
        });
        Fleet {
            operators,
            halls: vec![hall("derby"), hall("nottingham")],
            tiers: vec![tier("gold"), tier("silver")],
            models: vec![Model {
                name: MODEL.to_owned(),
                version: "1".to_owned(),
            }],
            services: vec![self.service()],
            groups: vec![self.group()],
            targets: targets.collect(),
            placement: Placement {
                weight_skew: self.weight_skew,
                weight_move: self.weight_move,
                move_budget: 64,
                quiet_hours: Vec::new(),
                half_life_seconds: 2.0,
                weight_store_bytes_per_second: 100_000_000.0,
            },
            limits: Limits {
                in_flight_per_target: self.in_flight_per_target,
                queue_per_target: 256,
                floor_one_in: 20,
                deadline_ms: 20_000,
                // Tests send few requests, and even the first one must have enough retry budget for another target.
                retry_percent: 100,
                candidates: 40,
            },
        }
    }

    fn service(&self) -> Service {
        let call = |name: &str, repeatable: bool| Call {
            name: name.to_owned(),
            repeatable,
        };
        Service {
            name: SERVICE.to_owned(),
            targets: self.service_names(),
            calls: vec![call("rates", true), call("illustration", false)],
        }
    }

    fn group(&self) -> Group {
        Group {
            name: GROUP.to_owned(),
            model: MODEL.to_owned(),
            ranks: self.rank_names(),
            layers: 1,
            experts: self.expert_count,
            slots: self.slots_per_rank,
            expert_bytes: 1_000_000,
        }
    }
}

fn tier(name: &str) -> Tier {
    Tier { name: name.to_owned() }
}

fn workspace(name: &str, tier: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        tier: tier.to_owned(),
        weight: 1,
        key_hashes: vec![KeyHash::of(&caller_key(name))],
        in_flight: 200,
    }
}
