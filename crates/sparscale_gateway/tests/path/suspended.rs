//! A machine that was suspended does not take what it knew before for what is so now.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use sparscale_gateway::Allowance;
use sparscale_samples as samples;

use crate::entry::{Request, World, settings};
use crate::target::Target;

/// Longer than every bound of the tests.
const ASLEEP: Duration = Duration::from_secs(30);

fn good() -> Target {
    Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "good"))
}

/// A key may have been taken away meanwhile, and the store cannot be asked.
#[test]
fn keys_unsure() {
    let target = good();
    let world = World::new(&[&target], &[]);
    world.catalogs.take_away();
    assert_eq!(world.ask(&Request::new("GET", "/any/x", "before")).status, 200);
    world.clock.wake_after(ASLEEP);
    let answer = world.ask(&Request::new("GET", "/any/x", "after"));
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("stale_catalog"), "{}", answer.body);
    let open = Request::new("GET", "/open/x", "open");
    assert_eq!(world.ask(&open).status, 200, "no key is needed there");
}

/// What requests earned before has gone by, for all other entries too.
#[test]
fn credit_gone() {
    let targets = [0, 1].map(|_| Target::start(|arrival, wire| wire.refuse(arrival)));
    let mut settings = settings();
    settings.allowance = Allowance {
        ratio: 1.0,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    let world = World::with(settings, samples::document(1), &[&targets[0], &targets[1]], &[]);
    for number in 0..20 {
        world.ask(&Request::new("POST", "/once/x", &format!("earns-{number}")));
    }
    let arrivals = || targets.iter().map(|target| target.arrivals().len()).sum::<usize>();
    assert_eq!(arrivals(), 20);
    world.clock.wake_after(ASLEEP);
    for number in 0..6 {
        world.ask(&Request::new("GET", "/open/x", &format!("spends-{number}")));
    }
    // Each of these earns a half, and one may be held in any case.
    let repeats = arrivals() - 26;
    assert!(repeats <= 4, "{repeats} repeats");
}

/// Its caller has waited meanwhile, and waits no longer.
#[test]
fn deadline_passed() {
    let asleep: Arc<Mutex<Option<Arc<samples::Sleeper>>>> = Arc::default();
    let targets = [0, 1].map(|_| {
        let asleep = Arc::clone(&asleep);
        Target::start(move |arrival, wire| {
            if let Some(clock) = asleep.lock().expect("no panic").as_ref() {
                clock.wake_after(ASLEEP);
            }
            wire.refuse(arrival);
        })
    });
    let world = World::new(&[&targets[0], &targets[1]], &[]);
    *asleep.lock().expect("no panic") = Some(Arc::clone(&world.clock));
    let answer = world.ask(&Request::new("GET", "/any/x", "r-1"));
    assert_eq!(answer.status, 503);
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    assert_eq!(arrivals, 1, "sent again after its time");
}

/// A target may have closed a connection that rested meanwhile.
#[test]
fn connections_old() {
    let target = good();
    let world = World::new(&[&target], &[]);
    for number in 0..3 {
        world.ask(&Request::new("GET", "/any/x", &format!("before-{number}")));
    }
    assert_eq!(target.connections(), 1);
    world.clock.wake_after(ASLEEP);
    // The key is known to be in force again once the store was read.
    crate::entry::wait("an answer", || {
        world.ask(&Request::new("GET", "/any/x", "after")).status == 200
    });
    assert_eq!(target.connections(), 2);
}
