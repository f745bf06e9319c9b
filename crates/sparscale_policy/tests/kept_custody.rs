//! Replays targets that close idle connections, terminate and restart, and tests which connections count as those of the
//! process that received a request.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::custody::{Custody, Generation, Link, Need};
use sparscale_policy::termination::Witness;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A target at one address, and the connections to it.
struct Target {
    custody: Custody,
    now: Timestamp,
    /// The process that listens, counted from 0.
    process: u64,
    /// Open connections, the processes that accepted them, and when.
    open: Vec<(Link, u64, Timestamp)>,
    /// Connections established so far.
    established: usize,
}

impl Target {
    fn new() -> Self {
        Self {
            custody: Custody::default(),
            now: SystemClock::default().now(),
            process: 0,
            open: Vec::new(),
            established: 0,
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Lets the entry look at the connections, of which all that are recorded as open are open.
    fn observe(&mut self) {
        self.custody.observe_open(self.now);
        self.open.retain(|(link, ..)| self.custody.is_needed(*link));
    }

    fn establish(&mut self) {
        let link = self.custody.establish(self.now, self.now);
        self.open.extend(link.map(|link| (link, self.process, self.now)));
        self.open.retain(|(link, ..)| self.custody.is_needed(*link));
        self.established += 1;
    }

    fn close_oldest(&mut self) {
        if !self.open.is_empty() {
            let (link, ..) = self.open.remove(0);
            self.custody.close(link, self.now);
        }
    }

    fn restart(&mut self) {
        while !self.open.is_empty() {
            self.close_oldest();
        }
        self.process += 1;
    }

    /// Closes what has been idle for `timeout`, and establishes what is needed, for `time` in steps of 10 ms.
    fn maintain(&mut self, time: Duration, timeout: Duration) {
        let end = self.now + time;
        while self.now < end {
            if self
                .open
                .first()
                .is_some_and(|(_, _, since)| self.now.since(*since) >= timeout)
            {
                self.close_oldest();
            }
            self.observe();
            if self.custody.need(self.now) == Need::Now {
                self.establish();
            }
            self.wait(ms(10));
        }
    }

    fn witness(&self, held: Option<Generation>) -> Witness {
        self.custody.witness(held, self.now, self.now)
    }
}

/// A response lasts for many idle timeouts of its target.
#[test]
fn idle_closes() {
    for timeout in [200, 400, 2_000, 60_000] {
        let mut target = Target::new();
        target.establish();
        let held = target.custody.current();
        target.maintain(Duration::from_secs(10), ms(timeout));
        assert_eq!(target.witness(held), Witness::Open, "timeout {timeout} ms");
    }
}

/// Few connections are established for it: two in each idle timeout.
#[test]
fn few_connections() {
    let mut target = Target::new();
    target.maintain(Duration::from_secs(20), ms(2_000));
    assert!(
        target.established <= 2 + 20,
        "{} connections in 20 s",
        target.established
    );
}

#[test]
fn restarted_at_once() {
    let mut target = Target::new();
    target.establish();
    let held = target.custody.current();
    target.maintain(ms(500), ms(60_000));
    target.restart();
    assert_eq!(target.witness(held), Witness::Closed);
    target.establish();
    assert_eq!(
        target.witness(held),
        Witness::Closed,
        "the next process accepts connections"
    );
    target.wait(ms(100));
    assert_eq!(target.witness(held), Witness::Lost, "the response ended later");
    assert_eq!(target.witness(None), Witness::Missing);
}

/// A target that closes idle connections too soon for a second one gets a young one before each request.
#[test]
fn short_idle_timeout() {
    let mut target = Target::new();
    target.establish();
    target.wait(ms(100));
    target.close_oldest();
    target.establish();
    assert_ne!(target.custody.need_for_request(target.now), Need::Now);
    target.wait(ms(60));
    assert_eq!(target.custody.need_for_request(target.now), Need::Now);
}

/// A target closes each connection at once, for instance because it has too many.
#[test]
fn refused_connections() {
    let mut target = Target::new();
    target.maintain(Duration::from_secs(10), ms(0));
    assert!(target.established <= 110, "{} connections in 10 s", target.established);
    target.custody.fail(target.now);
    assert_ne!(target.custody.need(target.now), Need::Now);
}

/// The process terminates, and its connections end one after the other. A connection that is established in between
/// belongs to the next process, although an older one is still open.
#[test]
fn established_between_two_ends() {
    for gap in [1, 2, 5, 15] {
        let mut target = Target::new();
        target.establish();
        let held = target.custody.current();
        target.maintain(ms(500), ms(60_000));
        assert_eq!(target.open.len(), 2);
        target.close_oldest();
        target.process += 1;
        target.establish();
        target.wait(ms(gap));
        target.close_oldest();
        assert_ne!(target.witness(held), Witness::Open, "{gap} ms between the two ends");
    }
}

/// One of two connections ends together with the response, the other a little later.
#[test]
fn one_of_two_ended_with_response() {
    let mut target = Target::new();
    target.establish();
    let held = target.custody.current();
    target.maintain(ms(500), ms(60_000));
    assert_eq!(target.open.len(), 2);
    target.close_oldest();
    assert_ne!(
        target.witness(held),
        Witness::Open,
        "the process may be closing its connections"
    );
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u8),
    Establish,
    CloseOldest,
    Restart,
    Observe,
    Send,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let waiting = Self::Wait(u8::arbitrary(g));
        let steps = [
            waiting,
            waiting,
            Self::Establish,
            Self::Establish,
            Self::CloseOldest,
            Self::Restart,
            Self::Observe,
            Self::Send,
        ];
        *g.choose(&steps).unwrap_or(&waiting)
    }
}

