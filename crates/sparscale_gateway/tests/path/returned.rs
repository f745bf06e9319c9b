//! A target starts again under the id that it had: nothing that is known of the start before is believed of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sparscale_catalog::{Membership, Roster, Target as Listed};
use sparscale_samples as samples;

use crate::entry::{Request, World, roster, wait};
use crate::groups::{load, serve_from};
use crate::target::Target;

/// Shorter than the time for which an entry passes over a target that failed once.
const AT_ONCE: Duration = Duration::from_millis(200);

/// The list with each target as it started at `born_ms`.
fn born(list: &Roster, born_ms: u64) -> Roster {
    let start = |target: &Listed| Listed {
        born_ms: Some(born_ms),
        ..target.clone()
    };
    Roster::new(list.targets.iter().map(start).collect())
}

/// Tells the entry a list, and waits until it goes by it.
fn tell(world: &World, list: Roster, position: u64) {
    world.rosters.put(list, position);
    wait("the list", || {
        let known = world.entry.board.targets();
        known.is_some_and(|belief| belief.position == position.into())
    });
}

fn get(world: &World, id: &str) -> u16 {
    world.ask(&Request::new("GET", "/any/x", id)).status
}

#[test]
fn connections_dropped() {
    let target = Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "good"));
    let world = World::new(&[&target], &[]);
    let list = roster(&[&target], &[]);
    tell(&world, born(&list, 1_000), 2);
    assert_eq!((get(&world, "r-1"), get(&world, "r-2")), (200, 200));
    assert_eq!(target.connections(), 1, "a kept connection is used again");
    tell(&world, born(&list, 2_000), 3);
    assert_eq!(get(&world, "r-3"), 200);
    assert_eq!(target.connections(), 2, "a connection of the start before was used");
}

/// What was gone is there again; what failed is sound again. Either gets work at once, although another target is there.
#[test]
fn failures_forgotten() {
    for refusal in ["421 Misdirected Request", "broken"] {
        let sound = Arc::new(AtomicBool::new(false));
        let script = Arc::clone(&sound);
        let fails = Target::start(move |arrival, wire| match script.load(Ordering::SeqCst) {
            true => wire.answer(arrival, "200 OK", "returned"),
            false if refusal == "broken" => wire.reset(),
            false => wire.answer(arrival, refusal, ""),
        });
        let other = Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "other"));
        let world = World::new(&[&fails, &other], &[]);
        let list = roster(&[&fails, &other], &[]);
        tell(&world, born(&list, 1_000), 2);
        // Of two equals any is drawn: soon one request has met the failure.
        wait("a failure", || {
            get(&world, "r-1");
            !fails.arrivals().is_empty()
        });
        sound.store(true, Ordering::SeqCst);
        tell(&world, born(&list, 2_000), 3);
        let (before, began) = (fails.arrivals().len(), Instant::now());
        while fails.arrivals().len() == before {
            assert!(
                began.elapsed() < AT_ONCE,
                "{refusal}: the next start waits for what the one before did"
            );
            get(&world, "r-2");
        }
    }
}

/// The ranks of a group, as they started at `born_ms`.
fn ranks(targets: &[&Target], born_ms: u64) -> Roster {
    let mut list = born(&roster(&[], targets), born_ms).targets;
    for (rank, target) in list.iter_mut().enumerate() {
        target.membership = Some(Membership {
            group: "g".to_owned(),
            rank,
            size: targets.len(),
            open: true,
        });
    }
    Roster::new(list)
}

/// A rank that was slow and full has started again: it is neither.
#[test]
fn load_forgotten() {
    let targets: Vec<Target> = (0..2)
        .map(|_| Target::start(|arrival, wire| serve_from(arrival, wire, 0)))
        .collect();
    let listed: Vec<&Target> = targets.iter().collect();
    let world = World::new(&[], &listed);
    tell(&world, ranks(&listed, 1_000), 2);
    let mut told = load(1, &[1_000, 12_000]);
    for rank in told.ranks.iter_mut().flatten() {
        rank.start = sparscale_catalog::start_mark(Some(1_000));
    }
    world.entry.mesh.merge_group_load(told, true);
    let stream = |id: &str| world.ask(&Request::new("POST", "/stream/x", id)).status;
    for round in 0..8 {
        assert_eq!(stream(&format!("r-{round}")), 200);
    }
    assert!(
        targets[1].arrivals().is_empty(),
        "a rank that holds its group back got work"
    );
    tell(&world, ranks(&listed, 2_000), 3);
    wait("work for the next start", || {
        stream("r-9");
        !targets[1].arrivals().is_empty()
    });
}

/// A later entry of another writer names a real target's address: requests find the target that is there.
#[test]
fn address_taken() {
    let real = Target::start(|arrival, wire| match arrival.header("sparscale-target") {
        Some("c-0") => wire.answer(arrival, "200 OK", "real"),
        _ => wire.answer(arrival, "421 Misdirected Request", ""),
    });
    let world = World::new(&[&real], &[]);
    let list = roster(&[&real], &[]);
    let copy = Listed {
        id: "C-0".to_owned(),
        ..list.targets[0].clone()
    };
    let foreign = Listed {
        id: "a".to_owned(),
        service: "nowhere".to_owned(),
        ..list.targets[0].clone()
    };
    let listed = vec![(list.targets[0].clone(), 1), (copy, 2), (foreign, 3)];
    tell(&world, Roster::of_latest(listed), 2);
    for round in 0..20 {
        assert_eq!(get(&world, &format!("r-{round}")), 200);
    }
    let missed = real
        .arrivals()
        .iter()
        .filter(|arrival| arrival.header("sparscale-target") != Some("c-0"))
        .count();
    assert!(
        missed <= 1,
        "{missed} requests were sent to an entry that had turned out to be nobody's"
    );
}

/// An entry of another writer names a group of its own, before all others in the list: the service's group is the one that
/// its targets make up.
#[test]
fn group_outvoted() {
    let targets: Vec<Target> = (0..2)
        .map(|_| Target::start(|arrival, wire| serve_from(arrival, wire, 0)))
        .collect();
    let listed: Vec<&Target> = targets.iter().collect();
    let world = World::new(&[], &listed);
    let mut list = ranks(&listed, 1_000).targets;
    list.push(Listed {
        membership: Some(Membership {
            group: "another".to_owned(),
            rank: 0,
            size: 1,
            open: true,
        }),
        ..samples::target("0", samples::MODEL, 1)
    });
    tell(&world, Roster::new(list), 2);
    let known = world.entry.board.targets().expect("a list").value;
    let groups = known.groups_of(samples::MODEL);
    let named: Vec<_> = groups.map(|group| (group.name, group.size)).collect();
    assert_eq!(named, [("g", 2)]);
}
