//! The orders to evacuate halls that a process follows are the latest ones it was sent, in whichever order they arrive.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sparscale_catalog::Evacuations;
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_history::Position;
use sparscale_policy::evacuation::{Merge, Register};

fn now() -> Timestamp {
    SystemClock::default().now()
}

fn orders(halls: &[&str]) -> Evacuations {
    halls.iter().map(|hall| (*hall).to_owned()).collect()
}

/// A peer's older observation neither begins nor ends an evacuation.
#[test]
fn older_ignored() {
    let (mut register, now) = (Register::default(), now());
    assert_eq!(register.merge(&orders(&["a"]), 7.into(), now), Merge::Changed);
    assert_eq!(register.merge(&orders(&[]), 6.into(), now), Merge::Stale);
    assert!(register.in_force(now).contains("a"));
    assert_eq!(register.merge(&orders(&[]), 8.into(), now), Merge::Changed);
    assert_eq!(register.merge(&orders(&["a"]), 7.into(), now), Merge::Stale);
    assert!(register.in_force(now).is_empty());
}

/// Replays a store that is restored from a snapshot without the order, which the operators repeat a second later.
#[test]
fn restored_store() {
    let (mut register, now) = (Register::default(), now());
    register.merge(&orders(&["a"]), Position::new(0, 90), now);
    register.merge(&orders(&[]), Position::new(1, 40), now);
    assert!(register.in_force(now + Duration::from_secs(1)).contains("a"));
    register.merge(&orders(&["a"]), Position::new(1, 41), now + Duration::from_secs(1));
    assert!(register.in_force(now + Duration::from_mins(1)).contains("a"));
    register.merge(&orders(&[]), Position::new(1, 42), now + Duration::from_mins(1));
    assert!(
        register.in_force(now + Duration::from_mins(1)).is_empty(),
        "the end of an evacuation takes effect at once"
    );
}

/// An order that is not written again after a restore expires.
#[test]
fn unrepeated_order_ends() {
    let (mut register, now) = (Register::default(), now());
    register.merge(&orders(&["a"]), Position::new(0, 90), now);
    register.merge(&orders(&["b"]), Position::new(1, 40), now);
    assert_eq!(register.in_force(now), orders(&["a", "b"]));
    assert_eq!(register.in_force(now + Duration::from_mins(1)), orders(&["b"]));
}

/// Processes that receive the same observations in different orders agree.
#[test]
fn views_agree() {
    fn holds(steps: Vec<(u8, bool)>, shuffled_by: u8) -> bool {
        let now = now();
        let mut history: Vec<(u64, Evacuations)> = steps
            .into_iter()
            .scan(0, |offset, (step, is_evacuated)| {
                *offset += u64::from(step) + 1;
                Some((*offset, orders(if is_evacuated { &["a"] } else { &[] })))
            })
            .collect();
        let latest = history.last().map(|(_, evacuations)| evacuations.clone());
        let shift = usize::from(shuffled_by) % history.len().max(1);
        history.rotate_left(shift);
        let mut register = Register::default();
        for (offset, evacuations) in &history {
            register.merge(evacuations, (*offset).into(), now);
        }
        latest.is_none_or(|latest| register.in_force(now) == latest)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 44))
        .quickcheck(holds as fn(Vec<(u8, bool)>, u8) -> bool);
}
