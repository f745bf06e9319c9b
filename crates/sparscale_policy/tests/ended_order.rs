//! Replays the order in which the connections to a target end when it terminates, and tests when that shows that it ended a
//! response before.

use std::time::Duration;

use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::custody::{Custody, Generation, Link};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A target that sends a response, and the connections to it.
struct Target {
    custody: Custody,
    now: Timestamp,
    held: Option<Generation>,
    /// A connection without requests from before.
    witness: Link,
    response: Link,
    /// Those that were requested right before and after that of the response.
    escorts: [Link; 2],
}

impl Target {
    fn new() -> Self {
        let mut custody = Custody::default();
        let now = SystemClock::default().now();
        let witness = custody.establish(now, now).expect("a connection");
        let response = custody.carry(now);
        let escorts = [0, 1].map(|_| custody.escort(response, now, now).expect("a connection"));
        let now = now + ms(500);
        custody.observe_open(now);
        Self {
            held: custody.current(),
            custody,
            now,
            witness,
            response,
            escorts,
        }
    }

    fn close(&mut self, link: Link) {
        self.custody.close(link, self.now);
    }

    fn close_all(&mut self, links: &[Link]) {
        for link in links {
            self.close(*link);
        }
    }

    fn is_whole(&self) -> bool {
        self.custody.is_ended_before_process(self.held, self.response)
    }
}

/// The target ends the response, and terminates. However late the entry looks, it sees the ends in this order.
#[test]
fn response_first() {
    for reversed in [false, true] {
        let mut target = Target::new();
        let [before, after] = target.escorts;
        target.close(target.response);
        let mut others = [target.witness, before, after];
        if reversed {
            others.reverse();
        }
        target.close_all(&others);
        assert!(target.is_whole());
    }
}

/// The target terminates in the middle of the response; its kernel closes all connections from the highest descriptor to the
/// lowest, or the other way round.
#[test]
fn terminated_in_between() {
    let mut target = Target::new();
    let [before, after] = target.escorts;
    let (witness, response) = (target.witness, target.response);
    target.close_all(&[after, response, before, witness]);
    assert!(!target.is_whole(), "from the highest to the lowest");
    let mut target = Target::new();
    target.close_all(&[witness, before, response, after]);
    assert!(!target.is_whole(), "from the lowest to the highest");
}

/// Without both escorts the order depends on which descriptors were free.
#[test]
fn escort_missing() {
    for missing in 0..2 {
        let mut target = Target::new();
        let (missing, kept) = (target.escorts[missing], target.escorts[1 - missing]);
        target.close(missing);
        target.now = target.now + ms(200);
        target.close_all(&[target.response, kept, target.witness]);
        assert!(!target.is_whole());
    }
}

/// A connection without requests was closed right before the response: the process may have been closing all of them.
#[test]
fn other_closed_before() {
    for (time, is_whole) in [(1, false), (20, false), (200, true)] {
        let mut target = Target::new();
        let [before, after] = target.escorts;
        target.close(target.witness);
        target.now = target.now + ms(time);
        target.close_all(&[target.response, after, before]);
        assert_eq!(target.is_whole(), is_whole, "{time} ms");
    }
}

/// A process that terminates after its last response has no other request.
#[test]
fn other_request() {
    let mut target = Target::new();
    let [before, after] = target.escorts;
    let (witness, response) = (target.witness, target.response);
    let other = target.custody.carry(target.now);
    target.close_all(&[response, after, before, witness]);
    assert!(!target.is_whole(), "the other one is in flight");
    target.close(other);
    assert!(!target.is_whole(), "the other one ended later");

    let mut target = Target::new();
    let other = target.custody.carry(target.now);
    target.close_all(&[other, response, after, before, witness]);
    assert!(!target.is_whole(), "the other one ended at the same time");

    let mut target = Target::new();
    let other = target.custody.carry(target.now);
    target.close(other);
    target.custody.release(other);
    target.now = target.now + ms(100);
    target.close_all(&[response, after, before, witness]);
    assert!(target.is_whole(), "the other one ended long before");
}

/// While a connection of the process is open, the process runs, and the order of the others shows nothing.
#[test]
fn process_runs() {
    let mut target = Target::new();
    let [before, after] = target.escorts;
    target.close_all(&[target.response, after, before]);
    assert!(!target.is_whole());
    assert!(target.custody.is_held(target.held));
}
