//! Text form of a bundle: plain data that has not been checked.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A complete bundle as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the bundle; each version is used once and must be higher than the active one.
    pub version: u64,
    /// All content that is not per workspace.
    pub fleet: Fleet,
    /// Workspaces (customers), each with its keys, tier and limits.
    pub workspaces: Vec<Workspace>,
}

/// Section of a bundle that describes boxes, models and policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Operators who may publish, approve and roll.
    pub operators: Vec<Operator>,
    /// Halls, each with its region.
    pub halls: Vec<Hall>,
    /// Priority tiers, highest first.
    pub tiers: Vec<Tier>,
    /// Model versions that are served.
    pub models: Vec<Model>,
    /// Plain services, which do not belong to a model.
    pub services: Vec<Service>,
    /// Groups of ranks.
    pub groups: Vec<Group>,
    /// Targets, each with its hall.
    pub targets: Vec<Target>,
    /// Weights and limits of expert placement.
    pub placement: Placement,
    /// Limits of the request path.
    pub limits: Limits,
}

impl Fleet {
    /// Returns the group called `name`.
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

/// A hall: boxes that share power and network and so may fail together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Unique name.
    pub name: String,
    /// Region of the hall.
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
    /// Name that callers use in requests.
    pub name: String,
    /// Version of the weights.
    pub version: String,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers use in requests.
    pub name: String,
    /// Names of the targets that run it.
    pub targets: Vec<String>,
    /// Calls that callers may send.
    pub calls: Vec<Call>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Name of the call, the last segment of the request path.
    pub name: String,
    /// Whether the call may be executed more than once, so that it may be retried.
    pub repeatable: bool,
}

/// A group of ranks that execute steps in lockstep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Unique name.
    pub name: String,
    /// Model that the group serves.
    pub model: String,
    /// Target of each rank, in rank order.
    pub ranks: Vec<String>,
    /// Number of mixture-of-experts layers.
    pub layers: u32,
    /// Number of logical experts per layer.
    pub experts: u32,
    /// Number of expert replicas per layer that one rank can hold.
    pub slots: u32,
    /// Size of one expert's weights in one layer, in bytes.
    pub expert_bytes: u64,
}

/// A back end: one rank of a group, or one server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name; the box list gives the target's address.
    pub name: String,
    /// Hall of the target.
    pub hall: String,
    /// Whether the target itself rejects orders with a fence below the highest one that it has received.
    pub checks_fence: bool,
}

/// Weights and limits of expert placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Cost of one unit of step-time skew (largest rank load divided by the mean, minus 1).
    pub weight_skew: f64,
    /// Cost of loading weights for one second at the weight store's rate.
    pub weight_move: f64,
    /// Maximum number of expert replicas that one map switch may load.
    pub move_budget: u32,
    /// Hours of the day, in UTC, in which no expert is moved.
    pub quiet_hours: Vec<QuietHours>,
    /// Half-life of the expert selection counts, in seconds.
    pub half_life_seconds: f64,
    /// Maximum bytes per second that one group may load from the weight store.
    pub weight_store_bytes_per_second: f64,
}

/// A range of hours, including `from` and excluding `to`; it may span midnight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietHours {
    /// First hour of the range, 0 to 23.
    pub from: u32,
    /// Hour after the end of the range, 0 to 24.
    pub to: u32,
}

/// Limits of the request path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests in flight per target.
    pub in_flight_per_target: u32,
    /// Maximum number of requests queued at the agent of one target.
    pub queue_per_target: u32,
    /// One in this many dispatches goes to the lowest tier with queued requests.
    pub floor_one_in: u32,
    /// Deadline of a request for which the caller sets none, in milliseconds after its arrival.
    pub deadline_ms: u64,
    /// Maximum number of retries per 100 first attempts at one entry.
    pub retry_percent: u32,
    /// Number of targets that an entry considers per request.
    pub candidates: u32,
}

/// SHA-256 hash of a caller key, which callers of a workspace send as bearer token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Computes the hash of `key` as sent by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the raw digest.
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

/// A workspace: one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Name of its priority tier.
    pub tier: String,
    /// Relative share among the workspaces of its tier.
    pub weight: u32,
    /// Hashes of the keys of its callers.
    pub key_hashes: Vec<KeyHash>,
    /// Maximum number of its requests in flight at one entry.
    pub in_flight: u32,
}
