//! How often a request is sent, to which targets, and on which connections.

use std::time::Duration;

use sparscale_gateway::Allowance;
use sparscale_samples as samples;

use crate::entry::{Fixture, Request, settings};
use crate::target::Target;

fn serving() -> Target {
    Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"))
}

fn rejecting() -> Target {
    Target::start(|arrival, connection| connection.reject(arrival))
}

/// A request that may be sent to two targets goes to the second if the first rejects it.
#[test]
fn retried_after_rejection() {
    let (rejecting_target, serving_target) = (rejecting(), serving());
    let fixture = Fixture::new(&[&rejecting_target, &serving_target], &[]);
    for round in 0..10 {
        let response = fixture.fetch(&Request::new("GET", "/any/x", &format!("r-{round}")));
        assert_eq!(response.status, 200);
    }
    assert_eq!(serving_target.arrivals().len(), 10);
}

/// A request that may be sent to only one target is rejected with a `Retry-After` if that target rejects it.
#[test]
fn run_once_rejected() {
    let rejecting_target = rejecting();
    let fixture = Fixture::new(&[&rejecting_target], &[]);
    let response = fixture.fetch(&Request::new("POST", "/once/x", "r-1"));
    assert_eq!(response.status, 503);
    let retry_after: f64 = response
        .header("retry-after")
        .and_then(|value| value.parse().ok())
        .expect("a time");
    assert!(retry_after > 0.0 && retry_after < 2.0);
    assert_eq!(rejecting_target.arrivals().len(), 1);
}

/// If a target cannot be reached, nothing was sent, so even a request that may run only once goes to another target.
#[test]
fn unreachable_target() {
    let serving_target = serving();
    let free_address = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let unreachable = serving().with_address(free_address.expect("a port"));
    let fixture = Fixture::new(&[&unreachable, &serving_target], &[]);
    for round in 0..6 {
        let response = fixture.fetch(&Request::new("POST", "/once/x", &format!("r-{round}")));
        assert_eq!(response.status, 200);
    }
    assert_eq!(serving_target.arrivals().len(), 6);
}

/// No request is sent to more targets than its route allows, whatever they respond.
#[test]
fn attempts_bounded() {
    let targets: Vec<Target> = (0..4)
        .map(|_| Target::start(|arrival, connection| connection.respond(arrival, "500 Internal Server Error", "no")))
        .collect();
    let target_refs: Vec<&Target> = targets.iter().collect();
    let fixture = Fixture::new(&target_refs, &[]);
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/x", "r-1")).status, 500);
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    assert_eq!(arrivals, 2);
}

/// Retries stop when the budget is used up.
#[test]
fn budget_bounded() {
    let targets = [rejecting(), rejecting()];
    let allowance = Allowance {
        ratio: 0.1,
        slack: 20.0,
        window: Duration::from_mins(1),
    };
    let mut settings = settings();
    settings.allowance = allowance;
    let fixture = Fixture::with(settings, samples::document(1), &[&targets[0], &targets[1]], &[]);
    for round in 0..60 {
        fixture.fetch(&Request::new("GET", "/any/x", &format!("r-{round}")));
    }
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    let retries = arrivals - 60;
    // The slack is shared with entries that this one does not know.
    assert!(retries >= 2 && retries as f64 <= 60.0 * 0.1 + 20.0, "{retries} retries");
}

/// The requests of a split route are distributed by weight.
#[test]
fn split_by_weight() {
    let (plain, model) = (serving(), serving());
    let mut document = samples::document(1);
    document.routes[0].shares = vec![
        sparscale_catalog::Share {
            service: samples::PLAIN_SERVICE.to_owned(),
            weight: 3,
        },
        sparscale_catalog::Share {
            service: samples::MODEL_SERVICE.to_owned(),
            weight: 1,
        },
    ];
    let fixture = Fixture::with(settings(), document, &[&plain], &[&model]);
    for round in 0..40 {
        assert_eq!(
            fixture
                .fetch(&Request::new("GET", "/any/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    assert_eq!((plain.arrivals().len(), model.arrivals().len()), (30, 10));
}

/// If a target hangs, the caller receives a response at the deadline.
#[test]
fn response_at_deadline() {
    let hanging_target = Target::start(|_, connection| {
        connection.wait_closed(Duration::from_secs(10));
    });
    let fixture = Fixture::new(&[&hanging_target], &[]);
    let response = fixture.fetch(&Request::new("POST", "/once/x", "r-1"));
    assert_eq!(response.status, 504);
    assert!(
        response.elapsed < Duration::from_millis(2_400),
        "the route's time is 2 s: {:?}",
        response.elapsed
    );
}

/// Connections are reused for retryable requests. A request that may run only once gets a new one: a kept connection
/// may be dead, and then it would be unknown whether the request had run.
#[test]
fn kept_connections() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    for round in 0..10 {
        assert_eq!(
            fixture
                .fetch(&Request::new("GET", "/any/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    assert_eq!(target.connection_count(), 1);
    for round in 0..3 {
        assert_eq!(
            fixture
                .fetch(&Request::new("POST", "/once/x", &format!("o-{round}")))
                .status,
            200
        );
    }
    assert_eq!(target.connection_count(), 4);
}

/// The target closes kept connections while requests arrive: a request that it did not read is retried on a new
/// connection.
#[test]
fn closed_during_request() {
    let target = Target::start(|arrival, connection| {
        connection.respond(arrival, "200 OK", "good");
        std::thread::sleep(Duration::from_millis(30));
        connection.close();
    });
    let fixture = Fixture::new(&[&target], &[]);
    for round in 0..4 {
        assert_eq!(
            fixture
                .fetch(&Request::new("GET", "/any/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    assert_eq!(target.arrivals().len(), 4);
}

/// A request does not fail on a kept connection that the target has closed.
#[test]
fn closed_while_kept() {
    let target = Target::start(|arrival, connection| {
        connection.respond(arrival, "200 OK", "good");
        connection.close();
    });
    let fixture = Fixture::new(&[&target], &[]);
    for round in 0..10 {
        assert_eq!(
            fixture
                .fetch(&Request::new("GET", "/any/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    assert_eq!(target.arrivals().len(), 10);
}
