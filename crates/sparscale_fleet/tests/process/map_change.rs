//! Expert maps are switched under load, kills and freezes, and no step runs with ranks on different maps.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::json;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

use crate::response_check::expected_text;

#[derive(Debug, Deserialize)]
struct Counts {
    steps: u64,
    mixed_steps: u64,
    old_orders: u64,
    report: sparscale_place::switch::Report,
}

fn plan() -> Plan {
    Plan {
        rank_count: 3,
        service_count: 0,
        expert_count: 12,
        slots_per_rank: 6,
        weight_move: 0.000_1,
        ..Plan::default()
    }
}

async fn counts(fleet: &Fleet, rank: &str) -> Result<Counts, Error> {
    fleet.query_standin(rank, "/admin/counts").await?.json()
}

/// Number of the map that all ranks use, `None` during a map switch.
async fn common_map(fleet: &Fleet) -> Option<u64> {
    let mut numbers = Vec::new();
    for rank in fleet.plan().rank_names() {
        let counts = counts(fleet, &rank).await.ok()?;
        numbers.push(counts.report.plan.filter(|plan| plan.next.is_none())?.number);
    }
    numbers.dedup();
    (numbers.len() == 1).then(|| numbers[0])
}

/// Shifts popularity so that `first` is the most popular expert and the following ones are less and less so.
async fn shift_popularity(fleet: &Fleet, first: usize) -> Result<(), Error> {
    let expert_count = fleet.plan().expert_count as usize;
    let weights: Vec<f64> = (0..expert_count)
        .map(|index| 1.0 / ((index + expert_count - first) % expert_count + 1) as f64)
        .collect();
    let sum: f64 = weights.iter().sum();
    let popularity: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
    fleet
        .configure_standin("rank-0", "/admin/rank", &json!({ "popularity": popularity }))
        .await
}

/// Sends requests until the returned set is dropped; a task panics if it receives a wrong response.
fn spawn_load(fleet: &Arc<Fleet>) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for worker in 0..6 {
        let fleet = Arc::clone(fleet);
        tasks.spawn(async move {
            for turn in 0.. {
                let prompt = format!("worker {worker} turn {turn}");
                if let Ok(response) = fleet
                    .send_chat(&format!("entry-{}", worker % 2), "teal", &prompt, 30)
                    .await
                    && response.status.is_success()
                {
                    assert!(
                        response.text().contains(&expected_text(&prompt, 30)),
                        "{}",
                        response.text()
                    );
                }
            }
        });
    }
    tasks
}

async fn wait_for_new_map(fleet: &Fleet, old_number: u64) -> Result<u64, Error> {
    eventually("all ranks use a new map", || async {
        common_map(fleet).await.filter(|number| *number > old_number)
    })
    .await
}

async fn assert_no_mixed_steps(fleet: &Fleet) -> Result<(), Error> {
    let counts = counts(fleet, "rank-0").await?;
    assert_eq!(counts.mixed_steps, 0, "of {} steps", counts.steps);
    Ok(())
}

/// Drifting popularity leads to one new map after another while requests are served.
#[tokio::test]
async fn follows_drift() -> Result<(), Error> {
    let fleet = Arc::new(Fleet::start("follows-drift", plan()).await?);
    let _load = spawn_load(&fleet);
    shift_popularity(&fleet, 0).await?;
    let first = wait_for_new_map(&fleet, 0).await?;
    shift_popularity(&fleet, 5).await?;
    wait_for_new_map(&fleet, first).await?;
    assert_no_mixed_steps(&fleet).await
}

/// The placer is frozen and resumed after another entry has claimed its duty: its orders have no effect.
#[tokio::test]
async fn placer_frozen() -> Result<(), Error> {
    placer_frozen_with(true).await
}

/// The same if ranks don't check fences themselves.
#[tokio::test]
async fn placer_frozen_without_fence_check() -> Result<(), Error> {
    placer_frozen_with(false).await
}

fn has_placed(fleet: &Fleet, entry: &str) -> bool {
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
    let _load = spawn_load(&fleet);
    shift_popularity(&fleet, 0).await?;
    let first = wait_for_new_map(&fleet, 0).await?;
    let holder = if has_placed(&fleet, "entry-0") {
        "entry-0"
    } else {
        "entry-1"
    };
    let other = if holder == "entry-0" { "entry-1" } else { "entry-0" };
    shift_popularity(&fleet, 5).await?;
    fleet.freeze(holder)?;
    eventually("the other entry becomes placer", || async {
        has_placed(&fleet, other).then_some(())
    })
    .await?;
    let second = wait_for_new_map(&fleet, first).await?;
    fleet.resume(holder)?;
    eventually("the resumed placer gives up its duty", || async {
        fleet.log_of(holder).contains("lost the duty").then_some(())
    })
    .await?;
    shift_popularity(&fleet, 9).await?;
    wait_for_new_map(&fleet, second).await?;
    let old_orders = counts(&fleet, "rank-1").await?.old_orders;
    assert_eq!(
        old_orders, 0,
        "an agent must not forward an order with an outdated fence"
    );
    assert_no_mixed_steps(&fleet).await
}

/// During map switches a rank is replaced, the log fails and recovers, and an agent restarts: the group always returns
/// to one map.
#[tokio::test]
async fn rank_replaced() -> Result<(), Error> {
    let fleet = Fleet::start("rank-replaced", plan()).await?;
    let mut fleet = fleet;
    shift_popularity(&fleet, 0).await?;
    let first = {
        let shared = Arc::new(fleet);
        let load = spawn_load(&shared);
        let first = wait_for_new_map(&shared, 0).await?;
        shift_popularity(&shared, 5).await?;
        shared
            .configure_standin("rank-1", "/admin/rank", &json!({ "replace": true }))
            .await?;
        let outage = Fault {
            outage: Outage::Refuse,
            ..Fault::default()
        };
        shared.set_fault("log", outage).await?;
        eventually("the new rank joins while the log is down", || async {
            common_map(&shared).await
        })
        .await?;
        let steps = counts(&shared, "rank-0").await?.steps;
        eventually("the group runs further steps", || async {
            (counts(&shared, "rank-0").await.ok()?.steps > steps).then_some(())
        })
        .await?;
        shared.set_fault("log", Fault::default()).await?;
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
    let _load = spawn_load(&fleet);
    shift_popularity(&fleet, 9).await?;
    wait_for_new_map(&fleet, first).await?;
    assert_no_mixed_steps(&fleet).await
}
