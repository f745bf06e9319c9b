//! The log is unavailable, loses responses or has discarded old records: no process reverts to an older bundle or stops
//! serving.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::{Fault, Outage};

const REFUSE: Fault = Fault {
    outage: Outage::Refuse,
    delay_ms: 0,
    lose_answers: 0,
    rest_s: 0,
    stream_status: 0,
    rate_limit: 0,
};

/// Bundle versions that the process called `name` has activated, in order.
fn activated_versions(fleet: &Fleet, name: &str) -> Vec<u64> {
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
            (activated_versions(fleet, &name).last() == Some(&version)).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// All processes are replaced one by one while the log is down: each obtains the active bundle and serves.
#[tokio::test]
async fn processes_replaced() -> Result<(), Error> {
    let mut fleet = Fleet::start("boxes-replaced", Plan::default()).await?;
    fleet.roll_bundle(&fleet.document(2)).await?;
    wait_for_version(&fleet, 2).await?;
    fleet.set_fault("log", REFUSE).await?;
    for name in all_names(&fleet) {
        let activated_before = activated_versions(&fleet, &name).len();
        fleet.kill(&name);
        if name.starts_with("entry") {
            fleet.start_entry(&name)?;
        } else {
            fleet.start_agent(&name)?;
        }
        eventually(&format!("{name} has a bundle"), || async {
            (activated_versions(&fleet, &name).len() > activated_before).then_some(())
        })
        .await?;
        assert_eq!(
            activated_versions(&fleet, &name).last(),
            Some(&2),
            "{name} must not revert"
        );
    }
    fleet.wait_until_ready().await?;
    Ok(())
}

/// A process that reaches neither the log nor a peer with a bundle rejects requests.
#[tokio::test]
async fn nothing_without_bundle() -> Result<(), Error> {
    let mut fleet = Fleet::prepare("nothing-without-bundle", Plan::default())?;
    fleet.start_platform().await?;
    fleet.roll_bundle(&fleet.document(1)).await?;
    fleet.set_fault("log", REFUSE).await?;
    fleet.start_all()?;
    let response = eventually("an entry responds", || async {
        fleet.send_chat("entry-0", "teal", "hello", 1).await.ok()
    })
    .await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.member("outcome").as_deref(), Some("not_run"));
    assert!(response.headers.contains_key("retry-after"));
    fleet.set_fault("log", Fault::default()).await?;
    fleet.wait_until_ready().await
}

/// The log fails before, during and after each of publish, approve and roll: the program reports the true outcome, and
/// running the same command again completes the step exactly once.
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
        // Before: no record is sent.
        fleet.set_fault("log", REFUSE).await?;
        let before = fleet.run_operator(operator, &arguments).await?;
        assert_eq!(before.status.code(), Some(3), "{arguments:?}");
        // During: the response to the append is lost after it took effect; the program reads the log and finds its
        // record.
        let lose_response = Fault {
            lose_answers: 1,
            ..Fault::default()
        };
        fleet.set_fault("log", lose_response).await?;
        let during = fleet.run_operator(operator, &arguments).await?;
        assert!(
            during.status.success(),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&during.stdout)
        );
        // After: an outage that follows a completed step must not undo it.
        fleet.set_fault("log", REFUSE).await?;
        fleet.set_fault("log", Fault::default()).await?;
        let repeated = fleet.run_operator(operator, &arguments).await?;
        assert!(!repeated.status.success(), "a second {arguments:?} must be rejected");
    }
    wait_for_version(&fleet, 2).await?;
    let history = fleet.run_operator("alice", &["bundle", "history"]).await?;
    let text = String::from_utf8_lossy(&history.stdout).into_owned();
    assert_eq!(text.matches("rolled version 2  accepted").count(), 1, "{text}");
    Ok(())
}

/// Old records are discarded: processes have appended a snapshot by then, and new processes start from it.
#[tokio::test]
async fn old_records_discarded() -> Result<(), Error> {
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
        .configure_standin("log", "/admin/retention", &serde_json::json!({ "earliest": snapshot }))
        .await?;
    for name in all_names(&fleet) {
        fleet.kill(&name);
    }
    let counts_before: Vec<usize> = all_names(&fleet)
        .iter()
        .map(|name| activated_versions(&fleet, name).len())
        .collect();
    fleet.start_all()?;
    for (name, count_before) in all_names(&fleet).iter().zip(counts_before) {
        eventually(&format!("{name} starts from the snapshot"), || async {
            let versions = activated_versions(&fleet, name);
            (versions.len() > count_before && versions.last() == Some(&8)).then_some(())
        })
        .await?;
    }
    Ok(())
}
