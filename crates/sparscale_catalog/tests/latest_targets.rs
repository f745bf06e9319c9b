//! Which of several entries at one address is there.

use sparscale_catalog::{Roster, Target};
use sparscale_samples as samples;

/// Ids of the targets that nothing later stands in place of.
fn ids(roster: &Roster) -> Vec<&str> {
    let latest = roster.targets.iter().filter(|target| !target.superseded);
    latest.map(|target| target.id.as_str()).collect()
}

/// After all boxes lost power each target is listed twice for a while: as it was, and as it is.
#[test]
fn successor_stays() {
    let place = |id: &str, port: u16| Target {
        address: ([127, 0, 0, 1], port).into(),
        ..samples::target(id, samples::MODEL, 0)
    };
    let listed = vec![
        (place("b-old", 2), 11),
        (place("a-new", 1), 25),
        (place("a-old", 1), 10),
        (place("b-new", 2), 24),
        (place("c-old", 3), 12),
    ];
    assert_eq!(ids(&Roster::of_latest(listed)), ["a-new", "b-new", "c-old"]);
}

/// An entry of another service, or a later one of the same, leaves the target that is there in the list.
#[test]
fn none_left_out() {
    let at = |id: &str, service: &str| Target {
        address: ([127, 0, 0, 1], 1).into(),
        ..samples::target(id, service, 0)
    };
    let listed = vec![
        (at("real", samples::MODEL), 10),
        (at("other-service", "nowhere"), 30),
        (at("same-service", samples::MODEL), 20),
    ];
    let roster = Roster::of_latest(listed);
    assert_eq!(ids(&roster), ["other-service", "same-service"]);
    assert_eq!(roster.targets.len(), 3);
}
