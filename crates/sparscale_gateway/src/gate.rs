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
pub(crate) enum GateDecision {
    /// The request may be sent.
    Send,
    /// The group stays closed for longer than the request can wait.
    Closed,
}

/// The gates of all groups, by group name.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    by_group: Mutex<HashMap<String, GroupGate>>,
}

/// The gate of one group, and the channel that wakes the requests waiting at it.
#[derive(Debug, Default)]
struct GroupGate {
    gate: Gate,
    /// Number of times that the gate has opened.
    openings: watch::Sender<u64>,
}

impl GroupGate {
    fn record_open(&self, group: &str, closed_for: Duration) {
        self.openings.send_modify(|openings| *openings += 1);
        log::info!(target: DECISION, decision = "gate_open", group, closed_ms = closed_for.as_millis() as u64; "group is serving again");
    }
}

impl Gates {
    /// Waits until a request may be sent to `group`, but no longer than until `deadline`.
    pub(crate) async fn wait_until_open(&self, group: &str, deadline: Instant) -> GateDecision {
        loop {
            let (next_probe, mut openings) = {
                let mut gates = self.lock();
                let Some(group_gate) = gates.get_mut(group) else {
                    return GateDecision::Send;
                };
                match group_gate.gate.decide(deadline.into_std(), now()) {
                    gate::GateDecision::Send => return GateDecision::Send,
                    gate::GateDecision::Closed => return GateDecision::Closed,
                    gate::GateDecision::Wait(next_probe) => {
                        (Instant::from_std(next_probe), group_gate.openings.subscribe())
                    }
                }
            };
            tokio::select! {
                _changed = openings.changed() => {}
                () = tokio::time::sleep_until(next_probe) => {}
            }
        }
    }

    /// Whether `group` is known not to serve and no probe is due yet.
    pub(crate) fn is_closed(&self, group: &str) -> bool {
        self.lock()
            .get(group)
            .is_some_and(|group_gate| group_gate.gate.is_closed(now()))
    }

    /// Records that a target of `group` rejected a request.
    pub(crate) fn record_rejection(&self, group: &str) {
        let mut gates = self.lock();
        let group_gate = gates.entry(group.to_owned()).or_default();
        if let Some(rejections) = group_gate.gate.record_rejection(now()) {
            log::info!(target: DECISION, decision = "gate_closed", group, turned_away = rejections; "group rejects all requests");
        }
    }

    /// Records that a request sent to `group` was not rejected within [`gate::ACCEPTED_AFTER`].
    pub(crate) fn record_accepted(&self, group: &str) {
        let mut gates = self.lock();
        let Some(group_gate) = gates.get_mut(group) else { return };
        if let Some(closed_for) = group_gate.gate.record_acceptance(now()) {
            group_gate.record_open(group, closed_for);
        }
    }

    /// Records that a target of `group` has started to respond to a request.
    pub(crate) fn record_response(&self, group: &str) {
        let mut gates = self.lock();
        let Some(group_gate) = gates.get_mut(group) else { return };
        if let Some(closed_for) = group_gate.gate.record_response(now()) {
            group_gate.record_open(group, closed_for);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, GroupGate>> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
