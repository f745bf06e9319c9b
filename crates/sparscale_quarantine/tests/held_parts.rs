//! Tests which prompt parts are held back, and that the parts which sound requests share with crashing ones are not.

use std::time::Duration;

use sparscale_quarantine::{Content, EndedStart, Fingerprint, HoldCause, Strike, StrikeSource, StrikeStatus, Tracker};

const NOW_MS: u64 = 1_800_000_000_000;
const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;

const CALLER: &str = "ca11e4";
const CRASHING: &str = "bad";

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(id.as_bytes())
}

/// A request that no other equals, with these shared parts.
fn content(name: &str, parts: &[&str]) -> Content {
    let request = Fingerprint::of("POST", "/draft", Some("teal"), name.as_bytes());
    Content::new(request, parts.iter().map(|id| part(id)))
}

/// Records that the target `end` terminated while it ran a request with these parts.
fn record_end(tracker: &mut Tracker, end: u32, parts: &[&str], at_ms: u64) {
    for fingerprint in content(&format!("crashing-{end}"), parts).fingerprints() {
        let strike = Strike {
            subject: fingerprint,
            ended_start: EndedStart::of(&format!("t-{end}"), None),
            at_ms,
            status: StrikeStatus::Counted,
        };
        tracker.merge(strike, StrikeSource::Local, at_ms);
    }
}

fn record_responses(tracker: &mut Tracker, parts: &[&str], count: u32, now_ms: u64) {
    for number in 0..count {
        tracker.record_response(&content(&format!("sound-{number}"), parts), now_ms);
    }
}

/// The part for which a new request with these parts is held at `now_ms`, and the remaining time.
fn hold(tracker: &mut Tracker, parts: &[&str], now_ms: u64) -> Option<(Fingerprint, Duration)> {
    let hold = tracker.active_hold(&content("new", parts), 0.0, now_ms)?;
    match hold.cause {
        HoldCause::Part(part) => Some((part, hold.remaining)),
        HoldCause::Request(_) => None,
    }
}

/// Requests that share nothing but a part crash targets: the part is held after the second, for longer each time that
/// another target terminates after a hold.
#[test]
fn held_by_termination_count() {
    let mut tracker = Tracker::default();
    record_end(&mut tracker, 1, &[CRASHING], NOW_MS);
    assert_eq!(hold(&mut tracker, &[CRASHING], NOW_MS), None);
    record_end(&mut tracker, 2, &[CRASHING], NOW_MS);
    let minute = Duration::from_mins(1);
    assert_eq!(hold(&mut tracker, &[CRASHING], NOW_MS), Some((part(CRASHING), minute)));
    assert_eq!(hold(&mut tracker, &["other"], NOW_MS), None);
    record_end(&mut tracker, 3, &[CRASHING], NOW_MS);
    assert_eq!(
        hold(&mut tracker, &[CRASHING], NOW_MS + MINUTE_MS),
        None,
        "one is tried"
    );
    record_end(&mut tracker, 4, &[CRASHING], NOW_MS + MINUTE_MS);
    let day_later = NOW_MS + MINUTE_MS + 23 * 60 * MINUTE_MS;
    assert!(hold(&mut tracker, &[CRASHING], day_later).is_some());
}

/// The caller's part is in every crashing request, but also in sound ones that were answered before.
#[test]
fn familiar_part_served() {
    let mut tracker = Tracker::default();
    record_responses(&mut tracker, &[CALLER, "subject"], 1, NOW_MS);
    for end in 0..5 {
        record_end(
            &mut tracker,
            end,
            &[CALLER, CRASHING],
            NOW_MS + u64::from(end) * 5 * SECOND_MS,
        );
    }
    let later_ms = NOW_MS + 26 * SECOND_MS;
    let held = hold(&mut tracker, &[CALLER, CRASHING], later_ms);
    assert_eq!(held.map(|(part, _)| part), Some(part(CRASHING)));
    assert_eq!(hold(&mut tracker, &[CALLER, "subject"], later_ms), None);
}

/// Another process knows the caller's part from its own responses, and this one learns that from the strike.
#[test]
fn familiarity_spreads() {
    let (mut observer, mut familiar) = (Tracker::default(), Tracker::default());
    record_responses(&mut familiar, &[CALLER], 1, NOW_MS);
    for end in 1..=2 {
        record_end(&mut observer, end, &[CALLER, CRASHING], NOW_MS);
    }
    for strike in observer.changes_since(0).0 {
        familiar.merge(strike, StrikeSource::Peer, NOW_MS);
    }
    for strike in familiar.changes_since(0).0 {
        observer.merge(strike, StrikeSource::Peer, NOW_MS);
    }
    assert_eq!(hold(&mut observer, &[CALLER], NOW_MS), None);
    assert!(hold(&mut observer, &[CALLER, CRASHING], NOW_MS).is_some());
}

