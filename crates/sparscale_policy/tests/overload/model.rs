//! A group of engines, its conductor and some entries in virtual time, as the engine's figures describe them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_catalog::Engine;
use sparscale_policy::patience;
use sparscale_policy::queue::{Decision, Group, Queue, Request};
use sparscale_wire::{GroupLoad, RankLoad};

const RANKS: usize = 12;
const ENTRIES: usize = 4;
/// Time between two words of the conductor.
const TELL_MS: u64 = 50;
/// Age of such a word when it reaches the entries.
const WAY_MS: u64 = 25;
/// Times that a caller comes back after a refusal.
const RETURNS: u32 = 1;
/// Time for which a caller waits in all.
const DEADLINE: Duration = Duration::from_secs(8);
/// Longest pause between two events of a stream.
pub(crate) const PAUSE: Duration = Duration::from_millis(120);
/// Time in which the first event is due.
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(500);

/// What comes and how the group fares, by the time in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    /// Requests a second.
    pub(crate) rate: fn(u64) -> f64,
    /// Skew of the experts' work.
    pub(crate) skew: fn(u64) -> f64,
    /// Part of the requests whose prompt is ten times as long as usual.
    pub(crate) long_prompts: fn(u64) -> f64,
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Way {
    /// The queue.
    Queue,
    /// Nobody: all are let in at once.
    Open,
}

/// What became of the requests that first came in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Second {
    pub(crate) came: u32,
    /// First event and pauses were in time, counted from the first try.
    pub(crate) timely: u32,
    pub(crate) late: u32,
    /// Turned away at first, and in time by the try that was served.
    pub(crate) again: u32,
    /// Turned away for the last time.
    pub(crate) refused: u32,
    /// Left by their callers, who took the silence for a dead connection.
    pub(crate) left: u32,
}

impl Second {
    /// Both together.
    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self {
            came: self.came + other.came,
            timely: self.timely + other.timely,
            late: self.late + other.late,
            again: self.again + other.again,
            refused: self.refused + other.refused,
            left: self.left + other.left,
        }
    }
}

struct Call {
    came: u64,
    /// When this try came.
    tried: u64,
    returns: u32,
    entry: usize,
    entered: u64,
    prompt: u32,
    tokens_left: u32,
    first: Option<u64>,
    last: u64,
    pauses: u32,
    late_pauses: u32,
}

/// The model; a run plays `load` and tells each second's outcome.
pub(crate) struct Model {
    engine: Engine,
    load: Load,
    way: Way,
    random: ChaCha8Rng,
    began: Instant,
    now: u64,
    calls: Vec<Call>,
    ranks: Vec<Vec<usize>>,
    /// Waiting for a slot at a rank.
    behind: Vec<Vec<usize>>,
    pass_ends: u64,
    pass_ms: u64,
    queues: Vec<Queue<usize>>,
    inside: Vec<usize>,
    limits: BTreeMap<(u64, usize), usize>,
    returns: BinaryHeap<Reverse<(u64, usize)>>,
    told: Option<GroupLoad>,
    on_the_way: Option<(u64, GroupLoad)>,
    seconds: Vec<Second>,
}

impl Model {
    pub(crate) fn new(engine: Engine, load: Load, way: Way, seed: u64) -> Self {
        let began = Instant::now();
        Self {
            engine,
            load,
            way,
            random: ChaCha8Rng::seed_from_u64(seed),
            began,
            now: 0,
            calls: Vec::new(),
            ranks: vec![Vec::new(); RANKS],
            behind: vec![Vec::new(); RANKS],
            pass_ends: 0,
            pass_ms: 0,
            queues: (0..ENTRIES).map(|_| Queue::new(began)).collect(),
            inside: vec![0; ENTRIES],
            limits: BTreeMap::new(),
            returns: BinaryHeap::new(),
            told: None,
            on_the_way: None,
            seconds: Vec::new(),
        }
    }

