//! A target restarts under the same id: nothing observed about the start before applies to the new one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sparscale_catalog::{Membership, Roster, Target as RosterTarget};
use sparscale_samples as samples;

use crate::entry::{Fixture, Request, roster, wait_for};
use crate::groups::{load_report, serve_from};
use crate::target::Target;

/// Shorter than the time for which an entry avoids a target after one failure.
const MAX_FIRST_REQUEST_DELAY: Duration = Duration::from_millis(200);

/// The roster with all targets started at `born_ms`.
pub fn roster_started_at(roster: &Roster, born_ms: u64) -> Roster {
    let with_start = |target: &RosterTarget| RosterTarget {
        born_ms: Some(born_ms),
        ..target.clone()
    };
    Roster::new(roster.targets.iter().map(with_start).collect())
}

/// Stores a roster and waits until the entry uses it.
pub fn publish(fixture: &Fixture, roster: Roster, position: u64) {
    fixture.rosters.put(roster, position);
    wait_for("the roster", || {
        let observed = fixture.entry.board.targets();
        observed.is_some_and(|observation| observation.position == position.into())
    });
}

fn fetch_status(fixture: &Fixture, id: &str) -> u16 {
    fixture.fetch(&Request::new("GET", "/any/x", id)).status
}

#[test]
fn connections_closed_after_restart() {
    let target = Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "good"));
    let fixture = Fixture::new(&[&target], &[]);
    let base_roster = roster(&[&target], &[]);
    publish(&fixture, roster_started_at(&base_roster, 1_000), 2);
    assert_eq!(
        (fetch_status(&fixture, "r-1"), fetch_status(&fixture, "r-2")),
        (200, 200)
    );
    assert_eq!(target.connection_count(), 1, "a kept connection is reused");
    publish(&fixture, roster_started_at(&base_roster, 2_000), 3);
    assert_eq!(fetch_status(&fixture, "r-3"), 200);
    assert_eq!(
        target.connection_count(),
        2,
        "a connection to the previous start was reused"
    );
}

/// A target that was replaced or failed gets requests immediately after its restart, although another target is
/// available.
#[test]
fn failures_cleared_by_restart() {
    for failure in ["421 Misdirected Request", "broken"] {
        let has_recovered = Arc::new(AtomicBool::new(false));
        let recovered_for_script = Arc::clone(&has_recovered);
        let failing = Target::start(
            move |arrival, connection| match recovered_for_script.load(Ordering::SeqCst) {
                true => connection.respond(arrival, "200 OK", "returned"),
                false if failure == "broken" => connection.reset(),
                false => connection.respond(arrival, failure, ""),
            },
        );
        let other = Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "other"));
        let fixture = Fixture::new(&[&failing, &other], &[]);
        let base_roster = roster(&[&failing, &other], &[]);
        publish(&fixture, roster_started_at(&base_roster, 1_000), 2);
        // Of two equal targets either may be chosen, so a request soon reaches the failing one.
        wait_for("a failure", || {
            fetch_status(&fixture, "r-1");
            !failing.arrivals().is_empty()
        });
        has_recovered.store(true, Ordering::SeqCst);
        publish(&fixture, roster_started_at(&base_roster, 2_000), 3);
        let (count_before, restarted_at) = (failing.arrivals().len(), Instant::now());
        while failing.arrivals().len() == count_before {
            assert!(
                restarted_at.elapsed() < MAX_FIRST_REQUEST_DELAY,
                "{failure}: failures of the previous start count against the new one"
            );
            fetch_status(&fixture, "r-2");
        }
    }
}

/// A roster in which the targets are the ranks of a group and started at `born_ms`.
fn ranks(targets: &[&Target], born_ms: u64) -> Roster {
    let mut ranks = roster_started_at(&roster(&[], targets), born_ms).targets;
    for (rank, target) in ranks.iter_mut().enumerate() {
        target.membership = Some(Membership {
            group: "g".to_owned(),
            rank,
            size: targets.len(),
            is_open: true,
        });
    }
    Roster::new(ranks)
}

