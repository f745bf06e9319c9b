//! Processes each attempt that entries send: admission by ledger and queue, dispatch to the target, and the buffered
//! response. A rejected attempt leaves a tombstone in the ledger, so that a copy which arrives later doesn't run
//! either.

mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_admit::ledger::{self, Ledger};
use sparscale_admit::queue::{self, Queue};
use sparscale_backpressure::BackpressureSignal;
use sparscale_policy::rate_limit::Rate;
use sparscale_telemetry::{DECISION, Metrics};
use sparscale_wire::{
    Attempt, AttemptId, Chunk, Failure, Head, Refusal, RefusalReason, ResponseEvent, Settlement, TargetLoad,
};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::engine::{CallError, Engine, EngineLoad};
use crate::response_buffer::ResponseBuffer;
use crate::throttle::Throttle;
use state::{
    AttemptRecord, EarlierUse, State, bind_key, is_abandoned, is_expired, ledger_id, record_counter, wait_past_deadline,
};

/// Time for which the ledger keeps an attempt after its deadline.
const RETENTION_AFTER_DEADLINE: Duration = Duration::from_mins(1);
/// Retry delay for requests rejected by a draining agent; short, because another agent accepts the request.
const DRAIN_RETRY_MS: u64 = 100;
/// Retry delay for requests to a target that can't be reached.
const UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Outcome of the start of an attempt.
pub(crate) enum AttemptStart {
    /// The response, buffered from its first part on.
    Response(Arc<ResponseBuffer>),
    /// The attempt wasn't dispatched to the target.
    Rejected(Refusal),
    /// The agent can't determine whether the attempt ran.
    Unknown(String),
}

/// Delays before each check whether the target's process has ended during a request. A process that ends closes its
/// connections before its listening socket, so one check isn't enough. Only incomplete responses wait for these checks.
const EXIT_CHECK_DELAYS: [Duration; 3] = [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(150)];

/// State of the agent, and the operations on it.
pub(crate) struct Core {
    pub(crate) incarnation: u64,
    state: Mutex<State>,
    engine: Arc<dyn Engine>,
    metrics: Metrics,
    started_at: Instant,
    availability_changed: watch::Sender<()>,
}

impl Core {
    pub(crate) fn new(incarnation: u64, ledger_entries: usize, engine: Arc<dyn Engine>, metrics: Metrics) -> Self {
        let limits = queue::Limits {
            max_running: 1,
            max_queued: 0,
            floor_one_in: 0,
        };
        let (availability_changed, _) = watch::channel(());
        Self {
            incarnation,
            state: Mutex::new(State {
                ledger: Ledger::new(ledger_entries),
                queue: Queue::new(limits),
                attempts: HashMap::new(),
                highest_counters: HashMap::new(),
                in_progress_by_entry: HashMap::new(),
                is_draining: false,
                is_listening: false,
                end_count: 0,
                is_ready: false,
                engine_load: EngineLoad::default(),
                throttle: Throttle::new(),
            }),
            engine,
            metrics,
            started_at: Instant::now(),
            availability_changed,
        }
    }

    pub(crate) fn engine(&self) -> &Arc<dyn Engine> {
        &self.engine
    }

    /// Sets the limits of the active bundle; the agent rejects requests until this is called once.
    pub(crate) fn set_limits(&self, limits: queue::Limits) {
        let mut state = self.lock();
        state.queue.set_limits(limits);
        state.is_ready = true;
    }

    pub(crate) fn set_engine_load(&self, load: EngineLoad) {
        self.lock().engine_load = load;
    }

    /// Rejects new requests from now on, and notifies subscribed entries immediately.
    pub(crate) fn drain(&self) {
        self.lock().is_draining = true;
        self.availability_changed.send_replace(());
    }

    /// Subscribes to changes of whether the agent accepts new requests.
    pub(crate) fn subscribe_availability(&self) -> watch::Receiver<()> {
        self.availability_changed.subscribe()
    }

    /// Returns whether the target listened at the last check.
    pub(crate) fn is_listening(&self) -> bool {
        self.lock().is_listening
    }

    /// Records whether the target listens, and notifies subscribed entries immediately of a change.
    pub(crate) fn set_listening(&self, is_listening: bool) {
        self.record_listening(&mut self.lock(), is_listening);
    }