    /// Plays `seconds` of arrivals, and on until all is done.
    pub(crate) fn run(mut self, seconds: u64) -> Vec<Second> {
        let ends = seconds * 1_000;
        self.seconds = vec![Second::default(); seconds as usize];
        while self.now < ends * 3 {
            if self.now < ends && self.random.random::<f64>() < (self.load.rate)(self.now) / 1_000.0 {
                let call = self.new_call();
                self.arrive(call);
            }
            while self.returns.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
                if let Some(Reverse((_, call))) = self.returns.pop() {
                    self.arrive(call);
                }
            }
            self.tell();
            self.let_in_overdue();
            self.leave_silent();
            if self.now >= self.pass_ends {
                self.end_pass();
            }
            self.now += 1;
        }
        self.seconds
    }

    fn at(&self, ms: u64) -> Instant {
        self.began + Duration::from_millis(ms)
    }

    fn new_call(&mut self) -> usize {
        let long = self.random.random::<f64>() < (self.load.long_prompts)(self.now);
        let usual = self.engine.usual_prompt;
        let answer = f64::from(self.engine.usual_answer) * (0.5 + self.random.random::<f64>());
        self.seconds[(self.now / 1_000) as usize].came += 1;
        self.calls.push(Call {
            came: self.now,
            tried: self.now,
            returns: 0,
            entry: 0,
            entered: 0,
            prompt: if long { usual * 10 } else { usual },
            tokens_left: answer as u32,
            first: None,
            last: 0,
            pauses: 0,
            late_pauses: 0,
        });
        self.calls.len() - 1
    }

    fn arrive(&mut self, index: usize) {
        let entry = self.random.random_range(0..ENTRIES);
        let now = self.at(self.now);
        let lot = self.random.random::<f64>();
        let call = &mut self.calls[index];
        call.entry = entry;
        call.tried = self.now;
        let request = Request {
            began: now,
            objective: OBJECTIVE,
            pause: PAUSE,
            spent: Duration::from_millis(self.now - call.came),
            left: DEADLINE.checked_sub(Duration::from_millis(self.now - call.came)),
        };
        if self.way == Way::Open {
            self.enter(index);
            return;
        }
        self.refresh(entry);
        match self.queues[entry].decide(&request, self.inside[entry], lot, now) {
            Decision::Enter => {
                self.queues[entry].admit(now);
                self.enter(index);
            }
            Decision::Wait { timely_until, limit } => {
                let limit = limit.saturating_duration_since(self.began).as_millis() as u64;
                self.limits.insert((limit, index), entry);
                self.queues[entry].join((0, index), timely_until, index);
            }
            Decision::Refuse { retry, .. } => self.refuse(index, retry),
        }
    }

    fn refuse(&mut self, index: usize, retry: Duration) {
        let call = &mut self.calls[index];
        if call.returns == RETURNS {
            self.seconds[(call.came / 1_000) as usize].refused += 1;
            return;
        }
        call.returns += 1;
        self.returns.push(Reverse((self.now + retry.as_millis() as u64, index)));
    }

    /// Puts a call that was let in to the rank with the fewest.
    fn enter(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.entered = self.now;
        self.inside[call.entry] += 1;
        let count = |rank: &usize| self.ranks[*rank].len() + self.behind[*rank].len();
        let fewest = (0..RANKS).min_by_key(count).unwrap_or(0);
        self.behind[fewest].push(index);
    }

    fn refresh(&mut self, entry: usize) {
        let group = Group {
            engine: &self.engine,
            pause: PAUSE,
            ranks: RANKS,
            open_part: 1.0,
            entries: ENTRIES,
        };
        let now = self.began + Duration::from_millis(self.now);
        self.queues[entry].refresh(self.told.as_ref(), &group, self.inside[entry], now);
        while let Some(index) = self.queues[entry].next(now) {
            self.queues[entry].admit(now);
            self.limits.retain(|(_, waiting), _| *waiting != index);
            self.enter(index);
        }
    }

    fn let_in_overdue(&mut self) {
        while let Some((&(limit, index), &entry)) = self.limits.first_key_value() {
            if limit > self.now {
                return;
            }
            self.limits.pop_first();
            self.queues[entry].give_up((0, index));
            let now = self.at(self.now);
            self.queues[entry].admit(now);
            self.enter(index);
        }
    }

    /// Callers leave whose first event is not there in time for them; they are behind, or in the line.
    fn leave_silent(&mut self) {
        let borne = patience::longest_silence(OBJECTIVE, PAUSE).as_millis() as u64;
        let now = self.now;
        for rank in 0..RANKS {
            let calls = &self.calls;
            let gone: Vec<usize> = self.behind[rank]
                .extract_if(.., |index| now - calls[*index].tried > borne)
                .collect();
            for index in gone {
                let call = &self.calls[index];
                self.seconds[(call.came / 1_000) as usize].left += 1;
                self.inside[call.entry] -= 1;
                let stayed = Duration::from_millis(now - call.entered);
                self.queues[call.entry].leave(stayed);
            }
        }
    }

    fn tell(&mut self) {
        if self.on_the_way.as_ref().is_some_and(|(at, _)| *at <= self.now) {
            self.told = self.on_the_way.take().map(|(_, load)| load);
            for entry in 0..ENTRIES {
                self.refresh(entry);
            }
        }
        if !self.now.is_multiple_of(TELL_MS) {
            return;
        }
        let rank = |rank: usize| RankLoad {
            running: self.ranks[rank].len() as u32,
            queued: self.behind[rank].len() as u32,
            ..RankLoad::default()
        };
        let load = GroupLoad {
            group: "g".to_owned(),
            order: (1, self.now + 1),
            open: true,
            skew: (self.load.skew)(self.now),
            pass_micros: self.pass_ms * 1_000,
            pass: 0,
            ranks: (0..RANKS).map(|index| Some(rank(index))).collect(),
        };
        self.on_the_way = Some((self.now + WAY_MS, load));
    }

    /// All ranks advance together: a pass takes what the fullest rank needs, prompts that are read in it included.
    fn end_pass(&mut self) {
        for rank in 0..RANKS {
            for index in std::mem::take(&mut self.ranks[rank]) {
                if !self.advance(index) {
                    self.ranks[rank].push(index);
                }
            }
        }
        let mut longest: f64 = 1.0;
        for rank in 0..RANKS {
            let mut reading = 0.0;
            while self.ranks[rank].len() < self.engine.slots as usize && !self.behind[rank].is_empty() {
                let index = self.behind[rank].remove(0);
                reading += self.engine.prefill_ms(self.calls[index].prompt);
                self.ranks[rank].push(index);
            }
            let running = &self.ranks[rank];
            if running.is_empty() {
                continue;
            }
            let context: f64 = running.iter().map(|index| f64::from(self.calls[*index].prompt)).sum();
            longest = longest.max(self.engine.pass_ms(running.len() as f64, context, 1.0) + reading);
        }
        let share = self.engine.experts.map_or(0.0, |experts| experts.work_share);
        let skew = (self.load.skew)(self.now);
        self.pass_ms = (longest * (share * skew + 1.0 - share)).round() as u64;
        self.pass_ends = self.now + self.pass_ms;
    }

    /// Ends one pass of a call; tells whether that was its last.
    fn advance(&mut self, index: usize) -> bool {
        let now = self.now;
        let call = &mut self.calls[index];
        if call.first.is_none() {
            call.first = Some(now);
            let took = Duration::from_millis(now - call.entered);
            self.queues[call.entry].first_event(took);
        } else {
            call.pauses += 1;
            call.late_pauses += u32::from(now - call.last > PAUSE.as_millis() as u64);
        }
        call.last = now;
        call.tokens_left = call.tokens_left.saturating_sub(self.engine.steps_per_pass);
        if call.tokens_left > 0 {
            return false;
        }
        let first = call.first.unwrap_or(now) - call.came;
        let first_again = call.first.unwrap_or(now) - call.tried <= OBJECTIVE.as_millis() as u64;
        let timely = first <= OBJECTIVE.as_millis() as u64 && call.late_pauses == 0;
        let entry = call.entry;
        let stayed = Duration::from_millis(now - call.entered);
        let second = &mut self.seconds[(call.came / 1_000) as usize];
        let again = first_again && call.late_pauses == 0 && call.returns > 0;
        if timely {
            second.timely += 1;
        } else if again {
            second.again += 1;
        } else {
            second.late += 1;
        }
        self.inside[entry] -= 1;
        self.queues[entry].leave(stayed);
        true
    }
}