/// No process has received a response with the caller's part. Requests without the crashing part are sent one at a time;
/// the first complete response clears the caller's part.
#[test]
fn unfamiliar_part_probed() {
    let mut tracker = Tracker::default();
    for end in 1..=2 {
        record_end(&mut tracker, end, &[CALLER, CRASHING], NOW_MS);
    }
    let probe = content("first", &[CALLER]);
    assert_eq!(tracker.active_hold(&probe, 0.0, NOW_MS), None);
    assert_eq!(
        tracker.active_hold(&probe, 0.0, NOW_MS + 1),
        None,
        "the same request again"
    );
    let (_, wait) = hold(&mut tracker, &[CALLER], NOW_MS + 1).expect("a second probe has to wait");
    assert!(wait <= Duration::from_secs(1), "{wait:?}");
    assert!(hold(&mut tracker, &[CALLER, CRASHING], NOW_MS + 5 * SECOND_MS).is_some());
    tracker.record_response(&probe, NOW_MS + SECOND_MS);
    assert_eq!(hold(&mut tracker, &[CALLER], NOW_MS + SECOND_MS), None);
    assert!(hold(&mut tracker, &[CALLER, CRASHING], NOW_MS + SECOND_MS).is_some());
}

/// A probe that crashes a target shows that the part itself is the cause.
#[test]
fn failed_probe_holds() {
    let mut tracker = Tracker::default();
    for end in 1..=2 {
        record_end(&mut tracker, end, &[CRASHING, "bystander"], NOW_MS);
    }
    assert_eq!(hold(&mut tracker, &[CRASHING], NOW_MS), None);
    record_end(&mut tracker, 3, &[CRASHING], NOW_MS);
    let held = hold(&mut tracker, &[CRASHING], NOW_MS + 5 * SECOND_MS);
    assert_eq!(held.map(|(part, _)| part), Some(part(CRASHING)));
}

/// The loss of a rack terminates many targets at once, and the parts in use are on several of them.
#[test]
fn rack_loss_holds_nothing() {
    let mut tracker = Tracker::default();
    record_responses(&mut tracker, &[CALLER], 1, NOW_MS);
    for end in 0..12 {
        record_end(&mut tracker, end, &[CALLER], NOW_MS + u64::from(end) * 20);
    }
    assert_eq!(hold(&mut tracker, &[CALLER], NOW_MS + SECOND_MS), None);
}

/// A part that was sound crashes targets since their software changed: it is held after three occasions without an
/// answer in between, and an answer starts the count again.
#[test]
fn familiar_part_turns() {
    let mut tracker = Tracker::default();
    record_responses(&mut tracker, &[CALLER], 3, NOW_MS);
    let at_ms = |end: u32| NOW_MS + u64::from(end) * 5 * SECOND_MS;
    for end in 1..=2 {
        record_end(&mut tracker, end, &[CALLER], at_ms(end));
    }
    record_responses(&mut tracker, &[CALLER], 2, at_ms(2));
    for end in 3..=4 {
        record_end(&mut tracker, end, &[CALLER], at_ms(end));
        assert_eq!(hold(&mut tracker, &[CALLER], at_ms(end)), None);
    }
    record_end(&mut tracker, 5, &[CALLER], at_ms(5));
    assert!(hold(&mut tracker, &[CALLER], at_ms(5)).is_some());
}

/// A part in constant use meets many terminations over time; the latest ones count nevertheless.
#[test]
fn cleared_ends_make_room() {
    let mut tracker = Tracker::default();
    for end in 0..40 {
        record_end(&mut tracker, end, &[CALLER], NOW_MS + u64::from(end) * MINUTE_MS);
        record_responses(&mut tracker, &[CALLER], 2, NOW_MS + u64::from(end) * MINUTE_MS);
    }
    record_end(&mut tracker, 40, &[CALLER], NOW_MS + 40 * MINUTE_MS);
    assert_eq!(tracker.end_count(&part(CALLER)), 1);
}

