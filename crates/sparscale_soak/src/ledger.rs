//! Events of a round, as observed by callers, targets and the soak itself.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::fault::Fault;
use crate::mood::Mood;
use crate::platform::RouteKind;

/// A target began to run a request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: String,
    /// Incarnation of the target.
    pub(crate) target: String,
    /// Workspace that the entry named.
    pub(crate) workspace: String,
    pub(crate) at: Instant,
}

/// A request reached a target, whether or not the target ran it.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) request: String,
    /// Path of a request that crashes its target; none for others.
    pub(crate) deadly: Option<String>,
    pub(crate) at: Instant,
    /// The start of the target that the request reached.
    pub(crate) start: Start,
    /// How the target behaved at that time.
    pub(crate) mood: Mood,
}

/// One start of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Start {
    /// Index of the target.
    pub(crate) target: usize,
    pub(crate) incarnation: String,
    /// Time of the start, in milliseconds.
    pub(crate) born_ms: u64,
}

/// A request crashed a target.
#[derive(Debug, Clone)]
pub(crate) struct End {
    /// Path of the request.
    pub(crate) path: String,
    pub(crate) at: Instant,
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
    pub(crate) fn name(&self) -> String {
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
pub(crate) struct Attempt {
    pub(crate) request: String,
    /// Index of the entry that it was sent to.
    pub(crate) entry: usize,
    pub(crate) kind: RouteKind,
    pub(crate) key: String,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

/// The period in which a fault was active.
#[derive(Debug, Clone)]
pub(crate) struct Trouble {
    pub(crate) fault: Fault,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// A change that the store acknowledged.
#[derive(Debug, Clone)]
pub(crate) struct Acknowledged {
    pub(crate) what: Change,
    /// Time of the first acknowledgement.
    pub(crate) at: Instant,
    /// Time since when the change holds: a store restored from an older snapshot had lost it meanwhile.
    pub(crate) stands: Instant,
}

/// What the store acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// A key was revoked.
    Revoked(String),
    /// A key was granted.
    Granted(String),
    /// An incarnation is draining.
    Leaving(String),
}

/// An unexpected event of a process.
#[derive(Debug, Clone)]
pub(crate) struct Incident {
    /// Name of the process.
    pub(crate) process: String,
    pub(crate) what: String,
}

/// All events of a round.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) runs: Vec<Run>,
    pub(crate) ends: Vec<End>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) troubles: Vec<Trouble>,
    pub(crate) acknowledged: Vec<Acknowledged>,
    pub(crate) incidents: Vec<Incident>,
}

/// An event log that all tasks share.
#[derive(Debug, Default)]
pub(crate) struct Book(Mutex<Ledger>);

impl Book {
    /// Locks the log. Events are added whole, so the log is consistent even after a panic.
    pub(crate) fn open(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn acknowledge(&self, what: Change) {
        let at = Instant::now();
        self.open().acknowledged.push(Acknowledged { what, at, stands: at });
    }

    /// Moves the changes acknowledged after the snapshot at `snapshot_at` to now, when they are written again.
    pub(crate) fn acknowledge_again(&self, copied: Instant) {
        let now = Instant::now();
        let mut ledger = self.open();
        let lost = ledger.acknowledged.iter_mut().filter(|known| known.stands > copied);
        for known in lost {
            known.stands = now;
        }
    }
}
