//! Tracks the targets with pending responses: their usual response times, which of them responded recently, and what
//! group leaders report about them.
//!
//! Load pattern: boxes that freeze for seconds; whether to abandon a target is decided from this data.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use sparscale_catalog::{Directory, Incarnation, Instance};
use sparscale_wire::group;

use crate::response_timeout::{Evidence, Health, ResponsePart, ResponseTimeMean};

/// Age up to which a group leader's report is used; a leader reports every 100 ms.
const MAX_REPORT_AGE: Duration = Duration::from_millis(450);
/// A leader's report is trusted only if at most one in this many ranks is unresponsive; otherwise the leader's own box
/// or link is the likelier cause.
const MAX_UNRESPONSIVE_DIVISOR: usize = 4;
/// A response that a request waits for.
#[derive(Debug, Clone, Copy)]
pub struct PendingResponse<'a> {
    /// The target that owes it.
    pub instance: &'a Instance,
    /// The part of the response that is pending.
    pub response_part: ResponsePart,
    /// Time within which that part is on time.
    pub due_within: Duration,
    /// Time without a response after which the caller gives up.
    pub caller_timeout: Duration,
}

/// The targets of one group, or of a service without groups.
#[derive(Debug, Default)]
struct Peers {
    first_event: ResponseTimeMean,
    next_event: ResponseTimeMean,
    complete: ResponseTimeMean,
    /// The target that responded last, and the last other target before it, each with its time.
    last_responder: Option<(Incarnation, Instant)>,
    previous_responder: Option<(Incarnation, Instant)>,
    /// Number of the latest pass that the group leader reported, and when this number was first received.
    pass: Option<(u64, Instant)>,
    /// Position of the leader's latest report, and when it was received.
    latest_report: Option<((u64, u64), Instant)>,
    /// Ranks that are unresponsive by that report; none while the report is not trusted.
    unresponsive: Option<BTreeSet<usize>>,
    /// Number of pending responses of each target that has any.
    pending: HashMap<Incarnation, u32>,
}

impl Peers {
    fn record_responder(&mut self, target: Incarnation, now: Instant) {
        if self.last_responder.is_some_and(|(last, _)| last != target) {
            self.previous_responder = self.last_responder;
        }
        self.last_responder = Some((target, now));
    }

    /// When a target other than `target` last responded, or the group last completed a pass.
    fn others_active_at(&self, target: Incarnation) -> Option<Instant> {
        let responders = [self.last_responder, self.previous_responder];
        let others = responders.into_iter().flatten().filter(|(other, _)| *other != target);
        let others = others.map(|(_, at)| at).max();
        others.max(self.pass.map(|(_, at)| at))
    }

    /// Whether a target other than `target` has a pending response.
    fn others_pending(&self, target: Incarnation) -> bool {
        self.pending.keys().any(|other| *other != target)
    }

    fn health(&self, rank: Option<usize>, now: Instant) -> Health {
        let is_recent = self
            .latest_report
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < MAX_REPORT_AGE);
        match (&self.unresponsive, rank) {
            (Some(unresponsive), Some(rank)) if is_recent => {
                if unresponsive.contains(&rank) {
                    Health::Unresponsive
                } else {
                    Health::Responsive
                }
            }
            _ => Health::Unknown,
        }
    }

    fn mean_time(&self, awaited: ResponsePart) -> &ResponseTimeMean {
        match awaited {
            ResponsePart::FirstEvent => &self.first_event,
            ResponsePart::NextEvent => &self.next_event,
            ResponsePart::FullResponse => &self.complete,
        }
    }

    fn mean_time_mut(&mut self, awaited: ResponsePart) -> &mut ResponseTimeMean {
        match awaited {
            ResponsePart::FirstEvent => &mut self.first_event,
            ResponsePart::NextEvent => &mut self.next_event,
            ResponsePart::FullResponse => &mut self.complete,
        }
    }
}

