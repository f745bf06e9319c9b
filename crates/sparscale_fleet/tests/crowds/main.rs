//! Crowds of callers that do not behave, against a real entry with its agents. What is checked does not depend on the
//! speed of the machine: the process lives, its memory and descriptors stay within bounds, and an ordinary request is
//! answered.
//!
//! Each test runs alone, see `scripts/test`.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use sparscale_crowd::{Crowd, Framing, Monitor, Script, wait_until_settled};
use sparscale_fleet::{Client, Error, Fleet, MODEL, Plan, caller_key};

/// Memory of a node, in bytes.
const NODE_MEMORY: u64 = 256_000_000;
/// Descriptors of a node.
const NODE_DESCRIPTORS: usize = 4_200;
/// Largest body that the settings of the tests allow, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Descriptors that the processes may open in the tests of descriptors.
const FEW_DESCRIPTORS: u64 = 512;
/// Callers with long heads: together more than the memory of the node.
const HEADS_CROWD: usize = 800;
/// Callers with bodies: as many as the workspaces may have in flight.
const BODIES_CROWD: usize = 400;
/// Time after which the crowd is judged even if some of its callers still send.
const CROWD_TIMEOUT: Duration = Duration::from_mins(1);
const ENTRY: &str = "entry-0";

async fn start(name: &str) -> Result<Fleet, Error> {
    let plan = Plan {
        max_body_bytes: MAX_BODY_BYTES,
        ..Plan::default()
    };
    Fleet::start(name, plan).await
}

fn callers(fleet: &Fleet) -> SocketAddr {
    let url = fleet.callers_url(ENTRY);
    url.trim_start_matches("http://").parse().expect("an address")
}

/// Request line and headers of a chat request of the workspace `teal` or `umber`, without those for the framing.
fn head(caller: usize) -> String {
    let key = caller_key(if caller.is_multiple_of(2) { "teal" } else { "umber" });
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\nx-deadline-ms: 60000\r\n"
    )
}

fn half_head(bytes: usize) -> Vec<u8> {
    let start = "GET /healthz HTTP/1.1\r\nhost: entry\r\n".to_owned();
    let line = format!("x-filler: {}\r\n", "x".repeat(8 << 10));
    (start + &line.repeat(bytes / line.len())).into_bytes()
}

/// Whether an ordinary request on a new connection is served.
async fn is_served(fleet: &Fleet) -> bool {
    let url = format!("{}/v1/chat/completions", fleet.callers_url(ENTRY));
    let key = format!("Bearer {}", caller_key("teal"));
    let body =
        format!(r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"an ordinary one"}}],"max_tokens":2}}"#);
    let client = Client::default();
    let headers = [("authorization", key.as_str())];
    let response = client.send(http::Method::POST, &url, &headers, &body).await;
    response.is_ok_and(|response| response.status.is_success())
}

/// Plays the crowd; an ordinary request is answered beside it, or after it where the crowd uses up the workspace's own
/// limit of requests.
async fn assert_withstands(fleet: &Fleet, scripts: Vec<Script>, is_served_beside: bool) {
    let process = fleet.process_id(ENTRY).expect("the entry");
    let monitor = Monitor::start(process, vec![callers(fleet).port()]);
    let crowd = Crowd::start(scripts);
    crowd.wait_until_sent(CROWD_TIMEOUT).await;
    wait_until_settled(process, CROWD_TIMEOUT).await;
    let beside = fleet.send_to_entry(ENTRY, http::Method::GET, "/healthz").await;
    if is_served_beside {
        assert!(is_served(fleet).await, "an ordinary request beside the crowd");
    }
    crowd.close().await;
    assert!(
        beside.is_ok_and(|response| response.status.is_success()),
        "the liveness check"
    );
    let peak = monitor.peak();
    println!(
        "at most {} MB, {} descriptors",
        peak.memory / 1_000_000,
        peak.descriptors
    );
    assert!(peak.memory <= NODE_MEMORY, "{peak:?}");
    assert!(peak.descriptors <= NODE_DESCRIPTORS, "{peak:?}");
    assert!(is_served(fleet).await, "an ordinary request after the crowd");
    assert_eq!(fleet.process_id(ENTRY), Some(process));
}

#[tokio::test]
#[ignore = "runs alone, see scripts/test"]
async fn own_path_half_heads() -> Result<(), Error> {
    let fleet = start("crowd-heads").await?;
    let heads = (0..HEADS_CROWD).map(|_| Script::head(callers(&fleet), half_head(390 << 10)));
    assert_withstands(&fleet, heads.collect(), true).await;
    Ok(())
}

#[tokio::test]
#[ignore = "runs alone, see scripts/test"]
async fn own_path_bodies() -> Result<(), Error> {
    let fleet = start("crowd-bodies").await?;
    let announced = Framing::Length {
        announced: MAX_BODY_BYTES,
    };
    let body = |caller| Script::body(callers(&fleet), &head(caller), announced, MAX_BODY_BYTES - 1);
    assert_withstands(&fleet, (0..BODIES_CROWD).map(body).collect(), false).await;
    Ok(())
}

#[tokio::test]
#[ignore = "runs alone, see scripts/test"]
async fn own_path_tiny_chunks() -> Result<(), Error> {
    let fleet = start("crowd-chunks").await?;
    let chunks = Framing::Chunks { bytes: 1 };
    let body = |caller| Script::body(callers(&fleet), &head(caller), chunks, MAX_BODY_BYTES / 8);
    assert_withstands(&fleet, (0..BODIES_CROWD / 4).map(body).collect(), true).await;
    Ok(())
}

#[tokio::test]
#[ignore = "runs alone, see scripts/test"]
async fn own_path_silent() -> Result<(), Error> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, FEW_DESCRIPTORS, hard).expect("a lower limit");
    let fleet = start("crowd-silent").await;
    setrlimit(Resource::RLIMIT_NOFILE, soft, hard).expect("the limit of before");
    let fleet = fleet?;
    let silent = (0..HEADS_CROWD).map(|_| Script::silent(callers(&fleet)));
    assert_withstands(&fleet, silent.collect(), true).await;
    Ok(())
}
