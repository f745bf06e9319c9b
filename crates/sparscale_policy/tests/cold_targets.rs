//! Targets that have just started, or whose hall has just returned, get requests only at the rate that they handle.

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_catalog::{Directory, Evacuations, Incarnations, Roster, StartId, Target, cold};
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::cold::Register;
use sparscale_policy::rate_limit::{Limit, Members, Peer, Rate};
use sparscale_policy::throttle::{Availability, Tracker};
use sparscale_samples as samples;

const COLD_START: cold::Start = cold::Start {
    duration: Duration::from_secs(3),
    requests_per_second: 26.0,
};

/// Time since 1970 at which the processes look at a roster.
const UNIX_MS: u64 = 1_700_000_000_000;

fn target(id: &str, is_cold: bool) -> Target {
    Target {
        is_cold,
        ..samples::target(id, samples::MODEL_SERVICE, 9_000)
    }
}

/// A process that looks at one roster after the other.
struct Process {
    register: Register,
    starts: Incarnations,
    now: Timestamp,
}

impl Process {
    fn new() -> Self {
        Self {
            register: Register::default(),
            starts: Incarnations::default(),
            now: SystemClock::default().now(),
        }
    }

    /// Looks at a roster; returns the targets that are cold, and for how long.
    fn look(&mut self, targets: &[Target], evacuated: &[&str]) -> Vec<(StartId, Duration)> {
        let evacuations: Evacuations = evacuated.iter().map(|hall| (*hall).to_owned()).collect();
        let roster = Roster::new(targets.to_vec()).with_evacuated(&evacuations);
        let directory = Directory::new(&roster, &mut self.starts);
        let limits = self
            .register
            .update(&directory, |_| Some(&COLD_START), self.now, UNIX_MS);
        limits
            .iter()
            .map(|limit| (limit.start, limit.until.since(self.now)))
            .collect()
    }
}

fn start(id: &str) -> StartId {
    StartId::of(id, None)
}

/// A start that appears while the process runs is limited before the roster lists it as cold; starts of the first
/// roster are not.
#[test]
fn new_start() {
    let mut process = Process::new();
    assert!(process.look(&[target("a", false)], &[]).is_empty());
    let targets = [target("a", false), target("b", false)];
    assert_eq!(process.look(&targets, &[]), [(start("b"), COLD_START.duration)]);
    assert!(process.look(&targets, &[]).is_empty(), "once for each start");
}

/// A process without history limits the starts of its first roster that are recent, because a heartbeat that states
/// that they are cold may still be missing; not those of the first start of the whole system, which are all recent and
/// warm. The clocks may differ.
#[test]
fn recent_start_in_first_roster() {
    let started = |id: &str, ago_ms: i64| Target {
        born_ms: UNIX_MS.checked_sub_signed(ago_ms),
        ..target(id, false)
    };
    let targets = [
        started("fast-clock", -500),
        started("recent", 2_000),
        started("slow-clock", 3_500),
        started("old", 5_000),
        target("unknown", false),
    ];
    let mut process = Process::new();
    let limits = process.look(&targets, &[]);
    let expected = targets[..3]
        .iter()
        .map(|target| (StartId::of(&target.id, target.born_ms), COLD_START.duration));
    assert_eq!(limits, expected.collect::<Vec<_>>());
    process.register = Register::new(true);
    assert!(
        process.look(&targets, &[]).is_empty(),
        "the system starts for the first time"
    );
}

/// A target that the roster lists as cold is limited as long as it is listed, also by a process that has just started:
/// at first for the whole time of a cold start, since the next rosters may come too late.
#[test]
fn listed_as_cold() {
    let mut process = Process::new();
    assert_eq!(
        process.look(&[target("a", true)], &[]),
        [(start("a"), COLD_START.duration)]
    );
    for _ in 0..2 {
        let limits = process.look(&[target("a", true)], &[]);
        assert_eq!(limits.len(), 1);
        assert!(limits[0].1 < COLD_START.duration, "renewed while it is listed");
    }
    assert_eq!(
        process.look(&[target("a", false)], &[]),
        [(start("a"), Duration::ZERO)],
        "warm at once when the roster says so"
    );
    assert!(process.look(&[target("a", false)], &[]).is_empty());
}

/// A target that turns cold without a new start is limited for the whole time from its first listing on; a new start
/// only from the time at which it appeared, as its first listing is of the same time of being cold.
#[test]
fn first_listing() {
    let mut process = Process::new();
    process.look(&[target("a", false)], &[]);
    let times = |limits: Vec<(StartId, Duration)>| -> Vec<Duration> { limits.iter().map(|(_, time)| *time).collect() };
    let both = [target("a", true), target("b", false)];
    assert_eq!(times(process.look(&both, &[])), [COLD_START.duration; 2]);
    process.now = process.now + Duration::from_secs(1);
    let both = [target("a", true), target("b", true)];
    let renewed = times(process.look(&both, &[]));
    assert_eq!(renewed.len(), 2);
    assert!(renewed.iter().all(|time| *time < COLD_START.duration), "{renewed:?}");
}

