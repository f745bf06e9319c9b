//! State of targets and groups, and the updates that controllers make to it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use sparscale_bundle::{Bundle, Call, Fleet};

use crate::hints::PrefixHints;
use crate::model::{ResidenceTimes, StepModel};

new_key_type! {
    /// Key of a target on the board.
    pub struct TargetKey;
    /// Key of a group on the board.
    pub struct GroupKey;
}

/// Most requests in progress that are tracked for one target; more change no decision.
const MAX_TRACKED_REQUESTS: usize = 1_024;
/// Assumed delivery time of a load report.
const REPORT_LAG: Duration = Duration::from_millis(100);

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// It is not in the box list.
    #[default]
    Absent,
    /// It accepts work.
    Live,
    /// It accepts no new work, as stated by the box list or its agent.
    Draining,
}

/// Network distance of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum HallDistance {
    /// In the entry's own hall.
    Same,
    /// In another hall of the entry's region.
    Region,
    /// In another region.
    #[default]
    Far,
}

impl HallDistance {
    /// Network round-trip time, in milliseconds.
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::Same => 0.2,
            Self::Region => 3.0,
            Self::Far => 25.0,
        }
    }
}

/// Last reported load of a target.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Incarnation of the agent that reported.
    pub incarnation: u64,
    /// Highest request counter of this entry that the report covers.
    pub last_seen_counter: u64,
    /// Requests that run at the target.
    pub running: u32,
    /// Requests that are queued at the agent.
    pub queued: u32,
    /// Running and queued requests that this entry has sent.
    pub own_requests: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: u32,
    /// Time of the latest step, in milliseconds.
    pub step_ms: f64,
    /// Number of the current expert map.
    pub map_number: u64,
    /// Whether the agent rejects new work because it drains or its target does not listen.
    pub is_closed: bool,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    counter: u64,
    prefill_tokens: u32,
    sent_at: Duration,
}

/// A back end and its state as this entry knows it.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Network distance from this entry.
    pub distance: HallDistance,
    /// Address of its agent.
    pub address: Option<SocketAddr>,
    /// Whether it accepts work according to the box list.
    pub standing: Standing,
    /// Group and rank index, for a model rank.
    pub rank: Option<(GroupKey, usize)>,
    /// Last reported load of a target.
    pub load: Load,
    /// Prompt prefixes that it probably has in its cache.
    pub hints: PrefixHints,
    /// Counter of this entry's last request to it.
    pub last_sent_counter: u64,
    /// Not used before this time, because its agent could not be reached.
    avoid_until: Duration,
    /// Not used before this time, because its agent rejects all work.
    rejecting_until: Duration,
    reported_at: Option<Duration>,
    /// Requests of this entry that have not ended.
    in_flight: VecDeque<SentRequest>,
    consecutive_failures: u32,
}

/// A group of ranks.
#[derive(Debug, Clone)]
pub struct Group {
    /// Unique name.
    pub name: String,
    /// Model that it serves.
    pub model: String,
    /// Its ranks, in rank order.
    pub ranks: Vec<TargetKey>,
    /// Step time as a function of load.
    pub step_model: StepModel,
    sends: RecentSends,
}

/// Number of this entry's requests to a group, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct RecentSends {
    count: f64,
    updated_at: Duration,
}

impl RecentSends {
    /// Time in which the weight of a request falls by a factor of e.
    const DECAY_TIME: Duration = Duration::from_secs(2);

    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-age / Self::DECAY_TIME.as_secs_f64()).exp()
    }
}

impl Group {
    /// Number of this entry's requests to the group in the last few seconds; older ones count less.
    pub fn recent_sends(&self, now: Duration) -> f64 {
        self.sends.decayed(now)
    }
}

/// A plain service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Targets that run it.
    pub targets: Vec<TargetKey>,
    /// Calls that callers may make.
    pub calls: Vec<Call>,
}

/// All that an entry knows about back ends.
#[derive(Debug, Default)]
pub struct Board {
    hall: String,
    targets: SlotMap<TargetKey, Target>,
    groups: SlotMap<GroupKey, Group>,
    by_name: HashMap<String, TargetKey>,
    services: BTreeMap<String, Service>,
    /// Version of the bundle that was applied last; 0 for none.
    pub bundle_version: u64,
    /// Most requests that one target runs at the same time.
    pub max_in_flight_per_target: u32,
    /// Residence time of requests.
    pub residence_times: ResidenceTimes,
}

