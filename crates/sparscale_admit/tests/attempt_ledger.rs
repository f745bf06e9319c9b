//! An attempt is forwarded at most once, and an attempt reported as not run never runs later.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_admit::ledger::{Attempt, KeyBinding, Ledger, Refusal, State};

#[derive(Clone, Copy, Debug)]
enum Event {
    Register(Attempt),
    Forward(Attempt),
    End(Attempt),
    RecordUndelivered(Attempt),
    Settle(Attempt),
    Advance(u8),
}

fn attempt(g: &mut Gen) -> Attempt {
    Attempt {
        sender_incarnation: u64::arbitrary(g) % 2,
        counter: u64::arbitrary(g) % 6,
    }
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..4 => Self::Register(attempt(g)),
            4..7 => Self::Forward(attempt(g)),
            7 => Self::End(attempt(g)),
            8 => Self::RecordUndelivered(attempt(g)),
            9..11 => Self::Settle(attempt(g)),
            _ => Self::Advance(u8::arbitrary(g) % 40),
        }
    }
}

/// Applies `events` to a ledger and to a model that counts how often each attempt was forwarded and which were reported
/// as not run.
fn runs_at_most_once(events: Vec<Event>) -> bool {
    const CAPACITY: usize = 4;
    const RETENTION: Duration = Duration::from_secs(20);
    let mut ledger = Ledger::new(CAPACITY);
    let mut now = Duration::ZERO;
    let mut forward_counts: HashMap<Attempt, u32> = HashMap::new();
    let mut not_run: HashSet<Attempt> = HashSet::new();
    for event in events {
        match event {
            Event::Register(id) => drop(ledger.register(id, now + RETENTION, now)),
            Event::Forward(id) => {
                if ledger.try_forward(id) {
                    *forward_counts.entry(id).or_default() += 1;
                }
            }
            Event::End(id) => ledger.record_end(id),
            Event::RecordUndelivered(id) => {
                if ledger.state(id) == Some(State::Running) {
                    ledger.record_undelivered(id);
                    // The attempt provably never reached the target.
                    forward_counts.remove(&id);
                    not_run.insert(id);
                }
            }
            Event::Settle(id) => {
                if ledger.settle(id, now + RETENTION, now) == Some(State::Tombstone) {
                    not_run.insert(id);
                }
            }
            Event::Advance(seconds) => now += Duration::from_secs(u64::from(seconds)),
        }
        let ran_twice = forward_counts.values().any(|count| *count > 1);
        let has_false_proof = not_run.iter().any(|id| forward_counts.contains_key(id));
        if ran_twice || has_false_proof || ledger.len() > CAPACITY {
            return false;
        }
    }
    true
}

#[test]
fn attempt_runs_at_most_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 1))
        .tests(50_000)
        .quickcheck(runs_at_most_once as fn(Vec<Event>) -> bool);
}

#[test]
fn full_ledger_rejects() {
    let mut ledger = Ledger::new(1);
    let first = Attempt {
        sender_incarnation: 1,
        counter: 1,
    };
    let second = Attempt {
        sender_incarnation: 1,
        counter: 2,
    };
    let minute = Duration::from_mins(1);
    assert_eq!(ledger.register(first, minute, Duration::ZERO), Ok(()));
    assert_eq!(ledger.register(second, minute, Duration::ZERO), Err(Refusal::Full));
    assert_eq!(
        ledger.settle(second, minute, Duration::ZERO),
        None,
        "no tombstone fits, so there is no proof"
    );
}

#[test]
fn evicted_attempt_rejected() {
    let mut ledger = Ledger::new(4);
    let id = Attempt {
        sender_incarnation: 1,
        counter: 5,
    };
    let second = Duration::from_secs(1);
    assert_eq!(ledger.register(id, second, Duration::ZERO), Ok(()));
    assert!(ledger.try_forward(id));
    ledger.record_end(id);
    ledger.expire(second * 2);
    assert!(ledger.is_empty());
    assert_eq!(ledger.register(id, second * 9, second * 3), Err(Refusal::Expired));
    assert_eq!(ledger.settle(id, second * 9, second * 3), None);
}

#[test]
fn key_binds_once() {
    let mut ledger = Ledger::new(4);
    let first = Attempt {
        sender_incarnation: 1,
        counter: 1,
    };
    let second = Attempt {
        sender_incarnation: 2,
        counter: 1,
    };
    let minute = Duration::from_mins(1);
    for id in [first, second] {
        assert_eq!(ledger.register(id, minute, Duration::ZERO), Ok(()));
    }
    assert_eq!(ledger.bind_key([7; 16], [1; 32], first), KeyBinding::New);
    assert_eq!(ledger.bind_key([7; 16], [1; 32], second), KeyBinding::Earlier(first));
    assert_eq!(ledger.bind_key([7; 16], [2; 32], second), KeyBinding::BodyMismatch);
    assert_eq!(ledger.settle(first, minute, Duration::ZERO), Some(State::Tombstone));
    assert_eq!(
        ledger.bind_key([7; 16], [1; 32], second),
        KeyBinding::New,
        "an attempt that did not run releases its key"
    );
}
