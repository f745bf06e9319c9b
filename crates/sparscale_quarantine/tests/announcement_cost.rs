//! Counts the announcements that one termination causes among processes that all send to all others.
//!
//! `cargo test --release -p sparscale_quarantine --test announcement_cost -- --nocapture` prints the figures.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

use sparscale_quarantine::{Content, EndedStart, Fingerprint, Strike, StrikeSource, StrikeStatus, Tracker};

const NOW_MS: u64 = 1_800_000_000_000;
/// Requests that a target runs when it terminates.
const BATCH: usize = 6;
/// Decisions that are timed.
const DECISIONS: u32 = 1_000;

fn content(name: &str) -> Content {
    let parts = ["instructions", "caller", name].map(|id| Fingerprint::of_part(id.as_bytes()));
    Content::new(Fingerprint::of("POST", "/draft", None, name.as_bytes()), parts)
}

/// Records that the target `end` terminated while it ran `content`.
fn record_end(tracker: &mut Tracker, content: &Content, end: &str) {
    for request in content.fingerprints() {
        let strike = Strike {
            subject: request,
            ended_start: EndedStart::of(end, None),
            at_ms: NOW_MS,
            status: StrikeStatus::Counted,
        };
        tracker.merge(strike, StrikeSource::Local, NOW_MS);
    }
}

/// Number of frames and strikes sent by `count` processes, a fraction of which know the caller's part, until all know
/// the strikes of one termination. Each frame carries all that changed since the last one to the same process.
fn flood(count: usize) -> (usize, usize) {
    let mut trackers: Vec<Tracker> = (0..count).map(|_| Tracker::default()).collect();
    for tracker in trackers.iter_mut().step_by(3) {
        tracker.record_response(&content("earlier"), NOW_MS);
    }
    for request in 0..BATCH {
        record_end(&mut trackers[request % count], &content(&format!("r-{request}")), "t-1");
    }
    let mut sent_versions = vec![0; count];
    let mut pending: VecDeque<usize> = (0..count).collect();
    let (mut frames, mut strikes) = (0, 0);
    while let Some(sender) = pending.pop_front() {
        let (changes, version) = trackers[sender].changes_since(sent_versions[sender]);
        sent_versions[sender] = version;
        if changes.is_empty() {
            continue;
        }
        for receiver in (0..count).filter(|receiver| *receiver != sender) {
            frames += 1;
            strikes += changes.len();
            let before = trackers[receiver].version();
            for strike in &changes {
                trackers[receiver].merge(*strike, StrikeSource::Peer, NOW_MS);
            }
            if trackers[receiver].version() != before {
                pending.push_back(receiver);
            }
        }
    }
    (frames, strikes)
}

/// Each process announces a termination a bounded number of times to each other one, however many there are.
#[test]
fn bounded_announcements() {
    for count in [4, 8, 53, 106] {
        let (frames, strikes) = flood(count);
        let links = count * (count - 1);
        println!(
            "{count} processes: {frames} frames, {strikes} strikes, {:.2} frames a link",
            frames as f64 / links as f64
        );
        assert!(frames <= 3 * links, "{frames} frames on {links} links");
    }
}

/// The time of a decision about a request whose parts are suspected, while as many requests as possible are tracked.
#[test]
fn decision_with_full_tracker() {
    let mut tracker = Tracker::default();
    for number in 0..5_000 {
        record_end(
            &mut tracker,
            &content(&format!("r-{number}")),
            &format!("t-{}", number % 40),
        );
    }
    let other_parts = ["instructions of others", "other caller", "new"].map(|id| Fingerprint::of_part(id.as_bytes()));
    let request = Fingerprint::of("POST", "/draft", None, b"new");
    for (name, content) in [
        ("suspected", content("new")),
        ("unsuspected", Content::new(request, other_parts)),
    ] {
        let started_at = Instant::now();
        for _ in 0..DECISIONS {
            black_box(tracker.active_hold(black_box(&content), 0.5, NOW_MS));
        }
        println!("{name}: {:?} a decision", started_at.elapsed() / DECISIONS);
    }
    assert!(tracker.active_hold(&content("new"), 0.5, NOW_MS).is_some());
}
