//! What a settings file says of the memory and the descriptors of a process.

use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;
use sparscale_policy::intake::Capacity;
use sparscale_settings::Problem;

const MEGABYTE: usize = 1_000_000;
/// Memory of an entry's box unless the settings say more or less, in megabytes.
const DEFAULT_MEMORY_MB: usize = 256;
/// Memory of an agent's box, in megabytes.
const DEFAULT_AGENT_MEMORY_MB: usize = 128;
/// Descriptors of a process.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Least memory that leaves something for callers, in megabytes.
const MIN_MEMORY_MB: usize = 16;
/// Fewest descriptors that leave some for callers.
const MIN_DESCRIPTORS: usize = 32;

/// What a process may use of its box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessLimits {
    /// Memory, in megabytes; six tenths of it are for callers.
    pub memory_mb: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl ProcessLimits {
    /// Default of an agent.
    pub fn of_agent() -> Self {
        Self {
            memory_mb: DEFAULT_AGENT_MEMORY_MB,
            ..Self::default()
        }
    }

    /// Problems of the settings.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if self.memory_mb < MIN_MEMORY_MB {
            let remedy = "use the memory of the box in megabytes, 16 or more";
            problems.push(Problem::new(
                "limits.memory_mb",
                "is too little for the process itself",
                remedy,
            ));
        }
        if self.descriptors < MIN_DESCRIPTORS {
            let remedy = "use the descriptors that the process may open, 32 or more";
            problems.push(Problem::new(
                "limits.descriptors",
                "is too little for the process itself",
                remedy,
            ));
        }
        problems
    }

    /// What may be held for callers. The operating system may allow fewer descriptors than the settings.
    pub fn capacity(&self) -> Capacity {
        let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(self.descriptors, |(soft, _hard)| {
            usize::try_from(soft).unwrap_or(self.descriptors)
        });
        Capacity::of_process(self.memory_mb.saturating_mul(MEGABYTE), self.descriptors.min(allowed))
    }
}
