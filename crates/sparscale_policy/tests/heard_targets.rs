//! What an entry remembers of who was heard.

use std::time::{Duration, Instant};

use sparscale_catalog::{Directory, Incarnations, Membership, Roster, Seat, Target};
use sparscale_policy::heard::{Register, Wait};
use sparscale_policy::silence::{Awaited, Health};
use sparscale_samples as samples;
use sparscale_wire::{GroupLoad, RankLoad};

const RANKS: usize = 4;
const OBJECTIVE: Duration = Duration::from_millis(500);

fn rank(group: &str, rank: usize) -> Target {
    Target {
        membership: Some(Membership {
            group: group.to_owned(),
            rank,
            size: RANKS,
            open: true,
        }),
        ..samples::target(&format!("{group}-{rank}"), samples::MODEL, 9_000 + rank as u16)
    }
}

fn directory(groups: &[&str]) -> Directory {
    let ranks = groups
        .iter()
        .flat_map(|group| (0..RANKS).map(|index| rank(group, index)));
    Directory::new(&Roster::new(ranks.collect()), &mut Incarnations::default())
}

fn wait(seat: &Seat) -> Wait<'_> {
    Wait {
        seat,
        awaited: Awaited::First,
        allowed: OBJECTIVE,
        given_up_after: OBJECTIVE * 4,
    }
}

/// A conductor's report of its group, in which the ranks of `unheard` are missing.
fn told(group: &str, unheard: &[usize]) -> GroupLoad {
    let load = |index: usize| (!unheard.contains(&index)).then(RankLoad::default);
    GroupLoad {
        group: group.to_owned(),
        order: (1, 1),
        open: true,
        skew: 1.1,
        pass_micros: 50_000,
        pass: 1,
        ranks: (0..RANKS).map(load).collect(),
    }
}

/// Deployments come and go: what is remembered is bounded by the targets that there are.
#[test]
fn gone_forgotten() {
    let now = Instant::now();
    let mut register = Register::default();
    let before = directory(&["a", "b", "c"]);
    for seat in before.seats() {
        register.note(seat, Awaited::First, OBJECTIVE, now);
    }
    register.note_told(&told("d", &[]), now);
    assert_eq!(register.len(), 4);
    let after = directory(&["b"]);
    register.retain(&after);
    assert_eq!(register.len(), 1);
    assert!(register.evidence(&wait(&after.seats()[0]), now).is_some());
    assert!(register.evidence(&wait(&before.seats()[0]), now).is_none());
}

#[test]
fn conductor_believed() {
    let now = Instant::now();
    let targets = directory(&["a"]);
    let health = |unheard: &[usize], rank: usize, later: Duration| {
        let mut register = Register::default();
        register.note_told(&told("a", unheard), now);
        let evidence = register.evidence(&wait(&targets.seats()[rank]), now + later);
        evidence.expect("the group is known").health
    };
    assert_eq!(health(&[1], 1, Duration::ZERO), Health::Silent);
    assert_eq!(health(&[1], 2, Duration::ZERO), Health::Alive);
    assert_eq!(
        health(&[1], 1, Duration::from_secs(1)),
        Health::Unknown,
        "an old report"
    );
    assert_eq!(
        health(&[1, 2], 1, Duration::ZERO),
        Health::Unknown,
        "its own box is the likelier cause"
    );
}

/// The silence of a target is held against it only where another one was heard.
#[test]
fn others_count() {
    let now = Instant::now();
    let targets = directory(&["a"]);
    let [first, second, ..] = targets.seats() else {
        panic!("four ranks");
    };
    let mut register = Register::default();
    register.note(first, Awaited::First, OBJECTIVE, now);
    let heard =
        |register: &Register, seat: &Seat| register.evidence(&wait(seat), now).and_then(|seen| seen.others_heard);
    assert_eq!(heard(&register, first), None);
    assert_eq!(heard(&register, second), Some(Duration::ZERO));
    register.note(second, Awaited::First, OBJECTIVE, now);
    assert_eq!(heard(&register, first), Some(Duration::ZERO));
}

fn plain_targets() -> Directory {
    let targets = (0..3).map(|index| samples::target(&format!("plain-{index}"), samples::MODEL, 9_100 + index));
    Directory::new(&Roster::new(targets.collect()), &mut Incarnations::default())
}

/// Whoever owes nothing can't be heard; whoever owes something and says nothing speaks for a service that stands still.
#[test]
fn idle_while_owing_nothing() {
    let now = Instant::now();
    let targets = plain_targets();
    let [first, second, ..] = targets.seats() else {
        panic!("three targets");
    };
    let mut register = Register::default();
    let idle = |register: &Register| register.evidence(&wait(first), now).map(|seen| seen.others_idle);
    register.begin_wait(first);
    register.begin_wait(first);
    assert_eq!(idle(&register), Some(true), "its own waits don't count");
    register.begin_wait(second);
    register.begin_wait(second);
    assert_eq!(idle(&register), Some(false));
    register.end_wait(second);
    assert_eq!(idle(&register), Some(false), "one is left");
    register.end_wait(second);
    assert_eq!(idle(&register), Some(true));
}

/// One request at a group that stands still as a whole stays where it is, unless the conductor tells that this rank is silent.
#[test]
fn idle_group_told() {
    let now = Instant::now();
    let targets = directory(&["a"]);
    let first = &targets.seats()[0];
    let mut register = Register::default();
    register.begin_wait(first);
    let idle = |register: &Register| register.evidence(&wait(first), now).map(|seen| seen.others_idle);
    assert_eq!(idle(&register), Some(false), "nobody tells");
    register.note_told(&told("a", &[1]), now);
    assert_eq!(idle(&register), Some(false), "it speaks");
    let mut later = told("a", &[0]);
    later.order = (1, 2);
    register.note_told(&later, now);
    assert_eq!(idle(&register), Some(true));
}
