//! The targets as one process goes by them: each with the key of its present start.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::incarnation::{Incarnation, Incarnations, Start};
use crate::roster::{Membership, Roster, Standing, Target};

/// A target and the key of its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seat {
    /// Key under which everything that is known of this start is kept.
    pub key: Incarnation,
    /// Its start, as other processes name it.
    pub start: Start,
    /// What the list says of it.
    pub target: Target,
}

/// A group of ranks as most of the targets of a service name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its ranks.
    pub size: usize,
}

/// All targets, as taken in.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Ordered by id, as in the roster.
    seats: Vec<Seat>,
    index: HashMap<Incarnation, usize>,
    /// Groups of each service, with their ranks. Each request asks for them, so they are worked out once a list.
    groups: HashMap<String, Vec<(String, usize)>>,
    /// Service of each group, with the group's ranks.
    services: HashMap<String, (String, usize)>,
}

impl Directory {
    /// Takes in `roster`; its targets get their keys from `starts`.
    pub fn new(roster: &Roster, starts: &mut Incarnations) -> Self {
        let seat = |target: &Target| {
            let start = Start::of(&target.id, target.born_ms);
            Seat {
                key: starts.key(start),
                start,
                target: target.clone(),
            }
        };
        let seats: Vec<Seat> = roster.targets.iter().map(seat).collect();
        let mut keys: Vec<Incarnation> = seats.iter().map(|seat| seat.key).collect();
        let index = keys.iter().enumerate().map(|(index, key)| (*key, index)).collect();
        keys.sort_unstable();
        starts.retain(&keys);
        Self {
            groups: groups(&seats),
            services: services(&seats),
            seats,
            index,
        }
    }

    /// All targets.
    pub fn seats(&self) -> &[Seat] {
        &self.seats
    }

    /// The target under `key`.
    pub fn find(&self, key: Incarnation) -> Option<&Seat> {
        self.seats.get(*self.index.get(&key)?)
    }

    /// The target with this id.
    pub fn find_id(&self, id: &str) -> Option<&Seat> {
        let index = self.seats.binary_search_by(|seat| seat.target.id.as_str().cmp(id));
        self.seats.get(index.ok()?)
    }

    /// Targets of one service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Seat> {
        self.seats.iter().filter(move |seat| seat.target.service == service)
    }

    /// The later target at the address of one that is superseded.
    pub fn successor(&self, of: &Target) -> Option<&Seat> {
        let is_later = |seat: &&Seat| {
            let other = &seat.target;
            other.service == of.service && other.address == of.address && !other.superseded
        };
        self.seats.iter().find(is_later)
    }

    /// Addresses at which rank `rank` of the group called `group` may be, the likeliest first. Several entries may name it:
    /// the one that lost power beside its successor, or one of another writer.
    pub fn places(&self, group: &str, rank: usize) -> Vec<SocketAddr> {
        let is_it = |place: &Membership| place.group == group && place.rank == rank;
        let named = |seat: &&Seat| seat.target.membership.as_ref().is_some_and(is_it);
        let mut targets: Vec<&Target> = self.seats.iter().filter(named).map(|seat| &seat.target).collect();
        targets.sort_by_key(|target| {
            let leaves = target.standing == Standing::Leaving;
            (target.superseded, leaves, std::cmp::Reverse(target.born_ms))
        });
        let mut places: Vec<SocketAddr> = Vec::with_capacity(targets.len());
        for target in targets {
            if !places.contains(&target.address) {
                places.push(target.address);
            }
        }
        places
    }

    /// The groups that the targets of `service` make up, in order of their names: those that most of their ranks name, or
    /// the one that is named most often. An entry of another writer makes no group.
    pub fn groups_of(&self, service: &str) -> impl Iterator<Item = Group<'_>> {
        let groups = self.groups.get(service).into_iter().flatten();
        groups.map(|(name, size)| Group { name, size: *size })
    }

    /// The service whose targets make up the group called `group`: the one that most of them name, and the group's ranks.
    pub fn service_of(&self, group: &str) -> Option<(&str, usize)> {
        let (service, size) = self.services.get(group)?;
        Some((service, *size))
    }
}

impl<'a> From<&'a Membership> for Group<'a> {
    fn from(place: &'a Membership) -> Self {
        Self {
            name: &place.group,
            size: place.size,
        }
    }
}

/// The groups that targets make up, by service.
fn groups(seats: &[Seat]) -> HashMap<String, Vec<(String, usize)>> {
    let mut votes: HashMap<&str, BTreeMap<Group<'_>, usize>> = HashMap::new();
    for seat in seats {
        if let Some(place) = &seat.target.membership {
            let of_service = votes.entry(&seat.target.service).or_default();
            *of_service.entry(Group::from(place)).or_default() += 1;
        }
    }
    let standing = votes.into_iter().map(|(service, votes)| {
        let groups = standing(&votes).into_iter();
        let groups = groups.map(|group| (group.name.to_owned(), group.size));
        (service.to_owned(), groups.collect())
    });
    standing.collect()
}

/// The service that most of the targets of each group name, and the group's ranks.
fn services(seats: &[Seat]) -> HashMap<String, (String, usize)> {
    let mut votes: HashMap<&str, HashMap<(&str, usize), usize>> = HashMap::new();
    for seat in seats {
        if let Some(place) = &seat.target.membership {
            let of_group = votes.entry(&place.group).or_default();
            *of_group.entry((seat.target.service.as_str(), place.size)).or_default() += 1;
        }
    }
    let most = votes.into_iter().filter_map(|(group, votes)| {
        let most = votes.into_iter().max_by_key(|(named, votes)| (*votes, *named))?;
        let (service, size) = most.0;
        Some((group.to_owned(), (service.to_owned(), size)))
    });
    most.collect()
}

/// Of the groups that targets name, so many each, those that are there.
fn standing<'a>(votes: &BTreeMap<Group<'a>, usize>) -> Vec<Group<'a>> {
    let Some(most) = votes.values().copied().max() else {
        return Vec::new();
    };
    // Of two that are named by equally few, the last stands.
    let named_most = votes.iter().rev().find(|(_, votes)| **votes == most);
    let named_most = named_most.map(|(group, _)| *group);
    let stands =
        |group: &Group<'_>, votes: usize| Some(*group) == named_most || (votes * 2 > group.size && votes * 2 > most);
    let standing = votes.iter().filter(|(group, votes)| stands(group, **votes));
    standing.map(|(group, _)| *group).collect()
}
