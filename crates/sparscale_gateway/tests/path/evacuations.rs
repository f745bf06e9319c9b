//! Halls that the operators evacuate: their targets get no new requests until the hall is taken back.

use std::time::{Duration, Instant};

use sparscale_catalog::{Document, Roster, TargetStatus, cold};
use sparscale_samples as samples;
use sparscale_wire::{group, rank};

use crate::entry::{Fixture, Request, evacuating, linked_settings, roster, send_requests, wait_for};
use crate::groups::two_group_fixture;
use crate::target::{Arrival, Connection, Target};

/// The evacuated hall: that of the entry, which it prefers.
const HALL: &str = "derby";
/// Hall of the targets with odd numbers; the others are in [`HALL`].
const OTHER_HALL: &str = "leicester";
/// Time after which an order must be in force at an entry that reads the store.
const MAX_DELAY: Duration = Duration::from_secs(1);

fn serve(arrival: &Arrival, connection: &mut Connection) {
    connection.respond(arrival, "200 OK", "good");
}

fn serve_stream(arrival: &Arrival, connection: &mut Connection) {
    connection.stream_head(arrival, "d");
    connection.event(1);
    connection.end_chunks();
}

/// Puts every second target into [`OTHER_HALL`].
fn in_two_halls(roster: Roster) -> Roster {
    let mut targets = roster.targets;
    for target in targets.iter_mut().skip(1).step_by(2) {
        OTHER_HALL.clone_into(&mut target.hall);
    }
    Roster::new(targets)
}

fn plain_fixture(targets: &[&Target]) -> Fixture {
    let fixture = Fixture::new(targets, &[]);
    fixture.rosters.put(in_two_halls(roster(targets, &[])), 2);
    wait_for("both halls", || {
        let targets = fixture.entry.board.targets();
        targets.is_some_and(|targets| {
            targets
                .value
                .instances()
                .iter()
                .any(|one| one.target.hall == OTHER_HALL)
        })
    });
    fixture
}

fn is_evacuated(fixture: &Fixture) -> bool {
    let targets = fixture.entry.board.targets();
    targets.is_some_and(|targets| {
        let mut instances = targets.value.instances().iter();
        instances.any(|instance| instance.target.status == TargetStatus::Evacuated)
    })
}

/// A hall is evacuated, stays so through an outage of the store, and is taken back.
#[test]
fn evacuated_hall_gets_none() {
    let (evacuated, kept) = (Target::start(serve), Target::start(serve));
    let fixture = plain_fixture(&[&evacuated, &kept]);
    assert_eq!(send_requests(&fixture, "/any/x", Duration::from_millis(500)), 0);
    assert!(!evacuated.arrivals().is_empty(), "the hall is in use at first");
    fixture.catalogs.put(evacuating(samples::document(1), &[HALL]), 2);
    std::thread::sleep(MAX_DELAY);
    let count_before = evacuated.arrivals().len();
    fixture.catalogs.make_unavailable();
    assert_eq!(send_requests(&fixture, "/any/x", Duration::from_millis(500)), 0);
    assert_eq!(evacuated.arrivals().len(), count_before, "sends into an evacuated hall");
    fixture.catalogs.put(evacuating(samples::document(1), &[]), 3);
    std::thread::sleep(MAX_DELAY);
    assert_eq!(send_requests(&fixture, "/any/x", Duration::from_millis(500)), 0);
    assert!(evacuated.arrivals().len() > count_before, "the hall is in use again");
}

/// A request that failed at one target is not retried in an evacuated hall.
#[test]
fn no_retry_there() {
    let failing = Target::start(|arrival, connection| connection.respond(arrival, "500 Internal Server Error", "no"));
    let evacuated = Target::start(serve);
    let fixture = plain_fixture(&[&evacuated, &failing]);
    fixture.catalogs.put(evacuating(samples::document(1), &[HALL]), 2);
    wait_for("the evacuation", || is_evacuated(&fixture));
    for round in 0..5 {
        assert_eq!(
            fixture
                .fetch(&Request::new("GET", "/any/x", &format!("r-{round}")))
                .status,
            500
        );
    }
    assert!(evacuated.arrivals().is_empty(), "retries in an evacuated hall");
}

/// An entry that cannot read the store learns of an order, and of its end, from another one.
#[test]
fn order_reaches_peers() {
    let (evacuated, kept) = (Target::start(serve), Target::start(serve));
    let first = plain_fixture(&[&evacuated, &kept]);
    let second = first.start_another(linked_settings(&first));
    wait_for("a link", || second.entry.mesh.status().borrow().sharers == Some(2));
    first.catalogs.make_unavailable();
    for (halls, position) in [(&[HALL][..], 5_u64), (&[], 6)] {
        let order = halls.iter().map(|hall| (*hall).to_owned()).collect();
        first.entry.board.merge_evacuations(&order, position.into(), "test");
        wait_for("the second entry to follow", || {
            is_evacuated(&second) != halls.is_empty()
        });
    }
}

/// With all targets of a service evacuated, its requests are rejected at once, as not run.
#[test]
fn nothing_left() {
    let (one, other) = (Target::start(serve), Target::start(serve));
    let fixture = plain_fixture(&[&one, &other]);
    fixture
        .catalogs
        .put(evacuating(samples::document(1), &[HALL, OTHER_HALL]), 2);
    wait_for("the evacuation", || {
        fixture.fetch(&Request::new("GET", "/any/x", "r-0")).status == 503
    });
    let response = fixture.fetch(&Request::new("POST", "/once/x", "r-1"));
    assert_eq!(
        (response.status, response.body.contains("evacuated")),
        (503, true),
        "{response:?}"
    );
    assert!(response.header("retry-after").is_some());
    assert!(response.elapsed < Duration::from_millis(300), "{:?}", response.elapsed);
}

