//! While a box is frozen no map can become active, so none may be staged: loading experts lengthens passes in vain, and
//! a switch in progress when the box resumes would have to be given up before the next one can begin.

use std::time::Duration;

use crate::engines::{RANKS, World};
use crate::leading::{leader_rank, start_agents, stop_agents};

/// Time within which, on a busy machine, a frozen rank counts as unresponsive and a map switch in progress is given up.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the box stays frozen after that: the duration of several map switches.
const FREEZE_TIME: Duration = Duration::from_secs(3);

#[test]
fn no_staging_while_frozen() {
    let world = World::new(22);
    let agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let frozen_rank = (leader_rank(&world) + 1) % RANKS;
    world.lock().frozen = Some(frozen_rank);
    std::thread::sleep(DETECTION_TIME);
    let before = world.lock().stage_orders;
    world.lock().shift_demand();
    std::thread::sleep(FREEZE_TIME);
    let staged = world.lock().stage_orders - before;
    assert_eq!(staged, 0, "orders to stage a map while a rank is unresponsive");
    let changes = world.lock().map_changes;
    world.lock().frozen = None;
    world.wait_for("a change of map afterwards", |group| group.map_changes > changes);
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}
