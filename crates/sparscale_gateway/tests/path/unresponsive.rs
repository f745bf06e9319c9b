//! Targets that become unresponsive: a frozen box accepts requests, does not respond, and resumes later.
//!
//! Guards against this failure: requests sent to a box just before it froze stayed there until their callers gave up
//! after two seconds without an event, and the box ran them after it resumed although no caller waited for them. Only
//! the deadline of the request bounded the time to the first event and between two events.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

use sparscale_catalog::{Document, RequestKind};
use sparscale_samples as samples;

use crate::entry::{Fixture, Request, settings};
use crate::groups::{group_fixture, load_report, serve_from};
use crate::target::{Arrival, Connection, Target};

/// Time within which responses are due; long compared with the delays of a busy machine.
const OBJECTIVE: Duration = Duration::from_secs(1);
/// Maximum pause between two events.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Longer than the timeout of any request.
const FREEZE: Duration = Duration::from_secs(9);

/// Ranks of a group. The first rank that receives a request whose id starts with `asleep` freezes after some events of
/// the stream; the others serve.
struct Ranks {
    targets: Vec<Target>,
    frozen_rank: Arc<AtomicUsize>,
}

/// Stands for no rank.
const NO_RANK: usize = usize::MAX;

impl Ranks {
    fn start(count: usize, event_count: u64) -> Self {
        let frozen_rank = Arc::new(AtomicUsize::new(NO_RANK));
        let has_frozen = Arc::new(AtomicBool::new(false));
        let targets = (0..count)
            .map(|rank| {
                let (frozen_rank, has_frozen) = (Arc::clone(&frozen_rank), Arc::clone(&has_frozen));
                Target::start(move |arrival, connection| {
                    let may_freeze = arrival.id().starts_with("asleep");
                    if may_freeze && !has_frozen.swap(true, Ordering::SeqCst) {
                        frozen_rank.store(rank, Ordering::SeqCst);
                    }
                    if frozen_rank.load(Ordering::SeqCst) == rank {
                        freeze_after(arrival, connection, event_count);
                        return;
                    }
                    serve_remaining_events(arrival, connection);
                })
            })
            .collect();
        Self { targets, frozen_rank }
    }

    fn frozen_rank(&self) -> Option<usize> {
        let rank = self.frozen_rank.load(Ordering::SeqCst);
        (rank != NO_RANK).then_some(rank)
    }
}

fn freeze_after(arrival: &Arrival, connection: &mut Connection, event_count: u64) {
    if event_count > 0 {
        connection.stream_head(arrival, "d");
    }
    for id in 1..=event_count {
        connection.event(id);
    }
    sleep(FREEZE);
}

fn serve_remaining_events(arrival: &Arrival, connection: &mut Connection) {
    let last_id = arrival.header("last-event-id").and_then(|id| id.parse().ok());
    serve_from(arrival, connection, last_id.unwrap_or(0));
}

fn stream_request(id: &str) -> Request {
    Request::new("POST", "/stream/x", id)
}

/// The sample routes with these times.
fn document() -> Document {
    let mut document = samples::document(1);
    for route in &mut document.routes {
        route.latency_objective = OBJECTIVE;
        route.timeout = TIMEOUT;
        if let RequestKind::Stream {
            max_pause: longest_pause,
            ..
        } = &mut route.kind
        {
            *longest_pause = Some(MAX_PAUSE);
        }
    }
    document
}

/// Starts an entry whose `targets` are the ranks of one group.
fn fixture(targets: &[Target]) -> Fixture {
    group_fixture(document(), targets)
}

/// Sends a request whose first target freezes, and calls `meanwhile` repeatedly until the response is complete.
fn fetch_while(fixture: &Fixture, meanwhile: impl Fn() + Sync) -> crate::entry::Response {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(Ordering::SeqCst) {
                meanwhile();
                sleep(Duration::from_millis(20));
            }
        });
        let response = fixture.fetch(&stream_request("asleep"));
        is_done.store(true, Ordering::SeqCst);
        response
    })
}

