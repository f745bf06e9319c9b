//! The current targets of a process, each with the key of its current start, indexed for the lookups that each request
//! makes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::incarnation::{Incarnation, Incarnations, StartId};
use crate::roster::{Membership, Roster, Target, TargetStatus};

/// A target together with its current start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Key under which this process keeps state about the start.
    pub key: Incarnation,
    /// Identifies the start across all processes.
    pub start: StartId,
    /// The target, as the roster lists it.
    pub target: Target,
}

/// The name and size of a group of ranks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group<'a> {
    /// Name of the group.
    pub name: &'a str,
    /// Number of ranks.
    pub size: usize,
}

/// The targets of one roster, with indexes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Sorted by id, as in the roster.
    instances: Vec<Instance>,
    index_by_key: HashMap<Incarnation, usize>,
    /// Names and sizes of the groups of each service. Each request looks them up, so they are computed once per roster.
    groups_by_service: HashMap<String, Vec<(String, usize)>>,
    /// Service of each group, and the size of the group.
    services_by_group: HashMap<String, (String, usize)>,
    /// Evacuated ranks of each group that has any.
    evacuated_ranks: HashMap<String, Evacuation>,
}

/// The ranks of a group that are in evacuated halls.
#[derive(Debug, Default, PartialEq, Eq)]
struct Evacuation {
    count: usize,
    /// Whether these are all its ranks.
    is_all: bool,
}

impl Directory {
    /// Indexes `roster`; the instances get their keys from `starts`.
    pub fn new(roster: &Roster, starts: &mut Incarnations) -> Self {
        let instance = |target: &Target| {
            let start = StartId::of(&target.id, target.born_ms);
            Instance {
                key: starts.key(start),
                start,
                target: target.clone(),
            }
        };
        let instances: Vec<Instance> = roster.targets.iter().map(instance).collect();
        let mut keys: Vec<Incarnation> = instances.iter().map(|instance| instance.key).collect();
        let index_by_key = keys.iter().enumerate().map(|(index, key)| (*key, index)).collect();
        keys.sort_unstable();
        starts.retain(&keys);
        Self {
            groups_by_service: groups_by_service(&instances),
            services_by_group: services_by_group(&instances),
            evacuated_ranks: evacuated_ranks(&instances),
            instances,
            index_by_key,
        }
    }

    /// All instances, sorted by the id of the target.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Finds an instance by the key of its start.
    pub fn find(&self, key: Incarnation) -> Option<&Instance> {
        self.instances.get(*self.index_by_key.get(&key)?)
    }

    /// Finds an instance by the id of its target.
    pub fn find_id(&self, id: &str) -> Option<&Instance> {
        let index = self
            .instances
            .binary_search_by(|instance| instance.target.id.as_str().cmp(id));
        self.instances.get(index.ok()?)
    }

    /// The instances of one service.
    pub fn instances_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.instances
            .iter()
            .filter(move |instance| instance.target.service == service)
    }

    /// Whether `service` has a target outside the evacuated halls.
    pub fn has_unevacuated(&self, service: &str) -> bool {
        self.instances_of(service)
            .any(|instance| instance.target.status != TargetStatus::Evacuated)
    }

    /// Whether all ranks of `group` are in evacuated halls.
    pub fn is_evacuated_group(&self, group: &str) -> bool {
        self.evacuated_ranks.get(group).is_some_and(|ranks| ranks.is_all)
    }

    /// Number of ranks of `group` in evacuated halls.
    pub fn evacuated_ranks(&self, group: &str) -> usize {
        self.evacuated_ranks.get(group).map_or(0, |ranks| ranks.count)
    }

    /// Finds the instance that supersedes `of` at its address.
    pub fn successor(&self, of: &Target) -> Option<&Instance> {
        let is_successor = |instance: &&Instance| {
            let other = &instance.target;
            other.service == of.service && other.address == of.address && !other.is_superseded
        };
        self.instances.iter().find(is_successor)
    }

    /// Possible addresses of rank `rank` of group `group`, the most likely first.
    ///
    /// Several registrations may claim the rank: a target that lost power and its successor, or one from another
    /// writer.
    pub fn addresses_of_rank(&self, group: &str, rank: usize) -> Vec<SocketAddr> {
        let is_rank = |membership: &Membership| membership.group == group && membership.rank == rank;
        let claims_rank = |instance: &&Instance| instance.target.membership.as_ref().is_some_and(is_rank);
        let mut targets: Vec<&Target> = self
            .instances
            .iter()
            .filter(claims_rank)
            .map(|instance| &instance.target)
            .collect();
        targets.sort_by_key(|target| {
            let is_draining = target.status == TargetStatus::Draining;
            (target.is_superseded, is_draining, std::cmp::Reverse(target.born_ms))
        });
        let mut addresses: Vec<SocketAddr> = Vec::with_capacity(targets.len());
        for target in targets {
            if !addresses.contains(&target.address) {
                addresses.push(target.address);
            }
        }
        addresses
    }

    /// The groups that the targets of `service` form, sorted by name: those that a majority of their ranks names, and
    /// the one that most targets name. A registration from another writer does not add a group.
    pub fn groups_of(&self, service: &str) -> impl Iterator<Item = Group<'_>> {
        let groups = self.groups_by_service.get(service).into_iter().flatten();
        groups.map(|(name, size)| Group { name, size: *size })
    }

    /// The service of group `group` according to most of its targets, and the size of the group.
    pub fn service_of(&self, group: &str) -> Option<(&str, usize)> {
        let (service, size) = self.services_by_group.get(group)?;
        Some((service, *size))
    }
}

