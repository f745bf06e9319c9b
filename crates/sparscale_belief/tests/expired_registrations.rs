//! Targets whose registrations expired in an outage of the store are kept until they had time to register again.

use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_catalog::{Membership, Roster, Target, TargetStatus};
use sparscale_samples as samples;
use tokio::time::{Instant, sleep};

const OUTAGE: Duration = Duration::from_secs(6);
/// Time between two reads of a store that answers.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Time after an outage in which live targets register again; those that are still missing then are removed.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);

fn target(id: &str, port: u16) -> Target {
    samples::target(id, samples::MODEL_SERVICE, port)
}

/// A board and the position of the last roster that it got from the store.
struct Store {
    board: Board,
    position: u64,
}

impl Store {
    fn new(targets: Vec<Target>) -> Self {
        let mut store = Self {
            board: Board::default(),
            position: 0,
        };
        store.change(targets);
        store
    }

    /// The store returns a roster at the next position.
    fn change(&mut self, targets: Vec<Target>) {
        self.position += 1;
        self.confirm(targets);
    }

    /// The store returns a roster at the same position: nothing was written meanwhile.
    fn confirm(&mut self, targets: Vec<Target>) {
        let roster = Arc::new(Roster::new(targets));
        self.board
            .merge_roster(roster, self.position, self.board.now(), "store");
    }

    fn target_ids(&self) -> Vec<String> {
        let targets = self.board.targets().expect("a list of targets").value;
        targets
            .instances()
            .iter()
            .map(|instance| instance.target.id.clone())
            .collect()
    }
}

#[tokio::test(start_paused = true)]
async fn expired_registration_kept() {
    let mut store = Store::new(vec![target("m-1", 1), target("m-2", 2)]);
    sleep(OUTAGE).await;
    store.change(vec![target("m-2", 2)]);
    assert_eq!(
        store.target_ids(),
        ["m-1", "m-2"],
        "m-1 has had no time to register again"
    );
    sleep(READ_INTERVAL).await;
    store.change(vec![target("m-2", 2)]);
    assert_eq!(store.target_ids(), ["m-1", "m-2"]);
}

#[tokio::test(start_paused = true)]
async fn missing_target_removed() {
    let mut store = Store::new(vec![target("m-1", 1), target("m-2", 2)]);
    sleep(OUTAGE).await;
    store.change(vec![target("m-2", 2)]);
    let recovered_at = Instant::now();
    while recovered_at.elapsed() < REGISTRATION_TIMEOUT {
        sleep(READ_INTERVAL).await;
        store.confirm(vec![target("m-2", 2)]);
    }
    assert_eq!(
        store.target_ids(),
        ["m-2"],
        "m-1 must be removed although nothing was written meanwhile"
    );
}

#[tokio::test(start_paused = true)]
async fn removed_once_after_two_outages() {
    let mut store = Store::new(vec![target("m-1", 1), target("m-2", 2)]);
    for _outage in 0..2 {
        sleep(OUTAGE).await;
        store.change(vec![target("m-2", 2)]);
    }
    assert_eq!(
        store.target_ids(),
        ["m-2"],
        "a second outage must not add a target that was already missing"
    );
}

#[tokio::test(start_paused = true)]
async fn removed_at_once_without_outage() {
    let mut store = Store::new(vec![target("m-1", 1), target("m-2", 2)]);
    sleep(READ_INTERVAL).await;
    store.change(vec![target("m-2", 2)]);
    assert_eq!(store.target_ids(), ["m-2"], "the store was available all the time");
}

#[tokio::test(start_paused = true)]
async fn leaving_target_not_kept() {
    let mut leaving = target("m-1", 1);
    leaving.status = TargetStatus::Draining;
    let mut store = Store::new(vec![leaving, target("m-2", 2)]);
    sleep(OUTAGE).await;
    store.change(vec![target("m-2", 2)]);
    assert_eq!(store.target_ids(), ["m-2"], "m-1 was known to be leaving");
}

#[tokio::test(start_paused = true)]
async fn removed_after_registering_again() {
    let mut store = Store::new(vec![target("m-1", 1), target("m-2", 2)]);
    sleep(OUTAGE).await;
    store.change(vec![target("m-2", 2)]);
    sleep(READ_INTERVAL).await;
    store.change(vec![target("m-1", 1), target("m-2", 2)]);
    sleep(READ_INTERVAL).await;
    store.change(vec![target("m-2", 2)]);
    assert_eq!(
        store.target_ids(),
        ["m-2"],
        "a target that registered again and then left must not be kept"
    );
}

#[tokio::test(start_paused = true)]
async fn successor_replaces_missing_target() {
    let mut old = target("m-1", 1);
    old.membership = Some(Membership {
        group: "g".to_owned(),
        rank: 3,
        size: 4,
        is_open: true,
    });
    let mut new = target("m-9", 9);
    new.membership.clone_from(&old.membership);
    let mut store = Store::new(vec![old, target("m-2", 2)]);
    sleep(OUTAGE).await;
    store.change(vec![new, target("m-8", 2)]);
    assert_eq!(
        store.target_ids(),
        ["m-8", "m-9"],
        "successors have taken their ranks and addresses"
    );
}

#[tokio::test(start_paused = true)]
async fn peers_receive_uncorrected_roster() {
    let mut store = Store::new(vec![target("m-1", 1), target("m-2", 2)]);
    sleep(OUTAGE).await;
    store.change(vec![target("m-2", 2)]);
    let sent = store.board.store_roster().expect("a roster").value;
    assert_eq!(
        sent.targets.len(),
        1,
        "peers correct the roster by their own observations"
    );
}
