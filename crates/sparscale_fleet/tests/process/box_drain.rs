//! A planned shutdown interrupts no response, and a draining process receives no new requests.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::boxes::Standing;

use crate::response_check::{expected_text, is_complete, streamed_text};

/// Number of attempts that the agent called `name` has forwarded to its target.
fn forwarded_count(fleet: &Fleet, name: &str) -> usize {
    fleet.log_of(name).matches("\"handed on\"").count()
}

#[tokio::test]
async fn agent_terminated() -> Result<(), Error> {
    let mut fleet = Fleet::start("agent-stops", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "to the end", 1_000).await?;
    let first = stream.next().await.ok_or("the stream ended before its first chunk")??;
    fleet.terminate("rank-0")?;
    eventually("the agent drains", || async {
        fleet.log_of("rank-0").contains("told to stop").then_some(())
    })
    .await?;
    let before = forwarded_count(&fleet, "rank-0");
    for _ in 0..5 {
        let response = fleet.send_chat("entry-0", "teal", "meanwhile", 2).await?;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    assert_eq!(
        forwarded_count(&fleet, "rank-0"),
        before,
        "a draining agent must receive no new requests"
    );
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.read_remainder().await?;
    assert!(is_complete(&events));
    assert_eq!(streamed_text(&events), expected_text("to the end", 1_000));
    assert!(fleet.wait_for_exit("rank-0").await?);
    Ok(())
}

#[tokio::test]
async fn entry_terminated() -> Result<(), Error> {
    let mut fleet = Fleet::start("entry-stops", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "to the end", 1_500).await?;
    let first = stream.next().await.ok_or("the stream ended before its first chunk")??;
    fleet.terminate("entry-0")?;
    eventually("the entry reports that it is not ready", || async {
        match fleet.send_to_entry("entry-0", http::Method::GET, "/readyz").await {
            Ok(response) => (response.status == StatusCode::SERVICE_UNAVAILABLE).then_some(()),
            // The entry may have closed its listener already.
            Err(_) => Some(()),
        }
    })
    .await?;
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.read_remainder().await?;
    assert!(is_complete(&events));
    assert_eq!(streamed_text(&events), expected_text("to the end", 1_500));
    assert!(fleet.wait_for_exit("entry-0").await?);
    Ok(())
}

/// The box list shows a box as leaving: its agent drains without a signal, and entries send it no new requests.
#[tokio::test]
async fn listed_as_leaving() -> Result<(), Error> {
    let fleet = Fleet::start("listed-as-leaving", Plan::default()).await?;
    let mut list = fleet.box_list();
    for listed in &mut list.boxes {
        if listed.name == "rank-0" {
            listed.standing = Standing::Draining;
        }
    }
    fleet.put_boxes(&list).await?;
    eventually("the agent drains", || async {
        fleet
            .log_of("rank-0")
            .contains("shows this box as leaving")
            .then_some(())
    })
    .await?;
    let before = forwarded_count(&fleet, "rank-0");
    for entry in ["entry-0", "entry-1", "entry-0"] {
        let response = fleet.send_chat(entry, "teal", "elsewhere", 2).await?;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    assert_eq!(forwarded_count(&fleet, "rank-0"), before);
    Ok(())
}
