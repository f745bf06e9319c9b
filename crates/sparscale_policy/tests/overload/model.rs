//! Simulates a group of engines, its leader and several entries in virtual time, by the engine's performance model.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_catalog::EngineProfile;
use sparscale_policy::caller_timeout;
use sparscale_policy::fair_share::Workspace;
use sparscale_policy::queue::{Decision, Group, Queue, Request, Review};
use sparscale_wire::{group, rank};

const RANKS: usize = 12;
/// Time between two reports of the group leader.
const REPORT_INTERVAL_MS: u64 = 50;
/// Time from the creation of a report to its arrival at the entries.
const REPORT_DELAY_MS: u64 = 25;
/// Number of times that a caller retries after a rejection.
const MAX_RETRIES: u32 = 1;
/// Delay of a caller that ignores its retry time: a round trip and the set-up of a connection.
const IMMEDIATE_RETRY_DELAY_MS: u64 = 20;
/// Fraction of the latency objective within which a rejection is useful to its caller: a response that is on time only
/// by its retry then counts for more than a late one.
const USEFUL_REJECTION_FRACTION: f64 = 0.25;
/// Number of small workspaces beside a large one.
const SMALL_WORKSPACES: usize = 20;
/// Total time for which a caller waits.
const DEADLINE: Duration = Duration::from_secs(8);
/// Longest allowed pause between two events of a stream.
pub(crate) const PAUSE: Duration = Duration::from_millis(120);
/// Time within which the first event is due.
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(500);

/// The load over time; each function takes the time in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    /// Requests a second.
    pub(crate) rate: fn(u64) -> f64,
    /// Skew of the experts' work.
    pub(crate) skew: fn(u64) -> f64,
    /// Fraction of the requests whose prompt is ten times as long as usual.
    pub(crate) long_prompts: fn(u64) -> f64,
    /// Whether rejected callers ignore their retry time and retry after [`IMMEDIATE_RETRY_DELAY_MS`].
    pub(crate) immediate_retries: bool,
    /// Fraction of the requests that belong to the large workspace; the others belong to [`SMALL_WORKSPACES`] small
    /// ones. Without a large workspace, all requests belong to the same one.
    pub(crate) large_workspace: f64,
    /// Number of entries.
    pub(crate) entries: usize,
    /// Fraction of the first attempts that arrive at one of the entries; the others and all retries are spread evenly.
    pub(crate) at_one_entry: fn(u64) -> f64,
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    /// By the queue.
    Queue,
    /// All at once.
    Open,
}

/// Outcomes of the requests that first arrived in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Second {
    pub(crate) arrived: u32,
    /// The first event and all pauses were on time, counted from the first attempt.
    pub(crate) timely: u32,
    pub(crate) late: u32,
    /// Answered at the first attempt, on time or late.
    pub(crate) answered_first: u32,
    /// Rejected soon after its arrival, and on time counted from the attempt that was served.
    pub(crate) timely_retry: u32,
    /// Rejected for the last time.
    pub(crate) rejected: u32,
    /// Given up by their callers, who took the connection for dead.
    pub(crate) abandoned: u32,
    /// Of those, the requests of small workspaces that arrived, that were on time, and that ended without an answer.
    pub(crate) small_arrived: u32,
    pub(crate) small_timely: u32,
    pub(crate) small_lost: u32,
}

impl Second {
    /// The sum of both.
    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            timely: self.timely + other.timely,
            late: self.late + other.late,
            answered_first: self.answered_first + other.answered_first,
            timely_retry: self.timely_retry + other.timely_retry,
            rejected: self.rejected + other.rejected,
            abandoned: self.abandoned + other.abandoned,
            small_arrived: self.small_arrived + other.small_arrived,
            small_timely: self.small_timely + other.small_timely,
            small_lost: self.small_lost + other.small_lost,
        }
    }
}

struct Call {
    first_arrival: u64,
    /// Arrival of the current attempt.
    attempt_arrival: u64,
    retries: u32,
    /// Whether it was rejected soon enough for its retry to count as on time.
    rejected_soon: bool,
    /// Number of its workspace; 0 for the large one.
    workspace: usize,
    entry: usize,
    admitted_at: u64,
    prompt: u32,
    tokens_left: u32,
    first_event: Option<u64>,
    last_event: u64,
    pauses: u32,
    late_pauses: u32,
}

