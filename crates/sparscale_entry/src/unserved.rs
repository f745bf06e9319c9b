//! Problem details that callers receive for requests that were not served.

use std::time::Duration;

use http::StatusCode;
use sparscale_wire::Failure;

use crate::job::Job;
use crate::problem::Problem;

/// Problem for a failure reported by the agent; the outcome of a request that may not be repeated stays unknown.
pub(crate) fn failure_problem(job: &Job, failure: &Failure) -> Problem {
    match failure {
        Failure::Target { message } => Problem::failed(message),
        Failure::Unknown { message } | Failure::TargetEnded { message, .. } if job.repeatable => {
            Problem::failed(message)
        }
        Failure::Unknown { message } | Failure::TargetEnded { message, .. } => Problem::unknown(message),
    }
}

/// Problem for a key that was used with another body before; the request did not run.
pub(crate) fn key_reused() -> Problem {
    let detail = "the key was used for a request with another body; use a new key";
    Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "The key was used before", detail)
}

pub(crate) fn unreachable_target() -> Problem {
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    let detail = "no target of this request can be reached; nothing was run";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "No target can be reached", detail).retry_after(RETRY_AFTER)
}

pub(crate) fn no_target(retry_after: Duration) -> Problem {
    let detail = "no target of this request takes work now";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "No target takes the request", detail).retry_after(retry_after)
}
