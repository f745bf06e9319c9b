//! A store that is restored from an older snapshot assigns lower offsets again and lists targets that have left.
//!
//! If positions were offsets alone, a roster of the restored store would look older than the known one until the topic
//! had grown past it, and targets that left meanwhile would get requests for seconds.

use std::sync::Arc;
use std::time::Duration;

use quickcheck::quickcheck;
use sparscale_belief::{Board, MergeOutcome};
use sparscale_catalog::{Roster, Target, TargetStatus};
use sparscale_history::Position;
use sparscale_samples as samples;
use tokio::time::sleep;

/// Time after an outage in which live targets register again; those that are still missing then are removed.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);

fn target(id: &str, port: u16) -> Target {
    samples::target(id, samples::MODEL_SERVICE, port)
}

fn leaving(id: &str, port: u16) -> Target {
    Target {
        status: TargetStatus::Draining,
        ..target(id, port)
    }
}

fn merge(board: &Board, targets: Vec<Target>, position: Position) -> MergeOutcome {
    board.merge_roster(Arc::new(Roster::new(targets)), position, board.now(), "store")
}

/// Ids of the targets that accept new requests.
fn ready(board: &Board) -> Vec<String> {
    let targets = board.targets().expect("a list of targets").value;
    let instances = targets.instances().iter();
    let ready = instances.filter(|instance| instance.target.status == TargetStatus::Ready);
    ready.map(|instance| instance.target.id.clone()).collect()
}

#[test]
fn later_era_wins() {
    let board = Board::default();
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(0, 900));
    let restored = vec![leaving("m-1", 1), target("m-2", 2)];
    assert_eq!(merge(&board, restored, Position::new(1, 40)), MergeOutcome::Replaced);
    assert_eq!(ready(&board), ["m-2"], "a leaving target must get no more requests");
}

/// Answers from both eras may arrive in either order.
#[test]
fn earlier_era_ignored() {
    let board = Board::default();
    merge(&board, vec![target("m-1", 1), leaving("m-2", 2)], Position::new(1, 40));
    let earlier = vec![target("m-1", 1), target("m-2", 2)];
    assert_eq!(merge(&board, earlier, Position::new(0, 900)), MergeOutcome::Stale);
    assert_eq!(ready(&board), ["m-1"]);
}

/// The snapshot was taken before the target announced that it is leaving.
#[test]
fn leaving_target_stays_leaving() {
    let board = Board::default();
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(0, 5));
    merge(&board, vec![leaving("m-1", 1), target("m-2", 2)], Position::new(0, 6));
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(1, 5));
    assert_eq!(ready(&board), ["m-2"]);
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(1, 9));
    assert_eq!(
        ready(&board),
        ["m-2"],
        "m-1 must not become ready with the next read either"
    );
}

/// The snapshot was taken before the target's registration was removed.
#[test]
fn removed_target_stays_removed() {
    let board = Board::default();
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(0, 5));
    merge(&board, vec![target("m-2", 2)], Position::new(0, 6));
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(1, 5));
    assert_eq!(ready(&board), ["m-2"]);
}

/// A later start of a target with the same id has not left.
#[test]
fn next_start_is_ready() {
    let start = |born_ms| Target {
        born_ms: Some(born_ms),
        ..target("m-1", 1)
    };
    let board = Board::default();
    merge(&board, vec![start(100), target("m-2", 2)], Position::new(0, 5));
    merge(&board, vec![target("m-2", 2)], Position::new(0, 6));
    merge(&board, vec![start(200), target("m-2", 2)], Position::new(1, 5));
    assert_eq!(ready(&board), ["m-1", "m-2"]);
}

/// A target whose registration expired and was written again within the same era is alive.
#[test]
fn registered_again_is_ready() {
    let board = Board::default();
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(0, 5));
    merge(&board, vec![target("m-2", 2)], Position::new(0, 6));
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(0, 7));
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(1, 5));
    assert_eq!(ready(&board), ["m-1", "m-2"]);
}

/// The snapshot was taken before the target registered; it registers again soon.
#[tokio::test(start_paused = true)]
async fn lost_registration_kept() {
    let board = Board::default();
    merge(&board, vec![target("m-1", 1), target("m-2", 2)], Position::new(0, 6));
    sleep(Duration::from_millis(300)).await;
    merge(&board, vec![target("m-2", 2)], Position::new(1, 5));
    assert_eq!(ready(&board), ["m-1", "m-2"], "m-1 has had no time to register again");
    sleep(REGISTRATION_TIMEOUT).await;
    merge(&board, vec![target("m-2", 2)], Position::new(1, 9));
    assert_eq!(ready(&board), ["m-2"]);
}

quickcheck! {
    /// Whatever the order of answers, the position never decreases and the roster is that of the latest position.
    fn position_never_decreases(answers: Vec<(u8, u8)>) -> bool {
        let board = Board::default();
        let mut latest = Position::default();
        answers.into_iter().all(|(era, offset)| {
            let position = Position::new(u64::from(era % 4), u64::from(offset));
            let port = 1_000 + u16::from(era % 4) * 256 + u16::from(offset);
            merge(&board, vec![target("m-1", port)], position);
            latest = latest.max(position);
            board.store_roster().is_some_and(|observed| observed.position == latest)
        })
    }
}
