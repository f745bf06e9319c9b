//! Confirming an unchanged roster, which happens many times a second, does not cost time per target.

use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::{Board, MergeOutcome};
use sparscale_samples as samples;

/// Guards against a directory that is rebuilt each time that its roster is confirmed.
#[test]
fn directory_reused_when_confirmed() {
    let board = Board::default();
    let roster = Arc::new(samples::roster());
    let now = board.now();
    board.merge_roster(Arc::clone(&roster), 1, now, "store");
    let first = board.targets().expect("a directory");
    let later = now + Duration::from_millis(100);
    let outcome = board.merge_roster(roster, 2, later, "peer");
    let second = board.targets().expect("a directory");
    assert_eq!(outcome, MergeOutcome::Confirmed);
    assert_eq!((second.position, second.as_of), (2.into(), later));
    assert!(Arc::ptr_eq(&first.value, &second.value), "the directory was rebuilt");
}
