//! Targets that are ranks of a group: stragglers are abandoned, and requests wait while a group is not serving.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sparscale_catalog::{Document, Membership, Roster};
use sparscale_samples as samples;
use sparscale_wire::{group, rank};

use crate::entry::{Fixture, Request, roster, settings, wait_for};
use crate::target::{Arrival, Connection, Target};

const GROUP: &str = "g";

/// Starts an entry whose `targets` are the ranks of one group.
fn fixture(targets: &[Target]) -> Fixture {
    group_fixture(samples::document(1), targets)
}

/// Starts an entry with the routes of `document`, whose `targets` are the ranks of one group.
pub fn group_fixture(document: Document, targets: &[Target]) -> Fixture {
    let target_refs: Vec<&Target> = targets.iter().collect();
    let fixture = Fixture::with(settings(), document, &[], &target_refs);
    let mut ranks = roster(&[], &target_refs).targets;
    for (rank, target) in ranks.iter_mut().enumerate() {
        target.membership = Some(Membership {
            group: GROUP.to_owned(),
            rank,
            size: targets.len(),
            is_open: true,
        });
    }
    fixture.rosters.put(Roster::new(ranks), 2);
    wait_for("the group", || {
        let observation = fixture.entry.board.targets();
        observation.is_some_and(|observation| !observation.value.addresses_of_rank(GROUP, 0).is_empty())
    });
    fixture
}

/// Starts an entry whose `targets` form two groups of equal size: `group_of` names the group of a target by its index.
/// Every second target is in `odd_hall`.
pub fn two_group_fixture(targets: &[Target], odd_hall: &str, group_of: impl Fn(usize) -> &'static str) -> Fixture {
    let target_refs: Vec<&Target> = targets.iter().collect();
    let fixture = Fixture::new(&[], &target_refs);
    let mut ranks = roster(&[], &target_refs).targets;
    for (index, target) in ranks.iter_mut().enumerate() {
        if index % 2 == 1 {
            odd_hall.clone_into(&mut target.hall);
        }
        let group = group_of(index);
        let rank = (0..index).filter(|earlier| group_of(*earlier) == group).count();
        target.membership = Some(Membership {
            group: group.to_owned(),
            rank,
            size: targets.len() / 2,
            is_open: true,
        });
    }
    fixture.rosters.put(Roster::new(ranks), 2);
    wait_for("both groups", || {
        let observation = fixture.entry.board.targets();
        observation.is_some_and(|observation| observation.value.groups_of(samples::MODEL_SERVICE).count() == 2)
    });
    fixture
}

/// Load report of a group whose ranks have these slowdowns, in thousandths.
pub fn load_report(serial: u64, slowdowns_milli: &[u32]) -> group::Load {
    let rank = |slowdown_milli: &u32| rank::Load {
        running: 1,
        slowdown_milli: *slowdown_milli,
        ..rank::Load::default()
    };
    group::Load {
        group: GROUP.to_owned(),
        sequence: (1, serial),
        is_running: true,
        skew: 1.1,
        mean_pass_micros: 40_000,
        latest_pass: serial,
        rank_loads: slowdowns_milli.iter().map(|slowdown| Some(rank(slowdown))).collect(),
    }
}

pub fn serve_from(arrival: &Arrival, connection: &mut Connection, last_id: u64) {
    connection.stream_head(arrival, "d");
    for id in last_id + 1..=3 {
        connection.event(id);
    }
    connection.end_chunks();
}

