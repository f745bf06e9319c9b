//! The text form of a bundle: plain data, not yet checked.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A whole bundle as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of this bundle; each version is used once and versions only rise.
    pub version: u64,
    /// Everything that is not per workspace.
    pub fleet: Fleet,
    /// The customers, each with its keys, tier and limits.
    pub workspaces: Vec<Workspace>,
}

/// The part of a bundle that describes machines, models and policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Operators who may publish, approve and roll.
    pub operators: Vec<Operator>,
    /// Halls, with the region that each stands in.
    pub halls: Vec<Hall>,
    /// Priority tiers, highest first.
    pub tiers: Vec<Tier>,
    /// Model versions that are served.
    pub models: Vec<Model>,
    /// Plain services that stand beside the models.
    pub services: Vec<Service>,
    /// Groups of ranks.
    pub groups: Vec<Group>,
    /// Back ends, each with its hall.
    pub targets: Vec<Target>,
    /// Weights and limits of expert placement.
    pub placement: Placement,
    /// Limits of the request path.
    pub limits: Limits,
}

impl Fleet {
    /// The group called `name`.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.name == name)
    }
}

/// An operator who signs records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Unique name.
    pub name: String,
    /// Ed25519 public key, 64 hexadecimal digits.
    pub key: String,
}

/// A hall: boxes that share power, switches and fate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Unique name.
    pub name: String,
    /// Region that the hall stands in.
    pub region: String,
}

/// A priority tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Unique name.
    pub name: String,
}

/// A model version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers send.
    pub name: String,
    /// Version of the weights.
    pub version: String,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers send.
    pub name: String,
    /// Names of the targets that run it.
    pub targets: Vec<String>,
    /// Calls that callers may make.
    pub calls: Vec<Call>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Name of the call, the last part of the caller's path.
    pub name: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// A group of ranks that advance in lock-step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Unique name.
    pub name: String,
    /// Model that the group serves.
    pub model: String,
    /// Target of each rank, in rank order.
    pub ranks: Vec<String>,
    /// Mixture-of-experts layers.
    pub layers: u32,
    /// Logical experts in each layer.
    pub experts: u32,
    /// Expert replicas that fit on one rank, in each layer.
    pub slots: u32,
    /// Size of one expert's weights in one layer, in bytes.
    pub expert_bytes: u64,
}

/// A back end: one rank of a group, or one server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name; the box list tells at which address it runs.
    pub name: String,
    /// Hall that the target stands in.
    pub hall: String,
    /// Whether the target itself refuses orders below the highest fence it has seen.
    pub checks_fence: bool,
}

/// How experts are placed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Cost of one unit of step-time skew (largest rank load over the mean, less one).
    pub weight_skew: f64,
    /// Cost of one second of loading at the weight store's rate.
    pub weight_move: f64,
    /// Expert replicas that one change of a map may load.
    pub move_budget: u32,
    /// Hours of the day, in UTC, in which no expert moves.
    pub quiet_hours: Vec<QuietHours>,
    /// Half-life of the expert counts, in seconds.
    pub half_life_seconds: f64,
    /// Bytes a second that one group may draw from the weight store.
    pub weight_store_bytes_per_second: f64,
}

/// A span of hours, `from` included, `to` excluded; it may pass midnight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietHours {
    /// First hour, 0 to 23.
    pub from: u32,
    /// Hour after the last, 0 to 24.
    pub to: u32,
}

/// Limits of the request path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests that one target runs at once.
    pub in_flight_per_target: u32,
    /// Requests that wait at one agent.
    pub queue_per_target: u32,
    /// One in this many dispatches goes to the lowest waiting tier.
    pub floor_one_in: u32,
    /// Time that a request has, in milliseconds, when the caller names none.
    pub deadline_ms: u64,
    /// Retries per hundred first attempts that one entry may spend.
    pub retry_percent: u32,
    /// Targets that one entry considers for a request.
    pub candidates: u32,
}

/// SHA-256 of a workspace's bearer key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of `key` as a caller sends it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The raw digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}..)", hex::encode(&self.0[..4]))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        hex::serde::serialize(self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        hex::serde::deserialize(deserializer).map(Self)
    }
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Name of its priority tier.
    pub tier: String,
    /// Share of its tier, relative to the tier's other workspaces.
    pub weight: u32,
    /// Hashes of the keys that its callers may send.
    pub key_hashes: Vec<KeyHash>,
    /// Requests that it may have in progress at one entry.
    pub in_flight: u32,
}