/// A process that reads one roster and then none must not send at will to a target that is listed as cold, before that
/// target is warm. Once a roster lists it as warm, it is free at once.
#[test]
fn store_unavailable_after_first_roster() {
    let mut process = Process::new();
    let directory =
        |process: &mut Process, is_cold| Directory::new(&Roster::new(vec![target("a", is_cold)]), &mut process.starts);
    let begin = process.now;
    let mut tracker = Tracker::default();
    let cold = directory(&mut process, true);
    for limit in process.register.update(&cold, |_| Some(&COLD_START), begin, UNIX_MS) {
        tracker.record_cold(limit.start, limit.rate, limit.until, begin);
    }
    let almost_warm = begin + COLD_START.duration.mul_f64(0.99);
    assert_ne!(tracker.availability(start("a"), almost_warm), Availability::Now);
    let warm = directory(&mut process, false);
    for limit in process
        .register
        .update(&warm, |_| Some(&COLD_START), almost_warm, UNIX_MS)
    {
        tracker.record_cold(limit.start, limit.rate, limit.until, almost_warm);
    }
    assert_eq!(tracker.availability(start("a"), almost_warm), Availability::Now);
}

/// The targets of a hall are limited from the end of its evacuation, not during it.
#[test]
fn returned_hall() {
    let mut process = Process::new();
    let targets = [target("a", false)];
    process.look(&targets, &[]);
    assert!(process.look(&targets, &["derby"]).is_empty());
    assert_eq!(process.look(&targets, &[]), [(start("a"), COLD_START.duration)]);
}

fn members(entries: usize, own: usize) -> Members {
    let address = |entry: usize| SocketAddr::from(([10, 0, 0, 1], 7_000 + entry as u16));
    let peer = |entry: usize| Peer {
        address: address(entry),
        is_linked: true,
        since_last_message: Some(Duration::ZERO),
        since_named: None,
        uptime: None,
    };
    let peers: Vec<Peer> = (0..entries).filter(|entry| *entry != own).map(peer).collect();
    Members::new(address(own), &peers)
}

/// Replays a hall that returns into a burst: all entries choose its targets whenever they may. None gets more than it
/// tolerates in any second, and all are free once they are warm.
#[test]
fn burst_onto_returned_hall() {
    const STEP: Duration = Duration::from_millis(5);
    let rate = Rate::try_from(COLD_START.requests_per_second).expect("a rate");
    let tolerated = Limit::cold(rate).tolerated();
    for entries in [1, 3, 16, 53, 285, 570] {
        let begin = SystemClock::default().now();
        let until = begin + COLD_START.duration;
        let mut trackers: Vec<Tracker> = (0..entries)
            .map(|own| {
                let mut tracker = Tracker::default();
                tracker.set_members(members(entries, own), begin);
                tracker.record_cold(start("a"), rate, until, begin);
                tracker
            })
            .collect();
        let mut sends: Vec<Duration> = Vec::new();
        let steps = COLD_START.duration.as_millis() / STEP.as_millis();
        for step in 0..u32::try_from(steps).expect("few steps") {
            let elapsed = STEP * step;
            let free = trackers
                .iter_mut()
                .filter_map(|tracker| tracker.try_acquire(start("a"), begin + elapsed).then_some(elapsed));
            sends.extend(free);
        }
        let in_second = |from: &Duration| {
            let second = *from..*from + Duration::from_secs(1);
            sends.iter().filter(|at| second.contains(*at)).count()
        };
        let most = sends.iter().map(in_second).max().unwrap_or(0);
        assert!(most as f64 <= tolerated, "{entries} entries: {most} in a second");
        assert!(sends.len() > 39, "{entries} entries: {} in three seconds", sends.len());
        for tracker in &mut trackers {
            assert_eq!(tracker.availability(start("a"), until), Availability::Now);
            assert!(tracker.try_acquire(start("a"), until));
            tracker.expire_cold(until);
            assert!(tracker.is_empty());
        }
    }
}

/// A cold target with a limit of its own, or a backoff, keeps to the stricter one. It still counts as room in its
/// group, which a restricted one does not.
#[test]
fn other_limits_hold() {
    let now = SystemClock::default().now();
    let rate = Rate::try_from(COLD_START.requests_per_second).expect("a rate");
    let mut tracker = Tracker::default();
    tracker.set_members(members(1, 0), now);
    tracker.record_cold(start("a"), rate, now + COLD_START.duration, now);
    assert!(!tracker.is_restricted(start("a"), now));
    tracker.record_backoff(start("a"), Duration::from_secs(9), now);
    assert!(tracker.is_restricted(start("a"), now));
    let warm = now + COLD_START.duration;
    tracker.expire_cold(warm);
    assert_eq!(
        tracker.availability(start("a"), warm),
        Availability::At(now + Duration::from_secs(9))
    );
}