/// A stream whose target becomes a straggler is resumed at another one, and the connection to the straggler is closed.
#[test]
fn straggler_abandoned() {
    let is_abandoned = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let script = {
        let (is_abandoned, count) = (Arc::clone(&is_abandoned), Arc::clone(&count));
        move |arrival: &Arrival, connection: &mut Connection| {
            if count.fetch_add(1, Ordering::SeqCst) > 0 {
                let last_id = arrival.header("last-event-id").and_then(|id| id.parse().ok());
                serve_from(arrival, connection, last_id.unwrap_or(0));
                return;
            }
            connection.stream_head(arrival, "d");
            connection.event(1);
            let closed = connection.wait_closed(Duration::from_secs(10));
            is_abandoned.store(closed.is_some(), Ordering::SeqCst);
        }
    };
    let script = Arc::new(script);
    let targets: Vec<Target> = (0..3)
        .map(|_| {
            let script = Arc::clone(&script);
            Target::start(move |arrival, connection| script(arrival, connection))
        })
        .collect();
    let fixture = fixture(&targets);
    fixture
        .entry
        .mesh
        .merge_group_load(load_report(1, &[1_000, 1_000, 1_000]), true);
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| fixture.fetch(&Request::new("POST", "/stream/x", "r-1")));
        let has_request = |target: &Target| !target.arrivals().is_empty();
        wait_for("the stream to start", || targets.iter().any(has_request));
        let straggler = targets.iter().position(has_request).expect("a target has the request");
        let mut slowdowns_milli = [1_000; 3];
        slowdowns_milli[straggler] = 8_000;
        fixture
            .entry
            .mesh
            .merge_group_load(load_report(2, &slowdowns_milli), true);
        caller.join().expect("no panic")
    });
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body.matches("id: ").count(), 3);
    wait_for("the connection to the straggler to be closed", || {
        is_abandoned.load(Ordering::SeqCst)
    });
}

/// A straggler gets no new requests while other ranks of its group are available.
#[test]
fn straggler_gets_no_requests() {
    let targets: Vec<Target> = (0..3)
        .map(|_| Target::start(|arrival, connection| serve_from(arrival, connection, 0)))
        .collect();
    let fixture = fixture(&targets);
    fixture
        .entry
        .mesh
        .merge_group_load(load_report(1, &[1_000, 8_000, 1_000]), true);
    // The entry processes the report in the background; only requests after that count.
    wait_for("the straggler to get no requests", || {
        let count_before = targets[1].arrivals().len();
        for _ in 0..12 {
            fixture.fetch(&Request::new("POST", "/stream/x", "r"));
        }
        targets[1].arrivals().len() == count_before
    });
    for round in 0..12 {
        let count_before = targets[1].arrivals().len();
        assert_eq!(
            fixture
                .fetch(&Request::new("POST", "/stream/x", &format!("r-{round}")))
                .status,
            200
        );
        assert_eq!(targets[1].arrivals().len(), count_before);
    }
}

/// While a group is formed again, its ranks reject all requests: requests wait for the group, and few are sent to it.
#[test]
fn requests_wait_for_closed_group() {
    let is_open = Arc::new(AtomicBool::new(false));
    let rejected_count = Arc::new(AtomicUsize::new(0));
    let targets: Vec<Target> = (0..3)
        .map(|_| {
            let (is_open, rejected_count) = (Arc::clone(&is_open), Arc::clone(&rejected_count));
            Target::start(move |arrival, connection| {
                if is_open.load(Ordering::SeqCst) {
                    serve_from(arrival, connection, 0);
                    return;
                }
                rejected_count.fetch_add(1, Ordering::SeqCst);
                connection.reject(arrival);
            })
        })
        .collect();
    let fixture = fixture(&targets);
    // The first attempts show that the group is closed.
    let first = fixture.fetch(&Request::new("POST", "/stream/x", "r-0"));
    assert_eq!(first.status, 503);
    assert!(first.header("retry-after").is_some());
    let responses = std::thread::scope(|scope| {
        let send = |index: usize| {
            let fixture = &fixture;
            scope.spawn(move || fixture.fetch(&Request::new("POST", "/stream/x", &format!("w-{index}"))))
        };
        let callers: Vec<_> = (0..20).map(send).collect();
        let count_before = rejected_count.load(Ordering::SeqCst);
        wait_for("requests to be sent to the group", || {
            rejected_count.load(Ordering::SeqCst) >= count_before + 4
        });
        is_open.store(true, Ordering::SeqCst);
        let responses = callers.into_iter().map(|caller| caller.join().expect("no panic"));
        responses.collect::<Vec<_>>()
    });
    let served_count = responses.iter().filter(|response| response.status == 200).count();
    assert!(served_count >= 17, "{served_count} of 20");
    let sent_count = rejected_count.load(Ordering::SeqCst);
    assert!(sent_count <= 10, "{sent_count} were rejected");
}

