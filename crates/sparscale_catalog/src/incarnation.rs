//! Keys that identify the individual starts of targets.
//!
//! A target may restart under the same id, and its earlier state is lost then. State about a target (connections,
//! failures, load) is therefore kept per start rather than per id, so that it is not applied to the next start.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Starts that are remembered beside those of the current targets, so that a target that is registered again after an
/// outage keeps its key.
const MAX_REMEMBERED_STARTS: usize = 1_024;

/// Key of one start of one target, valid only within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

/// Identifies one start of one target across all processes: a digest of the target's id and start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartId(u64);

impl StartId {
    /// Identifies the start of target `id` at `born_ms`; `None` if targets do not report when they started.
    pub fn of(id: &str, born_ms: Option<u64>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(born_ms.unwrap_or_default().to_be_bytes());
        hasher.update(id);
        let digest = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(bytes))
    }

    /// The digest as a number.
    pub fn digest(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Assigns a key to each start that this process knows; no key is reused.
#[derive(Debug, Default)]
pub struct Incarnations {
    by_start: HashMap<StartId, Incarnation>,
    last_key: u64,
}

impl Incarnations {
    /// Returns the key of a start, and assigns one if it is new.
    pub fn key(&mut self, start: StartId) -> Incarnation {
        let last_key = &mut self.last_key;
        *self.by_start.entry(start).or_insert_with(|| {
            *last_key += 1;
            Incarnation(*last_key)
        })
    }

    /// Removes the oldest starts that are not among `current`, which is sorted, once more than
    /// [`MAX_REMEMBERED_STARTS`] of them are kept; half as many remain.
    pub(crate) fn retain(&mut self, current: &[Incarnation]) {
        if self.by_start.len() <= current.len() + MAX_REMEMBERED_STARTS {
            return;
        }
        let is_current = |key: &Incarnation| current.binary_search(key).is_ok();
        let mut past: Vec<Incarnation> = self.by_start.values().copied().filter(|key| !is_current(key)).collect();
        past.sort_unstable();
        let Some(oldest_kept) = past
            .len()
            .checked_sub(MAX_REMEMBERED_STARTS / 2)
            .and_then(|index| past.get(index))
        else {
            return;
        };
        self.by_start.retain(|_, key| is_current(key) || *key >= *oldest_kept);
    }
}
