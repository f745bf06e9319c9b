//! The retry budget holds over all entries together, whatever they know of each other.
//!
//! Guards against this failure: while the engines of a group failed, three entries were killed and restarted within one
//! window of ten seconds. Each new process used its share of the slack as if its predecessor had spent nothing, and for
//! its first second it divided the slack among an assumed two or four entries. The first processes made 186 retries,
//! the eight that followed another 150: 334 arrived, and 254 were allowed. Two lines of one entry, 0.6 s apart:
//!
//! ```text
//! decision=repeat paid=true requests=161 repeats=48 allowed=49.2 entries=3 life_ms=17699
//! decision=repeat paid=true requests=1 repeats=0 allowed=17.8 entries=4 life_ms=71
//! ```

use std::time::Duration;

use sparscale_gateway::{Allowance, Settings};
use sparscale_samples as samples;

use crate::entry::{Fixture, Request, settings};
use crate::target::Target;

/// The window is longer than a test takes, so that all retries of a test fall into one.
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.1,
    slack: 20.0,
    window: Duration::from_mins(10),
};

fn rejecting() -> Target {
    Target::start(|arrival, connection| connection.reject(arrival))
}

fn settings_with_allowance() -> Settings {
    Settings {
        allowance: ALLOWANCE,
        ..settings()
    }
}

fn start_entry(targets: &[Target; 2]) -> Fixture {
    Fixture::with(
        settings_with_allowance(),
        samples::document(1),
        &[&targets[0], &targets[1]],
        &[],
    )
}

/// Sends `count` requests, which all targets reject.
fn send_rejected(fixture: &Fixture, process: u32, count: u32) {
    for number in 0..count {
        fixture.fetch(&Request::new("GET", "/any/x", &format!("r-{process}-{number}")));
    }
}

fn assert_within(targets: &[Target; 2], requests: u32) {
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    let retries = arrivals as f64 - f64::from(requests);
    let allowed = f64::from(requests) * ALLOWANCE.ratio + ALLOWANCE.slack;
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}

/// An entry is restarted many times within one window.
#[test]
fn restarted_entry() {
    let targets = [rejecting(), rejecting()];
    for process in 0..12 {
        let fixture = start_entry(&targets);
        send_rejected(&fixture, process, 10);
    }
    assert_within(&targets, 120);
}

/// Entries that do not know of each other.
#[test]
fn unlinked_entries() {
    let targets = [rejecting(), rejecting()];
    let fixtures: Vec<Fixture> = (0..12).map(|_| start_entry(&targets)).collect();
    for (process, fixture) in (0..).zip(&fixtures) {
        send_rejected(fixture, process, 10);
    }
    assert_within(&targets, 120);
}