/// A target that responds as another incarnation counts as removed: the request goes to another target, and no further
/// request is sent there.
#[test]
fn replaced_target_skipped() {
    let misdirected = |arrival: &Arrival, connection: &mut Connection| {
        connection.send(&format!(
            "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\ncontent-length: 0\r\n\r\n",
            arrival.id()
        ));
    };
    let targets = [
        Target::start(misdirected),
        Target::start(misdirected),
        Target::start(|arrival, connection| serve_from(arrival, connection, 0)),
    ];
    let fixture = fixture(&targets);
    for round in 0..8 {
        assert_eq!(
            fixture
                .fetch(&Request::new("POST", "/stream/x", &format!("r-{round}")))
                .status,
            200
        );
    }
    let request_count = |target: &Target| target.arrivals().len();
    assert!(request_count(&targets[0]) <= 1 && request_count(&targets[1]) <= 1);
}

/// The same with targets that name themselves by address. Comparing the target at fault with ids alone would count the
/// rejections as attempts, and a request whose route allows two attempts would be rejected after two removed targets.
#[test]
fn replaced_target_named_by_address() {
    let replaced = || {
        let own_address = Arc::new(OnceLock::<SocketAddr>::new());
        let own_address_for_script = Arc::clone(&own_address);
        let target = Target::start(move |arrival, connection| {
            let address = own_address_for_script
                .get()
                .map(ToString::to_string)
                .unwrap_or_default();
            connection.send(&format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\nsparscale-at-fault: {address}\r\ncontent-length: 0\r\n\r\n",
                arrival.id()
            ));
        });
        own_address.set(target.address).expect("set once");
        target
    };
    let serving = Target::start(|arrival, connection| serve_from(arrival, connection, 0));
    let targets = [replaced(), replaced(), serving];
    let fixture = fixture(&targets);
    for round in 0..8 {
        let request = Request::new("POST", "/stream/x", &format!("r-{round}"));
        assert_eq!(fixture.fetch(&request).status, 200);
    }
    let request_count = |target: &Target| target.arrivals().len();
    assert!(request_count(&targets[0]) <= 1 && request_count(&targets[1]) <= 1);
}

/// A service with two groups, one of which is closed: the other serves all callers, and few requests reach the closed
/// one. With one backlog and one gate for the whole service, no request would be served while one of its groups is
/// closed.
#[test]
fn other_group_serves() {
    let rejected_count = Arc::new(AtomicUsize::new(0));
    let serving = || Target::start(|arrival, connection| serve_from(arrival, connection, 0));
    let closed = || {
        let rejected_count = Arc::clone(&rejected_count);
        Target::start(move |arrival, connection| {
            rejected_count.fetch_add(1, Ordering::SeqCst);
            connection.reject(arrival);
        })
    };
    let targets = [serving(), serving(), closed(), closed()];
    let fixture = two_group_fixture(&targets, "derby", |index| if index < 2 { "a" } else { "z" });
    for group in ["a", "z"] {
        let report = group::Load {
            group: group.to_owned(),
            ..load_report(1, &[1_000; 2])
        };
        fixture.entry.mesh.merge_group_load(report, true);
    }
    for round in 0..30 {
        let response = fixture.fetch(&Request::new("POST", "/stream/x", &format!("r-{round}")));
        assert_eq!((response.status, response.is_complete), (200, true), "round {round}");
    }
    let sent_count = rejected_count.load(Ordering::SeqCst);
    assert!(sent_count <= 10, "{sent_count} reached the closed group");
}
