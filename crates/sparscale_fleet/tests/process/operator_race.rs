//! Operators act concurrently: the first record in the log wins, and the other operator's program names its author and
//! offset.

use sparscale_fleet::{Error, Fleet, Plan};

#[tokio::test]
async fn first_publication_wins() -> Result<(), Error> {
    let fleet = Fleet::start("first-wins", Plan::default()).await?;
    let alice_path = fleet.write_bundle(&fleet.document(2))?;
    let mut other = fleet.document(2);
    other.workspaces[0].weight = 9;
    let bob_path = fleet.folder().join("theirs.json");
    let text = serde_json::to_string(&other).map_err(|error| error.to_string())?;
    std::fs::write(&bob_path, text).map_err(|error| error.to_string())?;
    let bob_path = bob_path.display().to_string();
    let (alice_arguments, bob_arguments) = (
        ["--json", "bundle", "publish", &alice_path],
        ["--json", "bundle", "publish", &bob_path],
    );
    let (first, second) = tokio::join!(
        fleet.run_operator("alice", &alice_arguments),
        fleet.run_operator("bob", &bob_arguments),
    );
    let (first, second) = (first?, second?);
    let codes = [first.status.code(), second.status.code()];
    assert!(codes == [Some(0), Some(1)] || codes == [Some(1), Some(0)], "{codes:?}");
    let loser = if codes[0] == Some(1) { first } else { second };
    let output = String::from_utf8_lossy(&loser.stdout).into_owned();
    assert!(
        output.contains("was published by") && output.contains("at offset"),
        "{output}"
    );
    Ok(())
}

#[tokio::test]
async fn no_self_approval() -> Result<(), Error> {
    let fleet = Fleet::start("no-self-approval", Plan::default()).await?;
    let path = fleet.write_bundle(&fleet.document(2))?;
    let published = fleet.run_operator("alice", &["bundle", "publish", &path]).await?;
    assert!(published.status.success());
    let own_approval = fleet.run_operator("alice", &["bundle", "approve", "2"]).await?;
    assert_eq!(own_approval.status.code(), Some(1));
    let early_roll = fleet.run_operator("bob", &["bundle", "roll", "2"]).await?;
    assert_eq!(early_roll.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&early_roll.stdout).contains("not approved"));
    Ok(())
}
