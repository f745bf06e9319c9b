//! Holds requests back while their group of ranks does not serve, and releases them once it serves again.
//!
//! [`gate`] decides; this module keeps one gate per group and wakes the requests that wait at it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_policy::gate::{self, Gate};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether a request may be sent to its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pass {
    /// The request may be sent.
    Go,
    /// The group stays closed for longer than the request can wait.
    Closed,
}

/// The gates of all groups, by group name.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    by_group: Mutex<HashMap<String, Held>>,
}

/// The gate of one group, and the channel that wakes the requests waiting at it.
#[derive(Debug, Default)]
struct Held {
    gate: Gate,
    /// Number of times that the gate has opened.
    openings: watch::Sender<u64>,
}

impl Held {
    fn opened(&self, group: &str, closed: Duration) {
        self.openings.send_modify(|openings| *openings += 1);
        log::info!(target: DECISION, decision = "gate_open", group, closed_ms = closed.as_millis() as u64; "group is serving again");
    }
}

impl Gates {
    /// Waits until a request may be sent to `group`, but no longer than `until`.
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

    /// Whether `group` is known not to serve and no probe is due yet.
    pub(crate) fn is_closed(&self, group: &str) -> bool {
        self.lock().get(group).is_some_and(|held| held.gate.is_closed(now()))
    }

    /// Records that a target of `group` rejected a request.
    pub(crate) fn turned_away(&self, group: &str) {
        let mut gates = self.lock();
        let held = gates.entry(group.to_owned()).or_default();
        if let Some(turned_away) = held.gate.turned_away(now()) {
            log::info!(target: DECISION, decision = "gate_closed", group, turned_away; "group rejects all requests");
        }
    }

    /// Records that a request sent to `group` was not rejected within [`gate::TAKEN_AFTER`].
    pub(crate) fn taken(&self, group: &str) {
        let mut gates = self.lock();
        let Some(held) = gates.get_mut(group) else { return };
        if let Some(closed) = held.gate.taken(now()) {
            held.opened(group, closed);
        }
    }

    /// Records that a target of `group` has started to answer a request.
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
