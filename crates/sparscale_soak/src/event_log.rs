//! Events of a round, as observed by callers, targets and the soak itself.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::behavior::Behavior;
use crate::fault::Fault;
use crate::platform::RouteKind;

/// A target began to run a request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request_id: String,
    /// Incarnation of the target.
    pub(crate) incarnation: String,
    /// Workspace that the entry named.
    pub(crate) workspace: String,
    pub(crate) started_at: Instant,
}

/// A request reached a target, whether or not the target ran it.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) request_id: String,
    /// Why the request crashes its target; none for others.
    pub(crate) crash_cause: Option<CrashCause>,
    pub(crate) arrived_at: Instant,
    /// The start of the target that the request reached.
    pub(crate) target_start: TargetStart,
    /// How the target behaved at that time.
    pub(crate) behavior: Behavior,
}

/// One start of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetStart {
    /// Index of the target.
    pub(crate) target: usize,
    pub(crate) incarnation: String,
    /// Time of the start, in milliseconds.
    pub(crate) started_at_ms: u64,
}

/// What crashes each target that runs it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CrashCause {
    /// The request with this path.
    Request(String),
    /// Any request with this part in its prompt.
    Part(String),
}

/// A request crashed a target.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) cause: CrashCause,
    pub(crate) crashed_at: Instant,
}

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No connection could be opened.
    Unreached,
    /// The connection closed before a response began.
    Closed,
    /// A response arrived, in full or in part.
    Answered(Answer),
    /// No response arrived before the caller timed out.
    Nothing,
}

impl Outcome {
    /// Short name for the counts of the summary.
    pub(crate) fn label(&self) -> String {
        match self {
            Self::Unreached => "unreached".to_owned(),
            Self::Closed => "closed".to_owned(),
            Self::Nothing => "nothing".to_owned(),
            Self::Answered(answer) if answer.whole => answer.status.to_string(),
            Self::Answered(answer) => format!("{} cut", answer.status),
        }
    }
}

/// A response as a caller read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Incarnation in the digest header, if the response had one.
    pub(crate) digest: Option<String>,
    pub(crate) body: String,
    /// Whether the body was received in full.
    pub(crate) whole: bool,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) request_id: String,
    /// Index of the entry that it was sent to.
    pub(crate) entry: usize,
    pub(crate) kind: RouteKind,
    pub(crate) key: String,
    /// Whether the request crashes its target.
    pub(crate) is_crashing: bool,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
}

/// The period in which a fault was active.
#[derive(Debug, Clone)]
pub(crate) struct FaultPeriod {
    pub(crate) fault: Fault,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
}

/// A change that the store acknowledged.
#[derive(Debug, Clone)]
pub(crate) struct AcknowledgedChange {
    pub(crate) change: Change,
    /// Time of the first acknowledgement.
    pub(crate) acknowledged_at: Instant,
    /// Time from which the change holds; later than `acknowledged_at` if a store restored from an older snapshot lost
    /// it meanwhile.
    pub(crate) effective_since: Instant,
}

/// What the store acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// A key was revoked.
    Revoked(String),
    /// A key was granted.
    Granted(String),
    /// An incarnation is draining.
    Draining(String),
}

/// An unexpected event of a process.
#[derive(Debug, Clone)]
pub(crate) struct Incident {
    /// Name of the process.
    pub(crate) process_name: String,
    pub(crate) details: String,
}

/// All events of a round.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) runs: Vec<Run>,
    pub(crate) crashes: Vec<Crash>,
    pub(crate) caller_requests: Vec<CallerRequest>,
    pub(crate) fault_periods: Vec<FaultPeriod>,
    pub(crate) acknowledged_changes: Vec<AcknowledgedChange>,
    pub(crate) incidents: Vec<Incident>,
}

/// An event log that all tasks share.
#[derive(Debug, Default)]
pub(crate) struct SharedEventLog(Mutex<EventLog>);

impl SharedEventLog {
    /// Locks the log. Events are added whole, so the log is consistent even after a panic.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EventLog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_acknowledgement(&self, change: Change) {
        let acknowledged_at = Instant::now();
        self.lock().acknowledged_changes.push(AcknowledgedChange {
            change,
            acknowledged_at,
            effective_since: acknowledged_at,
        });
    }

    /// Moves the changes acknowledged after the snapshot at `snapshot_at` to now, when they are written again.
    pub(crate) fn reset_acknowledgements(&self, snapshot_at: Instant) {
        let now = Instant::now();
        let mut event_log = self.lock();
        let lost = event_log
            .acknowledged_changes
            .iter_mut()
            .filter(|acknowledged| acknowledged.effective_since > snapshot_at);
        for acknowledged in lost {
            acknowledged.effective_since = now;
        }
    }
}
