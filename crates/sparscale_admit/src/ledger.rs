//! The attempt ledger: what this agent incarnation has done about each attempt, so that "not run" is a proof.
//!
//! An attempt is handed on only after it was entered, and entered only once. Settling an attempt that was not handed
//! on leaves a tombstone, so that a late original is refused. Old entries may go only when no copy can be accepted
//! any more: for each entry incarnation there is a floor, and attempts below it that have no entry are refused.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use snafu::Snafu;

/// An entry in progress is looked at again after this long.
const IN_PROGRESS_RECHECK: Duration = Duration::from_secs(1);

/// Names an attempt: the incarnation of the process that made it, and that incarnation's counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Counter of that incarnation, rising.
    pub counter: u64,
}

/// Digest of workspace and idempotency key.
pub type Key = [u8; 16];

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It waits; nothing was handed on.
    Queued,
    /// It was handed on to the target.
    Running,
    /// The target's answer is whole, or its failure is known.
    Ended,
    /// It was not handed on and never will be.
    Tombstone,
}

/// Why an attempt cannot be entered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// It was entered before.
    #[snafu(display("the attempt was entered before"))]
    Known {
        /// Its state.
        state: State,
    },
    /// It is older than what the ledger remembers of its sender; whether it ran cannot be told.
    #[snafu(display("the attempt is older than the ledger remembers"))]
    Forgotten,
    /// There is no room, and no entry may be forgotten yet.
    #[snafu(display("the ledger is full"))]
    Full,
}

/// What a re-send under an idempotency key meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keyed {
    /// The key is new and now belongs to the attempt.
    New,
    /// The key belongs to this earlier attempt, whose outcome is the answer.
    Earlier(Attempt),
    /// The key was used for another request body.
    OtherBody,
}

#[derive(Debug, Clone)]
struct Entry {
    state: State,
    key: Option<Key>,
}

#[derive(Debug, Clone, Copy)]
struct KeyEntry {
    attempt: Attempt,
    body: [u8; 32],
}

/// The ledger of one agent incarnation.
#[derive(Debug)]
pub struct Ledger {
    capacity: usize,
    entries: BTreeMap<Attempt, Entry>,
    by_expiry: BTreeSet<(Duration, Attempt)>,
    counter_floors: HashMap<u64, u64>,
    keys: HashMap<Key, KeyEntry>,
}

impl Ledger {
    /// A ledger of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            counter_floors: HashMap::new(),
            keys: HashMap::new(),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// State of `attempt`.
    pub fn state(&self, attempt: Attempt) -> Option<State> {
        self.entries.get(&attempt).map(|entry| entry.state)
    }

    /// Enters `attempt`, to be remembered until `expires` at least.
    pub fn enter(&mut self, attempt: Attempt, expires: Duration, now: Duration) -> Result<(), Refusal> {
        if let Some(entry) = self.entries.get(&attempt) {
            return Err(Refusal::Known { state: entry.state });
        }
        if self.is_below_floor(attempt) {
            return Err(Refusal::Forgotten);
        }
        self.expire(now);
        if self.entries.len() >= self.capacity {
            return Err(Refusal::Full);
        }
        self.insert(attempt, State::Queued, expires);
        Ok(())
    }

    /// Binds `key` to `attempt`, which was just entered, unless an earlier attempt has it.
    pub fn bind(&mut self, key: Key, body: [u8; 32], attempt: Attempt) -> Keyed {
        if let Some(earlier) = self.keys.get(&key) {
            return if earlier.body == body {
                Keyed::Earlier(earlier.attempt)
            } else {
                Keyed::OtherBody
            };
        }
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.key = Some(key);
            self.keys.insert(key, KeyEntry { attempt, body });
        }
        Keyed::New
    }

    /// The attempt that `key` is bound to.
    pub fn bound(&self, key: &Key) -> Option<Attempt> {
        self.keys.get(key).map(|entry| entry.attempt)
    }

    /// Notes that `attempt` is handed on now. False if it may not be: it does not wait.
    #[must_use]
    pub fn hand_on(&mut self, attempt: Attempt) -> bool {
        self.transition(attempt, State::Queued, State::Running)
    }

    /// Notes that `attempt`, which was handed on, ended.
    pub fn end(&mut self, attempt: Attempt) {
        self.transition(attempt, State::Running, State::Ended);
    }

    /// Notes that `attempt` was handed on, but provably never reached the target.
    pub fn take_back(&mut self, attempt: Attempt) {
        if self.transition(attempt, State::Running, State::Tombstone) {
            self.release_key(attempt);
        }
    }

    /// Leaves a tombstone for `attempt` if it was not handed on, and says what became of it.
    ///
    /// `None` means that the ledger cannot tell. An attempt that never arrived gets a tombstone, too: its late
    /// original is refused.
    pub fn settle(&mut self, attempt: Attempt, expires: Duration, now: Duration) -> Option<State> {
        if self.transition(attempt, State::Queued, State::Tombstone) {
            self.release_key(attempt);
        }
        if let Some(state) = self.state(attempt) {
            return Some(state);
        }
        if self.is_below_floor(attempt) {
            return None;
        }
        self.expire(now);
        if self.entries.len() >= self.capacity {
            return None;
        }
        self.insert(attempt, State::Tombstone, expires);
        Some(State::Tombstone)
    }

    /// Attempts that were handed on and have not ended.
    pub fn running(&self) -> impl Iterator<Item = Attempt> {
        let running = |(attempt, entry): (&Attempt, &Entry)| (entry.state == State::Running).then_some(*attempt);
        self.entries.iter().filter_map(running)
    }

    /// Forgets entries whose time has passed; their senders' floors rise above them.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(expires, attempt)) = self.by_expiry.first() {
            if expires > now {
                return;
            }
            self.by_expiry.pop_first();
            if self.is_in_progress(attempt) {
                self.by_expiry.insert((now + IN_PROGRESS_RECHECK, attempt));
                continue;
            }
            self.evict(attempt);
        }
    }

    fn is_in_progress(&self, attempt: Attempt) -> bool {
        matches!(self.state(attempt), Some(State::Queued | State::Running))
    }

    fn evict(&mut self, attempt: Attempt) {
        let Some(entry) = self.entries.remove(&attempt) else {
            return;
        };
        if let Some(key) = entry.key {
            self.keys.remove(&key);
        }
        let floor = self.counter_floors.entry(attempt.sender).or_default();
        *floor = (*floor).max(attempt.counter + 1);
    }

    /// A request that was not run leaves its key free for another attempt.
    fn release_key(&mut self, attempt: Attempt) {
        let key = self.entries.get_mut(&attempt).and_then(|entry| entry.key.take());
        if let Some(key) = key {
            self.keys.remove(&key);
        }
    }

    fn insert(&mut self, attempt: Attempt, state: State, expires: Duration) {
        let entry = Entry { state, key: None };
        self.by_expiry.insert((expires, attempt));
        self.entries.insert(attempt, entry);
    }

    fn transition(&mut self, attempt: Attempt, from: State, to: State) -> bool {
        match self.entries.get_mut(&attempt) {
            Some(entry) if entry.state == from => {
                entry.state = to;
                true
            }
            _ => false,
        }
    }

    fn is_below_floor(&self, attempt: Attempt) -> bool {
        let floor = self.counter_floors.get(&attempt.sender);
        floor.is_some_and(|floor| attempt.counter < *floor)
    }
}
