//! Tests that a request which crashes its targets is sent a bounded number of times, whichever process receives it and
//! however the network is partitioned.
//!
//! Processes exchange strikes within a partition, restart with empty memory, and read and write a store that may be
//! unavailable. Strikes that the store acknowledged, or that were exchanged within a partition, are known there after a
//! delay. The request arrives at any process at any time. Sends are counted from the third termination on, after the
//! time that strikes take to spread, and only for processes that have been in contact with the store for that time.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_quarantine::{EndedStart, Fingerprint, Strike, StrikeSource, StrikeStatus, Tracker};

const PROCESSES: usize = 5;
/// Simulated time of a step.
const STEP_MS: u64 = 250;
/// Steps between two reads of the store by one process.
const READ_STEPS: usize = 6;
/// Steps of uninterrupted contact with the store after which a process must know its strikes.
const CONTACT_STEPS: usize = 12;
const START_MS: u64 = 1_800_000_000_000;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The request arrives at a process.
    RequestArrives(usize),
    /// A process restarts.
    Restart(usize),
    /// All processes restart.
    RestartAll,
    /// Partitions the network: processes below this index can't exchange strikes with the others.
    Partition(usize),
    /// Ends the partition.
    Reconnect,
    /// The store becomes unavailable, or available again.
    ToggleStore,
    /// A number of steps without an event.
    Wait(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g) % PROCESSES;
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::RequestArrives(number),
            5 => Self::Restart(number),
            6 => Self::RestartAll,
            7 => Self::Partition(number),
            8 => Self::Reconnect,
            9 => Self::ToggleStore,
            _ => Self::Wait(1 + usize::arbitrary(g) % 14),
        }
    }
}