/// The load of a group with this skew, whose ranks have `running` requests each. With a large skew its passes are too
/// long for any request to be on time, so that requests wait.
fn load(group: &str, serial: u64, skew: f64, running: u32) -> group::Load {
    let rank = rank::Load {
        running,
        slowdown_milli: 1_000,
        ..rank::Load::default()
    };
    group::Load {
        group: group.to_owned(),
        sequence: (1, serial),
        is_running: true,
        skew,
        mean_pass_micros: 40_000,
        latest_pass: serial,
        rank_loads: vec![Some(rank); 2],
    }
}

/// Requests that wait for room in a group whose ranks are all evacuated wait for another group instead.
#[test]
fn waiting_requests_move() {
    let targets: Vec<Target> = (0..4).map(|_| Target::start(serve_stream)).collect();
    let group_of = |index| if index % 2 == 0 { "evacuated" } else { "kept" };
    let fixture = two_group_fixture(&targets, OTHER_HALL, group_of);
    let mesh = &fixture.entry.mesh;
    for group in ["kept", "evacuated"] {
        mesh.merge_group_load(load(group, 1, 12.0, 5), true);
    }
    let served = std::thread::scope(|scope| {
        let send = |index: usize| {
            let fixture = &fixture;
            scope.spawn(move || fixture.fetch(&Request::new("POST", "/stream/x", &format!("w-{index}"))))
        };
        let callers: Vec<_> = (0..3).map(send).collect();
        std::thread::sleep(Duration::from_millis(50));
        mesh.merge_group_load(load("evacuated", 2, 1.1, 12), true);
        mesh.merge_group_load(load("kept", 2, 1.1, 0), true);
        std::thread::sleep(Duration::from_millis(50));
        fixture.catalogs.put(evacuating(samples::document(1), &[HALL]), 2);
        wait_for("the evacuation", || is_evacuated(&fixture));
        let evacuated_at = Instant::now();
        let responses: Vec<_> = callers
            .into_iter()
            .map(|caller| caller.join().expect("no panic"))
            .collect();
        let delay = evacuated_at.elapsed();
        assert!(delay < Duration::from_millis(300), "{delay:?}");
        responses.iter().filter(|response| response.status == 200).count()
    });
    assert_eq!(served, 3);
    let sends = targets.iter().step_by(2).map(|target| target.arrivals().len());
    assert_eq!(sends.sum::<usize>(), 0, "sends to the evacuated group");
}

/// Requests a second that a cold target handles, and what it tolerates in one second.
const COLD_RATE: f64 = 2.0;
const TOLERATED_COLD: usize = 8;
const COLD_TIME: Duration = Duration::from_secs(2);

fn cold_document() -> Document {
    let mut document = samples::document(2);
    for service in &mut document.services {
        service.cold_start = Some(cold::Start {
            duration: COLD_TIME,
            requests_per_second: COLD_RATE,
        });
    }
    document
}

/// A hall returns into a burst. Its targets are cold and would be the first choice, since they are idle and near.
#[test]
fn hall_returns_cold() {
    let (evacuated, kept) = (Target::start(serve), Target::start(serve));
    let fixture = plain_fixture(&[&evacuated, &kept]);
    fixture.catalogs.put(evacuating(cold_document(), &[HALL]), 2);
    wait_for("the evacuation", || is_evacuated(&fixture));
    let second = fixture.start_another(linked_settings(&fixture));
    wait_for("a link", || {
        let sharers = |fixture: &Fixture| fixture.entry.mesh.status().borrow().sharers;
        sharers(&second) == Some(2) && sharers(&fixture) == Some(2) && is_evacuated(&second)
    });
    wait_for("views that have settled", || {
        let is_settled = |fixture: &Fixture| fixture.entry.mesh.members().borrow().is_settled;
        is_settled(&fixture) && is_settled(&second)
    });
    let returned_at = Instant::now();
    fixture.catalogs.put(evacuating(cold_document(), &[]), 3);
    let unserved: usize = std::thread::scope(|scope| {
        let send = |entry| scope.spawn(move || send_requests(entry, "/any/x", Duration::from_secs(4)));
        let callers = [send(&fixture), send(&second), send(&fixture), send(&second)];
        callers.map(|caller| caller.join().expect("no panic")).into_iter().sum()
    });
    assert_eq!(unserved, 0, "the other hall serves");
    let times = evacuated.arrival_times();
    let cold: Vec<&Instant> = times.iter().filter(|at| **at < returned_at + COLD_TIME).collect();
    assert!(!cold.is_empty(), "a cold target gets what it handles");
    let in_second = |from: &&Instant| {
        let second = **from..**from + Duration::from_secs(1);
        cold.iter().filter(|at| second.contains(**at)).count()
    };
    let most = cold.iter().map(in_second).max().unwrap_or(0);
    assert!(most <= TOLERATED_COLD, "{most} requests in a second");
    assert!(
        times.len() > 100,
        "the hall takes its share once it is warm: {}",
        times.len()
    );
}
