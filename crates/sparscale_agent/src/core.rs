//! The agent's state and what happens to each request: ledger, queue, buffered answers.

mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_admit::ledger::{self, Ledger};
use sparscale_admit::queue::{self, Queue};
use sparscale_backpressure::Signal;
use sparscale_policy::rate_limit::Rate;
use sparscale_telemetry::{DECISION, Metrics};
use sparscale_wire::{Attempt, AttemptId, Chunk, Failure, Head, Load, Part, Refusal, RefusalReason, Settlement};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::engine::{CallError, Engine, EngineLoad};
use crate::intake::Intake;
use state::{Earlier, Held, State, bind, closed_for, is_abandoned, is_over, ledger_id, note_seen};

/// Time after its deadline for which an attempt stays in the ledger.
const KEEP_AFTER_DEADLINE: Duration = Duration::from_mins(1);
/// When to come back to an agent that is going away: at once, another one takes the request.
const DRAIN_RETRY_MS: u64 = 100;
/// When to come back to a target that cannot be reached.
const DOWN_RETRY_MS: u64 = 1_000;

/// How one attempt begins.
pub(crate) enum Begun {
    /// Its answer, from the start.
    Answer(Arc<Answer>),
    /// It was not handed on.
    Refused(Refusal),
    /// Nobody can tell whether it ran.
    Unknown(String),
}

/// Pauses before each look at whether a target has ended under a request: a process that ends closes its connections first,
/// its socket a moment later. Only answers that broke off wait for this.
const END_PAUSES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(150)];

/// The agent's core.
pub(crate) struct Core {
    pub(crate) incarnation: u64,
    state: Mutex<State>,
    engine: Arc<dyn Engine>,
    metrics: Metrics,
    started: Instant,
    changed: watch::Sender<()>,
}

impl Core {
    pub(crate) fn new(incarnation: u64, ledger_entries: usize, engine: Arc<dyn Engine>, metrics: Metrics) -> Self {
        let limits = queue::Limits {
            running: 1,
            waiting: 0,
            floor_one_in: 0,
        };
        let (changed, _) = watch::channel(());
        Self {
            incarnation,
            state: Mutex::new(State {
                ledger: Ledger::new(ledger_entries),
                queue: Queue::new(limits),
                attempts: HashMap::new(),
                seen: HashMap::new(),
                in_progress: HashMap::new(),
                draining: false,
                listening: false,
                ready: false,
                engine_load: EngineLoad::default(),
                intake: Intake::new(),
            }),
            engine,
            metrics,
            started: Instant::now(),
            changed,
        }
    }

    pub(crate) fn engine(&self) -> &Arc<dyn Engine> {
        &self.engine
    }

    /// Uses the limits of the bundle in force.
    pub(crate) fn set_limits(&self, limits: queue::Limits) {
        let mut state = self.lock();
        state.queue.set_limits(limits);
        state.ready = true;
    }

    pub(crate) fn set_engine_load(&self, load: EngineLoad) {
        self.lock().engine_load = load;
    }

    /// Refuses new work from now on; entries that watch are told at once.
    pub(crate) fn drain(&self) {
        self.lock().draining = true;
        self.changed.send_replace(());
    }

