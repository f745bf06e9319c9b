//! Holds requests for groups that do not run; see [`gate`].

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_policy::gate::{self, Gate};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

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
    by_group: Mutex<HashMap<String, Held>>,
}

/// One group's gate, and those who wait before it.
#[derive(Debug, Default)]
struct Held {
    gate: Gate,
    /// Counts openings.
    openings: watch::Sender<u64>,
}

impl Held {
    fn opened(&self, group: &str, closed: Duration) {
        self.openings.send_modify(|openings| *openings += 1);
        log::info!(target: DECISION, decision = "gate_open", group, closed_ms = closed.as_millis() as u64; "the group runs again");
    }
}

impl Gates {
    /// Waits until a request may be sent to `group`, at most until `until`.
    pub(crate) async fn pass(&self, group: &str, until: Instant) -> Pass {
        loop {
            let (next_try, mut openings) = {
                let mut gates = self.lock();
                let Some(held) = gates.get_mut(group) else {
                    return Pass::Go;
                };
                match held.gate.pass(until.into_std(), now()) {
                    gate::Pass::Go => return Pass::Go,
                    gate::Pass::Closed => return Pass::Closed,
                    gate::Pass::Wait(next_try) => (Instant::from_std(next_try), held.openings.subscribe()),
                }
            };
            tokio::select! {
                _changed = openings.changed() => {}
                () = tokio::time::sleep_until(next_try) => {}
            }
        }
    }

    /// Whether `group` does not run as far as is known here, and it is not yet time to try again.
    pub(crate) fn is_closed(&self, group: &str) -> bool {
        self.lock().get(group).is_some_and(|held| held.gate.is_closed(now()))
    }

    /// Notes that a target of `group` has turned a request away.
    pub(crate) fn turned_away(&self, group: &str) {
        let mut gates = self.lock();
        let held = gates.entry(group.to_owned()).or_default();
        if let Some(turned_away) = held.gate.turned_away(now()) {
            log::info!(target: DECISION, decision = "gate_closed", group, turned_away; "the group turns everything away");
        }
    }

    /// Notes that a request sent to `group` was not turned away within [`gate::TAKEN_AFTER`].
    pub(crate) fn taken(&self, group: &str) {
        let mut gates = self.lock();
        let Some(held) = gates.get_mut(group) else { return };
        if let Some(closed) = held.gate.taken(now()) {
            held.opened(group, closed);
        }
    }

    /// Notes that a target of `group` has begun a request.
    pub(crate) fn answered(&self, group: &str) {
        let mut gates = self.lock();
        let Some(held) = gates.get_mut(group) else { return };
        if let Some(closed) = held.gate.answered(now()) {
            held.opened(group, closed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Held>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
