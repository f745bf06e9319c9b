//! Chooses the group and the target for the next attempt of a request.

use http::StatusCode;
use sparscale_catalog::{Directory, Instance};
use sparscale_policy::caller_timeout;
use sparscale_telemetry::DECISION;
use sparscale_wire::rank;

use super::{Gateway, Job, max_pause_of};
use crate::attempt::{Rejection, is_named};
use crate::attempt_history::AttemptHistory;
use crate::attempted_targets::AttemptedTargets;
use crate::gate::GateDecision;
use crate::loads::Filter;

impl Gateway {
    /// Switches to another group of the service if the chosen one is closed or all its ranks are evacuated.
    pub(super) fn switch_from_closed_group(&self, job: &Job, history: &mut AttemptHistory) {
        let is_closed = history.group.as_ref().is_some_and(|group| {
            let targets = self.board.targets();
            self.gates.is_closed(group) || targets.is_some_and(|targets| targets.value.is_evacuated_group(group))
        });
        if is_closed {
            self.switch_group(job, history);
        }
    }

    /// Switches to another group of the service, if one is serving. Two ranks of a group that has just stopped
    /// serving would both reject the request, and a route allows only a limited number of attempts.
    pub(super) fn switch_group(&self, job: &Job, history: &mut AttemptHistory) {
        let (Some(group), Some(service)) = (&history.group, &history.service) else {
            return;
        };
        let Some(targets) = self.board.targets() else { return };
        let groups = targets.value.groups_of(service);
        let is_serving = |name: &str| {
            name != group
                && !self.gates.is_closed(name)
                && self.mesh.group_load(name).is_some()
                && !targets.value.is_evacuated_group(name)
        };
        let others: Vec<&str> = groups.map(|other| other.name).filter(|name| is_serving(name)).collect();
        if others.is_empty() {
            return;
        }
        let other = others[rand::random_range(0..others.len())];
        log::info!(target: DECISION, decision = "leave_group", request = job.outbound.head.id_text(), group = group.as_str(), other; "group rejects requests; switching to another group");
        history.group = Some(other.to_owned());
    }

    /// Waits for the request's group to open; returns whether it stays closed for longer than the request can wait.
    pub(super) async fn stays_closed(&self, job: &Job, history: &AttemptHistory) -> bool {
        let Some(group) = &history.group else { return false };
        let deadline =
            job.arrived_at + caller_timeout::max_admission_wait(job.route().latency_objective, max_pause_of(job));
        self.gates
            .wait_until_open(group, deadline.min(job.outbound.deadline))
            .await
            == GateDecision::Closed
    }

    /// The target for the next attempt: one of the request's group that was not attempted yet, or else any other such
    /// target.
    pub(super) fn next_target(&self, job: &Job, history: &mut AttemptHistory) -> Option<Instance> {
        let targets = self.board.targets()?.value;
        if history.service.is_none() {
            history.service = self.choose_service(job, &targets);
        }
        let service = history.service.clone()?;
        let reported_load = |instance: &Instance| self.reported_load(instance);
        let throttle = &self.board.throttle;
        let no_limits = throttle.is_unrestricted();
        let may_take = |instance: &Instance| no_limits || throttle.is_open(instance);
        let choose = |excluded: &AttemptedTargets, group: Option<&str>| {
            let filter = Filter {
                service: &service,
                group,
                excluded,
                hall: &self.hall,
            };
            let chosen = self.loads.choose(&targets, &filter, may_take, reported_load);
            chosen.filter(|instance| throttle.try_acquire(instance))
        };
        let in_group = history
            .group
            .as_deref()
            .and_then(|group| choose(&history.attempted_targets, Some(group)));
        let untried = in_group.or_else(|| choose(&history.attempted_targets, None));
        // All targets were attempted: a request that may run more than once may go to one of them again.
        untried.or_else(|| {
            job.outbound
                .retryable
                .then(|| choose(&AttemptedTargets::default(), None))
                .flatten()
        })
    }

    /// The load of a rank as reported by the leader of its group, or none if the leader does not receive from the rank.
    /// A rank that has started since the report counts as having no requests.
    fn reported_load(&self, instance: &Instance) -> Option<rank::Load> {
        let membership = instance.target.membership.as_ref()?;
        let group = self.mesh.group_load(&membership.group)?;
        group.rank_loads.get(membership.rank).copied().flatten()?;
        let start = instance.target.start_mark();
        let load = group.rank_load(membership.rank, start);
        Some(load.unwrap_or(rank::Load {
            start_marker: start,
            ..rank::Load::default()
        }))
    }

    /// The next service of the route by weight, skipping services without targets, and evacuated ones while another has
    /// targets.
    pub(super) fn choose_service(&self, job: &Job, targets: &Directory) -> Option<String> {
        let shares = &job.route().shares;
        let any_in_use = shares.iter().any(|share| targets.has_unevacuated(&share.service));
        let has_targets = |service: &str| {
            if any_in_use {
                targets.has_unevacuated(service)
            } else {
                targets.instances_of(service).next().is_some()
            }
        };
        self.traffic_split.next_service(&job.route().name, shares, has_targets)
    }

    /// Records a rejection, and what it says about the target itself or about another target at fault.
    pub(super) fn record_rejection(&self, job: &Job, instance: &Instance, rejection: &Rejection) {
        log::info!(
            target: DECISION,
            decision = "turned_away",
            request = job.outbound.head.id_text(),
            at = instance.target.id.as_str(),
            status = rejection.status.as_u16(),
            retry_ms = rejection.retry_after.map(|backoff| backoff.as_millis() as u64),
            at_fault = rejection.at_fault.as_deref();
            "target rejected the request without running it"
        );
        if let Some(membership) = &instance.target.membership
            && rejection.status == StatusCode::SERVICE_UNAVAILABLE
        {
            self.gates.record_rejection(&membership.group);
        }
        // The rejecting target may have waited for another one, which is then at fault.
        let faulty_name = rejection.at_fault.as_deref();
        let other_name = faulty_name.filter(|name| !is_named(&instance.target, name));
        let at_fault = match other_name {
            Some(name) => self.board.targets().and_then(|targets| {
                let mut instances = targets.value.instances().iter();
                let faulty = instances.find(|instance| is_named(&instance.target, name));
                faulty.map(|instance| instance.key)
            }),
            None => (rejection.status == StatusCode::MISDIRECTED_REQUEST).then_some(instance.key),
        };
        if let Some(at_fault) = at_fault {
            self.loads.record_failure(at_fault);
        }
    }
}
