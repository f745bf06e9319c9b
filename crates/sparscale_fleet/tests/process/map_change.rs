//! Expert maps change under load, kills and freezes, and no step ever runs on two maps.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::json;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

use crate::answer_check::whole_answer;

#[derive(Debug, Deserialize)]
struct Counts {
    steps: u64,
    mixed_steps: u64,
    old_orders: u64,
    report: sparscale_place::switch::Report,
}

fn plan() -> Plan {
    Plan {
        ranks: 3,
        services: 0,
        experts: 12,
        slots: 6,
        weight_move: 0.000_1,
        ..Plan::default()
    }
}

async fn counts(fleet: &Fleet, rank: &str) -> Result<Counts, Error> {
    fleet.ask_standin(rank, "/admin/counts").await?.json()
}

/// Number of the map that all ranks use; none while they are not on one.
async fn common_map(fleet: &Fleet) -> Option<u64> {
    let mut numbers = Vec::new();
    for rank in fleet.plan().rank_names() {
        let counts = counts(fleet, &rank).await.ok()?;
        numbers.push(counts.report.plan.filter(|plan| plan.next.is_none())?.number);
    }
    numbers.dedup();
    (numbers.len() == 1).then(|| numbers[0])
}

/// Makes the experts from `first` on the popular ones.
async fn surge(fleet: &Fleet, first: usize) -> Result<(), Error> {
    let experts = fleet.plan().experts as usize;
    let weights: Vec<f64> = (0..experts)
        .map(|index| 1.0 / ((index + experts - first) % experts + 1) as f64)
        .collect();
    let sum: f64 = weights.iter().sum();
    let popularity: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
    fleet
        .change_standin("rank-0", "/admin/rank", &json!({ "popularity": popularity }))
        .await
}

/// Sends requests until the task is dropped; panics if one is answered wrongly.
fn load(fleet: &Arc<Fleet>) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for worker in 0..6 {
        let fleet = Arc::clone(fleet);
        tasks.spawn(async move {
            for turn in 0.. {
                let prompt = format!("worker {worker} turn {turn}");
                if let Ok(reply) = fleet
                    .send_chat(&format!("entry-{}", worker % 2), "teal", &prompt, 30)
                    .await
                    && reply.status.is_success()
                {
                    assert!(reply.text().contains(&whole_answer(&prompt, 30)), "{}", reply.text());
                }
            }
        });
    }
    tasks
}

async fn wait_for_new_map(fleet: &Fleet, old: u64) -> Result<u64, Error> {
    eventually("all ranks use a new map", || async {
        common_map(fleet).await.filter(|number| *number > old)
    })
    .await
}

async fn no_mixed_steps(fleet: &Fleet) -> Result<(), Error> {
    let counts = counts(fleet, "rank-0").await?;
    assert_eq!(counts.mixed_steps, 0, "of {} steps", counts.steps);
    Ok(())
}

/// Drift leads to new maps, one after the other, while requests go on.
#[tokio::test]
async fn follows_drift() -> Result<(), Error> {
    let fleet = Arc::new(Fleet::start("follows-drift", plan()).await?);
    let _load = load(&fleet);
    surge(&fleet, 0).await?;
    let first = wait_for_new_map(&fleet, 0).await?;
    surge(&fleet, 5).await?;
    wait_for_new_map(&fleet, first).await?;
    no_mixed_steps(&fleet).await
}

/// The placer is frozen in mid-work and wakes after another has claimed its duty: it is harmless.
#[tokio::test]
async fn placer_frozen() -> Result<(), Error> {
    placer_frozen_with(true).await
}

/// The same where ranks do not check who gives them an order.
#[tokio::test]
async fn placer_frozen_unchecked() -> Result<(), Error> {
    placer_frozen_with(false).await
}

fn placing(fleet: &Fleet, entry: &str) -> bool {
    fleet.log_of(entry).contains("\"placing\"")
}

async fn placer_frozen_with(checks_fence: bool) -> Result<(), Error> {
    let plan = Plan { checks_fence, ..plan() };
    let name = if checks_fence {
        "placer-frozen"
    } else {
        "placer-frozen-unchecked"
    };
    let fleet = Arc::new(Fleet::start(name, plan).await?);
    let _load = load(&fleet);
    surge(&fleet, 0).await?;
    let first = wait_for_new_map(&fleet, 0).await?;
    let holder = if placing(&fleet, "entry-0") {
        "entry-0"
    } else {
        "entry-1"
    };
    let other = if holder == "entry-0" { "entry-1" } else { "entry-0" };
    surge(&fleet, 5).await?;
    fleet.freeze(holder)?;
    eventually("the other entry places", || async {
        placing(&fleet, other).then_some(())
    })
    .await?;
    let second = wait_for_new_map(&fleet, first).await?;
    fleet.wake(holder)?;
    eventually("the woken placer stops", || async {
        fleet.log_of(holder).contains("lost the duty").then_some(())
    })
    .await?;
    surge(&fleet, 9).await?;
    wait_for_new_map(&fleet, second).await?;
    let old = counts(&fleet, "rank-1").await?.old_orders;
    assert_eq!(old, 0, "an agent passes no order under an old fence on");
    no_mixed_steps(&fleet).await
}

/// A rank is replaced in the middle, its agent dies, the log goes down and comes back: the group runs on one map.
#[tokio::test]
async fn rank_replaced() -> Result<(), Error> {
    let fleet = Fleet::start("rank-replaced", plan()).await?;
    let mut fleet = fleet;
    surge(&fleet, 0).await?;
    let first = {
        let shared = Arc::new(fleet);
        let load = load(&shared);
        let first = wait_for_new_map(&shared, 0).await?;
        surge(&shared, 5).await?;
        shared
            .change_standin("rank-1", "/admin/rank", &json!({ "replace": true }))
            .await?;
        let outage = Fault {
            outage: Outage::Refuse,
            ..Fault::default()
        };
        shared.fault("log", outage).await?;
        eventually("the new rank joins while the log is down", || async {
            common_map(&shared).await
        })
        .await?;
        let steps = counts(&shared, "rank-0").await?.steps;
        eventually("the group goes on", || async {
            (counts(&shared, "rank-0").await.ok()?.steps > steps).then_some(())
        })
        .await?;
        shared.fault("log", Fault::default()).await?;
        drop(load);
        fleet = eventually("the load has stopped", || async {
            (Arc::strong_count(&shared) == 1).then_some(())
        })
        .await
        .and_then(|()| Arc::into_inner(shared).ok_or_else(|| "still shared".to_owned()))?;
        first
    };
    fleet.kill("rank-2");
    fleet.start_agent("rank-2")?;
    fleet.wait_until_entry_ready("entry-0").await?;
    let fleet = Arc::new(fleet);
    let _load = load(&fleet);
    surge(&fleet, 9).await?;
    wait_for_new_map(&fleet, first).await?;
    no_mixed_steps(&fleet).await
}
