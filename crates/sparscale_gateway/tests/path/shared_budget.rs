//! The budget of sends beyond the first holds over all entries together, whatever they know of each other.
//!
//! While the engines of a group failed, three entries were killed and started again within one window of ten seconds. Each
//! new process had its share of the slack as if its predecessor had spent nothing, and for its first second it divided
//! the slack among the two or four entries that it guessed. The first processes made 186 sends beyond the first, the eight
//! that followed them another 150: 334 arrived, and 254 were allowed. Two lines of one entry, 0.6 s apart, settled it:
//!
//! ```text
//! decision=repeat paid=true requests=161 repeats=48 allowed=49.2 entries=3 life_ms=17699
//! decision=repeat paid=true requests=1 repeats=0 allowed=17.8 entries=4 life_ms=71
//! ```

use std::time::Duration;

use sparscale_gateway::{Allowance, Settings};
use sparscale_samples as samples;

use crate::entry::{Request, World, settings};
use crate::target::Target;

/// The window is longer than a test takes, so that all sends of a test lie in one.
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.1,
    slack: 20.0,
    window: Duration::from_mins(10),
};

fn refusing() -> Target {
    Target::start(|arrival, wire| wire.refuse(arrival))
}

fn frugal() -> Settings {
    Settings {
        allowance: ALLOWANCE,
        ..settings()
    }
}

fn start(targets: &[Target; 2]) -> World {
    World::with(frugal(), samples::document(1), &[&targets[0], &targets[1]], &[])
}

/// Sends `count` requests, each of which every target refuses.
fn ask(world: &World, life: u32, count: u32) {
    for number in 0..count {
        world.ask(&Request::new("GET", "/any/x", &format!("r-{life}-{number}")));
    }
}

fn assert_within(targets: &[Target; 2], requests: u32) {
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    let repeats = arrivals as f64 - f64::from(requests);
    let allowed = f64::from(requests) * ALLOWANCE.ratio + ALLOWANCE.slack;
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
}

/// An entry is killed and started again, over and over within one window.
#[test]
fn lives_in_series() {
    let targets = [refusing(), refusing()];
    for life in 0..12 {
        let world = start(&targets);
        ask(&world, life, 10);
    }
    assert_within(&targets, 120);
}

/// Entries that have not heard of each other.
#[test]
fn strangers() {
    let targets = [refusing(), refusing()];
    let worlds: Vec<World> = (0..12).map(|_| start(&targets)).collect();
    for (life, world) in (0..).zip(&worlds) {
        ask(world, life, 10);
    }
    assert_within(&targets, 120);
}