    fn record_listening(&self, state: &mut State, is_listening: bool) {
        if state.is_listening == is_listening {
            return;
        }
        state.is_listening = is_listening;
        if is_listening {
            state.throttle.reset();
        } else {
            state.end_count += 1;
        }
        log::info!(target: DECISION, decision = "target", listening = is_listening; "the target has started or stopped listening");
        self.availability_changed.send_replace(());
    }

    /// Checks several times whether the target has stopped listening, which means that its process has ended.
    async fn has_target_ended(&self) -> bool {
        for delay in EXIT_CHECK_DELAYS {
            tokio::time::sleep(delay).await;
            if !self.engine.is_listening().await {
                self.set_listening(false);
                return true;
            }
        }
        false
    }

    /// Number of requests that are queued or running.
    pub(crate) fn in_progress_count(&self) -> usize {
        let state = self.lock();
        state.queue.queued_count() + state.queue.running_count()
    }

    /// Load report for the entry with this incarnation.
    pub(crate) fn load(&self, entry: u64) -> TargetLoad {
        self.load_of(&self.lock(), entry)
    }

    /// Admits an attempt or rejects it, and dispatches queued requests that the target has capacity for.
    pub(crate) fn start_attempt(self: &Arc<Self>, attempt: Attempt) -> AttemptStart {
        let start = self.admit(attempt);
        self.dispatch();
        start
    }

    fn admit(self: &Arc<Self>, attempt: Attempt) -> AttemptStart {
        let now = self.now();
        let id = attempt.id;
        let mut state = self.lock();
        record_counter(&mut state.highest_counters, id);
        if let Some(reason) = self.reason_to_reject(&state, &attempt) {
            return self.reject(&mut state, id, reason, DRAIN_RETRY_MS);
        }
        if let Some(wait) = wait_past_deadline(&state, &attempt) {
            return self.reject(&mut state, id, RefusalReason::Closed, whole_ms(wait));
        }
        let deadline = now + Duration::from_millis(attempt.remaining_ms);
        let retention = Duration::from_secs(attempt.retention_secs).max(RETENTION_AFTER_DEADLINE);
        match state.ledger.register(ledger_id(id), deadline + retention, now) {
            Ok(()) => {}
            Err(refusal) => return self.resolve_ledger_refusal(&state, id, refusal),
        }
        if let Some(earlier) = bind_key(&mut state, &attempt) {
            // This attempt never runs: it gets the response of the earlier attempt with the same key.
            state.ledger.settle(ledger_id(id), deadline + retention, now);
            return match earlier {
                EarlierUse::Attempt(earlier) => start_from_buffer(&state, earlier),
                EarlierUse::OtherBody => AttemptStart::Rejected(self.refusal(&state, id, RefusalReason::KeyReused, 0)),
            };
        }
        let job = queue::Job {
            key: id,
            tier: attempt.tier,
            workspace: attempt.workspace.clone(),
            weight: attempt.weight,
            cost: f64::from(attempt.response_tokens.max(1)),
            deadline,
        };
        match state.queue.enqueue(job, now) {
            Ok(admission) => {
                if let Some(displaced) = admission.displaced {
                    self.displace(&mut state, displaced);
                }
                let buffer = Arc::new(ResponseBuffer::new());
                let record = AttemptRecord {
                    attempt: Arc::new(attempt),
                    response: Arc::clone(&buffer),
                    keep_until: Instant::now() + retention,
                };
                state.attempts.insert(id, record);
                *state.in_progress_by_entry.entry(id.entry_incarnation).or_default() += 1;
                AttemptStart::Response(buffer)
            }
            Err(queue::Refusal::Full { retry_after }) => {
                self.reject(&mut state, id, RefusalReason::QueueFull, whole_ms(retry_after))
            }
            Err(queue::Refusal::TooLate { retry_after }) => {
                self.reject(&mut state, id, RefusalReason::TooLate, whole_ms(retry_after))
            }
        }
    }

    fn reason_to_reject(&self, state: &State, attempt: &Attempt) -> Option<RefusalReason> {
        if attempt.agent_incarnation != 0 && attempt.agent_incarnation != self.incarnation {
            return Some(RefusalReason::OtherIncarnation);
        }
        if !state.is_ready {
            return Some(RefusalReason::NotReady);
        }
        // A retry under a key that is bound here needs no new work, only the response of the earlier attempt.
        let is_bound = attempt
            .key
            .is_some_and(|key| state.ledger.attempt_of_key(key.as_bytes()).is_some());
        (state.is_draining && !is_bound).then_some(RefusalReason::Draining)
    }

