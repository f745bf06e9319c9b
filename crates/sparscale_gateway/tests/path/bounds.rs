//! Limits for the size of requests and for the time that callers may take to send them.

use std::time::{Duration, Instant};

use sparscale_catalog::Limits;
use sparscale_samples as samples;

use crate::entry::{Caller, Fixture, Request, settings};
use crate::target::Target;

fn fixture(target: &Target) -> Fixture {
    let mut document = samples::document(1);
    document.limits = Limits {
        max_header_bytes: 9_000,
        max_body_bytes: 1_000,
        header_timeout: Duration::from_millis(500),
        idle_timeout: Duration::from_millis(800),
    };
    Fixture::with(settings(), document, &[target], &[])
}

fn serving() -> Target {
    Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"))
}

#[test]
fn long_body() {
    let target = serving();
    let fixture = fixture(&target);
    let response = fixture.fetch(&Request::new("POST", "/once/x", "r-1").body(&"b".repeat(1_001)));
    assert_eq!(response.status, 413);
    assert!(target.arrivals().is_empty());
}

#[test]
fn long_head() {
    let target = serving();
    let fixture = fixture(&target);
    let response = fixture.fetch(&Request::new("GET", "/any/x", "r-1").with("X-Long", &"h".repeat(12_000)));
    assert_eq!(response.status, 431);
    assert!(target.arrivals().is_empty());
}

#[test]
fn slow_body() {
    let target = serving();
    let fixture = fixture(&target);
    let mut caller = Caller::open(&fixture);
    caller.send(
        &Request::new("POST", "/once/x", "r-1")
            .with("Content-Length", "10")
            .text(),
    );
    assert_eq!(caller.read_response().status, 408);
    assert!(target.arrivals().is_empty());
}

/// A connection whose request head does not arrive on time is closed. An idle connection stays open for as long as
/// callers may use it.
#[test]
fn slow_head() {
    let target = serving();
    let fixture = fixture(&target);
    let mut slow_caller = Caller::open(&fixture);
    let started_at = Instant::now();
    slow_caller.send("GET /any/x HTTP/1.1\r\nHost: ");
    assert!(slow_caller.is_closed());
    assert!(started_at.elapsed() < Duration::from_secs(5));
    let mut idle_caller = Caller::open(&fixture);
    assert_eq!(idle_caller.fetch(&Request::new("GET", "/any/x", "r-1")).status, 200);
    std::thread::sleep(Duration::from_millis(640));
    assert_eq!(idle_caller.fetch(&Request::new("GET", "/any/x", "r-2")).status, 200);
}

/// Each response which states that a request has not run carries a `Retry-After`. Without it, callers retry after a
/// delay of their own, some immediately.
#[test]
fn rejections_have_retry_after() {
    let target = serving();
    let fixture = fixture(&target);
    let late_response = fixture.fetch(&Request::new("GET", "/any/x", "r-1").with("X-Deadline-Ms", "0"));
    assert_eq!(late_response.status, 503);
    assert!(late_response.header("retry-after").is_some());
    let mut caller = Caller::open(&fixture);
    caller.send(
        &Request::new("POST", "/once/x", "r-2")
            .with("Content-Length", "10")
            .text(),
    );
    let slow_response = caller.read_response();
    assert_eq!(slow_response.status, 408);
    assert!(slow_response.header("retry-after").is_some());
    assert!(target.arrivals().is_empty());
}
