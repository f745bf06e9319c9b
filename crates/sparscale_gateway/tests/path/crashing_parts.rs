//! Requests that share one part of their prompt crash each target that begins to write a response to it. The part is
//! quarantined, and requests that share their other parts are served.
//!
//! Guards against this failure: no two of the requests were alike, so none was recognized, and ten targets crashed.

use std::time::Duration;

use crate::entry::{Fixture, Request, linked_settings, settings, wait_for};
use crate::target::{Arrival, Connection, Target};

const CRASHING_PART: &str = "bad0bad0";
const CALLER_PART: &str = "ca11e401";
/// Targets that may crash before the part is quarantined.
const MAX_CRASHED: usize = 5;
/// Sends that may still reach targets after that many crashes.
const MAX_LATER_SENDS: usize = 3;
/// Time within which a change reaches linked processes.
const SPREAD_TIME: Duration = Duration::from_millis(1_500);

fn has_crashing_part(arrival: &Arrival) -> bool {
    let parts = arrival.header("sparscale-prompt-parts");
    parts.is_some_and(|parts| parts.contains(CRASHING_PART))
}

/// Body of a request during which a target fails for a reason of its own.
const FAILURE: &str = "the target fails";

fn crash_or_stream(arrival: &Arrival, connection: &mut Connection) {
    connection.stream_head(arrival, "d-1");
    connection.event(1);
    if has_crashing_part(arrival) || arrival.body == FAILURE.as_bytes() {
        connection.crash();
        return;
    }
    connection.event(2);
    connection.end_chunks();
}

fn model_targets(count: usize) -> Vec<Target> {
    (0..count).map(|_| Target::start(crash_or_stream)).collect()
}

fn fixture(targets: &[Target]) -> Fixture {
    Fixture::new(&[], &targets.iter().collect::<Vec<_>>())
}

fn crashed_count(targets: &[Target]) -> usize {
    targets.iter().filter(|target| target.has_crashed()).count()
}

fn crashing_sends(targets: &[Target]) -> usize {
    let arrivals = targets.iter().flat_map(Target::arrivals);
    arrivals.filter(has_crashing_part).count()
}

/// A request that differs from all others in its body and in the last part of its prompt.
fn request(id: &str, shared_parts: &str) -> Request {
    Request::new("POST", "/stream/x", id)
        .with("Sparscale-Prompt-Parts", &format!("{shared_parts},0{id}:100"))
        .body(&format!("body of {id}"))
}

fn sound_request(id: &str) -> Request {
    request(id, &format!("{CALLER_PART}:40,5ub1ec7:60"))
}

fn crashing_request(id: &str) -> Request {
    request(id, &format!("{CALLER_PART}:40,{CRASHING_PART}:200"))
}

fn assert_sound_served(fixture: &Fixture, id: &str) {
    for number in 0..5 {
        let response = fixture.fetch(&sound_request(&format!("{id}-{number}")));
        assert_eq!(response.status, 200, "{id}: a request without the part is served");
        assert!(response.is_complete);
    }
}

/// The requests arrive at two linked entries in turn.
#[test]
fn spread_over_requests() {
    let targets = model_targets(16);
    let first = fixture(&targets);
    let linked = first.start_another(linked_settings(&first));
    wait_for("a link", || linked.entry.mesh.status().borrow().sharers == Some(2));
    assert_sound_served(&first, "before-first");
    assert_sound_served(&linked, "before-linked");
    for round in 0..10 {
        let entry = if round % 2 == 0 { &first } else { &linked };
        entry.fetch(&crashing_request(&format!("c-{round}")));
    }
    let (crashed, sends) = (crashed_count(&targets), crashing_sends(&targets));
    assert!(crashed <= MAX_CRASHED, "{crashed} targets crashed");
    assert!(sends <= MAX_CRASHED + MAX_LATER_SENDS, "{sends} sends");
    let response = first.fetch(&crashing_request("again"));
    assert_eq!(response.status, 503, "it has not run");
    assert_sound_served(&first, "after-first");
    assert_sound_served(&linked, "after-linked");
}

/// The part stays quarantined at an entry that receives strikes only from the store, and at one that starts later.
#[test]
fn known_after_restart() {
    let targets = model_targets(16);
    let first = fixture(&targets);
    let unlinked = first.start_another(settings());
    assert_sound_served(&first, "before");
    for round in 0..4 {
        first.fetch(&crashing_request(&format!("f-{round}")));
    }
    std::thread::sleep(SPREAD_TIME);
    let crashed = crashed_count(&targets);
    for round in 0..4 {
        unlinked.fetch(&crashing_request(&format!("u-{round}")));
    }
    let restarted = first.start_another(settings());
    drop((first, unlinked));
    for round in 0..4 {
        restarted.fetch(&crashing_request(&format!("r-{round}")));
    }
    assert!(crashed <= MAX_CRASHED, "{crashed} targets crashed through one entry");
    assert_eq!(crashed_count(&targets), crashed, "the other entries know the part");
    assert_sound_served(&restarted, "after");
}

/// A request that shares only the caller's part with others, and is sent to one target.
fn single_request(id: &str, shared_parts: &str) -> Request {
    Request::new("POST", "/cut/x", id)
        .with("Sparscale-Prompt-Parts", &format!("{shared_parts},0{id}:100"))
        .body(&format!("body of {id}"))
}

fn caller_request(id: &str) -> Request {
    single_request(id, &format!("{CALLER_PART}:40"))
}

/// One target fails for a reason of its own, another one by the crashing part.
fn cause_both_crashes(fixture: &Fixture) {
    fixture.fetch(&caller_request("fails").body(FAILURE));
    fixture.fetch(&single_request(
        "crashes",
        &format!("{CALLER_PART}:40,{CRASHING_PART}:60"),
    ));
}

/// Guards against this failure: two crashes of different causes held the part that all requests shared for minutes,
/// because the entry had just started and did not know it as sound.
#[test]
fn unknown_part_served() {
    let targets = model_targets(8);
    let fixture = fixture(&targets);
    cause_both_crashes(&fixture);
    assert_eq!(crashed_count(&targets), 2);
    assert_eq!(fixture.fetch(&caller_request("held")).status, 503);
    wait_for("a response to a request with the part", || {
        fixture.fetch(&caller_request("again")).status == 200
    });
    for number in 0..5 {
        let response = fixture.fetch(&caller_request(&format!("after-{number}")));
        assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
    }
    let crashing = single_request("once-more", &format!("{CALLER_PART}:40,{CRASHING_PART}:60"));
    fixture.fetch(&crashing);
    assert_eq!(fixture.fetch(&caller_request("last")).status, 200);
    assert_eq!(
        crashed_count(&targets),
        3,
        "its second crash, after which the part is held"
    );
}

/// What entries knew as sound before they all restarted is not held at all.
#[test]
fn sound_part_known_after_restart() {
    let targets = model_targets(8);
    let first = fixture(&targets);
    for number in 0..10 {
        assert_eq!(first.fetch(&caller_request(&format!("before-{number}"))).status, 200);
    }
    wait_for("the mark in the store", || !first.strikes.is_empty());
    let restarted = first.start_another(settings());
    drop(first);
    std::thread::sleep(SPREAD_TIME);
    cause_both_crashes(&restarted);
    for number in 0..5 {
        let response = restarted.fetch(&caller_request(&format!("after-{number}")));
        assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
    }
}
