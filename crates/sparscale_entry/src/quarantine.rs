//! Calls that end the targets which run them: known again by every entry, through the log.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use sparscale_clock::unix_ms;
use sparscale_control::Journal;
use sparscale_journal::{Body, Verdict};
use sparscale_quarantine::{End, Fingerprint, News, Register, Standing, Strike};
use sparscale_telemetry::DECISION;
use sparscale_wire::Call;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::job::{Job, SentAttempt};
use crate::problem::Problem;

/// Time that one append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a strike that the log did not take is appended again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a call waits until the log has its strike. With it come the strikes of all other entries, so a call that
/// comes through several ends one target more than it may at most; a log that is away holds no call up for longer.
const STRIKE_WAIT: Duration = Duration::from_secs(1);
/// Tries to append a strike: ten minutes of a log that is away. What an entry saw it holds by itself as long as it lives.
const MAX_APPEND_ATTEMPTS: u32 = 100;

/// What this entry knows: what it saw itself, and what the log holds.
pub(crate) struct Quarantine {
    journal: Arc<Journal>,
    register: Mutex<Register>,
}

impl Quarantine {
    pub(crate) fn new(journal: Arc<Journal>) -> Self {
        Self {
            journal,
            register: Mutex::default(),
        }
    }

    /// The refusal of a call that is held back.
    pub(crate) fn rejection_of(&self, job: &Job) -> Option<Problem> {
        let request = fingerprint(job);
        let logged: Vec<Strike> = self.journal.with_state(|state| state.strikes_of(request).collect());
        let now_ms = unix_ms();
        let hold = {
            let mut register = self.lock_register();
            for strike in logged {
                register.take_in(strike, News::Read, now_ms);
            }
            register.held(&request, now_ms)
        }?;
        log::info!(target: DECISION, decision = "held", content = request.short().as_str(), ends = hold.ends, left_ms = hold.left.as_millis() as u64; "targets ended under the call");
        let detail = "targets ended while they ran this call; it is held back so that no more do";
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "The call is held back", detail);
        Some(problem.retry_after(hold.left))
    }

    /// Notes that a target ended under a call, and tells the log; returns once the log has it, or [`STRIKE_WAIT`] later.
    pub(crate) async fn record_end(&self, job: &Job, sent: &SentAttempt) {
        let request = fingerprint(job);
        let now_ms = unix_ms();
        let strike = Strike {
            request,
            // Each attempt meets one end at most.
            end: End::of(&sent.name, Some(sent.attempt.entry ^ sent.attempt.counter)),
            at_ms: now_ms,
            standing: Standing::Counts,
        };
        let ends = {
            let mut register = self.lock_register();
            register.take_in(strike, News::Seen, now_ms);
            register.ends(&request)
        };
        log::info!(target: DECISION, decision = "strike", content = request.short().as_str(), at = sent.name.as_str(), ends; "a target ended under a call");
        let appended = self.append_strikes(vec![strike]);
        let deadline = job.deadline.min(Instant::now() + STRIKE_WAIT);
        if tokio::time::timeout_at(deadline, appended).await.is_err() {
            log::info!(target: DECISION, decision = "strike_late", content = request.short().as_str(); "going on before the log has the strike");
        }
    }

    /// Notes a whole answer to a call.
    pub(crate) fn record_response(&self, job: &Job) {
        let request = fingerprint(job);
        let cleared = {
            let mut register = self.lock_register();
            if !register.note_answer(&request, unix_ms()) {
                return;
            }
            register.untold()
        };
        log::info!(target: DECISION, decision = "cleared", content = request.short().as_str(); "the call is answered well: it is not what ended targets");
        let of_call = cleared.into_iter().filter(|strike| strike.request == request);
        // The answer is there: nobody waits for the log.
        let _appended = self.append_strikes(of_call.collect());
    }

    /// Appends strikes, again and again while the log does not take them.
    fn append_strikes(&self, strikes: Vec<Strike>) -> JoinHandle<()> {
        let journal = Arc::clone(&self.journal);
        tokio::spawn(async move {
            for strike in strikes {
                for _ in 0..MAX_APPEND_ATTEMPTS {
                    let submitted = journal.submit(Body::Strike(strike), APPEND_TIMEOUT).await;
                    if matches!(&submitted, Ok(receipt) if receipt.verdict == Verdict::Accepted) {
                        break;
                    }
                    log::info!(target: DECISION, decision = "strikes_not_kept", content = strike.request.short().as_str(); "the log did not take a strike");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        })
    }

    fn lock_register(&self) -> MutexGuard<'_, Register> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fingerprint(job: &Job) -> Fingerprint {
    let workspace = Some(job.workspace.name.as_str());
    match &job.call {
        Call::Model { body } => Fingerprint::of("model", "", workspace, body),
        Call::Service { name, body, .. } => Fingerprint::of("service", name, workspace, body),
    }
}
