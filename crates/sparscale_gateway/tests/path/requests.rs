//! A target receives the request as the caller sent it, without the headers that belong to the connection or to the
//! entry.

use sparscale_samples as samples;

use crate::entry::{Caller, Fixture, Request};
use crate::target::Target;

fn serving() -> Target {
    Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "done"))
}

#[test]
fn forwarded_unchanged() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    let request = Request::new("POST", "/once/a%20b/c?x=1&y=%2F&z", "r-1")
        .with("X-Custom", "kept")
        .with("Accept-Encoding", "identity")
        .with("Connection", "keep-alive, X-Private")
        .with("X-Private", "of the connection")
        .body("the body\nwith lines\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    let response = fixture.fetch(&request);
    assert_eq!(
        (response.status, response.body.as_str(), response.is_complete),
        (200, "done", true)
    );
    assert_eq!(response.header("sparscale-digest"), Some("d-4"));
    assert_eq!(response.header("x-request-id"), Some("r-1"));
    let arrivals = target.arrivals();
    assert_eq!(arrivals.len(), 1);
    let arrival = &arrivals[0];
    assert_eq!(arrival.request_line, "POST /once/a%20b/c?x=1&y=%2F&z HTTP/1.1");
    assert_eq!(arrival.body, request.body.as_bytes());
    assert_eq!(arrival.header("x-custom"), Some("kept"));
    assert_eq!(arrival.header("x-private"), None);
    assert_eq!(arrival.header("host"), Some(samples::HOST));
}

#[test]
fn headers_of_the_entry_replaced() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    let request = Request::new("GET", "/any/x", "r-1")
        .with("Sparscale-Workspace", "someone else")
        .with("Sparscale-Target", "another")
        .with("Sparscale-Urgency", "0")
        .with("X-Deadline-Ms", "1500");
    assert_eq!(fixture.fetch(&request).status, 200);
    let arrival = &target.arrivals()[0];
    assert_eq!(arrival.header("authorization"), None, "the key is not forwarded");
    assert_eq!(arrival.header("sparscale-workspace"), Some("teal"));
    assert_eq!(arrival.header("sparscale-target"), Some("c-0"));
    assert_eq!(arrival.header("sparscale-urgency"), Some("1"));
    let deadline: u64 = arrival
        .header("x-deadline-ms")
        .and_then(|value| value.parse().ok())
        .expect("a number");
    assert!(deadline <= 1_500, "longer than the caller's deadline: {deadline}");
}

/// The forwarded deadline never exceeds the timeout of the route, and is set even if the caller sends none.
#[test]
fn deadline_bounded() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    fixture.fetch(&Request::new("GET", "/any/x", "r-1").with("X-Deadline-Ms", "60000"));
    fixture.fetch(&Request::new("GET", "/any/x", "r-2").without("X-Deadline-Ms"));
    for arrival in target.arrivals() {
        let deadline: u64 = arrival
            .header("x-deadline-ms")
            .and_then(|value| value.parse().ok())
            .expect("a number");
        assert!(deadline <= 2_000, "longer than the timeout of the route: {deadline}");
    }
}

#[test]
fn chunked_body() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    let mut caller = Caller::open(&fixture);
    let head = Request::new("POST", "/once/x", "r-1")
        .with("Transfer-Encoding", "chunked")
        .text();
    caller.send(&format!("{head}3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"));
    assert_eq!(caller.read_response().status, 200);
    assert_eq!(target.arrivals()[0].body, b"abcdefg");
}

/// Request smuggling: a second request hidden in the framing of the first one is not forwarded as a request.
#[test]
fn no_request_smuggled() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    let mut caller = Caller::open(&fixture);
    let hidden = "0\r\n\r\nGET /any/hidden HTTP/1.1\r\nHost: sample.example\r\nX-Request-Id: h\r\n\r\n";
    let head = Request::new("POST", "/once/x", "r-1")
        .with("Content-Length", &hidden.len().to_string())
        .with("Transfer-Encoding", "chunked")
        .text();
    caller.send(&format!("{head}{hidden}"));
    caller.read_response();
    caller.read_response();
    let paths: Vec<String> = target
        .arrivals()
        .into_iter()
        .map(|arrival| arrival.request_line)
        .collect();
    assert!(paths.len() <= 1 || !paths[0].contains("hidden"), "{paths:?}");
    assert!(
        target
            .arrivals()
            .iter()
            .all(|arrival| arrival.header("transfer-encoding").is_none())
    );
}

#[test]
fn longest_prefix_chosen() {
    let (plain, model) = (serving(), serving());
    let mut document = samples::document(1);
    let stream = document.routes[2].kind;
    document
        .routes
        .push(samples::route("any/deep", stream, samples::MODEL_SERVICE, 2));
    let fixture = Fixture::with(crate::entry::settings(), document, &[&plain], &[&model]);
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/deeper", "r-1")).status, 200);
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/deep/x", "r-2")).status, 200);
    assert_eq!(plain.arrivals().len(), 1);
    assert_eq!(model.arrivals().len(), 1);
    assert_eq!(fixture.fetch(&Request::new("GET", "/other/x", "r-3")).status, 404);
    assert_eq!(
        fixture
            .fetch(&Request::new("GET", "/any/x", "r-4").with("Host", "other.example"))
            .status,
        404
    );
}
