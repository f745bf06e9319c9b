//! A group that rejects every request: which requests probe it, which wait, and which are rejected by the entry.

use std::time::{Duration, Instant};

use sparscale_policy::gate::{Gate, GateDecision};

/// Time for which the requests in these tests can wait.
const MAX_WAIT: Duration = Duration::from_secs(5);

fn closed_gate(now: Instant) -> Gate {
    let mut gate = Gate::default();
    assert_eq!(gate.record_rejection(now), None, "one may have met a full target");
    assert_eq!(gate.record_rejection(now), Some(2));
    gate
}

#[test]
fn one_request_probes() {
    let start = Instant::now();
    let mut gate = closed_gate(start);
    let until = start + MAX_WAIT;
    let GateDecision::Wait(next_probe) = gate.decide(until, start) else {
        panic!("the request waits");
    };
    assert_eq!(gate.decide(until, next_probe), GateDecision::Send);
    assert!(matches!(gate.decide(until, next_probe), GateDecision::Wait(later) if later > next_probe));
}

/// Of a hundred requests in a second of closure, at most ten are sent and rejected.
#[test]
fn probes_limited() {
    let start = Instant::now();
    let mut gate = closed_gate(start);
    let arrivals = (0..100).map(|number| start + Duration::from_millis(10 * number));
    let sent = arrivals.filter(|now| gate.decide(*now + MAX_WAIT, *now) == GateDecision::Send);
    assert!(sent.count() <= 10);
}

#[test]
fn response_opens_gate() {
    let start = Instant::now();
    let mut gate = closed_gate(start);
    let later = start + Duration::from_millis(700);
    assert_eq!(gate.record_response(later), Some(Duration::from_millis(700)));
    assert_eq!(gate.decide(later + MAX_WAIT, later), GateDecision::Send);
    assert_eq!(gate.record_rejection(later), None, "the count starts again");
}

/// Ranks that are missing for longer than a restart takes: requests no longer wait for them.
#[test]
fn long_closure() {
    let start = Instant::now();
    let mut gate = closed_gate(start);
    let later = start + Duration::from_secs(3);
    assert_eq!(
        gate.decide(later + MAX_WAIT, later),
        GateDecision::Send,
        "one request probes"
    );
    assert_eq!(gate.decide(later + MAX_WAIT, later), GateDecision::Closed);
}

#[test]
fn no_time_to_wait() {
    let start = Instant::now();
    let mut gate = closed_gate(start);
    assert_eq!(gate.decide(start, start), GateDecision::Closed);
}

/// A request without a rejection matters only while the gate is closed.
#[test]
fn accepted_request_opens_gate() {
    let start = Instant::now();
    let mut gate = closed_gate(start);
    assert_eq!(gate.record_acceptance(start + MAX_WAIT), Some(MAX_WAIT));
    assert_eq!(gate.record_acceptance(start + MAX_WAIT), None);
}
