//! Watches every wait for a target; see [`silence`](sparscale_policy::silence).

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Seat};
use sparscale_policy::heard::{Register, Wait};
use sparscale_policy::silence::{Awaited, Evidence};
use sparscale_wire::GroupLoad;
use tokio::time::Instant;

/// Time between two looks at a target whose silence is longer than usual.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// Shortest silence at which it is looked at all.
const FIRST_LOOK: Duration = Duration::from_millis(120);
/// What a look may come late before this process counts as having stood still itself: then nothing was heard because nobody
/// listened.
const STOOD_STILL: Duration = Duration::from_millis(150);

/// A silence that is not borne any longer, and what speaks for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Verdict {
    pub(crate) evidence: Evidence,
    pub(crate) silence: Duration,
}

/// What is known of all targets that answer requests of this entry.
#[derive(Debug, Default)]
pub(crate) struct Silences {
    heard: Mutex<Register>,
}

impl Silences {
    /// Notes that a target has given what it owed since `since`.
    pub(crate) fn note(&self, seat: &Seat, awaited: Awaited, since: Instant) {
        let now = Instant::now();
        let took = now.saturating_duration_since(since);
        self.lock().note(seat, awaited, took, now.into_std());
    }

    /// Takes in what a conductor tells of its group.
    pub(crate) fn note_told(&self, load: &GroupLoad) {
        self.lock().note_told(load, Instant::now().into_std());
    }

    /// Forgets what is gone.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock().retain(targets);
    }

    /// Returns once the target of `wait` has been silent for too long, counted from now.
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

/// A wait for a target, until this is dropped.
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
