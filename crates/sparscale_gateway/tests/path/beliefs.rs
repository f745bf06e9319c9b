//! What the entry does depends on how old its beliefs are.

use std::time::Duration;

use sparscale_catalog::Document;
use sparscale_samples as samples;

use crate::entry::{Request, World, catalog, leaving, roster, settings, wait};
use crate::target::Target;

fn good() -> Target {
    Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "good"))
}

#[test]
fn key_taken_away() {
    let target = good();
    let world = World::new(&[&target], &[]);
    assert_eq!(world.ask(&Request::new("GET", "/any/x", "r-1")).status, 200);
    let mut document = samples::document(2);
    document.workspaces[0].key_hashes.clear();
    world.catalogs.put(catalog(document), 2);
    wait("the key to be refused", || {
        world.ask(&Request::new("GET", "/any/x", "r-2")).status == 401
    });
    assert_eq!(world.ask(&Request::new("GET", "/open/x", "r-3")).status, 200);
}

/// While the store is away the last catalog serves up to its age; then keys may have been taken away, and requests with
/// one are refused as not run, with a time to come back. Open routes go on.
#[test]
fn stale_keys_refused() {
    let target = good();
    let mut settings = settings();
    settings.freshness.max_age_with_key = Duration::from_millis(700);
    settings.freshness.max_age_for_denial = Duration::from_millis(500);
    let world = World::with(settings, samples::document(1), &[&target], &[]);
    world.catalogs.take_away();
    world.rosters.take_away();
    assert_eq!(world.ask(&Request::new("GET", "/any/x", "r-1")).status, 200);
    wait("the catalog to be too old", || {
        world.ask(&Request::new("GET", "/any/x", "r-2")).status == 503
    });
    let refused = world.ask(&Request::new("GET", "/any/x", "r-3"));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(world.ask(&Request::new("GET", "/open/x", "r-4")).status, 200);
    // A route that is not there may have been added since.
    assert_eq!(world.ask(&Request::new("GET", "/new/x", "r-5")).status, 503);
    world.catalogs.put(catalog(samples::document(1)), 1);
    wait("the store to be heard again", || {
        world.ask(&Request::new("GET", "/any/x", "r-6")).status == 200
    });
}

/// Where the last known keys hold until newer ones are learnt, an outage of the store stops nobody; a key that is not
/// known may have been added since.
#[test]
fn known_keys_hold() {
    let target = good();
    let mut settings = settings();
    settings.freshness.max_age_with_key = Duration::MAX;
    settings.freshness.max_age_for_denial = Duration::from_millis(500);
    let world = World::with(settings, samples::document(1), &[&target], &[]);
    world.catalogs.take_away();
    world.rosters.take_away();
    let unknown = Request::new("GET", "/any/x", "r-1").with("Authorization", "Bearer other");
    wait("the catalog to be too old to deny a key", || {
        world.ask(&unknown).status == 503
    });
    assert_eq!(world.ask(&Request::new("GET", "/any/x", "r-2")).status, 200);
}

/// An older catalog never comes back into force, nor does it make the newer one look young.
#[test]
fn never_older() {
    let target = good();
    let mut settings = settings();
    settings.freshness.max_age_with_key = Duration::from_millis(700);
    let world = World::with(settings, samples::document(5), &[&target], &[]);
    let without = Document {
        routes: Vec::new(),
        ..samples::document(4)
    };
    world.catalogs.put(catalog(without), 4);
    wait("the catalog to be too old", || {
        world.ask(&Request::new("GET", "/any/x", "r-1")).status == 503
    });
    assert_eq!(
        world.entry.board.catalog().map(|belief| belief.position),
        Some(5.into())
    );
}

/// An entry that knows no catalog promises nothing about routes and keys.
#[test]
fn no_catalog_yet() {
    let target = good();
    let world = World::new(&[&target], &[]);
    let blank = World::new(&[], &[]);
    assert_eq!(
        blank.ask(&Request::new("GET", "/any/x", "r-1")).status,
        503,
        "no target"
    );
    drop(world);
}

#[test]
fn leaving_target() {
    let (leaves, stays) = (good(), good());
    let world = World::new(&[&leaves, &stays], &[]);
    let both = roster(&[&leaves, &stays], &[]);
    let gone = leaving(&roster(&[&leaves], &[]));
    let next = sparscale_catalog::Roster::new(vec![gone.targets[0].clone(), both.targets[1].clone()]);
    world.rosters.put(next, 2);
    wait("the roster", || {
        world
            .entry
            .board
            .targets()
            .is_some_and(|belief| belief.position == 2.into())
    });
    let before = leaves.arrivals().len();
    for round in 0..10 {
        assert_eq!(
            world
                .ask(&Request::new("POST", "/once/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    assert_eq!(leaves.arrivals().len(), before);
    assert_eq!(stays.arrivals().len(), 10);
}
