//! Processes hear of the world outside from each other, and never take a belief for younger than it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sparscale_belief::Board;
use sparscale_catalog::{Catalog, Directory, Document, Incarnations, Roster};
use sparscale_clock::{Clock, Machine};
use sparscale_mesh::{LOADS_PAUSE, Mesh, Settings, Stamps};
use sparscale_policy::rate_limit::Rate;
use sparscale_samples as samples;
use sparscale_wire::{Endpoint, GroupLoad, Identity, Role};
use tokio::time::Instant;

struct Process {
    board: Arc<Board>,
    mesh: Arc<Mesh>,
    address: SocketAddr,
}

fn process(role: Role, seeds: &[SocketAddr]) -> Process {
    process_among(role, seeds, 16)
}

fn process_among(role: Role, seeds: &[SocketAddr], few_entries: usize) -> Process {
    process_by(sparscale_clock::machine(), role, seeds, few_entries)
}

fn process_by(clock: Arc<dyn Clock>, role: Role, seeds: &[SocketAddr], few_entries: usize) -> Process {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = Endpoint::bind(any, Identity::Made(role)).expect("a free port");
    let address = endpoint.local_address().expect("an address");
    let board = Arc::new(Board::new(clock));
    let settings = Settings {
        address,
        role,
        seeds: seeds.to_vec(),
        interval: Duration::from_millis(20),
        few_entries,
    };
    let mesh = Mesh::new(settings, Arc::clone(&board), Arc::new(endpoint));
    match role {
        Role::Entry => drop(tokio::spawn(Arc::clone(&mesh).link_entries())),
        Role::Agent => drop(tokio::spawn(Arc::clone(&mesh).follow_one())),
    }
    tokio::spawn(Arc::clone(&mesh).accept());
    Process { board, mesh, address }
}

/// An entry and `count` others, when each of the others knows all of them.
async fn gathered(count: usize) -> (Process, Vec<Process>) {
    let first = process(Role::Entry, &[]);
    let others: Vec<Process> = (0..count).map(|_| process(Role::Entry, &[first.address])).collect();
    for other in &others {
        let mut line = other.mesh.line();
        let all = line.wait_for(|line| line.entries == count + 1).await;
        drop(all.expect("a mesh"));
    }
    (first, others)
}

fn catalog(document: Document) -> Arc<Catalog> {
    Arc::new(Catalog::try_from(document).expect("a sound catalog"))
}

fn group(message: u64) -> GroupLoad {
    load_of("g", message)
}

fn load_of(group: &str, message: u64) -> GroupLoad {
    GroupLoad {
        group: group.to_owned(),
        order: (1, message),
        open: true,
        skew: 1.0,
        pass_micros: 0,
        pass: 0,
        ranks: Vec::new(),
    }
}

#[tokio::test]
async fn entries_share() {
    let first = process(Role::Entry, &[]);
    let second = process(Role::Entry, &[first.address]);
    let third = process(Role::Entry, &[second.address]);
    let asked = first.board.now();
    first.board.offer_catalog(catalog(samples::document(4)), asked, "test");
    first.board.offer_roster(Arc::new(samples::roster()), 9, asked, "test");
    let mut catalogs = third.board.catalogs();
    let mut rosters = third.board.target_lists();
    let heard = catalogs.wait_for(Option::is_some).await.expect("a board").clone();
    let belief = heard.expect("a catalog");
    assert_eq!(belief.value.version(), 4);
    assert!(belief.as_of <= asked + Duration::from_millis(2), "younger than it is");
    drop(rosters.wait_for(Option::is_some).await.expect("a board"));
    let heard = third.board.told_roster();
    assert_eq!(
        heard.map(|belief| (belief.position, belief.value)),
        Some((9.into(), Arc::new(samples::roster())))
    );
    let goes_by = third.board.targets().expect("a list of targets").value;
    let targets: Vec<_> = goes_by.seats().iter().map(|seat| seat.target.clone()).collect();
    assert_eq!(targets, samples::roster().targets);
}

