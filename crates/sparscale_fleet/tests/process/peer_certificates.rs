//! Connections need a certificate for a role of the system; renewed certificates become active without interrupting
//! streams.

use std::fs;

use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::keys;

use crate::response_check::{expected_text, is_complete, streamed_text};

/// An entry whose certificate is of the right authority but for no role of the system: agents reject its connections
/// and log the rejection.
#[tokio::test]
async fn certificate_without_role_rejected() -> Result<(), Error> {
    let mut fleet = Fleet::prepare("stranger-refused", Plan::default())?;
    let path = fleet.settings_path("entry-1");
    let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
    fs::write(
        &path,
        text.replace("entry.pem", "stranger.pem")
            .replace("entry.key", "stranger.key"),
    )
    .map_err(|error| error.to_string())?;
    fleet.start_platform().await?;
    fleet.roll_bundle(&fleet.document(1)).await?;
    fleet.start_all()?;
    fleet.wait_until_entry_ready("entry-0").await?;
    eventually("an agent rejects the connection", || async {
        let has_rejected = |name: &String| fleet.log_of(name).contains("connection_refused");
        fleet.agent_names().iter().any(has_rejected).then_some(())
    })
    .await?;
    let response = fleet.send_chat("entry-1", "teal", "let me in", 1).await?;
    assert_eq!(
        response.member("outcome").as_deref(),
        Some("not_run"),
        "{}",
        response.text()
    );
    Ok(())
}

/// All certificates and their authority are replaced and reloaded on SIGHUP during a stream.
#[tokio::test]
async fn certificates_renewed_during_stream() -> Result<(), Error> {
    let mut fleet = Fleet::start("renewed-in-stream", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "uncut", 1_500).await?;
    let first = stream.next().await.ok_or("the stream ended before its first chunk")??;
    keys::write(fleet.folder())?;
    let names = [fleet.agent_names(), fleet.plan().entry_names()].concat();
    for name in &names {
        fleet.reload(name)?;
    }
    for name in &names {
        eventually(&format!("{name} has reloaded its certificates"), || async {
            fleet.log_of(name).contains("certificates read again").then_some(())
        })
        .await?;
    }
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.read_remainder().await?;
    assert!(is_complete(&events));
    assert_eq!(streamed_text(&events), expected_text("uncut", 1_500));
    // New processes have certificates of the new authority only: a process that hadn't reloaded would reject them.
    for name in fleet.agent_names() {
        fleet.kill(&name);
        fleet.start_agent(&name)?;
    }
    fleet.wait_until_ready().await?;
    let after = fleet.send_chat("entry-1", "teal", "after", 2).await?;
    assert!(after.text().contains(&expected_text("after", 2)), "{}", after.text());
    Ok(())
}
