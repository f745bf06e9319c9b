//! Who goes next of those that wait for room.

use std::time::{Duration, Instant};

use sparscale_policy::line::Line;
use sparscale_policy::room::Room;

/// Time since the line began.
const NOW: Duration = Duration::from_secs(10);
const ROOM: Room = Room { timely: 1.0, late: 1.0 };

/// A line of `(tier, number, time from now until which it can be in time, in milliseconds)`, and the order in which
/// `room` lets its requests in.
fn order(waiting: &[(u8, usize, i64)], room: Room) -> Vec<usize> {
    let began = Instant::now();
    let now = began + NOW;
    let mut line = Line::default();
    for (tier, number, until_ms) in waiting {
        let offset = Duration::from_millis(until_ms.unsigned_abs());
        let until = began
            + if *until_ms < 0 {
                NOW.saturating_sub(offset)
            } else {
                NOW + offset
            };
        line.join((*tier, *number), until, *number);
    }
    let mut order = Vec::new();
    while let Some(number) = line.next(room, now) {
        order.push(number);
    }
    order
}

#[test]
fn tiers_then_arrival() {
    assert_eq!(order(&[(2, 1, 100), (1, 3, 100), (1, 2, 300)], ROOM), [2, 3, 1]);
}

/// Being late already, it loses nothing by waiting on; one that can still be in time would.
#[test]
fn late_behind() {
    assert_eq!(order(&[(0, 1, -50), (1, 2, 100), (1, 3, 100)], ROOM), [2, 3, 1]);
}

/// While passes are too long for anybody to be in time, those that are late go in.
#[test]
fn late_alone() {
    let room = Room { timely: 0.0, late: 1.0 };
    assert_eq!(order(&[(1, 1, 100), (1, 2, -50)], room), [2]);
}

#[test]
fn no_room() {
    let room = Room { timely: 0.9, late: 0.9 };
    assert_eq!(order(&[(1, 1, 100), (1, 2, -50)], room), [0_usize; 0]);
}
