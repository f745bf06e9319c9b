//! A process without a certificate of the system is refused; renewed certificates come in use without a cut.

use std::fs;

use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::keys;

use crate::answer_check::{says_whole, streamed_text, whole_answer};

/// An entry with a certificate of the same authority, but for no role of the system, is refused and logged.
#[tokio::test]
async fn stranger_refused() -> Result<(), Error> {
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
    eventually("the stranger is refused", || async {
        let refused = |name: &String| fleet.log_of(name).contains("connection_refused");
        fleet.agent_names().iter().any(refused).then_some(())
    })
    .await?;
    let reply = fleet.send_chat("entry-1", "teal", "let me in", 1).await?;
    assert_eq!(reply.member("outcome").as_deref(), Some("not_run"), "{}", reply.text());
    Ok(())
}

/// All certificates are replaced by those of the same authority's files, read again on SIGHUP in mid-stream.
#[tokio::test]
async fn renewed_in_stream() -> Result<(), Error> {
    let mut fleet = Fleet::start("renewed-in-stream", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "uncut", 1_500).await?;
    let first = stream.next().await.ok_or("the stream begins")??;
    keys::write(fleet.folder())?;
    let names = [fleet.agent_names(), fleet.plan().entry_names()].concat();
    for name in &names {
        fleet.reload(name)?;
    }
    for name in &names {
        eventually(&format!("{name} has read its certificates"), || async {
            fleet.log_of(name).contains("certificates read again").then_some(())
        })
        .await?;
    }
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.rest().await?;
    assert!(says_whole(&events));
    assert_eq!(streamed_text(&events), whole_answer("uncut", 1_500));
    // New processes have certificates of the new authority only: who had not read it again would refuse them.
    for name in fleet.agent_names() {
        fleet.kill(&name);
        fleet.start_agent(&name)?;
    }
    fleet.wait_until_ready().await?;
    let after = fleet.send_chat("entry-1", "teal", "after", 2).await?;
    assert!(after.text().contains(&whole_answer("after", 2)), "{}", after.text());
    Ok(())
}
