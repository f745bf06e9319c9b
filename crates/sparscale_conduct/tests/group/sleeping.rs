//! While a box is frozen no map can become active, so none may be staged: loading experts lengthens passes in vain, and
//! a switch in progress when the box resumes would have to be given up before the next one can begin.

use std::time::Duration;

use crate::engines::{RANKS, World};
use crate::leading::{agents, end, leader};

/// Time within which, on a busy machine, a frozen rank counts as unresponsive and a map switch in progress is given up.
const NOTED: Duration = Duration::from_millis(1_500);
/// Time for which the box stays frozen after that: the duration of several map switches.
const ASLEEP: Duration = Duration::from_secs(3);

#[test]
fn nothing_loaded_in_vain() {
    let world = World::new(22);
    let agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let asleep = (leader(&world) + 1) % RANKS;
    world.lock().frozen = Some(asleep);
    std::thread::sleep(NOTED);
    let before = world.lock().stages;
    world.lock().shift();
    std::thread::sleep(ASLEEP);
    let loaded = world.lock().stages - before;
    assert_eq!(loaded, 0, "orders to load while a rank is silent");
    let changes = world.lock().changes;
    world.lock().frozen = None;
    world.wait("a change of map afterwards", |group| group.changes > changes);
    assert!(!world.lock().mixed);
    end(agents);
}
