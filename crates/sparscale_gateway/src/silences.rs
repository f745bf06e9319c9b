//! Detects targets that stop responding while requests wait for them.
//!
//! A suspended box leaves requests unanswered until their callers give up. The limits come from
//! [`silence`](sparscale_policy::silence); this module observes the responses and checks each wait.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Seat};
use sparscale_policy::heard::{Register, Wait};
use sparscale_policy::silence::{Awaited, Evidence};
use sparscale_wire::GroupLoad;
use tokio::time::Instant;

/// Interval between the checks of a target that has not responded yet.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// Time without a response before the first check.
const FIRST_LOOK: Duration = Duration::from_millis(120);
/// Delay of a check from which on this process itself is assumed to have been suspended: it then could not have
/// received any response, and the wait starts again.
const STOOD_STILL: Duration = Duration::from_millis(150);

/// A target found unresponsive, and the evidence for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Verdict {
    pub(crate) evidence: Evidence,
    pub(crate) silence: Duration,
}

/// Response times and load reports of all targets that serve requests of this entry.
#[derive(Debug, Default)]
pub(crate) struct Silences {
    heard: Mutex<Register>,
}

impl Silences {
    /// Records that a target has sent the awaited response; the wait began at `since`.
    pub(crate) fn note(&self, seat: &Seat, awaited: Awaited, since: Instant) {
        let now = Instant::now();
        let took = now.saturating_duration_since(since);
        self.lock().note(seat, awaited, took, now.into_std());
    }

    /// Records a load report from the leader of a group.
    pub(crate) fn note_told(&self, load: &GroupLoad) {
        self.lock().note_told(load, Instant::now().into_std());
    }

    /// Drops the state of groups and services that `targets` no longer contains.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock().retain(targets);
    }

    /// Returns once the target of `wait` has been unresponsive for too long, counted from the call.
    pub(crate) async fn outlasted(&self, wait: Wait<'_>) -> Verdict {
        let _waiting = Waiting::new(self, wait.seat);
        let mut since = Instant::now();
        let mut look = since + FIRST_LOOK;
        loop {
            tokio::time::sleep_until(look).await;
            let now = Instant::now();
            if now.saturating_duration_since(look) > STOOD_STILL {
                since = now;
            }
            if let Some(verdict) = self.judge(&wait, since, now) {
                return verdict;
            }
            look = now + LOOK_PAUSE;
        }
    }

    fn judge(&self, wait: &Wait<'_>, since: Instant, now: Instant) -> Option<Verdict> {
        let silence = now.saturating_duration_since(since);
        let evidence = self.lock().evidence(wait, now.into_std())?;
        evidence.leaves(silence).then_some(Verdict { evidence, silence })
    }

    fn lock(&self) -> MutexGuard<'_, Register> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a wait for a target until dropped.
struct Waiting<'a> {
    silences: &'a Silences,
    seat: &'a Seat,
}

impl<'a> Waiting<'a> {
    fn new(silences: &'a Silences, seat: &'a Seat) -> Self {
        silences.lock().begin_wait(seat);
        Self { silences, seat }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.silences.lock().end_wait(self.seat);
    }
}
