//! A planned stop interrupts no request.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Caller, Fixture, Request, wait_for};
use crate::target::Target;

fn is_ready(fixture: &Fixture) -> bool {
    let mut caller = Caller::connect(fixture.entry.ready_address);
    caller.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.read_response().status == 200
}

#[test]
fn finishes_requests_in_flight() {
    let may_continue = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let target = {
        let may_continue = Arc::clone(&may_continue);
        Target::start(move |arrival, connection| {
            connection.stream_head(arrival, "d");
            connection.event(1);
            wait_for("the entry to stop", || {
                may_continue.load(std::sync::atomic::Ordering::SeqCst)
            });
            std::thread::sleep(Duration::from_millis(500));
            connection.event(2);
            connection.end_chunks();
        })
    };
    let plain = Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"));
    let fixture = Fixture::new(&[&plain], &[&target]);
    assert!(is_ready(&fixture));
    let mut streaming_caller = Caller::open(&fixture);
    streaming_caller.send(&Request::new("POST", "/stream/x", "r-1").text());
    assert!(streaming_caller.head().is_some_and(|line| line.contains("200")));
    let mut idle_caller = Caller::open(&fixture);
    assert_eq!(idle_caller.fetch(&Request::new("GET", "/any/x", "r-2")).status, 200);
    let stopping = {
        let entry = Arc::clone(&fixture.entry);
        fixture.runtime.spawn(async move { entry.stop().await })
    };
    wait_for("the readiness check to fail", || !is_ready(&fixture));
    may_continue.store(true, std::sync::atomic::Ordering::SeqCst);
    // The load balancer may not have noticed yet: requests are still served, and the response closes the connection.
    let late_response = idle_caller.fetch(&Request::new("GET", "/any/x", "r-3"));
    assert_eq!(
        (late_response.status, late_response.header("connection")),
        (200, Some("close"))
    );
    let first = streaming_caller.chunk().expect("the first event");
    let second = streaming_caller.chunk().expect("the second event");
    assert!(first.contains("id: 1") && second.contains("id: 2"));
    assert_eq!(streaming_caller.chunk(), None);
    fixture.runtime.block_on(stopping).expect("no panic");
}

/// A stream that arrives shortly before the connections are closed could not end before the process exits: it is
/// rejected as not run. Short requests are still served.
#[test]
fn late_stream_rejected() {
    let target = Target::start(|arrival, connection| {
        connection.stream_head(arrival, "d");
        connection.event(1);
        connection.end_chunks();
    });
    let plain = Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"));
    let mut settings = crate::entry::settings();
    settings.drain_stream_time = Duration::from_millis(100);
    settings.drain_notice_time = Duration::from_millis(1_500);
    let document = sparscale_samples::document(1);
    let fixture = Fixture::with(settings, document, &[&plain], &[&target]);
    let mut callers = [Caller::open(&fixture), Caller::open(&fixture), Caller::open(&fixture)];
    assert_eq!(callers[0].fetch(&Request::new("POST", "/stream/x", "r-1")).status, 200);
    let stopping = {
        let entry = Arc::clone(&fixture.entry);
        fixture.runtime.spawn(async move { entry.stop().await })
    };
    std::thread::sleep(Duration::from_millis(300));
    let late_stream = callers[1].fetch(&Request::new("POST", "/stream/x", "r-2"));
    assert_eq!(late_stream.status, 503);
    assert!(late_stream.header("retry-after").is_some());
    assert_eq!(callers[2].fetch(&Request::new("GET", "/any/x", "r-3")).status, 200);
    assert_eq!(target.arrivals().len(), 1);
    fixture.runtime.block_on(stopping).expect("no panic");
}
