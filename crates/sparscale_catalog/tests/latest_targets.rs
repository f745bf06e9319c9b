//! Tests which of several registrations at one address is marked as superseded.

use sparscale_catalog::{Roster, Target};
use sparscale_samples as samples;

/// Ids of the targets that are not superseded.
fn latest_ids(roster: &Roster) -> Vec<&str> {
    let latest = roster.targets.iter().filter(|target| !target.is_superseded);
    latest.map(|target| target.id.as_str()).collect()
}

/// After a power loss on all boxes each target is listed twice until its old registration expires.
#[test]
fn successor_is_latest() {
    let at_port = |id: &str, port: u16| Target {
        address: ([127, 0, 0, 1], port).into(),
        ..samples::target(id, samples::MODEL_SERVICE, 0)
    };
    let listed = vec![
        (at_port("b-old", 2), 11),
        (at_port("a-new", 1), 25),
        (at_port("a-old", 1), 10),
        (at_port("b-new", 2), 24),
        (at_port("c-old", 3), 12),
    ];
    assert_eq!(
        latest_ids(&Roster::with_superseded_marked(listed)),
        ["a-new", "b-new", "c-old"]
    );
}

/// A registration of another service, or a later one of the same service, does not remove the running target from the
/// roster.
#[test]
fn superseded_stays_listed() {
    let same_address = |id: &str, service: &str| Target {
        address: ([127, 0, 0, 1], 1).into(),
        ..samples::target(id, service, 0)
    };
    let listed = vec![
        (same_address("real", samples::MODEL_SERVICE), 10),
        (same_address("other-service", "nowhere"), 30),
        (same_address("same-service", samples::MODEL_SERVICE), 20),
    ];
    let roster = Roster::with_superseded_marked(listed);
    assert_eq!(latest_ids(&roster), ["other-service", "same-service"]);
    assert_eq!(roster.targets.len(), 3);
}