/// A long catalog goes to each entry about once, not from each to each.
#[tokio::test]
async fn asked_once() {
    const OTHERS: usize = 6;
    let (first, others) = gathered(OTHERS).await;
    for version in 1..=5 {
        let asked = first.board.now();
        first
            .board
            .offer_catalog(catalog(samples::document(version)), asked, "test");
        for other in &others {
            let mut catalogs = other.board.catalogs();
            let told = catalogs.wait_for(|known| known.as_ref().is_some_and(|known| known.position == version.into()));
            drop(told.await.expect("a board"));
        }
        // What is still on its way arrives.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let heard: u64 = others.iter().map(|other| other.mesh.traffic().catalogs).sum();
    // Each once, and as many again if some did not come at once.
    assert!(heard <= 2 * 5 * OTHERS as u64, "{heard} catalogs for {OTHERS} entries");
}

/// So does a long roster.
#[tokio::test]
async fn rosters_asked_once() {
    const OTHERS: usize = 6;
    let (first, others) = gathered(OTHERS).await;
    for position in 1..=5 {
        let target = samples::target("m-1", samples::MODEL, 9_000 + position as u16);
        let roster = Arc::new(Roster::new(vec![target]));
        first.board.offer_roster(roster, position, first.board.now(), "test");
        for other in &others {
            let mut rosters = other.board.target_lists();
            let told = rosters.wait_for(|known| known.as_ref().is_some_and(|known| known.position == position.into()));
            drop(told.await.expect("a board"));
        }
        // What is still on its way arrives.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let heard: u64 = others.iter().map(|other| other.mesh.traffic().rosters).sum();
    assert!(heard <= 2 * 5 * OTHERS as u64, "{heard} rosters for {OTHERS} entries");
}

/// Heartbeats move the place in the store's history, and nothing else: the roster does not go again.
#[tokio::test]
async fn same_roster_stays() {
    let first = process(Role::Entry, &[]);
    let second = process(Role::Entry, &[first.address]);
    for position in 1..=5 {
        first
            .board
            .offer_roster(Arc::new(samples::roster()), position, first.board.now(), "test");
        while second
            .board
            .targets()
            .is_none_or(|known| known.position < position.into())
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    assert_eq!(second.mesh.traffic().rosters, 1);
}

/// An entry's own loads go out when they are new, not whenever another entry's are.
#[tokio::test]
async fn loads_sent_once() {
    const NEWS: u64 = 40;
    let first = process(Role::Entry, &[]);
    let second = process(Role::Entry, &[first.address]);
    let third = process(Role::Entry, &[first.address]);
    for entry in [&first, &second, &third] {
        let mut line = entry.mesh.line();
        drop(line.wait_for(|line| line.entries == 3).await.expect("a mesh"));
    }
    first.mesh.offer_group(load_of("g", 1), true);
    let mut news = third.mesh.group_news();
    for message in 1..=NEWS {
        second.mesh.offer_group(load_of("h", message), true);
        while third.mesh.group("h").is_none_or(|load| load.order.1 < message) {
            assert!(news.next().await);
        }
        // What the first entry says on hearing it arrives.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let heard = third.mesh.traffic().loads;
    // Some more, if a link was dialled from both sides.
    assert!(heard <= NEWS + NEWS / 4, "{heard} messages about {} loads", NEWS + 1);
    assert!(third.mesh.group("g").is_some());
}

/// Among many entries loads are passed on less often, the latest ones only.
#[tokio::test]
async fn crowd_waits() {
    let first = process_among(Role::Entry, &[], 1);
    let second = process_among(Role::Entry, &[first.address], 1);
    for entry in [&first, &second] {
        let mut line = entry.mesh.line();
        drop(line.wait_for(|line| line.entries == 2).await.expect("a mesh"));
    }
    let began = Instant::now();
    for message in 1..=30 {
        first.mesh.offer_group(load_of("g", message), true);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    while second.mesh.group("g").is_none_or(|load| load.order.1 < 30) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let pauses = began.elapsed().as_millis() / LOADS_PAUSE.as_millis();
    let heard = u128::from(second.mesh.traffic().loads);
    assert!(heard <= pauses + 2, "{heard} messages in {pauses} pauses");
}

/// Who else there is is told when it changes, and seldom otherwise.
#[tokio::test]
async fn addresses_seldom() {
    const OTHERS: usize = 6;
    let (first, _others) = gathered(OTHERS).await;
    // Links that were dialled from both sides end.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = first.mesh.traffic().addresses;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let heard = first.mesh.traffic().addresses - before;
    // 40 messages from each; all of them with all addresses would be 1,680.
    assert!(heard <= 400, "{heard} addresses without news");
}

/// An agent's catalog has no routes. An entry that took it over would answer 404 to everyone.
#[tokio::test]
async fn agent_keeps_catalog() {
    let entry = process(Role::Entry, &[]);
    let agent = process(Role::Agent, &[entry.address]);
    let short = Document {
        routes: Vec::new(),
        ..samples::document(4)
    };
    agent.board.offer_catalog(catalog(short), agent.board.now(), "test");
    // Loads come over the same stream, behind whatever the agent tells first; a few rounds pass between them.
    let mut news = entry.mesh.group_news();
    for message in 1..=5 {
        agent.mesh.offer_group(group(message), true);
        while entry.mesh.group("g").is_none_or(|load| load.order.1 < message) {
            assert!(news.next().await);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert!(entry.board.catalog().is_none());
}

#[tokio::test]
async fn agent_hears_services() {
    let entry = process(Role::Entry, &[]);
    let agent = process(Role::Agent, &[entry.address]);
    entry
        .board
        .offer_catalog(catalog(samples::document(4)), entry.board.now(), "test");
    let mut catalogs = agent.board.catalogs();
    let heard = catalogs.wait_for(Option::is_some).await.expect("a board").clone();
    let heard = heard.expect("a catalog").value;
    assert!(heard.find_service(samples::MODEL).is_some());
    assert!(!heard.has_workspaces(), "keys stay at the entries");
}

/// A machine that was suspended tells what it knows for as old as it is, and takes what it hears for no younger.
#[tokio::test]
async fn aged_asleep() {
    const ASLEEP: Duration = Duration::from_secs(30);
    let clock = Arc::new(samples::Sleeper::default());
    let first = process_by(Arc::clone(&clock) as Arc<dyn Clock>, Role::Entry, &[], 16);
    let asked = first.board.now();
    first.board.offer_catalog(catalog(samples::document(4)), asked, "test");
    clock.wake_after(ASLEEP);
    let second = process(Role::Entry, &[first.address]);
    let mut catalogs = second.board.catalogs();
    drop(catalogs.wait_for(Option::is_some).await.expect("a board"));
    let age = second.board.catalog_age().expect("a catalog");
    assert!(age >= ASLEEP, "taken for {age:?} old");
}

/// Whatever is delayed on the way or held at either side, the time worked out is not later than the true one.
#[test]
fn ages_never_shrink() {
    fn holds(to: u16, held: u16, known_before: u16, back: u16) -> bool {
        let start = Machine::default().now();
        let at = |millis: u64| start + Duration::from_millis(millis);
        let (to, held, back) = (u64::from(to), u64::from(held), u64::from(back));
        let mut mine = Stamps::new(start);
        let mut theirs = Stamps::new(at(0));
        let stamp = mine.stamp(at(100));
        theirs.heard(stamp, at(100 + to));
        let sent = 100 + to + held;
        let Some(echo) = theirs.echo(at(sent)) else {
            return false;
        };
        mine.heard(1, at(sent + back));
        let age = u64::from(known_before).min(sent);
        let true_as_of = at(sent - age);
        mine.as_of(echo, age).is_none_or(|as_of| as_of <= true_as_of)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10_000, 71))
        .tests(2_000)
        .quickcheck(holds as fn(u16, u16, u16, u16) -> bool);
}

/// An entry hears of a target's limit from the one that met it, and of its end.
#[tokio::test(flavor = "multi_thread")]
async fn limits_told() {
    let (first, others) = gathered(2).await;
    let target = samples::target("t-1", samples::MODEL, 1);
    let roster = Roster::new(vec![target]);
    let directory = Directory::new(&roster, &mut Incarnations::default());
    let seat = directory.seats().first().expect("a target");
    for rate in [Some(2.0), None] {
        let told = rate.map(|rate| Rate::try_from(rate).expect("a rate"));
        others[0].board.throttle.note(seat, told, false);
        for process in [&first, &others[1]] {
            let mut learnt = process.board.throttle.learnings();
            let heard = async {
                while process.board.throttle.rate(seat) != rate {
                    learnt.changed().await.expect("a board");
                }
            };
            tokio::time::timeout(Duration::from_secs(10), heard)
                .await
                .expect("told");
        }
    }
}
