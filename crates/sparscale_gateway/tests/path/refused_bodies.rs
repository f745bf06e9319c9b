//! Requests whose bodies are refused: by the head where it decides, in a way that arrives, and without a trace of the
//! rest of the body.

use std::sync::Arc;
use std::time::Duration;

use sparscale_catalog::Limits;
use sparscale_intake::{Capacity, Intake};
use sparscale_samples as samples;
use sparscale_telemetry::Registry;

use crate::entry::{Caller, Fixture, Request, settings, wait_for};
use crate::target::Target;

/// Largest body, in bytes: more than the sockets between caller and entry hold.
const MAX_BODY_BYTES: usize = 1 << 20;

fn fixture(target: &Target) -> Fixture {
    Fixture::with(settings(), document(), &[target], &[])
}

fn document() -> sparscale_catalog::Document {
    let mut document = samples::document(1);
    document.limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        // A body that stops arriving is not late within the time of a test.
        header_timeout: Duration::from_mins(1),
        ..Limits::default()
    };
    document
}

/// An entry that holds at most two bodies of the largest size for one owner.
fn small_fixture(target: &Target) -> Fixture {
    let registry = Arc::new(Registry::default());
    let capacity = Capacity::of_process(12 * MAX_BODY_BYTES, 4_096);
    let intake = Intake::new(capacity, &registry);
    Fixture::with_intake(settings(), document(), &[target], intake, registry)
}

fn serving() -> Target {
    Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"))
}

/// Bytes that the entry counts for callers.
fn held(fixture: &Fixture) -> f64 {
    let text = fixture.registry.render();
    let value = text.lines().find_map(|line| line.strip_prefix("sparscale_held_bytes "));
    value.and_then(|value| value.parse().ok()).expect("the metric")
}

/// A request without a route is refused before any of its body has arrived.
#[test]
fn decided_by_head() {
    let target = serving();
    let fixture = fixture(&target);
    let mut caller = Caller::open(&fixture);
    caller.send(
        &Request::new("POST", "/nowhere/x", "r-1")
            .with("Content-Length", "1000")
            .text(),
    );
    assert_eq!(caller.read_response().status, 404);
}

#[test]
fn announced_too_long() {
    let target = serving();
    let fixture = fixture(&target);
    let mut caller = Caller::open(&fixture);
    let length = (MAX_BODY_BYTES + 1).to_string();
    caller.send(
        &Request::new("POST", "/once/x", "r-1")
            .with("Content-Length", &length)
            .text(),
    );
    assert_eq!(caller.read_response().status, 413);
}

/// A caller that asks first gets the decision in place of the invitation to send the body.
#[test]
fn decided_before_continue() {
    let target = serving();
    let fixture = fixture(&target);
    for (path, first_line) in [("/nowhere/x", "HTTP/1.1 404"), ("/once/x", "HTTP/1.1 100")] {
        let mut caller = Caller::open(&fixture);
        let request = Request::new("POST", path, "r-1")
            .with("Content-Length", "4")
            .with("Expect", "100-continue");
        caller.send(&request.text());
        let head = caller.head().expect("a head");
        assert!(head.starts_with(first_line), "{head}");
    }
}

/// A caller that reads only once it has sent everything gets the refusal, and may use the connection again.
#[test]
fn refusal_arrives() {
    let target = serving();
    let fixture = fixture(&target);
    let mut caller = Caller::open(&fixture);
    let refused = caller.fetch(&Request::new("POST", "/nowhere/x", "r-1").body(&"b".repeat(MAX_BODY_BYTES)));
    assert_eq!(refused.status, 404);
    assert!(refused.is_complete);
    assert_eq!(
        caller
            .fetch(&Request::new("POST", "/once/x", "r-2").body("short"))
            .status,
        200
    );
}

