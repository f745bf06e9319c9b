//! An entry that gets the processor late serves whole responses without a length, although their target closes idle
//! connections meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::entry::{Fixture, Request, Response};
use crate::target::Target;

const IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which the entry does not run, and time for which it runs.
const STALL: Duration = Duration::from_millis(150);
const RUN_TIME: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(6);
const CALLERS: usize = 6;

fn is_whole(response: &Response) -> bool {
    response.status == 200 && response.is_complete && response.body.contains("piece 2")
}

/// Lets callers fetch one response after the other while the entry is stalled over and over. Returns how many there were,
/// and how many were not whole.
fn fetch_beside_stalls() -> (usize, usize) {
    let target = Target::start_idle_closing(IDLE_TIMEOUT, |arrival, connection| {
        connection.undelimited_head(arrival, "text/event-stream");
        connection.send("id: 1\ndata: piece 1\n\n");
        std::thread::sleep(Duration::from_millis(70));
        connection.send("id: 2\ndata: piece 2\n\n");
        connection.close();
    });
    let fixture = Fixture::new(&[&target], &[&target]);
    let is_over = Arc::new(AtomicBool::new(false));
    let stalls_end = Arc::clone(&is_over);
    fixture.runtime.spawn(async move {
        while !stalls_end.load(Ordering::SeqCst) {
            std::thread::sleep(STALL);
            tokio::time::sleep(RUN_TIME).await;
        }
    });
    let started_at = Instant::now();
    let fetch_all = |caller: usize| {
        let mut responses = Vec::new();
        while started_at.elapsed() < DURATION {
            let id = format!("r-{caller}-{}", responses.len());
            responses.push(fixture.fetch(&Request::new("POST", "/cut/x", &id)));
        }
        responses
    };
    let responses: Vec<Response> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || fetch_all(caller)))
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("no panic"))
            .collect()
    });
    is_over.store(true, Ordering::SeqCst);
    for line in fixture
        .registry
        .render()
        .lines()
        .filter(|line| line.contains("unframed"))
    {
        println!("{line}");
    }
    let cut = responses.iter().filter(|response| !is_whole(response)).count();
    (responses.len(), cut)
}

#[test]
fn idle_closes_while_stalled() {
    let (responses, cut) = fetch_beside_stalls();
    assert!(responses > 50, "{responses} responses");
    assert_eq!(cut, 0, "of {responses} responses");
}
