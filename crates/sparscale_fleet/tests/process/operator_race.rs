//! Operators race one another: the first in offset order wins, and the other is told so by name.

use sparscale_fleet::{Error, Fleet, Plan};

#[tokio::test]
async fn first_wins() -> Result<(), Error> {
    let fleet = Fleet::start("first-wins", Plan::default()).await?;
    let ours = fleet.write_bundle(&fleet.document(2))?;
    let mut other = fleet.document(2);
    other.workspaces[0].weight = 9;
    let theirs = fleet.folder().join("theirs.json");
    let text = serde_json::to_string(&other).map_err(|error| error.to_string())?;
    std::fs::write(&theirs, text).map_err(|error| error.to_string())?;
    let theirs = theirs.display().to_string();
    let (publish_ours, publish_theirs) = (
        ["--json", "bundle", "publish", &ours],
        ["--json", "bundle", "publish", &theirs],
    );
    let (first, second) = tokio::join!(
        fleet.operator("alice", &publish_ours),
        fleet.operator("bob", &publish_theirs),
    );
    let (first, second) = (first?, second?);
    let codes = [first.status.code(), second.status.code()];
    assert!(codes == [Some(0), Some(1)] || codes == [Some(1), Some(0)], "{codes:?}");
    let loser = if codes[0] == Some(1) { first } else { second };
    let told = String::from_utf8_lossy(&loser.stdout).into_owned();
    assert!(
        told.contains("was published by") && told.contains("at offset"),
        "{told}"
    );
    Ok(())
}

#[tokio::test]
async fn no_self_approval() -> Result<(), Error> {
    let fleet = Fleet::start("no-self-approval", Plan::default()).await?;
    let path = fleet.write_bundle(&fleet.document(2))?;
    let published = fleet.operator("alice", &["bundle", "publish", &path]).await?;
    assert!(published.status.success());
    let own = fleet.operator("alice", &["bundle", "approve", "2"]).await?;
    assert_eq!(own.status.code(), Some(1));
    let early = fleet.operator("bob", &["bundle", "roll", "2"]).await?;
    assert_eq!(early.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&early.stdout).contains("not approved"));
    Ok(())
}