impl<'a> From<&'a Membership> for Group<'a> {
    fn from(membership: &'a Membership) -> Self {
        Self {
            name: &membership.group,
            size: membership.size,
        }
    }
}

/// Counts the evacuated ranks of each group.
fn evacuated_ranks(instances: &[Instance]) -> HashMap<String, Evacuation> {
    let mut ranks: HashMap<String, Evacuation> = HashMap::new();
    let is_evacuated = |instance: &&Instance| instance.target.status == TargetStatus::Evacuated;
    for instance in instances.iter().filter(is_evacuated) {
        if let Some(membership) = &instance.target.membership {
            ranks.entry(membership.group.clone()).or_default().count += 1;
        }
    }
    for (group, ranks) in &mut ranks {
        let is_rank = |instance: &&Instance| {
            let membership = instance.target.membership.as_ref();
            membership.is_some_and(|membership| membership.group == *group)
        };
        ranks.is_all = instances.iter().filter(is_rank).all(|instance| is_evacuated(&instance));
    }
    ranks
}

/// Determines the groups of each service from the memberships that its targets report.
fn groups_by_service(instances: &[Instance]) -> HashMap<String, Vec<(String, usize)>> {
    let mut votes: HashMap<&str, BTreeMap<Group<'_>, usize>> = HashMap::new();
    for instance in instances {
        if let Some(membership) = &instance.target.membership {
            let of_service = votes.entry(&instance.target.service).or_default();
            *of_service.entry(Group::from(membership)).or_default() += 1;
        }
    }
    let accepted = votes.into_iter().map(|(service, votes)| {
        let groups = accepted_groups(&votes).into_iter();
        let groups = groups.map(|group| (group.name.to_owned(), group.size));
        (service.to_owned(), groups.collect())
    });
    accepted.collect()
}

/// Determines the service and size of each group, as most of its targets report them.
fn services_by_group(instances: &[Instance]) -> HashMap<String, (String, usize)> {
    let mut votes: HashMap<&str, HashMap<(&str, usize), usize>> = HashMap::new();
    for instance in instances {
        if let Some(membership) = &instance.target.membership {
            let of_group = votes.entry(&membership.group).or_default();
            *of_group
                .entry((instance.target.service.as_str(), membership.size))
                .or_default() += 1;
        }
    }
    let winners = votes.into_iter().filter_map(|(group, votes)| {
        let winner = votes
            .into_iter()
            .max_by_key(|(candidate, votes)| (*votes, *candidate))?;
        let (service, size) = winner.0;
        Some((group.to_owned(), (service.to_owned(), size)))
    });
    winners.collect()
}

/// Selects the groups that enough targets name; `votes` holds the number of targets that name each.
fn accepted_groups<'a>(votes: &BTreeMap<Group<'a>, usize>) -> Vec<Group<'a>> {
    let Some(max_votes) = votes.values().copied().max() else {
        return Vec::new();
    };
    // Of several groups with the most votes the last one is accepted.
    let most_named = votes.iter().rev().find(|(_, votes)| **votes == max_votes);
    let most_named = most_named.map(|(group, _)| *group);
    let is_accepted = |group: &Group<'_>, votes: usize| {
        Some(*group) == most_named || (votes * 2 > group.size && votes * 2 > max_votes)
    };
    let accepted = votes.iter().filter(|(group, votes)| is_accepted(group, **votes));
    accepted.map(|(group, _)| *group).collect()
}
