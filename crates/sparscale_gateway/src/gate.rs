//! Holds requests for a group that does not run, and tries now and then whether it does again.
//!
//! A group whose ranks were lost turns every request away until it has formed anew. Requests that wait for that are
//! late at worst; sent on, they would be refused one after the other, and callers come back only so often.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

/// Requests turned away in a row, without a good one between, after which a group counts as closed: one may have met a
/// full target.
const TURNED_AWAY: u32 = 2;
/// Time between two requests that try whether a closed group runs again.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a request that was not turned away counts as taken: a group that does not run answers within 5 ms.
pub(crate) const TAKEN_AFTER: Duration = Duration::from_millis(40);
/// Time after which a group that is still closed has lost ranks for longer than a restart takes: nobody waits for it
/// any more.
const CLOSED_LIMIT: Duration = Duration::from_secs(2);

/// What one request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pass {
    /// Be sent.
    Go,
    /// The group stays closed for longer than the request can wait.
    Closed,
}

/// The gates of all groups.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    by_group: Mutex<HashMap<String, Gate>>,
}

/// One group's gate.
#[derive(Debug)]
struct Gate {
    turned_away: u32,
    /// Since when it is closed, and when the next request may try.
    closed: Option<(Instant, Instant)>,
    /// Counts openings.
    openings: watch::Sender<u64>,
}

impl Gates {
    /// Waits until a request may be sent to `group`, at most until `until`.
    pub(crate) async fn pass(&self, group: &str, until: Instant) -> Pass {
        loop {
            let (next, mut openings) = {
                let mut gates = self.lock();
                let Some(gate) = gates.get_mut(group) else {
                    return Pass::Go;
                };
                let Some((since, next)) = &mut gate.closed else {
                    return Pass::Go;
                };
                let now = Instant::now();
                if now >= *next {
                    *next = now + PROBE_PAUSE;
                    return Pass::Go;
                }
                if now >= until || since.elapsed() > CLOSED_LIMIT {
                    return Pass::Closed;
                }
                (*next, gate.openings.subscribe())
            };
            tokio::select! {
                _changed = openings.changed() => {}
                () = tokio::time::sleep_until(next.min(until)) => {}
            }
        }
    }

    /// Whether `group` does not run as far as is known here, and it is not yet time to try again.
    pub(crate) fn is_closed(&self, group: &str) -> bool {
        let gates = self.lock();
        let closed = gates.get(group).and_then(|gate| gate.closed);
        closed.is_some_and(|(_, next)| Instant::now() < next)
    }

    /// Notes that a target of `group` has turned a request away.
    pub(crate) fn turned_away(&self, group: &str) {
        let mut gates = self.lock();
        let gate = gates.entry(group.to_owned()).or_insert_with(|| Gate {
            turned_away: 0,
            closed: None,
            openings: watch::Sender::new(0),
        });
        gate.turned_away += 1;
        if gate.turned_away >= TURNED_AWAY && gate.closed.is_none() {
            let now = Instant::now();
            gate.closed = Some((now, now + PROBE_PAUSE));
            log::info!(target: DECISION, decision = "gate_closed", group, turned_away = gate.turned_away; "the group turns everything away");
        }
    }

    /// Notes that a request sent to `group` was not turned away within [`TAKEN_AFTER`]; a group that does not run answers at once.
    pub(crate) fn taken(&self, group: &str) {
        if self.lock().get(group).is_some_and(|gate| gate.closed.is_some()) {
            self.answered(group);
        }
    }

    /// Notes that a target of `group` has begun a request.
    pub(crate) fn answered(&self, group: &str) {
        let mut gates = self.lock();
        let Some(gate) = gates.get_mut(group) else { return };
        gate.turned_away = 0;
        if let Some((since, _)) = gate.closed.take() {
            gate.openings.send_modify(|openings| *openings += 1);
            log::info!(target: DECISION, decision = "gate_open", group, closed_ms = since.elapsed().as_millis() as u64; "the group runs again");
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Gate>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