/// Whatever a target does, an open witness belongs to the process that received the request.
#[test]
fn never_another_process() {
    fn property(steps: Vec<Step>) -> bool {
        let mut target = Target::new();
        let mut sent: Vec<(Generation, u64)> = Vec::new();
        steps.into_iter().all(|step| {
            match step {
                Step::Wait(time) => target.wait(ms(u64::from(time))),
                Step::Establish => target.establish(),
                Step::CloseOldest => target.close_oldest(),
                Step::Restart => target.restart(),
                Step::Observe => target.observe(),
                Step::Send => sent.extend(target.custody.current().map(|held| (held, target.process))),
            }
            sent.iter().all(|(held, process)| {
                target.witness(Some(*held)) != Witness::Open
                    || *process == target.process
                        && target.open.iter().all(|(_, accepted_by, _)| accepted_by == process)
            })
        })
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// A target closes idle connections, and the entry gets the processor only at the end of each `stall`, when it sees all that
/// happened meanwhile in one moment.
fn witness_beside_stalls(timeout: Duration, stall: Duration) -> Witness {
    let mut target = Target::new();
    target.establish();
    let held = target.custody.current();
    let end = target.now + Duration::from_secs(30);
    while target.now < end {
        let is_due = |since: Timestamp| target.now.since(since) >= timeout;
        let closed = target.open.iter().take_while(|(_, _, since)| is_due(*since)).count();
        for _ in 0..closed {
            target.close_oldest();
        }
        target.observe();
        if target.custody.need(target.now) == Need::Now {
            target.establish();
        }
        target.wait(stall);
    }
    target.wait(ms(50));
    target.witness(held)
}

/// An entry that gets the processor late keeps the proof: no two witnesses are closed within a stall.
#[test]
fn idle_closes_beside_stalls() {
    for timeout in [1_000, 2_000, 5_000, 15_000] {
        for stall in [60, 100, 150, 200, 240] {
            let witness = witness_beside_stalls(ms(timeout), ms(stall));
            assert_eq!(witness, Witness::Open, "timeout {timeout} ms, stalls of {stall} ms");
        }
    }
}

/// What two witnesses of a target with an idle timeout of 100 ms show that are closed in one moment, `ages` after they were
/// established.
fn closed_together(ages: [u64; 2]) -> Witness {
    let mut target = Target::new();
    target.establish();
    target.wait(ms(100));
    target.close_oldest();
    target.wait(ms(500));
    target.establish();
    let held = target.custody.current();
    target.wait(ms(ages[0] - ages[1]));
    target.establish();
    target.wait(ms(10));
    target.observe();
    target.wait(ms(ages[1] - 10));
    target.close_oldest();
    target.close_oldest();
    target.witness(held)
}

/// Witnesses that have been open for longer than the idle timeout were closed for that, and seen late.
#[test]
fn late_idle_closes() {
    assert_eq!(closed_together([140, 120]), Witness::Lost);
    assert_eq!(closed_together([80, 20]), Witness::Closed);
    assert_eq!(closed_together([140, 20]), Witness::Closed);
}
