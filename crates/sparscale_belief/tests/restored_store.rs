//! A store that comes back from an older copy: offsets go back and are given out again, and it shows what has left.
//!
//! Positions were offsets alone. A list of a restored store stood at a lower offset than the one that was known, and
//! was taken for an older one until the topic had grown past it: targets that left meanwhile got requests for seconds.

use std::sync::Arc;
use std::time::Duration;

use quickcheck::quickcheck;
use sparscale_belief::{Board, Change};
use sparscale_catalog::{Roster, Standing, Target};
use sparscale_history::Place;
use sparscale_samples as samples;
use tokio::time::sleep;

/// Time after which an entry that lapsed in an outage is back, or gone.
const RETURN: Duration = Duration::from_secs(2);

fn target(id: &str, port: u16) -> Target {
    samples::target(id, samples::MODEL, port)
}

fn leaving(id: &str, port: u16) -> Target {
    Target {
        standing: Standing::Leaving,
        ..target(id, port)
    }
}

fn offer(board: &Board, targets: Vec<Target>, place: Place) -> Change {
    board.offer_roster(Arc::new(Roster::new(targets)), place, board.now(), "store")
}

/// Ids of the targets that take new requests.
fn ready(board: &Board) -> Vec<String> {
    let targets = board.targets().expect("a list of targets").value;
    let seats = targets.seats().iter();
    let ready = seats.filter(|seat| seat.target.standing == Standing::Ready);
    ready.map(|seat| seat.target.id.clone()).collect()
}

#[test]
fn later_era_wins() {
    let board = Board::default();
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(0, 900));
    let restored = vec![leaving("m-1", 1), target("m-2", 2)];
    assert_eq!(offer(&board, restored, Place::new(1, 40)), Change::Replaced);
    assert_eq!(ready(&board), ["m-2"], "a leaving is obeyed at once");
}

/// Answers of both eras may arrive in either order.
#[test]
fn earlier_era_ignored() {
    let board = Board::default();
    offer(&board, vec![target("m-1", 1), leaving("m-2", 2)], Place::new(1, 40));
    let before = vec![target("m-1", 1), target("m-2", 2)];
    assert_eq!(offer(&board, before, Place::new(0, 900)), Change::Older);
    assert_eq!(ready(&board), ["m-1"]);
}

/// The copy was made before the target said that it leaves.
#[test]
fn left_stays_left() {
    let board = Board::default();
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(0, 5));
    offer(&board, vec![leaving("m-1", 1), target("m-2", 2)], Place::new(0, 6));
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(1, 5));
    assert_eq!(ready(&board), ["m-2"]);
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(1, 9));
    assert_eq!(ready(&board), ["m-2"], "not with the next reading either");
}

/// The copy was made before the target's entry went.
#[test]
fn gone_stays_gone() {
    let board = Board::default();
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(0, 5));
    offer(&board, vec![target("m-2", 2)], Place::new(0, 6));
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(1, 5));
    assert_eq!(ready(&board), ["m-2"]);
}

/// The next start of a target under its id is another one.
#[test]
fn next_start_serves() {
    let start = |born_ms| Target {
        born_ms: Some(born_ms),
        ..target("m-1", 1)
    };
    let board = Board::default();
    offer(&board, vec![start(100), target("m-2", 2)], Place::new(0, 5));
    offer(&board, vec![target("m-2", 2)], Place::new(0, 6));
    offer(&board, vec![start(200), target("m-2", 2)], Place::new(1, 5));
    assert_eq!(ready(&board), ["m-1", "m-2"]);
}

/// What has lapsed and was written again in one era lives.
#[test]
fn written_again_serves() {
    let board = Board::default();
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(0, 5));
    offer(&board, vec![target("m-2", 2)], Place::new(0, 6));
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(0, 7));
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(1, 5));
    assert_eq!(ready(&board), ["m-1", "m-2"]);
}

/// The copy was made before the target wrote its entry, which it writes again soon.
#[tokio::test(start_paused = true)]
async fn lost_entry_awaited() {
    let board = Board::default();
    offer(&board, vec![target("m-1", 1), target("m-2", 2)], Place::new(0, 6));
    sleep(Duration::from_millis(300)).await;
    offer(&board, vec![target("m-2", 2)], Place::new(1, 5));
    assert_eq!(ready(&board), ["m-1", "m-2"], "it has had no time to come back");
    sleep(RETURN).await;
    offer(&board, vec![target("m-2", 2)], Place::new(1, 9));
    assert_eq!(ready(&board), ["m-2"]);
}

quickcheck! {
    /// Whoever tells, in whatever order: the position never goes back, and the list is the one of the latest place.
    fn never_back(told: Vec<(u8, u8)>) -> bool {
        let board = Board::default();
        let mut latest = Place::default();
        told.into_iter().all(|(era, offset)| {
            let place = Place::new(u64::from(era % 4), u64::from(offset));
            let port = 1_000 + u16::from(era % 4) * 256 + u16::from(offset);
            offer(&board, vec![target("m-1", port)], place);
            latest = latest.max(place);
            board.told_roster().is_some_and(|belief| belief.position == latest)
        })
    }
}
