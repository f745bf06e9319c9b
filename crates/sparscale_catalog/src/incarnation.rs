//! Starts of targets, as small keys.
//!
//! A target may start again under the id that it had, and then knows nothing of before. So nothing is kept under an id:
//! what is known of one start (connections, failures, loads) must not be believed of the next.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Names that are remembered beside those of the targets that are there, so that a target whose entry comes back after an
/// outage has the key that it had.
const REMEMBERED: usize = 1_024;

/// One start of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

/// One start of one target, named alike by all processes: a digest of the target's id and of when it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start(u64);

impl Start {
    /// The start of the target `id` that began at `born_ms`, if targets tell that.
    pub fn of(id: &str, born_ms: Option<u64>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(born_ms.unwrap_or_default().to_be_bytes());
        hasher.update(id);
        let digest = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(bytes))
    }

    /// The digest.
    pub fn digest(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Start {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The starts that a process has heard of. Each gets a key of its own, and no key is given out twice.
#[derive(Debug, Default)]
pub struct Incarnations {
    by_start: HashMap<Start, Incarnation>,
    given: u64,
}

impl Incarnations {
    /// The key of this start of a target.
    pub fn key(&mut self, start: Start) -> Incarnation {
        let given = &mut self.given;
        *self.by_start.entry(start).or_insert_with(|| {
            *given += 1;
            Incarnation(*given)
        })
    }

    /// Forgets the oldest starts that are not among `there`, which is in order, beyond [`REMEMBERED`].
    pub(crate) fn retain(&mut self, there: &[Incarnation]) {
        if self.by_start.len() <= there.len() + REMEMBERED {
            return;
        }
        let is_there = |key: &Incarnation| there.binary_search(key).is_ok();
        let mut gone: Vec<Incarnation> = self.by_start.values().copied().filter(|key| !is_there(key)).collect();
        gone.sort_unstable();
        let Some(oldest) = gone.len().checked_sub(REMEMBERED / 2).and_then(|index| gone.get(index)) else {
            return;
        };
        self.by_start.retain(|_, key| is_there(key) || *key >= *oldest);
    }
}