/// A rank that was a straggler under load gets requests again after its restart.
#[test]
fn load_cleared_by_restart() {
    let targets: Vec<Target> = (0..2)
        .map(|_| Target::start(|arrival, connection| serve_from(arrival, connection, 0)))
        .collect();
    let target_refs: Vec<&Target> = targets.iter().collect();
    let fixture = Fixture::new(&[], &target_refs);
    publish(&fixture, ranks(&target_refs, 1_000), 2);
    let mut report = load_report(1, &[1_000, 12_000]);
    for rank in report.rank_loads.iter_mut().flatten() {
        rank.start_marker = sparscale_catalog::start_mark(Some(1_000));
    }
    fixture.entry.mesh.merge_group_load(report, true);
    let fetch_stream_status = |id: &str| fixture.fetch(&Request::new("POST", "/stream/x", id)).status;
    for round in 0..8 {
        assert_eq!(fetch_stream_status(&format!("r-{round}")), 200);
    }
    assert!(targets[1].arrivals().is_empty(), "a straggler got a request");
    publish(&fixture, ranks(&target_refs, 2_000), 3);
    wait_for("a request to the new start", || {
        fetch_stream_status("r-9");
        !targets[1].arrivals().is_empty()
    });
}

/// A later registration by another writer has the address of a real target: requests still reach the real target.
#[test]
fn address_in_two_registrations() {
    let real_target = Target::start(|arrival, connection| match arrival.header("sparscale-target") {
        Some("c-0") => connection.respond(arrival, "200 OK", "real"),
        _ => connection.respond(arrival, "421 Misdirected Request", ""),
    });
    let fixture = Fixture::new(&[&real_target], &[]);
    let base_roster = roster(&[&real_target], &[]);
    let duplicate = RosterTarget {
        id: "C-0".to_owned(),
        ..base_roster.targets[0].clone()
    };
    let foreign = RosterTarget {
        id: "a".to_owned(),
        service: "nowhere".to_owned(),
        ..base_roster.targets[0].clone()
    };
    let registrations = vec![(base_roster.targets[0].clone(), 1), (duplicate, 2), (foreign, 3)];
    publish(&fixture, Roster::with_superseded_marked(registrations), 2);
    for round in 0..20 {
        assert_eq!(fetch_status(&fixture, &format!("r-{round}")), 200);
    }
    let misdirected_count = real_target
        .arrivals()
        .iter()
        .filter(|arrival| arrival.header("sparscale-target") != Some("c-0"))
        .count();
    assert!(
        misdirected_count <= 1,
        "{misdirected_count} requests were sent to a registration that had proved wrong"
    );
}

/// A registration by another writer, sorted before all others, names a group of its own: the service has the group to
/// which most of its targets belong.
#[test]
fn group_of_majority() {
    let targets: Vec<Target> = (0..2)
        .map(|_| Target::start(|arrival, connection| serve_from(arrival, connection, 0)))
        .collect();
    let target_refs: Vec<&Target> = targets.iter().collect();
    let fixture = Fixture::new(&[], &target_refs);
    let mut registrations = ranks(&target_refs, 1_000).targets;
    registrations.push(RosterTarget {
        membership: Some(Membership {
            group: "another".to_owned(),
            rank: 0,
            size: 1,
            is_open: true,
        }),
        ..samples::target("0", samples::MODEL_SERVICE, 1)
    });
    publish(&fixture, Roster::new(registrations), 2);
    let observed = fixture.entry.board.targets().expect("a roster").value;
    let groups = observed.groups_of(samples::MODEL_SERVICE);
    let names_and_sizes: Vec<_> = groups.map(|group| (group.name, group.size)).collect();
    assert_eq!(names_and_sizes, [("g", 2)]);
}
