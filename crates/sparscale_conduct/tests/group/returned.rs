//! Engines that start again, and entries that name the wrong box.

use crate::engines::World;
use crate::leading::{agents, end};

/// The group forms anew with an engine that knows nothing; the conductor leads it on.
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

/// What one rank says must not be taken for another's: a change would come in force with a rank that was never armed.
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
