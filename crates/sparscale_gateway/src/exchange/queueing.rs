//! Waits for room in a group of ranks before a streaming request is sent.

use std::sync::PoisonError;
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use sparscale_catalog::RequestKind;
use sparscale_policy::fair_share::Workspace;

use super::{Gateway, Job};
use crate::attempt_history::AttemptHistory;
use crate::queues::{self, Arrival, Permit};
use crate::refusal::Refusal;

/// Maximum number of groups of a service that one request considers, sampled anew for each. Of a hundred groups, the
/// best of a few is nearly as good as the best of all, and checking all of them would cost an entry more than the
/// request itself.
const MAX_SAMPLED_GROUPS: usize = 8;

impl Gateway {
    /// Chooses a group for a streaming request and waits until it is admitted there, or to another group if that one is
    /// evacuated meanwhile or has no room in time. None if no group serves the request.
    pub(crate) async fn acquire_permit(
        &self,
        job: &Job,
        history: &mut AttemptHistory,
    ) -> Result<Option<Permit>, Refusal> {
        loop {
            match self.acquire_in_group(job, history).await {
                Ok(permit) => return Ok(permit),
                Err(queues::Error::Rejected(refusal)) => return Err(refusal),
                Err(queues::Error::Displaced) => {}
            }
        }
    }

    async fn acquire_in_group(&self, job: &Job, history: &mut AttemptHistory) -> Result<Option<Permit>, queues::Error> {
        let Some(observation) = self.board.targets() else {
            return Ok(None);
        };
        history.service = self.choose_service(job, &observation.value);
        if let Some(service) = history.service.as_deref() {
            let refusal = Self::evacuation_refusal(service, &observation.value)
                .or_else(|| self.throttle_refusal(job, service, &observation.value));
            if let Some(refusal) = refusal {
                return Err(queues::Error::Rejected(refusal));
            }
        }
        let RequestKind::Stream {
            max_pause: longest_pause,
            ..
        } = job.route().kind
        else {
            return Ok(None);
        };
        let Some(service) = history.service.as_deref() else {
            return Ok(None);
        };
        let engine = job.catalog.find_service(service);
        let engine = engine.and_then(|key| job.catalog.service(key).engine.as_ref());
        let (Some(engine), Some(max_pause)) = (engine, longest_pause) else {
            return Ok(None);
        };
        let retry_age = self.retry_age(job);
        let workspace = job.outbound.workspace.as_ref();
        let workspace = workspace.map_or_else(Workspace::default, |name| Workspace::named(name.as_bytes()));
        let groups = observation.value.groups_of(service);
        let groups = groups.filter(|group| !observation.value.is_evacuated_group(group.name));
        let sampled = groups.choose_multiple(&mut rand::rng(), MAX_SAMPLED_GROUPS).into_iter();
        let arrivals = sampled.map(|group| Arrival {
            request_id: job.outbound.head.id_text(),
            group: group.name,
            engine,
            max_pause,
            objective: job.route().latency_objective,
            tier: job.outbound.urgency.unwrap_or_default(),
            rank_count: group.size,
            open_fraction: self.open_fraction(&observation.value, group),
            arrived_at: job.arrived_at,
            retry_age,
            remaining: job.outbound.head.remaining,
            workspace,
        });
        let arrivals: Vec<Arrival<'_>> = arrivals.collect();
        let Some(arrival) = self
            .queues
            .choose_group(&arrivals, |group| !self.gates.is_closed(group))
        else {
            return Ok(None);
        };
        history.group = Some(arrival.group.to_owned());
        self.queues.acquire(arrival).await.map(Some)
    }

    /// Time that the caller spent on attempts before this one.
    fn retry_age(&self, job: &Job) -> Duration {
        let Some(remaining) = job.outbound.head.remaining else {
            return Duration::ZERO;
        };
        let mut deadlines = self.deadlines.lock().unwrap_or_else(PoisonError::into_inner);
        deadlines.retry_age(&job.route().name, remaining, job.arrived_at.into_std())
    }
}
