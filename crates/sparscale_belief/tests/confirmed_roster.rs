//! A roster that is confirmed, as happens many times a second, costs nothing in its number of targets.

use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::{Board, Change};
use sparscale_samples as samples;

/// The directory is made anew each time that its roster is confirmed.
#[test]
fn rebuilt_when_confirmed() {
    let board = Board::default();
    let roster = Arc::new(samples::roster());
    let now = board.now();
    board.offer_roster(Arc::clone(&roster), 1, now, "store");
    let first = board.targets().expect("a directory");
    let later = now + Duration::from_millis(100);
    let change = board.offer_roster(roster, 2, later, "peer");
    let second = board.targets().expect("a directory");
    assert_eq!(change, Change::Confirmed);
    assert_eq!((second.position, second.as_of), (2.into(), later));
    assert!(Arc::ptr_eq(&first.value, &second.value), "made anew");
}