    /// Rejects an attempt and leaves a tombstone, so that a copy which arrives later is rejected too.
    fn reject(&self, state: &mut State, id: AttemptId, reason: RefusalReason, retry_after_ms: u64) -> AttemptStart {
        let now = self.now();
        let settled = state.ledger.settle(ledger_id(id), now + RETENTION_AFTER_DEADLINE, now);
        match settled {
            Some(ledger::State::Tombstone) => AttemptStart::Rejected(self.refusal(state, id, reason, retry_after_ms)),
            Some(_) => AttemptStart::Unknown("the attempt was handed on before".to_owned()),
            // The ledger is full: the attempt wasn't dispatched, but without a tombstone a later copy could run.
            None => AttemptStart::Unknown("the ledger has no room for a proof".to_owned()),
        }
    }

    fn refusal(&self, state: &State, id: AttemptId, reason: RefusalReason, retry_after_ms: u64) -> Refusal {
        self.metrics.count("attempt.refused");
        log::info!(target: DECISION, decision = "refuse", attempt = id.to_string().as_str(), reason:? = reason, retry_after_ms, queued = state.queue.queued_count(), running = state.queue.running_count(); "rejected an attempt");
        Refusal {
            reason,
            retry_after_ms,
            load: self.load_of(state, id.entry_incarnation),
        }
    }

    fn resolve_ledger_refusal(&self, state: &State, id: AttemptId, refusal: ledger::Refusal) -> AttemptStart {
        match refusal {
            ledger::Refusal::Known {
                state: ledger::State::Tombstone,
            } => AttemptStart::Rejected(self.refusal(state, id, RefusalReason::Tombstone, 0)),
            ledger::Refusal::Known { .. } => start_from_buffer(state, id),
            ledger::Refusal::Expired => {
                AttemptStart::Unknown("the attempt is older than the ledger remembers".to_owned())
            }
            // The attempt has no ledger entry, so it wasn't dispatched. A later copy either finds the ledger full too,
            // or is the first to run.
            ledger::Refusal::Full => {
                AttemptStart::Rejected(self.refusal(state, id, RefusalReason::LedgerFull, UNREACHABLE_RETRY_MS))
            }
        }
    }

    fn displace(&self, state: &mut State, id: AttemptId) {
        let wait = state.queue.expected_wait(u8::MAX, 1.0);
        self.reject_queued(state, id, RefusalReason::QueueFull, whole_ms(wait));
    }

    /// Rejects a request that was removed from the queue.
    fn reject_queued(&self, state: &mut State, id: AttemptId, reason: RefusalReason, retry_after_ms: u64) {
        let now = self.now();
        state.ledger.settle(ledger_id(id), now + RETENTION_AFTER_DEADLINE, now);
        state.record_end(id);
        let refusal = self.refusal(state, id, reason, retry_after_ms);
        if let Some(record) = state.attempts.get(&id) {
            record.response.push(ResponseEvent::Rejected(refusal));
        }
    }

    /// Dispatches queued requests to the target until it has no free slot or accepts no more for now.
    fn dispatch(self: &Arc<Self>) {
        let mut state = self.lock();
        let mut expired_ids = Vec::new();
        loop {
            if state.queue.queued_count() > 0 && !state.queue.is_busy() && !self.try_acquire(&mut state) {
                return;
            }
            let job = state.queue.dequeue(self.now(), &mut expired_ids);
            for id in std::mem::take(&mut expired_ids) {
                self.reject_queued(&mut state, id, RefusalReason::TooLate, DRAIN_RETRY_MS);
            }
            let Some(job) = job else { return };
            let record = state.attempts.get(&job.key);
            let record = record.map(|record| (Arc::clone(&record.attempt), Arc::clone(&record.response)));
            if let Some((attempt, buffer)) = record
                && state.ledger.try_forward(ledger_id(job.key))
            {
                log::info!(target: DECISION, decision = "hand_on", attempt = job.key.to_string().as_str(), tier = job.tier, workspace = job.workspace.as_str(), queued = state.queue.queued_count(), running = state.queue.running_count(); "handed on");
                tokio::spawn(Arc::clone(self).run(attempt, buffer, job.cost));
            } else {
                // The attempt was settled while it was queued; its readers must be notified that it never runs.
                state.queue.record_not_run();
                self.reject_queued(&mut state, job.key, RefusalReason::Tombstone, 0);
            }
        }
    }

