//! Targets and groups, and how controllers change them.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use sparscale_bundle::{Bundle, Call, Fleet};

use crate::hints::PrefixHints;
use crate::model::{ResidenceTimes, StepModel};

new_key_type! {
    /// Names a target on the board.
    pub struct TargetKey;
    /// Names a group on the board.
    pub struct GroupKey;
}

/// Requests in progress that are remembered for one target; more change no decision.
const MAX_TRACKED_REQUESTS: usize = 1_024;
/// Time that a report is taken to have been on its way.
const REPORT_LAG: Duration = Duration::from_millis(100);

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// The box list does not show it.
    #[default]
    Absent,
    /// It takes work.
    Live,
    /// It takes no new work: the list or its agent says so.
    Draining,
}

/// How far a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum HallDistance {
    /// In the entry's hall.
    Same,
    /// In another hall of the entry's region.
    Region,
    /// In another region.
    #[default]
    Far,
}

impl HallDistance {
    /// Time that a message and its answer take on the way, in milliseconds.
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::Same => 0.2,
            Self::Region => 3.0,
            Self::Far => 25.0,
        }
    }
}

/// Load as last reported.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Highest counter of this entry that the report covers.
    pub seen: u64,
    /// Requests at the target.
    pub running: u32,
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Those of both that this entry has sent.
    pub own: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u32,
    /// Time of the latest step, in milliseconds.
    pub step_ms: f64,
    /// Number of the expert map in use.
    pub map: u64,
    /// Whether the agent refuses new work: it drains, or its target does not listen.
    pub closed: bool,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    counter: u64,
    prefill_tokens: u32,
    sent_at: Duration,
}

/// A back end.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// How far it is from this entry.
    pub distance: HallDistance,
    /// Address of its agent.
    pub address: Option<SocketAddr>,
    /// Whether the box list lets it take work.
    pub standing: Standing,
    /// Group and rank, for a model rank.
    pub rank: Option<(GroupKey, usize)>,
    /// Load as last reported.
    pub load: Load,
    /// Prompt prefixes that it probably has.
    pub hints: PrefixHints,
    /// Counter of this entry's last request there.
    pub last_sent: u64,
    /// Not to be used before this time: its agent could not be reached.
    avoid_until: Duration,
    /// Not to be used before this time: its agent turned work away whatever the work is.
    rejecting_until: Duration,
    reported_at: Option<Duration>,
    /// Requests of this entry that have not ended.
    sent: VecDeque<SentRequest>,
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
    /// What its step time depends on.
    pub step_model: StepModel,
    sends: RecentSends,
}

/// This entry's requests to a group, fading with age.
#[derive(Debug, Clone, Copy, Default)]
struct RecentSends {
    count: f64,
    updated_at: Duration,
}

impl RecentSends {
    /// Time in which a request's weight falls by a factor of e.
    const DECAY_TIME: Duration = Duration::from_secs(2);

    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-age / Self::DECAY_TIME.as_secs_f64()).exp()
    }
}

impl Group {
    /// This entry's requests to the group in the last few seconds, late ones counting less.
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

/// Everything that an entry knows about back ends.
#[derive(Debug, Default)]
pub struct Board {
    hall: String,
    targets: SlotMap<TargetKey, Target>,
    groups: SlotMap<GroupKey, Group>,
    by_name: HashMap<String, TargetKey>,
    services: BTreeMap<String, Service>,
    /// Version of the bundle that the board shows; 0 for none.
    pub bundle_version: u64,
    /// Requests that one target runs at once.
    pub max_in_flight_per_target: u32,
    /// How long requests last.
    pub residence_times: ResidenceTimes,
}

impl Board {
    /// An empty board of an entry in `hall`.
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

    /// The target under `key`, to be changed.
    pub fn target_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// The target called `name`.
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

    /// Shows `bundle`. Targets that stay keep their key and everything that is known about them.
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
        let listed: HashSet<&str> = fleet.targets.iter().map(|target| target.name.as_str()).collect();
        self.targets.retain(|_, target| listed.contains(target.name.as_str()));
        let targets = &self.targets;
        self.by_name.retain(|_, key| targets.contains_key(*key));
        for described in &fleet.targets {
            let key = self.by_name.get(&described.name).copied().unwrap_or_else(|| {
                self.targets.insert(Target {
                    name: described.name.clone(),
                    ..Target::default()
                })
            });
            self.by_name.insert(described.name.clone(), key);
            if let Some(target) = self.targets.get_mut(key) {
                target.distance = distance(fleet, &self.hall, &described.hall);
                target.rank = None;
            }
        }
    }