/// Strikes with each status, merged in any order, lead to the same state.
#[test]
fn status_order_irrelevant() {
    let strike = |status| Strike {
        subject: part(CALLER),
        ended_start: EndedStart::of("t-1", None),
        at_ms: NOW_MS,
        status,
    };
    let statuses = [StrikeStatus::Counted, StrikeStatus::Familiar, StrikeStatus::Cleared];
    for (first, second) in statuses
        .iter()
        .flat_map(|first| statuses.map(|second| (*first, second)))
    {
        let mut tracker = Tracker::default();
        tracker.merge(strike(first), StrikeSource::Peer, NOW_MS);
        tracker.merge(strike(second), StrikeSource::Store, NOW_MS);
        let (known, _) = tracker.changes_since(0);
        assert_eq!(known, [strike(first.max(second))], "{first:?}, {second:?}");
    }
}

/// Requests that share only the caller's part run on every target, so all of them are on two that terminate at the same
/// time or one after the other. No process knows the part as sound.
#[test]
fn shared_part_released() {
    for second_end_ms in [NOW_MS, NOW_MS + 3 * SECOND_MS] {
        let mut tracker = Tracker::default();
        record_end(&mut tracker, 1, &[CALLER], NOW_MS);
        record_end(&mut tracker, 2, &[CALLER], second_end_ms);
        let (_, remaining) = hold(&mut tracker, &[CALLER], second_end_ms).expect("both may be caused by the part");
        assert!(remaining > Duration::from_secs(10), "{remaining:?}");
        let trial = content("trial", &[CALLER]);
        let hold_of_trial = tracker.active_hold(&trial, 0.0, second_end_ms).expect("it waits");
        let trial_ms = second_end_ms + u64::try_from(hold_of_trial.retry_after().as_millis()).expect("short");
        assert!(trial_ms <= second_end_ms + 5 * SECOND_MS);
        assert_eq!(tracker.active_hold(&trial, 0.0, trial_ms), None);
        assert!(hold(&mut tracker, &[CALLER], trial_ms).is_some(), "one at a time");
        tracker.record_response(&trial, trial_ms + SECOND_MS);
        assert_eq!(hold(&mut tracker, &[CALLER], trial_ms + SECOND_MS), None);
    }
}

/// One target terminates for another reason and one because of the crashing part, which no single part explains.
#[test]
fn mixed_causes_separated() {
    let mut tracker = Tracker::default();
    record_end(&mut tracker, 1, &[CALLER], NOW_MS);
    record_end(&mut tracker, 2, &[CALLER, CRASHING], NOW_MS + 3 * SECOND_MS);
    let at_ms = |seconds: u64| NOW_MS + seconds * SECOND_MS;
    assert!(
        hold(&mut tracker, &[CALLER, CRASHING], at_ms(8)).is_some(),
        "sound ones first"
    );
    let trial = content("trial", &[CALLER]);
    assert_eq!(tracker.active_hold(&trial, 0.0, at_ms(8)), None);
    tracker.record_response(&trial, at_ms(10));
    assert_eq!(hold(&mut tracker, &[CALLER], at_ms(10)), None);
    record_end(&mut tracker, 3, &[CALLER, CRASHING], at_ms(11));
    for seconds in 11..60 {
        let held = hold(&mut tracker, &[CALLER, CRASHING], at_ms(seconds));
        assert_eq!(held.map(|(part, _)| part), Some(part(CRASHING)), "after {seconds} s");
        assert_eq!(hold(&mut tracker, &[CALLER], at_ms(seconds)), None);
    }
}

/// A part that is known as sound is on three occasions of crashes without a response in between.
#[test]
fn familiar_part_released() {
    let mut tracker = Tracker::default();
    record_responses(&mut tracker, &[CALLER], 1, NOW_MS);
    for end in 0..3 {
        record_end(&mut tracker, end, &[CALLER], NOW_MS + u64::from(end) * 5 * SECOND_MS);
    }
    assert!(hold(&mut tracker, &[CALLER], NOW_MS + 10 * SECOND_MS).is_some());
    record_end(&mut tracker, 3, &[CALLER, CRASHING], NOW_MS + 10 * SECOND_MS);
    let later_ms = NOW_MS + 15 * SECOND_MS;
    assert!(
        hold(&mut tracker, &[CALLER, CRASHING], later_ms).is_some(),
        "sound ones first"
    );
    let trial = content("trial", &[CALLER]);
    assert_eq!(tracker.active_hold(&trial, 0.0, later_ms), None);
    // The response takes longer than the time to the next trial.
    let next_trial = content("next", &[CALLER]);
    assert_eq!(tracker.active_hold(&next_trial, 0.0, later_ms + SECOND_MS), None);
    tracker.record_response(&trial, NOW_MS + 17 * SECOND_MS);
    assert_eq!(hold(&mut tracker, &[CALLER], NOW_MS + 17 * SECOND_MS), None);
    assert_eq!(tracker.end_count(&part(CALLER)), 0, "one response is enough");
}

