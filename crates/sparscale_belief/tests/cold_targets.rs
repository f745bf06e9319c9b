//! Which targets a process limits as cold, whatever it reads first after its start: the roster or the catalog.

use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_catalog::{Catalog, Roster, Target, cold};
use sparscale_history::Position;
use sparscale_policy::throttle::Availability;
use sparscale_samples as samples;

const COLD_START: cold::Start = cold::Start {
    duration: Duration::from_secs(3),
    requests_per_second: 26.0,
};

/// A catalog in which the targets of the model service are cold after a start if `has_cold_targets`.
fn catalog(version: u64, has_cold_targets: bool) -> Arc<Catalog> {
    let mut document = samples::document(version);
    for service in &mut document.services {
        service.cold_start = has_cold_targets.then_some(COLD_START);
    }
    Arc::new(Catalog::try_from(document).expect("a valid configuration"))
}

fn merge_roster(board: &Board, offset: u64) {
    let targets = ["cold", "warm"].map(|id| Target {
        is_cold: id == "cold",
        ..samples::target(id, samples::MODEL_SERVICE, 9_000)
    });
    let roster = Arc::new(Roster::new(targets.to_vec()));
    board.merge_roster(roster, Position::new(1, offset), board.now(), "store");
}

/// Whether this process may send to the target `id` now.
fn is_open(board: &Board, id: &str) -> bool {
    let targets = board.targets().expect("a roster");
    let mut instances = targets.value.instances().iter();
    let instance = instances.find(|instance| instance.target.id == id).expect("a target");
    board.throttle.opening(instance) == Availability::Now
}

/// A roster that arrives before the catalog must not leave its cold targets without a limit until the next roster.
#[test]
fn catalog_after_roster() {
    let board = Board::default();
    merge_roster(&board, 1);
    board.merge_catalog(catalog(1, true), board.now(), "store");
    assert!(!is_open(&board, "cold"), "no share of its rate is known yet");
    assert!(is_open(&board, "warm"));
}

/// A catalog that states for the first time how targets start applies to the known roster at once.
#[test]
fn changed_catalog() {
    let board = Board::default();
    merge_roster(&board, 1);
    board.merge_catalog(catalog(1, false), board.now(), "store");
    assert!(is_open(&board, "cold"));
    board.merge_catalog(catalog(2, true), board.now(), "store");
    assert!(!is_open(&board, "cold"), "the new catalog states that it is cold");
    assert!(
        is_open(&board, "warm"),
        "a target that was known before is not a new start"
    );
}

/// A stale catalog changes no limits.
#[test]
fn stale_catalog() {
    let board = Board::default();
    board.merge_catalog(catalog(2, false), board.now(), "store");
    merge_roster(&board, 1);
    board.merge_catalog(catalog(1, true), board.now(), "peer");
    assert!(is_open(&board, "cold"));
}
