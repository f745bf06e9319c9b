//! Processes receive observations from each other, and never treat one as more recent than it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sparscale_belief::Board;
use sparscale_catalog::{Catalog, Directory, Document, Incarnations, Roster};
use sparscale_clock::{Clock, SystemClock};
use sparscale_mesh::{LOAD_INTERVAL_STEP, Mesh, Settings, link_clock};
use sparscale_policy::rate_limit::Rate;
use sparscale_samples as samples;
use sparscale_wire::{Endpoint, Identity, Role, group};
use tokio::time::Instant;

struct Process {
    board: Arc<Board>,
    mesh: Arc<Mesh>,
    address: SocketAddr,
}

fn process(role: Role, seeds: &[SocketAddr]) -> Process {
    process_with_limit(role, seeds, 16)
}

fn process_with_limit(role: Role, seeds: &[SocketAddr], few_entries: usize) -> Process {
    process_with_clock(sparscale_clock::system_clock(), role, seeds, few_entries)
}

fn process_with_clock(clock: Arc<dyn Clock>, role: Role, seeds: &[SocketAddr], few_entries: usize) -> Process {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = Endpoint::bind(any, Identity::SelfSigned(role)).expect("a free port");
    let address = endpoint.local_address().expect("an address");
    let board = Arc::new(Board::new(clock));
    let settings = Settings {
        address,
        role,
        seeds: seeds.to_vec(),
        interval: Duration::from_millis(20),
        entries_per_load_step: few_entries,
    };
    let mesh = Mesh::new(settings, Arc::clone(&board), Arc::new(endpoint));
    match role {
        Role::Entry => drop(tokio::spawn(Arc::clone(&mesh).run_entry_links())),
        Role::Agent => drop(tokio::spawn(Arc::clone(&mesh).run_agent_link())),
    }
    tokio::spawn(Arc::clone(&mesh).accept());
    Process { board, mesh, address }
}

/// Starts an entry and `count` others, and waits until each of the others knows all of them.
async fn start_entries(count: usize) -> (Process, Vec<Process>) {
    let first = process(Role::Entry, &[]);
    let others: Vec<Process> = (0..count).map(|_| process(Role::Entry, &[first.address])).collect();
    for other in &others {
        let mut status = other.mesh.status();
        let complete = status.wait_for(|status| status.entries == count + 1).await;
        drop(complete.expect("a mesh"));
    }
    (first, others)
}

fn catalog(document: Document) -> Arc<Catalog> {
    Arc::new(Catalog::try_from(document).expect("a valid catalog"))
}

fn load(message: u64) -> group::Load {
    load_of("g", message)
}

fn load_of(group: &str, message: u64) -> group::Load {
    group::Load {
        group: group.to_owned(),
        sequence: (1, message),
        is_running: true,
        skew: 1.0,
        mean_pass_micros: 0,
        latest_pass: 0,
        rank_loads: Vec::new(),
    }
}

#[tokio::test]
async fn entries_share_observations() {
    let first = process(Role::Entry, &[]);
    let second = process(Role::Entry, &[first.address]);
    let third = process(Role::Entry, &[second.address]);
    let queried_at = first.board.now();
    first
        .board
        .merge_catalog(catalog(samples::document(4)), queried_at, "test");
    first
        .board
        .merge_roster(Arc::new(samples::roster()), 9, queried_at, "test");
    let mut catalogs = third.board.subscribe_catalogs();
    let mut rosters = third.board.subscribe_targets();
    let received = catalogs.wait_for(Option::is_some).await.expect("a board").clone();
    let observed = received.expect("a catalog");
    assert_eq!(observed.value.version(), 4);
    assert!(
        observed.as_of <= queried_at + Duration::from_millis(2),
        "treated as more recent than it is"
    );
    drop(rosters.wait_for(Option::is_some).await.expect("a board"));
    let received = third.board.store_roster();
    assert_eq!(
        received.map(|observed| (observed.position, observed.value)),
        Some((9.into(), Arc::new(samples::roster())))
    );
    let directory = third.board.targets().expect("a list of targets").value;
    let targets: Vec<_> = directory
        .instances()
        .iter()
        .map(|instance| instance.target.clone())
        .collect();
    assert_eq!(targets, samples::roster().targets);
}