struct Simulation {
    processes: Vec<Tracker>,
    /// Steps for which each process has been in contact with the store.
    contact_steps: Vec<usize>,
    /// Whether each process has read the store since its start, or received strikes from a process that has.
    is_informed: Vec<bool>,
    store: Vec<Strike>,
    store_unavailable: bool,
    /// Processes below this index are partitioned from the others.
    partition: usize,
    step: usize,
    /// Targets that terminated so far.
    end_count: u32,
    /// Step at which the third target terminated.
    third_end_step: Option<usize>,
    /// Sends after the third termination by processes that must know of it.
    late_sends: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            processes: (0..PROCESSES).map(|_| Tracker::default()).collect(),
            contact_steps: vec![0; PROCESSES],
            is_informed: vec![false; PROCESSES],
            store: Vec::new(),
            store_unavailable: false,
            partition: 0,
            step: 0,
            end_count: 0,
            third_end_step: None,
            late_sends: 0,
        }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.step as u64 * STEP_MS
    }

    fn request() -> Fingerprint {
        Fingerprint::of("POST", "/draft", None, b"deadly")
    }

    /// Sends the request to two targets at most, the limit of its route; each send terminates its target.
    fn send_request(&mut self, process: usize) {
        for _ in 0..2 {
            let now_ms = self.now_ms();
            if self.processes[process].active_hold(&Self::request(), now_ms).is_some() {
                return;
            }
            let have_strikes_spread = self
                .third_end_step
                .is_some_and(|third| self.step > third + CONTACT_STEPS);
            if have_strikes_spread && self.contact_steps[process] > CONTACT_STEPS {
                self.late_sends += 1;
            }
            self.end_count += 1;
            let strike = Strike {
                request: Self::request(),
                ended_start: EndedStart::of(&format!("t-{}", self.end_count), None),
                at_ms: now_ms,
                status: StrikeStatus::Counted,
            };
            self.processes[process].merge(strike, StrikeSource::Local, now_ms);
            if self.end_count == 3 {
                self.third_end_step = Some(self.step);
            }
        }
    }

    fn restart(&mut self, process: usize) {
        self.processes[process] = Tracker::default();
        self.contact_steps[process] = 0;
        self.is_informed[process] = false;
    }

    fn is_below_partition(&self, process: usize) -> bool {
        process < self.partition
    }

    fn advance(&mut self) {
        self.step += 1;
        let now_ms = self.now_ms();
        for process in 0..PROCESSES {
            let contact_steps = &mut self.contact_steps[process];
            *contact_steps = if self.store_unavailable { 0 } else { *contact_steps + 1 };
            if self.store_unavailable {
                continue;
            }
            // A process reads the store as soon as it is in contact again, and then every `READ_STEPS` steps.
            if *contact_steps == 1 || (self.step + process).is_multiple_of(READ_STEPS) {
                let stored = self.store.clone();
                self.processes[process].merge_snapshot(&stored, now_ms, Duration::from_secs(2), now_ms);
                self.is_informed[process] = true;
            }
            for strike in self.processes[process].unsaved() {
                self.store.push(strike);
                self.processes[process].merge(strike, StrikeSource::Store, now_ms);
            }
        }
        self.exchange_strikes();
        for process in 0..PROCESSES {
            // A process that received no strikes at its start serves requests without them.
            if !self.is_informed[process] {
                self.processes[process].record_history_loss(now_ms);
                self.is_informed[process] = true;
            }
        }
    }

    /// Exchanges strikes between all processes of a partition.
    fn exchange_strikes(&mut self) {
        let now_ms = self.now_ms();
        let was_informed = self.is_informed.clone();
        for (from, is_source_informed) in was_informed.into_iter().enumerate() {
            let (strikes, _) = self.processes[from].changes_since(0);
            for to in 0..PROCESSES {
                if self.is_below_partition(from) == self.is_below_partition(to) {
                    self.is_informed[to] |= is_source_informed;
                    for strike in &strikes {
                        self.processes[to].merge(*strike, StrikeSource::Peer, now_ms);
                    }
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives(process) => self.send_request(process),
            Event::Restart(process) => self.restart(process),
            Event::RestartAll => (0..PROCESSES).for_each(|process| self.restart(process)),
            Event::Partition(partition) => self.partition = partition,
            Event::Reconnect => self.partition = 0,
            Event::ToggleStore => self.store_unavailable = !self.store_unavailable,
            Event::Wait(steps) => (0..steps).for_each(|_| self.advance()),
        }
        self.advance();
    }
}

/// Most sends by processes in contact with the store after the third termination: the two of one request. If all
/// processes restart while the store is unavailable, none knows the strikes any more until the next request crashes
/// targets again.
const MAX_LATE_SENDS: usize = 2;

/// Plays a history; fails if there are too many late sends in it.
fn play(events: Vec<Event>) -> Result<(), String> {
    let mut simulation = Simulation::new();
    for event in events {
        simulation.handle(event);
    }
    if simulation.late_sends <= MAX_LATE_SENDS {
        return Ok(());
    }
    Err(format!(
        "{} late sends, {} targets terminated",
        simulation.late_sends, simulation.end_count
    ))
}

/// Strikes are written as soon as the store is available, so they can be lost in this way only once.
#[test]
fn bounded_sends() {
    QuickCheck::new()
        .tests(1_500)
        .quickcheck(play as fn(Vec<Event>) -> Result<(), String>);
}

/// A history in which all processes lose the strikes of four targets before the `later` events.
fn after_loss(later: &[Event]) -> Vec<Event> {
    let loss = [
        Event::ToggleStore,
        Event::RequestArrives(2),
        Event::RestartAll,
        Event::RequestArrives(2),
        Event::RestartAll,
        Event::ToggleStore,
    ];
    loss.into_iter().chain(later.iter().copied()).collect()
}

/// Two processes that cannot reach each other receive the request before either reads the other's strikes.
#[test]
fn partition_after_loss() {
    let history = after_loss(&[
        Event::Wait(13),
        Event::Partition(2),
        Event::RequestArrives(4),
        Event::RequestArrives(1),
    ]);
    assert_eq!(play(history), Ok(()));
}

/// A process that starts after the loss learns of it from the store.
#[test]
fn start_after_loss() {
    let history = after_loss(&[
        Event::Wait(2),
        Event::Restart(4),
        Event::Wait(13),
        Event::Partition(2),
        Event::RequestArrives(4),
        Event::RequestArrives(1),
    ]);
    assert_eq!(play(history), Ok(()));
}
