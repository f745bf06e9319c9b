//! An agent that gets the processor late: whole responses stay whole, although their target closes idle connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::case::{self, Case, Ending};
use crate::target;

/// Time for which the agent does not run, and time for which it runs.
const STALL: Duration = Duration::from_millis(150);
const RUN_TIME: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(6);
const CALLERS: usize = 6;

#[tokio::test]
async fn idle_closes_while_stalled() {
    let case = Case {
        idle: Duration::from_millis(800),
        between_halves: Duration::from_millis(70),
        ..Case::new(Ending::SendRest)
    };
    let engine = Arc::new(case.start());
    let stalls = tokio::spawn(async {
        loop {
            std::thread::sleep(STALL);
            tokio::time::sleep(RUN_TIME).await;
        }
    });
    let ends_at = Instant::now() + DURATION;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let engine = Arc::clone(&engine);
        callers.spawn(async move {
            let mut results = Vec::new();
            while Instant::now() < ends_at {
                results.push(case::call(&engine, Duration::ZERO).await);
            }
            results
        });
    }
    let results = callers.join_all().await.concat();
    stalls.abort();
    let is_whole = |result: &Result<_, _>| result.as_ref().is_ok_and(|body| body == target::WHOLE);
    let cut = results.iter().filter(|result| !is_whole(result)).count();
    assert!(results.len() > 50, "{} responses", results.len());
    assert_eq!(cut, 0, "of {} responses", results.len());
}
