//! Who goes next of those that wait for room.

use std::time::Duration;

use sparscale_gateway::{Line, Room};
use tokio::time::Instant;

const ROOM: Room = Room { timely: 1.0, late: 1.0 };

/// A line of `(tier, number, time from now until which it can be in time, in milliseconds)`, and the order in which
/// `room` lets its requests in.
fn order(waiting: &[(u8, usize, i64)], room: Room) -> Vec<usize> {
    let now = Instant::now() + Duration::from_secs(10);
    let mut line = Line::default();
    let mut receivers = Vec::new();
    for (tier, number, until_ms) in waiting {
        let offset = Duration::from_millis(until_ms.unsigned_abs());
        let until = if *until_ms < 0 { now - offset } else { now + offset };
        receivers.push((*number, line.join((*tier, *number), until)));
    }
    let mut order = Vec::new();
    while let Some(sender) = line.next(room, now) {
        sender.send(()).expect("it waits");
        receivers.retain_mut(|(number, receiver)| {
            let let_in = receiver.try_recv().is_ok();
            if let_in {
                order.push(*number);
            }
            !let_in
        });
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
