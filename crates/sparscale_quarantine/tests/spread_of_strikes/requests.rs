//! A request that crashes its targets is sent a bounded number of times, whichever process receives it and however the
//! network is partitioned.

use quickcheck::QuickCheck;

use crate::simulation::{Crash, Event, Simulation};

/// Most sends by processes in contact with the store after the third termination: the two of one request. If all
/// processes restart while the store is unavailable, none knows the strikes any more until the next request crashes
/// targets again.
const MAX_LATE_SENDS: usize = 2;

/// Plays a history; fails if there are too many late sends in it.
fn play(events: Vec<Event>) -> Result<(), String> {
    let mut simulation = Simulation::new(Crash::SameRequest);
    for event in events {
        simulation.handle(event);
    }
    if simulation.late_sends <= MAX_LATE_SENDS {
        return Ok(());
    }
    Err(format!(
        "{} late sends, {} targets terminated",
        simulation.late_sends, simulation.end_count
    ))
}

/// Strikes are written as soon as the store is available, so they can be lost in this way only once.
#[test]
fn bounded_sends() {
    QuickCheck::new()
        .tests(1_500)
        .quickcheck(play as fn(Vec<Event>) -> Result<(), String>);
}

/// A history in which all processes lose the strikes of four targets before the `later` events.
fn after_loss(later: &[Event]) -> Vec<Event> {
    let loss = [
        Event::ToggleStore,
        Event::RequestArrives(2),
        Event::RestartAll,
        Event::RequestArrives(2),
        Event::RestartAll,
        Event::ToggleStore,
    ];
    loss.into_iter().chain(later.iter().copied()).collect()
}

/// Two processes that cannot reach each other receive the request before either reads the other's strikes.
#[test]
fn partition_after_loss() {
    let history = after_loss(&[
        Event::Wait(13),
        Event::Partition(2),
        Event::RequestArrives(4),
        Event::RequestArrives(1),
    ]);
    assert_eq!(play(history), Ok(()));
}

/// A process that starts after the loss learns of it from the store.
#[test]
fn start_after_loss() {
    let history = after_loss(&[
        Event::Wait(2),
        Event::Restart(4),
        Event::Wait(13),
        Event::Partition(2),
        Event::RequestArrives(4),
        Event::RequestArrives(1),
    ]);
    assert_eq!(play(history), Ok(()));
}
