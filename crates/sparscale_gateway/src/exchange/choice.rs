//! Chooses the group and the target for the next attempt of a request.

use http::StatusCode;
use sparscale_catalog::{Directory, Seat};
use sparscale_policy::patience;
use sparscale_telemetry::DECISION;
use sparscale_wire::RankLoad;

use super::{Gateway, Job, pause_of};
use crate::attempt::{Rejection, is_named};
use crate::gate::Pass;
use crate::loads::Search;
use crate::tried::Tried;
use crate::tries::Tries;

impl Gateway {
    /// Switches to another group of the service if the chosen one is closed.
    pub(super) fn leave_closed_group(&self, job: &Job, tries: &mut Tries) {
        if tries.group.as_ref().is_some_and(|group| self.gates.is_closed(group)) {
            self.leave_group(job, tries);
        }
    }

    /// Switches to another group of the service, if one is serving. Two ranks of a group that has just stopped
    /// serving would both reject the request, and a route allows only a limited number of attempts.
    pub(super) fn leave_group(&self, job: &Job, tries: &mut Tries) {
        let (Some(group), Some(service)) = (&tries.group, &tries.service) else {
            return;
        };
        let Some(targets) = self.board.targets() else { return };
        let groups = targets.value.groups_of(service);
        let runs = |name: &str| name != group && !self.gates.is_closed(name) && self.mesh.group(name).is_some();
        let others: Vec<&str> = groups.map(|other| other.name).filter(|name| runs(name)).collect();
        if others.is_empty() {
            return;
        }
        let other = others[rand::random_range(0..others.len())];
        log::info!(target: DECISION, decision = "leave_group", request = job.outbound.head.id_text(), group = group.as_str(), other; "group rejects requests; switching to another group");
        tries.group = Some(other.to_owned());
    }

    /// Waits for the request's group to open; returns whether it stays closed for longer than the request can wait.
    pub(super) async fn closed(&self, job: &Job, tries: &Tries) -> bool {
        let Some(group) = &tries.group else { return false };
        let until = job.began + patience::longest_wait(job.route().objective, pause_of(job));
        self.gates.pass(group, until.min(job.outbound.until)).await == Pass::Closed
    }

    /// The target for the next attempt: an untried one of the request's group, or else any untried one.
    pub(super) fn next_target(&self, job: &Job, tries: &mut Tries) -> Option<Seat> {
        let targets = self.board.targets()?.value;
        if tries.service.is_none() {
            tries.service = self.service(job, &targets);
        }
        let service = tries.service.clone()?;
        let reported = |seat: &Seat| self.reported(seat);
        let throttle = &self.board.throttle;
        let idle = throttle.is_idle();
        let may_take = |seat: &Seat| idle || throttle.is_open(seat);
        let choose = |tried: &Tried, group: Option<&str>| {
            let search = Search {
                service: &service,
                group,
                tried,
                hall: &self.hall,
            };
            let chosen = self.loads.choose(&targets, &search, may_take, reported);
            chosen.filter(|seat| throttle.take(seat))
        };
        let in_group = tries
            .group
            .as_deref()
            .and_then(|group| choose(&tries.tried, Some(group)));
        let untried = in_group.or_else(|| choose(&tries.tried, None));
        // All targets were tried: a request that may run more than once may go to one of them again.
        untried.or_else(|| {
            job.outbound
                .may_repeat
                .then(|| choose(&Tried::default(), None))
                .flatten()
        })
    }

    /// The load of a rank as reported by the leader of its group, or none if the leader does not receive from the rank.
    /// A rank that has started since the report counts as having no requests.
    fn reported(&self, seat: &Seat) -> Option<RankLoad> {
        let place = seat.target.membership.as_ref()?;
        let group = self.mesh.group(&place.group)?;
        group.ranks.get(place.rank).copied().flatten()?;
        let start = seat.target.start_mark();
        let load = group.rank(place.rank, start);
        Some(load.unwrap_or(RankLoad {
            start,
            ..RankLoad::default()
        }))
    }

    /// The next service of the route by weight, skipping services without targets.
    pub(super) fn service(&self, job: &Job, targets: &Directory) -> Option<String> {
        let shares = &job.route().shares;
        let there = |service: &str| targets.of_service(service).next().is_some();
        self.splits.next(&job.route().name, shares, there)
    }

    /// Records a rejection, and what it says about the target itself or about another target at fault.
    pub(super) fn note_rejection(&self, job: &Job, seat: &Seat, rejection: &Rejection) {
        log::info!(
            target: DECISION,
            decision = "turned_away",
            request = job.outbound.head.id_text(),
            at = seat.target.id.as_str(),
            status = rejection.status.as_u16(),
            retry_ms = rejection.retry_after.map(|retry| retry.as_millis() as u64),
            at_fault = rejection.at_fault.as_deref();
            "target rejected the request without running it"
        );
        if let Some(place) = &seat.target.membership
            && rejection.status == StatusCode::SERVICE_UNAVAILABLE
        {
            self.gates.turned_away(&place.group);
        }
        // The rejecting target may have waited for another one, which is then at fault.
        let named = rejection.at_fault.as_deref();
        let other = named.filter(|name| !is_named(&seat.target, name));
        let at_fault = match other {
            Some(name) => self.board.targets().and_then(|targets| {
                let mut seats = targets.value.seats().iter();
                let named = seats.find(|seat| is_named(&seat.target, name));
                named.map(|seat| seat.key)
            }),
            None => (rejection.status == StatusCode::MISDIRECTED_REQUEST).then_some(seat.key),
        };
        if let Some(at_fault) = at_fault {
            self.loads.note_failure(at_fault);
        }
    }
}
