//! A planned stop cuts nothing off.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Caller, Request, World, wait};
use crate::target::Target;

fn is_ready(world: &World) -> bool {
    let mut caller = Caller::connect(world.entry.ready);
    caller.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.answer().status == 200
}

#[test]
fn finishes_streams() {
    let go_on = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let target = {
        let go_on = Arc::clone(&go_on);
        Target::start(move |arrival, wire| {
            wire.stream_head(arrival, "d");
            wire.event(1);
            wait("the entry to stop", || go_on.load(std::sync::atomic::Ordering::SeqCst));
            std::thread::sleep(Duration::from_millis(500));
            wire.event(2);
            wire.end_chunks();
        })
    };
    let plain = Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "good"));
    let world = World::new(&[&plain], &[&target]);
    assert!(is_ready(&world));
    let mut streaming = Caller::open(&world);
    streaming.send(&Request::new("POST", "/stream/x", "r-1").text());
    assert!(streaming.head().is_some_and(|line| line.contains("200")));
    let mut kept = Caller::open(&world);
    assert_eq!(kept.ask(&Request::new("GET", "/any/x", "r-2")).status, 200);
    let stopping = {
        let entry = Arc::clone(&world.entry);
        world.runtime.spawn(async move { entry.stop().await })
    };
    wait("the entry to say that it is not ready", || !is_ready(&world));
    go_on.store(true, std::sync::atomic::Ordering::SeqCst);
    // The balancer may not have noticed yet: what still comes is served, and told to go elsewhere next.
    let late = kept.ask(&Request::new("GET", "/any/x", "r-3"));
    assert_eq!((late.status, late.header("connection")), (200, Some("close")));
    let first = streaming.chunk().expect("the first event");
    let second = streaming.chunk().expect("the second event");
    assert!(first.contains("id: 1") && second.contains("id: 2"));
    assert_eq!(streaming.chunk(), None);
    world.runtime.block_on(stopping).expect("no panic");
}
