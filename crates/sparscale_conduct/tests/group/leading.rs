//! One agent leads the group; if it is killed or frozen it is replaced, and map switches continue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::runtime::Runtime;

use crate::engines::{RANKS, World, kill};

pub fn agents(world: &World) -> BTreeMap<usize, Runtime> {
    (0..RANKS).map(|rank| (rank, world.agent(rank))).collect()
}

pub fn end(agents: BTreeMap<usize, Runtime>) {
    for runtime in agents.into_values() {
        runtime.shutdown_background();
    }
}

/// Rank whose agent made the latest claim.
pub fn leader(world: &World) -> usize {
    let claim = world.lock().claims.last().cloned().expect("a claim");
    let rank = claim.rsplit('/').next().and_then(|rank| rank.parse().ok());
    rank.expect("a rank")
}

/// Restarts the agent of `rank` and checks that the group follows demand under the current leader.
fn goes_on(world: &World, mut agents: BTreeMap<usize, Runtime>, rank: usize) {
    agents.insert(rank, world.agent(rank));
    let changes = world.lock().changes;
    world.lock().shift();
    world.wait("a change of map under the next conductor", |group| {
        group.changes > changes
    });
    world.wait("a group that runs", |group| !group.is_held());
    assert!(!world.lock().mixed);
    end(agents);
}

#[test]
fn follows_demand() {
    let world = World::new(1);
    let agents = agents(&world);
    for round in 1..=3 {
        world.wait("a change of map", |group| group.changes >= round);
        world.lock().shift();
    }
    assert!(!world.lock().mixed);
    end(agents);
}

/// An idle leader still sends heartbeats, so no other agent claims the leadership.
#[test]
fn one_leader() {
    let world = World::new(2);
    let agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let settled = world.lock().claims.len();
    // Four times the leader timeout.
    std::thread::sleep(Duration::from_millis(3_500));
    assert_eq!(world.lock().claims.len(), settled);
    end(agents);
}

#[test]
fn leader_killed() {
    let world = World::new(3);
    let mut agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let rank = leader(&world);
    kill(&mut agents, rank);
    let claims = world.lock().claims.len();
    world.wait("another claim", |group| group.claims.len() > claims);
    goes_on(&world, agents, rank);
}

/// The list of claims is restored from a snapshot that lacks the claims of former leaders. After the current leader is
/// killed a successor still wins a claim, and the engines obey it.
#[test]
fn claims_forgotten() {
    let world = World::new(21);
    world.lock().claims = vec!["before".to_owned(); 3];
    let mut agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let rank = leader(&world);
    world.lock().restore_claims(1);
    kill(&mut agents, rank);
    world.wait("a claim on the restored list", |group| group.claims.len() > 1);
    goes_on(&world, agents, rank);
}

/// The box that has just placed a hold freezes; the group must not stall with it.
#[test]
fn holder_frozen() {
    let world = World::new(4);
    let agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let mut group = world.lock();
    group.freeze_after_hold = true;
    group.shift();
    drop(group);
    world.wait("a hold whose giver stands still", |group| group.frozen.is_some());
    let began = Instant::now();
    world.wait("a group that runs", |group| !group.is_held());
    let held = began.elapsed();
    assert!(held < Duration::from_millis(500), "held for {held:?}");
    // Longer than any agent waits for an unresponsive leader.
    std::thread::sleep(Duration::from_millis(1_500));
    let changes = world.lock().changes;
    let claims = world.lock().claims.len();
    world.lock().frozen = None;
    world.wait("a change of map afterwards", |group| group.changes > changes);
    let woken = "the box that woke took the duty from a conductor that was there";
    assert_eq!(world.lock().claims.len(), claims, "{woken}");
    assert!(!world.lock().mixed);
    end(agents);
}

/// A restarted agent has lost the maps that the leader sent it.
#[test]
fn agent_restarted() {
    let world = World::new(7);
    let mut agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let leader = world.lock().claims.last().cloned().expect("a claim");
    let other = (0..RANKS).find(|rank| !leader.ends_with(&format!("/{rank}")));
    let other = other.expect("a rank whose agent does not lead");
    let claims = world.lock().claims.len();
    for _ in 0..2 {
        kill(&mut agents, other);
        agents.insert(other, world.agent(other));
        let changes = world.lock().changes;
        world.lock().shift();
        world.wait("a change of map with the new agent", |group| group.changes > changes);
    }
    assert_eq!(world.lock().claims.len(), claims, "the new agent was not found in time");
    assert!(!world.lock().mixed);
    end(agents);
}

/// All agents are restarted. Their first claims only return the end of the list of claims; they do not wait for a
/// leader a second time.
#[test]
fn all_restarted() {
    let world = World::new(8);
    world.lock().claims = vec!["before".to_owned(); 3];
    let agents = agents(&world);
    world.wait("a claim", |group| group.claims.len() > 3);
    let first = world.lock().lost_claims.first().copied().expect("a lost claim");
    let waited = first.elapsed();
    // An agent that has been led waits for longer than that.
    assert!(waited < Duration::from_millis(500), "waited for {waited:?}");
    world.wait("a change of map", |group| group.changes >= 1);
    end(agents);
}

/// One agent is suspended, as is usual among a hundred, while its engine runs: the group still follows demand, and the
/// agent causes no fault when it resumes.
#[test]
fn agent_asleep() {
    let world = World::new(12);
    let agents = agents(&world);
    world.wait("a change of map", |group| group.changes >= 1);
    let leader = world.lock().claims.last().cloned().expect("a claim");
    let other = (0..RANKS).rev().find(|rank| !leader.ends_with(&format!("/{rank}")));
    let claims = world.lock().claims.len();
    let changes = world.lock().changes;
    world.lock().asleep = other;
    world.lock().shift();
    world.wait("a change of map beside the one that stands still", |group| {
        group.changes > changes
    });
    world.lock().asleep = None;
    let changes = world.lock().changes;
    world.lock().shift();
    world.wait("a change of map with the one that woke", |group| {
        group.changes > changes
    });
    assert_eq!(world.lock().claims.len(), claims, "the one that woke took the duty");
    assert!(!world.lock().mixed);
    end(agents);
}
