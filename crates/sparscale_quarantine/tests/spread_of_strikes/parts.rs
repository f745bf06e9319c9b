//! Requests that share a part which crashes their targets are sent a bounded number of times, and requests that share
//! the caller's part are served.

use quickcheck::QuickCheck;

use crate::simulation::{Crash, Event, Simulation};

/// Most sends by processes in contact with the store after the fifth termination.
const MAX_LATE_SENDS: usize = 3;

/// Plays a history that begins with a sound request at each of two processes; fails if there are too many late sends in
/// it, or if sound requests are held back.
fn play(events: Vec<Event>) -> Result<(), String> {
    let mut simulation = Simulation::new(Crash::SharedPart);
    let served_before = [Event::SoundRequestArrives(0), Event::SoundRequestArrives(1)];
    for event in served_before.into_iter().chain(events) {
        simulation.handle(event);
    }
    if simulation.late_sends <= MAX_LATE_SENDS && simulation.late_sound_holds == 0 {
        return Ok(());
    }
    Err(format!(
        "{} late sends, {} targets terminated, {} sound requests held",
        simulation.late_sends, simulation.end_count, simulation.late_sound_holds
    ))
}

#[test]
fn bounded_sends() {
    QuickCheck::new()
        .tests(1_500)
        .quickcheck(play as fn(Vec<Event>) -> Result<(), String>);
}
