//! Targets that ask one entry for rest.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sparscale_samples as samples;

use crate::entry::{Answer, Request, World, load};
use crate::groups::serve_from;
use crate::target::{Arrival, Target, Wire};

/// Rest that targets ask for.
const REST: Duration = Duration::from_secs(2);
/// What may still arrive of what was on its way, and how many requests after that.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const MOST: usize = 2;
/// A refusal at once, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(500);

fn serve(arrival: &Arrival, wire: &mut Wire) {
    wire.answer(arrival, "200 OK", "good");
}

fn refuse_for(arrival: &Arrival, wire: &mut Wire, retry_after: &str) {
    wire.send(&format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-request-id: {}\r\nsparscale-not-run: 1\r\nretry-after: {retry_after}\r\n\
         content-length: 0\r\n\r\n",
        arrival.id()
    ));
}

fn resting() -> Target {
    Target::start(|arrival, wire| refuse_for(arrival, wire, &REST.as_secs().to_string()))
}

/// Requests that reached a resting target in the rest that it asked for first.
fn sent_while_resting(target: &Target) -> usize {
    let times = target.times();
    let Some(first) = times.first() else { return 0 };
    let rest = *first + ON_THE_WAY..*first + REST;
    times.iter().filter(|at| rest.contains(*at)).count()
}

fn wait_told(answer: &Answer) -> Duration {
    let wait = answer.header("retry-after").and_then(|wait| wait.parse().ok());
    Duration::from_secs_f64(wait.expect("a time to come back"))
}

/// An entry goes on sending to a target that asked it for rest.
#[test]
fn rest_ignored() {
    let (tired, sound) = (resting(), Target::start(serve));
    let world = World::new(&[&tired, &sound], &[]);
    let unserved = load(&world, "/any/x", REST);
    let sent = sent_while_resting(&tired);
    assert!(sent <= MOST, "{sent} requests while it rested");
    assert_eq!(unserved, 0, "the other target has room");
    std::thread::sleep(Duration::from_millis(100));
    load(&world, "/any/x", ON_THE_WAY);
    let last = *tired.times().last().expect("an arrival");
    assert!(last > tired.times()[0] + REST, "it is tried again after its rest");
}

/// Requests walk over targets that all rest, and are held or told to come back too early.
#[test]
fn walks_over_resting() {
    let targets = [resting(), resting(), resting()];
    let world = World::new(&[&targets[0], &targets[1], &targets[2]], &[]);
    let began = Instant::now();
    load(&world, "/any/x", ON_THE_WAY);
    for number in 0..10 {
        let answer = world.ask(&Request::new("GET", "/any/x", &format!("again-{number}")));
        assert_eq!(answer.status, 503, "it has not run");
        assert!(answer.took < AT_ONCE, "{:?}", answer.took);
        let back = began.elapsed() + wait_told(&answer);
        assert!(
            back + Duration::from_millis(50) >= REST,
            "told to come back after {back:?}"
        );
    }
    let sent: usize = targets.iter().map(sent_while_resting).sum();
    assert_eq!(sent, 0, "requests to targets that all rested");
}

/// A rest that cannot be read, or is beyond all measure, closes a target for good, or brings the entry down.
#[test]
fn garbled_rests() {
    for rest in ["-1", "NaN", "inf", "1e300", "soon", "", "Fri, 31 Dec 2027 23:59:59 GMT"] {
        let tired = Target::start(move |arrival, wire| refuse_for(arrival, wire, rest));
        let sound = Target::start(serve);
        let world = World::new(&[&tired, &sound], &[]);
        let unserved = load(&world, "/any/x", Duration::from_millis(200));
        assert_eq!(unserved, 0, "{rest:?}");
    }
}

/// A caller is told the rest of one target while another one has room.
#[test]
fn rest_told_to_callers() {
    let (tired, sound) = (resting(), Target::start(serve));
    let world = World::new(&[&tired, &sound], &[]);
    for number in 0..20 {
        let answer = world.ask(&Request::new("POST", "/once/x", &format!("r-{number}")));
        if answer.status != 200 {
            assert!(wait_told(&answer) < REST / 2, "{:?}", wait_told(&answer));
        }
    }
}

/// A stream that breaks off goes on at a target that rests.
#[test]
fn resumes_at_resting() {
    let tired = resting();
    let sends = Arc::new(AtomicUsize::new(0));
    let breaking = {
        let sends = Arc::clone(&sends);
        Target::start(move |arrival, wire| {
            if sends.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
                wire.stream_head(arrival, "d");
                wire.event(1);
                std::thread::sleep(Duration::from_millis(20));
                wire.reset();
            } else {
                let last = arrival.header("last-event-id").and_then(|id| id.parse().ok());
                serve_from(arrival, wire, last.unwrap_or(0));
            }
        })
    };
    let mut document = samples::document(1);
    for route in &mut document.routes {
        route.attempts = 2;
    }
    let world = World::with(crate::entry::settings(), document, &[], &[&tired, &breaking]);
    load(&world, "/stream/x", REST);
    let sent = sent_while_resting(&tired);
    assert!(sent <= MOST, "{sent} requests while it rested");
}
