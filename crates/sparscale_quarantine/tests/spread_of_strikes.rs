//! A deadly request reaches targets a bounded number of times, whichever processes it comes to and whoever hears whom.
//!
//! Processes are linked in parts of a network, start again with empty memory, and read and tell a store that may be away.
//! All that was acknowledged by the store, or told within a part, is known there after a delay; a request comes at any
//! time to any process. The bound is counted from the third end on, after the time that news may take, for processes
//! that can have it: those that the store or a process with it in their part has reached for so long.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_quarantine::{End, Fingerprint, News, Register, Standing, Strike};

const PROCESSES: usize = 5;
/// Length of a step.
const STEP_MS: u64 = 250;
/// Steps between two readings of the store by a part of the network.
const READ_STEPS: usize = 6;
/// Steps after which a process that the store or its part has reached all the time counts as in touch.
const TOUCH_STEPS: usize = 12;
const START_MS: u64 = 1_800_000_000_000;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The request comes to a process.
    Comes(usize),
    /// A process starts again.
    Starts(usize),
    /// All do.
    AllStart,
    /// Processes below this number no longer hear the others.
    Cut(usize),
    /// All hear all.
    Mended,
    /// The store goes away, or comes back.
    Store,
    /// Time passes.
    Pause(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g) % PROCESSES;
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Comes(number),
            5 => Self::Starts(number),
            6 => Self::AllStart,
            7 => Self::Cut(number),
            8 => Self::Mended,
            9 => Self::Store,
            _ => Self::Pause(1 + usize::arbitrary(g) % 14),
        }
    }
}

struct World {
    processes: Vec<Register>,
    /// Steps for which each has been in touch with the store.
    touch: Vec<usize>,
    store: Vec<Strike>,
    store_away: bool,
    cut: usize,
    step: usize,
    ended: u32,
    /// Step at which the third target ended.
    third: Option<usize>,
    /// Sends after it by processes that could know.
    late: usize,
}

impl World {
    fn new() -> Self {
        Self {
            processes: (0..PROCESSES).map(|_| Register::default()).collect(),
            touch: vec![0; PROCESSES],
            store: Vec::new(),
            store_away: false,
            cut: 0,
            step: 0,
            ended: 0,
            third: None,
            late: 0,
        }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.step as u64 * STEP_MS
    }

    fn request() -> Fingerprint {
        Fingerprint::of("POST", "/draft", None, b"deadly")
    }

    /// Two sends at most, as its route allows.
    fn comes(&mut self, process: usize) {
        for _ in 0..2 {
            let now_ms = self.now_ms();
            if self.processes[process].held(&Self::request(), now_ms).is_some() {
                return;
            }
            let knows = self.third.is_some_and(|third| self.step > third + TOUCH_STEPS);
            if knows && self.touch[process] > TOUCH_STEPS {
                self.late += 1;
            }
            self.ended += 1;
            let strike = Strike {
                request: Self::request(),
                end: End::of(&format!("t-{}", self.ended), None),
                at_ms: now_ms,
                standing: Standing::Counts,
            };
            self.processes[process].take_in(strike, News::Seen, now_ms);
            if self.ended == 3 {
                self.third = Some(self.step);
            }
        }
    }

    fn starts(&mut self, process: usize) {
        self.processes[process] = Register::default();
        self.touch[process] = 0;
    }

    fn part(&self, process: usize) -> bool {
        process < self.cut
    }

    fn pass(&mut self) {
        self.step += 1;
        let now_ms = self.now_ms();
        for process in 0..PROCESSES {
            let touch = &mut self.touch[process];
            *touch = if self.store_away { 0 } else { *touch + 1 };
            if self.store_away {
                continue;
            }
            // A process that has just started asks at once, the others in turn.
            if *touch == 1 || (self.step + process).is_multiple_of(READ_STEPS) {
                let read = self.store.clone();
                self.processes[process].read(&read, now_ms, Duration::from_secs(2), now_ms);
            }
            for strike in self.processes[process].untold() {
                self.store.push(strike);
                self.processes[process].take_in(strike, News::Read, now_ms);
            }
        }
        for from in 0..PROCESSES {
            let (news, _) = self.processes[from].news(0);
            for to in 0..PROCESSES {
                if self.part(from) == self.part(to) {
                    for strike in &news {
                        self.processes[to].take_in(*strike, News::Told, now_ms);
                    }
                }
            }
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Comes(process) => self.comes(process),
            Event::Starts(process) => self.starts(process),
            Event::AllStart => (0..PROCESSES).for_each(|process| self.starts(process)),
            Event::Cut(cut) => self.cut = cut,
            Event::Mended => self.cut = 0,
            Event::Store => self.store_away = !self.store_away,
            Event::Pause(steps) => (0..steps).for_each(|_| self.pass()),
        }
        self.pass();
    }
}

/// Sends by processes in touch after the third end, at most: those of one attempt. Where every process starts anew while the
/// store is away, nobody is left that knows what they saw; the next attempt shows it again.
const MOST_LATE: usize = 2;

/// The store is told as soon as it is there, so that happens once.
#[test]
fn bounded_sends() {
    fn property(events: Vec<Event>) -> Result<(), String> {
        let mut world = World::new();
        for event in events {
            world.play(event);
        }
        if world.late <= MOST_LATE {
            return Ok(());
        }
        Err(format!("{} sends, {} ended", world.late, world.ended))
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<Event>) -> Result<(), String>);
}
