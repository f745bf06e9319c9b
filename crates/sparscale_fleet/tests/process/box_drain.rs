//! Planned stops cut nothing off, and what leaves gets no new work.

use http::StatusCode;
use sparscale_fleet::{Error, Fleet, Plan, eventually};
use sparscale_standin::boxes::Standing;

use crate::answer_check::{says_whole, streamed_text, whole_answer};

/// Attempts that the agent called `name` has handed on.
fn handed_on(fleet: &Fleet, name: &str) -> usize {
    fleet.log_of(name).matches("\"handed on\"").count()
}

#[tokio::test]
async fn agent_stops() -> Result<(), Error> {
    let mut fleet = Fleet::start("agent-stops", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "to the end", 1_000).await?;
    let first = stream.next().await.ok_or("the stream begins")??;
    fleet.terminate("rank-0")?;
    eventually("the agent drains", || async {
        fleet.log_of("rank-0").contains("told to stop").then_some(())
    })
    .await?;
    let before = handed_on(&fleet, "rank-0");
    for _ in 0..5 {
        let reply = fleet.send_chat("entry-0", "teal", "meanwhile", 2).await?;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert_eq!(handed_on(&fleet, "rank-0"), before, "a draining agent gets no new work");
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.rest().await?;
    assert!(says_whole(&events));
    assert_eq!(streamed_text(&events), whole_answer("to the end", 1_000));
    assert!(fleet.wait_for_exit("rank-0").await?);
    Ok(())
}

#[tokio::test]
async fn entry_stops() -> Result<(), Error> {
    let mut fleet = Fleet::start("entry-stops", Plan::default()).await?;
    let mut stream = fleet.stream_chat("entry-0", "teal", "to the end", 1_500).await?;
    let first = stream.next().await.ok_or("the stream begins")??;
    fleet.terminate("entry-0")?;
    eventually("the entry says no to the balancer", || async {
        match fleet.ask_entry("entry-0", http::Method::GET, "/readyz").await {
            Ok(reply) => (reply.status == StatusCode::SERVICE_UNAVAILABLE).then_some(()),
            // It may have closed its listener already.
            Err(_) => Some(()),
        }
    })
    .await?;
    let events = String::from_utf8_lossy(&first).into_owned() + &stream.rest().await?;
    assert!(says_whole(&events));
    assert_eq!(streamed_text(&events), whole_answer("to the end", 1_500));
    assert!(fleet.wait_for_exit("entry-0").await?);
    Ok(())
}

/// The list shows a box as leaving: its agent drains by itself, and entries send it nothing new.
#[tokio::test]
async fn listed_as_leaving() -> Result<(), Error> {
    let fleet = Fleet::start("listed-as-leaving", Plan::default()).await?;
    let mut list = fleet.box_list();
    for listed in &mut list.boxes {
        if listed.name == "rank-0" {
            listed.standing = Standing::Leaving;
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
    let before = handed_on(&fleet, "rank-0");
    for entry in ["entry-0", "entry-1", "entry-0"] {
        let reply = fleet.send_chat(entry, "teal", "elsewhere", 2).await?;
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert_eq!(handed_on(&fleet, "rank-0"), before);
    Ok(())
}
