//! Binds non-repeatable requests to one agent incarnation, by ticket or by a record in the log.
//!
//! Retries with the same key then reach the only ledger that can tell whether an earlier attempt ran.

use std::time::{Duration, SystemTime};

use http::StatusCode;
use sparscale_control::SubmitError;
use sparscale_journal::{Binding, BindingKey, RecordBody, Verdict};

use crate::api::{Api, bad_request};
use crate::job::{Job, Pool};
use crate::problem::Problem;
use crate::ticket::{self, TICKET_PREFIX};
use crate::unserved::key_reused;

/// Time for which an agent keeps the outcome under a plain idempotency key.
const PLAIN_KEY_RETENTION: Duration = Duration::from_mins(50);
/// Time for which an agent keeps an outcome after the ticket has expired, to allow for clock differences.
const RETENTION_AFTER_TICKET: Duration = Duration::from_mins(5);
/// Timeout of appending a key binding to the log.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay that callers get while the log is unavailable or has no headroom.
const LOG_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Api {
    /// Binds a request to one agent incarnation, by its ticket if the key is one, else through the log.
    pub(crate) async fn bind(&self, job: &mut Job, service: &str, key: &str) -> Result<(), Problem> {
        job.key = Some(BindingKey::new(&job.workspace.name, key));
        if key.starts_with(TICKET_PREFIX) {
            return self.bind_by_ticket(job, service, key);
        }
        self.bind_by_log(job).await
    }

    fn bind_by_ticket(&self, job: &mut Job, service: &str, key: &str) -> Result<(), Problem> {
        let open_result = self.dispatcher.seal.open_ticket(key, SystemTime::now());
        let ticket = match open_result {
            Ok(ticket) => ticket,
            Err(ticket::Error::Expired) => {
                return Err(Problem::unknown(
                    "the ticket has expired: it may have been used before, and nothing can run under it any more",
                ));
            }
            Err(error) => return Err(bad_request(&error.to_string())),
        };
        if ticket.workspace != job.workspace.name || ticket.service != service {
            return Err(bad_request("the ticket was issued for another workspace or service"));
        }
        let remaining_secs = ticket.expires.saturating_sub(ticket::unix_seconds(SystemTime::now()));
        job.retention = Duration::from_secs(remaining_secs) + RETENTION_AFTER_TICKET;
        job.pool = Pool::Bound {
            target: ticket.target,
            incarnation: ticket.incarnation,
        };
        Ok(())
    }

    async fn bind_by_log(&self, job: &mut Job) -> Result<(), Problem> {
        let Some(key) = job.key else { return Ok(()) };
        job.retention = PLAIN_KEY_RETENTION;
        let existing = self.journal.with_state(|state| state.binding(&key).cloned());
        let binding = match existing {
            Some(binding) => binding,
            None => self.append_binding(job, key).await?,
        };
        if binding.body_hash != job.call.digest() {
            return Err(key_reused());
        }
        job.pool = Pool::Bound {
            target: binding.target,
            incarnation: binding.incarnation,
        };
        Ok(())
    }

    /// Appends a binding to the log; if another entry has bound the key first, returns that binding.
    async fn append_binding(&self, job: &Job, key: BindingKey) -> Result<Binding, Problem> {
        let (target, incarnation) = self.dispatcher.choose_binding_target(job)?;
        let binding = Binding {
            key,
            target,
            incarnation,
            body_hash: job.call.digest(),
        };
        let append_result = self
            .journal
            .submit(RecordBody::Bind(binding.clone()), BIND_TIMEOUT)
            .await;
        match append_result {
            Ok(receipt) if receipt.verdict == Verdict::Accepted => Ok(binding),
            Ok(_) => {
                let winner = self.journal.with_state(|state| state.binding(&key).cloned());
                winner.ok_or_else(|| Problem::unknown("the log refused the key").retry_after(LOG_RETRY_DELAY))
            }
            Err(error) => Err(binding_unknown(&error)),
        }
    }
}

/// The problem of a request whose key could not be bound: it was not run, but an earlier one with the same key may have
/// run, which only the log knows.
fn binding_unknown(error: &SubmitError) -> Problem {
    let retry = match error {
        SubmitError::Budget { retry_after } => *retry_after,
        SubmitError::NotAppended { .. } | SubmitError::Unknown => LOG_RETRY_DELAY,
    };
    let detail = format!(
        "this sending was not run; whether an earlier one under the key was cannot be told now ({error}); send it again with the same key, or use a ticket"
    );
    let mut problem = Problem::unknown(detail).retry_after(retry);
    problem.status = StatusCode::SERVICE_UNAVAILABLE;
    problem
}