/// Sends the entry a load report as the group leader does: without the frozen rank, while the passes of the group
/// continue.
fn report_frozen_rank(fixture: &Fixture, serial: &AtomicUsize, ranks: &Ranks) {
    let serial = serial.fetch_add(1, Ordering::SeqCst) as u64 + 1;
    let mut report = load_report(serial, &vec![1_000; ranks.targets.len()]);
    if let Some(frozen_rank) = ranks.frozen_rank() {
        report.rank_loads[frozen_rank] = None;
    }
    fixture.entry.mesh.merge_group_load(report, true);
}

/// A request whose target freezes before the first event is served by another target on time, because the load reports
/// of the group leader no longer contain the rank.
#[test]
fn reported_before_first_event() {
    let ranks = Ranks::start(4, 0);
    let fixture = fixture(&ranks.targets);
    let serial = AtomicUsize::new(0);
    let response = fetch_while(&fixture, || report_frozen_rank(&fixture, &serial, &ranks));
    assert_eq!((response.status, response.is_complete), (200, true));
    assert!(response.elapsed < 2 * OBJECTIVE, "took {:?}", response.elapsed);
}

/// The same without load reports: the entry observes that other ranks of the group respond and this one does not.
#[test]
fn observed_before_first_event() {
    let ranks = Ranks::start(4, 0);
    let fixture = fixture(&ranks.targets);
    let other_count = AtomicUsize::new(0);
    let response = fetch_while(&fixture, || {
        let number = other_count.fetch_add(1, Ordering::SeqCst);
        fixture.fetch(&stream_request(&format!("other-{number}")));
    });
    assert_eq!((response.status, response.is_complete), (200, true));
    assert!(response.elapsed < 3 * OBJECTIVE, "took {:?}", response.elapsed);
}

/// A stream whose target freezes between two events is resumed at another target after the last event.
#[test]
fn reported_between_events() {
    let ranks = Ranks::start(4, 2);
    let fixture = fixture(&ranks.targets);
    let serial = AtomicUsize::new(0);
    let response = fetch_while(&fixture, || report_frozen_rank(&fixture, &serial, &ranks));
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body.matches("id: ").count(), 3, "{}", response.body);
    assert!(response.elapsed < 2 * OBJECTIVE, "took {:?}", response.elapsed);
}

/// A rank that is missing in the load report gets no new requests once the report has arrived.
#[test]
fn unreported_rank_gets_no_requests() {
    let ranks = Ranks::start(4, 0);
    let fixture = fixture(&ranks.targets);
    let mut report = load_report(1, &[1_000; 4]);
    report.rank_loads[2] = None;
    fixture.entry.mesh.merge_group_load(report, true);
    for round in 0..40 {
        assert_eq!(fixture.fetch(&stream_request(&format!("r-{round}"))).status, 200);
    }
    assert_eq!(ranks.targets[2].arrivals().len(), 0);
}

/// If the whole group is stalled, requests keep waiting: sending them to other ranks of the group would not help.
#[test]
fn stalled_group_waited_for() {
    let targets: Vec<Target> = (0..4)
        .map(|_| {
            Target::start(|arrival, connection| {
                sleep(5 * OBJECTIVE / 2);
                serve_remaining_events(arrival, connection);
            })
        })
        .collect();
    let fixture = fixture(&targets);
    fixture.entry.mesh.merge_group_load(load_report(1, &[1_000; 4]), true);
    let responses = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|number| {
                let fixture = &fixture;
                scope.spawn(move || fixture.fetch(&stream_request(&format!("r-{number}"))))
            })
            .collect();
        let responses = callers.into_iter().map(|caller| caller.join().expect("no panic"));
        responses.collect::<Vec<_>>()
    });
    assert!(
        responses
            .iter()
            .all(|response| response.status == 200 && response.is_complete)
    );
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    assert_eq!(arrivals, 8);
}

