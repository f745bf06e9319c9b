//! What an entry tracks of the responses of targets and of the reports of group leaders.

use std::time::{Duration, Instant};

use sparscale_catalog::{Directory, Incarnations, Instance, Membership, Roster, Target};
use sparscale_policy::response_timeout::{Health, ResponsePart};
use sparscale_policy::response_tracker::{PendingResponse, Tracker};
use sparscale_samples as samples;
use sparscale_wire::{group, rank};

const RANKS: usize = 4;
const OBJECTIVE: Duration = Duration::from_millis(500);

fn rank(group: &str, rank: usize) -> Target {
    Target {
        membership: Some(Membership {
            group: group.to_owned(),
            rank,
            size: RANKS,
            is_open: true,
        }),
        ..samples::target(&format!("{group}-{rank}"), samples::MODEL_SERVICE, 9_000 + rank as u16)
    }
}

fn directory(groups: &[&str]) -> Directory {
    let ranks = groups
        .iter()
        .flat_map(|group| (0..RANKS).map(|index| rank(group, index)));
    Directory::new(&Roster::new(ranks.collect()), &mut Incarnations::default())
}

fn wait(instance: &Instance) -> PendingResponse<'_> {
    PendingResponse {
        instance,
        response_part: ResponsePart::FirstEvent,
        due_within: OBJECTIVE,
        caller_timeout: OBJECTIVE * 4,
    }
}

/// A group leader's report in which the ranks of `unresponsive` are missing.
fn report(group: &str, unresponsive: &[usize]) -> group::Load {
    let load = |index: usize| (!unresponsive.contains(&index)).then(rank::Load::default);
    group::Load {
        group: group.to_owned(),
        sequence: (1, 1),
        is_running: true,
        skew: 1.1,
        mean_pass_micros: 50_000,
        latest_pass: 1,
        rank_loads: (0..RANKS).map(load).collect(),
    }
}

/// Deployments come and go: the tracked state must stay bounded by the targets that exist.
#[test]
fn removed_targets_dropped() {
    let now = Instant::now();
    let mut tracker = Tracker::default();
    let before = directory(&["a", "b", "c"]);
    for instance in before.instances() {
        tracker.record_response(instance, ResponsePart::FirstEvent, OBJECTIVE, now);
    }
    tracker.record_group_load(&report("d", &[]), now);
    assert_eq!(tracker.len(), 4);
    let after = directory(&["b"]);
    tracker.retain(&after);
    assert_eq!(tracker.len(), 1);
    assert!(tracker.evidence(&wait(&after.instances()[0]), now).is_some());
    assert!(tracker.evidence(&wait(&before.instances()[0]), now).is_none());
}

#[test]
fn leader_report_trusted() {
    let now = Instant::now();
    let targets = directory(&["a"]);
    let health = |unresponsive: &[usize], rank: usize, elapsed: Duration| {
        let mut tracker = Tracker::default();
        tracker.record_group_load(&report("a", unresponsive), now);
        let evidence = tracker.evidence(&wait(&targets.instances()[rank]), now + elapsed);
        evidence.expect("the group is known").health
    };
    assert_eq!(health(&[1], 1, Duration::ZERO), Health::Unresponsive);
    assert_eq!(health(&[1], 2, Duration::ZERO), Health::Responsive);
    assert_eq!(
        health(&[1], 1, Duration::from_secs(1)),
        Health::Unknown,
        "an old report"
    );
    assert_eq!(
        health(&[1, 2], 1, Duration::ZERO),
        Health::Unknown,
        "the leader's own box is the likelier cause"
    );
}

/// A target's own responses don't count as activity of others.
#[test]
fn only_other_targets_count() {
    let now = Instant::now();
    let targets = directory(&["a"]);
    let [first, second, ..] = targets.instances() else {
        panic!("four ranks");
    };
    let mut tracker = Tracker::default();
    tracker.record_response(first, ResponsePart::FirstEvent, OBJECTIVE, now);
    let others_heard = |tracker: &Tracker, instance: &Instance| {
        tracker
            .evidence(&wait(instance), now)
            .and_then(|evidence| evidence.since_others_active)
    };
    assert_eq!(others_heard(&tracker, first), None);
    assert_eq!(others_heard(&tracker, second), Some(Duration::ZERO));
    tracker.record_response(second, ResponsePart::FirstEvent, OBJECTIVE, now);
    assert_eq!(others_heard(&tracker, first), Some(Duration::ZERO));
}

fn plain_targets() -> Directory {
    let targets = (0..3).map(|index| samples::target(&format!("plain-{index}"), samples::MODEL_SERVICE, 9_100 + index));
    Directory::new(&Roster::new(targets.collect()), &mut Incarnations::default())
}

/// A target without pending responses can't show progress, so it counts as idle; one with a pending response that
/// doesn't respond suggests that the whole service is stalled.
#[test]
fn idle_without_pending_responses() {
    let now = Instant::now();
    let targets = plain_targets();
    let [first, second, ..] = targets.instances() else {
        panic!("three targets");
    };
    let mut tracker = Tracker::default();
    let others_idle = |tracker: &Tracker| {
        tracker
            .evidence(&wait(first), now)
            .map(|evidence| evidence.are_others_idle)
    };
    tracker.begin_wait(first);
    tracker.begin_wait(first);
    assert_eq!(others_idle(&tracker), Some(true), "its own waits don't count");
    tracker.begin_wait(second);
    tracker.begin_wait(second);
    assert_eq!(others_idle(&tracker), Some(false));
    tracker.end_wait(second);
    assert_eq!(others_idle(&tracker), Some(false), "one wait remains");
    tracker.end_wait(second);
    assert_eq!(others_idle(&tracker), Some(true));
}

/// A single request at a group that is stalled as a whole stays where it is, unless the leader reports this rank as
/// unresponsive.
#[test]
fn idle_group_needs_report() {
    let now = Instant::now();
    let targets = directory(&["a"]);
    let first = &targets.instances()[0];
    let mut tracker = Tracker::default();
    tracker.begin_wait(first);
    let others_idle = |tracker: &Tracker| {
        tracker
            .evidence(&wait(first), now)
            .map(|evidence| evidence.are_others_idle)
    };
    assert_eq!(others_idle(&tracker), Some(false), "no report");
    tracker.record_group_load(&report("a", &[1]), now);
    assert_eq!(others_idle(&tracker), Some(false), "the rank responds");
    let mut next_report = report("a", &[0]);
    next_report.sequence = (1, 2);
    tracker.record_group_load(&next_report, now);
    assert_eq!(others_idle(&tracker), Some(true));
}