/// The trials of an earlier hold say nothing about a later one.
#[test]
fn earlier_trials_forgotten() {
    let mut tracker = Tracker::default();
    for (hold_number, start_ms) in [NOW_MS, NOW_MS + 60 * MINUTE_MS].into_iter().enumerate() {
        let first_end = u32::try_from(hold_number).expect("few") * 3;
        for end in 0..3 {
            let at_ms = start_ms + u64::from(end) * 2 * SECOND_MS;
            record_end(&mut tracker, first_end + end, &[CALLER], at_ms);
        }
        let trial = content(&format!("trial-{hold_number}"), &[CALLER]);
        assert!(tracker.active_hold(&trial, 0.0, start_ms + 4 * SECOND_MS).is_some());
        let held = tracker.active_hold(&trial, 0.0, start_ms + 13 * SECOND_MS);
        assert_eq!(held, None, "trial {hold_number}");
        tracker.record_response(&trial, start_ms + 14 * SECOND_MS);
        assert_eq!(tracker.end_count(&part(CALLER)), 0);
    }
}

/// All requests share a part that crashes targets: two more are risked in the first minute, by all processes together.
#[test]
fn few_failed_trials() {
    let mut trackers: Vec<Tracker> = (0..4).map(|_| Tracker::default()).collect();
    let mut ends = 0;
    for tenth in 0..600_u64 {
        let now_ms = NOW_MS + tenth * 100;
        for process in 0..trackers.len() {
            let delay = process as f64 / trackers.len() as f64;
            trackers[process].set_process_count(4);
            let request = content(&format!("{tenth}-{process}"), &[CRASHING]);
            if trackers[process].active_hold(&request, delay, now_ms).is_none() {
                ends += 1;
                record_end(&mut trackers[process], ends, &[CRASHING], now_ms);
            }
        }
        // Strikes reach the other processes a tenth of a second later.
        let known: Vec<Strike> = trackers.iter().flat_map(|tracker| tracker.changes_since(0).0).collect();
        for tracker in &mut trackers {
            for strike in &known {
                tracker.merge(*strike, StrikeSource::Peer, now_ms);
            }
        }
    }
    assert!(
        ends <= 4 + 2,
        "{ends} targets terminated, of which four before any process knew"
    );
}

/// A part of many requests is marked as sound, so a process that starts later does not hold it after two terminations.
#[test]
fn sound_part_marked() {
    let mut observer = Tracker::marking();
    record_responses(&mut observer, &[CALLER, "rare"], 1, NOW_MS);
    assert_eq!(observer.changes_since(0).0, [], "one response marks nothing");
    record_responses(&mut observer, &[CALLER], 20, NOW_MS);
    let marks = observer.unsaved();
    assert_eq!(marks.len(), 1, "one mark");
    let mut restarted = Tracker::marking();
    restarted.merge_snapshot(&marks, NOW_MS, Duration::from_secs(2), NOW_MS);
    record_end(&mut restarted, 1, &[CALLER], NOW_MS + MINUTE_MS);
    record_end(
        &mut restarted,
        2,
        &[CALLER, CRASHING],
        NOW_MS + MINUTE_MS + 3 * SECOND_MS,
    );
    record_end(
        &mut restarted,
        3,
        &[CALLER, CRASHING],
        NOW_MS + MINUTE_MS + 6 * SECOND_MS,
    );
    let later_ms = NOW_MS + MINUTE_MS + 7 * SECOND_MS;
    assert_eq!(hold(&mut restarted, &[CALLER], later_ms), None);
    assert!(hold(&mut restarted, &[CALLER, CRASHING], later_ms).is_some());
}

/// Marks are bounded in number and rate, renewed while the part is in use, and removed after a day.
#[test]
fn marks_bounded() {
    let mut tracker = Tracker::marking();
    for second in 0..300_u64 {
        for number in 0..200 {
            record_responses(&mut tracker, &[&format!("p-{number}")], 1, NOW_MS + second * SECOND_MS);
        }
        assert!(tracker.unsaved().len() as u64 <= second + 1);
    }
    assert_eq!(tracker.unsaved().len(), 64);
    let day_ms = 24 * 60 * MINUTE_MS;
    for hour in 1..72 {
        record_responses(&mut tracker, &["p-0"], 8, NOW_MS + hour * 60 * MINUTE_MS);
        tracker.remove_expired(NOW_MS + hour * 60 * MINUTE_MS);
    }
    assert!(tracker.unsaved().len() <= 6, "{}", tracker.unsaved().len());
    tracker.remove_expired(NOW_MS + 5 * day_ms);
    assert_eq!(tracker.unsaved(), []);
}
