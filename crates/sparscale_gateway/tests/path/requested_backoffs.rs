//! Targets that request a backoff from an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sparscale_samples as samples;

use crate::entry::{Fixture, Request, Response, send_requests};
use crate::groups::serve_from;
use crate::target::{Arrival, Connection, Target};

/// Backoff that targets request.
const BACKOFF: Duration = Duration::from_secs(2);
/// Time in which requests in flight may still arrive, and the maximum number of requests after that.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
const MAX_LATE_REQUESTS: usize = 2;
/// Maximum time of an immediate rejection, on a busy machine.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(500);

fn serve(arrival: &Arrival, connection: &mut Connection) {
    connection.respond(arrival, "200 OK", "good");
}

fn reject_with_retry_after(arrival: &Arrival, connection: &mut Connection, retry_after: &str) {
    connection.send(&format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-request-id: {}\r\nsparscale-not-run: 1\r\nretry-after: {retry_after}\r\n\
         content-length: 0\r\n\r\n",
        arrival.id()
    ));
}

fn backing_off() -> Target {
    Target::start(|arrival, connection| reject_with_retry_after(arrival, connection, &BACKOFF.as_secs().to_string()))
}

/// Number of requests that reached a target during the backoff that it requested first.
fn sent_during_backoff(target: &Target) -> usize {
    let arrival_times = target.arrival_times();
    let Some(first) = arrival_times.first() else { return 0 };
    let backoff = *first + IN_FLIGHT_TIME..*first + BACKOFF;
    arrival_times.iter().filter(|at| backoff.contains(*at)).count()
}

fn retry_delay(response: &Response) -> Duration {
    let retry_after = response.header("retry-after").and_then(|value| value.parse().ok());
    Duration::from_secs_f64(retry_after.expect("a time to retry"))
}

/// Guards against an entry that keeps sending to a target which has requested a backoff.
#[test]
fn backoff_honored() {
    let (limited, serving) = (backing_off(), Target::start(serve));
    let fixture = Fixture::new(&[&limited, &serving], &[]);
    let unserved_count = send_requests(&fixture, "/any/x", BACKOFF);
    let sent_count = sent_during_backoff(&limited);
    assert!(
        sent_count <= MAX_LATE_REQUESTS,
        "{sent_count} requests during the backoff"
    );
    assert_eq!(unserved_count, 0, "the other target has headroom");
    std::thread::sleep(Duration::from_millis(100));
    send_requests(&fixture, "/any/x", IN_FLIGHT_TIME);
    let last = *limited.arrival_times().last().expect("an arrival");
    assert!(
        last > limited.arrival_times()[0] + BACKOFF,
        "it gets requests again after the backoff"
    );
}

/// While all targets have requested a backoff, no request is sent to any of them, and each is rejected immediately with
/// a retry time after the backoff.
#[test]
fn rejected_while_all_back_off() {
    let targets = [backing_off(), backing_off(), backing_off()];
    let fixture = Fixture::new(&[&targets[0], &targets[1], &targets[2]], &[]);
    let started_at = Instant::now();
    send_requests(&fixture, "/any/x", IN_FLIGHT_TIME);
    for request_number in 0..10 {
        let response = fixture.fetch(&Request::new("GET", "/any/x", &format!("again-{request_number}")));
        assert_eq!(response.status, 503, "it has not run");
        assert!(response.elapsed < MAX_REJECTION_TIME, "{:?}", response.elapsed);
        let retry_at = started_at.elapsed() + retry_delay(&response);
        assert!(
            retry_at + Duration::from_millis(50) >= BACKOFF,
            "retry requested after {retry_at:?}"
        );
    }
    let sent_count: usize = targets.iter().map(sent_during_backoff).sum();
    assert_eq!(sent_count, 0, "requests to targets that had all requested a backoff");
}

/// A malformed or excessive `Retry-After` neither blocks a target forever nor crashes the entry.
#[test]
fn malformed_retry_after() {
    for retry_after in ["-1", "NaN", "inf", "1e300", "soon", "", "Fri, 31 Dec 2027 23:59:59 GMT"] {
        let limited =
            Target::start(move |arrival, connection| reject_with_retry_after(arrival, connection, retry_after));
        let serving = Target::start(serve);
        let fixture = Fixture::new(&[&limited, &serving], &[]);
        let unserved_count = send_requests(&fixture, "/any/x", Duration::from_millis(200));
        assert_eq!(unserved_count, 0, "{retry_after:?}");
    }
}

/// The backoff of one target is not forwarded to callers while another target has headroom.
#[test]
fn backoff_not_forwarded() {
    let (limited, serving) = (backing_off(), Target::start(serve));
    let fixture = Fixture::new(&[&limited, &serving], &[]);
    for request_number in 0..20 {
        let response = fixture.fetch(&Request::new("POST", "/once/x", &format!("r-{request_number}")));
        if response.status != 200 {
            assert!(retry_delay(&response) < BACKOFF / 2, "{:?}", retry_delay(&response));
        }
    }
}

/// Guards against an interrupted stream that is resumed at a target which has requested a backoff.
#[test]
fn not_resumed_during_backoff() {
    let limited = backing_off();
    let arrival_count = Arc::new(AtomicUsize::new(0));
    let interrupting = {
        let arrival_count = Arc::clone(&arrival_count);
        Target::start(move |arrival, connection| {
            if arrival_count.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
                connection.stream_head(arrival, "d");
                connection.event(1);
                std::thread::sleep(Duration::from_millis(20));
                connection.reset();
            } else {
                let last = arrival.header("last-event-id").and_then(|id| id.parse().ok());
                serve_from(arrival, connection, last.unwrap_or(0));
            }
        })
    };
    let mut document = samples::document(1);
    for route in &mut document.routes {
        route.max_attempts = 2;
    }
    let fixture = Fixture::with(crate::entry::settings(), document, &[], &[&limited, &interrupting]);
    send_requests(&fixture, "/stream/x", BACKOFF);
    let sent_count = sent_during_backoff(&limited);
    assert!(
        sent_count <= MAX_LATE_REQUESTS,
        "{sent_count} requests during the backoff"
    );
}
