//! Events are passed on as they arrive, none twice, none missing, and a broken stream never looks whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::entry::{Caller, Request, World, wait};
use crate::target::Target;

fn events(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

#[test]
fn whole_stream() {
    let target = Target::start(|arrival, wire| {
        wire.stream_head(arrival, "d-1");
        for id in 1..=5 {
            wire.event(id);
        }
        wire.end_chunks();
    });
    let world = World::new(&[], &[&target]);
    let answer = world.ask(&Request::new("POST", "/stream/x", "r-1"));
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(events(&answer.body), [1, 2, 3, 4, 5]);
}

/// The second event is held back until the caller has shown that it has the first.
#[test]
fn passed_on_at_once() {
    let seen = Arc::new(AtomicBool::new(false));
    let target = {
        let seen = Arc::clone(&seen);
        Target::start(move |arrival, wire| {
            wire.stream_head(arrival, "d-1");
            wire.event(1);
            wait("the caller to have the first event", || seen.load(Ordering::SeqCst));
            wire.event(2);
            wire.end_chunks();
        })
    };
    let world = World::new(&[], &[&target]);
    let mut caller = Caller::open(&world);
    caller.send(&Request::new("POST", "/stream/x", "r-1").text());
    assert!(caller.head().is_some_and(|line| line.contains("200")));
    assert!(caller.chunk().is_some_and(|chunk| chunk.contains("id: 1")));
    seen.store(true, Ordering::SeqCst);
    assert!(caller.chunk().is_some_and(|chunk| chunk.contains("id: 2")));
}

/// A target that breaks off inside an event: the stream goes on elsewhere after the last whole one, under the first
/// head.
#[test]
fn resumed_elsewhere() {
    let count = Arc::new(AtomicUsize::new(0));
    let script = move |arrival: &crate::target::Arrival, wire: &mut crate::target::Wire| {
        let first = count.fetch_add(1, Ordering::SeqCst) == 0;
        wire.stream_head(arrival, if first { "first" } else { "second" });
        let last: u64 = arrival
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        if first {
            wire.event(1);
            wire.event(2);
            wire.chunk("id: 3\ndata: to");
            std::thread::sleep(Duration::from_millis(50));
            wire.reset();
            return;
        }
        for id in last + 1..=4 {
            wire.event(id);
        }
        wire.end_chunks();
    };
    let script = Arc::new(script);
    let targets: Vec<Target> = (0..2)
        .map(|_| {
            let script = Arc::clone(&script);
            Target::start(move |arrival, wire| script(arrival, wire))
        })
        .collect();
    let world = World::new(&[], &[&targets[0], &targets[1]]);
    let answer = world.ask(&Request::new("POST", "/stream/x", "r-1"));
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(events(&answer.body), [1, 2, 3, 4]);
    assert_eq!(answer.header("sparscale-digest"), Some("first"));
    let resumed = targets
        .iter()
        .flat_map(Target::arrivals)
        .find(|arrival| arrival.header("last-event-id").is_some());
    assert_eq!(
        resumed
            .and_then(|arrival| arrival.header("last-event-id").map(str::to_owned))
            .as_deref(),
        Some("2")
    );
}

/// The caller's own place in the stream goes to the target.
#[test]
fn callers_place() {
    let target = Target::start(|arrival, wire| {
        wire.stream_head(arrival, "d");
        wire.event(8);
        wire.end_chunks();
    });
    let world = World::new(&[], &[&target]);
    let answer = world.ask(&Request::new("POST", "/stream/x", "r-1").with("Last-Event-Id", "7"));
    assert_eq!(events(&answer.body), [8]);
    assert_eq!(target.arrivals()[0].header("last-event-id"), Some("7"));
}

/// A stream that may not be resumed ends broken, and its target is not asked twice.
#[test]
fn cut_shows() {
    let target = Target::start(|arrival, wire| {
        wire.stream_head(arrival, "d");
        wire.event(1);
        std::thread::sleep(Duration::from_millis(50));
        wire.reset();
    });
    let world = World::new(&[], &[&target]);
    let answer = world.ask(&Request::new("POST", "/cut/x", "r-1"));
    assert!(!answer.whole, "a cut stream must not look whole");
    assert_eq!(target.arrivals().len(), 1);
}

/// A caller that leaves takes its target's work with it, before the first event as well as after.
#[test]
fn caller_leaves() {
    for first_event in [false, true] {
        let closed = Arc::new(std::sync::Mutex::new(None));
        let target = {
            let closed = Arc::clone(&closed);
            Target::start(move |arrival, wire| {
                if first_event {
                    wire.stream_head(arrival, "d");
                    wire.event(1);
                }
                *closed.lock().expect("no panic") = Some(wire.wait_closed(Duration::from_secs(10)));
            })
        };
        let world = World::new(&[], &[&target]);
        let mut caller = Caller::open(&world);
        caller.send(&Request::new("POST", "/stream/x", "r-1").text());
        wait("the request to arrive", || !target.arrivals().is_empty());
        if first_event {
            assert!(caller.head().is_some());
        }
        let left = Instant::now();
        drop(caller);
        wait("the target to see it", || closed.lock().expect("no panic").is_some());
        assert!(
            closed.lock().expect("no panic").flatten().is_some(),
            "its connection was not closed"
        );
        assert!(left.elapsed() < Duration::from_millis(500));
    }
}