/// The simulation; a run plays `load` and returns the outcomes of each second.
pub(crate) struct Model {
    engine: EngineProfile,
    load: Load,
    admission: Admission,
    random: ChaCha8Rng,
    start: Instant,
    now: u64,
    calls: Vec<Call>,
    /// Calls that run at each rank.
    running: Vec<Vec<usize>>,
    /// Calls that wait for a slot at each rank.
    queued: Vec<Vec<usize>>,
    pass_end: u64,
    pass_ms: u64,
    queues: Vec<Queue<usize>>,
    in_flight: Vec<usize>,
    /// Times at which calls in the backlog are reviewed.
    reviews: BTreeSet<(u64, usize)>,
    retries: BinaryHeap<Reverse<(u64, usize)>>,
    latest_report: Option<group::Load>,
    report_in_transit: Option<(u64, group::Load)>,
    seconds: Vec<Second>,
}

impl Model {
    pub(crate) fn new(engine: EngineProfile, load: Load, admission: Admission, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            engine,
            load,
            admission,
            random: ChaCha8Rng::seed_from_u64(seed),
            start,
            now: 0,
            calls: Vec::new(),
            running: vec![Vec::new(); RANKS],
            queued: vec![Vec::new(); RANKS],
            pass_end: 0,
            pass_ms: 0,
            queues: (0..load.entries).map(|_| Queue::new(start)).collect(),
            in_flight: vec![0; load.entries],
            reviews: BTreeSet::new(),
            retries: BinaryHeap::new(),
            latest_report: None,
            report_in_transit: None,
            seconds: Vec::new(),
        }
    }

    /// Plays `seconds` of arrivals, and continues long enough for all calls to end.
    pub(crate) fn run(mut self, seconds: u64) -> Vec<Second> {
        let end = seconds * 1_000;
        self.seconds = vec![Second::default(); seconds as usize];
        while self.now < end * 3 {
            if self.now < end && self.random.random::<f64>() < (self.load.rate)(self.now) / 1_000.0 {
                let call = self.new_call();
                self.arrive(call);
            }
            while self.retries.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
                if let Some(Reverse((_, call))) = self.retries.pop() {
                    self.arrive(call);
                }
            }
            self.report();
            self.review();
            self.abandon_unserved();
            if self.now >= self.pass_end {
                self.end_pass();
            }
            self.now += 1;
        }
        self.seconds
    }
    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn new_call(&mut self) -> usize {
        let long = self.random.random::<f64>() < (self.load.long_prompts)(self.now);
        let usual = self.engine.mean_prompt_tokens;
        let answer = f64::from(self.engine.mean_response_tokens) * (0.5 + self.random.random::<f64>());
        let large = self.load.large_workspace;
        let workspace = if large > 0.0 && self.random.random::<f64>() >= large {
            self.random.random_range(1..=SMALL_WORKSPACES)
        } else {
            0
        };
        let second = &mut self.seconds[(self.now / 1_000) as usize];
        second.arrived += 1;
        second.small_arrived += u32::from(workspace > 0);
        self.calls.push(Call {
            first_arrival: self.now,
            attempt_arrival: self.now,
            retries: 0,
            rejected_soon: false,
            workspace,
            entry: 0,
            admitted_at: 0,
            prompt: if long { usual * 10 } else { usual },
            tokens_left: answer as u32,
            first_event: None,
            last_event: 0,
            pauses: 0,
            late_pauses: 0,
        });
        self.calls.len() - 1
    }

    fn arrive(&mut self, index: usize) {
        let is_first = self.calls[index].retries == 0;
        let at_one_entry = (self.load.at_one_entry)(self.now);
        let entry = if is_first && at_one_entry > 0.0 && self.random.random::<f64>() < at_one_entry {
            0
        } else {
            self.random.random_range(0..self.load.entries)
        };
        let sample = self.random.random::<f64>();
        let call = &mut self.calls[index];
        call.entry = entry;
        call.attempt_arrival = self.now;
        if self.admission == Admission::Open {
            self.admit(index);
            return;
        }
        self.refresh(entry);
        self.decide(index, sample);
    }

    fn decide(&mut self, index: usize, sample: f64) {
        let (entry, now, request) = (self.calls[index].entry, self.at(self.now), self.request(index));
        match self.queues[entry].decide((0, index), &request, self.in_flight[entry], sample, now) {
            Decision::Admit => {
                self.queues[entry].admit(now);
                self.admit(index);
            }
            Decision::Wait { review_at } => {
                self.schedule_review(index, review_at);
                self.queues[entry].enqueue((0, index), &request, index);
            }
            Decision::Reject { retry_after: retry, .. } => self.reject(index, retry),
        }
    }

    /// The current attempt of a call.
    fn request(&self, index: usize) -> Request {
        let call = &self.calls[index];
        let retry_age = Duration::from_millis(call.attempt_arrival - call.first_arrival);
        Request {
            arrived_at: self.at(call.attempt_arrival),
            objective: OBJECTIVE,
            max_pause: PAUSE,
            retry_age,
            remaining: DEADLINE.checked_sub(retry_age),
            workspace: Workspace::named(&call.workspace.to_le_bytes()),
        }
    }

    fn reject(&mut self, index: usize, retry: Duration) {
        let call = &mut self.calls[index];
        if call.retries == MAX_RETRIES {
            let second = &mut self.seconds[(call.first_arrival / 1_000) as usize];
            second.rejected += 1;
            second.small_lost += u32::from(call.workspace > 0);
            return;
        }
        call.retries += 1;
        let useful_ms = OBJECTIVE.mul_f64(USEFUL_REJECTION_FRACTION).as_millis() as u64;
        call.rejected_soon = self.now - call.attempt_arrival <= useful_ms;
        let delay_ms = if self.load.immediate_retries {
            IMMEDIATE_RETRY_DELAY_MS
        } else {
            retry.as_millis() as u64
        };
        self.retries.push(Reverse((self.now + delay_ms, index)));
    }

    /// Sends an admitted call to the rank with the fewest calls.
    fn admit(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.admitted_at = self.now;
        self.in_flight[call.entry] += 1;
        let count = |rank: &usize| self.running[*rank].len() + self.queued[*rank].len();
        let fewest = (0..RANKS).min_by_key(count).unwrap_or(0);
        self.queued[fewest].push(index);
    }

    fn refresh(&mut self, entry: usize) {
        let group = Group {
            engine: &self.engine,
            max_pause: PAUSE,
            rank_count: RANKS,
            open_fraction: 1.0,
            entry_count: self.load.entries,
        };
        let now = self.start + Duration::from_millis(self.now);
        self.queues[entry].refresh(self.latest_report.as_ref(), &group, self.in_flight[entry], now);
        while let Some(index) = self.queues[entry].next(now) {
            self.queues[entry].admit(now);
            self.reviews.retain(|(_, waiting)| *waiting != index);
            self.admit(index);
        }
    }

    fn schedule_review(&mut self, index: usize, review_at: Instant) {
        let review_ms = review_at.saturating_duration_since(self.start).as_millis() as u64;
        self.reviews.insert((review_ms.max(self.now + 1), index));
    }

    /// Reviews the calls in the backlog that have waited until their review.
    fn review(&mut self) {
        while let Some(&(at, index)) = self.reviews.first() {
            if at > self.now {
                return;
            }
            self.reviews.pop_first();
            let (entry, now, request) = (self.calls[index].entry, self.at(self.now), self.request(index));
            match self.queues[entry].review((0, index), &request, self.in_flight[entry], now) {
                None => {}
                Some(Review::Admit) => {
                    self.queues[entry].admit(now);
                    self.admit(index);
                }
                Some(Review::Wait { review_at }) => self.schedule_review(index, review_at),
                Some(Review::Leave) => {
                    let sample = self.random.random::<f64>();
                    self.decide(index, sample);
                }
            }
        }
    }

    /// Ends the calls that wait for a slot and whose callers have waited too long for the first event. Calls in the
    /// backlog are admitted before that.
    fn abandon_unserved(&mut self) {
        let timeout = caller_timeout::stream_timeout(OBJECTIVE, PAUSE).as_millis() as u64;
        let now = self.now;
        for rank in 0..RANKS {
            let calls = &self.calls;
            let abandoned: Vec<usize> = self.queued[rank]
                .extract_if(.., |index| now - calls[*index].attempt_arrival > timeout)
                .collect();
            for index in abandoned {
                let call = &self.calls[index];
                let second = &mut self.seconds[(call.first_arrival / 1_000) as usize];
                second.abandoned += 1;
                second.small_lost += u32::from(call.workspace > 0);
                self.in_flight[call.entry] -= 1;
                let residence = Duration::from_millis(now - call.admitted_at);
                self.queues[call.entry].record_end(residence);
            }
        }
    }

    fn report(&mut self) {
        if self.report_in_transit.as_ref().is_some_and(|(at, _)| *at <= self.now) {
            self.latest_report = self.report_in_transit.take().map(|(_, load)| load);
            for entry in 0..self.load.entries {
                self.refresh(entry);
            }
        }
        if !self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        let rank = |rank: usize| rank::Load {
            running: self.running[rank].len() as u32,
            queued: self.queued[rank].len() as u32,
            ..rank::Load::default()
        };
        let load = group::Load {
            group: "g".to_owned(),
            sequence: (1, self.now + 1),
            is_running: true,
            skew: (self.load.skew)(self.now),
            mean_pass_micros: self.pass_ms * 1_000,
            latest_pass: 0,
            rank_loads: (0..RANKS).map(|index| Some(rank(index))).collect(),
        };
        self.report_in_transit = Some((self.now + REPORT_DELAY_MS, load));
    }

    /// All ranks advance together: a pass takes as long as the rank with the most work, including the prompts that it
    /// processes.
    fn end_pass(&mut self) {
        for rank in 0..RANKS {
            for index in std::mem::take(&mut self.running[rank]) {
                if !self.advance(index) {
                    self.running[rank].push(index);
                }
            }
        }
        let mut longest: f64 = 1.0;
        for rank in 0..RANKS {
            let mut prefill = 0.0;
            while self.running[rank].len() < self.engine.slots as usize && !self.queued[rank].is_empty() {
                let index = self.queued[rank].remove(0);
                prefill += self.engine.prefill_ms(self.calls[index].prompt);
                self.running[rank].push(index);
            }
            let running = &self.running[rank];
            if running.is_empty() {
                continue;
            }
            let context: f64 = running.iter().map(|index| f64::from(self.calls[*index].prompt)).sum();
            longest = longest.max(self.engine.pass_ms(running.len() as f64, context, 1.0) + prefill);
        }
        let share = self.engine.experts.map_or(0.0, |experts| experts.expert_work_fraction);
        let skew = (self.load.skew)(self.now);
        self.pass_ms = (longest * (share * skew + 1.0 - share)).round() as u64;
        self.pass_end = self.now + self.pass_ms;
    }

    /// Ends one pass of a call and returns whether that was its last.
    fn advance(&mut self, index: usize) -> bool {
        let now = self.now;
        let call = &mut self.calls[index];
        if call.first_event.is_none() {
            call.first_event = Some(now);
            let elapsed = Duration::from_millis(now - call.admitted_at);
            self.queues[call.entry].record_first_event(elapsed);
        } else {
            call.pauses += 1;
            call.late_pauses += u32::from(now - call.last_event > PAUSE.as_millis() as u64);
        }
        call.last_event = now;
        call.tokens_left = call.tokens_left.saturating_sub(self.engine.steps_per_pass);
        if call.tokens_left > 0 {
            return false;
        }
        let first_event_time = call.first_event.unwrap_or(now) - call.first_arrival;
        let is_attempt_timely = call.first_event.unwrap_or(now) - call.attempt_arrival <= OBJECTIVE.as_millis() as u64;
        let is_timely = first_event_time <= OBJECTIVE.as_millis() as u64 && call.late_pauses == 0;
        let entry = call.entry;
        let residence = Duration::from_millis(now - call.admitted_at);
        let second = &mut self.seconds[(call.first_arrival / 1_000) as usize];
        second.answered_first += u32::from(call.retries == 0);
        let is_timely_retry = is_attempt_timely && call.late_pauses == 0 && call.rejected_soon;
        if is_timely {
            second.timely += 1;
            second.small_timely += u32::from(call.workspace > 0);
        } else if is_timely_retry {
            second.timely_retry += 1;
        } else {
            second.late += 1;
        }
        self.in_flight[entry] -= 1;
        self.queues[entry].record_end(residence);
        true
    }
}