/// A slow target is not unresponsive: while all ranks of a group respond with long pauses, no request is sent twice.
#[test]
fn slow_not_unresponsive() {
    let targets: Vec<Target> = (0..4)
        .map(|_| {
            Target::start(|arrival, connection| {
                sleep(OBJECTIVE / 2);
                connection.stream_head(arrival, "d");
                connection.event(1);
                for id in 2..=3 {
                    sleep(2 * MAX_PAUSE);
                    connection.event(id);
                }
                connection.end_chunks();
            })
        })
        .collect();
    let fixture = fixture(&targets);
    fixture.entry.mesh.merge_group_load(load_report(1, &[1_000; 4]), true);
    std::thread::scope(|scope| {
        for number in 0..12 {
            let fixture = &fixture;
            scope.spawn(move || {
                sleep(Duration::from_millis(40) * number);
                let response = fixture.fetch(&stream_request(&format!("r-{number}")));
                assert_eq!((response.status, response.is_complete), (200, true));
            });
        }
    });
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    assert_eq!(arrivals, 12);
}

/// An unresponsive target of a service without groups is abandoned for another one, and few further requests are sent
/// to it.
#[test]
fn unresponsive_target_avoided() {
    let is_frozen = Arc::new(AtomicBool::new(false));
    let frozen = {
        let is_frozen = Arc::clone(&is_frozen);
        Target::start(move |arrival, connection| {
            if is_frozen.load(Ordering::SeqCst) {
                sleep(FREEZE);
            }
            connection.respond(arrival, "200 OK", "x");
        })
    };
    // Several, so that the frozen target is not the only choice while a busy machine delays one of the others.
    let responding: Vec<Target> = (0..3)
        .map(|_| Target::start(|arrival, connection| connection.respond(arrival, "200 OK", "x")))
        .collect();
    let fixture = Fixture::with(
        settings(),
        document(),
        &[&frozen, &responding[0], &responding[1], &responding[2]],
        &[],
    );
    let send = |id: String| fixture.fetch(&Request::new("GET", "/any/x", &id));
    for round in 0..40 {
        assert_eq!(send(format!("before-{round}")).status, 200);
    }
    is_frozen.store(true, Ordering::SeqCst);
    let count_before = frozen.arrivals().len();
    std::thread::scope(|scope| {
        for number in 0..60 {
            let send = &send;
            scope.spawn(move || {
                sleep(OBJECTIVE / 12 * number);
                let response = send(format!("r-{number}"));
                assert_eq!(response.status, 200, "request {number}");
                assert!(response.elapsed < 2 * OBJECTIVE, "took {:?}", response.elapsed);
            });
        }
    });
    // A quarter of the requests within the first objective plus a few, and occasional ones that check whether it
    // responds again.
    let sent_count = frozen.arrivals().len() - count_before;
    assert!(sent_count <= 8, "{sent_count} requests reached it");
}

/// A request at a frozen target is served elsewhere even while the other targets are idle: that targets without
/// requests send no responses is no sign of a stalled service.
#[test]
fn abandoned_while_others_idle() {
    let is_frozen = Arc::new(AtomicBool::new(false));
    let targets: Vec<Target> = (0..3)
        .map(|rank| {
            let is_frozen = Arc::clone(&is_frozen);
            Target::start(move |arrival, connection| {
                if rank == 0 && is_frozen.load(Ordering::SeqCst) {
                    sleep(FREEZE);
                }
                connection.respond(arrival, "200 OK", "x");
            })
        })
        .collect();
    let fixture = Fixture::with(settings(), document(), &[&targets[0], &targets[1], &targets[2]], &[]);
    let send = |id: String| fixture.fetch(&Request::new("GET", "/any/x", &id));
    for round in 0..20 {
        assert_eq!(send(format!("before-{round}")).status, 200);
    }
    is_frozen.store(true, Ordering::SeqCst);
    let count_before = targets[0].arrivals().len();
    for number in 0.. {
        let response = send(format!("r-{number}"));
        assert_eq!(response.status, 200, "request {number}");
        assert!(response.elapsed < 2 * OBJECTIVE, "took {:?}", response.elapsed);
        if targets[0].arrivals().len() > count_before {
            break;
        }
    }
}
