//! The attempt ledger: records the state of each attempt at this agent incarnation, so that "not run" is a proof.
//!
//! An attempt is registered at most once, and forwarded to the target only after that. Settling an attempt that was not
//! forwarded leaves a tombstone, so that an original that arrives late is rejected. A record is evicted only when no
//! copy of its attempt can be accepted any more: each sender incarnation has a floor, and attempts with a counter below
//! the floor that have no record are rejected.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use snafu::Snafu;

/// Time after which an expired record is checked again if its attempt is still in progress.
const IN_PROGRESS_RECHECK: Duration = Duration::from_secs(1);

/// Identifies an attempt by the incarnation of the process that sent it and that incarnation's counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Incarnation of the sender.
    pub sender_incarnation: u64,
    /// Increasing counter of that incarnation.
    pub counter: u64,
}

/// Digest of workspace and idempotency key.
pub type Key = [u8; 16];

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It is queued and was not forwarded.
    Queued,
    /// It was forwarded to the target.
    Running,
    /// The target's response is complete, or its failure is known.
    Ended,
    /// It was not forwarded and never will be.
    Tombstone,
}

/// Why an attempt cannot be registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// It was registered before.
    #[snafu(display("the attempt was registered before"))]
    Known {
        /// Its state.
        state: State,
    },
    /// Its counter is below the sender's floor, so whether it ran is unknown.
    #[snafu(display("the record of the attempt has expired"))]
    Expired,
    /// The ledger is at capacity, and no record may be evicted yet.
    #[snafu(display("the ledger is at capacity"))]
    Full,
}

/// Result of binding an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyBinding {
    /// The key is new and is now bound to the attempt.
    New,
    /// The key is bound to this earlier attempt, whose outcome also answers the new request.
    Earlier(Attempt),
    /// The key was used for another request body.
    BodyMismatch,
}

#[derive(Debug, Clone)]
struct Record {
    state: State,
    key: Option<Key>,
}

#[derive(Debug, Clone, Copy)]
struct BoundKey {
    attempt: Attempt,
    body: [u8; 32],
}

/// The ledger of one agent incarnation.
#[derive(Debug)]
pub struct Ledger {
    capacity: usize,
    records: BTreeMap<Attempt, Record>,
    by_expiry: BTreeSet<(Duration, Attempt)>,
    counter_floors: HashMap<u64, u64>,
    keys: HashMap<Key, BoundKey>,
}

impl Ledger {
    /// Creates a ledger of at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            records: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            counter_floors: HashMap::new(),
            keys: HashMap::new(),
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ledger has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// State of `attempt`, if it has a record.
    pub fn state(&self, attempt: Attempt) -> Option<State> {
        self.records.get(&attempt).map(|record| record.state)
    }

    /// Registers `attempt` and keeps its record at least until `expires`.
    pub fn register(&mut self, attempt: Attempt, expires: Duration, now: Duration) -> Result<(), Refusal> {
        if let Some(record) = self.records.get(&attempt) {
            return Err(Refusal::Known { state: record.state });
        }
        if self.is_below_floor(attempt) {
            return Err(Refusal::Expired);
        }
        self.expire(now);
        if self.records.len() >= self.capacity {
            return Err(Refusal::Full);
        }
        self.insert(attempt, State::Queued, expires);
        Ok(())
    }

    /// Binds `key` to `attempt`, which was just registered, unless the key is bound to an earlier attempt.
    pub fn bind_key(&mut self, key: Key, body: [u8; 32], attempt: Attempt) -> KeyBinding {
        if let Some(earlier) = self.keys.get(&key) {
            return if earlier.body == body {
                KeyBinding::Earlier(earlier.attempt)
            } else {
                KeyBinding::BodyMismatch
            };
        }
        if let Some(record) = self.records.get_mut(&attempt) {
            record.key = Some(key);
            self.keys.insert(key, BoundKey { attempt, body });
        }
        KeyBinding::New
    }

    /// The attempt that `key` is bound to.
    pub fn attempt_of_key(&self, key: &Key) -> Option<Attempt> {
        self.keys.get(key).map(|record| record.attempt)
    }

    /// Records that `attempt` is about to be forwarded. Returns false if it must not be, because it is not queued.
    #[must_use]
    pub fn try_forward(&mut self, attempt: Attempt) -> bool {
        self.transition(attempt, State::Queued, State::Running)
    }

    /// Records the end of `attempt`, which was forwarded.
    pub fn record_end(&mut self, attempt: Attempt) {
        self.transition(attempt, State::Running, State::Ended);
    }

    /// Records that `attempt` was to be forwarded but provably never reached the target.
    pub fn record_undelivered(&mut self, attempt: Attempt) {
        if self.transition(attempt, State::Running, State::Tombstone) {
            self.release_key(attempt);
        }
    }

    /// Turns `attempt` into a tombstone if it was not forwarded, and returns its state.
    ///
    /// An attempt that never arrived also gets a tombstone, so that its original is rejected when it arrives late.
    /// `None` means that the state is unknown: the record has expired, or the ledger is at capacity.
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
        if self.records.len() >= self.capacity {
            return None;
        }
        self.insert(attempt, State::Tombstone, expires);
        Some(State::Tombstone)
    }

    /// Attempts that were forwarded and have not ended.
    pub fn running_attempts(&self) -> impl Iterator<Item = Attempt> {
        let running = |(attempt, record): (&Attempt, &Record)| (record.state == State::Running).then_some(*attempt);
        self.records.iter().filter_map(running)
    }

    /// Evicts records whose time has passed and raises the floors of their senders above them.
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
        let Some(record) = self.records.remove(&attempt) else {
            return;
        };
        if let Some(key) = record.key {
            self.keys.remove(&key);
        }
        let floor = self.counter_floors.entry(attempt.sender_incarnation).or_default();
        *floor = (*floor).max(attempt.counter + 1);
    }

    /// Unbinds the key of an attempt that was not run, so that another attempt may use it.
    fn release_key(&mut self, attempt: Attempt) {
        let key = self.records.get_mut(&attempt).and_then(|record| record.key.take());
        if let Some(key) = key {
            self.keys.remove(&key);
        }
    }

    fn insert(&mut self, attempt: Attempt, state: State, expires: Duration) {
        let record = Record { state, key: None };
        self.by_expiry.insert((expires, attempt));
        self.records.insert(attempt, record);
    }

    fn transition(&mut self, attempt: Attempt, from: State, to: State) -> bool {
        match self.records.get_mut(&attempt) {
            Some(record) if record.state == from => {
                record.state = to;
                true
            }
            _ => false,
        }
    }

    fn is_below_floor(&self, attempt: Attempt) -> bool {
        let floor = self.counter_floors.get(&attempt.sender_incarnation);
        floor.is_some_and(|floor| attempt.counter < *floor)
    }
}
