//! The log is down, slow or forgetful: nothing reverts, and everything that was in force stays in force.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

const REFUSE: Fault = Fault {
    outage: Outage::Refuse,
    delay_ms: 0,
    lose_answers: 0,
    rest_s: 0,
    rate_limit: 0,
};

/// Highest bundle version that the process called `name` has put in force, and whether it ever went back.
fn versions(fleet: &Fleet, name: &str) -> Vec<u64> {
    let log = fleet.log_of(name);
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    lines
        .filter(|line| line["kvs"]["decision"] == "bundle")
        .filter_map(|line| line["kvs"]["version"].as_u64())
        .collect()
}

fn all_names(fleet: &Fleet) -> Vec<String> {
    [fleet.agent_names(), fleet.plan().entry_names()].concat()
}

async fn wait_for_version(fleet: &Fleet, version: u64) -> Result<(), Error> {
    for name in all_names(fleet) {
        eventually(&format!("{name} has version {version}"), || async {
            (versions(fleet, &name).last() == Some(&version)).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Every process is replaced, one after the other, while the log is down: all serve, on the same version.
#[tokio::test]
async fn boxes_replaced() -> Result<(), Error> {
    let mut fleet = Fleet::start("boxes-replaced", Plan::default()).await?;
    fleet.roll_bundle(&fleet.document(2)).await?;
    wait_for_version(&fleet, 2).await?;
    fleet.fault("log", REFUSE).await?;
    for name in all_names(&fleet) {
        let earlier = versions(&fleet, &name).len();
        fleet.kill(&name);
        if name.starts_with("entry") {
            fleet.start_entry(&name)?;
        } else {
            fleet.start_agent(&name)?;
        }
        eventually(&format!("{name} has a bundle"), || async {
            (versions(&fleet, &name).len() > earlier).then_some(())
        })
        .await?;
        assert_eq!(versions(&fleet, &name).last(), Some(&2), "{name} must not revert");
    }
    fleet.wait_until_ready().await?;
    Ok(())
}

/// A process that finds neither log nor peers serves nothing.
#[tokio::test]
async fn nothing_without_bundle() -> Result<(), Error> {
    let mut fleet = Fleet::prepare("nothing-without-bundle", Plan::default())?;
    fleet.start_platform().await?;
    fleet.roll_bundle(&fleet.document(1)).await?;
    fleet.fault("log", REFUSE).await?;
    fleet.start_all()?;
    let reply = eventually("an entry answers", || async {
        fleet.send_chat("entry-0", "teal", "hello", 1).await.ok()
    })
    .await?;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.member("outcome").as_deref(), Some("not_run"));
    assert!(reply.headers.contains_key("retry-after"));
    fleet.fault("log", Fault::default()).await?;
    fleet.wait_until_ready().await
}

/// An outage before, in and after each of publish, approve and roll: the program tells the truth, and the same
/// command given again finishes the job with one effect.
#[tokio::test]
async fn outage_in_rollout() -> Result<(), Error> {
    let fleet = Fleet::start("outage-in-rollout", Plan::default()).await?;
    let path = fleet.write_bundle(&fleet.document(2))?;
    let steps: [(&str, Vec<&str>); 3] = [
        ("alice", vec!["bundle", "publish", &path]),
        ("bob", vec!["bundle", "approve", "2"]),
        ("carol", vec!["bundle", "roll", "2"]),
    ];
    for (operator, arguments) in steps {
        // Before: nothing was sent.
        fleet.fault("log", REFUSE).await?;
        let before = fleet.operator(operator, &arguments).await?;
        assert_eq!(before.status.code(), Some(3), "{arguments:?}");
        // In: the answers of all appends are lost after the effect; the program reads on and finds its record.
        let lose = Fault {
            lose_answers: 1,
            ..Fault::default()
        };
        fleet.fault("log", lose).await?;
        let during = fleet.operator(operator, &arguments).await?;
        assert!(
            during.status.success(),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&during.stdout)
        );
        // After: the outage comes when all is done; nothing is undone by it.
        fleet.fault("log", REFUSE).await?;
        fleet.fault("log", Fault::default()).await?;
        let again = fleet.operator(operator, &arguments).await?;
        assert!(
            !again.status.success(),
            "a second effect of {arguments:?} must be refused"
        );
    }
    wait_for_version(&fleet, 2).await?;
    let history = fleet.operator("alice", &["bundle", "history"]).await?;
    let text = String::from_utf8_lossy(&history.stdout).into_owned();
    assert_eq!(text.matches("rolled version 2  accepted").count(), 1, "{text}");
    Ok(())
}

/// Records expire: processes append the folded state in time, and a new process starts from it.
#[tokio::test]
async fn records_expire() -> Result<(), Error> {
    let plan = Plan {
        snapshot_every: 16,
        ..Plan::default()
    };
    let mut fleet = Fleet::start("records-expire", plan).await?;
    for version in 2..9 {
        fleet.roll_bundle(&fleet.document(version)).await?;
    }
    wait_for_version(&fleet, 8).await?;
    let snapshot = eventually("a snapshot is in the log", || async {
        let all = all_names(&fleet);
        let logs = all.iter().map(|name| fleet.log_of(name));
        logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>())
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(&line).ok())
            .find(|line| line["message"] == "appended the folded state")
            .and_then(|line| line["kvs"]["at"].as_u64())
    })
    .await?;
    fleet
        .change_standin("log", "/admin/retention", &serde_json::json!({ "earliest": snapshot }))
        .await?;
    for name in all_names(&fleet) {
        fleet.kill(&name);
    }
    let starts: Vec<usize> = all_names(&fleet)
        .iter()
        .map(|name| versions(&fleet, name).len())
        .collect();
    fleet.start_all()?;
    for (name, earlier) in all_names(&fleet).iter().zip(starts) {
        eventually(&format!("{name} starts from the snapshot"), || async {
            let versions = versions(&fleet, name);
            (versions.len() > earlier && versions.last() == Some(&8)).then_some(())
        })
        .await?;
    }
    Ok(())
}