/// Tracks all targets that respond to requests of this entry.
#[derive(Debug, Default)]
pub struct Tracker {
    /// By name of the group, or of the service for targets without a group.
    peers: HashMap<String, Peers>,
}

impl Tracker {
    /// Records that a target sent a pending response after `response_time`.
    pub fn record_response(
        &mut self,
        instance: &Instance,
        awaited: ResponsePart,
        response_time: Duration,
        now: Instant,
    ) {
        let peers = self.peers(name_of(instance));
        peers.mean_time_mut(awaited).record(response_time);
        peers.record_responder(instance.key, now);
    }

    /// Counts a request that waits for a target, until [`Self::end_wait`].
    pub fn begin_wait(&mut self, instance: &Instance) {
        let peers = self.peers(name_of(instance));
        *peers.pending.entry(instance.key).or_default() += 1;
    }

    /// Removes a request that no longer waits for a target from the count.
    pub fn end_wait(&mut self, instance: &Instance) {
        let Some(peers) = self.peers.get_mut(name_of(instance)) else {
            return;
        };
        let Some(pending) = peers.pending.get_mut(&instance.key) else {
            return;
        };
        *pending -= 1;
        if *pending == 0 {
            peers.pending.remove(&instance.key);
        }
    }

    /// Merges a group leader's report.
    pub fn record_group_load(&mut self, load: &group::Load, now: Instant) {
        let peers = self.peers(&load.group);
        if peers.latest_report.is_some_and(|(order, _)| order == load.sequence) {
            return;
        }
        if peers.pass.is_none_or(|(pass, _)| pass != load.latest_pass) {
            peers.pass = Some((load.latest_pass, now));
        }
        peers.latest_report = Some((load.sequence, now));
        let unresponsive = load.rank_loads.iter().enumerate().filter(|(_, rank)| rank.is_none());
        let unresponsive: BTreeSet<usize> = unresponsive.map(|(rank, _)| rank).collect();
        let is_trusted = unresponsive.len() * MAX_UNRESPONSIVE_DIVISOR <= load.rank_loads.len();
        peers.unresponsive = is_trusted.then_some(unresponsive);
    }

    /// Returns the observations about the target of `wait`; none if nothing is known of its group.
    pub fn evidence(&self, wait: &PendingResponse<'_>, now: Instant) -> Option<Evidence> {
        let peers = self.peers.get(name_of(wait.instance))?;
        let rank = wait.instance.target.membership.as_ref().map(|place| place.rank);
        let others_active_at = peers.others_active_at(wait.instance.key);
        let health = peers.health(rank, now);
        // To an entry with a single request in a group, a group that stalls as a whole looks idle, so only the report
        // of its leader decides there.
        let idle_counts = rank.is_none() || health == Health::Unresponsive;
        Some(Evidence {
            response_part: wait.response_part,
            due_within: wait.due_within,
            mean_time: peers.mean_time(wait.response_part).mean(),
            health,
            since_others_active: others_active_at.map(|at| now.saturating_duration_since(at)),
            are_others_idle: idle_counts && !peers.others_pending(wait.instance.key),
            caller_timeout: wait.caller_timeout,
        })
    }

    /// Drops the groups and services without a target in `targets`.
    pub fn retain(&mut self, targets: &Directory) {
        let names: BTreeSet<&str> = targets.instances().iter().map(name_of).collect();
        self.peers.retain(|name, _| names.contains(name.as_str()));
    }

    /// Number of groups and services that are tracked.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no group or service is tracked.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The targets tracked under `name`; an unknown name is added.
    fn peers(&mut self, name: &str) -> &mut Peers {
        if !self.peers.contains_key(name) {
            self.peers.insert(name.to_owned(), Peers::default());
        }
        self.peers.entry(name.to_owned()).or_default()
    }
}

/// Name of the target's group, or of its service if it has no group.
fn name_of(instance: &Instance) -> &str {
    let group = instance.target.membership.as_ref().map(|place| place.group.as_str());
    group.unwrap_or(&instance.target.service)
}