/// A catalog is sent about once to each entry, not from each entry to each other.
#[tokio::test]
async fn catalog_sent_once() {
    const OTHERS: usize = 6;
    let (first, others) = start_entries(OTHERS).await;
    for version in 1..=5 {
        let queried_at = first.board.now();
        first
            .board
            .merge_catalog(catalog(samples::document(version)), queried_at, "test");
        for other in &others {
            let mut catalogs = other.board.subscribe_catalogs();
            let received =
                catalogs.wait_for(|latest| latest.as_ref().is_some_and(|latest| latest.position == version.into()));
            drop(received.await.expect("a board"));
        }
        // Messages in flight arrive.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let received: u64 = others.iter().map(|other| other.mesh.traffic().catalogs).sum();
    // One each, and as many again for requests that were repeated after a timeout.
    assert!(
        received <= 2 * 5 * OTHERS as u64,
        "{received} catalogs for {OTHERS} entries"
    );
}

/// A roster is sent about once to each entry, not from each entry to each other.
#[tokio::test]
async fn roster_sent_once() {
    const OTHERS: usize = 6;
    let (first, others) = start_entries(OTHERS).await;
    for position in 1..=5 {
        let target = samples::target("m-1", samples::MODEL_SERVICE, 9_000 + position as u16);
        let roster = Arc::new(Roster::new(vec![target]));
        first.board.merge_roster(roster, position, first.board.now(), "test");
        for other in &others {
            let mut rosters = other.board.subscribe_targets();
            let received =
                rosters.wait_for(|latest| latest.as_ref().is_some_and(|latest| latest.position == position.into()));
            drop(received.await.expect("a board"));
        }
        // Messages in flight arrive.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let received: u64 = others.iter().map(|other| other.mesh.traffic().rosters).sum();
    assert!(
        received <= 2 * 5 * OTHERS as u64,
        "{received} rosters for {OTHERS} entries"
    );
}

/// Heartbeats only advance the position in the store's history, so an unchanged roster is not sent again.
#[tokio::test]
async fn unchanged_roster_not_resent() {
    let first = process(Role::Entry, &[]);
    let second = process(Role::Entry, &[first.address]);
    for position in 1..=5 {
        first
            .board
            .merge_roster(Arc::new(samples::roster()), position, first.board.now(), "test");
        while second
            .board
            .targets()
            .is_none_or(|latest| latest.position < position.into())
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    assert_eq!(second.mesh.traffic().rosters, 1);
}

/// An entry sends loads when they are new to it, not again whenever it receives loads from another entry.
#[tokio::test]
async fn loads_sent_once() {
    const MESSAGES: u64 = 40;
    let first = process(Role::Entry, &[]);
    let second = process(Role::Entry, &[first.address]);
    let third = process(Role::Entry, &[first.address]);
    for entry in [&first, &second, &third] {
        let mut status = entry.mesh.status();
        drop(status.wait_for(|status| status.entries == 3).await.expect("a mesh"));
    }
    first.mesh.merge_group_load(load_of("g", 1), true);
    let mut changes = third.mesh.subscribe_group_loads();
    for message in 1..=MESSAGES {
        second.mesh.merge_group_load(load_of("h", message), true);
        while third.mesh.group_load("h").is_none_or(|load| load.sequence.1 < message) {
            assert!(changes.next().await);
        }
        // Messages that the first entry sends in response arrive.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let received = third.mesh.traffic().loads;
    // Some more if a link was dialled from both sides.
    assert!(
        received <= MESSAGES + MESSAGES / 4,
        "{received} messages about {} loads",
        MESSAGES + 1
    );
    assert!(third.mesh.group_load("g").is_some());
}

/// Among many entries, loads are forwarded less often, and only the latest ones.
#[tokio::test]
async fn loads_delayed_among_many_entries() {
    let first = process_with_limit(Role::Entry, &[], 1);
    let second = process_with_limit(Role::Entry, &[first.address], 1);
    for entry in [&first, &second] {
        let mut status = entry.mesh.status();
        drop(status.wait_for(|status| status.entries == 2).await.expect("a mesh"));
    }
    let started_at = Instant::now();
    for message in 1..=30 {
        first.mesh.merge_group_load(load_of("g", message), true);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    while second.mesh.group_load("g").is_none_or(|load| load.sequence.1 < 30) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let intervals = started_at.elapsed().as_millis() / LOAD_INTERVAL_STEP.as_millis();
    let received = u128::from(second.mesh.traffic().loads);
    assert!(
        received <= intervals + 2,
        "{received} messages in {intervals} intervals"
    );
}

/// The list of entries is sent when it changes, and seldom otherwise.
#[tokio::test]
async fn unchanged_entries_seldom_sent() {
    const OTHERS: usize = 6;
    let (first, _others) = start_entries(OTHERS).await;
    // Extra links, dialled from both sides, end in this time.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = first.mesh.traffic().addresses;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let received = first.mesh.traffic().addresses - before;
    // Each entry sends 40 messages; with all addresses in each, that would be 1,680.
    assert!(received <= 400, "{received} addresses without a change");
}

/// An agent's catalog has no routes; an entry that used it would answer 404 to every caller.
#[tokio::test]
async fn entry_ignores_agent_catalog() {
    let entry = process(Role::Entry, &[]);
    let agent = process(Role::Agent, &[entry.address]);
    let without_routes = Document {
        routes: Vec::new(),
        ..samples::document(4)
    };
    agent
        .board
        .merge_catalog(catalog(without_routes), agent.board.now(), "test");
    // Loads arrive on the same stream after anything that the agent sent before; several exchanges pass between them.
    let mut changes = entry.mesh.subscribe_group_loads();
    for message in 1..=5 {
        agent.mesh.merge_group_load(load(message), true);
        while entry.mesh.group_load("g").is_none_or(|load| load.sequence.1 < message) {
            assert!(changes.next().await);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert!(entry.board.catalog().is_none());
}

#[tokio::test]
async fn agent_receives_services() {
    let entry = process(Role::Entry, &[]);
    let agent = process(Role::Agent, &[entry.address]);
    entry
        .board
        .merge_catalog(catalog(samples::document(4)), entry.board.now(), "test");
    let mut catalogs = agent.board.subscribe_catalogs();
    let received = catalogs.wait_for(Option::is_some).await.expect("a board").clone();
    let received = received.expect("a catalog").value;
    assert!(received.find_service(samples::MODEL_SERVICE).is_some());
    assert!(!received.has_workspaces(), "API keys must not leave the entries");
}

/// The ages that a process sends after its box was suspended include the suspended time.
#[tokio::test]
async fn age_includes_suspended_time() {
    const SUSPENDED: Duration = Duration::from_secs(30);
    let clock = Arc::new(samples::SuspendableClock::default());
    let first = process_with_clock(Arc::clone(&clock) as Arc<dyn Clock>, Role::Entry, &[], 16);
    let queried_at = first.board.now();
    first
        .board
        .merge_catalog(catalog(samples::document(4)), queried_at, "test");
    clock.suspend_for(SUSPENDED);
    let second = process(Role::Entry, &[first.address]);
    let mut catalogs = second.board.subscribe_catalogs();
    drop(catalogs.wait_for(Option::is_some).await.expect("a board"));
    let age = second.board.catalog_age().expect("a catalog");
    assert!(age >= SUSPENDED, "the catalog counts as only {age:?} old");
}

/// The computed time of an observation is never later than the true one, whatever the delays on the way and at either
/// side.
#[test]
fn ages_never_shrink() {
    fn holds(delay_to: u16, held: u16, age: u16, delay_back: u16) -> bool {
        let start = SystemClock::default().now();
        let at = |millis: u64| start + Duration::from_millis(millis);
        let (delay_to, held, delay_back) = (u64::from(delay_to), u64::from(held), u64::from(delay_back));
        let mut own = link_clock::Clock::new(start);
        let mut peer = link_clock::Clock::new(at(0));
        let stamp = own.stamp(at(100));
        peer.record_received(stamp, at(100 + delay_to));
        let sent_at = 100 + delay_to + held;
        let Some(echo) = peer.echo(at(sent_at)) else {
            return false;
        };
        own.record_received(1, at(sent_at + delay_back));
        let age = u64::from(age).min(sent_at);
        let true_as_of = at(sent_at - age);
        own.as_of(echo, age).is_none_or(|as_of| as_of <= true_as_of)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10_000, 71))
        .tests(2_000)
        .quickcheck(holds as fn(u16, u16, u16, u16) -> bool);
}

/// An entry receives a target's rate limit, and its end, from the entry to which the target announced them.
#[tokio::test(flavor = "multi_thread")]
async fn limits_told() {
    let (first, others) = start_entries(2).await;
    let target = samples::target("t-1", samples::MODEL_SERVICE, 1);
    let roster = Roster::new(vec![target]);
    let directory = Directory::new(&roster, &mut Incarnations::default());
    let instance = directory.instances().first().expect("a target");
    for rate in [Some(2.0), None] {
        let announced = rate.map(|rate| Rate::try_from(rate).expect("a rate"));
        others[0].board.throttle.record_notice(instance, announced, false);
        for process in [&first, &others[1]] {
            let mut changes = process.board.throttle.subscribe();
            let received = async {
                while process.board.throttle.rate(instance) != rate {
                    changes.changed().await.expect("a board");
                }
            };
            tokio::time::timeout(Duration::from_secs(10), received)
                .await
                .expect("the peer must receive the limit within 10 s");
        }
    }
}
