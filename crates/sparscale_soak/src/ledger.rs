//! What happened in a round, as callers, targets and the soak itself saw it.

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

/// A request reached a target, which ran it or not.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) request: String,
    /// Path of a request that ends what runs it; none for others.
    pub(crate) deadly: Option<String>,
    pub(crate) at: Instant,
    /// The start of the target that it reached.
    pub(crate) start: Start,
    /// What the target asked at that time.
    pub(crate) mood: Mood,
}

/// One start of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Start {
    /// Number of the target.
    pub(crate) target: usize,
    pub(crate) incarnation: String,
    /// When it began, in milliseconds.
    pub(crate) born_ms: u64,
}

/// A target ended under a request.
#[derive(Debug, Clone)]
pub(crate) struct End {
    /// Path of the request.
    pub(crate) path: String,
    pub(crate) at: Instant,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No connection came about.
    Unreached,
    /// The connection ended before an answer began.
    Closed,
    /// An answer.
    Answered(Answer),
    /// Nothing, until the caller gave up.
    Nothing,
}

impl Outcome {
    /// A short name for counts.
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

/// An answer as a caller read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Incarnation in the digest, if there was one.
    pub(crate) digest: Option<String>,
    pub(crate) body: String,
    /// Whether it came to its end.
    pub(crate) whole: bool,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) request: String,
    /// Entry that it was sent to.
    pub(crate) entry: usize,
    pub(crate) kind: RouteKind,
    pub(crate) key: String,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

/// Something that the soak did.
#[derive(Debug, Clone)]
pub(crate) struct Trouble {
    pub(crate) fault: Fault,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// Something that the store acknowledged.
#[derive(Debug, Clone)]
pub(crate) struct Acknowledged {
    pub(crate) what: Change,
    /// When it was acknowledged first.
    pub(crate) at: Instant,
    /// Since when it stands: a store that came back from an older copy had lost it meanwhile.
    pub(crate) stands: Instant,
}

/// What was acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// A key is no longer in force.
    Revoked(String),
    /// A key is in force from now on.
    Granted(String),
    /// An incarnation is leaving.
    Leaving(String),
}

/// Something that a process did by itself.
#[derive(Debug, Clone)]
pub(crate) struct Incident {
    /// Name of the process.
    pub(crate) process: String,
    pub(crate) what: String,
}

/// All of it.
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

/// A ledger that all tasks write.
#[derive(Debug, Default)]
pub(crate) struct Book(Mutex<Ledger>);

impl Book {
    /// The ledger; entries are added whole, so one that a panic left is whole.
    pub(crate) fn open(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn acknowledge(&self, what: Change) {
        let at = Instant::now();
        self.open().acknowledged.push(Acknowledged { what, at, stands: at });
    }

    /// Notes that what was acknowledged after `copied` was lost and is now acknowledged again.
    pub(crate) fn acknowledge_again(&self, copied: Instant) {
        let now = Instant::now();
        let mut ledger = self.open();
        let lost = ledger.acknowledged.iter_mut().filter(|known| known.stands > copied);
        for known in lost {
            known.stands = now;
        }
    }
}
