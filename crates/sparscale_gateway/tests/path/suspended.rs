//! After its machine was suspended, an entry does not treat its earlier observations as current.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use sparscale_gateway::Allowance;
use sparscale_samples as samples;

use crate::entry::{Fixture, Request, settings};
use crate::target::Target;

/// Longer than all time limits of the tests.
const SUSPENDED_TIME: Duration = Duration::from_secs(30);

fn serving() -> Target {
    Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"))
}

/// A key may have been revoked during the suspension, and the store is unavailable.
#[test]
fn keys_not_trusted() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    fixture.catalogs.make_unavailable();
    assert_eq!(fixture.fetch(&Request::new("GET", "/any/x", "before")).status, 200);
    fixture.clock.suspend_for(SUSPENDED_TIME);
    let response = fixture.fetch(&Request::new("GET", "/any/x", "after"));
    assert_eq!(response.status, 503);
    assert!(response.body.contains("stale_catalog"), "{}", response.body);
    let open = Request::new("GET", "/open/x", "open");
    assert_eq!(fixture.fetch(&open).status, 200, "no key is needed there");
}

/// Retry credit earned before the suspension has expired.
#[test]
fn credit_expired() {
    let targets = [0, 1].map(|_| Target::start(|arrival, connection| connection.reject(arrival)));
    let mut settings = settings();
    settings.allowance = Allowance {
        ratio: 1.0,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    let fixture = Fixture::with(settings, samples::document(1), &[&targets[0], &targets[1]], &[]);
    for number in 0..20 {
        fixture.fetch(&Request::new("POST", "/once/x", &format!("earns-{number}")));
    }
    let arrivals = || targets.iter().map(|target| target.arrivals().len()).sum::<usize>();
    assert_eq!(arrivals(), 20);
    fixture.clock.suspend_for(SUSPENDED_TIME);
    for number in 0..6 {
        fixture.fetch(&Request::new("GET", "/open/x", &format!("spends-{number}")));
    }
    // Each of these earns a half, and one may be left in any case.
    let retries = arrivals() - 26;
    assert!(retries <= 4, "{retries} retries");
}

/// The caller's deadline passed during the suspension, so the request is not sent again.
#[test]
fn deadline_passed_while_suspended() {
    let sleeping_clock: Arc<Mutex<Option<Arc<samples::SuspendableClock>>>> = Arc::default();
    let targets = [0, 1].map(|_| {
        let sleeping_clock = Arc::clone(&sleeping_clock);
        Target::start(move |arrival, connection| {
            if let Some(clock) = sleeping_clock.lock().expect("no panic").as_ref() {
                clock.suspend_for(SUSPENDED_TIME);
            }
            connection.reject(arrival);
        })
    });
    let fixture = Fixture::new(&[&targets[0], &targets[1]], &[]);
    *sleeping_clock.lock().expect("no panic") = Some(Arc::clone(&fixture.clock));
    let response = fixture.fetch(&Request::new("GET", "/any/x", "r-1"));
    assert_eq!(response.status, 503);
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    assert_eq!(arrivals, 1, "sent again after its deadline");
}

/// A target may have closed an idle connection during the suspension.
#[test]
fn idle_connections_not_reused() {
    let target = serving();
    let fixture = Fixture::new(&[&target], &[]);
    for number in 0..3 {
        fixture.fetch(&Request::new("GET", "/any/x", &format!("before-{number}")));
    }
    assert_eq!(target.connection_count(), 1);
    fixture.clock.suspend_for(SUSPENDED_TIME);
    // The key is accepted again once the store has been read.
    crate::entry::wait_for("a response", || {
        fixture.fetch(&Request::new("GET", "/any/x", "after")).status == 200
    });
    assert_eq!(target.connection_count(), 2);
}
