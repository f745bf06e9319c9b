//! While a box stands still no map comes in force, so none is loaded: each load makes passes longer and would be in vain, and the
//! change that is under way as the box wakes would have to be given up before the next one can begin.

use std::time::Duration;

use crate::engines::{RANKS, World};
use crate::leading::{agents, end, leader};

/// Time after which a rank that says nothing counts as silent, on a busy machine, and a change that is under way is given up.
const NOTED: Duration = Duration::from_millis(1_500);
/// Time for which the box stands still after that: several changes long.
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
