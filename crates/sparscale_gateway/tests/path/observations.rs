//! How the entry handles requests depending on the age of its observed state.

use std::time::Duration;

use sparscale_catalog::Document;
use sparscale_samples as samples;

use crate::entry::{Fixture, Request, catalog, draining, roster, settings, wait_for};
use crate::target::Target;

fn serving() -> Target {
    Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"))
}

#[test]
fn key_revoked() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/x", "r-1")).status, 200);
    let mut document = samples::document(2);
    document.workspaces[0].key_hashes.clear();
    fixture.catalogs.put(catalog(document), 2);
    wait_for("the key to be rejected", || {
        fixture.fetch(&Request::new("GET", "/any/x", "r-2")).status == 401
    });
    assert_eq!(fixture.fetch(&Request::new("GET", "/open/x", "r-3")).status, 200);
}

/// While the store is unavailable, the last catalog is used up to its maximum age. After that, keys may have been
/// revoked, so requests with a key are rejected with a `Retry-After`. Routes without keys are still served.
#[test]
fn stale_keys_rejected() {
    let target = serving();
    let mut settings = settings();
    settings.freshness.max_age_with_key = Duration::from_millis(700);
    settings.freshness.max_age_for_denial = Duration::from_millis(500);
    let fixture = Fixture::with(settings, samples::document(1), &[&target], &[]);
    fixture.catalogs.make_unavailable();
    fixture.rosters.make_unavailable();
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/x", "r-1")).status, 200);
    wait_for("the catalog to be too old", || {
        fixture.fetch(&Request::new("GET", "/any/x", "r-2")).status == 503
    });
    let rejection = fixture.fetch(&Request::new("GET", "/any/x", "r-3"));
    assert!(rejection.header("retry-after").is_some());
    assert_eq!(fixture.fetch(&Request::new("GET", "/open/x", "r-4")).status, 200);
    // A missing route may have been added since.
    assert_eq!(fixture.fetch(&Request::new("GET", "/new/x", "r-5")).status, 503);
    fixture.catalogs.put(catalog(samples::document(1)), 1);
    wait_for("the store to be read again", || {
        fixture.fetch(&Request::new("GET", "/any/x", "r-6")).status == 200
    });
}

/// With an unlimited maximum age for known keys, an outage of the store stops no caller with a known key. An unknown
/// key is not denied, as it may have been added since.
#[test]
fn known_keys_remain_valid() {
    let target = serving();
    let mut settings = settings();
    settings.freshness.max_age_with_key = Duration::MAX;
    settings.freshness.max_age_for_denial = Duration::from_millis(500);
    let fixture = Fixture::with(settings, samples::document(1), &[&target], &[]);
    fixture.catalogs.make_unavailable();
    fixture.rosters.make_unavailable();
    let unknown = Request::new("GET", "/any/x", "r-1").with("Authorization", "Bearer other");
    wait_for("the catalog to be too old to deny a key", || {
        fixture.fetch(&unknown).status == 503
    });
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/x", "r-2")).status, 200);
}

/// An older catalog never replaces a newer one, and reading it does not refresh the age of the newer one.
#[test]
fn older_catalog_ignored() {
    let target = serving();
    let mut settings = settings();
    settings.freshness.max_age_with_key = Duration::from_millis(700);
    let fixture = Fixture::with(settings, samples::document(5), &[&target], &[]);
    let without_routes = Document {
        routes: Vec::new(),
        ..samples::document(4)
    };
    fixture.catalogs.put(catalog(without_routes), 4);
    wait_for("the catalog to be too old", || {
        fixture.fetch(&Request::new("GET", "/any/x", "r-1")).status == 503
    });
    assert_eq!(
        fixture.entry.board.catalog().map(|observation| observation.position),
        Some(5.into())
    );
}

/// An entry without targets rejects requests.
#[test]
fn no_targets() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    let empty = Fixture::new(&[], &[]);
    assert_eq!(
        empty.fetch(&Request::new("GET", "/any/x", "r-1")).status,
        503,
        "no target"
    );
    drop(fixture);
}

#[test]
fn draining_target() {
    let (draining_target, serving_target) = (serving(), serving());
    let fixture = Fixture::new(&[&draining_target, &serving_target], &[]);
    let full_roster = roster(&[&draining_target, &serving_target], &[]);
    let draining_roster = draining(&roster(&[&draining_target], &[]));
    let next_roster =
        sparscale_catalog::Roster::new(vec![draining_roster.targets[0].clone(), full_roster.targets[1].clone()]);
    fixture.rosters.put(next_roster, 2);
    wait_for("the roster", || {
        fixture
            .entry
            .board
            .targets()
            .is_some_and(|observation| observation.position == 2.into())
    });
    let count_before = draining_target.arrivals().len();
    for round in 0..10 {
        assert_eq!(
            fixture
                .fetch(&Request::new("POST", "/once/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    assert_eq!(draining_target.arrivals().len(), count_before);
    assert_eq!(serving_target.arrivals().len(), 10);
}
