//! Restarted engines, and roster entries that name the wrong box.

use crate::engines::World;
use crate::leading::{agents, end};

/// The group re-forms with a restarted engine that has lost its state, and the leader continues to switch maps.
#[test]
fn engine_returned() {
    let world = World::new(9);
    let agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    for rank in [1, 0, 1] {
        let changes = world.lock().changes;
        world.lock().restart(rank);
        world.wait("a change of map with the engine that started again", |group| {
            group.changes > changes
        });
    }
    assert!(!world.lock().mixed);
    end(agents);
}

/// Reports of one rank must not count for another: a map would become active although one rank was never armed.
#[test]
fn place_of_another() {
    let world = World::new(10);
    world.lock().misplaced = Some(2);
    let agents = agents(&world);
    for round in 1..=3 {
        world.wait("a change of map", |group| group.changes >= round);
        world.lock().shift();
    }
    assert!(!world.lock().mixed, "ranks took different maps");
    end(agents);
}
