//! Quarantine of calls that crash the targets which run them.
//!
//! Each such end is recorded as a strike in the log, so that all entries recognize the call and hold it back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use sparscale_clock::unix_ms;
use sparscale_control::Journal;
use sparscale_journal::{RecordBody, Verdict};
use sparscale_quarantine::{Content, EndedStart, Fingerprint, Strike, StrikeSource, StrikeStatus, Tracker};
use sparscale_telemetry::DECISION;
use sparscale_wire::Call;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::job::{Job, SentAttempt};
use crate::problem::Problem;

/// Timeout of one append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the append of a strike is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest time that a call waits until its strike is in the log.
///
/// By then the entry has also read the strikes of all other entries, so a call that arrives through several entries
/// ends at most one target more than the limit. An unavailable log delays a call no longer than this.
const STRIKE_WAIT: Duration = Duration::from_secs(1);
/// Attempts to append a strike, enough for ten minutes of an unavailable log. The entry itself keeps each strike that
/// it observed until it terminates.
const MAX_APPEND_ATTEMPTS: u32 = 100;

/// Strikes known to this entry: those that it observed and those in the log.
pub(crate) struct Quarantine {
    journal: Arc<Journal>,
    register: Mutex<Tracker>,
}

impl Quarantine {
    pub(crate) fn new(journal: Arc<Journal>) -> Self {
        Self {
            journal,
            register: Mutex::default(),
        }
    }

    /// The problem with which a quarantined call is rejected; none if the call may run.
    pub(crate) fn rejection_of(&self, job: &Job) -> Option<Problem> {
        let request = fingerprint(job);
        let logged: Vec<Strike> = self.journal.with_state(|state| state.strikes_of(request).collect());
        let now_ms = unix_ms();
        let hold = {
            let mut register = self.lock_register();
            for strike in logged {
                register.merge(strike, StrikeSource::Store, now_ms);
            }
            register.active_hold(&Content::new(request, []), 0.0, now_ms)
        }?;
        log::info!(target: DECISION, decision = "held", content = request.log_prefix().as_str(), ends = hold.end_count, left_ms = hold.remaining.as_millis() as u64; "the call is quarantined because targets ended while they ran it");
        let detail = "targets ended while they ran this call; it is held back so that no more do";
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "The call is held back", detail);
        Some(problem.retry_after(hold.remaining))
    }

    /// Records that a target ended while it ran a call, and appends the strike to the log. Returns when the log has it,
    /// at the latest after [`STRIKE_WAIT`].
    pub(crate) async fn record_end(&self, job: &Job, sent: &SentAttempt) {
        let request = fingerprint(job);
        let now_ms = unix_ms();
        let strike = Strike {
            request,
            // An attempt experiences at most one end of a target, so its id identifies that end.
            ended_start: EndedStart::of(
                &sent.target_name,
                Some(sent.attempt.entry_incarnation ^ sent.attempt.counter),
            ),
            at_ms: now_ms,
            status: StrikeStatus::Counted,
        };
        let ends = {
            let mut register = self.lock_register();
            register.merge(strike, StrikeSource::Local, now_ms);
            register.end_count(&request)
        };
        log::info!(target: DECISION, decision = "strike", content = request.log_prefix().as_str(), at = sent.target_name.as_str(), ends; "a target ended while it ran a call");
        let appended = self.append_strikes(vec![strike]);
        let deadline = job.deadline.min(Instant::now() + STRIKE_WAIT);
        if tokio::time::timeout_at(deadline, appended).await.is_err() {
            log::info!(target: DECISION, decision = "strike_late", content = request.log_prefix().as_str(); "continuing before the strike is in the log");
        }
    }

    /// Records a complete response to a call, and appends the strikes that it clears to the log.
    pub(crate) fn record_response(&self, job: &Job) {
        let request = fingerprint(job);
        let cleared = {
            let mut register = self.lock_register();
            if register
                .record_response(&Content::new(request, []), unix_ms())
                .is_empty()
            {
                return;
            }
            register.unsaved()
        };
        log::info!(target: DECISION, decision = "cleared", content = request.log_prefix().as_str(); "the call completed, so it did not cause the ends of targets");
        let of_call = cleared.into_iter().filter(|strike| strike.request == request);
        // The response is complete, so no caller waits for the log.
        let _appended = self.append_strikes(of_call.collect());
    }

    /// Appends strikes to the log in the background, with retries.
    fn append_strikes(&self, strikes: Vec<Strike>) -> JoinHandle<()> {
        let journal = Arc::clone(&self.journal);
        tokio::spawn(async move {
            for strike in strikes {
                for _ in 0..MAX_APPEND_ATTEMPTS {
                    let append_result = journal.submit(RecordBody::Strike(strike), APPEND_TIMEOUT).await;
                    if matches!(&append_result, Ok(receipt) if receipt.verdict == Verdict::Accepted) {
                        break;
                    }
                    log::info!(target: DECISION, decision = "strikes_not_kept", content = strike.request.log_prefix().as_str(); "the log did not accept a strike; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        })
    }

    fn lock_register(&self) -> MutexGuard<'_, Tracker> {
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