impl Board {
    /// Creates an empty board for an entry in `hall`.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..Self::default()
        }
    }

    /// The target under `key`.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The target under `key`, for updates.
    pub fn target_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// Key of the target called `name`.
    pub fn find(&self, name: &str) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// The group under `key`.
    pub fn group(&self, key: GroupKey) -> Option<&Group> {
        self.groups.get(key)
    }

    /// All groups.
    pub fn groups(&self) -> impl Iterator<Item = (GroupKey, &Group)> {
        self.groups.iter()
    }

    /// The plain service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All ranks that serve `model`.
    pub fn ranks_of(&self, model: &str) -> Vec<TargetKey> {
        let groups = self.groups.values().filter(|group| group.model == model);
        groups.flat_map(|group| group.ranks.iter().copied()).collect()
    }

    /// Applies `bundle`. Targets that stay keep their key and their state.
    pub fn apply_bundle(&mut self, bundle: &Bundle) {
        let fleet = bundle.fleet();
        self.bundle_version = bundle.version();
        self.max_in_flight_per_target = fleet.limits.in_flight_per_target;
        self.replace_targets(fleet);
        self.replace_groups(fleet);
        self.services = fleet
            .services
            .iter()
            .map(|service| {
                let targets = service.targets.iter().filter_map(|name| self.find(name)).collect();
                let calls = service.calls.clone();
                (service.name.clone(), Service { targets, calls })
            })
            .collect();
    }

    fn replace_targets(&mut self, fleet: &Fleet) {
        let listed_names: HashSet<&str> = fleet.targets.iter().map(|target| target.name.as_str()).collect();
        self.targets
            .retain(|_, target| listed_names.contains(target.name.as_str()));
        let targets = &self.targets;
        self.by_name.retain(|_, key| targets.contains_key(*key));
        for fleet_target in &fleet.targets {
            let key = self.by_name.get(&fleet_target.name).copied().unwrap_or_else(|| {
                self.targets.insert(Target {
                    name: fleet_target.name.clone(),
                    ..Target::default()
                })
            });
            self.by_name.insert(fleet_target.name.clone(), key);
            if let Some(target) = self.targets.get_mut(key) {
                target.distance = distance(fleet, &self.hall, &fleet_target.hall);
                target.rank = None;
            }
        }
    }

    fn replace_groups(&mut self, fleet: &Fleet) {
        let step_models: HashMap<String, StepModel> = self
            .groups
            .values()
            .map(|group| (group.name.clone(), group.step_model))
            .collect();
        self.groups.clear();
        for group in &fleet.groups {
            let ranks: Vec<TargetKey> = group.ranks.iter().filter_map(|name| self.find(name)).collect();
            let key = self.groups.insert(Group {
                name: group.name.clone(),
                model: group.model.clone(),
                ranks: ranks.clone(),
                step_model: step_models.get(&group.name).copied().unwrap_or_default(),
                sends: RecentSends::default(),
            });
            for (index, rank) in ranks.into_iter().enumerate() {
                if let Some(target) = self.targets.get_mut(rank) {
                    target.rank = Some((key, index));
                }
            }
        }
    }

    /// Applies the box list, given as address and standing by target name; a target that is not in it becomes absent.
    pub fn apply_box_list(&mut self, box_list: &HashMap<String, (SocketAddr, Standing)>) {
        for target in self.targets.values_mut() {
            let (address, standing) = match box_list.get(&target.name) {
                Some((address, standing)) => (Some(*address), *standing),
                None => (target.address, Standing::Absent),
            };
            if target.address != address {
                // Another box now has this name, so the state of the old one is discarded.
                *target = Target {
                    name: std::mem::take(&mut target.name),
                    distance: target.distance,
                    rank: target.rank,
                    address,
                    ..Target::default()
                };
            }
            target.standing = standing;
        }
    }

    /// Records a load report of the target under `key`; a report of an earlier incarnation is ignored.
    pub fn apply_load(&mut self, key: TargetKey, load: Load, now: Duration) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if load.incarnation < target.load.incarnation {
            return;
        }
        if load.incarnation > target.load.incarnation {
            target.hints.clear();
        }
        target.load = load;
        target.reported_at = Some(now);
        target.consecutive_failures = 0;
        target.avoid_until = Duration::ZERO;
        self.observe_step(key);
    }

    /// Records that request `counter` was sent to the target under `key`.
    pub fn record_sent(&mut self, key: TargetKey, counter: u64, prefill_tokens: u32, blocks: &[u64], now: Duration) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.hints.record(blocks, now);
        target.last_sent_counter = counter;
        let group = target.rank.map(|(group, _)| group);
        target.in_flight.push_back(SentRequest {
            counter,
            prefill_tokens,
            sent_at: now,
        });
        if target.in_flight.len() > MAX_TRACKED_REQUESTS {
            target.in_flight.pop_front();
        }
        if let Some(group) = group.and_then(|key| self.groups.get_mut(key)) {
            group.sends = RecentSends {
                count: group.sends.decayed(now) + 1.0,
                updated_at: now,
            };
        }
    }

    /// Records the end of request `counter` at the target under `key`.
    pub fn record_end(&mut self, key: TargetKey, counter: u64, now: Duration) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(index) = target.in_flight.iter().position(|request| request.counter == counter) else {
            return;
        };
        if let Some(request) = target.in_flight.remove(index) {
            self.residence_times.observe(now.saturating_sub(request.sent_at));
        }
    }

    /// Records that the target under `key` could not be reached; it is avoided for a time that doubles with each
    /// failure.
    pub fn record_failure(&mut self, key: TargetKey, now: Duration) {
        const FIRST_PAUSE: Duration = Duration::from_millis(500);
        const MAX_DOUBLINGS: u32 = 5;
        if let Some(target) = self.targets.get_mut(key) {
            let pause = FIRST_PAUSE * 2_u32.pow(target.consecutive_failures.min(MAX_DOUBLINGS));
            target.consecutive_failures += 1;
            target.avoid_until = now + pause;
        }
    }

    /// Records that the agent of the target under `key` rejects all work for `pause`. A load report does not end this,
    /// because an agent keeps reporting when its target has terminated.
    pub fn record_rejection(&mut self, key: TargetKey, pause: Duration, now: Duration) {
        if let Some(target) = self.targets.get_mut(key) {
            target.rejecting_until = now + pause;
        }
    }

    /// Records a response of the target under `key`, which ends a rejection pause.
    pub fn record_response(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.rejecting_until = Duration::ZERO;
        }
    }

    fn observe_step(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get(key) else { return };
        let Some((group, _)) = target.rank else { return };
        let step_ms = target.load.step_ms;
        let Some(members) = self.groups.get(group) else { return };
        let loads = members.ranks.iter().filter_map(|rank| self.targets.get(*rank));
        let largest_load = loads.map(|rank| rank.load.running).max().unwrap_or(0);
        if step_ms <= 0.0 {
            return;
        }
        if let Some(group) = self.groups.get_mut(group) {
            group.step_model.observe(f64::from(largest_load), step_ms);
        }
    }
}