/// Chunks that exceed the limit are refused as soon as they do.
#[test]
fn chunks_too_long() {
    let target = serving();
    let fixture = fixture(&target);
    let mut caller = Caller::open(&fixture);
    caller.send(
        &Request::new("POST", "/once/x", "r-1")
            .with("Transfer-Encoding", "chunked")
            .text(),
    );
    let chunk = format!("{:x}\r\n{}\r\n", 64 << 10, "b".repeat(64 << 10));
    for _ in 0..=MAX_BODY_BYTES / (64 << 10) {
        caller.send(&chunk);
    }
    assert_eq!(caller.read_response().status, 413);
    assert!(target.arrivals().is_empty());
}

/// What follows in a refused body is not taken for a request.
#[test]
fn rest_is_no_request() {
    let target = serving();
    let fixture = fixture(&target);
    let mut caller = Caller::open(&fixture);
    let hidden = Request::new("GET", "/any/x", "hidden").text();
    let length = (4 * MAX_BODY_BYTES).to_string();
    caller.send(
        &Request::new("POST", "/once/x", "r-1")
            .with("Content-Length", &length)
            .text(),
    );
    assert_eq!(caller.read_response().status, 413);
    for _ in 0..2 * MAX_BODY_BYTES / hidden.len() {
        caller.send(&hidden);
    }
    assert!(caller.is_closed());
    assert!(target.arrivals().is_empty());
}

/// A body that stops arriving gives its room to the next one: its caller learns that it has not run and when to return,
/// and an ordinary request in between needs none of that room.
#[test]
fn stalled_body_gives_room() {
    let target = serving();
    let fixture = small_fixture(&target);
    let half = "b".repeat(MAX_BODY_BYTES / 2);
    let length = MAX_BODY_BYTES.to_string();
    let mut stalled: Vec<_> = (0..2)
        .map(|number| {
            let mut caller = Caller::open(&fixture);
            let id = format!("stalled-{number}");
            caller.send(
                &Request::new("POST", "/once/x", &id)
                    .with("Content-Length", &length)
                    .text(),
            );
            caller.send(&half);
            caller
        })
        .collect();
    wait_for("both bodies hold room", || {
        held(&fixture) >= 2.0 * MAX_BODY_BYTES as f64
    });
    let large = Request::new("POST", "/once/x", "large").body(&"b".repeat(MAX_BODY_BYTES));
    let denied = fixture.fetch(&large);
    assert_eq!((denied.status, denied.header("retry-after")), (503, Some("1.000")));
    assert_eq!(
        fixture
            .fetch(&Request::new("POST", "/once/x", "small").body("short"))
            .status,
        200
    );
    std::thread::sleep(Duration::from_millis(1_100));
    assert_eq!(fixture.fetch(&large).status, 200);
    wait_for("a refusal", || stalled.iter().any(Caller::has_data));
    let refused = stalled
        .iter_mut()
        .find(|caller| caller.has_data())
        .expect("one of them");
    let refused = refused.read_response();
    assert_eq!((refused.status, refused.header("retry-after")), (408, Some("1.000")));
}

/// The room is returned on every way out: served, refused, too slow, and left by the caller at any point.
#[test]
fn room_returned() {
    let target = serving();
    let fixture = fixture(&target);
    let body = "b".repeat(MAX_BODY_BYTES / 2);
    fixture.fetch(&Request::new("POST", "/once/x", "served").body(&body));
    fixture.fetch(&Request::new("POST", "/nowhere/x", "refused").body(&body));
    let length = MAX_BODY_BYTES.to_string();
    let unfinished = Request::new("POST", "/once/x", "left").with("Content-Length", &length);
    let mut callers: Vec<_> = (0..3).map(|_| Caller::open(&fixture)).collect();
    callers[0].send("POST /once");
    callers[1].send(&unfinished.text());
    callers[2].send(&(unfinished.text() + &body));
    wait_for("a body holds room", || held(&fixture) > MAX_BODY_BYTES as f64);
    drop(callers);
    wait_for("nothing is held", || held(&fixture) == 0.0);
}
