//! Quarantine of calls, and of messages in prompts, that crash the targets which run them.
//!
//! Each such end is recorded as a strike in the log, so that all entries recognize the call and hold it back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use sparscale_clock::unix_ms;
use sparscale_control::Journal;
use sparscale_journal::{RecordBody, Verdict};
use sparscale_quarantine::{Content, EndedStart, Fingerprint, HoldCause, Strike, StrikeSource, StrikeStatus, Tracker};
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
    /// Delays the release of held parts by a fraction of their hold.
    release_delay: f64,
}

impl Quarantine {
    pub(crate) fn new(journal: Arc<Journal>) -> Self {
        Self {
            journal,
            register: Mutex::default(),
            release_delay: rand::random(),
        }
    }

    /// The problem with which a quarantined call is rejected; none if the call may run.
    pub(crate) fn rejection_of(&self, job: &Job) -> Option<Problem> {
        let content = content(job);
        let fingerprints: Vec<Fingerprint> = content.fingerprints().collect();
        let logged: Vec<Strike> = self
            .journal
            .with_state(|state| state.strikes_of(&fingerprints).collect());
        let now_ms = unix_ms();
        let hold = {
            let mut register = self.lock_register();
            for strike in logged {
                register.merge(strike, StrikeSource::Store, now_ms);
            }
            register.active_hold(&content, self.release_delay, now_ms)
        }?;
        let (detail, cause) = match hold.cause {
            HoldCause::Request(_) => (
                "targets ended while they ran this call; it is held back so that no more do",
                "request",
            ),
            HoldCause::Part(_) => (
                "targets ended while they ran calls that share a message with this one; it is held back so that no more do",
                "part",
            ),
        };
        log::info!(target: DECISION, decision = "held", content = content.request.log_prefix().as_str(), cause, ends = hold.end_count, left_ms = hold.remaining.as_millis() as u64; "the call is quarantined because targets ended while they ran it or others with a part of its prompt");
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "The call is held back", detail);
        Some(problem.retry_after(hold.retry_after()))
    }

    /// Records that a target ended while it ran a call, and appends the strikes to the log. `end` identifies the end at
    /// that target. Returns when the log has the strikes, at the latest after [`STRIKE_WAIT`].
    pub(crate) async fn record_end(&self, job: &Job, sent: &SentAttempt, end: u64) {
        let content = content(job);
        let now_ms = unix_ms();
        let strike = |fingerprint| Strike {
            subject: fingerprint,
            ended_start: EndedStart::of(&sent.target_name, Some(end)),
            at_ms: now_ms,
            status: StrikeStatus::Counted,
        };
        let (strikes, ends) = {
            let mut register = self.lock_register();
            let version = register.version();
            for fingerprint in content.fingerprints() {
                register.merge(strike(fingerprint), StrikeSource::Local, now_ms);
            }
            (register.changes_since(version).0, register.end_count(&content.request))
        };
        log::info!(target: DECISION, decision = "strike", content = content.request.log_prefix().as_str(), at = sent.target_name.as_str(), ends, parts = content.shared_parts.len(); "a target ended while it ran a call");
        let appended = self.append_strikes(strikes);
        let deadline = job.deadline.min(Instant::now() + STRIKE_WAIT);
        if tokio::time::timeout_at(deadline, appended).await.is_err() {
            log::info!(target: DECISION, decision = "strike_late", content = content.request.log_prefix().as_str(); "continuing before the strikes are in the log");
        }
    }

    /// Records a complete response to a call, and appends the strikes that it marks or clears to the log.
    pub(crate) fn record_response(&self, job: &Job) {
        let content = content(job);
        let changed = {
            let mut register = self.lock_register();
            let version = register.version();
            register.record_response(&content, unix_ms());
            register.changes_since(version).0
        };
        if changed.is_empty() {
            return;
        }
        log::info!(target: DECISION, decision = "cleared", content = content.request.log_prefix().as_str(), strikes = changed.len(); "the call completed, so strikes against it or its parts count less");
        // The response is complete, so no caller waits for the log.
        let _appended = self.append_strikes(changed);
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
                    log::info!(target: DECISION, decision = "strikes_not_kept", content = strike.subject.log_prefix().as_str(); "the log did not accept a strike; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        })
    }

    fn lock_register(&self) -> MutexGuard<'_, Tracker> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn content(job: &Job) -> Content {
    let workspace = Some(job.workspace.name.as_str());
    let request = match &job.call {
        Call::Model { body } => Fingerprint::of("model", "", workspace, body),
        Call::Service { name, body, .. } => Fingerprint::of("service", name, workspace, body),
    };
    Content::new(request, job.shared_parts.iter().copied())
}
