//! Rejects requests while all targets of a service limit their request rate, have requested a backoff, or are in
//! evacuated halls.

use std::sync::PoisonError;
use std::time::Duration;

use sparscale_catalog::{Directory, Group, Instance, TargetStatus};
use sparscale_clock::Timestamp;
use sparscale_policy::throttle::Availability;
use sparscale_telemetry::DECISION;

use super::{Gateway, Job};
use crate::refusal::{Reason, Refusal};

/// `Retry-After` while all targets of a service are in evacuated halls. The end of an evacuation is not known in advance;
/// once ordered, it is in force at all entries within a second.
const EVACUATED_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Gateway {
    /// The refusal of a request if `service` has targets, and all of them are in evacuated halls.
    pub(super) fn evacuation_refusal(service: &str, targets: &Directory) -> Option<Refusal> {
        let is_evacuated = targets.instances_of(service).next().is_some() && !targets.has_unevacuated(service);
        is_evacuated.then(|| Refusal::with_retry_after(Reason::Evacuated, EVACUATED_RETRY_DELAY))
    }

    /// The refusal of a request if no target of `service` accepts any from this entry now, with the time until the
    /// first one does.
    pub(super) fn throttle_refusal(&self, job: &Job, service: &str, targets: &Directory) -> Option<Refusal> {
        let throttle = &self.board.throttle;
        if throttle.is_unrestricted() {
            return None;
        }
        let is_ready = |instance: &&Instance| instance.target.status == TargetStatus::Ready;
        let ready: Vec<&Instance> = targets.instances_of(service).filter(is_ready).collect();
        let mut opens_at = None;
        for instance in &ready {
            match throttle.opening(instance) {
                Availability::Now => return None,
                Availability::At(at) => opens_at = Some(opens_at.map_or(at, |earliest: Timestamp| earliest.min(at))),
                Availability::Never => {}
            }
        }
        let opens_at = opens_at?;
        // Callers may retry at any entry, and each entry assigns retry times independently.
        let entries = self.mesh.status().borrow().entries;
        let rate: f64 = ready.iter().filter_map(|instance| throttle.rate(instance)).sum();
        let gap = Duration::try_from_secs_f64(entries as f64 / rate).unwrap_or_default();
        let retry_after = {
            let mut schedules = self.retry_schedules.lock().unwrap_or_else(PoisonError::into_inner);
            let schedule = schedules.entry(service.to_owned()).or_default();
            schedule.next_delay(opens_at, gap, self.board.now())
        };
        log::info!(
            target: DECISION,
            decision = "throttled",
            request = job.outbound.head.id_text(),
            service,
            rate,
            retry_ms = retry_after.as_millis() as u64;
            "all targets of the service limit their request rate or requested a backoff"
        );
        Some(Refusal::with_retry_after(Reason::Throttled, retry_after))
    }

    /// Fraction of the ranks of `group` that accept requests from this entry now, 0 to 1.
    pub(crate) fn open_fraction(&self, targets: &Directory, group: Group<'_>) -> f64 {
        let evacuated = targets.evacuated_ranks(group.name);
        if self.board.throttle.is_unrestricted() {
            return open_share(evacuated, group);
        }
        let in_group = |instance: &&Instance| {
            let membership = instance.target.membership.as_ref();
            membership.is_some_and(|membership| membership.group == group.name)
        };
        let ranks = targets.instances().iter().filter(in_group);
        let is_closed = |instance: &&Instance| {
            instance.target.status == TargetStatus::Evacuated || self.board.throttle.is_restricted(instance)
        };
        open_share(ranks.filter(is_closed).count(), group)
    }
}

/// The fraction of the ranks of `group` that are open if `closed` are not.
fn open_share(closed: usize, group: Group<'_>) -> f64 {
    1.0 - closed.min(group.size) as f64 / group.size.max(1) as f64
}
