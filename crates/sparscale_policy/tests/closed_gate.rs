//! A group that turns everything away: who tries it again, who waits, who is told to come back.

use std::time::{Duration, Instant};

use sparscale_policy::gate::{Gate, Pass};

/// Time for which the requests here can wait.
const PATIENCE: Duration = Duration::from_secs(5);

fn closed(now: Instant) -> Gate {
    let mut gate = Gate::default();
    assert_eq!(gate.turned_away(now), None, "one may have met a full target");
    assert_eq!(gate.turned_away(now), Some(2));
    gate
}

#[test]
fn one_probes() {
    let began = Instant::now();
    let mut gate = closed(began);
    let until = began + PATIENCE;
    let Pass::Wait(next) = gate.pass(until, began) else {
        panic!("it waits");
    };
    assert_eq!(gate.pass(until, next), Pass::Go);
    assert!(matches!(gate.pass(until, next), Pass::Wait(later) if later > next));
}

/// A hundred that come in a second of closure: no more than ten are sent in vain.
#[test]
fn few_in_vain() {
    let began = Instant::now();
    let mut gate = closed(began);
    let arrivals = (0..100).map(|number| began + Duration::from_millis(10 * number));
    let sent = arrivals.filter(|now| gate.pass(*now + PATIENCE, *now) == Pass::Go);
    assert!(sent.count() <= 10);
}

#[test]
fn opens_for_all() {
    let began = Instant::now();
    let mut gate = closed(began);
    let later = began + Duration::from_millis(700);
    assert_eq!(gate.answered(later), Some(Duration::from_millis(700)));
    assert_eq!(gate.pass(later + PATIENCE, later), Pass::Go);
    assert_eq!(gate.turned_away(later), None, "counted anew");
}

/// Ranks that are away for longer than a restart takes: nobody is held for them.
#[test]
fn long_closure() {
    let began = Instant::now();
    let mut gate = closed(began);
    let late = began + Duration::from_secs(3);
    assert_eq!(gate.pass(late + PATIENCE, late), Pass::Go, "one tries");
    assert_eq!(gate.pass(late + PATIENCE, late), Pass::Closed);
}

#[test]
fn short_patience() {
    let began = Instant::now();
    let mut gate = closed(began);
    assert_eq!(gate.pass(began, began), Pass::Closed);
}

/// What was not turned away shows only something while the gate is closed.
#[test]
fn taken_opens() {
    let began = Instant::now();
    let mut gate = closed(began);
    assert_eq!(gate.taken(began + PATIENCE), Some(PATIENCE));
    assert_eq!(gate.taken(began + PATIENCE), None);
}
