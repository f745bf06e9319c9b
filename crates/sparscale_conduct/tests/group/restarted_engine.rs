//! Restarted engines, and roster entries that name the wrong box.

use crate::engines::World;
use crate::leading::{start_agents, stop_agents};

/// The group re-forms with a restarted engine that has lost its state, and the leader continues to switch maps.
#[test]
fn engine_restarted() {
    let world = World::new(9);
    let agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    for rank in [1, 0, 1] {
        let changes = world.lock().map_changes;
        world.lock().restart(rank);
        world.wait_for("a change of map with the restarted engine", |group| {
            group.map_changes > changes
        });
    }
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}

/// Reports of one rank must not count for another: a map would become active although one rank was never armed.
#[test]
fn misplaced_entry() {
    let world = World::new(10);
    world.lock().misplaced_rank = Some(2);
    let agents = start_agents(&world);
    for round in 1..=3 {
        world.wait_for("a change of map", |group| group.map_changes >= round);
        world.lock().shift_demand();
    }
    assert!(!world.lock().maps_differ, "ranks took different maps");
    stop_agents(agents);
}