    /// Returns whether the target accepts a request now; if not, schedules another dispatch for when it does.
    fn try_acquire(self: &Arc<Self>, state: &mut State) -> bool {
        if state.throttle.try_acquire() {
            return true;
        }
        if let Some(time_until_open) = state.throttle.schedule_wakeup() {
            let core = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(time_until_open).await;
                core.lock().throttle.clear_wakeup();
                core.dispatch();
            });
        }
        false
    }

    /// Records the limits stated by a response of the target. Subscribed entries are notified of a change immediately,
    /// and again when the target accepts requests.
    fn record_signal(self: &Arc<Self>, signal: BackpressureSignal) {
        let time_until_open = {
            let mut state = self.lock();
            if !state.throttle.record_signal(signal) {
                return;
            }
            state.throttle.time_until_open()
        };
        log::info!(
            target: DECISION,
            decision = "target_asks",
            per_second = signal.rate.value().map(Rate::per_second),
            rest_ms = signal.backoff.map(whole_ms),
            leaving = signal.is_draining;
            "the target changed its rate limit, requested a backoff, or announced that it is draining"
        );
        self.availability_changed.send_replace(());
        if let Some(time_until_open) = time_until_open {
            let core = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(time_until_open).await;
                core.availability_changed.send_replace(());
            });
        }
    }

    async fn run(self: Arc<Self>, attempt: Arc<Attempt>, buffer: Arc<ResponseBuffer>, cost: f64) {
        let started_at = Instant::now();
        let deadline = started_at + Duration::from_millis(attempt.remaining_ms);
        let outcome = tokio::time::timeout_at(deadline, self.call(&attempt, &buffer)).await;
        let result = outcome.unwrap_or_else(|_elapsed| {
            Err(CallError::Lost {
                message: "the deadline passed".to_owned(),
            })
        });
        if result.is_err() && attempt.retryable {
            // The target may still be working on the request. A cancel that fails only wastes that work.
            let _cancelled = self.engine.cancel(&attempt.id.to_string()).await;
        }
        let has_target_ended = matches!(result, Err(CallError::Lost { .. })) && self.has_target_ended().await;
        self.finish(&attempt, &buffer, result, has_target_ended, cost, started_at.elapsed());
        self.dispatch();
    }

    async fn call(self: &Arc<Self>, attempt: &Attempt, buffer: &ResponseBuffer) -> Result<u64, CallError> {
        let mut response = self.engine.call(attempt).await?;
        self.record_signal(response.signal);
        buffer.push(ResponseEvent::Head(Head {
            status: response.status,
            content_type: response.content_type,
            incarnation: self.incarnation,
            load: self.load(attempt.id.entry_incarnation),
        }));
        let mut sequence = 0;
        while let Some(data) = response.chunks.next().await {
            let data = data?;
            buffer.push(ResponseEvent::Chunk(Chunk { sequence, data }));
            sequence += 1;
            if buffer.has_ended() {
                // The attempt was cancelled.
                return Ok(sequence);
            }
        }
        Ok(sequence)
    }

    fn finish(
        &self,
        attempt: &Attempt,
        buffer: &ResponseBuffer,
        result: Result<u64, CallError>,
        has_target_ended: bool,
        cost: f64,
        residence: Duration,
    ) {
        let mut state = self.lock();
        state.queue.record_end(cost, residence);
        state.record_end(attempt.id);
        self.metrics.time("attempt.held", residence);
        let part = match result {
            Ok(chunks) => {
                state.ledger.record_end(ledger_id(attempt.id));
                let load = self.load_of(&state, attempt.id.entry_incarnation);
                ResponseEvent::End {
                    chunk_count: chunks,
                    load,
                }
            }
            Err(CallError::NotSent { message }) => {
                state.ledger.record_undelivered(ledger_id(attempt.id));
                self.record_listening(&mut state, false);
                log::warn!(attempt = attempt.id.to_string().as_str(), message = message.as_str(); "the target cannot be reached; check that it is running");
                ResponseEvent::Rejected(self.refusal(
                    &state,
                    attempt.id,
                    RefusalReason::TargetDown,
                    UNREACHABLE_RETRY_MS,
                ))
            }
            Err(CallError::Lost { message }) => {
                state.ledger.record_end(ledger_id(attempt.id));
                log::warn!(attempt = attempt.id.to_string().as_str(), message = message.as_str(), ended = has_target_ended; "the target sent no complete response");
                let failure = if has_target_ended {
                    let end = self.incarnation.wrapping_add(state.end_count);
                    Failure::TargetEnded { message, end }
                } else {
                    Failure::Unknown { message }
                };
                ResponseEvent::Failed(failure)
            }
        };
        buffer.push(part);
    }

    /// Returns the buffered response of an earlier attempt.
    pub(crate) fn buffered_response(&self, id: AttemptId) -> Option<Arc<ResponseBuffer>> {
        let state = self.lock();
        state.attempts.get(&id).map(|record| Arc::clone(&record.response))
    }

    /// Returns the outcome of an attempt that was sent to the agent incarnation `incarnation`.
    ///
    /// This incarnation doesn't know what an earlier one dispatched, so it must not report such an attempt as not run.
    pub(crate) fn settle_for(&self, id: AttemptId, incarnation: u64) -> Settlement {
        if incarnation != self.incarnation {
            return Settlement::Unknown;
        }
        self.settle(id)
    }

    /// Returns the outcome of an attempt; one that wasn't dispatched yet never will be.
    pub(crate) fn settle(&self, id: AttemptId) -> Settlement {
        let now = self.now();
        let mut state = self.lock();
        let settled = state.ledger.settle(ledger_id(id), now + RETENTION_AFTER_DEADLINE, now);
        if settled == Some(ledger::State::Tombstone) && state.queue.remove(&id) {
            self.reject_queued(&mut state, id, RefusalReason::Tombstone, 0);
        }
        match settled {
            Some(ledger::State::Tombstone) => Settlement::NotRun,
            Some(ledger::State::Running) => Settlement::Running,
            Some(ledger::State::Ended) => Settlement::Ended,
            Some(ledger::State::Queued) | None => Settlement::Unknown,
        }
    }

    /// Cancels an attempt whose caller has disconnected: a queued one never runs, a running one is stopped if it is
    /// retryable.
    pub(crate) async fn cancel(self: &Arc<Self>, id: AttemptId) {
        if self.settle(id) != Settlement::Running {
            return;
        }
        let record = self
            .lock()
            .attempts
            .get(&id)
            .map(|record| (Arc::clone(&record.attempt), Arc::clone(&record.response)));
        let Some((attempt, buffer)) = record else { return };
        if !attempt.retryable || attempt.key.is_some() {
            return;
        }
        let message = "the caller went away".to_owned();
        buffer.push(ResponseEvent::Failed(Failure::Unknown { message }));
        // If the target can't be reached, the request ends without a cancel.
        let _cancelled = self.engine.cancel(&id.to_string()).await;
    }

    /// Drops responses whose retention has ended, and cancels requests whose response has no reader; called
    /// periodically.
    pub(crate) async fn sweep(self: &Arc<Self>) {
        let now = Instant::now();
        let abandoned_ids: Vec<AttemptId> = {
            let mut state = self.lock();
            state.ledger.expire(self.now());
            state.attempts.retain(|_, record| !is_expired(record, now));
            let unread = state.attempts.iter().filter(|(_, record)| is_abandoned(record, now));
            unread.map(|(id, _)| *id).collect()
        };
        for id in abandoned_ids {
            log::info!(attempt = id.to_string().as_str(); "nobody reads this answer");
            self.cancel(id).await;
        }
    }

    fn load_of(&self, state: &State, entry: u64) -> TargetLoad {
        TargetLoad {
            incarnation: self.incarnation,
            highest_counter: state.highest_counters.get(&entry).copied().unwrap_or(0),
            running: state.queue.running_count() as u32,
            queued: state.queue.queued_count() as u32,
            from_entry: state.in_progress_by_entry.get(&entry).copied().unwrap_or(0),
            prefill_tokens: state.engine_load.prefill_tokens,
            step_micros: state.engine_load.step_micros,
            map_number: state.engine_load.map_number,
            is_closed: state.is_draining || !state.is_listening || state.throttle.is_closed(),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn start_from_buffer(state: &State, id: AttemptId) -> AttemptStart {
    match state.attempts.get(&id) {
        Some(record) => AttemptStart::Response(Arc::clone(&record.response)),
        None => AttemptStart::Unknown("the answer is not kept any more".to_owned()),
    }
}

fn whole_ms(time: Duration) -> u64 {
    (time.as_millis() as u64).max(1)
}
