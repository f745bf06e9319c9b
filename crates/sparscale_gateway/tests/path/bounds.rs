//! Bounds of what callers may send, and how long they may take.

use std::time::{Duration, Instant};

use sparscale_catalog::Limits;
use sparscale_samples as samples;

use crate::entry::{Caller, Request, World, settings};
use crate::target::Target;

fn world(target: &Target) -> World {
    let mut document = samples::document(1);
    document.limits = Limits {
        header_bytes: 9_000,
        body_bytes: 1_000,
        header_time: Duration::from_millis(500),
        idle_time: Duration::from_millis(800),
    };
    World::with(settings(), document, &[target], &[])
}

fn good() -> Target {
    Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "good"))
}

#[test]
fn long_body() {
    let target = good();
    let world = world(&target);
    let answer = world.ask(&Request::new("POST", "/once/x", "r-1").body(&"b".repeat(1_001)));
    assert_eq!(answer.status, 413);
    assert!(target.arrivals().is_empty());
}

#[test]
fn long_head() {
    let target = good();
    let world = world(&target);
    let answer = world.ask(&Request::new("GET", "/any/x", "r-1").with("X-Long", &"h".repeat(12_000)));
    assert_eq!(answer.status, 431);
    assert!(target.arrivals().is_empty());
}

#[test]
fn slow_body() {
    let target = good();
    let world = world(&target);
    let mut caller = Caller::open(&world);
    caller.send(
        &Request::new("POST", "/once/x", "r-1")
            .with("Content-Length", "10")
            .text(),
    );
    assert_eq!(caller.answer().status, 408);
    assert!(target.arrivals().is_empty());
}

/// A head that does not arrive ends its connection; one that rests between requests stays as long as callers may use
/// it.
#[test]
fn slow_head() {
    let target = good();
    let world = world(&target);
    let mut slow = Caller::open(&world);
    let began = Instant::now();
    slow.send("GET /any/x HTTP/1.1\r\nHost: ");
    assert!(slow.is_closed());
    assert!(began.elapsed() < Duration::from_secs(5));
    let mut resting = Caller::open(&world);
    assert_eq!(resting.ask(&Request::new("GET", "/any/x", "r-1")).status, 200);
    std::thread::sleep(Duration::from_millis(640));
    assert_eq!(resting.ask(&Request::new("GET", "/any/x", "r-2")).status, 200);
}

/// Whoever is told that a request has not run is told when to come back. Callers that are told nothing wait by a guess of
/// their own, some not at all.
#[test]
fn time_to_return() {
    let target = good();
    let world = world(&target);
    let late = world.ask(&Request::new("GET", "/any/x", "r-1").with("X-Deadline-Ms", "0"));
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    let mut caller = Caller::open(&world);
    caller.send(
        &Request::new("POST", "/once/x", "r-2")
            .with("Content-Length", "10")
            .text(),
    );
    let slow = caller.answer();
    assert_eq!(slow.status, 408);
    assert!(slow.header("retry-after").is_some());
    assert!(target.arrivals().is_empty());
}
