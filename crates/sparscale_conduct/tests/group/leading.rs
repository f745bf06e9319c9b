//! One agent leads the group; if it is killed or frozen it is replaced, and map switches continue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::runtime::Runtime;

use crate::engines::{RANKS, World, kill};

pub fn start_agents(world: &World) -> BTreeMap<usize, Runtime> {
    (0..RANKS).map(|rank| (rank, world.start_agent(rank))).collect()
}

pub fn stop_agents(agents: BTreeMap<usize, Runtime>) {
    for runtime in agents.into_values() {
        runtime.shutdown_background();
    }
}

/// Rank whose agent made the latest claim.
pub fn leader_rank(world: &World) -> usize {
    let claim = world.lock().claims.last().cloned().expect("a claim");
    let rank = claim.rsplit('/').next().and_then(|rank| rank.parse().ok());
    rank.expect("a rank")
}

/// Restarts the agent of `rank` and checks that the group follows demand under the current leader.
fn check_group_continues(world: &World, mut agents: BTreeMap<usize, Runtime>, rank: usize) {
    agents.insert(rank, world.start_agent(rank));
    let changes = world.lock().map_changes;
    world.lock().shift_demand();
    world.wait_for("a change of map under the next leader", |group| {
        group.map_changes > changes
    });
    world.wait_for("a group that is not held", |group| !group.is_held());
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}

#[test]
fn follows_demand() {
    let world = World::new(1);
    let agents = start_agents(&world);
    for round in 1..=3 {
        world.wait_for("a change of map", |group| group.map_changes >= round);
        world.lock().shift_demand();
    }
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}

/// An idle leader still sends heartbeats, so no other agent claims the leadership.
#[test]
fn one_leader() {
    let world = World::new(2);
    let agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let settled = world.lock().claims.len();
    // Four times as long as the agents wait for a leader.
    std::thread::sleep(Duration::from_millis(3_500));
    assert_eq!(world.lock().claims.len(), settled);
    stop_agents(agents);
}

#[test]
fn leader_killed() {
    let world = World::new(3);
    let mut agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let rank = leader_rank(&world);
    kill(&mut agents, rank);
    let claims = world.lock().claims.len();
    world.wait_for("another claim", |group| group.claims.len() > claims);
    check_group_continues(&world, agents, rank);
}

/// The list of claims is restored from a snapshot that lacks the claims of former leaders. After the current leader is
/// killed a successor still wins a claim, and the engines obey it.
#[test]
fn claims_restored() {
    let world = World::new(21);
    world.lock().claims = vec!["before".to_owned(); 3];
    let mut agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let rank = leader_rank(&world);
    world.lock().restore_claims(1);
    kill(&mut agents, rank);
    world.wait_for("a claim on the restored list", |group| group.claims.len() > 1);
    check_group_continues(&world, agents, rank);
}

/// The box that has just placed a hold freezes; the group must not stall with it.
#[test]
fn holder_frozen() {
    let world = World::new(4);
    let agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let mut group = world.lock();
    group.freeze_after_hold = true;
    group.shift_demand();
    drop(group);
    world.wait_for("a hold whose holder is frozen", |group| group.frozen.is_some());
    let began = Instant::now();
    world.wait_for("a group that is not held", |group| !group.is_held());
    let held = began.elapsed();
    assert!(held < Duration::from_millis(500), "held for {held:?}");
    // Longer than any agent waits for an unresponsive leader.
    std::thread::sleep(Duration::from_millis(1_500));
    let changes = world.lock().map_changes;
    let claims = world.lock().claims.len();
    world.lock().frozen = None;
    world.wait_for("a change of map afterwards", |group| group.map_changes > changes);
    let message = "the box that resumed claimed the leadership although there was a leader";
    assert_eq!(world.lock().claims.len(), claims, "{message}");
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}

/// A restarted agent has lost the maps that the leader sent it.
#[test]
fn agent_restarted() {
    let world = World::new(7);
    let mut agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let leader_claim = world.lock().claims.last().cloned().expect("a claim");
    let other = (0..RANKS).find(|rank| !leader_claim.ends_with(&format!("/{rank}")));
    let other = other.expect("a rank whose agent does not lead");
    let claims = world.lock().claims.len();
    for _ in 0..2 {
        kill(&mut agents, other);
        agents.insert(other, world.start_agent(other));
        let changes = world.lock().map_changes;
        world.lock().shift_demand();
        world.wait_for("a change of map with the restarted agent", |group| {
            group.map_changes > changes
        });
    }
    assert_eq!(
        world.lock().claims.len(),
        claims,
        "the restarted agent was not reached in time"
    );
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}

/// All agents are restarted. Their first claims only return the end of the list of claims; they do not wait for a
/// leader a second time.
#[test]
fn all_restarted() {
    let world = World::new(8);
    world.lock().claims = vec!["before".to_owned(); 3];
    let agents = start_agents(&world);
    world.wait_for("a claim", |group| group.claims.len() > 3);
    let first_lost = world.lock().lost_claims.first().copied().expect("a lost claim");
    let waited = first_lost.elapsed();
    // An agent that has been led waits for longer than that.
    assert!(waited < Duration::from_millis(500), "waited for {waited:?}");
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    stop_agents(agents);
}

/// One agent is suspended, as is usual among a hundred, while its engine runs: the group still follows demand, and the
/// agent causes no fault when it resumes.
#[test]
fn agent_suspended() {
    let world = World::new(12);
    let agents = start_agents(&world);
    world.wait_for("a change of map", |group| group.map_changes >= 1);
    let leader_claim = world.lock().claims.last().cloned().expect("a claim");
    let other = (0..RANKS)
        .rev()
        .find(|rank| !leader_claim.ends_with(&format!("/{rank}")));
    let claims = world.lock().claims.len();
    let changes = world.lock().map_changes;
    world.lock().suspended = other;
    world.lock().shift_demand();
    world.wait_for("a change of map while one agent is suspended", |group| {
        group.map_changes > changes
    });
    world.lock().suspended = None;
    let changes = world.lock().map_changes;
    world.lock().shift_demand();
    world.wait_for("a change of map after the agent resumed", |group| {
        group.map_changes > changes
    });
    assert_eq!(
        world.lock().claims.len(),
        claims,
        "the agent that resumed claimed the leadership"
    );
    assert!(!world.lock().maps_differ);
    stop_agents(agents);
}
