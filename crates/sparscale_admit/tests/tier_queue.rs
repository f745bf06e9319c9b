//! Order of tiers, weighted fairness, share of the lowest tier and bounds of the queue.

use std::collections::HashMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_admit::queue::{Job, Limits, Queue, Refusal};

const NEVER: Duration = Duration::from_hours(1);

fn job(key: u32, tier: u8, workspace: &str, weight: u32) -> Job<u32> {
    Job {
        key,
        tier,
        workspace: workspace.to_owned(),
        weight,
        cost: 10.0,
        deadline: NEVER,
    }
}

fn queue(running: usize, waiting: usize, floor_one_in: u32) -> Queue<u32> {
    Queue::new(Limits {
        max_running: running,
        max_queued: waiting,
        floor_one_in,
    })
}

/// Dequeues the next job and records its end immediately.
fn run_next(queue: &mut Queue<u32>) -> Option<Job<u32>> {
    let job = queue.dequeue(Duration::ZERO, &mut Vec::new())?;
    queue.record_end(job.cost, Duration::from_millis(10));
    Some(job)
}

#[test]
fn higher_tier_first() {
    let mut queue = queue(1, 100, 0);
    for key in 0..10 {
        queue
            .enqueue(job(key, u8::from(key < 5), "a", 1), Duration::ZERO)
            .expect("there is headroom");
    }
    let order: Vec<u8> = std::iter::from_fn(|| run_next(&mut queue))
        .map(|job| job.tier)
        .collect();
    assert_eq!(order, [0, 0, 0, 0, 0, 1, 1, 1, 1, 1]);
}

#[test]
fn floor_share_for_lowest_tier() {
    let mut queue = queue(1, 1_000, 5);
    for key in 0..200 {
        queue
            .enqueue(job(key, u8::from(key >= 100), "a", 1), Duration::ZERO)
            .expect("there is headroom");
    }
    let first = (0..50).filter_map(|_| run_next(&mut queue));
    let low = first.filter(|job| job.tier == 1).count();
    assert_eq!(low, 10, "one dispatch in five goes to the lowest tier");
}

#[test]
fn weights_set_shares() {
    let mut queue = queue(1, 1_000, 0);
    for key in 0..300 {
        let (name, weight) = if key % 2 == 0 { ("heavy", 3) } else { ("light", 1) };
        queue
            .enqueue(job(key, 0, name, weight), Duration::ZERO)
            .expect("there is headroom");
    }
    let mut served: HashMap<String, u32> = HashMap::new();
    for _ in 0..100 {
        let job = run_next(&mut queue).expect("jobs are queued");
        *served.entry(job.workspace).or_default() += 1;
    }
    assert!((74..=76).contains(&served["heavy"]), "{served:?}");
}

#[test]
fn idle_workspace_gains_no_credit() {
    let mut queue = queue(1, 1_000, 0);
    for key in 0..100 {
        queue
            .enqueue(job(key, 0, "busy", 1), Duration::ZERO)
            .expect("there is headroom");
    }
    for _ in 0..50 {
        run_next(&mut queue);
    }
    for key in 100..150 {
        queue
            .enqueue(job(key, 0, "late", 1), Duration::ZERO)
            .expect("there is headroom");
    }
    let next: Vec<String> = (0..20)
        .filter_map(|_| run_next(&mut queue))
        .map(|job| job.workspace)
        .collect();
    let late = next.iter().filter(|name| *name == "late").count();
    assert!(
        (9..=11).contains(&late),
        "a workspace that was idle gets an equal share from now on: {next:?}"
    );
}

#[test]
fn late_request_rejected_early() {
    let mut queue = queue(1, 1_000, 0);
    queue
        .enqueue(job(0, 0, "a", 1), Duration::ZERO)
        .expect("there is headroom");
    let running = queue
        .dequeue(Duration::ZERO, &mut Vec::new())
        .expect("the target may run a request");
    queue.record_end(running.cost, Duration::from_secs(1));
    queue
        .enqueue(job(1, 0, "a", 1), Duration::ZERO)
        .expect("there is headroom");
    assert!(queue.dequeue(Duration::ZERO, &mut Vec::new()).is_some());
    let hasty = Job {
        deadline: Duration::from_millis(500),
        ..job(2, 0, "a", 1)
    };
    let refused = queue.enqueue(hasty, Duration::ZERO);
    assert!(matches!(refused, Err(Refusal::TooLate { retry_after }) if retry_after >= Duration::from_millis(900)));
}

#[test]
fn lower_tier_displaced() {
    let mut queue = queue(1, 2, 0);
    let running = job(0, 0, "a", 1);
    queue.enqueue(running, Duration::ZERO).expect("there is headroom");
    assert!(queue.dequeue(Duration::ZERO, &mut Vec::new()).is_some());
    for key in 1..3 {
        queue
            .enqueue(job(key, 1, "low", 1), Duration::ZERO)
            .expect("there is headroom");
    }
    let admission = queue
        .enqueue(job(3, 0, "high", 1), Duration::ZERO)
        .expect("a job of a lower tier is displaced");
    assert_eq!(admission.displaced, Some(2));
    assert!(matches!(
        queue.enqueue(job(4, 1, "low", 1), Duration::ZERO),
        Err(Refusal::Full { .. })
    ));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Offer { tier: u8, workspace: u8, weight: u8 },
    Next,
    Finish,
    Remove(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..3 => Self::Offer {
                tier: u8::arbitrary(g) % 3,
                workspace: u8::arbitrary(g) % 3,
                weight: u8::arbitrary(g) % 4,
            },
            3..5 => Self::Next,
            5..7 => Self::Finish,
            _ => Self::Remove(u8::arbitrary(g)),
        }
    }
}

/// No job is lost or returned twice, the bounds hold, and without a floor no job runs while one of a higher tier is
/// queued.
fn accounts_for_every_job(events: Vec<Event>) -> bool {
    let mut queue = queue(3, 6, 0);
    let mut waiting: HashMap<u32, u8> = HashMap::new();
    let mut running = Vec::new();
    let mut next_key = 0;
    for event in events {
        match event {
            Event::Offer {
                tier,
                workspace,
                weight,
            } => {
                next_key += 1;
                let offered = job(next_key, tier, &workspace.to_string(), u32::from(weight));
                if let Ok(admission) = queue.enqueue(offered, Duration::ZERO) {
                    waiting.insert(next_key, tier);
                    if let Some(displaced) = admission.displaced
                        && waiting.remove(&displaced).is_none_or(|lower| lower <= tier)
                    {
                        return false;
                    }
                }
            }
            Event::Next => {
                if let Some(job) = queue.dequeue(Duration::ZERO, &mut Vec::new()) {
                    let known = waiting.remove(&job.key) == Some(job.tier);
                    if !known || waiting.values().any(|tier| *tier < job.tier) {
                        return false;
                    }
                    running.push(job.cost);
                }
            }
            Event::Finish => {
                if let Some(cost) = running.pop() {
                    queue.record_end(cost, Duration::from_millis(1));
                }
            }
            Event::Remove(which) => {
                let key = u32::from(which);
                if queue.remove(&key) != waiting.remove(&key).is_some() {
                    return false;
                }
            }
        }
        if queue.queued_count() != waiting.len() || queue.running_count() != running.len() || running.len() > 3 {
            return false;
        }
    }
    true
}

#[test]
fn no_job_lost_or_duplicated() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, 2))
        .tests(20_000)
        .quickcheck(accounts_for_every_job as fn(Vec<Event>) -> bool);
}
