//! A peer applies the limits of a target in the order in which the target stated them, however unevenly their messages
//! are delayed.

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sparscale_catalog::StartId;
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_mesh::link_clock;
use sparscale_policy::rate_limit::{Members, Rate};
use sparscale_policy::throttle::{Notice, Origin, Tracker};

/// Id of the entry that received the limits from the target.
const REPORTER: u64 = 7;

/// A limit and its end, stated at `began_at` and `ended_at`. The stamp that the message about each echoes took
/// `stamp_delay` to the reporter, and the message itself took `message_delay`.
#[derive(Debug, Clone, Copy)]
struct Delays {
    stamp_delay: u64,
    message_delay: u64,
}

struct Receiver {
    started_at: Timestamp,
    clock: link_clock::Clock,
    tracker: Tracker,
}

impl Receiver {
    fn new() -> Self {
        let started_at = SystemClock::default().now();
        let mut tracker = Tracker::default();
        tracker.set_members(Members::new(SocketAddr::from(([10, 0, 0, 1], 7_000)), &[]), started_at);
        Self {
            started_at,
            clock: link_clock::Clock::new(started_at),
            tracker,
        }
    }

    fn at(&self, millis: u64) -> Timestamp {
        self.started_at + Duration::from_millis(millis)
    }

    fn target() -> StartId {
        StartId::of("target-1", Some(1))
    }

    /// Receives a notice that its reporter sent as soon as the target had stated it.
    fn receive(&mut self, stated_at: u64, sequence: u64, rate: Option<Rate>, delays: Delays) {
        let stamp = self.clock.stamp(self.at(stated_at - delays.stamp_delay));
        let mut reporter = link_clock::Clock::new(self.started_at);
        reporter.record_received(stamp, self.at(stated_at));
        let echo = reporter.echo(self.at(stated_at)).expect("a received stamp");
        let notice = Notice {
            start: Self::target(),
            rate,
            is_draining: false,
            as_of: self.clock.as_of(echo, 0).expect("a time after the start"),
            origin: Origin {
                reporter: REPORTER,
                sequence,
            },
        };
        self.tracker.merge(notice, self.at(stated_at + delays.message_delay));
    }

    fn rate(&self) -> Option<Rate> {
        self.tracker.rate(Self::target())
    }
}

/// The end of a limit arrives after its beginning, but with the echo of an earlier stamp, so it is dated before it.
#[test]
fn end_dated_earlier() {
    let mut receiver = Receiver::new();
    let rate = Rate::try_from(2.0).ok();
    let (fast, slow) = (
        Delays {
            stamp_delay: 1,
            message_delay: 1,
        },
        Delays {
            stamp_delay: 49,
            message_delay: 1,
        },
    );
    receiver.receive(100, 1, rate, fast);
    assert_eq!(receiver.rate(), rate);
    receiver.receive(110, 2, None, slow);
    assert_eq!(receiver.rate(), None, "the end of the limit was ignored");
}

/// The latest of two notices of a reporter applies, in whichever order they arrive by different paths.
#[test]
fn latest_notice_applies() {
    fn holds(pause: u8, delays: (u8, u8), end_arrives_first: bool) -> bool {
        let mut receiver = Receiver::new();
        let rate = Rate::try_from(2.0).ok();
        let delays_of = |stamp_delay: u8| Delays {
            stamp_delay: u64::from(stamp_delay),
            message_delay: 1,
        };
        let (began_at, ended_at) = (300, 300 + u64::from(pause));
        if end_arrives_first {
            // An earlier notice made the limit known.
            receiver.receive(ended_at, 1, rate, delays_of(delays.0));
            receiver.receive(ended_at, 3, None, delays_of(delays.1));
            receiver.receive(began_at, 2, rate, delays_of(delays.0));
        } else {
            receiver.receive(began_at, 1, rate, delays_of(delays.0));
            receiver.receive(ended_at, 2, None, delays_of(delays.1));
        }
        receiver.rate().is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 37))
        .tests(2_000)
        .quickcheck(holds as fn(u8, (u8, u8), bool) -> bool);
}
