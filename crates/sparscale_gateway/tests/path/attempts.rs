//! Who may be asked how often.

use std::time::Duration;

use sparscale_gateway::Allowance;
use sparscale_samples as samples;

use crate::entry::{Request, World, settings};
use crate::target::Target;

fn good() -> Target {
    Target::start(|arrival, wire| wire.answer(arrival, "200 OK", "good"))
}

fn refusing() -> Target {
    Target::start(|arrival, wire| wire.refuse(arrival))
}

/// A refusal by a target frees a request that may be sent to two.
#[test]
fn refused_goes_elsewhere() {
    let (refuses, serves) = (refusing(), good());
    let world = World::new(&[&refuses, &serves], &[]);
    for round in 0..10 {
        let answer = world.ask(&Request::new("GET", "/any/x", &format!("r-{round}")));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(serves.arrivals().len(), 10);
}

/// A request that may be sent to one target is refused with the time to come back, and has not run.
#[test]
fn once_refused() {
    let refuses = refusing();
    let world = World::new(&[&refuses], &[]);
    let answer = world.ask(&Request::new("POST", "/once/x", "r-1"));
    assert_eq!(answer.status, 503);
    let wait: f64 = answer
        .header("retry-after")
        .and_then(|wait| wait.parse().ok())
        .expect("a time");
    assert!(wait > 0.0 && wait < 2.0);
    assert_eq!(refuses.arrivals().len(), 1);
}

/// Nothing listens there: nothing was sent, so even what runs once may go to another target.
#[test]
fn unreachable_target() {
    let serves = good();
    let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr());
    let gone = good().at(free.expect("a port"));
    let world = World::new(&[&gone, &serves], &[]);
    for round in 0..6 {
        let answer = world.ask(&Request::new("POST", "/once/x", &format!("r-{round}")));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(serves.arrivals().len(), 6);
}

/// No request is sent to more targets than its route allows, whatever they answer.
#[test]
fn attempts_bounded() {
    let targets: Vec<Target> = (0..4)
        .map(|_| Target::start(|arrival, wire| wire.answer(arrival, "500 Internal Server Error", "no")))
        .collect();
    let listed: Vec<&Target> = targets.iter().collect();
    let world = World::new(&listed, &[]);
    assert_eq!(world.ask(&Request::new("GET", "/any/x", "r-1")).status, 500);
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    assert_eq!(arrivals, 2);
}

/// Sends beyond the first stop when the budget is used up.
#[test]
fn budget_bounded() {
    let targets = [refusing(), refusing()];
    let allowance = Allowance {
        ratio: 0.1,
        slack: 20.0,
        window: Duration::from_mins(1),
    };
    let mut settings = settings();
    settings.allowance = allowance;
    let world = World::with(settings, samples::document(1), &[&targets[0], &targets[1]], &[]);
    for round in 0..60 {
        world.ask(&Request::new("GET", "/any/x", &format!("r-{round}")));
    }
    let arrivals: usize = targets.iter().map(|target| target.arrivals().len()).sum();
    let repeats = arrivals - 60;
    // The slack is shared with entries that are not known.
    assert!(repeats >= 2 && repeats as f64 <= 60.0 * 0.1 + 20.0, "{repeats} repeats");
}

/// A split route keeps its weights.
#[test]
fn split_by_weight() {
    let (plain, model) = (good(), good());
    let mut document = samples::document(1);
    document.routes[0].shares = vec![
        sparscale_catalog::Share {
            service: samples::CALC.to_owned(),
            weight: 3,
        },
        sparscale_catalog::Share {
            service: samples::MODEL.to_owned(),
            weight: 1,
        },
    ];
    let world = World::with(settings(), document, &[&plain], &[&model]);
    for round in 0..40 {
        assert_eq!(
            world.ask(&Request::new("GET", "/any/x", &format!("r-{round}"))).status,
            200
        );
    }
    assert_eq!((plain.arrivals().len(), model.arrivals().len()), (30, 10));
}

/// A target that hangs costs a request that may be repeated its time, not its answer.
#[test]
fn answer_in_time() {
    let hangs = Target::start(|_, wire| {
        wire.wait_closed(Duration::from_secs(10));
    });
    let world = World::new(&[&hangs], &[]);
    let answer = world.ask(&Request::new("POST", "/once/x", "r-1"));
    assert_eq!(answer.status, 504);
    assert!(
        answer.took < Duration::from_millis(2_400),
        "the route's time is 2 s: {:?}",
        answer.took
    );
}

/// Connections are kept for requests that may be repeated. One that runs once gets a fresh one: a kept connection may
/// be dead, and nobody could tell whether the request had run.
#[test]
fn kept_connections() {
    let target = good();
    let world = World::new(&[&target], &[]);
    for round in 0..10 {
        assert_eq!(
            world.ask(&Request::new("GET", "/any/x", &format!("r-{round}"))).status,
            200
        );
    }
    assert_eq!(target.connections(), 1);
    for round in 0..3 {
        assert_eq!(
            world
                .ask(&Request::new("POST", "/once/x", &format!("o-{round}")))
                .status,
            200
        );
    }
    assert_eq!(target.connections(), 4);
}

/// The same, with a request on its way when the target closes: it is not run there, and is served by another try.
#[test]
fn closed_meanwhile() {
    let target = Target::start(|arrival, wire| {
        wire.answer(arrival, "200 OK", "good");
        std::thread::sleep(Duration::from_millis(30));
        wire.close();
    });
    let world = World::new(&[&target], &[]);
    for round in 0..4 {
        assert_eq!(
            world.ask(&Request::new("GET", "/any/x", &format!("r-{round}"))).status,
            200
        );
    }
    assert_eq!(target.arrivals().len(), 4);
}

/// A kept connection that the target closed costs a request nothing.
#[test]
fn closed_while_kept() {
    let target = Target::start(|arrival, wire| {
        wire.answer(arrival, "200 OK", "good");
        wire.close();
    });
    let world = World::new(&[&target], &[]);
    for round in 0..10 {
        assert_eq!(
            world.ask(&Request::new("GET", "/any/x", &format!("r-{round}"))).status,
            200
        );
    }
    assert_eq!(target.arrivals().len(), 10);
}
