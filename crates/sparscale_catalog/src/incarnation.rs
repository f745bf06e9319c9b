//! Starts of targets, as small keys.
//!
//! A target may start again under the id that it had, and then knows nothing of before. So nothing is kept under an id:
//! what is known of one start (connections, failures, loads) must not be believed of the next.

use std::collections::HashMap;

use crate::roster::Target;

/// Names that are remembered beside those of the targets that are there, so that a target whose entry comes back after an
/// outage has the key that it had.
const REMEMBERED: usize = 1_024;

/// One start of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

/// What tells one start from another: its target's id, and when it began.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Start {
    id: String,
    born_ms: Option<u64>,
}

/// The starts that a process has heard of. Each gets a key of its own, and no key is given out twice.
#[derive(Debug, Default)]
pub struct Incarnations {
    by_start: HashMap<Start, Incarnation>,
    given: u64,
}

impl Incarnations {
    /// The key of this start of `target`.
    pub fn key(&mut self, target: &Target) -> Incarnation {
        let start = Start {
            id: target.id.clone(),
            born_ms: target.born_ms,
        };
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