impl Target {
    /// Requests of this entry that have not ended; known without delay.
    pub fn own_requests(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Last reported requests of other entries; none before the first report.
    pub fn reported_others(&self) -> Option<f64> {
        self.reported_at?;
        let all = self.load.running + self.load.queued;
        Some(f64::from(all.saturating_sub(self.load.own_requests)))
    }

    /// Age of the last report, including its assumed delivery time.
    pub fn report_age(&self, now: Duration) -> Duration {
        let reported_at = self.reported_at.unwrap_or_default();
        now.saturating_sub(reported_at) + REPORT_LAG
    }

    /// Requests at the target or on their way to it, for a target that is not part of a group.
    pub fn expected_requests(&self) -> f64 {
        self.own_requests() + self.reported_others().unwrap_or(0.0)
    }

    /// Prompt tokens waiting for prefill, including those of requests that this entry has sent since the report.
    pub fn expected_prefill(&self) -> f64 {
        let unreported = self
            .in_flight
            .iter()
            .filter(|request| request.counter > self.load.last_seen_counter);
        let unreported: u32 = unreported.map(|request| request.prefill_tokens).sum();
        f64::from(self.load.prefill_tokens + unreported)
    }

    /// Whether new work may be sent to the target now.
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.standing == Standing::Live && !self.load.is_closed && self.address.is_some() && now >= self.usable_at()
    }

    /// Time from which a target that failed or rejected work may be used again.
    pub fn usable_at(&self) -> Duration {
        self.avoid_until.max(self.rejecting_until)
    }
}

fn distance(fleet: &Fleet, own: &str, other: &str) -> HallDistance {
    if own == other {
        return HallDistance::Same;
    }
    let region = |name: &str| {
        fleet
            .halls
            .iter()
            .find(|hall| hall.name == name)
            .map(|hall| hall.region.as_str())
    };
    match (region(own), region(other)) {
        (Some(own), Some(other)) if own == other => HallDistance::Region,
        _ => HallDistance::Far,
    }
}