    fn replace_groups(&mut self, fleet: &Fleet) {
        let known: HashMap<String, StepModel> = self
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
                step_model: known.get(&group.name).copied().unwrap_or_default(),
                sends: RecentSends::default(),
            });
            for (index, rank) in ranks.into_iter().enumerate() {
                if let Some(target) = self.targets.get_mut(rank) {
                    target.rank = Some((key, index));
                }
            }
        }
    }

    /// Takes in what the box list says about the target called `name`; a target that it does not show is absent.
    pub fn apply_listed(&mut self, listed: &HashMap<String, (SocketAddr, Standing)>) {
        for target in self.targets.values_mut() {
            let (address, standing) = match listed.get(&target.name) {
                Some((address, standing)) => (Some(*address), *standing),
                None => (target.address, Standing::Absent),
            };
            if target.address != address {
                // Another box has taken the name: nothing known about the old one holds.
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

    /// Takes in a load report of the target under `key`.
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

    /// Notes that request `counter` was sent to the target under `key`.
    pub fn note_sent(&mut self, key: TargetKey, counter: u64, prefill_tokens: u32, blocks: &[u64], now: Duration) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.hints.record(blocks, now);
        target.last_sent = counter;
        let group = target.rank.map(|(group, _)| group);
        target.sent.push_back(SentRequest {
            counter,
            prefill_tokens,
            sent_at: now,
        });
        if target.sent.len() > MAX_TRACKED_REQUESTS {
            target.sent.pop_front();
        }
        if let Some(group) = group.and_then(|key| self.groups.get_mut(key)) {
            group.sends = RecentSends {
                count: group.sends.decayed(now) + 1.0,
                updated_at: now,
            };
        }
    }

    /// Notes that request `counter` at the target under `key` is over.
    pub fn note_ended(&mut self, key: TargetKey, counter: u64, now: Duration) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(index) = target.sent.iter().position(|sent| sent.counter == counter) else {
            return;
        };
        if let Some(sent) = target.sent.remove(index) {
            self.residence_times.observe(now.saturating_sub(sent.sent_at));
        }
    }

    /// Notes that the target under `key` could not be reached; it is avoided for a while that doubles each time.
    pub fn record_failure(&mut self, key: TargetKey, now: Duration) {
        const FIRST_PAUSE: Duration = Duration::from_millis(500);
        const MAX_DOUBLINGS: u32 = 5;
        if let Some(target) = self.targets.get_mut(key) {
            let pause = FIRST_PAUSE * 2_u32.pow(target.consecutive_failures.min(MAX_DOUBLINGS));
            target.consecutive_failures += 1;
            target.avoid_until = now + pause;
        }
    }

    /// Notes that the agent of the target under `key` takes no work at all for `pause`. A load report does not end this: an
    /// agent reports on and on beside a target that is gone.
    pub fn record_rejection(&mut self, key: TargetKey, pause: Duration, now: Duration) {
        if let Some(target) = self.targets.get_mut(key) {
            target.rejecting_until = now + pause;
        }
    }

    /// Notes that the target under `key` answers.
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
        let largest = loads.map(|rank| rank.load.running).max().unwrap_or(0);
        if step_ms <= 0.0 {
            return;
        }
        if let Some(group) = self.groups.get_mut(group) {
            group.step_model.observe(f64::from(largest), step_ms);
        }
    }
}

impl Target {
    /// Requests of this entry that have not ended. This is known without a lag.
    pub fn own_requests(&self) -> f64 {
        self.sent.len() as f64
    }

    /// Requests of other entries, as last reported; none if nothing was reported yet.
    pub fn reported_others(&self) -> Option<f64> {
        self.reported_at?;
        let all = self.load.running + self.load.queued;
        Some(f64::from(all.saturating_sub(self.load.own)))
    }

    /// Age of the last report, the way included.
    pub fn report_age(&self, now: Duration) -> Duration {
        let reported = self.reported_at.unwrap_or_default();
        now.saturating_sub(reported) + REPORT_LAG
    }

    /// Requests at the target or on their way there, for a target that is not part of a group.
    pub fn expected_requests(&self) -> f64 {
        self.own_requests() + self.reported_others().unwrap_or(0.0)
    }

    /// Prompt tokens that wait for prefill there, with what this entry sent since the report.
    pub fn expected_prefill(&self) -> f64 {
        let unseen = self.sent.iter().filter(|sent| sent.counter > self.load.seen);
        let unseen: u32 = unseen.map(|sent| sent.prefill_tokens).sum();
        f64::from(self.load.prefill_tokens + unseen)
    }

    /// Whether new work may go there now.
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.standing == Standing::Live && !self.load.closed && self.address.is_some() && now >= self.usable_at()
    }

    /// When a target that failed or turned work away may be tried again.
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