    /// Tells when the agent begins or ceases to refuse new work.
    pub(crate) fn closings(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Whether the target listened when it was last looked at.
    pub(crate) fn is_listening(&self) -> bool {
        self.lock().listening
    }

    /// Notes whether the target listens; entries that watch are told at once.
    pub(crate) fn set_listening(&self, listening: bool) {
        self.note_listening(&mut self.lock(), listening);
    }

    fn note_listening(&self, state: &mut State, listening: bool) {
        if state.listening == listening {
            return;
        }
        state.listening = listening;
        if listening {
            state.intake.begin();
        }
        log::info!(target: DECISION, decision = "target", listening; "the target began or ceased to listen");
        self.changed.send_replace(());
    }

    /// Whether nothing listens at the target's address any more.
    async fn has_ended(&self) -> bool {
        for pause in END_PAUSES {
            tokio::time::sleep(pause).await;
            if !self.engine.listens().await {
                self.set_listening(false);
                return true;
            }
        }
        false
    }

    /// Requests that wait or run.
    pub(crate) fn in_progress(&self) -> usize {
        let state = self.lock();
        state.queue.waiting() + state.queue.running()
    }

    /// Load as told to the entry with this incarnation.
    pub(crate) fn load(&self, entry: u64) -> Load {
        self.load_of(&self.lock(), entry)
    }

    /// Takes an attempt in, or refuses it at once.
    pub(crate) fn begin(self: &Arc<Self>, attempt: Attempt) -> Begun {
        let begun = self.admit(attempt);
        self.dispatch();
        begun
    }

    fn admit(self: &Arc<Self>, attempt: Attempt) -> Begun {
        let now = self.now();
        let id = attempt.id;
        let mut state = self.lock();
        note_seen(&mut state.seen, id);
        if let Some(reason) = self.refusal_before_entry(&state, &attempt) {
            return self.refuse(&mut state, id, reason, DRAIN_RETRY_MS);
        }
        if let Some(opens_in) = closed_for(&state, &attempt) {
            return self.refuse(&mut state, id, RefusalReason::Closed, whole_ms(opens_in));
        }
        let deadline = now + Duration::from_millis(attempt.deadline_ms);
        let keep = Duration::from_secs(attempt.keep_seconds).max(KEEP_AFTER_DEADLINE);
        match state.ledger.enter(ledger_id(id), deadline + keep, now) {
            Ok(()) => {}
            Err(refusal) => return self.refuse_entry(&state, id, refusal),
        }
        if let Some(earlier) = bind(&mut state, &attempt) {
            // The attempt itself was not handed on and never will be: the earlier one answers for it.
            state.ledger.settle(ledger_id(id), deadline + keep, now);
            return match earlier {
                Earlier::Attempt(earlier) => kept_answer(&state, earlier),
                Earlier::OtherBody => Begun::Refused(self.refusal(&state, id, RefusalReason::KeyReused, 0)),
            };
        }
        let job = queue::Job {
            key: id,
            tier: attempt.tier,
            workspace: attempt.workspace.clone(),
            weight: attempt.weight,
            cost: f64::from(attempt.answer_tokens.max(1)),
            deadline,
        };
        match state.queue.offer(job, now) {
            Ok(admission) => {
                if let Some(displaced) = admission.displaced {
                    self.displace(&mut state, displaced);
                }
                let answer = Arc::new(Answer::new());
                let held = Held {
                    attempt: Arc::new(attempt),
                    answer: Arc::clone(&answer),
                    keep_until: Instant::now() + keep,
                };
                state.attempts.insert(id, held);
                *state.in_progress.entry(id.entry).or_default() += 1;
                Begun::Answer(answer)
            }
            Err(queue::Refusal::Full { retry_after }) => {
                self.refuse(&mut state, id, RefusalReason::QueueFull, whole_ms(retry_after))
            }
            Err(queue::Refusal::TooLate { retry_after }) => {
                self.refuse(&mut state, id, RefusalReason::TooLate, whole_ms(retry_after))
            }
        }
    }

    fn refusal_before_entry(&self, state: &State, attempt: &Attempt) -> Option<RefusalReason> {
        if attempt.incarnation != 0 && attempt.incarnation != self.incarnation {
            return Some(RefusalReason::OtherIncarnation);
        }
        if !state.ready {
            return Some(RefusalReason::NotReady);
        }
        // A re-send under a key that is bound here asks for an answer, not for work.
        let bound = attempt
            .key
            .is_some_and(|key| state.ledger.bound(key.as_bytes()).is_some());
        (state.draining && !bound).then_some(RefusalReason::Draining)
    }

    /// Refuses with a tombstone, so that a late copy of the attempt is refused, too.
    fn refuse(&self, state: &mut State, id: AttemptId, reason: RefusalReason, retry_after_ms: u64) -> Begun {
        let now = self.now();
        let settled = state.ledger.settle(ledger_id(id), now + KEEP_AFTER_DEADLINE, now);
        match settled {
            Some(ledger::State::Tombstone) => Begun::Refused(self.refusal(state, id, reason, retry_after_ms)),
            Some(_) => Begun::Unknown("the attempt was handed on before".to_owned()),
            // Without room for a tombstone, nothing was handed on either, but a copy could still come.
            None => Begun::Unknown("the ledger has no room for a proof".to_owned()),
        }
    }

    fn refusal(&self, state: &State, id: AttemptId, reason: RefusalReason, retry_after_ms: u64) -> Refusal {
        self.metrics.count("attempt.refused");
        log::info!(target: DECISION, decision = "refuse", attempt = id.to_string().as_str(), reason:? = reason, retry_after_ms, queued = state.queue.waiting(), running = state.queue.running(); "refused");
        Refusal {
            reason,
            retry_after_ms,
            load: self.load_of(state, id.entry),
        }
    }

    fn refuse_entry(&self, state: &State, id: AttemptId, refusal: ledger::Refusal) -> Begun {
        match refusal {
            ledger::Refusal::Known {
                state: ledger::State::Tombstone,
            } => Begun::Refused(self.refusal(state, id, RefusalReason::Tombstone, 0)),
            ledger::Refusal::Known { .. } => kept_answer(state, id),
            ledger::Refusal::Forgotten => Begun::Unknown("the attempt is older than the ledger remembers".to_owned()),
            // Not entered means not handed on, now; a copy that comes later meets the same ledger or runs first.
            ledger::Refusal::Full => Begun::Refused(self.refusal(state, id, RefusalReason::LedgerFull, DOWN_RETRY_MS)),
        }
    }

    fn displace(&self, state: &mut State, id: AttemptId) {
        let wait = state.queue.expected_wait(u8::MAX, 1.0);
        self.refuse_waiting(state, id, RefusalReason::QueueFull, whole_ms(wait));
    }

    /// Refuses a request that was taken out of the queue.
    fn refuse_waiting(&self, state: &mut State, id: AttemptId, reason: RefusalReason, retry_after_ms: u64) {
        let now = self.now();
        state.ledger.settle(ledger_id(id), now + KEEP_AFTER_DEADLINE, now);
        state.leave(id);
        let refusal = self.refusal(state, id, reason, retry_after_ms);
        if let Some(held) = state.attempts.get(&id) {
            held.answer.push(Part::Refused(refusal));
        }
    }

    /// Hands on whatever has a free place.
    fn dispatch(self: &Arc<Self>) {
        let mut state = self.lock();
        let mut expired = Vec::new();
        loop {
            if state.queue.waiting() > 0 && !state.queue.is_busy() && !self.takes_one(&mut state) {
                return;
            }
            let job = state.queue.next(self.now(), &mut expired);
            for id in std::mem::take(&mut expired) {
                self.refuse_waiting(&mut state, id, RefusalReason::TooLate, DRAIN_RETRY_MS);
            }
            let Some(job) = job else { return };
            let held = state.attempts.get(&job.key);
            let held = held.map(|held| (Arc::clone(&held.attempt), Arc::clone(&held.answer)));
            if let Some((attempt, answer)) = held
                && state.ledger.hand_on(ledger_id(job.key))
            {
                log::info!(target: DECISION, decision = "hand_on", attempt = job.key.to_string().as_str(), tier = job.tier, workspace = job.workspace.as_str(), queued = state.queue.waiting(), running = state.queue.running(); "handed on");
                tokio::spawn(Arc::clone(self).run(attempt, answer, job.cost));
            } else {
                // It was settled while it waited; whoever reads its answer must hear so.
                state.queue.gave_up_place();
                self.refuse_waiting(&mut state, job.key, RefusalReason::Tombstone, 0);
            }
        }
    }

    /// Whether the target takes a request now; else this is asked again when it does.
    fn takes_one(self: &Arc<Self>, state: &mut State) -> bool {
        if state.intake.take() {
            return true;
        }
        if let Some(opens_in) = state.intake.wake_in() {
            let core = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(opens_in).await;
                core.lock().intake.woken();
                core.dispatch();
            });
        }
        false
    }

    /// Takes in what an answer of the target asks; entries that watch are told at once, and again when it takes requests.
    fn hear(self: &Arc<Self>, signal: Signal) {
        let opens_in = {
            let mut state = self.lock();
            if !state.intake.hear(signal) {
                return;
            }
            state.intake.opens_in()
        };
        log::info!(
            target: DECISION,
            decision = "target_asks",
            per_second = signal.rate.value().map(Rate::per_second),
            rest_ms = signal.rest.map(whole_ms),
            leaving = signal.leaving;
            "the target limits its rate, ceases to, wants rest, or leaves"
        );
        self.changed.send_replace(());
        if let Some(opens_in) = opens_in {
            let core = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(opens_in).await;
                core.changed.send_replace(());
            });
        }
    }

    async fn run(self: Arc<Self>, attempt: Arc<Attempt>, answer: Arc<Answer>, cost: f64) {
        let began = Instant::now();
        let deadline = began + Duration::from_millis(attempt.deadline_ms);
        let ran = tokio::time::timeout_at(deadline, self.call(&attempt, &answer)).await;
        let result = ran.unwrap_or_else(|_elapsed| {
            Err(CallError::Lost {
                message: "the deadline passed".to_owned(),
            })
        });
        if result.is_err() && attempt.repeatable {
            // The target may still work on it; a cancel that fails costs only that work.
            let _cancelled = self.engine.cancel(&attempt.id.to_string()).await;
        }
        let ended = matches!(result, Err(CallError::Lost { .. })) && self.has_ended().await;
        self.finish(&attempt, &answer, result, ended, cost, began.elapsed());
        self.dispatch();
    }

    async fn call(self: &Arc<Self>, attempt: &Attempt, answer: &Answer) -> Result<u64, CallError> {
        let mut started = self.engine.call(attempt).await?;
        self.hear(started.signal);
        answer.push(Part::Head(Head {
            status: started.status,
            content_type: started.content_type,
            incarnation: self.incarnation,
            load: self.load(attempt.id.entry),
        }));
        let mut sequence = 0;
        while let Some(data) = started.chunks.next().await {
            let data = data?;
            answer.push(Part::Chunk(Chunk { sequence, data }));
            sequence += 1;
            if answer.has_ended() {
                // Cancelled meanwhile.
                return Ok(sequence);
            }
        }
        Ok(sequence)
    }

    fn finish(
        &self,
        attempt: &Attempt,
        answer: &Answer,
        result: Result<u64, CallError>,
        ended: bool,
        cost: f64,
        held: Duration,
    ) {
        let mut state = self.lock();
        state.queue.finished(cost, held);
        state.leave(attempt.id);
        self.metrics.time("attempt.held", held);
        let part = match result {
            Ok(chunks) => {
                state.ledger.end(ledger_id(attempt.id));
                let load = self.load_of(&state, attempt.id.entry);
                Part::End { chunks, load }
            }
            Err(CallError::NotSent { message }) => {
                state.ledger.take_back(ledger_id(attempt.id));
                self.note_listening(&mut state, false);
                log::warn!(attempt = attempt.id.to_string().as_str(), message = message.as_str(); "the target cannot be reached");
                Part::Refused(self.refusal(&state, attempt.id, RefusalReason::TargetDown, DOWN_RETRY_MS))
            }
            Err(CallError::Lost { message }) => {
                state.ledger.end(ledger_id(attempt.id));
                log::warn!(attempt = attempt.id.to_string().as_str(), message = message.as_str(), ended; "no whole answer from the target");
                let failure = if ended {
                    Failure::Ended { message }
                } else {
                    Failure::Unknown { message }
                };
                Part::Failed(failure)
            }
        };
        answer.push(part);
    }

    /// The buffered answer of an earlier attempt.
    pub(crate) fn resume(&self, id: AttemptId) -> Option<Arc<Answer>> {
        let state = self.lock();
        state.attempts.get(&id).map(|held| Arc::clone(&held.answer))
    }

    /// What became of an attempt that was sent to agent incarnation `incarnation`.
    ///
    /// What an earlier incarnation did is not known here, so nothing may be called not run.
    pub(crate) fn settle_for(&self, id: AttemptId, incarnation: u64) -> Settlement {
        if incarnation != self.incarnation {
            return Settlement::Unknown;
        }
        self.settle(id)
    }

    /// What became of an attempt; if it was not handed on, it never will be.
    pub(crate) fn settle(&self, id: AttemptId) -> Settlement {
        let now = self.now();
        let mut state = self.lock();
        let settled = state.ledger.settle(ledger_id(id), now + KEEP_AFTER_DEADLINE, now);
        if settled == Some(ledger::State::Tombstone) && state.queue.remove(&id) {
            self.refuse_waiting(&mut state, id, RefusalReason::Tombstone, 0);
        }
        match settled {
            Some(ledger::State::Tombstone) => Settlement::NotRun,
            Some(ledger::State::Running) => Settlement::Running,
            Some(ledger::State::Ended) => Settlement::Ended,
            Some(ledger::State::Queued) | None => Settlement::Unknown,
        }
    }

    /// Stops an attempt whose caller went away: one that waits never runs, one that runs stops if it may be repeated.
    pub(crate) async fn cancel(self: &Arc<Self>, id: AttemptId) {
        if self.settle(id) != Settlement::Running {
            return;
        }
        let held = self
            .lock()
            .attempts
            .get(&id)
            .map(|held| (Arc::clone(&held.attempt), Arc::clone(&held.answer)));
        let Some((attempt, answer)) = held else { return };
        if !attempt.repeatable || attempt.key.is_some() {
            return;
        }
        let message = "the caller went away".to_owned();
        answer.push(Part::Failed(Failure::Unknown { message }));
        // The target may be unreachable; then it ends by itself.
        let _cancelled = self.engine.cancel(&id.to_string()).await;
    }

    /// Drops answers that nobody needs any more and stops requests that nobody waits for; to be called now and then.
    pub(crate) async fn sweep(self: &Arc<Self>) {
        let now = Instant::now();
        let abandoned: Vec<AttemptId> = {
            let mut state = self.lock();
            state.ledger.expire(self.now());
            state.attempts.retain(|_, held| !is_over(held, now));
            let unread = state.attempts.iter().filter(|(_, held)| is_abandoned(held, now));
            unread.map(|(id, _)| *id).collect()
        };
        for id in abandoned {
            log::info!(attempt = id.to_string().as_str(); "nobody reads this answer");
            self.cancel(id).await;
        }
    }

    fn load_of(&self, state: &State, entry: u64) -> Load {
        Load {
            incarnation: self.incarnation,
            seen: state.seen.get(&entry).copied().unwrap_or(0),
            running: state.queue.running() as u32,
            queued: state.queue.waiting() as u32,
            own: state.in_progress.get(&entry).copied().unwrap_or(0),
            prefill_tokens: state.engine_load.prefill_tokens,
            step_micros: state.engine_load.step_micros,
            map: state.engine_load.map,
            closed: state.draining || !state.listening || state.intake.is_closed(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn kept_answer(state: &State, id: AttemptId) -> Begun {
    match state.attempts.get(&id) {
        Some(held) => Begun::Answer(Arc::clone(&held.answer)),
        None => Begun::Unknown("the answer is not kept any more".to_owned()),
    }
}

fn whole_ms(time: Duration) -> u64 {
    (time.as_millis() as u64).max(1)
}
